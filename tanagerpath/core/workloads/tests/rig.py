"""A leader's dispatcher with stand-in upstreams, driven in virtual time."""

import collections
import random

import attrs

from tanagerpath.core.coordination import (
    CallUpstream,
    Instant,
    Propose,
    Ticked,
    UpstreamCallFailed,
    UpstreamReplied,
)
from tanagerpath.core.workloads import (
    DeadlinePolicy,
    DeadlineTerms,
    Dispatcher,
    DispatchTerms,
    FleetState,
    commands,
    requests,
)
from tanagerpath.core.workloads.commands import RunOutcome, UpstreamRecord
from tanagerpath.core.workloads.configuration import (
    AdviceTerms,
    Configuration,
    Organisation,
    Pool,
    Queue,
)
from tanagerpath.core.workloads.events import CommandRecorded, NoteDecision
from tanagerpath.core.workloads.orders import (
    AdviceReply,
    AdviceRequest,
    EndedRun,
    HoldReply,
    HoldRequest,
    OrderDone,
    OrderRefused,
    Refusal,
    RunningTask,
    StartRequest,
    StopRequest,
    Ticket,
    UpkeepRequest,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec, WorkloadSpec
from tanagerpath.runtime.client import ExchangeTimedOut

STEP_S = 0.05
STOP_S = 0.15
GANG_WAIT_S = 3.0
CAPACITY = Resources(64_000, 256_000, 8)
MS_PER_S = 1000


@attrs.define
class FakeRun:
    """A run on a stand-in upstream."""

    task: object
    run: int
    spec: StepSpec
    began_s: float
    worked_s: float = 0.0
    stops_at_s: float | None = None


class FakeUpstream:
    """Keeps the published rules of a worker: leases, fences, lists of ends."""

    def __init__(self, rig, name, rack="r1", speed=1.0):
        self.rig = rig
        self.record = UpstreamRecord(
            upstream_id=name,
            incarnation=f"{name}@1",
            born_unix_ms=1,
            pool="sort",
            address=f"10.0.0.{len(rig.upstreams) + 1}:80",
            capacity=CAPACITY,
            labels=("a", rack),
            vm_id=name,
        )
        self.speed = speed
        self.runs: dict[tuple, FakeRun] = {}
        self.highest: dict[object, int] = {}
        self.ended: list[EndedRun] = []
        self.end_count = 0
        self.lapsed_end = 0
        self.fence = 0
        self.lease_until_ms = 0
        self.cut = False
        self.fails_all = False
        self.stalls = False
        self.cut_replies = 0.0

    @property
    def clock_ms(self):
        return int(self.rig.now_s * MS_PER_S)

    @property
    def used(self):
        total = Resources()
        for run in self.runs.values():
            total = total + run.spec.reserved
        return total

    def handle(self, request):
        token = request.fencing_token
        if token < self.fence:
            return OrderRefused(Refusal.FENCED, self.clock_ms)
        self.fence = token
        match request:
            case HoldRequest():
                return self._hold(request)
            case StartRequest():
                return self._start(request)
            case StopRequest():
                return self._stop(request)
        return OrderDone(self.clock_ms)

    def _hold(self, request):
        if request.lease_until_ms is not None:
            self.lease_until_ms = max(self.lease_until_ms, request.lease_until_ms)
        for end in self.ended:
            # An end counts as taken note of unless the lease lapsed in between.
            if end.number <= request.end_cursor and end.number > self.lapsed_end:
                self.rig.note_taken(end)
        self.ended = [end for end in self.ended if end.number > request.end_cursor]
        running = tuple(
            RunningTask(run.task, run.run, self._checkpoint(run), self._percent(run))
            for run in self.runs.values()
        )
        return HoldReply(
            clock_ms=self.clock_ms, running=running, ended=tuple(self.ended)
        )

    def _percent(self, run):
        whole_s = self.rig.work_s(run.task)
        return min(int(run.worked_s / whole_s * 100), 100)

    def _checkpoint(self, run):
        if not run.spec.checkpointing or run.worked_s < 0.5:
            return ""
        return f"c{run.task.index}:{run.worked_s:.1f}"

    def _start(self, request):
        key = (request.task, request.run)
        if key in self.runs:
            return OrderDone(self.clock_ms)
        if request.run <= self.highest.get(request.task, 0):
            return OrderRefused(Refusal.SUPERSEDED, self.clock_ms)
        if request.lease_until_ms <= self.clock_ms:
            return OrderRefused(Refusal.EXPIRED, self.clock_ms)
        self.lease_until_ms = max(self.lease_until_ms, request.lease_until_ms)
        spec = self.rig.find_step(request.task)
        self.runs[key] = FakeRun(request.task, request.run, spec, self.rig.now_s)
        self.rig.note_start(self, request)
        return OrderDone(self.clock_ms)

    def _stop(self, request):
        held = self.highest.get(request.task, 0)
        self.highest[request.task] = max(held, request.run)
        run = self.runs.get((request.task, request.run))
        if run is not None and run.stops_at_s is None:
            run.stops_at_s = self.rig.now_s + STOP_S
        return OrderDone(self.clock_ms)

    def end(self, run, outcome):
        del self.runs[(run.task, run.run)]
        held = self.highest.get(run.task, 0)
        self.highest[run.task] = max(held, run.run)
        self.end_count += 1
        checkpoint = self._checkpoint(run)
        self.ended.append(
            EndedRun(self.end_count, run.task, run.run, outcome, checkpoint)
        )
        self.rig.note_end(run, outcome)

    def advance(self):
        if self.clock_ms > self.lease_until_ms:
            self.lapsed_end = self.end_count
        if self.runs and self.clock_ms > self.lease_until_ms:
            for run in tuple(self.runs.values()):
                self.end(run, RunOutcome.LAPSED)
        for run in tuple(self.runs.values()):
            if (run.task, run.run) in self.runs:
                self._advance_run(run)

    def _advance_run(self, run):
        now_s = self.rig.now_s
        if run.stops_at_s is not None:
            if now_s >= run.stops_at_s:
                self.end(run, RunOutcome.STOPPED)
            return
        if run.spec.gang and not self.rig.is_gang_whole(run):
            if self.rig.has_gang_done(run):
                self.end(run, RunOutcome.DONE)
            elif self.rig.has_gang_lost(run):
                self.end(run, RunOutcome.BROKEN)
            elif now_s - run.began_s > GANG_WAIT_S and not run.worked_s:
                self.end(run, RunOutcome.ALONE)
            return
        if self.fails_all or run.task.workload_id in self.rig.poison:
            self.end(run, RunOutcome.FAILED)
            return
        if not self.stalls:
            run.worked_s += STEP_S * self.speed
        if run.worked_s >= self.rig.work_s(run.task):
            self.end(run, RunOutcome.DONE)


class Rig:
    """Steps a dispatcher and its upstreams, and checks the promises at each step."""

    def __init__(self, upstreams=4, seed=1, terms=None, term=1):
        self.random = random.Random(seed)
        self.now_s = 100.0
        self.term = term
        self.terms = terms or DispatchTerms()
        self.state = FleetState()
        self.index = 0
        self.upstreams: dict[str, FakeUpstream] = {}
        self.work: dict[str, float] = {}
        self.poison: set[str] = set()
        self.lost_replies = 0.0
        self.late_orders = 0.0
        self.has_lease = True
        self.faults: list[str] = []
        self.notes: list[NoteDecision] = []
        self.done_taken: set = set()
        self.failed_taken: collections.Counter = collections.Counter()
        self.starts: list[StartRequest] = []
        self.allowed: set[str] = set()
        self.upkeeps: list[tuple[float, str]] = []
        self.cut_by_upkeep = 0
        self._waiting: list[tuple[float, int, object]] = []
        self._numbers = iter(range(1_000_000))
        self.gang_losses: set = set()
        self.gang_ends: set = set()
        self._put_configuration()
        self.dispatcher = None
        for number in range(upstreams):
            self.add_upstream(f"u{number}", rack=f"r{number // 4}")
        self.lead(term)

    # Set-up

    def _put_configuration(self):
        queues = tuple(
            Queue(
                name=name,
                host="h",
                prefix=f"/{name}/",
                pool="sort",
                priority=priority,
                max_attempts=3,
                objective_factor=factor,
                objective_margin_s=0.25,
                advice=AdviceTerms(validity_s=5.0) if name == "advised" else None,
            )
            for name, priority, factor in (
                ("urgent", 0, 1.5),
                ("batch", 1, 3.0),
                ("scan", 2, 3.0),
                ("advised", 2, 3.0),
            )
        )
        guaranteed = Resources(accelerators=16)
        self.apply(
            commands.PutConfiguration(
                Configuration(
                    version=1,
                    queues=queues,
                    pools=(Pool(name="sort"),),
                    organisations=(
                        Organisation(
                            name="couriers", api_keys=("k",), guaranteed=guaranteed
                        ),
                    ),
                )
            )
        )

    def add_upstream(self, name, rack="r0", speed=1.0):
        self.upstreams[name] = FakeUpstream(self, name, rack, speed)
        self.register(self.upstreams[name].record)
        return self.upstreams[name]

    def register(self, record):
        self.apply(commands.RegisterUpstream(record))

    def lead(self, term):
        """Begin a new term on the state as it stands."""
        self.term = term
        self._waiting = [
            entry
            for entry in self._waiting
            if isinstance(entry[2], tuple) and entry[2][0] == "late"
        ]
        self.dispatcher = Dispatcher.from_state(
            self.terms,
            self.state,
            DeadlinePolicy.from_config(DeadlineTerms()),
            term,
            self.instant,
        )

    @property
    def instant(self):
        return Instant(self.now_s, self.now_s, self.has_lease)

    def apply(self, command):
        self.index += 1
        applied = self.state.apply(self.index, command)
        if getattr(self, "dispatcher", None) is not None:
            self._feed(CommandRecorded(command, applied))
        return applied

    def submit(self, workload_id, *steps, queue="scan", work_s=1.0, **fields):
        self.work[workload_id] = work_s
        spec = WorkloadSpec(workload_id=workload_id, steps=steps, **fields)
        self.apply(
            commands.AcceptWorkload(
                spec=spec,
                queue=queue,
                organisation="couriers",
                accepted_at_unix_s=self.now_s,
            )
        )

    def cancel(self, workload_id):
        self.apply(commands.CancelWorkload(workload_id, self.now_s))

    def work_s(self, task):
        return self.work[task.workload_id]

    def find_step(self, task):
        return self.state.workloads[task.workload_id].spec.steps[task.step]

    def find_state(self, workload_id):
        return str(self.state.workloads[workload_id].state)

    # Gangs

    def _gang_runs(self, run):
        return [
            other
            for upstream in self.upstreams.values()
            for other in upstream.runs.values()
            if other.run == run.run
            and attrs.evolve(other.task, index=0) == attrs.evolve(run.task, index=0)
        ]

    def is_gang_whole(self, run):
        return len(self._gang_runs(run)) == run.spec.count

    def has_gang_done(self, run):
        return (attrs.evolve(run.task, index=0), run.run) in self.gang_ends

    def has_gang_lost(self, run):
        return (attrs.evolve(run.task, index=0), run.run) in self.gang_losses

    # What must hold

    def note_start(self, upstream, request):
        self.starts.append(request)
        task = request.task
        record = self.state.workloads[task.workload_id]
        if not upstream.used.fits(upstream.record.capacity):
            self.faults.append(f"{upstream.record.upstream_id} is over its capacity")
        if task in self.done_taken and not self.find_step(task).long_running:
            self.faults.append(f"{task} started after its end was taken note of")
        runs = sum(
            held.task == task
            for other in self.upstreams.values()
            for held in other.runs.values()
        )
        if runs > 1:
            self.faults.append(f"{task} runs twice")
        if not record.may_begin(task.occurrence, task.step):
            self.faults.append(f"{task} started before the steps that it depends on")
        if self.failed_taken[task] >= 3:
            self.faults.append(f"{task} started after its attempts were used up")

    def note_end(self, run, outcome):
        if run.spec.gang:
            is_done = outcome is RunOutcome.DONE
            ends = self.gang_ends if is_done else self.gang_losses
            ends.add((attrs.evolve(run.task, index=0), run.run))

    def note_taken(self, end):
        if end.outcome is RunOutcome.DONE:
            self.done_taken.add(end.task)
        if end.outcome is RunOutcome.FAILED:
            self.failed_taken[end.task] += 1

    # Time

    def _feed(self, *events):
        queue = list(events)
        while queue:
            batch, queue = queue, []
            for effect in self.dispatcher.handle(batch, self.instant):
                match effect:
                    case Propose(command):
                        self.index += 1
                        applied = self.state.apply(self.index, command)
                        queue.append(CommandRecorded(command, applied))
                    case CallUpstream():
                        self._call(effect)
                    case NoteDecision():
                        self.notes.append(effect)

    def _later(self, delay_s, what):
        self._waiting.append((self.now_s + delay_s, next(self._numbers), what))

    def _call_service(self, call):
        """Answer for the service that advises and for the platform's VMs."""
        if isinstance(call.request, AdviceRequest):
            allowed = [one for one in call.request.upstream_ids if one in self.allowed]
            reply = AdviceReply(tuple(Ticket(one, f"t-{one}") for one in allowed))
        else:
            self.upkeeps.append((self.now_s, call.request.vm_id))
            fake = self.upstreams[call.request.vm_id]
            self.cut_by_upkeep += len(fake.runs)
            fake.runs.clear()
            fake.cut = True
            reply = OrderDone()
        event = UpstreamReplied(call.upstream_id, "", call.request, reply)
        self._later(STEP_S, ("event", event, None))

    def finish_upkeep(self, name):
        """Bring a VM back with a new incarnation."""
        fake = self.upstreams[name]
        born = fake.record.born_unix_ms + 1
        fake.record = attrs.evolve(
            fake.record, incarnation=f"{name}@{born}", born_unix_ms=born
        )
        fake.cut = False
        fake.highest.clear()
        fake.ended = []
        fake.fence = fake.end_count = 0
        self.report(fake.record)

    def _call(self, call):
        if isinstance(call.request, AdviceRequest | UpkeepRequest):
            self._call_service(call)
            return
        upstream = self.upstreams.get(call.upstream_id)
        if upstream is None or upstream.cut:
            self._fail(call)
            return
        is_hold = isinstance(call.request, HoldRequest)
        if not is_hold and self.random.random() < self.late_orders:
            self._fail(call)
            delay_s = self.random.uniform(2.0, 12.0)
            self._later(delay_s, ("late", call, upstream))
            return
        reply = upstream.handle(call.request)
        if self.random.random() < self.lost_replies:
            self._fail(call)
            return
        delay_s = STEP_S
        if is_hold and not reply.ended:
            delay_s += call.request.wait_ms / MS_PER_S * self.random.random()
            reply = None
        self._later(delay_s, ("reply", call, reply))

    def _fail(self, call):
        failure = ExchangeTimedOut(address=call.address)
        event = UpstreamCallFailed(
            call.upstream_id, call.incarnation, call.request, failure
        )
        self._later(call.timeout_s or 0.5, ("event", event, None))

    def _deliver(self, what):
        kind, first, second = what
        if kind == "event":
            return first
        if kind == "late":
            if not second.cut:
                second.handle(first.request)
            return None
        upstream = self.upstreams[first.upstream_id]
        if upstream.cut:
            self._fail(first)
            return None
        reply = upstream.handle(first.request) if second is None else second
        return UpstreamReplied(
            first.upstream_id, first.incarnation, first.request, reply
        )

    def _is_due(self, entry):
        due_s, _, (kind, call, reply) = entry
        if due_s <= self.now_s:
            return True
        if kind != "reply" or reply is not None:
            return False
        # A hold that waits is answered as soon as there is an end.
        ended = self.upstreams[call.upstream_id].ended
        return any(end.number > call.request.end_cursor for end in ended)

    def run(self, duration_s):
        """Let time pass; raise if a promise was broken."""
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s += STEP_S
            for upstream in self.upstreams.values():
                upstream.advance()
            due = sorted(one for one in self._waiting if self._is_due(one))
            self._waiting = [one for one in self._waiting if one not in due]
            events = [event for _, _, what in due if (event := self._deliver(what))]
            self._feed(*events, Ticked())
            if self.faults:
                raise AssertionError("; ".join(self.faults))

    def report(self, record, sequence=1, **fields):
        """Send a heartbeat."""
        report = requests.UpstreamReport(record, sequence=sequence, **fields)
        needed = self.dispatcher.registry.take_report(report)
        for command in needed:
            self.apply(command)
        return needed

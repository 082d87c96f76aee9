"""Fake upstream in virtual time that follows the published contract of a worker."""

import attrs

from tanagerpath.core.workloads.commands import RunOutcome, UpstreamRecord
from tanagerpath.core.workloads.orders import (
    EndedRun,
    HoldReply,
    HoldRequest,
    OrderDone,
    OrderRefused,
    PaceRequest,
    Refusal,
    RunningTask,
    StartRequest,
    StopRequest,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec

STEP_S = 0.05
STOP_S = 0.15
GANG_WAIT_S = 3.0
# A longer lease is shortened to this one.
MAX_LEASE_S = 10.0
# A long-running task reports 100 percent after this time.
STARTUP_S = 0.5
CAPACITY = Resources(64_000, 256_000, 8)
MS_PER_S = 1000


@attrs.define
class FakeRun:
    """A run on a fake upstream."""

    task: object
    run: int
    spec: StepSpec
    began_s: float
    worked_s: float = 0.0
    stops_at_s: float | None = None


class FakeUpstream:
    """Implements the contract of a worker: leases, fencing tokens, lists of ends."""

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
        self.highest_ended_run: dict[object, int] = {}
        self.ended: list[EndedRun] = []
        self.end_count = 0
        self.lapsed_end_number = 0
        self.tail_ms = 0.0
        self.paces: list[tuple[str, int]] = []
        self.highest_token = 0
        self.lease_until_ms = 0
        self.unreachable = False
        self.fails_all = False
        self.stalls = False
        self.refusal: Refusal | None = None
        self.refused_workload: str | None = None
        self.refused_count = 0
        self.refused_orders: dict[type, Refusal] = {}
        # Whether a run that is being stopped is not listed until it has ended.
        self.hides_stopping = False
        # Seconds from a stop order to the end of the run.
        self.stop_s = STOP_S
        # Whether its lists are cut off before the first entry.
        self.lists_nothing = False
        self.started_s = 0.0

    @property
    def clock_ms(self):
        return int((self.rig.now_s - self.started_s) * MS_PER_S)

    @property
    def used(self):
        total = Resources()
        for run in self.runs.values():
            total = total + run.spec.reserved
        return total

    def handle(self, request):
        if type(request) in self.refused_orders:
            self.refused_count += 1
            return OrderRefused(self.refused_orders[type(request)], self.clock_ms)
        token = request.fencing_token
        if token < self.highest_token:
            return OrderRefused(Refusal.FENCED, self.clock_ms)
        self.highest_token = token
        match request:
            case HoldRequest():
                return self._hold(request)
            case StartRequest():
                return self._start(request)
            case StopRequest():
                return self._stop(request)
            case PaceRequest():
                self.paces.append((request.task.workload_id, request.percent))
        return OrderDone(self.clock_ms)

    def _hold(self, request):
        if request.lease_until_ms is not None:
            self._extend_lease(request.lease_until_ms)
        for end in self.ended:
            # An end whose lease lapsed in between does not count as acknowledged.
            if end.number <= request.end_cursor and end.number > self.lapsed_end_number:
                self.rig.record_acknowledged_end(end)
        self.ended = [end for end in self.ended if end.number > request.end_cursor]
        if self.lists_nothing:
            return HoldReply(clock_ms=self.clock_ms, is_whole=False)
        running = tuple(
            RunningTask(
                run.task,
                run.run,
                self._checkpoint(run),
                self._percent(run),
                self.tail_ms if run.spec.tail_target_ms else 0.0,
            )
            for run in self.runs.values()
            if run.stops_at_s is None or not self.hides_stopping
        )
        return HoldReply(
            clock_ms=self.clock_ms,
            born_unix_ms=self.record.born_unix_ms,
            running=running,
            ended=tuple(self.ended),
        )

    def _extend_lease(self, until_ms):
        longest_ms = self.clock_ms + int(MAX_LEASE_S * MS_PER_S)
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, longest_ms))

    def _percent(self, run):
        if run.spec.long_running:
            return 100 if run.worked_s >= STARTUP_S else 0
        work_s = self.rig.work_s(run.task)
        return min(int(run.worked_s / work_s * 100), 100)

    def _checkpoint(self, run):
        if not run.spec.checkpointing or run.worked_s < 0.5:
            return ""
        return f"c{run.task.index}:{run.worked_s:.1f}"

    def _start(self, request):
        key = (request.task, request.run)
        is_refused = self.refused_workload in (None, request.task.workload_id)
        if self.refusal is not None and is_refused:
            self.refused_count += 1
            return OrderRefused(self.refusal, self.clock_ms)
        if key in self.runs:
            return OrderDone(self.clock_ms)
        if request.run <= self.highest_ended_run.get(request.task, 0):
            return OrderRefused(Refusal.SUPERSEDED, self.clock_ms)
        if request.lease_until_ms <= self.clock_ms:
            return OrderRefused(Refusal.EXPIRED, self.clock_ms)
        self._extend_lease(request.lease_until_ms)
        spec = self.rig.find_step(request.task)
        self.runs[key] = FakeRun(request.task, request.run, spec, self.rig.now_s)
        self.rig.record_start(self, request)
        return OrderDone(self.clock_ms)

    def _stop(self, request):
        highest = self.highest_ended_run.get(request.task, 0)
        self.highest_ended_run[request.task] = max(highest, request.run)
        run = self.runs.get((request.task, request.run))
        if run is not None and run.stops_at_s is None:
            run.stops_at_s = self.rig.now_s + self.stop_s
        return OrderDone(self.clock_ms)

    def end(self, run, outcome):
        del self.runs[(run.task, run.run)]
        highest = self.highest_ended_run.get(run.task, 0)
        self.highest_ended_run[run.task] = max(highest, run.run)
        self.end_count += 1
        checkpoint = self._checkpoint(run)
        self.ended.append(
            EndedRun(self.end_count, run.task, run.run, outcome, checkpoint)
        )
        self.rig.record_end(run, outcome)

    def advance(self):
        if self.clock_ms > self.lease_until_ms:
            self.lapsed_end_number = self.end_count
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
            if self.rig.is_gang_finished(run):
                self.end(run, RunOutcome.DONE)
            elif self.rig.is_gang_broken(run):
                self.end(run, RunOutcome.BROKEN)
            elif now_s - run.began_s > GANG_WAIT_S and not run.worked_s:
                self.end(run, RunOutcome.ALONE)
            return
        if self.fails_all or run.task.workload_id in self.rig.failing_workloads:
            self.end(run, RunOutcome.FAILED)
            return
        if not self.stalls:
            run.worked_s += STEP_S * self.speed
        if run.worked_s >= self.rig.work_s(run.task):
            self.end(run, RunOutcome.DONE)

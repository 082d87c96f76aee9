"""A coordinator with a log that commits at once, and scripted upstreams."""

import hashlib

from returns.pipeline import is_successful

from tanagerpath.core.coordination import (
    CallUpstream,
    CommandApplied,
    Coordinator,
    CoordinatorConfig,
    Instant,
    Propose,
    ReportArrived,
    Respond,
    Ticked,
    UpstreamCallFailed,
    UpstreamReplied,
)
from tanagerpath.core.model import (
    JobRequest,
    OrganisationTerms,
    ServiceDocument,
    UpstreamCapacity,
    UpstreamLocation,
)
from tanagerpath.core.placement import FirstComeFirstFitScheduler, SchedulerConfig
from tanagerpath.core.protocol import upstreams as protocol
from tanagerpath.core.protocol.upstreams import TaskPhase, TaskReport, TaskStatus
from tanagerpath.core.state import (
    AcceptJob,
    ApplyDocument,
    RegisterUpstream,
    RequestCancel,
    SystemState,
    make_job_id,
)
from tanagerpath.runtime.client import ExchangeTimedOut

START_UNIX_S = 1_000_000.0


class Upstream:
    """Replies of one upstream; a test changes its attributes."""

    def __init__(self):
        self.silent = False
        self.reserves = True
        self.starts = True
        self.tasks = {}
        self.ever_started = set()
        self.incarnation = "i1"

    def reply(self, request, now_s):
        key = (getattr(request, "job_id", ""), getattr(request, "attempt", None))
        match request:
            case protocol.RenewRequest():
                tasks = tuple(
                    TaskStatus(job, attempt, rank, phase)
                    for (job, attempt, rank), phase in self.tasks.items()
                )
                return protocol.RenewReply(
                    round(now_s * 1000), self.incarnation, False, tasks
                )
            case protocol.ReserveRequest():
                return protocol.ReserveReply(
                    self.reserves, "" if self.reserves else "busy"
                )
            case protocol.StartRequest(rank=rank):
                if not self.starts:
                    phase = TaskPhase.FAILED_TO_START
                    return protocol.StartReply(phase, "start_failed")
                self.ever_started.add((*key, rank))
                self.tasks[(*key, rank)] = TaskPhase.RUNNING
                return protocol.StartReply(TaskPhase.RUNNING)
            case protocol.StopRequest(rank=rank):
                self.tasks.pop((*key, rank), None)
                started = (*key, rank) in self.ever_started
                return protocol.StopReply(True, started, self.incarnation == "i1")
            case protocol.CheckpointRequest(rank=rank):
                return protocol.CheckpointReply(True, f"saved-{rank}")
        return protocol.ProbeReply(True)


class Rig:
    """Runs one coordinator in virtual time."""

    def __init__(self, upstreams=2, accelerators=8, config=None):
        self.config = config or CoordinatorConfig()
        self.now_s = 100.0
        self.state = SystemState()
        self.upstreams = {f"u{i}": Upstream() for i in range(upstreams)}
        self.accelerators = accelerators
        self.responses = {}
        self.calls = []
        self.loses_results = False
        self.counts = []
        self.term = 0
        self.coordinator = None
        document = ServiceDocument("sort", 1, "t", (OrganisationTerms("org", 999),))
        self.apply(ApplyDocument(document))
        for upstream_id in self.upstreams:
            self.apply(RegisterUpstream(self.announce(upstream_id)))
        self.take_over()

    def announce(self, upstream_id):
        position = int(upstream_id[1:])
        location = UpstreamLocation("a", position // 8, position % 8)
        capacity = UpstreamCapacity(upstream_id, location, self.accelerators)
        incarnation = self.upstreams[upstream_id].incarnation
        return protocol.Announcement(capacity, "10.0.0.1:1", incarnation)

    @property
    def now(self):
        return Instant(self.now_s, START_UNIX_S + self.now_s)

    def take_over(self):
        """Begin the next term from the replicated state alone."""
        self.term += 1
        scheduler = FirstComeFirstFitScheduler.from_config(SchedulerConfig())
        self.coordinator = Coordinator.from_state(
            self.config, self.state, scheduler, self.term, self.now
        )
        self.feed(Ticked())

    def apply(self, command):
        return self.state.apply(self.state.applied_index + 1, command)

    def feed(self, *events):
        """Process events and carry out their effects until none is left."""
        queue = list(events)
        while queue:
            effects = self.coordinator.handle(queue, self.now)
            queue = []
            for effect in effects:
                match effect:
                    case Propose(command):
                        result = self.apply(command)
                        queue.append(CommandApplied(command, result))
                    case CallUpstream():
                        queue += self._call(effect)
                    case Respond(token, reply):
                        self.responses[token] = reply

    def _call(self, call):
        self.calls.append(call)
        if self.loses_results:
            return []
        upstream = self.upstreams[call.upstream_id]
        if upstream.silent:
            failure = ExchangeTimedOut(address=call.address)
            return [
                UpstreamCallFailed(
                    call.upstream_id, call.incarnation, call.request, failure
                )
            ]
        reply = upstream.reply(call.request, self.now_s)
        return [
            UpstreamReplied(call.upstream_id, call.incarnation, call.request, reply)
        ]

    def run_for(self, duration_s, step_s=0.25):
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += step_s
            self.feed(Ticked())

    def propose(self, command):
        result = self.apply(command)
        assert is_successful(result), result
        self.feed(CommandApplied(command, result))

    def submit(self, key="k", **changes):
        request = JobRequest("org", "sort", key, **changes)
        job_id = make_job_id("org", "sort", key)
        self.propose(AcceptJob(job_id, request, self.now.unix_s))
        return job_id

    def cancel(self, job_id):
        self.propose(RequestCancel((job_id,), 2e9))

    def report(self, job_id, rank=0, phase=TaskPhase.FINISHED, answer="yes", **changes):
        """Report the end of a member as its upstream does; return the reply."""
        record = self.state.jobs[job_id]
        attempt = changes.pop("attempt", record.attempt)
        run = record.assignment.runs[rank] if record.assignment else None
        upstream_id = changes.pop("upstream_id", run.upstream_id if run else "u0")
        answer = answer if rank == 0 and phase is TaskPhase.FINISHED else None
        encoded = (answer or "").encode()
        fields = {
            "answer": answer,
            "answer_length": len(encoded),
            "answer_sha256": hashlib.sha256(encoded).hexdigest(),
        } | changes
        status = TaskStatus(job_id, attempt, rank, phase)
        token = len(self.responses) + 1000
        self.feed(ReportArrived(token, TaskReport(upstream_id, status, **fields)))
        return self.responses.get(token)

    def record(self, job_id):
        return self.state.jobs[job_id]

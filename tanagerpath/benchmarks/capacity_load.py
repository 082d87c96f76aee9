"""Loads of the capacity benchmark: upstreams, documents, jobs and a leader's loop."""

import gc
import hashlib
import itertools
import sys
import time
from collections.abc import Callable, Iterable
from types import BuiltinFunctionType, FunctionType, ModuleType

from tanagerpath.core.coordination import (
    CallUpstream,
    CommandApplied,
    Coordinator,
    CoordinatorConfig,
    Effect,
    Event,
    Instant,
    Propose,
    ReportArrived,
    Ticked,
    UpstreamReplied,
)
from tanagerpath.core.model import (
    GuaranteedShape,
    JobClass,
    JobRequest,
    OrganisationTerms,
    ServiceDocument,
    UpstreamCapacity,
    UpstreamLocation,
)
from tanagerpath.core.placement import GuaranteeScheduler, SchedulerConfig
from tanagerpath.core.protocol import upstreams as protocol
from tanagerpath.core.protocol.upstreams import TaskPhase, TaskStatus
from tanagerpath.core.state import (
    AcceptJob,
    ApplyDocument,
    Command,
    RegisterUpstream,
    SystemState,
    make_job_id,
)

__all__ = [
    "BUSY_LOAD",
    "ORGANISATIONS",
    "PAYLOAD_BYTES",
    "QUEUED_PER_UPSTREAM",
    "RUNNING_PER_UPSTREAM",
    "LeaderLoop",
    "make_announcement",
    "make_document",
    "make_request",
    "measure_reachable_bytes",
    "time_calls",
]

UPSTREAMS_PER_RACK = 8
ORGANISATIONS = tuple(f"team-{number:02d}" for number in range(10))
PAYLOAD_BYTES = 200
ANSWER = "y" * 200
SERVICE = "inference"
START_UNIX_S = 1_000_000.0
RUNNING_PER_UPSTREAM = 4
QUEUED_PER_UPSTREAM = 2
BUSY_LOAD = (
    "every accelerator taken by 4 jobs of 2 on each upstream, 2 jobs of 6 queued for "
    "each upstream in 20 equivalence classes, 10 organisations with a guarantee of 8"
)
_OPAQUE = (type, ModuleType, FunctionType, BuiltinFunctionType)


def time_calls(call: Callable[[], object], count: int) -> float:
    """Return the mean processor seconds of this thread for one call."""
    begun_s = time.thread_time()
    for _ in range(count):
        call()
    return (time.thread_time() - begun_s) / count


def measure_reachable_bytes(root: object, without: Iterable[object] = ()) -> int:
    """Return the size of all objects that are reachable from `root`.

    Classes, modules and functions are left out, and so is what `without` reaches.
    """
    seen: set[int] = set()
    for other in without:
        _walk(other, seen)
    return _walk(root, seen)


def _walk(root: object, seen: set[int]) -> int:
    total = 0
    waiting = [root]
    while waiting:
        item = waiting.pop()
        if id(item) in seen or isinstance(item, _OPAQUE):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        waiting += gc.get_referents(item)
    return total


def make_announcement(index: int, zones: int = 3) -> protocol.Announcement:
    """Return the announcement of the stand-in upstream with a number."""
    rack, position = divmod(index, UPSTREAMS_PER_RACK)
    location = UpstreamLocation(f"zone-{rack % zones}", rack // zones, position)
    capacity = UpstreamCapacity(f"worker-{index:05d}", location, services=(SERVICE,))
    address = f"10.{index // 62500}.{index // 250 % 250}.{index % 250}:7000"
    return protocol.Announcement(capacity, address, f"incarnation-{index:08d}")


def make_document(
    service: str = SERVICE, organisations: tuple[str, ...] = ORGANISATIONS
) -> ServiceDocument:
    """Return a document in which each organisation has a guarantee of 8."""
    terms = tuple(
        OrganisationTerms(name, 10**6, (GuaranteedShape(8),)) for name in organisations
    )
    return ServiceDocument(service, 1, "team-00", terms, max_queued_jobs=10**6)


def make_request(number: int, accelerators: int = 2, **changes: object) -> JobRequest:
    """Return one of a row of jobs over all organisations and two classes."""
    fields = {
        "organisation": ORGANISATIONS[number % len(ORGANISATIONS)],
        "job_class": (JobClass.STANDARD, JobClass.BATCH)[number // 10 % 2],
        "payload": f"{number:0{PAYLOAD_BYTES}d}",
        "expected_run_s": 3600.0,
    }
    return JobRequest(
        service=SERVICE,
        key=f"key-{number:08d}",
        accelerators=accelerators,
        **(fields | changes),
    )


class LeaderLoop:
    """A coordinator whose log commits at once and whose upstreams always agree.

    Parameters
    ----------
    upstreams : int
        Number of stand-in upstreams.
    zones : int
        Availability zones over which the racks are spread.
    """

    def __init__(self, upstreams: int, zones: int = 3) -> None:
        self.now_s = 100.0
        self.state = SystemState()
        self.tasks: dict[str, dict[tuple, TaskStatus]] = {}
        self._numbers = itertools.count()
        self._apply(ApplyDocument(make_document()))
        for index in range(upstreams):
            announcement = make_announcement(index, zones)
            self._apply(RegisterUpstream(announcement))
            self.tasks[announcement.capacity.upstream_id] = {}
        scheduler = GuaranteeScheduler.from_config(SchedulerConfig())
        self.coordinator = Coordinator.from_state(
            CoordinatorConfig(), self.state, scheduler, 1, self.now
        )
        self.feed([Ticked()])

    @property
    def now(self) -> Instant:
        """Present instant of the virtual clock."""
        return Instant(self.now_s, START_UNIX_S + self.now_s)

    def count_upstreams(self) -> int:
        """Return the number of stand-in upstreams."""
        return len(self.tasks)

    def handle(self, events: list[Event]) -> list[Effect]:
        """Pass events to the coordinator; carries nothing out."""
        return self.coordinator.handle(events, self.now)

    def feed(self, events: list[Event]) -> None:
        """Pass events on and carry effects out until nothing is left."""
        while events:
            events = self.answer(self.handle(events))

    def answer(self, effects: list[Effect]) -> list[Event]:
        """Carry effects out and return the events that follow."""
        events: list[Event] = []
        for effect in effects:
            match effect:
                case Propose(command):
                    events.append(self.commit(command))
                case CallUpstream():
                    events.append(self._reply(effect))
        return events

    def commit(self, command: Command) -> CommandApplied:
        """Apply a command to the state."""
        return CommandApplied(command, self._apply(command))

    def _apply(self, command: Command) -> object:
        return self.state.apply(self.state.applied_index + 1, command)

    def _reply(self, call: CallUpstream) -> UpstreamReplied:
        request = call.request
        tasks = self.tasks[call.upstream_id]
        match request:
            case protocol.RenewRequest():
                listed = tuple(tasks.values())
                reply = protocol.RenewReply(
                    round(self.now_s * 1000), call.incarnation, False, listed
                )
            case protocol.ReserveRequest():
                reply = protocol.ReserveReply(True)
            case protocol.StartRequest(job_id=job_id, attempt=attempt, rank=rank):
                status = TaskStatus(job_id, attempt, rank, TaskPhase.RUNNING, 0.5)
                tasks[job_id, rank] = status
                reply = protocol.StartReply(TaskPhase.RUNNING)
            case _:
                reply = protocol.StopReply(True, True, True)
        return UpstreamReplied(call.upstream_id, call.incarnation, request, reply)

    def make_acceptance(self, accelerators: int = 2, **changes: object) -> AcceptJob:
        """Return the command that accepts the next job."""
        request = make_request(next(self._numbers), accelerators, **changes)
        job_id = make_job_id(request.organisation, request.service, request.key)
        return AcceptJob(job_id, request, self.now.unix_s)

    def submit(self, count: int, accelerators: int = 2, **changes: object) -> list[str]:
        """Accept jobs and run them as far as they go; return their ids."""
        commands = [self.make_acceptance(accelerators, **changes) for _ in range(count)]
        self.feed([self.commit(command) for command in commands])
        return [command.job_id for command in commands]

    def finish(self, job_id: str) -> None:
        """Have all members of a job report their end."""
        self.feed(self.report(job_id))

    def report(self, job_id: str) -> list[Event]:
        """Return the reports of all members of a running job."""
        record = self.state.jobs[job_id]
        events: list[Event] = []
        for rank, run in enumerate(record.assignment.runs):
            self.tasks[run.upstream_id].pop((job_id, rank))
            status = TaskStatus(job_id, record.attempt, rank, TaskPhase.FINISHED)
            events.append(ReportArrived(rank, _make_report(run.upstream_id, status)))
        return events


def _make_report(upstream_id: str, status: TaskStatus) -> protocol.TaskReport:
    answer = ANSWER if status.rank == 0 else None
    encoded = (answer or "").encode()
    digest = hashlib.sha256(encoded).hexdigest()
    return protocol.TaskReport(upstream_id, status, answer, len(encoded), digest)

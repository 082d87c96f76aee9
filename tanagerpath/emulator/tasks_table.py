"""State of one stand-in upstream, without input or output.

The table enforces what the protocol asks of an upstream: terms never fall, reserved
accelerators never overlap, reservations lapse by themselves, an attempt that was
stopped never starts, and without a lease no task starts or goes on.
"""

import math

import attrs

from tanagerpath.core.model import AttemptId, UpstreamCapacity
from tanagerpath.core.protocol.upstreams import (
    CheckpointReply,
    CheckpointRequest,
    ProbeReply,
    RenewReply,
    RenewRequest,
    ReserveReply,
    ReserveRequest,
    StartReply,
    StartRequest,
    StopReply,
    StopRequest,
    TaskPhase,
    TaskReport,
    TaskStatus,
    ThrottleReply,
    ThrottleRequest,
)
from tanagerpath.emulator.faults import Faults
from tanagerpath.emulator.scripts import TaskScript, compose_answer, digest_text
from tanagerpath.errors import Failure

__all__ = ["MemberEvent", "MemberKey", "StaleTerm", "TasksTable"]

MAX_OVER_MEMBERS = 20_000
MIN_THROTTLE_SHARE = 0.001
_HOLDING = (TaskPhase.RESERVED, TaskPhase.RUNNING)


@attrs.frozen(kw_only=True)
class StaleTerm(Failure):
    """A request carries a lower term than the highest that the upstream has seen."""

    term: int
    highest_term: int

    @property
    def message(self) -> str:
        """One line for people."""
        return f"term {self.term} is lower than {self.highest_term}"


@attrs.frozen
class MemberKey:
    """One member of one attempt."""

    job_id: str
    attempt: AttemptId
    rank: int


@attrs.frozen
class MemberEvent:
    """Something that happened to a member; the shell writes it to the journal.

    `event` is one of "started", "finished", "failed", "failed_to_start", "stopped",
    "checkpointed" and "lease_ended".
    """

    event: str
    key: MemberKey
    gang_size: int
    payload_sha256: str


@attrs.frozen
class _Over:
    """What is remembered of a member that has ended.

    `held` tells whether this incarnation ever held the member: a stop that is repeated
    must not pass for the proof that the first one could not give.
    """

    ever_started: bool
    held: bool


@attrs.define
class _Member:
    key: MemberKey
    first: int
    count: int
    cores: int
    memory_bytes: int
    lapses_at_ms: float
    phase: TaskPhase = TaskPhase.RESERVED
    gang_size: int = 0
    payload: str = ""
    script: TaskScript = attrs.field(factory=TaskScript)
    remaining_ms: float = 0.0
    progress_at_ms: float = 0.0
    done_ms: float = 0.0
    share: float = 1.0
    ever_started: bool = False

    @property
    def ends_at_ms(self) -> float:
        return self.progress_at_ms + self.remaining_ms / self.share

    def note_progress(self, clock_ms: float) -> None:
        done_ms = (clock_ms - self.progress_at_ms) * self.share
        self.remaining_ms -= done_ms
        self.done_ms += done_ms
        self.progress_at_ms = clock_ms

    def overlaps(self, first: int, count: int) -> bool:
        return self.first < first + count and first < self.first + self.count


class TasksTable:
    """Members, lease and terms of one upstream.

    Parameters
    ----------
    capacity : UpstreamCapacity
        What the upstream carries.
    incarnation : str
        Incarnation of the upstream's process.
    """

    def __init__(self, capacity: UpstreamCapacity, incarnation: str) -> None:
        self.capacity = capacity
        self.incarnation = incarnation
        self.faults = Faults()
        self.leaving = False
        self.lease_ends_at_ms = -math.inf
        self.highest_term = 0
        self._members: dict[MemberKey, _Member] = {}
        self._over: dict[MemberKey, _Over] = {}
        self._events: list[MemberEvent] = []
        self._reports: list[TaskReport] = []

    def take_events(self) -> list[MemberEvent]:
        """Return the events since the last call."""
        events, self._events = self._events, []
        return events

    def take_reports(self) -> list[TaskReport]:
        """Return the reports that became due since the last call."""
        reports, self._reports = self._reports, []
        return reports

    @property
    def holding(self) -> int:
        """Number of members that hold accelerators."""
        return sum(member.phase in _HOLDING for member in self._members.values())

    def next_deadline_ms(self) -> float:
        """Return the next instant at which `advance` has something to do."""
        deadlines = [math.inf]
        for member in self._members.values():
            if member.phase is TaskPhase.RUNNING:
                deadlines += [member.ends_at_ms, self.lease_ends_at_ms]
            elif member.phase is TaskPhase.RESERVED:
                deadlines.append(member.lapses_at_ms)
        return min(deadlines)

    def advance(self, clock_ms: float) -> None:
        """Let reservations lapse, tasks end and the lease run out."""
        lease_over = clock_ms >= self.lease_ends_at_ms
        for member in list(self._members.values()):
            if member.phase is TaskPhase.RESERVED:
                if clock_ms >= member.lapses_at_ms:
                    self._end(member, TaskPhase.STOPPED, None, report=False)
            elif member.phase is TaskPhase.RUNNING:
                if member.ends_at_ms <= min(clock_ms, self.lease_ends_at_ms):
                    self._end_run(member)
                elif lease_over:
                    self._end(member, TaskPhase.STOPPED, "lease_ended", report=True)

    def renew(self, request: RenewRequest, clock_ms: int) -> RenewReply | StaleTerm:
        """Extend the lease, if the renewal is for this incarnation, and list tasks."""
        if not self._admit_term(request.term):
            return StaleTerm(term=request.term, highest_term=self.highest_term)
        if request.incarnation == self.incarnation and request.basis_clock_ms > 0:
            ends_at_ms = request.basis_clock_ms + request.lease_duration_ms
            self.lease_ends_at_ms = max(self.lease_ends_at_ms, ends_at_ms)
        tasks = tuple(self._describe(member) for member in self._members.values())
        return RenewReply(clock_ms, self.incarnation, self.leaving, tasks)

    def reserve(self, request: ReserveRequest, clock_ms: int) -> ReserveReply:
        """Hold accelerators for a member."""
        reason = self._refuse_reserve(request)
        if reason:
            return ReserveReply(False, reason, clock_ms)
        key = MemberKey(request.job_id, request.attempt, request.rank)
        lapses_at_ms = clock_ms + request.lapse_after_ms
        held = self._members.get(key)
        if held is not None:
            held.lapses_at_ms = lapses_at_ms
            return ReserveReply(True, "", clock_ms)
        self._members[key] = _Member(
            key,
            request.first,
            request.count,
            request.cores,
            request.memory_bytes,
            lapses_at_ms,
        )
        return ReserveReply(True, "", clock_ms)

    def start(self, request: StartRequest, clock_ms: int) -> StartReply:
        """Start a reserved member."""
        key = MemberKey(request.job_id, request.attempt, request.rank)
        if not self._admit_term(request.term):
            return StartReply(self._find_phase(key), "stale_term")
        if key in self._over:
            return StartReply(TaskPhase.STOPPED, "attempt_over")
        member = self._members.get(key)
        if member is None:
            return StartReply(TaskPhase.ABSENT, "not_reserved")
        if member.phase is not TaskPhase.RESERVED:
            return self._repeat_start(member)
        if clock_ms >= self.lease_ends_at_ms:
            return StartReply(TaskPhase.RESERVED, "not_reserved")
        self._begin(member, request, clock_ms)
        return self._repeat_start(member)

    def stop(self, request: StopRequest, clock_ms: int) -> StopReply:
        """End a member for good."""
        key = MemberKey(request.job_id, request.attempt, request.rank)
        member = self._members.get(key)
        over = self._over.get(key, _Over(ever_started=False, held=False))
        started = member.ever_started if member else over.ever_started
        covers = member is not None or over.held
        if not self._admit_term(request.term):
            return StopReply(False, started, covers, "stale_term")
        if member is None:
            self._remember_over(key, started, held=over.held)
        elif member.phase in _HOLDING:
            event = "stopped" if member.ever_started else None
            self._end(member, TaskPhase.STOPPED, event, report=False)
        return StopReply(True, started, covers)

    def checkpoint(self, request: CheckpointRequest, clock_ms: int) -> CheckpointReply:
        """Save the progress of a running member and stop it."""
        key = MemberKey(request.job_id, request.attempt, request.rank)
        member = self._members.get(key)
        if not self._admit_term(request.term) or member is None:
            return CheckpointReply(False)
        if member.phase is not TaskPhase.RUNNING:
            return CheckpointReply(False)
        member.note_progress(clock_ms)
        name = f"progress-ms:{int(member.done_ms)}"
        self._end(member, TaskPhase.STOPPED, "checkpointed", report=False)
        return CheckpointReply(True, name)

    def throttle(self, request: ThrottleRequest, clock_ms: int) -> ThrottleReply:
        """Slow a running member down to a share of its speed."""
        key = MemberKey(request.job_id, request.attempt, request.rank)
        member = self._members.get(key)
        if not self._admit_term(request.term) or member is None:
            return ThrottleReply(False)
        if member.phase is TaskPhase.RUNNING:
            member.note_progress(clock_ms)
            member.share = max(MIN_THROTTLE_SHARE, min(1.0, request.share))
        return ThrottleReply(member.phase is TaskPhase.RUNNING)

    def probe(self, term: int) -> ProbeReply | StaleTerm:
        """Run the self-test of one start."""
        if not self._admit_term(term):
            return StaleTerm(term=term, highest_term=self.highest_term)
        return ProbeReply(not self.faults.fail_starts)

    def acknowledge(self, key: MemberKey) -> None:
        """Forget an ended member whose report was acknowledged."""
        member = self._members.get(key)
        if member is not None and member.phase not in _HOLDING:
            self._remember_over(key, member.ever_started)
            del self._members[key]

    def _admit_term(self, term: int) -> bool:
        self.highest_term = max(self.highest_term, term)
        return term >= self.highest_term

    def _refuse_reserve(self, request: ReserveRequest) -> str:
        key = MemberKey(request.job_id, request.attempt, request.rank)
        if not self._admit_term(request.term):
            return "stale_term"
        if request.incarnation != self.incarnation:
            return "other_incarnation"
        if key in self._over:
            return "attempt_over"
        if key in self._members:
            held = self._members[key].phase in _HOLDING
            return "" if held else "attempt_over"
        if self.leaving:
            return "leaving"
        return "" if self._has_room(request) else "busy"

    def _has_room(self, request: ReserveRequest) -> bool:
        holders = [m for m in self._members.values() if m.phase in _HOLDING]
        if request.count < 1 or request.first < 0:
            return False
        if request.first + request.count > self.capacity.accelerators:
            return False
        if any(holder.overlaps(request.first, request.count) for holder in holders):
            return False
        cores = request.cores + sum(holder.cores for holder in holders)
        memory = request.memory_bytes + sum(holder.memory_bytes for holder in holders)
        return (
            len(holders) < self.capacity.slots
            and cores <= self.capacity.cores
            and memory <= self.capacity.memory_bytes
        )

    def _begin(self, member: _Member, request: StartRequest, clock_ms: int) -> None:
        member.gang_size = request.gang_size
        member.payload = request.payload
        member.script = TaskScript.from_payload(request.payload)
        if self.faults.fail_starts or member.script.fails("start", request.rank):
            self._end(member, TaskPhase.FAILED_TO_START, "failed_to_start", report=True)
            return
        _, _, saved = request.checkpoint.partition("progress-ms:")
        run_ms = max(0, member.script.run_ms - int(saved or 0))
        member.remaining_ms = run_ms * self.faults.slow_factor
        if member.script.hang:
            member.remaining_ms = math.inf
        member.done_ms = float(saved or 0)
        member.progress_at_ms = clock_ms
        member.phase = TaskPhase.RUNNING
        member.ever_started = True
        self._note("started", member)

    def _repeat_start(self, member: _Member) -> StartReply:
        failed = member.phase is TaskPhase.FAILED_TO_START
        return StartReply(member.phase, "start_failed" if failed else "")

    def _end_run(self, member: _Member) -> None:
        if member.script.fails("run", member.key.rank):
            self._end(member, TaskPhase.FAILED, "failed", report=True)
        else:
            self._end(member, TaskPhase.FINISHED, "finished", report=True)

    def _end(
        self, member: _Member, phase: TaskPhase, event: str | None, report: bool
    ) -> None:
        member.phase = phase
        if event:
            self._note(event, member)
        if report:
            self._reports.append(self._compose_report(member))
        else:
            self._remember_over(member.key, member.ever_started)
            del self._members[member.key]

    def _note(self, event: str, member: _Member) -> None:
        digest = digest_text(member.payload)
        self._events.append(MemberEvent(event, member.key, member.gang_size, digest))

    def _compose_report(self, member: _Member) -> TaskReport:
        status = self._describe(member)
        key = member.key
        if member.phase is not TaskPhase.FINISHED or key.rank != 0:
            detail = "" if member.phase is TaskPhase.FINISHED else member.phase.value
            return TaskReport(self.capacity.upstream_id, status, detail=detail)
        answer = compose_answer(key.job_id, key.attempt, member.payload)
        return TaskReport(
            self.capacity.upstream_id,
            status,
            answer=answer,
            answer_length=len(answer.encode()),
            answer_sha256=digest_text(answer),
        )

    def _describe(self, member: _Member) -> TaskStatus:
        key = member.key
        usage = member.share if member.phase is TaskPhase.RUNNING else 0.0
        return TaskStatus(key.job_id, key.attempt, key.rank, member.phase, usage)

    def _find_phase(self, key: MemberKey) -> TaskPhase:
        if key in self._members:
            return self._members[key].phase
        return TaskPhase.STOPPED if key in self._over else TaskPhase.ABSENT

    def _remember_over(
        self, key: MemberKey, ever_started: bool, held: bool = True
    ) -> None:
        self._over[key] = _Over(ever_started, held)
        if len(self._over) > MAX_OVER_MEMBERS:
            del self._over[next(iter(self._over))]

"""One attempt to run a gang, and the state of its members."""

import enum
import hashlib

import attrs

from tanagerpath.core.model import AcceleratorRun, Assignment, AttemptId, JobRequest
from tanagerpath.core.protocol import upstreams as protocol
from tanagerpath.core.protocol.upstreams import TaskPhase
from tanagerpath.errors import Failure

__all__ = ["Attempt", "AttemptPhase", "Member", "is_answer_intact"]


class AttemptPhase(enum.StrEnum):
    """Phase of an attempt."""

    RESERVING = "reserving"
    RECORDING = "recording"
    STARTING = "starting"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"
    CONCLUDING = "concluding"


@attrs.define
class Member:
    """Volatile state of one rank of a gang on the leader.

    Attributes
    ----------
    rank : int
        Index in the gang.
    run : AcceleratorRun
        Accelerators of this member.
    reserved : bool
        Whether the upstream has reserved the accelerators.
    phase : TaskPhase
        Last known phase.
    started_at_s : float or None
        Time at which the start was confirmed.
    released : bool
        Whether the member is known to hold no accelerators any more.
    refuted : bool
        Whether the upstream confirmed that this attempt never started there.
    checkpoint : str
        Name of the checkpoint, empty if there is none.
    bad_reports : int
        Reports whose answer did not match its length or digest.
    incarnation : str
        Incarnation asked to reserve; empty if an earlier leader asked it.
    next_call_at_s : float
        Time at which an unanswered request is resent.
    """

    rank: int
    run: AcceleratorRun
    reserved: bool = False
    phase: TaskPhase = TaskPhase.ABSENT
    started_at_s: float | None = None
    released: bool = False
    refuted: bool = False
    checkpoint: str = ""
    bad_reports: int = 0
    incarnation: str = ""
    next_call_at_s: float = 0.0


@attrs.define
class Attempt:
    """State of one attempt on the leader.

    Attributes
    ----------
    job_id : str
        The job.
    request : JobRequest
        The caller's description.
    attempt_id : AttemptId
        Fencing token.
    assignment : Assignment
        Accelerators by rank.
    phase : AttemptPhase
        Current phase.
    deadline_s : float
        Deadline of the current phase.
    record_proposed : bool
        Whether a `RecordStart` was proposed that is pending or succeeded.
    recorded : bool
        Whether the start is committed to the log.
    starts_sent : bool
        Whether this or an earlier leader may have sent a start request.
    recorded_at_s : float
        Time at which the record of the start was applied.
    reason : Failure or None
        Why the attempt is being stopped.
    answer : str or None
        Complete answer of rank 0.
    report_tokens : list of int
        Tokens of the report exchanges to answer once the job has ended.
    """

    job_id: str
    request: JobRequest
    attempt_id: AttemptId
    assignment: Assignment
    phase: AttemptPhase
    deadline_s: float
    members: list[Member]
    checkpoints: tuple[str, ...] = ()
    record_proposed: bool = False
    recorded: bool = False
    starts_sent: bool = False
    recorded_at_s: float = 0.0
    reason: Failure | None = None
    answer: str | None = None
    answer_sha256: str = ""
    report_tokens: list[int] = attrs.field(factory=list)

    @classmethod
    def from_assignment(
        cls,
        job_id: str,
        request: JobRequest,
        attempt_id: AttemptId,
        assignment: Assignment,
        deadline_s: float,
    ) -> "Attempt":
        """Return a new attempt without reservations."""
        members = [Member(rank, run) for rank, run in enumerate(assignment.runs)]
        return cls(
            job_id,
            request,
            attempt_id,
            assignment,
            AttemptPhase.RESERVING,
            deadline_s,
            members,
        )

    @property
    def all_reserved(self) -> bool:
        """Whether every member has reserved its accelerators."""
        return all(member.reserved for member in self.members)

    @property
    def all_started(self) -> bool:
        """Whether every member has confirmed its start."""
        return all(member.started_at_s is not None for member in self.members)

    @property
    def all_released(self) -> bool:
        """Whether every member has released its accelerators."""
        return all(member.released for member in self.members)

    @property
    def all_refuted(self) -> bool:
        """Whether it is certain that no member ever started."""
        return not self.starts_sent or all(m.refuted for m in self.members)

    @property
    def all_checkpointed(self) -> bool:
        """Whether every member has saved a checkpoint."""
        return all(member.checkpoint for member in self.members)

    @property
    def is_answered(self) -> bool:
        """Whether all members finished and the complete answer has arrived."""
        finished = all(m.phase is TaskPhase.FINISHED for m in self.members)
        return finished and self.answer is not None

    def list_replaced_members(self, upstream_id: str, incarnation: str) -> list[Member]:
        """Return the members that an earlier incarnation of an upstream reserved."""
        current = ("", incarnation)
        return [
            member
            for member in self.members
            if member.run.upstream_id == upstream_id
            and self.starts_sent
            and member.incarnation not in current
        ]

    def describe(self) -> str:
        """Describe the attempt's phase and location in one sentence."""
        places = ", ".join(
            f"{run.upstream_id}[{run.first}:{run.first + run.count}]"
            for run in self.assignment.runs
        )
        reason = f" because {self.reason.message}" if self.reason else ""
        return f"The job is {self.phase} on {places}{reason}."

    def make_reserve_request(
        self, member: Member, term: int, lapse_s: float, incarnation: str
    ) -> protocol.ReserveRequest:
        """Return the request that reserves a member's accelerators."""
        return protocol.ReserveRequest(
            term=term,
            job_id=self.job_id,
            attempt=self.attempt_id,
            rank=member.rank,
            first=member.run.first,
            count=member.run.count,
            cores=self.request.cores,
            memory_bytes=self.request.memory_bytes,
            lapse_after_ms=round(lapse_s * 1000),
            incarnation=incarnation,
        )

    def make_start_request(self, member: Member, term: int) -> protocol.StartRequest:
        """Return the request that starts a reserved member."""
        saved = self.checkpoints
        return protocol.StartRequest(
            term=term,
            job_id=self.job_id,
            attempt=self.attempt_id,
            rank=member.rank,
            gang_size=len(self.members),
            service=self.request.service,
            payload=self.request.payload,
            checkpoint=saved[member.rank] if len(saved) == len(self.members) else "",
        )

    def make_stop_request(self, member: Member, term: int) -> protocol.StopRequest:
        """Return the request that stops a member."""
        return protocol.StopRequest(term, self.job_id, self.attempt_id, member.rank)

    def make_checkpoint_request(
        self, member: Member, term: int, within_s: float
    ) -> protocol.CheckpointRequest:
        """Return the request that checkpoints a member."""
        return protocol.CheckpointRequest(
            term, self.job_id, self.attempt_id, member.rank, round(within_s * 1000)
        )


def is_answer_intact(report: protocol.TaskReport) -> bool:
    """Check the answer of a report against its length and digest."""
    if report.answer is None:
        return False
    encoded = report.answer.encode()
    if len(encoded) != report.answer_length:
        return False
    return hashlib.sha256(encoded).hexdigest() == report.answer_sha256

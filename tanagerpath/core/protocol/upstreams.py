"""Messages between the scheduler and upstreams.

Every request to an upstream carries the leader's term as a fencing token. An upstream
refuses a term lower than the highest it has seen, with the reason "stale_term".
"""

import enum

import attrs

from tanagerpath.core.model import AttemptId, UpstreamCapacity

__all__ = [
    "Announcement",
    "AnnouncementReply",
    "CheckpointReply",
    "CheckpointRequest",
    "LeaveNotice",
    "LeaveReply",
    "ProbeReply",
    "ProbeRequest",
    "RenewReply",
    "RenewRequest",
    "ReportReply",
    "ReserveReply",
    "ReserveRequest",
    "StartReply",
    "StartRequest",
    "StopReply",
    "StopRequest",
    "TaskPhase",
    "TaskReport",
    "TaskStatus",
    "ThrottleReply",
    "ThrottleRequest",
]


class TaskPhase(enum.StrEnum):
    """Phase of one member of a gang on an upstream."""

    ABSENT = "absent"
    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    FAILED_TO_START = "failed_to_start"
    STOPPED = "stopped"


@attrs.frozen
class Announcement:
    """Registers an upstream, through any entry.

    Attributes
    ----------
    capacity : UpstreamCapacity
        Resources and services of the VM.
    address : str
        "host:port" of the upstream's HTTP interface.
    incarnation : str
        Unique id of each start of the upstream's process.
    """

    capacity: UpstreamCapacity
    address: str
    incarnation: str


@attrs.frozen
class AnnouncementReply:
    """The announcement is committed."""

    accepted: bool = True


@attrs.frozen
class LeaveNotice:
    """An upstream drains: it takes no new work and stops after its tasks end."""

    upstream_id: str
    incarnation: str


@attrs.frozen
class LeaveReply:
    """`drained` is True when the upstream holds no tasks and may stop."""

    drained: bool


@attrs.frozen
class TaskStatus:
    """Status of one member of a gang on an upstream.

    Attributes
    ----------
    job_id : str
        The job.
    attempt : AttemptId
        Fencing token of the attempt.
    rank : int
        Index in the gang.
    phase : TaskPhase
        Phase on the upstream.
    accelerator_usage : float
        Mean utilisation of the accelerators over a past interval, 0 to 1.
    """

    job_id: str
    attempt: AttemptId
    rank: int
    phase: TaskPhase
    accelerator_usage: float = 0.0


@attrs.frozen
class RenewRequest:
    """Extends the lease of all tasks of an upstream.

    Attributes
    ----------
    term : int
        Term of the leader.
    incarnation : str
        Incarnation known to the leader.
    basis_clock_ms : int
        `clock_ms` of the last reply received by the leader, 0 for none.
    lease_duration_ms : int
        The lease ends at `basis_clock_ms + lease_duration_ms` on the upstream's clock.
    """

    term: int
    incarnation: str
    basis_clock_ms: int
    lease_duration_ms: int


@attrs.frozen
class RenewReply:
    """State of an upstream.

    Attributes
    ----------
    clock_ms : int
        Monotonic clock of the upstream at the reply.
    incarnation : str
        Current incarnation.
    leaving : bool
        Whether the upstream is draining.
    tasks : tuple of TaskStatus
        All tasks of the upstream; ended ones until their report is acknowledged.
    """

    clock_ms: int
    incarnation: str
    leaving: bool = False
    tasks: tuple[TaskStatus, ...] = ()


@attrs.frozen
class ReserveRequest:
    """Reserves accelerators for one member of a gang until the reservation lapses.

    An upstream of another incarnation than `incarnation` refuses: it could not tell
    later whether the attempt had run before its own start.
    """

    term: int
    job_id: str
    attempt: AttemptId
    rank: int
    first: int
    count: int
    cores: int
    memory_bytes: int
    lapse_after_ms: int
    incarnation: str


@attrs.frozen
class ReserveReply:
    """Answer to `ReserveRequest`.

    Attributes
    ----------
    reserved : bool
        Whether the accelerators are reserved.
    reason : str
        Why refused; one of "stale_term", "other_incarnation", "busy", "leaving",
        "attempt_over" or "".
    clock_ms : int
        Monotonic clock of the upstream at the reply.
    """

    reserved: bool
    reason: str = ""
    clock_ms: int = 0


@attrs.frozen
class StartRequest:
    """Starts a reserved member; idempotent."""

    term: int
    job_id: str
    attempt: AttemptId
    rank: int
    gang_size: int
    service: str
    payload: str
    checkpoint: str = ""


@attrs.frozen
class StartReply:
    """Answer to `StartRequest`; `phase` is the current phase of the member.

    Reasons: "stale_term", "not_reserved", "attempt_over", "start_failed" or "".
    """

    phase: TaskPhase
    reason: str = ""


@attrs.frozen
class StopRequest:
    """Stops one member; the same attempt can never start there afterwards."""

    term: int
    job_id: str
    attempt: AttemptId
    rank: int


@attrs.frozen
class StopReply:
    """Answer to `StopRequest`.

    Attributes
    ----------
    stopped : bool
        True when the member holds no accelerators any more.
    ever_started : bool
        Whether the member ever started in this incarnation.
    incarnation_covers_attempt : bool
        True if this incarnation reserved the member, so that `ever_started` covers the
        whole attempt.
    """

    stopped: bool
    ever_started: bool
    incarnation_covers_attempt: bool
    reason: str = ""


@attrs.frozen
class CheckpointRequest:
    """Asks a running member to save a checkpoint within `within_ms`, then to stop."""

    term: int
    job_id: str
    attempt: AttemptId
    rank: int
    within_ms: int


@attrs.frozen
class CheckpointReply:
    """`checkpoint` names the checkpoint; empty if there is none."""

    saved: bool
    checkpoint: str = ""


@attrs.frozen
class ThrottleRequest:
    """Limits the processor time of a member to `share` (0 to 1)."""

    term: int
    job_id: str
    attempt: AttemptId
    rank: int
    share: float


@attrs.frozen
class ThrottleReply:
    """Whether the throttle is in force."""

    in_force: bool


@attrs.frozen
class ProbeRequest:
    """Asks an upstream to run a short self-test of one start."""

    term: int


@attrs.frozen
class ProbeReply:
    """Result of the self-test."""

    healthy: bool


@attrs.frozen
class TaskReport:
    """Reports the end of one member, through any entry.

    The upstream resends it until a reply acknowledges it.

    Attributes
    ----------
    upstream_id : str
        Upstream that sends the report.
    status : TaskStatus
        Job, attempt, rank and final phase.
    answer : str or None
        Answer of the job; only rank 0 of a finished gang carries one.
    answer_length : int
        Length of the answer in UTF-8 bytes.
    answer_sha256 : str
        Hexadecimal SHA-256 digest of the answer's UTF-8 bytes.
    detail : str
        Short human-readable description of a failure.
    """

    upstream_id: str
    status: TaskStatus
    answer: str | None = None
    answer_length: int = 0
    answer_sha256: str = ""
    detail: str = ""


@attrs.frozen
class ReportReply:
    """`acknowledged` is True when the upstream may discard the member."""

    acknowledged: bool

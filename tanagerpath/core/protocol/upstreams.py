"""Messages between the system and upstreams.

Every request to an upstream carries the leader's term. An upstream refuses a term that
is lower than the highest it has seen, with the reason "stale_term".
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
    """What an upstream knows about one member of a gang."""

    ABSENT = "absent"
    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    FAILED_TO_START = "failed_to_start"
    STOPPED = "stopped"


@attrs.frozen
class Announcement:
    """An upstream makes itself known, to any entry.

    Attributes
    ----------
    capacity : UpstreamCapacity
        What the VM carries.
    address : str
        "host:port" of the upstream's HTTP interface.
    incarnation : str
        New at each start of the upstream's process.
    """

    capacity: UpstreamCapacity
    address: str
    incarnation: str


@attrs.frozen
class AnnouncementReply:
    """The announcement is durable."""

    accepted: bool = True


@attrs.frozen
class LeaveNotice:
    """An upstream wants no new work and will stop once its tasks have ended."""

    upstream_id: str
    incarnation: str


@attrs.frozen
class LeaveReply:
    """`drained` is True when the upstream holds nothing and may stop."""

    drained: bool


@attrs.frozen
class TaskStatus:
    """Phase of one member of a gang on an upstream.

    Attributes
    ----------
    job_id : str
        The job.
    attempt : AttemptId
        Fencing number of the attempt.
    rank : int
        Member of the gang.
    phase : TaskPhase
        What the upstream knows.
    accelerator_usage : float
        Share of the accelerators in use, 0 to 1, averaged over a past interval.
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
        Incarnation that the leader knows.
    basis_clock_ms : int
        `clock_ms` of the last reply that the leader received, 0 for none.
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
        Whether the upstream wants no new work.
    tasks : tuple of TaskStatus
        All tasks that the upstream holds, ended ones until they are acknowledged.
    """

    clock_ms: int
    incarnation: str
    leaving: bool = False
    tasks: tuple[TaskStatus, ...] = ()


@attrs.frozen
class ReserveRequest:
    """Holds accelerators for one member of a gang until the reservation lapses.

    `incarnation` is the one that the leader knows. Another one refuses: it could not
    tell later whether the attempt had run before it began.
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
        Whether the accelerators are held.
    reason : str
        Why not; one of "stale_term", "busy", "leaving", "attempt_over" or "".
    clock_ms : int
        Monotonic clock of the upstream at the reply.
    """

    reserved: bool
    reason: str = ""
    clock_ms: int = 0


@attrs.frozen
class StartRequest:
    """Starts a reserved member; repeating it has no further effect."""

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
    """Answer to `StartRequest`; `phase` is what holds now for this member.

    Reasons: "stale_term", "not_reserved", "attempt_over", "start_failed" or "".
    """

    phase: TaskPhase
    reason: str = ""


@attrs.frozen
class StopRequest:
    """Ends one member; afterwards the same attempt can never start here."""

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
        Whether the member ever began to run in this incarnation.
    incarnation_covers_attempt : bool
        True if this incarnation has reserved the member, so that `ever_started` is the
        whole truth.
    """

    stopped: bool
    ever_started: bool
    incarnation_covers_attempt: bool
    reason: str = ""


@attrs.frozen
class CheckpointRequest:
    """Asks a running member to save its state within `within_ms`, then to stop."""

    term: int
    job_id: str
    attempt: AttemptId
    rank: int
    within_ms: int


@attrs.frozen
class CheckpointReply:
    """`checkpoint` names the saved state; empty if there is none."""

    saved: bool
    checkpoint: str = ""


@attrs.frozen
class ThrottleRequest:
    """Limits the processor share of a member to `share` (0 to 1)."""

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
    """An upstream reports the end of one member, to any entry.

    It is sent again until the reply acknowledges it.

    Attributes
    ----------
    upstream_id : str
        Who reports.
    status : TaskStatus
        Job, attempt, rank and final phase.
    answer : str or None
        Answer of the job; only rank 0 of a finished gang carries one.
    answer_length : int
        Length of the answer in UTF-8 bytes.
    answer_sha256 : str
        Hexadecimal SHA-256 digest of the answer's UTF-8 bytes.
    detail : str
        Short text for people about a failure.
    """

    upstream_id: str
    status: TaskStatus
    answer: str | None = None
    answer_length: int = 0
    answer_sha256: str = ""
    detail: str = ""


@attrs.frozen
class ReportReply:
    """`acknowledged` is True when the upstream may forget the member."""

    acknowledged: bool

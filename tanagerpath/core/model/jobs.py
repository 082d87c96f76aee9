"""Jobs as callers describe them, their classes and their states."""

import enum

import attrs

__all__ = [
    "AttemptId",
    "JobClass",
    "JobRequest",
    "JobState",
]


class JobClass(enum.StrEnum):
    """How long a job may wait, from the most to the least urgent."""

    URGENT = "urgent"
    STANDARD = "standard"
    PATIENT = "patient"
    BATCH = "batch"


class JobState(enum.StrEnum):
    """State of a job in the replicated log."""

    ACCEPTED = "accepted"
    START_RECORDED = "start_recorded"
    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED_NOT_RUN = "refused_not_run"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self not in (JobState.ACCEPTED, JobState.START_RECORDED)


@attrs.frozen(order=True)
class AttemptId:
    """Fencing token of one attempt to run a job; larger is newer.

    Attributes
    ----------
    term : int
        Term of the leader that made the attempt.
    counter : int
        Number of the attempt inside the term.
    """

    term: int
    counter: int


@attrs.frozen
class JobRequest:
    """A job as the caller describes it.

    Attributes
    ----------
    organisation, service : str
        The caller's organisation, and the service that runs the job.
    key : str
        The caller's own key; the same key always means the same job.
    job_class : JobClass
        How long the job may wait.
    accelerators : int
        Size of the gang: the number of adjacent accelerators.
    payload : str
        Input for the service, passed on unchanged.
    idempotent : bool
        Whether the job may be started again after a failed attempt.
    checkpointable : bool
        Whether the job can resume from a checkpoint after it was stopped.
    guaranteed : bool
        Whether the job claims a guaranteed shape of its organisation.
    deadline_unix_s : float or None
        Instant in UTC seconds after which the answer is of no use.
    expected_run_s : float
        Declared run time in seconds; may be far off.
    cores, memory_bytes : int
        Needs on each member VM.
    """

    organisation: str
    service: str
    key: str
    job_class: JobClass = JobClass.STANDARD
    accelerators: int = 1
    payload: str = ""
    idempotent: bool = True
    checkpointable: bool = False
    guaranteed: bool = False
    deadline_unix_s: float | None = None
    expected_run_s: float = 60.0
    cores: int = 1
    memory_bytes: int = 10**9

    @property
    def preemptible(self) -> bool:
        """Whether the job may be preempted.

        A non-idempotent job is never preempted, not even with a checkpoint: a
        checkpoint that fails half-way would leave its outcome unknown.
        """
        return self.idempotent and not self.guaranteed

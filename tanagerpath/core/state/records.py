"""Records of the replicated state."""

import hashlib

import attrs

from tanagerpath.core.model import (
    Assignment,
    AttemptId,
    JobRequest,
    JobState,
    ServiceDocument,
)
from tanagerpath.core.protocol.callers import ErrorBody, JobReply
from tanagerpath.core.protocol.internal import JobChange
from tanagerpath.core.protocol.upstreams import Announcement

__all__ = [
    "DocumentRecord",
    "FinishedChange",
    "JobRecord",
    "StateSnapshot",
    "make_job_id",
]


def make_job_id(organisation: str, service: str, key: str) -> str:
    """Return the id of the job that a caller's key identifies.

    The same key gives the same id at any entry, so a retry finds its job.
    """
    text = "\0".join((organisation, service, key))
    return hashlib.sha256(text.encode()).hexdigest()[:32]


@attrs.frozen
class DocumentRecord:
    """A document in force and the log index of its command."""

    document: ServiceDocument
    log_index: int


@attrs.frozen
class JobRecord:
    """Durable state of a job.

    Attributes
    ----------
    job_id : str
        The job.
    request : JobRequest
        The caller's description.
    accepted_at_unix_s : float
        Time of acceptance.
    state : JobState
        Current state.
    attempt : AttemptId or None
        Latest recorded attempt; kept after its end to fence older ones.
    assignment : Assignment or None
        Accelerators of the recorded attempt until it ends.
    recorded_attempts : int
        Attempts whose start was recorded.
    counted_attempts : int
        Ended attempts that count against the retry budget.
    ran_before : bool
        Whether an earlier attempt may have run.
    cancel_requested : bool
        Whether a caller has cancelled the job.
    checkpoints : tuple of str
        Names of checkpoints by rank.
    answer, answer_sha256 : str
        Complete answer and its digest.
    error : ErrorBody or None
        Why there is no answer.
    expires_at_unix_s : float or None
        Time at which the record of an ended job may be deleted.
    """

    job_id: str
    request: JobRequest
    accepted_at_unix_s: float
    state: JobState = JobState.ACCEPTED
    attempt: AttemptId | None = None
    assignment: Assignment | None = None
    recorded_attempts: int = 0
    counted_attempts: int = 0
    ran_before: bool = False
    cancel_requested: bool = False
    checkpoints: tuple[str, ...] = ()
    answer: str | None = None
    answer_sha256: str = ""
    error: ErrorBody | None = None
    expires_at_unix_s: float | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have started."""
        return self.ran_before or self.assignment is not None

    def make_reply(self) -> JobReply:
        """Return the reply that describes the job to its caller."""
        length = len(self.answer.encode()) if self.answer is not None else 0
        return JobReply(
            job_id=self.job_id,
            key=self.request.key,
            state=self.state,
            answer=self.answer,
            answer_length=length,
            answer_sha256=self.answer_sha256,
            error=self.error,
            attempts=self.recorded_attempts,
        )


@attrs.frozen
class FinishedChange:
    """A job that ended, and the log index of its last command."""

    log_index: int
    change: JobChange


@attrs.frozen
class StateSnapshot:
    """Complete replicated state after `applied_index`."""

    applied_index: int
    documents: tuple[DocumentRecord, ...]
    upstreams: tuple[Announcement, ...]
    jobs: tuple[JobRecord, ...]

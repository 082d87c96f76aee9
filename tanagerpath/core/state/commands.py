"""Commands of the replicated log, in the order of a job's life cycle."""

import attrs

from tanagerpath.core.model import (
    Assignment,
    AttemptId,
    JobRequest,
    JobState,
    ServiceDocument,
)
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.protocol.upstreams import Announcement

__all__ = [
    "AcceptJob",
    "ApplyDocument",
    "Command",
    "EndAttempt",
    "ExpireJobs",
    "FinishJob",
    "RecordCheckpoint",
    "RecordStart",
    "RecordStartRefuted",
    "RegisterUpstream",
    "RemoveUpstream",
    "RequestCancel",
]


@attrs.frozen
class ApplyDocument:
    """Put a document in force."""

    document: ServiceDocument


@attrs.frozen
class RegisterUpstream:
    """Register an upstream, or its new incarnation."""

    announcement: Announcement


@attrs.frozen
class RemoveUpstream:
    """Remove an upstream that has left."""

    upstream_id: str
    incarnation: str


@attrs.frozen
class AcceptJob:
    """Accept a job."""

    job_id: str
    request: JobRequest
    accepted_at_unix_s: float


@attrs.frozen
class RecordStart:
    """Record that start requests of this attempt may be sent from now on."""

    job_id: str
    attempt: AttemptId
    assignment: Assignment


@attrs.frozen
class RecordStartRefuted:
    """Record that every member confirmed that the attempt did not start."""

    job_id: str
    attempt: AttemptId


@attrs.frozen
class RecordCheckpoint:
    """Record the checkpoints of a stopped attempt, one name for each rank."""

    job_id: str
    attempt: AttemptId
    checkpoints: tuple[str, ...]


@attrs.frozen
class EndAttempt:
    """End an attempt that is over on all members; the job may be started again.

    `counts` tells whether the attempt counts against the retry budget.
    """

    job_id: str
    attempt: AttemptId
    counts: bool


@attrs.frozen
class FinishJob:
    """End a job.

    Attributes
    ----------
    attempt : AttemptId or None
        The attempt that ends with the job; None if no start is recorded.
    state : JobState
        Final state.
    answer, answer_sha256 : str or None
        Complete answer and its digest.
    error : ErrorBody or None
        Why there is no answer.
    expires_at_unix_s : float
        Time at which the record may be deleted.
    """

    job_id: str
    attempt: AttemptId | None
    state: JobState
    expires_at_unix_s: float
    answer: str | None = None
    answer_sha256: str = ""
    error: ErrorBody | None = None


@attrs.frozen
class RequestCancel:
    """Cancel jobs.

    Jobs without a recorded start end at once; the others are marked as cancelled.
    """

    job_ids: tuple[str, ...]
    expires_at_unix_s: float


@attrs.frozen
class ExpireJobs:
    """Delete the records of ended jobs that expire by this time."""

    until_unix_s: float


Command = (
    ApplyDocument
    | RegisterUpstream
    | RemoveUpstream
    | AcceptJob
    | RecordStart
    | RecordStartRefuted
    | RecordCheckpoint
    | EndAttempt
    | FinishJob
    | RequestCancel
    | ExpireJobs
)

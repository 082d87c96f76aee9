"""Messages between entries and callers, operators and the platform."""

import attrs

from tanagerpath.core.model import JobRequest, JobState, ServiceDocument
from tanagerpath.errors import Failure

__all__ = [
    "DocumentReply",
    "DocumentRequest",
    "ErrorBody",
    "ErrorReply",
    "JobReply",
    "SubmitRequest",
]


@attrs.frozen
class SubmitRequest:
    """A caller submits a job.

    Attributes
    ----------
    job : JobRequest
        What to run.
    wait_until_unix_s : float or None
        Time in UTC seconds until which the entry may hold the exchange open for the
        answer; None returns as soon as the job is accepted.
    retry : bool
        Whether an earlier request with the same key ended without a reply or with
        `not_run` false. A refusal then never sets `not_run`, because the earlier
        request may have been accepted or may still arrive.
    """

    job: JobRequest
    wait_until_unix_s: float | None = None
    retry: bool = False


@attrs.frozen
class JobReply:
    """State of a job, with its complete answer once it has one.

    Attributes
    ----------
    job_id : str
        The job.
    key : str
        The caller's own key, so that a caller can detect a misrouted reply.
    state : JobState
        Current state.
    answer : str or None
        The complete answer.
    answer_length : int
        Length of the answer in UTF-8 bytes.
    answer_sha256 : str
        Hexadecimal SHA-256 digest of the answer's UTF-8 bytes.
    error : ErrorBody or None
        Why the job ended without an answer.
    attempts : int
        Attempts recorded so far.
    """

    job_id: str
    key: str
    state: JobState
    answer: str | None = None
    answer_length: int = 0
    answer_sha256: str = ""
    error: "ErrorBody | None" = None
    attempts: int = 0


@attrs.frozen
class DocumentRequest:
    """An operator applies a document."""

    document: ServiceDocument


@attrs.frozen
class DocumentReply:
    """The document in force.

    Attributes
    ----------
    document : ServiceDocument
        The accepted content.
    log_index : int
        Index of the log entry that committed it.
    """

    document: ServiceDocument
    log_index: int


@attrs.frozen
class ErrorBody:
    """A failure on the wire.

    Attributes
    ----------
    type : str
        Type name of the failure.
    message : str
        Human-readable one-line message.
    not_run : bool
        True only if the requested work is known not to have run.
    retry_at_unix_s : float or None
        Time in UTC seconds from which a retry is useful.
    field, value, expected : str
        The offending field, its value and what was expected, for invalid input.
    current_revision : int or None
        Revision in force, for a conflict.
    """

    type: str
    message: str
    not_run: bool = False
    retry_at_unix_s: float | None = None
    field: str = ""
    value: str = ""
    expected: str = ""
    current_revision: int | None = None

    @classmethod
    def from_failure(cls, failure: Failure) -> "ErrorBody":
        """Convert a failure for the wire."""
        return cls(
            type=failure.type_name,
            message=failure.message,
            not_run=failure.not_run,
            retry_at_unix_s=failure.retry_at_unix_s,
            field=getattr(failure, "field", ""),
            value=str(getattr(failure, "value", "")),
            expected=getattr(failure, "expected", ""),
            current_revision=getattr(failure, "current_revision", None),
        )


@attrs.frozen
class ErrorReply:
    """Body of every refusal."""

    error: ErrorBody

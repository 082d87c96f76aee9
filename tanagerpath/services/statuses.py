"""HTTP status codes of replies and failures."""

from tanagerpath.core.model import JobState
from tanagerpath.core.protocol.callers import JobReply

__all__ = ["find_error_status", "find_job_status"]

_STATUS_BY_ERROR = {
    "MalformedMessage": 400,
    "InvalidDocument": 400,
    "InvalidJob": 400,
    "InvalidAnnouncement": 400,
    "UnknownJob": 404,
    "UnknownService": 404,
    "UnknownOrganisation": 403,
    "KeyConflict": 409,
    "RevisionConflict": 409,
    "GuaranteeCannotBeMet": 422,
    "ImpossibleShape": 422,
    "DeadlinePassed": 422,
    "QuotaTooSmall": 422,
    "PayloadTooLarge": 413,
    "QueueFull": 429,
    "Overloaded": 429,
    "MailboxFull": 429,
}
DEFAULT_ERROR_STATUS = 503
ACCEPTED_STATUS = 202


def find_error_status(type_name: str) -> int:
    """Return the HTTP status of a failure type."""
    return _STATUS_BY_ERROR.get(type_name, DEFAULT_ERROR_STATUS)


def find_job_status(reply: JobReply) -> int:
    """Return the HTTP status of a job, 202 until it has ended.

    A job that was refused before it ran has the status of its error.
    """
    if not reply.state.is_final:
        return ACCEPTED_STATUS
    if reply.state is JobState.REFUSED_NOT_RUN and reply.error is not None:
        return find_error_status(reply.error.type)
    return 200

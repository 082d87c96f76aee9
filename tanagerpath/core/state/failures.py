"""Failures of commands on the replicated state."""

import attrs

from tanagerpath.errors import Failure

__all__ = [
    "AnswerTooLarge",
    "AttemptSuperseded",
    "JobAlreadyFinal",
    "KeyConflict",
    "NonIdempotentRerun",
    "PayloadTooLarge",
    "QueueFull",
    "RevisionConflict",
    "UnknownJob",
    "UnknownOrganisation",
    "UnknownService",
]


@attrs.frozen(kw_only=True)
class UnknownService(Failure):
    """No document declares the service."""

    not_run: bool = True
    service: str

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return f"no document declares service {self.service!r}"


@attrs.frozen(kw_only=True)
class UnknownOrganisation(Failure):
    """The document of the service does not name the organisation."""

    not_run: bool = True
    service: str
    organisation: str

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return (
            f"organisation {self.organisation!r} has no terms in the document of "
            f"service {self.service!r}"
        )


@attrs.frozen(kw_only=True)
class UnknownJob(Failure):
    """No job has this id; it may have expired."""

    job_id: str

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return f"no job has the id {self.job_id!r}"


@attrs.frozen(kw_only=True)
class KeyConflict(Failure):
    """The caller's key already belongs to a job with other content.

    `not_run` refers to the content of this request; the earlier job continues.
    """

    not_run: bool = True
    key: str
    job_id: str

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return (
            f"key {self.key!r} already belongs to job {self.job_id} with other content"
        )


@attrs.frozen(kw_only=True)
class RevisionConflict(Failure):
    """The revision of a document is not the successor of the current one.

    Attributes
    ----------
    service : str
        Service of the document.
    revision : int
        Revision that was sent.
    current_revision : int
        Revision in force; 0 if there is none.
    """

    not_run: bool = True
    service: str
    revision: int
    current_revision: int

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return (
            f"revision {self.revision} of {self.service!r} was refused; "
            f"the current revision is {self.current_revision}"
        )


@attrs.frozen(kw_only=True)
class QueueFull(Failure):
    """The service has as many queued jobs as its document allows."""

    not_run: bool = True
    service: str
    max_queued_jobs: int

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return f"service {self.service!r} has {self.max_queued_jobs} queued jobs"


@attrs.frozen(kw_only=True)
class PayloadTooLarge(Failure):
    """The payload is larger than the document allows."""

    not_run: bool = True
    payload_bytes: int
    max_payload_bytes: int

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return (
            f"payload of {self.payload_bytes} bytes; "
            f"at most {self.max_payload_bytes} are allowed"
        )


@attrs.frozen(kw_only=True)
class AnswerTooLarge(Failure):
    """The answer is larger than the document allows; the job did run."""

    answer_bytes: int
    max_answer_bytes: int

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return (
            f"answer of {self.answer_bytes} bytes; "
            f"at most {self.max_answer_bytes} are allowed"
        )


@attrs.frozen(kw_only=True)
class JobAlreadyFinal(Failure):
    """The job has already ended."""

    job_id: str

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return f"job {self.job_id} has already ended"


@attrs.frozen(kw_only=True)
class AttemptSuperseded(Failure):
    """The command refers to an attempt that is not the current one."""

    job_id: str

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return f"the attempt is not the current one of job {self.job_id}"


@attrs.frozen(kw_only=True)
class NonIdempotentRerun(Failure):
    """A non-idempotent job that may have run must not be started again."""

    job_id: str

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return f"job {self.job_id} is non-idempotent and may have run"

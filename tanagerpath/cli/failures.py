"""Failures of the client commands."""

import datetime

import attrs

from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.errors import Failure, WrongField

__all__ = [
    "AnswerNotReady",
    "CrossedReply",
    "EndedWithoutAnswer",
    "InvalidArgument",
    "NoEntryReachable",
    "Refused",
    "UnreadableReply",
]


@attrs.frozen(kw_only=True)
class InvalidArgument(WrongField):
    """An argument of a command is invalid."""

    @property
    def message(self) -> str:
        """One line for people."""
        return f"argument {self.field}: got {self.value!r}, expected {self.expected}"


@attrs.frozen(kw_only=True)
class Refused(Failure):
    """The system rejected a request.

    Attributes
    ----------
    error : ErrorBody
        The error as the entry sent it.
    status : int
        HTTP status.
    """

    error: ErrorBody
    status: int

    @property
    def message(self) -> str:
        """One line for people."""
        return f"refused: {_describe(self.error)}"


@attrs.frozen(kw_only=True)
class EndedWithoutAnswer(Failure):
    """A job ended without an answer."""

    job_id: str
    state: str
    error: ErrorBody | None

    @property
    def message(self) -> str:
        """One line for people."""
        reason = f": {_describe(self.error)}" if self.error else ""
        return f"job {self.job_id} ended as {self.state}{reason}"


@attrs.frozen(kw_only=True)
class AnswerNotReady(Failure):
    """The wait for an answer timed out; the job continues."""

    job_id: str
    state: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"job {self.job_id} is {self.state}, its answer is not there yet"


@attrs.frozen(kw_only=True)
class NoEntryReachable(Failure):
    """No entry replied.

    Attributes
    ----------
    entries : tuple of str
        Addresses that were tried.
    last : str
        Message of the last failure.
    """

    entries: tuple[str, ...]
    last: str

    @property
    def message(self) -> str:
        """One line for people."""
        certainty = (
            "the request was never sent"
            if self.not_run
            else "the request may have arrived; repeat it with the same key or revision"
        )
        tried = ", ".join(self.entries)
        return f"no reply from any entry ({tried}): {self.last}; {certainty}"


@attrs.frozen(kw_only=True)
class UnreadableReply(Failure):
    """A reply is not the expected message, for example because it was truncated."""

    address: str
    detail: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"unreadable reply from {self.address}: {self.detail}"


@attrs.frozen(kw_only=True)
class CrossedReply(Failure):
    """A reply belongs to another request, or its answer is incomplete."""

    address: str
    detail: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"wrong reply from {self.address}: {self.detail}"


def _describe(error: ErrorBody) -> str:
    parts = [f"{error.type}: {error.message}"]
    if error.not_run:
        parts.append("not run")
    if error.retry_at_unix_s is not None:
        instant = datetime.datetime.fromtimestamp(error.retry_at_unix_s, datetime.UTC)
        parts.append(f"retry at {instant:%H:%M:%S} UTC")
    return " ".join("; ".join(parts).split())

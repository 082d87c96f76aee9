"""Failures that end an attempt or a job without an answer."""

import attrs

from tanagerpath.core.protocol.upstreams import TaskPhase
from tanagerpath.errors import Failure

__all__ = [
    "AttemptsExhausted",
    "DeadlinePassed",
    "JobCancelled",
    "JobPreempted",
    "MemberFailed",
    "MemberLost",
    "OutcomeUnknown",
    "StartFailedEverywhere",
    "StartTimedOut",
]


@attrs.frozen(kw_only=True)
class MemberFailed(Failure):
    """A member of the gang refused, failed to start or failed while running."""

    upstream_id: str
    rank: int
    phase: TaskPhase
    detail: str = ""

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        phase = self.phase.replace("_", " ")
        detail = f" ({self.detail})" if self.detail else ""
        return f"rank {self.rank} on {self.upstream_id} {phase}{detail}"


@attrs.frozen(kw_only=True)
class MemberLost(Failure):
    """The lease of a member expired or its upstream restarted."""

    upstream_id: str
    rank: int

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return f"rank {self.rank} on {self.upstream_id} was lost"


@attrs.frozen(kw_only=True)
class StartTimedOut(Failure):
    """Not all members had reserved or started before the deadline."""

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return "not all members started before the deadline"


@attrs.frozen(kw_only=True)
class JobPreempted(Failure):
    """The scheduler preempted the job."""


@attrs.frozen(kw_only=True)
class JobCancelled(Failure):
    """The caller cancelled the job."""

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return "cancelled by the caller"


@attrs.frozen(kw_only=True)
class DeadlinePassed(Failure):
    """The job's deadline passed before it could start."""

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return "the deadline passed before the job could start"


@attrs.frozen(kw_only=True)
class AttemptsExhausted(Failure):
    """The retry budget is exhausted."""

    attempts: int
    last: str

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return f"{self.attempts} attempts failed, the last one: {self.last}"


@attrs.frozen(kw_only=True)
class StartFailedEverywhere(Failure):
    """No attempt could be started."""

    attempts: int
    last: str

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return f"{self.attempts} starts failed, the last one: {self.last}"


@attrs.frozen(kw_only=True)
class OutcomeUnknown(Failure):
    """A non-idempotent job may have run, and its answer is lost."""

    last: str

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return f"the job may have run, its answer is lost: {self.last}"

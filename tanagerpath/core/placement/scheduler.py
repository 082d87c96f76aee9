"""Interface of the scheduling policies."""

import abc
import enum
from collections.abc import Mapping
from typing import Self

import attrs
from returns.result import Result

from tanagerpath.core.model import (
    Assignment,
    GuaranteedShape,
    JobRequest,
    UpstreamCapacity,
)
from tanagerpath.errors import Failure

__all__ = [
    "Decision",
    "GuaranteeCannotBeMet",
    "ImpossibleShape",
    "PendingJob",
    "PlaceJob",
    "PreemptJob",
    "QuotaTooSmall",
    "Scheduler",
    "UpstreamCondition",
]


class UpstreamCondition(enum.StrEnum):
    """Whether new work may go to an upstream."""

    USABLE = "usable"
    DRAINING = "draining"
    LOST = "lost"


@attrs.frozen
class PendingJob:
    """A job that waits for accelerators.

    Attributes
    ----------
    job_id : str
        The job.
    request : JobRequest
        The caller's description.
    accepted_at_s : float
        Instant of acceptance on the scheduler's clock.
    deadline_s : float or None
        The job's deadline on the scheduler's clock.
    """

    job_id: str
    request: JobRequest
    accepted_at_s: float
    deadline_s: float | None = None


@attrs.frozen
class PlaceJob:
    """Start a job on these accelerators, which it holds from now on."""

    job_id: str
    assignment: Assignment


@attrs.frozen
class PreemptJob:
    """Preempt a job: checkpoint until the deadline, then stop."""

    job_id: str
    checkpoint_deadline_s: float


Decision = PlaceJob | PreemptJob


@attrs.frozen(kw_only=True)
class ImpossibleShape(Failure):
    """No registered hardware could run the job, even if all were usable and idle."""

    not_run: bool = True
    accelerators: int

    @property
    def message(self) -> str:
        """One line for people."""
        return f"no known hardware can hold {self.accelerators} adjacent accelerators"


@attrs.frozen(kw_only=True)
class GuaranteeCannotBeMet(Failure):
    """No set of disjoint runs meets all guaranteed shapes."""

    not_run: bool = True
    organisation: str
    accelerators: int

    @property
    def message(self) -> str:
        """One line for people."""
        return (
            f"the guaranteed run of {self.accelerators} accelerators of organisation "
            f"{self.organisation!r} does not fit on the usable upstreams"
        )


@attrs.frozen(kw_only=True)
class QuotaTooSmall(Failure):
    """The job needs more accelerators than its organisation's quota."""

    not_run: bool = True
    organisation: str
    accelerators: int
    quota_accelerators: int

    @classmethod
    def from_request(cls, request: JobRequest, quota_accelerators: int) -> Self:
        """Make the failure for a request and the current quota."""
        return cls(
            organisation=request.organisation,
            accelerators=request.accelerators,
            quota_accelerators=quota_accelerators,
        )

    @property
    def message(self) -> str:
        """One line for people."""
        return (
            f"{self.accelerators} accelerators exceed the quota of "
            f"{self.quota_accelerators} of organisation {self.organisation!r}"
        )


class Scheduler(abc.ABC):
    """Decides where and when jobs run.

    All instants are seconds on one monotonic clock of the caller's choice. Methods are
    called from one task only.
    """

    @abc.abstractmethod
    def update_upstream(
        self, capacity: UpstreamCapacity, condition: UpstreamCondition, now_s: float
    ) -> None:
        """Add an upstream or change its capacity or condition.

        Jobs on a lost or draining upstream keep their accelerators until
        `record_finished`; no other job is placed on them.
        """

    @abc.abstractmethod
    def remove_upstream(self, upstream_id: str) -> None:
        """Remove an upstream that runs no job."""

    @abc.abstractmethod
    def update_guarantees(
        self,
        guarantees: Mapping[str, tuple[GuaranteedShape, ...]],
        quotas: Mapping[str, int],
    ) -> None:
        """Replace the guaranteed shapes and the quotas, by organisation.

        Parameters
        ----------
        guarantees : mapping of str to tuple of GuaranteedShape
            All guaranteed shapes in force.
        quotas : mapping of str to int
            Accelerators that each organisation may hold at the same time.
        """

    @abc.abstractmethod
    def check_guarantees(
        self, guarantees: Mapping[str, tuple[GuaranteedShape, ...]]
    ) -> Result[None, GuaranteeCannotBeMet]:
        """Check that all these shapes and the required spare runs fit at once."""

    @abc.abstractmethod
    def list_unmet_guarantees(self) -> tuple[GuaranteeCannotBeMet, ...]:
        """Return the guarantees that currently cannot be met, after losses."""

    @abc.abstractmethod
    def submit(self, job: PendingJob, now_s: float) -> Result[None, Failure]:
        """Queue a job; fails with `ImpossibleShape` or `QuotaTooSmall` if it can't run.

        A job that was preempted or failed to start is submitted again under the same
        id, after `record_finished`.
        """

    @abc.abstractmethod
    def withdraw(self, job_id: str) -> None:
        """Remove a job from the queue; no effect if it is not queued."""

    @abc.abstractmethod
    def restore(
        self, job: PendingJob, assignment: Assignment, started_at_s: float
    ) -> None:
        """Add a job that was started under an earlier leader."""

    @abc.abstractmethod
    def record_started(self, job_id: str, now_s: float) -> None:
        """Record that a placed job runs on all its accelerators."""

    @abc.abstractmethod
    def record_finished(self, job_id: str, now_s: float) -> None:
        """Release all accelerators of a job that ended, for whatever reason."""

    @abc.abstractmethod
    def record_start_failure(self, job_id: str, upstream_id: str, now_s: float) -> None:
        """Record a failed start; does not release the job's accelerators."""

    @abc.abstractmethod
    def record_start_success(self, job_id: str, upstream_id: str, now_s: float) -> None:
        """Record that a member ran successfully on an upstream."""

    @abc.abstractmethod
    def list_probe_candidates(self, now_s: float) -> tuple[str, ...]:
        """Return quarantined upstreams that are due for a probe."""

    @abc.abstractmethod
    def record_probe(self, upstream_id: str, healthy: bool, now_s: float) -> None:
        """Record the result of a probe."""

    @abc.abstractmethod
    def decide(self, now_s: float) -> list[Decision]:
        """Return new decisions; placed jobs already hold their accelerators."""

    @abc.abstractmethod
    def find_wake_up_s(self, now_s: float) -> float | None:
        """Return the next instant at which `decide` should run without an event."""

    @abc.abstractmethod
    def explain(self, job_id: str, now_s: float) -> str:
        """Explain in one or two sentences why a job waits or where it is placed."""

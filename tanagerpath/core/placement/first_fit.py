"""Baseline policies: first fit in order of arrival, with and without blocking."""

import bisect
from collections.abc import Mapping
from typing import Self

import attrs
from returns.result import Failure as Fail
from returns.result import Result, Success

from tanagerpath.core.model import (
    AcceleratorRun,
    Assignment,
    GuaranteedShape,
    JobRequest,
    UpstreamCapacity,
)
from tanagerpath.core.placement.config import SchedulerConfig
from tanagerpath.core.placement.geometry import (
    MAX_SINGLE_UPSTREAM,
    find_first_fit,
)
from tanagerpath.core.placement.occupancy import HeldJob, Occupancy
from tanagerpath.core.placement.scheduler import (
    Decision,
    GuaranteeCannotBeMet,
    ImpossibleShape,
    PendingJob,
    PlaceJob,
    QuotaTooSmall,
    Scheduler,
    UpstreamCondition,
)
from tanagerpath.errors import Failure

__all__ = ["FirstComeFirstFitScheduler", "FirstFitScheduler"]


@attrs.frozen
class _Needs:
    """Resources of a job; jobs with equal needs all fit or all fail."""

    organisation: str
    service: str
    accelerators: int
    cores: int
    memory_bytes: int

    @classmethod
    def from_request(cls, request: JobRequest) -> Self:
        return cls(
            request.organisation,
            request.service,
            request.accelerators,
            request.cores,
            request.memory_bytes,
        )


@attrs.define
class FirstComeFirstFitScheduler(Scheduler):
    """Places jobs strictly in order of arrival on the first run that fits.

    It applies quotas and the conditions of upstreams, but no guarantees, classes,
    preemption or failures. A job that does not fit blocks all later ones.
    """

    has_head_of_line_blocking = True

    _occupancy: Occupancy = attrs.field(factory=Occupancy)
    _queue: dict[str, PendingJob] = attrs.field(factory=dict)
    _order: list[tuple[float, str]] = attrs.field(factory=list)
    _quotas: dict[str, int] = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, config: SchedulerConfig) -> Self:
        """Make the policy; the configuration is ignored."""
        del config
        return cls()

    def update_upstream(
        self, capacity: UpstreamCapacity, condition: UpstreamCondition, now_s: float
    ) -> None:
        """See `Scheduler`."""
        self._occupancy.update_upstream(capacity, condition)

    def remove_upstream(self, upstream_id: str) -> None:
        """See `Scheduler`."""
        self._occupancy.remove_upstream(upstream_id)

    def update_guarantees(
        self,
        guarantees: Mapping[str, tuple[GuaranteedShape, ...]],
        quotas: Mapping[str, int],
    ) -> None:
        """Replace the quotas; guarantees are ignored."""
        self._quotas = dict(quotas)

    def check_guarantees(
        self, guarantees: Mapping[str, tuple[GuaranteedShape, ...]]
    ) -> Result[None, GuaranteeCannotBeMet]:
        """Accept any guarantees."""
        return Success(None)

    def list_unmet_guarantees(self) -> tuple[GuaranteeCannotBeMet, ...]:
        """Return nothing."""
        return ()

    def submit(self, job: PendingJob, now_s: float) -> Result[None, Failure]:
        """See `Scheduler`."""
        request = job.request
        if not self._occupancy.topology.could_hold(request):
            return Fail(ImpossibleShape(accelerators=request.accelerators))
        held = self._occupancy.topology.count_required(request.accelerators)
        quota = self._quotas.get(request.organisation, 0)
        if held > quota:
            return Fail(QuotaTooSmall.from_request(request, quota))
        self._dequeue(job.job_id)
        self._queue[job.job_id] = job
        bisect.insort(self._order, _make_arrival_key(job))
        return Success(None)

    def withdraw(self, job_id: str) -> None:
        """See `Scheduler`."""
        self._dequeue(job_id)

    def restore(
        self, job: PendingJob, assignment: Assignment, started_at_s: float
    ) -> None:
        """See `Scheduler`."""
        self._dequeue(job.job_id)
        self._occupancy.hold(HeldJob(job, assignment, started_at_s, started_at_s))

    def record_started(self, job_id: str, now_s: float) -> None:
        """See `Scheduler`."""
        held = self._occupancy.jobs.get(job_id)
        if held is not None:
            held.started_at_s = now_s

    def record_finished(self, job_id: str, now_s: float) -> None:
        """See `Scheduler`."""
        self._occupancy.release(job_id)

    def record_start_failure(self, job_id: str, upstream_id: str, now_s: float) -> None:
        """Ignore the failure."""

    def record_start_success(self, job_id: str, upstream_id: str, now_s: float) -> None:
        """Ignore the success."""

    def list_probe_candidates(self, now_s: float) -> tuple[str, ...]:
        """Return nothing: no upstream is ever quarantined."""
        return ()

    def record_probe(self, upstream_id: str, healthy: bool, now_s: float) -> None:
        """Ignore the probe."""

    def decide(self, now_s: float) -> list[Decision]:
        """See `Scheduler`."""
        decisions: list[Decision] = []
        unplaceable: set[_Needs] = set()
        for _, job_id in list(self._order):
            job = self._queue[job_id]
            needs = _Needs.from_request(job.request)
            if needs in unplaceable:
                continue
            assignment = self._find_assignment(job.request)
            if assignment is not None:
                self._occupancy.hold(HeldJob(job, assignment, now_s))
                self._dequeue(job.job_id)
                decisions.append(PlaceJob(job.job_id, assignment))
            elif self.has_head_of_line_blocking:
                break
            else:
                unplaceable.add(needs)
        return decisions

    def find_wake_up_s(self, now_s: float) -> float | None:
        """Return None: only events change what can be placed."""
        return None

    def explain(self, job_id: str, now_s: float) -> str:
        """See `Scheduler`."""
        if job_id in self._occupancy.jobs:
            names = self._occupancy.jobs[job_id].assignment.upstream_ids
            return f"Placed on {', '.join(names)}."
        if job_id in self._queue:
            return "Waits for its turn in order of arrival."
        return "Not known to the scheduler."

    def _dequeue(self, job_id: str) -> None:
        job = self._queue.pop(job_id, None)
        if job is not None:
            del self._order[bisect.bisect_left(self._order, _make_arrival_key(job))]

    def _find_assignment(self, request: JobRequest) -> Assignment | None:
        topology = self._occupancy.topology
        used = self._occupancy.usage.get(request.organisation, 0)
        left = self._quotas.get(request.organisation, 0) - used
        for window in topology.list_windows(request.accelerators):
            if request.accelerators <= MAX_SINGLE_UPSTREAM:
                assignment = self._fit_single(window[0], request)
            else:
                assignment = self._fit_gang(window, request)
            if assignment is not None and assignment.accelerators <= left:
                return assignment
        return None

    def _fit_single(self, upstream_id: str, request: JobRequest) -> Assignment | None:
        state = self._occupancy.states[upstream_id]
        if not state.is_usable or not state.has_room(request):
            return None
        first = find_first_fit(state.free, request.accelerators)
        if first is None:
            return None
        return Assignment((AcceleratorRun(upstream_id, first, request.accelerators),))

    def _fit_gang(
        self, window: tuple[str, ...], request: JobRequest
    ) -> Assignment | None:
        for upstream_id in window:
            state = self._occupancy.states[upstream_id]
            if not state.is_usable or state.taken or not state.has_room(request):
                return None
        return self._occupancy.topology.make_gang_assignment(window)


@attrs.define
class FirstFitScheduler(FirstComeFirstFitScheduler):
    """First fit without head-of-line blocking: later jobs may overtake."""

    has_head_of_line_blocking = False


def _make_arrival_key(job: PendingJob) -> tuple[float, str]:
    return (job.accepted_at_s, job.job_id)

"""Search for the run that is estimated to be free first."""

import attrs

from tanagerpath.core.model import AcceleratorRun, Assignment
from tanagerpath.core.placement.context import PolicyContext
from tanagerpath.core.placement.geometry import MAX_SINGLE_UPSTREAM, make_mask
from tanagerpath.core.placement.reservations import Reservation
from tanagerpath.core.placement.scheduler import PendingJob

__all__ = ["EarliestRunSearch"]


@attrs.define
class EarliestRunSearch:
    """Finds reservations; the estimated end of each running job is cached."""

    _context: PolicyContext
    _ends_s: dict[str, float] = attrs.field(factory=dict)

    def find(self, job: PendingJob) -> Reservation | None:
        """Return a reservation for the run that is free first, or None."""
        topology = self._context.occupancy.topology
        size = job.request.accelerators
        best: tuple[float, Assignment] | None = None
        for window in topology.list_windows(size):
            if size > MAX_SINGLE_UPSTREAM:
                choices = [topology.make_gang_assignment(window)]
            else:
                choices = self._list_aligned(window[0], size)
            for assignment in choices:
                available_at_s = self._find_available_at_s(job, assignment, best)
                if available_at_s is not None:
                    best = (available_at_s, assignment)
        if best is None:
            return None
        return Reservation(job.job_id, best[1], best[0])

    def _list_aligned(self, upstream_id: str, size: int) -> list[Assignment]:
        accelerators = self._context.occupancy.topology.capacities[
            upstream_id
        ].accelerators
        return [
            Assignment((AcceleratorRun(upstream_id, first, size),))
            for first in range(0, accelerators - size + 1, size)
        ]

    def _find_available_at_s(
        self,
        job: PendingJob,
        assignment: Assignment,
        best: tuple[float, Assignment] | None,
    ) -> float | None:
        """Return when a run is free if that is before the best so far, else None."""
        available_at_s = self._context.now_s
        for run in assignment.runs:
            mask = make_mask(run.first, run.count)
            if not self._may_reserve(job, run.upstream_id, mask):
                return None
            state = self._context.occupancy.states[run.upstream_id]
            for job_id, held in state.masks.items():
                if held & mask:
                    available_at_s = max(available_at_s, self._find_end_s(job_id))
            if best is not None and available_at_s >= best[0]:
                return None
        return available_at_s

    def _may_reserve(self, job: PendingJob, upstream_id: str, mask: int) -> bool:
        context = self._context
        if not context.is_available(upstream_id):
            return False
        excluded = context.holds.masks.get(upstream_id, 0)
        excluded |= context.reservations.find_reserved_mask(
            upstream_id, job.job_id, float("inf")
        )
        if not job.request.preemptible:
            excluded |= context.plan.masks.get(upstream_id, 0)
        return not mask & excluded

    def _find_end_s(self, job_id: str) -> float:
        if job_id not in self._ends_s:
            held = self._context.occupancy.jobs[job_id]
            self._ends_s[job_id] = self._context.estimate_end_s(held)
        return self._ends_s[job_id]

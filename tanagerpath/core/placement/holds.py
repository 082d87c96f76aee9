"""Accelerators held for a job while the jobs on them are preempted."""

import attrs

from tanagerpath.core.model import Assignment
from tanagerpath.core.placement.occupancy import Occupancy
from tanagerpath.core.placement.packing import add_masks
from tanagerpath.core.placement.scheduler import PendingJob

__all__ = ["Hold", "HoldTable"]


@attrs.frozen
class Hold:
    """A job and the accelerators that are held for it."""

    job: PendingJob
    assignment: Assignment
    created_at_s: float


@attrs.define
class HoldTable:
    """All holds; no other job is placed on held accelerators."""

    holds: dict[str, Hold] = attrs.field(factory=dict)
    masks: dict[str, int] = attrs.field(factory=dict)

    def add(self, hold: Hold) -> None:
        """Hold accelerators for a job."""
        self.holds[hold.job.job_id] = hold
        add_masks(self.masks, hold.assignment)

    def remove(self, job_id: str) -> Hold | None:
        """Remove the hold of a job and return it."""
        hold = self.holds.pop(job_id, None)
        if hold is not None:
            self.masks.clear()
            for other in self.holds.values():
                add_masks(self.masks, other.assignment)
        return hold

    def count_held(self, organisation: str) -> int:
        """Return the number of accelerators held for an organisation's jobs."""
        return sum(
            hold.assignment.accelerators
            for hold in self.holds.values()
            if hold.job.request.organisation == organisation
        )

    def is_cleared(self, hold: Hold, occupancy: Occupancy) -> bool:
        """Whether a hold's accelerators, slots, cores and memory are free."""
        wanted: dict[str, int] = {}
        add_masks(wanted, hold.assignment)
        for name, mask in wanted.items():
            state = occupancy.states[name]
            if state.taken & mask or not state.has_room(hold.job.request):
                return False
        return True

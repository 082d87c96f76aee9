"""Which job holds which accelerators."""

import attrs

from tanagerpath.core.model import Assignment, JobRequest, UpstreamCapacity
from tanagerpath.core.placement.geometry import Topology, carries, make_mask
from tanagerpath.core.placement.scheduler import PendingJob, UpstreamCondition

__all__ = ["HeldJob", "Occupancy", "UpstreamState"]


@attrs.define
class HeldJob:
    """A job that holds accelerators.

    Attributes
    ----------
    job : PendingJob
        The job.
    assignment : Assignment
        Accelerators that it holds.
    placed_at_s : float
        Instant of the decision.
    started_at_s : float or None
        Instant at which all members ran.
    preempting : bool
        Whether the job was asked to leave.
    """

    job: PendingJob
    assignment: Assignment
    placed_at_s: float
    started_at_s: float | None = None
    preempting: bool = False


@attrs.define
class UpstreamState:
    """Use of one upstream; masks have one bit for each accelerator."""

    capacity: UpstreamCapacity
    condition: UpstreamCondition
    masks: dict[str, int] = attrs.field(factory=dict)
    taken: int = 0
    cores_used: int = 0
    memory_used: int = 0

    @property
    def all_mask(self) -> int:
        """Bits of all accelerators of the upstream."""
        return (1 << self.capacity.accelerators) - 1

    @property
    def free(self) -> int:
        """Bits of the accelerators that no job holds."""
        return self.all_mask & ~self.taken

    @property
    def is_usable(self) -> bool:
        """Whether new work may go to the upstream."""
        return self.condition is UpstreamCondition.USABLE

    def has_room(self, request: JobRequest) -> bool:
        """Whether slots, cores and memory are left for one more member."""
        capacity = self.capacity
        if len(self.masks) >= capacity.slots:
            return False
        if self.cores_used + request.cores > capacity.cores:
            return False
        if self.memory_used + request.memory_bytes > capacity.memory_bytes:
            return False
        return carries(capacity, request)

    def add(self, job: PendingJob, mask: int) -> None:
        """Take accelerators, a slot, cores and memory for a member."""
        self.masks[job.job_id] = mask
        self.taken |= mask
        self.cores_used += job.request.cores
        self.memory_used += job.request.memory_bytes

    def discard(self, job: PendingJob) -> None:
        """Give back what a member holds."""
        mask = self.masks.pop(job.job_id, None)
        if mask is None:
            return
        self.taken &= ~mask
        self.cores_used -= job.request.cores
        self.memory_used -= job.request.memory_bytes


@attrs.define
class Occupancy:
    """Upstreams, the jobs on them and what each organisation holds."""

    topology: Topology = attrs.field(factory=Topology)
    states: dict[str, UpstreamState] = attrs.field(factory=dict)
    jobs: dict[str, HeldJob] = attrs.field(factory=dict)
    usage: dict[str, int] = attrs.field(factory=dict)

    def update_upstream(
        self, capacity: UpstreamCapacity, condition: UpstreamCondition
    ) -> None:
        """Add an upstream or change it; its jobs keep what they hold."""
        self.topology.add(capacity)
        state = self.states.get(capacity.upstream_id)
        if state is not None:
            state.capacity = capacity
            state.condition = condition
            return
        state = UpstreamState(capacity, condition)
        self.states[capacity.upstream_id] = state
        for held in self.jobs.values():
            self._attach(held, only=capacity.upstream_id)

    def remove_upstream(self, upstream_id: str) -> None:
        """Forget an upstream."""
        self.topology.remove(upstream_id)
        self.states.pop(upstream_id, None)

    def hold(self, held: HeldJob) -> None:
        """Note that a job holds its assignment.

        Members on upstreams that are not registered yet are attached once they are.
        """
        self.release(held.job.job_id)
        self.jobs[held.job.job_id] = held
        self._attach(held)
        self._count(held, 1)

    def release(self, job_id: str) -> HeldJob | None:
        """Free all that a job holds and return what it was."""
        held = self.jobs.pop(job_id, None)
        if held is None:
            return None
        for run in held.assignment.runs:
            state = self.states.get(run.upstream_id)
            if state is not None:
                state.discard(held.job)
        self._count(held, -1)
        return held

    def _attach(self, held: HeldJob, only: str | None = None) -> None:
        for run in held.assignment.runs:
            state = self.states.get(run.upstream_id)
            if state is None or only not in (None, run.upstream_id):
                continue
            state.add(held.job, make_mask(run.first, run.count))

    def _count(self, held: HeldJob, sign: int) -> None:
        organisation = held.job.request.organisation
        change = sign * held.assignment.accelerators
        self.usage[organisation] = self.usage.get(organisation, 0) + change

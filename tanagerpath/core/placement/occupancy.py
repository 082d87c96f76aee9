"""Occupancy: which job holds which accelerators."""

import attrs

from tanagerpath.core.model import Assignment, JobRequest, UpstreamCapacity
from tanagerpath.core.placement.geometry import (
    Topology,
    can_run_member,
    make_mask,
    measure_longest_run,
)
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
        Instant at which all members were running.
    preempting : bool
        Whether the job is being preempted.
    failed : bool
        Whether a member failed to start.
    """

    job: PendingJob
    assignment: Assignment
    placed_at_s: float
    started_at_s: float | None = None
    preempting: bool = False
    failed: bool = False


@attrs.define
class UpstreamState:
    """Use of one upstream; masks have one bit for each accelerator.

    `non_preemptible_mask` covers the accelerators of jobs that may not be preempted;
    `non_preemptible_cores` and `non_preemptible_memory` are what those jobs use.
    """

    capacity: UpstreamCapacity
    condition: UpstreamCondition
    masks: dict[str, int] = attrs.field(factory=dict)
    taken: int = 0
    non_preemptible_mask: int = 0
    non_preemptible_cores: int = 0
    non_preemptible_memory: int = 0
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
        return can_run_member(capacity, request)

    def add(self, job: PendingJob, mask: int) -> None:
        """Allocate accelerators, a slot, cores and memory to a member."""
        self.masks[job.job_id] = mask
        self.taken |= mask
        self.cores_used += job.request.cores
        self.memory_used += job.request.memory_bytes
        if not job.request.preemptible:
            self.non_preemptible_mask |= mask
            self.non_preemptible_cores += job.request.cores
            self.non_preemptible_memory += job.request.memory_bytes

    def discard(self, job: PendingJob) -> None:
        """Release what a member holds."""
        mask = self.masks.pop(job.job_id, None)
        if mask is None:
            return
        self.taken &= ~mask
        self.cores_used -= job.request.cores
        self.memory_used -= job.request.memory_bytes
        if not job.request.preemptible:
            self.non_preemptible_mask &= ~mask
            self.non_preemptible_cores -= job.request.cores
            self.non_preemptible_memory -= job.request.memory_bytes


@attrs.define
class Occupancy:
    """Upstreams, the jobs on them and what each organisation holds.

    Attributes
    ----------
    topology : Topology
        All registered upstreams.
    states : dict of str to UpstreamState
        Use of each upstream.
    jobs : dict of str to HeldJob
        Jobs that hold accelerators.
    usage, non_preemptible_usage : dict of str to int
        Accelerators that each organisation holds, in all and by jobs that may not be
        preempted.
    """

    topology: Topology = attrs.field(factory=Topology)
    states: dict[str, UpstreamState] = attrs.field(factory=dict)
    jobs: dict[str, HeldJob] = attrs.field(factory=dict)
    usage: dict[str, int] = attrs.field(factory=dict)
    non_preemptible_usage: dict[str, int] = attrs.field(factory=dict)
    _by_longest_free_run: dict[int, dict[str, None]] = attrs.field(factory=dict)
    _longest_free_run: dict[str, int] = attrs.field(factory=dict)

    def list_by_longest_free_run(self, length: int) -> list[str]:
        """Return the upstreams whose longest run of free accelerators is `length`."""
        return list(self._by_longest_free_run.get(length, ()))

    def list_free_run_lengths(self, at_least: int) -> list[int]:
        """Return the lengths of the upstreams' longest free runs, in rising order."""
        found = [length for length, names in self._by_longest_free_run.items() if names]
        return sorted(length for length in found if length >= at_least)

    def count_empty_in_rack(self, upstream_id: str) -> int:
        """Return how many upstreams of an upstream's rack are usable and empty."""
        states = map(self.states.__getitem__, self.topology.list_rack(upstream_id))
        return sum(state.is_usable and not state.taken for state in states)

    def count_clearable_in_rack(self, upstream_id: str) -> int:
        """Return how many usable upstreams of a rack preemption could empty."""
        states = map(self.states.__getitem__, self.topology.list_rack(upstream_id))
        return sum(
            state.is_usable and not state.non_preemptible_mask for state in states
        )

    def update_upstream(
        self, capacity: UpstreamCapacity, condition: UpstreamCondition
    ) -> None:
        """Add an upstream or change it; its jobs keep what they hold."""
        usable = condition is UpstreamCondition.USABLE
        self.topology.add(capacity, usable)
        state = self.states.get(capacity.upstream_id)
        if state is not None:
            state.capacity = capacity
            state.condition = condition
            self._update_free_run_index(state)
            return
        state = UpstreamState(capacity, condition)
        self.states[capacity.upstream_id] = state
        for held in self.jobs.values():
            self._attach(held, only=capacity.upstream_id)
        self._update_free_run_index(state)

    def remove_upstream(self, upstream_id: str) -> None:
        """Remove an upstream."""
        self.topology.remove(upstream_id)
        self.states.pop(upstream_id, None)
        length = self._longest_free_run.pop(upstream_id, None)
        if length is not None:
            del self._by_longest_free_run[length][upstream_id]

    def hold(self, held: HeldJob) -> None:
        """Record that a job holds its assignment.

        Members on an unregistered upstream are attached when it is registered.
        """
        self.release(held.job.job_id)
        self.jobs[held.job.job_id] = held
        self._attach(held)
        self._update_usage(held, 1)

    def release(self, job_id: str) -> HeldJob | None:
        """Release what a job holds and return it."""
        held = self.jobs.pop(job_id, None)
        if held is None:
            return None
        for run in held.assignment.runs:
            state = self.states.get(run.upstream_id)
            if state is not None:
                state.discard(held.job)
                self._update_free_run_index(state)
        self._update_usage(held, -1)
        return held

    def _attach(self, held: HeldJob, only: str | None = None) -> None:
        for run in held.assignment.runs:
            state = self.states.get(run.upstream_id)
            if state is None or only not in (None, run.upstream_id):
                continue
            state.add(held.job, make_mask(run.first, run.count))
            self._update_free_run_index(state)

    def _update_free_run_index(self, state: UpstreamState) -> None:
        name = state.capacity.upstream_id
        length = measure_longest_run(state.free)
        if name in self._longest_free_run:
            del self._by_longest_free_run[self._longest_free_run[name]][name]
        self._longest_free_run[name] = length
        self._by_longest_free_run.setdefault(length, {})[name] = None

    def _update_usage(self, held: HeldJob, sign: int) -> None:
        request = held.job.request
        change = sign * held.assignment.accelerators
        tables = (
            [self.usage]
            if request.preemptible
            else [self.usage, self.non_preemptible_usage]
        )
        for table in tables:
            table[request.organisation] = table.get(request.organisation, 0) + change

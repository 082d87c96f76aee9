"""Best-fit search for free accelerators with little fragmentation."""

import math

import attrs

from tanagerpath.core.model import AcceleratorRun, Assignment
from tanagerpath.core.placement.context import PolicyContext
from tanagerpath.core.placement.geometry import MAX_SINGLE_UPSTREAM, list_runs
from tanagerpath.core.placement.occupancy import UpstreamState
from tanagerpath.core.placement.scheduler import PendingJob

__all__ = ["PlacementSearch"]

# Upstreams compared for each length of free run; bounds the cost of one search on a
# large fleet.
MAX_COMPARED = 32

Score = tuple[float, ...]


@attrs.define
class PlacementSearch:
    """Best-fit search for one waiting job."""

    _context: PolicyContext
    _job: PendingJob
    _ends_at_s: float
    _avoided: frozenset[str]
    _exhausted_sizes: set[int]
    _avoid_planned: bool

    @classmethod
    def from_job(
        cls,
        context: PolicyContext,
        job: PendingJob,
        exhausted_sizes: set[int],
        avoid_planned: bool = True,
    ) -> "PlacementSearch":
        """Prepare a search for a job that would start now.

        Parameters
        ----------
        context : PolicyContext
            State of the scheduler.
        job : PendingJob
            The job.
        exhausted_sizes : set of int
            Sizes of gangs for which no window is empty; the search adds to it. Valid
            for one scheduling pass, in which no accelerators become free.
        avoid_planned : bool
            Whether non-preemptible jobs must stay out of planned runs.
        """
        avoided = frozenset(
            context.health.list_avoided_upstreams(job.job_id, context.now_s)
        )
        ends_at_s = context.estimate_end_if_placed_s(job)
        return cls(context, job, ends_at_s, avoided, exhausted_sizes, avoid_planned)

    def find_free(self) -> Assignment | None:
        """Return free accelerators on which the job may start now, or None."""
        if self._job.request.accelerators > MAX_SINGLE_UPSTREAM:
            return self._find_gang()
        return self._find_single()

    def _find_single(self) -> Assignment | None:
        """Search the shortest sufficient free runs first.

        Non-preemptible jobs are compared over all lengths, because their placement
        decides for hours which racks can be reclaimed for gangs.
        """
        occupancy = self._context.occupancy
        best: tuple[Score, AcceleratorRun] | None = None
        for length in occupancy.list_free_run_lengths(self._job.request.accelerators):
            compared = 0
            for name in occupancy.list_by_longest_free_run(length):
                found = self._fit_single(name)
                if found is None:
                    continue
                if best is None or found[0] < best[0]:
                    best = found
                compared += 1
                if compared >= MAX_COMPARED:
                    break
            if best is not None and self._job.request.preemptible:
                break
        return None if best is None else Assignment((best[1],))

    def _fit_single(self, upstream_id: str) -> tuple[Score, AcceleratorRun] | None:
        state = self._context.occupancy.states[upstream_id]
        if not self._may_use(state):
            return None
        count = self._job.request.accelerators
        fits = [
            (length - count, first)
            for first, length in list_runs(self._find_allowed(state))
            if length >= count
        ]
        if not fits:
            return None
        left, first = min(fits)
        score = (left, *self._score_surroundings(state))
        if not self._job.request.preemptible:
            clearable = self._context.occupancy.count_clearable_in_rack(upstream_id)
            score = (clearable, not state.non_preemptible_mask, *score)
        return score, AcceleratorRun(upstream_id, first, count)

    def _score_surroundings(self, state: UpstreamState) -> Score:
        """Prefer partly used upstreams and racks, then jobs with a similar end."""
        name = state.capacity.upstream_id
        if not state.taken:
            return (self._context.occupancy.count_empty_in_rack(name), 0.0)
        jobs = self._context.occupancy.jobs
        ends_s = max(self._context.estimate_end_s(jobs[job]) for job in state.masks)
        now_s = self._context.now_s
        mine = math.log(max(self._ends_at_s - now_s, 1.0))
        theirs = math.log(max(ends_s - now_s, 1.0))
        return (0, abs(mine - theirs))

    def _find_gang(self) -> Assignment | None:
        occupancy = self._context.occupancy
        size = self._job.request.accelerators
        if size in self._exhausted_sizes:
            return None
        best: tuple[Score, tuple[str, ...]] | None = None
        empty = [
            window
            for window in occupancy.topology.list_windows(size)
            if not any(occupancy.states[name].taken for name in window)
        ]
        if not empty:
            self._exhausted_sizes.add(size)
        for window in empty:
            if not all(map(self._is_wholly_allowed, window)):
                continue
            score = (occupancy.count_empty_in_rack(window[0]) - len(window),)
            if best is None or score < best[0]:
                best = (score, window)
        if best is None:
            return None
        return occupancy.topology.make_gang_assignment(best[1])

    def _is_wholly_allowed(self, upstream_id: str) -> bool:
        state = self._context.occupancy.states[upstream_id]
        return self._may_use(state) and self._find_allowed(state) == state.all_mask

    def _may_use(self, state: UpstreamState) -> bool:
        name = state.capacity.upstream_id
        if not state.is_usable or name in self._avoided:
            return False
        request = self._job.request
        if not state.has_room(request) or self._context.is_excluded(name, request):
            return False
        if request.preemptible or not self._avoid_planned:
            return True
        return self._leaves_planned_share(state)

    def _leaves_planned_share(self, state: UpstreamState) -> bool:
        """Whether planned runs keep their share of cores and memory on an upstream.

        Non-preemptible jobs could otherwise use up the cores that a claim on the same
        upstream needs.
        """
        planned = self._context.plan.masks.get(state.capacity.upstream_id, 0)
        unclaimed = (planned & ~state.non_preemptible_mask).bit_count()
        if not unclaimed:
            return True
        capacity = state.capacity
        share = 1.0 - unclaimed / capacity.accelerators
        request = self._job.request
        if state.non_preemptible_cores + request.cores > capacity.cores * share:
            return False
        non_preemptible_memory = state.non_preemptible_memory + request.memory_bytes
        return non_preemptible_memory <= capacity.memory_bytes * share

    def _find_allowed(self, state: UpstreamState) -> int:
        name = state.capacity.upstream_id
        context = self._context
        excluded = context.holds.masks.get(name, 0)
        excluded |= context.reservations.find_reserved_mask(
            name, self._job.job_id, self._ends_at_s
        )
        if self._avoid_planned and not self._job.request.preemptible:
            excluded |= context.plan.masks.get(name, 0)
        return state.free & ~excluded

"""Packing of disjoint runs for several demands."""

from collections.abc import Callable, Mapping, Sequence

import attrs

from tanagerpath.core.model import AcceleratorRun, Assignment, JobRequest
from tanagerpath.core.placement.geometry import (
    MAX_SINGLE_UPSTREAM,
    can_run_member,
    find_first_fit,
    make_mask,
)
from tanagerpath.core.placement.occupancy import Occupancy, UpstreamState

__all__ = ["Demand", "RunPacker", "add_masks", "overlaps"]

Masks = dict[str, int]
Score = tuple[int, ...]

# Bounds the exhaustive search after a failed greedy packing to about 50 ms.
MAX_SEARCH_STEPS = 2000


@attrs.frozen
class Demand:
    """A run to be found; `organisation` is None for a spare run."""

    organisation: str | None
    accelerators: int
    availability_zone: str | None = None


@attrs.define
class RunPacker:
    """Finds runs of accelerators that can be reclaimed at any time.

    Parameters
    ----------
    occupancy : Occupancy
        Upstreams and jobs.
    is_available : callable
        Whether runs may lie on the upstream of this name.
    is_avoided : callable
        Whether the upstream of this name is a last resort.
    """

    _occupancy: Occupancy
    _is_available: Callable[[str], bool]
    _is_avoided: Callable[[str], bool]
    _steps_left: int = 0

    def find_best(
        self,
        demand: Demand,
        taken: Mapping[str, int],
        request: JobRequest | None = None,
    ) -> Assignment | None:
        """Return the best-fitting run, or None.

        Parameters
        ----------
        demand : Demand
            What to find.
        taken : mapping of str to int
            Accelerators, as masks by upstream, that the run may not use.
        request : JobRequest or None
            A job that the run's upstreams must be able to run.
        """
        best: tuple[Score, Assignment] | None = None
        for window in self._occupancy.topology.list_windows(demand.accelerators):
            if request is not None and not self._can_run(window, request):
                continue
            found = self._fit_window(window, demand, taken)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        return None if best is None else best[1]

    def pack(
        self, demands: Sequence[Demand], taken: Mapping[str, int]
    ) -> tuple[list[Assignment | None], bool]:
        """Return a run, or None, for each demand, and whether all were found.

        The largest demands are packed first, each on its best run. If one does not
        fit, a bounded exhaustive search follows.
        """
        order = sorted(range(len(demands)), key=lambda i: _make_sort_key(demands[i]))
        ordered = [demands[i] for i in order]
        runs = self._pack_greedily(ordered, taken)
        if None in runs:
            self._steps_left = MAX_SEARCH_STEPS
            searched = self._search(ordered, dict(taken))
            runs = runs if searched is None else list(searched)
        placed = dict(zip(order, runs, strict=True))
        return [placed[i] for i in range(len(demands))], None not in runs

    def _pack_greedily(
        self, demands: Sequence[Demand], taken: Mapping[str, int]
    ) -> list[Assignment | None]:
        used = dict(taken)
        runs = []
        for demand in demands:
            run = self.find_best(demand, used)
            if run is not None:
                add_masks(used, run)
            runs.append(run)
        return runs

    def _search(
        self, demands: Sequence[Demand], taken: Masks
    ) -> tuple[Assignment, ...] | None:
        if not demands:
            return ()
        for run in self._list_candidates(demands[0], taken):
            self._steps_left -= 1
            if self._steps_left < 0:
                return None
            used = dict(taken)
            add_masks(used, run)
            rest = self._search(demands[1:], used)
            if rest is not None:
                return (run, *rest)
        return None

    def _list_candidates(self, demand: Demand, taken: Masks) -> list[Assignment]:
        scored = []
        for window in self._occupancy.topology.list_windows(demand.accelerators):
            scored += self._list_fits(window, demand, taken)
        scored.sort(key=lambda entry: entry[0])
        return [run for _, run in scored]

    def _fit_window(
        self, window: tuple[str, ...], demand: Demand, taken: Mapping[str, int]
    ) -> tuple[Score, Assignment] | None:
        if not self._may_use(window, demand):
            return None
        if demand.accelerators > MAX_SINGLE_UPSTREAM:
            return self._fit_gang(window, demand, taken)
        state = self._occupancy.states[window[0]]
        reclaimable = self._find_reclaimable(state, demand) & ~taken.get(window[0], 0)
        first = _find_aligned_fit(reclaimable, demand.accelerators)
        if first is None:
            return None
        score, run = self._score_single(state, demand, reclaimable, first)
        return (*score, self._count_clear_in_rack(window[0], taken)), run

    def _list_fits(
        self, window: tuple[str, ...], demand: Demand, taken: Mapping[str, int]
    ) -> list[tuple[Score, Assignment]]:
        if not self._may_use(window, demand):
            return []
        if demand.accelerators > MAX_SINGLE_UPSTREAM:
            found = self._fit_gang(window, demand, taken)
            return [] if found is None else [found]
        state = self._occupancy.states[window[0]]
        reclaimable = self._find_reclaimable(state, demand) & ~taken.get(window[0], 0)
        last = state.capacity.accelerators - demand.accelerators
        return [
            self._score_single(state, demand, reclaimable, first)
            for first in range(last + 1)
            if not make_mask(first, demand.accelerators) & ~reclaimable
        ]

    def _may_use(self, window: tuple[str, ...], demand: Demand) -> bool:
        zone = demand.availability_zone
        location = self._occupancy.states[window[0]].capacity.location
        if zone is not None and location.availability_zone != zone:
            return False
        return all(map(self._is_available, window))

    def _fit_gang(
        self, window: tuple[str, ...], demand: Demand, taken: Mapping[str, int]
    ) -> tuple[Score, Assignment] | None:
        held = 0
        for name in window:
            state = self._occupancy.states[name]
            if (
                taken.get(name, 0)
                or self._find_reclaimable(state, demand) != state.all_mask
            ):
                return None
            held += bool(state.non_preemptible_mask)
        left = self._count_clear_in_rack(window[0], taken) - len(window)
        avoided = sum(map(self._is_avoided, window))
        run = self._occupancy.topology.make_gang_assignment(window)
        return (avoided, held, left), run

    def _count_clear_in_rack(self, upstream_id: str, taken: Mapping[str, int]) -> int:
        """Return how many upstreams of a rack are left for whole-upstream gangs."""
        return sum(
            self._occupancy.states[name].is_usable
            and not self._occupancy.states[name].non_preemptible_mask
            and not taken.get(name, 0)
            for name in self._occupancy.topology.list_rack(upstream_id)
        )

    def _score_single(
        self, state: UpstreamState, demand: Demand, reclaimable: int, first: int
    ) -> tuple[Score, Assignment]:
        name = state.capacity.upstream_id
        mask = make_mask(first, demand.accelerators)
        held = (state.non_preemptible_mask & mask).bit_count()
        left = reclaimable.bit_count() - demand.accelerators
        run = Assignment((AcceleratorRun(name, first, demand.accelerators),))
        return (int(self._is_avoided(name)), held, left), run

    def _find_reclaimable(self, state: UpstreamState, demand: Demand) -> int:
        """Return what is free, preemptible or claimed by the demand's organisation."""
        non_preemptible_mask = state.non_preemptible_mask
        if non_preemptible_mask and demand.organisation is not None:
            for job_id, mask in state.masks.items():
                request = self._occupancy.jobs[job_id].job.request
                if request.guaranteed and request.organisation == demand.organisation:
                    non_preemptible_mask &= ~mask
        return state.all_mask & ~non_preemptible_mask

    def _can_run(self, window: tuple[str, ...], request: JobRequest) -> bool:
        capacities = self._occupancy.topology.capacities
        return all(can_run_member(capacities[name], request) for name in window)


def add_masks(masks: Masks, assignment: Assignment) -> None:
    """Add the accelerators of an assignment to masks by upstream."""
    for run in assignment.runs:
        mask = make_mask(run.first, run.count)
        masks[run.upstream_id] = masks.get(run.upstream_id, 0) | mask


def overlaps(masks: Mapping[str, int], assignment: Assignment) -> bool:
    """Whether an assignment uses any accelerator of the masks."""
    return any(
        masks.get(run.upstream_id, 0) & make_mask(run.first, run.count)
        for run in assignment.runs
    )


def _find_aligned_fit(reclaimable: int, count: int) -> int | None:
    for first in range(0, reclaimable.bit_length(), count):
        mask = make_mask(first, count)
        if reclaimable & mask == mask:
            return first
    return find_first_fit(reclaimable, count)


def _make_sort_key(demand: Demand) -> tuple[int, bool, str, str]:
    zone = demand.availability_zone
    return (
        -demand.accelerators,
        zone is None,
        zone or "",
        demand.organisation or "",
    )

"""Plan of disjoint runs that keeps all guaranteed shapes reclaimable at once."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import attrs
from returns.result import Failure as Fail
from returns.result import Result, Success

from tanagerpath.core.model import (
    AcceleratorRun,
    Assignment,
    GuaranteedShape,
    JobRequest,
)
from tanagerpath.core.placement.config import SchedulerConfig
from tanagerpath.core.placement.geometry import make_mask
from tanagerpath.core.placement.occupancy import Occupancy
from tanagerpath.core.placement.packing import Demand, RunPacker, add_masks, overlaps
from tanagerpath.core.placement.scheduler import GuaranteeCannotBeMet

__all__ = ["GuaranteePlan", "PlannedRun"]

Guarantees = Mapping[str, tuple[GuaranteedShape, ...]]


@attrs.define(eq=False)
class PlannedRun:
    """A run kept reclaimable for one demand.

    Attributes
    ----------
    demand : Demand
        What the run is for.
    assignment : Assignment
        Accelerators of the run.
    met : bool
        False while the run is on unusable upstreams; it is then kept clear of
        non-preemptible jobs, so that it is met when the upstreams return.
    claimant : str or None
        Job that holds the run or for which jobs on it are being preempted.
    """

    demand: Demand
    assignment: Assignment
    met: bool = True
    claimant: str | None = None


@attrs.define
class GuaranteePlan:
    """Disjoint runs for all guaranteed shapes, and spare runs of the largest one.

    The plan is updated incrementally: a change replaces only the runs that it
    invalidates. If one of those fits nowhere, all unclaimed runs are repacked.

    Parameters
    ----------
    config : SchedulerConfig
        Wanted and required number of spare runs.
    occupancy : Occupancy
        Upstreams and jobs.
    is_quarantined, is_avoided : callable
        Whether an upstream takes no runs, or takes them only as a last resort.
    """

    _config: SchedulerConfig
    _occupancy: Occupancy
    _is_quarantined: Callable[[str], bool]
    _is_avoided: Callable[[str], bool]
    runs: list[PlannedRun] = attrs.field(factory=list)
    masks: dict[str, int] = attrs.field(factory=dict)
    unmet: tuple[Demand, ...] = ()
    is_stale: bool = False
    _demands: tuple[Demand, ...] = ()

    def update_demands(self, guarantees: Guarantees) -> None:
        """Replace the guaranteed shapes."""
        self._demands = _list_demands(guarantees)
        self.is_stale = True

    @property
    def lacks_runs(self) -> bool:
        """Whether a guarantee is unmet or a wanted spare run is missing."""
        spares = sum(run.demand.organisation is None for run in self.runs)
        wanted = self._config.spare_runs_wanted if self._demands else 0
        return bool(self.unmet) or spares < wanted

    def refresh(self) -> None:
        """Update the plan if anything that it depends on has changed."""
        if not self.is_stale:
            return
        self.is_stale = False
        spares, kept, missing = self._partition_runs()
        if not self._add_missing(kept, spares, missing):
            kept, missing = self._repack(kept)
            spares = []
        self.unmet = tuple(missing)
        self.runs = kept
        self._add_placeholders(missing)
        self._add_spares(spares)
        if not missing:
            self._repack_for_spares()
        self.masks = self._merge_masks(self.runs)

    def count_unclaimed_overlaps(self, assignment: Assignment) -> int:
        """Return how many unclaimed runs, except spares, an assignment overlaps."""
        masks: dict[str, int] = {}
        add_masks(masks, assignment)
        return sum(
            run.claimant is None
            and run.demand.organisation is not None
            and overlaps(masks, run.assignment)
            for run in self.runs
        )

    def check(self, guarantees: Guarantees) -> Result[None, GuaranteeCannotBeMet]:
        """Check whether these shapes and the required spare runs fit at once.

        Shapes that are already in force are always accepted, so that a document can be
        changed while hardware is lost.
        """
        demands = _list_demands(guarantees)
        if not Counter(demands) - Counter(self._demands):
            return Success(None)
        spares = _list_spares(demands, self._config.spare_runs_required)
        runs, complete = self._make_packer().pack([*demands, *spares], {})
        if complete:
            return Success(None)
        for demand, run in zip([*demands, *spares], runs, strict=True):
            if run is None:
                return Fail(_describe_unmet(demand, demands))
        return Success(None)

    def list_unmet(self) -> tuple[GuaranteeCannotBeMet, ...]:
        """Return the guarantees that have no usable run."""
        self.refresh()
        return tuple(_describe_unmet(demand, self._demands) for demand in self.unmet)

    def covers(self, request: JobRequest) -> bool:
        """Whether a job claims a guaranteed shape of its organisation."""
        return request.guaranteed and any(
            demand.organisation == request.organisation
            and demand.accelerators >= request.accelerators
            for demand in self._demands
        )

    def list_claimable(self, request: JobRequest) -> list[PlannedRun]:
        """Return the unclaimed runs that a claim may take.

        These are the runs of the smallest shape that covers the job: a small claim on
        a larger shape would leave no run for the next claim of that shape.
        """
        size = min(
            demand.accelerators
            for demand in self._demands
            if demand.organisation == request.organisation
            and demand.accelerators >= request.accelerators
        )
        return [
            run
            for run in self.runs
            if run.met
            and run.claimant is None
            and run.demand.organisation == request.organisation
            and run.demand.accelerators == size
        ]

    def list_exchangeable(self, runs: Iterable[PlannedRun]) -> list[PlannedRun]:
        """Return the spare runs that any of these runs may be exchanged for."""
        sizes = {
            run.demand.accelerators
            for run in runs
            if run.demand.availability_zone is None
        }
        return [
            run
            for run in self.runs
            if run.demand.organisation is None and run.demand.accelerators in sizes
        ]

    def claim(
        self, chosen: PlannedRun, claimable: Iterable[PlannedRun], job_id: str
    ) -> None:
        """Assign a run to a claim; a spare run is swapped with a claimable one."""
        if chosen.demand.organisation is not None:
            chosen.claimant = job_id
            return
        own = next(
            run
            for run in claimable
            if run.demand.accelerators == chosen.demand.accelerators
            and run.demand.availability_zone is None
        )
        own.assignment, chosen.assignment = chosen.assignment, own.assignment
        own.claimant = job_id

    def relocate(
        self, run: PlannedRun, request: JobRequest, excluded: Mapping[str, int]
    ) -> bool:
        """Move an unclaimed run to upstreams that can run a job; return success.

        Accelerators in the masks `excluded` are not used.
        """
        others = self._merge_masks(other for other in self.runs if other is not run)
        for name, mask in excluded.items():
            others[name] = others.get(name, 0) | mask
        found = self._make_packer().find_best(run.demand, others, request)
        if found is None:
            return False
        run.assignment = found
        self.masks = self._merge_masks(self.runs)
        return True

    def repack_around(self, assignment: Assignment) -> bool:
        """Repack the unclaimed runs outside an assignment; return success.

        Succeeds only if all guarantees and all current spare runs still fit.
        """
        fixed = [run for run in self.runs if run.claimant is not None]
        excluded = self._merge_masks(fixed)
        if self.unmet or overlaps(excluded, assignment):
            return False
        add_masks(excluded, assignment)
        left = Counter(self._demands) - Counter(run.demand for run in fixed)
        spares = sum(run.demand.organisation is None for run in self.runs)
        demands = [*left.elements(), *_list_spares(self._demands, spares)]
        found, complete = self._make_packer().pack(demands, excluded)
        if complete:
            pairs = zip(demands, found, strict=True)
            self.runs = fixed + [self._make_run(*pair) for pair in pairs]
            self.masks = self._merge_masks(self.runs)
        return complete

    def release(self, job_id: str) -> None:
        """End a job's claim; the plan is stale if missing runs may fit where it was."""
        for run in self.runs:
            if run.claimant == job_id:
                run.claimant = None
                self.is_stale |= not self._is_valid(run)
        if self.lacks_runs:
            self.is_stale = True

    def count_unclaimed(self, organisation: str) -> int:
        """Return the number of accelerators in unclaimed runs of an organisation."""
        return sum(
            run.assignment.accelerators
            for run in self.runs
            if run.claimant is None and run.demand.organisation == organisation
        )

    def _partition_runs(
        self,
    ) -> tuple[list[PlannedRun], list[PlannedRun], list[Demand]]:
        """Split the runs into valid spares and kept runs, and list what is missing."""
        wanted = Counter(self._demands)
        kept = []
        spares = []
        claimed_first = sorted(self.runs, key=lambda run: run.claimant is None)
        for run in claimed_first:
            if not run.met or not self._is_valid(run) or self._should_move(run):
                continue
            if run.demand.organisation is None:
                spares.append(run)
            elif wanted[run.demand] > 0:
                wanted[run.demand] -= 1
                kept.append(run)
        missing = sorted(wanted.elements(), key=lambda demand: -demand.accelerators)
        return spares, kept, missing

    def _should_move(self, run: PlannedRun) -> bool:
        """Whether an unclaimed run is on an upstream with failed starts."""
        if run.claimant is not None:
            return False
        return any(map(self._is_avoided, run.assignment.upstream_ids))

    def _is_valid(self, run: PlannedRun) -> bool:
        if not all(map(self._is_available, run.assignment.upstream_ids)):
            return False
        for part in run.assignment.runs:
            state = self._occupancy.states[part.upstream_id]
            mask = make_mask(part.first, part.count)
            if mask & ~state.all_mask:
                return False
            if state.non_preemptible_mask & mask and not self._is_held_by_claimant(
                run, mask, part
            ):
                return False
        return True

    def _is_held_by_claimant(
        self, run: PlannedRun, mask: int, part: AcceleratorRun
    ) -> bool:
        state = self._occupancy.states[part.upstream_id]
        own = state.masks.get(run.claimant or "", 0)
        return not state.non_preemptible_mask & mask & ~own

    def _add_missing(
        self, kept: list[PlannedRun], spares: list[PlannedRun], missing: list[Demand]
    ) -> bool:
        """Find runs for the missing demands, replacing spare runs if necessary."""
        packer = self._make_packer()
        for demand in missing:
            found = packer.find_best(demand, self._merge_masks([*kept, *spares]))
            if found is None:
                found = packer.find_best(demand, self._merge_masks(kept))
            if found is None:
                return False
            kept.append(self._make_run(demand, found))
            taken = self._merge_masks(kept)
            spares[:] = [run for run in spares if not overlaps(taken, run.assignment)]
        missing.clear()
        return True

    def _repack(self, kept: list[PlannedRun]) -> tuple[list[PlannedRun], list[Demand]]:
        fixed = [run for run in kept if run.claimant is not None]
        left = Counter(self._demands) - Counter(run.demand for run in fixed)
        demands = list(left.elements())
        packer = self._make_packer()
        runs, complete = packer.pack(demands, self._merge_masks(fixed))
        if not complete and fixed:
            retried, complete = packer.pack(list(self._demands), {})
            if complete:
                fixed, demands, runs = [], list(self._demands), retried
        missing = []
        for demand, run in zip(demands, runs, strict=True):
            if run is None:
                missing.append(demand)
            else:
                fixed.append(self._make_run(demand, run))
        return fixed, missing

    def _add_placeholders(self, missing: Iterable[Demand]) -> None:
        """Plan runs on unusable upstreams for the unmet demands."""
        packer = RunPacker(self._occupancy, lambda name: True, self._is_avoided)
        for demand in missing:
            found = packer.find_best(demand, self._merge_masks(self.runs))
            if found is not None:
                self.runs.append(PlannedRun(demand, found, met=False))

    def _add_spares(self, spares: list[PlannedRun]) -> None:
        packer = self._make_packer()
        for demand in _list_spares(self._demands, self._config.spare_runs_wanted):
            taken = self._merge_masks(self.runs)
            reused = self._reuse_spare(spares, demand, taken)
            found = reused or packer.find_best(demand, taken)
            if found is not None:
                self.runs.append(PlannedRun(demand, found))

    def _repack_for_spares(self) -> None:
        """Repack all unclaimed runs if the required spare runs do not fit."""
        required = _list_spares(self._demands, self._config.spare_runs_required)
        if sum(run.demand.organisation is None for run in self.runs) >= len(required):
            return
        fixed = [run for run in self.runs if run.claimant is not None]
        left = Counter(self._demands) - Counter(run.demand for run in fixed)
        demands = [*left.elements(), *required]
        found, complete = self._make_packer().pack(demands, self._merge_masks(fixed))
        if complete:
            pairs = zip(demands, found, strict=True)
            self.runs = fixed + [self._make_run(demand, run) for demand, run in pairs]

    def _reuse_spare(
        self, spares: list[PlannedRun], demand: Demand, taken: dict[str, int]
    ) -> Assignment | None:
        for run in spares:
            if run.demand == demand and not overlaps(taken, run.assignment):
                spares.remove(run)
                return run.assignment
        return None

    def _make_run(self, demand: Demand, assignment: Assignment) -> PlannedRun:
        """Make a run; a guaranteed job that holds part of it becomes its claimant."""
        for part in assignment.runs:
            state = self._occupancy.states[part.upstream_id]
            mask = make_mask(part.first, part.count)
            for job_id, held in state.masks.items():
                if held & mask & state.non_preemptible_mask:
                    return PlannedRun(demand, assignment, claimant=job_id)
        return PlannedRun(demand, assignment)

    def _merge_masks(self, runs: Iterable[PlannedRun]) -> dict[str, int]:
        masks: dict[str, int] = {}
        for run in runs:
            add_masks(masks, run.assignment)
        return masks

    def _is_available(self, upstream_id: str) -> bool:
        state = self._occupancy.states.get(upstream_id)
        if state is None or not state.is_usable:
            return False
        return not self._is_quarantined(upstream_id)

    def _make_packer(self) -> RunPacker:
        return RunPacker(self._occupancy, self._is_available, self._is_avoided)


def _list_demands(guarantees: Guarantees) -> tuple[Demand, ...]:
    demands = [
        Demand(organisation, shape.accelerators, shape.availability_zone)
        for organisation, shapes in sorted(guarantees.items())
        for shape in shapes
        for _ in range(shape.count)
    ]
    return tuple(sorted(demands, key=lambda demand: -demand.accelerators))


def _list_spares(demands: Iterable[Demand], count: int) -> list[Demand]:
    sizes = [demand.accelerators for demand in demands]
    return [Demand(None, max(sizes))] * count if sizes else []


def _describe_unmet(
    demand: Demand, demands: tuple[Demand, ...]
) -> GuaranteeCannotBeMet:
    organisation = demand.organisation
    if organisation is None:
        organisation = next(
            other.organisation or ""
            for other in demands
            if other.accelerators == demand.accelerators
        )
    return GuaranteeCannotBeMet(
        organisation=organisation, accelerators=demand.accelerators
    )

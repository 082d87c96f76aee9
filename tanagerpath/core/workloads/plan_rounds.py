"""Choice of the waiting units that one plan looks at."""

from collections.abc import Callable, Container

from tanagerpath.core.workloads.policy import PlanUnit
from tanagerpath.core.workloads.specs import StepKey

__all__ = ["PlanRound"]

# Units that a plan looks at on the largest fleet.
MIN_PLAN_UNITS = 8


class PlanRound:
    """Spreads many waiting units over several plans, so that each plan is short.

    Each plan has the most important units and those with claimed capacity, as less
    important work must not take what they wait for. The other units take turns, so that
    work that fits is not kept waiting by more important work that does not.

    Parameters
    ----------
    max_pairs : int
        Pairs of a unit and an upstream that a plan looks at.
    """

    def __init__(self, max_pairs: int) -> None:
        self._max_pairs = max_pairs
        self._planned: set[StepKey] = set()
        self.is_open = False

    def choose(
        self,
        units: list[PlanUnit],
        upstreams: int,
        claimed: Container[StepKey],
        rank: Callable[[list[PlanUnit]], list[PlanUnit]],
    ) -> list[PlanUnit]:
        """Return the units of the next plan; `is_open` says whether others are left.

        Parameters
        ----------
        units : list of PlanUnit
            All units that may start.
        upstreams : int
            Number of upstreams.
        claimed : container of StepKey
            Units with claimed capacity.
        rank : callable
            Returns units in the order of their importance.
        """
        limit = max(self._max_pairs // max(upstreams, 1), MIN_PLAN_UNITS)
        self.is_open = len(units) > limit
        if not self.is_open:
            self._planned.clear()
            return units
        ranked = rank(units)
        first = limit // 2
        chosen = ranked[:first]
        others = []
        for unit in ranked[first:]:
            (chosen if unit.step_key in claimed else others).append(unit)
        left = [unit for unit in others if unit.step_key not in self._planned]
        turn, left = left[: limit - first], left[limit - first :]
        self._planned.update(unit.step_key for unit in turn)
        self.is_open = bool(left)
        if not left:
            self._planned.clear()
        return chosen + turn

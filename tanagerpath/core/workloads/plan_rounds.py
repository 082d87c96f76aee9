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
    work that fits is not kept waiting by more important work that does not. Overdue
    units have their turns first, each once a round.

    Parameters
    ----------
    max_pairs : int
        Pairs of a unit and an upstream that a plan looks at.
    """

    def __init__(self, max_pairs: int) -> None:
        self._max_pairs = max_pairs
        # Units that have had their turn, and whether they were overdue then.
        self._planned: set[tuple[StepKey, bool]] = set()
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
        left = [unit for unit in others if _find_turn(unit) not in self._planned]
        left.sort(key=lambda unit: not unit.is_overdue)
        turn, left = left[: limit - first], left[limit - first :]
        self._planned.update(map(_find_turn, turn))
        self.is_open = bool(left)
        if not left:
            self._planned.clear()
        return chosen + turn


def _find_turn(unit: PlanUnit) -> tuple[StepKey, bool]:
    """Return the key of the turn of a unit, which has a further one once overdue."""
    return unit.step_key, unit.is_overdue

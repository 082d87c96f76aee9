"""What the last plans of a leader have looked at."""

import math

import attrs

from tanagerpath.core.workloads.policy import Plan, PlanUnit, Reservation
from tanagerpath.core.workloads.specs import StepKey

__all__ = ["PlanHistory", "PlanOutcome", "PlanTry"]


@attrs.frozen(kw_only=True, eq=False)
class PlanOutcome:
    """Units before a plan, and the plan.

    Attributes
    ----------
    at_s : float
        Time of the plan.
    waiting : list of PlanUnit
        All units that waited.
    ready : list of PlanUnit
        Those that might start: not in a backoff, and with tickets if they need any.
    chosen : list of PlanUnit
        Those that the policy has tried to place.
    plan : Plan
        Decisions of the policy.
    set_aside_until_s : dict of StepKey to float
        Units that the policy can't handle, which are in none of the lists.
    """

    at_s: float = -math.inf
    waiting: list[PlanUnit] = attrs.Factory(list)
    ready: list[PlanUnit] = attrs.Factory(list)
    chosen: list[PlanUnit] = attrs.Factory(list)
    plan: Plan = attrs.Factory(Plan)
    set_aside_until_s: dict[StepKey, float] = attrs.Factory(dict)


@attrs.frozen(kw_only=True, eq=False)
class PlanTry:
    """A plan that tried to place a unit.

    Attributes
    ----------
    at_s : float
        Time of the plan.
    reservations : list of Reservation
        What it reserved for gangs.
    """

    at_s: float
    reservations: list[Reservation]


class PlanHistory:
    """Keeps the last plan, and for each unit the last plan that tried to place it."""

    def __init__(self) -> None:
        self.last = PlanOutcome()
        self._tries: dict[StepKey, PlanTry] = {}

    def note(self, outcome: PlanOutcome) -> None:
        """Note a plan; this looks at no unit but those that it tried to place."""
        self.last = outcome
        plan_try = PlanTry(at_s=outcome.at_s, reservations=outcome.plan.reservations)
        for unit in outcome.chosen:
            self._tries[unit.step_key] = plan_try

    def find_last_try(self, step_key: StepKey) -> PlanTry | None:
        """Return the last plan that tried to place a unit, None if none did."""
        return self._tries.get(step_key)

    def forget_others(self, waiting: set[StepKey]) -> None:
        """Forget the units that no longer wait."""
        self._tries = {
            step_key: plan_try
            for step_key, plan_try in self._tries.items()
            if step_key in waiting
        }

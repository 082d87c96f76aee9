"""Decision when a leader makes its next plan."""

from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.plan_pause import PlanPause

__all__ = ["PlanSchedule"]


class PlanSchedule:
    """Lets a plan be made for each change that it can answer, with pauses between.

    A plan lists all waiting units. While no upstream could take any of them, plans for
    new submissions would only keep the leader busy.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._pause = PlanPause(context.terms.plan_cost_s)
        self._has_new_work = False
        self._are_units_left = False
        self._next_plan_s = 0.0

    def note_accepted(self) -> None:
        """Note an accepted workload."""
        self._has_new_work = True

    def has_usable_upstream(self) -> bool:
        """Return whether any upstream may get new runs."""
        context = self._context
        return any(
            session.is_usable
            and not context.find_health(session.upstream_id).is_excluded(context.now_s)
            for session in context.sessions.values()
        )

    def is_due(self) -> bool:
        """Return whether a plan is due now."""
        context = self._context
        if not self._pause.is_over(context.now_s, context.must_plan):
            return False
        if context.must_plan or context.now_s >= self._next_plan_s:
            return True
        is_asked = self._has_new_work or self._are_units_left
        return is_asked and self.has_usable_upstream()

    def begin(self) -> None:
        """Note that a plan begins, which answers all changes so far."""
        context = self._context
        context.must_plan = self._has_new_work = self._are_units_left = False
        self._next_plan_s = context.now_s + context.terms.plan_interval_s

    def end(self, listed: int, planned: int, are_units_left: bool) -> None:
        """Note what a plan has looked at.

        Parameters
        ----------
        listed : int
            Waiting units.
        planned : int
            Units that the policy gets.
        are_units_left : bool
            Whether others take turns in the next plans.
        """
        context = self._context
        self._are_units_left = are_units_left
        pairs = planned * len(context.sessions)
        self._pause.begin(context.now_s, listed, pairs)

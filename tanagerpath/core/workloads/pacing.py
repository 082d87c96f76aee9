"""Throttling of best-effort tasks that slow down serving ones."""

from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.run_driver import RunDriver
from tanagerpath.core.workloads.runs import RunPhase, RunView
from tanagerpath.core.workloads.sessions import UpstreamSession

__all__ = ["PaceController"]

FULL_PACE = 100
# Share of the target latency from which the pace is halved.
HIGH_LOAD = 0.9
# Share of the target latency below which the pace rises again.
LOW_LOAD = 0.6
PACE_INCREMENT = 20
# Adjustments within `interference_s`, for which a task may exceed its target.
ADJUSTMENTS_PER_WINDOW = 4


class PaceController:
    """Keeps the tail latency of serving tasks below their targets.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    driver : RunDriver
        Sends the orders.
    """

    def __init__(self, context: DispatchContext, driver: RunDriver) -> None:
        self._context = context
        self._driver = driver
        self._next_s: dict[str, float] = {}

    def adjust(self, session: UpstreamSession) -> None:
        """Adjust the pace of the best-effort tasks on an upstream."""
        # Checked first, as few upstreams have a best-effort task.
        best_effort = [
            view
            for view in session.runs.values()
            if view.spec.fills and view.phase is RunPhase.RUNNING
        ]
        if not best_effort:
            return
        if self._context.now_s < self._next_s.get(session.upstream_id, 0.0):
            return
        serving = [
            view
            for view in session.runs.values()
            if view.spec.tail_target_ms > 0 and view.phase is RunPhase.RUNNING
        ]
        self._adjust_upstream(session, serving, best_effort)

    def _adjust_upstream(
        self,
        session: UpstreamSession,
        serving: list[RunView],
        best_effort: list[RunView],
    ) -> None:
        now_s = self._context.now_s
        interval_s = self._context.terms.interference_s / ADJUSTMENTS_PER_WINDOW
        self._next_s[session.upstream_id] = now_s + interval_s
        load = max(
            (view.load / view.spec.tail_target_ms for view in serving), default=0.0
        )
        for view in best_effort:
            percent = self._choose_pace(load, view.pace) if serving else FULL_PACE
            if percent != view.pace or now_s < view.pace_uncertain_until_s:
                self._driver.pace(session, view, percent)
                self._context.log_task_decision(
                    "run paced",
                    view.task,
                    run=view.run,
                    upstream=session.upstream_id,
                    percent=percent,
                    load=round(load, 2),
                )

    def _choose_pace(self, load: float, pace: int) -> int:
        if load >= 1.0:
            return 0
        if load >= HIGH_LOAD:
            return pace // 2
        if load < LOW_LOAD:
            return min(pace + PACE_INCREMENT, FULL_PACE)
        return pace

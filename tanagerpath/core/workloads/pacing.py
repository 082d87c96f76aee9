"""Slows tasks that fill idle processor time where they disturb tasks that serve."""

from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.run_driver import RunDriver
from tanagerpath.core.workloads.sessions import RunPhase, RunView, UpstreamSession

__all__ = ["PaceKeeper"]

FULL_PACE = 100
# Share of the target from which on the disturbance is reduced.
HIGH_LOAD = 0.9
# Share of the target below which the pace may rise again.
LOW_LOAD = 0.6
RAISE_STEP = 20
# Adjustments within the time for which a serving task may be over its target.
ADJUSTMENTS = 4


class PaceKeeper:
    """Keeps the tails of serving tasks under their targets.

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

    def keep(self) -> None:
        """Adjust the pace on each upstream where tasks fill."""
        for session in self._context.sessions.values():
            if self._context.now_s < self._next_s.get(session.upstream_id, 0.0):
                continue
            serving = self._list(session, is_serving=True)
            filling = self._list(session, is_serving=False)
            if filling:
                self._adjust(session, serving, filling)

    def _list(self, session: UpstreamSession, is_serving: bool) -> list[RunView]:
        return [
            view
            for view in session.runs.values()
            if view.phase is RunPhase.RUNNING
            and (view.spec.tail_target_ms > 0 if is_serving else view.spec.fills)
        ]

    def _adjust(
        self,
        session: UpstreamSession,
        serving: list[RunView],
        filling: list[RunView],
    ) -> None:
        now_s = self._context.now_s
        interval_s = self._context.terms.interference_s / ADJUSTMENTS
        self._next_s[session.upstream_id] = now_s + interval_s
        load = max(
            (view.load / view.spec.tail_target_ms for view in serving), default=0.0
        )
        for view in filling:
            percent = self._choose_pace(load, view.pace) if serving else FULL_PACE
            if percent != view.pace or now_s < view.pace_doubted_until_s:
                self._driver.pace(session, view, percent)
                self._context.log_decision(
                    "run paced",
                    task=f"{view.task.workload_id}.{view.task.index}",
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
            return min(pace + RAISE_STEP, FULL_PACE)
        return pace

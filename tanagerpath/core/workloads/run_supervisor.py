"""Stops of runs that would not finish, or make no progress."""

from collections.abc import Callable

from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.health_monitor import HealthMonitor
from tanagerpath.core.workloads.policy import FleetView
from tanagerpath.core.workloads.run_lists import RunStopper
from tanagerpath.core.workloads.runs import RunPhase, RunView, StopCause
from tanagerpath.core.workloads.sessions import UpstreamSession

__all__ = ["RunSupervisor"]

# A run without checkpoints is stopped if it needs this many times the seconds left.
DRAIN_OVERRUN_FACTOR = 2.0
# Seconds before an upstream ends at which runs are stopped to save a checkpoint: at
# least this long, and the time that a stop may take with the delay of its order.
DRAIN_CHECKPOINT_S = 0.6
STOP_ORDER_DELAY_S = 0.4
# Share of its predicted run time after which a run without progress is stalled:
# progress is reported in whole percent, and a prediction may be far too short.
STALL_FRACTION = 0.15
# A run that takes several times as long as predicted counts as stalled after the time
# that it has taken so far for this many percent.
STALL_PERCENT = 4
MIN_MEASURED_PERCENT = 2


def _find_usual_silence_s(view: RunView) -> float:
    """Return the time that a run has taken so far for `STALL_PERCENT` percent."""
    if view.running_since_s is None or view.percent < MIN_MEASURED_PERCENT:
        return 0.0
    worked_s = view.progress_s - view.running_since_s
    return worked_s * STALL_PERCENT / view.percent


class RunSupervisor:
    """Watches the progress of runs, and the time that draining upstreams have left.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    driver : RunStopper
        Stops runs.
    view_fleet : callable
        Returns the state of the upstreams, which predicts run times.
    """

    def __init__(
        self,
        context: DispatchContext,
        driver: RunStopper,
        view_fleet: Callable[[], FleetView],
    ) -> None:
        self._context = context
        self._driver = driver
        self._view_fleet = view_fleet
        self._health_monitor = HealthMonitor(context)
        self._save_s = max(
            DRAIN_CHECKPOINT_S, context.terms.stop_timeout_s + STOP_ORDER_DELAY_S
        )

    def evacuate_draining(self, session: UpstreamSession) -> None:
        """Stop runs that would not finish before their draining upstream ends."""
        if session.remaining_until_s is None or session.departed_at_s is not None:
            return
        remaining_s = session.remaining_until_s - self._context.now_s
        fleet = self._view_fleet()
        for view in tuple(session.runs.values()):
            if view.phase is not RunPhase.RUNNING:
                continue
            left_s = fleet.predict_remaining_s(view, session)
            if view.spec.checkpointing:
                must_stop = remaining_s < self._save_s and left_s > remaining_s
            else:
                must_stop = left_s > DRAIN_OVERRUN_FACTOR * max(remaining_s, 0.0)
            if must_stop:
                self._driver.stop(
                    session, view, "its upstream leaves", StopCause.UPSTREAM_LEAVES
                )

    def stop_stalled(self, session: UpstreamSession) -> None:
        """Stop the runs on an upstream that make no progress."""
        if not session.reachable or not session.synced:
            return
        # Up to the last message, since a silent upstream may still make progress.
        silent_since_s = session.last_contact_s - self._context.terms.stall_timeout_s
        silent = [
            view for view in session.runs.values() if view.progress_s < silent_since_s
        ]
        for view in silent:
            if self._is_stalled(session, view):
                self._stop_stalled_run(session, view)

    def _is_stalled(self, session: UpstreamSession, view: RunView) -> bool:
        """Return whether a run without progress for the shortest time is stalled."""
        if view.phase is not RunPhase.RUNNING or view.spec.long_running:
            return False
        may_be_paused = view.spec.fills and (
            view.pace == 0 or self._context.now_s < view.pace_uncertain_until_s
        )
        if may_be_paused or view.percent >= 100:
            return False
        silent_s = session.last_contact_s - view.progress_s
        predicted_s = self._view_fleet().predict_total_s(view, session)
        longest_s = max(STALL_FRACTION * predicted_s, _find_usual_silence_s(view))
        return silent_s > longest_s

    def _stop_stalled_run(self, session: UpstreamSession, view: RunView) -> None:
        context = self._context
        workload_id = view.task.workload_id
        if not self._waits_for_member(view):
            context.backlog.failed_on.setdefault(workload_id, set()).add(
                session.upstream_id
            )
        if not view.spec.gang:
            self._health_monitor.note_failure(session, view)
        self._driver.stop(session, view, "no progress", StopCause.NO_PROGRESS)

    def _waits_for_member(self, view: RunView) -> bool:
        """Return whether a gang makes no progress because it lacks a member.

        The upstreams of the other members are not the cause.
        """
        if not view.spec.gang:
            return False
        members = self._context.run_index.list_gang(view.task, view.run)
        running = [
            member
            for session, member in members
            if session.reachable and member.phase is RunPhase.RUNNING
        ]
        return len(running) < view.spec.count

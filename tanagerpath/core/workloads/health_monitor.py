"""Health of the upstreams, from the outcomes of their runs."""

from tanagerpath.core.workloads.crash_loops import WorkKey
from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.runs import RunPhase, RunView
from tanagerpath.core.workloads.sessions import UpstreamSession

__all__ = ["HealthMonitor"]

# Long-running work that has run for this long has shown that its upstream works.
STEADY_RUN_S = 5.0


class HealthMonitor:
    """Decides whether the failure of a run is the fault of its upstream.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context

    def note_done(self, session: UpstreamSession, view: RunView) -> None:
        """Note that a run has ended as done."""
        context = self._context
        context.find_health(session.upstream_id).note_success(context.now_s)
        key = WorkKey.from_run(view)
        context.crash_loops.note_success(key, session.upstream_id, context.now_s)
        if not context.crash_loops.is_crash_loop(key, context.now_s):
            self._count_earlier_failures(key, view.task.workload_id)

    def note_failure(self, session: UpstreamSession, view: RunView) -> None:
        """Note that a run has failed or makes no progress."""
        if self._is_steady(view):
            return
        is_crash_loop = self._is_in_crash_loop(session, view)
        if is_crash_loop:
            self._discount_failures(view)
        health = self._context.find_health(session.upstream_id)
        if health.fails_sound_work or not is_crash_loop:
            self._count_failure(session.upstream_id, view.task.workload_id)

    def _count_earlier_failures(self, key: WorkKey, workload_id: str) -> None:
        """Count failures against upstreams, as the work is done on another one.

        They may have been discounted while the work had only failed.
        """
        context = self._context
        for upstream_id, failed_s in context.crash_loops.list_failures(
            key, context.now_s
        ):
            health = context.health.get(upstream_id)
            if health is None or health.last_success_s >= failed_s:
                continue
            health.fails_sound_work = True
            if workload_id not in health.failed_workloads:
                self._count_failure(upstream_id, workload_id)

    def _count_failure(self, upstream_id: str, workload_id: str) -> None:
        """Count a failure against an upstream."""
        context = self._context
        health = context.find_health(upstream_id)
        if health.note_failure(workload_id, context.now_s):
            context.log_decision(
                "upstream quarantined",
                upstream=upstream_id,
                failed_workloads=sorted(health.failed_workloads),
                fails_sound_work=health.fails_sound_work,
            )

    def _is_in_crash_loop(self, session: UpstreamSession, view: RunView) -> bool:
        """Record a failure, and return whether the work fails wherever it runs.

        One member ends a whole gang, so that its few attempts say nothing about it: a
        sound gang that is wide meets one bad upstream after the other.
        """
        if view.spec.gang and not view.spec.long_running:
            return False
        context = self._context
        key = WorkKey.from_run(view)
        context.crash_loops.note_failure(key, session.upstream_id, context.now_s)
        steady = self._find_steady(view) if view.spec.long_running else frozenset()
        return context.crash_loops.is_crash_loop(key, context.now_s, steady)

    def _is_steady(self, view: RunView) -> bool:
        """Return whether a long-running task is or was at work for long enough."""
        if not view.spec.long_running or view.running_since_s is None:
            return False
        return self._context.now_s >= view.running_since_s + STEADY_RUN_S

    def _find_steady(self, failed: RunView) -> frozenset[str]:
        """Return the upstreams on which the workload of a failed run is at work."""
        runs = self._context.run_index.list_runs(failed.task.workload_id)
        return frozenset(
            session.upstream_id
            for session, view in runs
            if view.phase is RunPhase.RUNNING and self._is_steady(view)
        )

    def _discount_failures(self, view: RunView) -> None:
        """Forget on all upstreams the failures of a workload in a crash loop."""
        context = self._context
        workload_id = view.task.workload_id
        discounted = sum(
            health.discount_failures(workload_id) for health in context.health.values()
        )
        if not discounted:
            return
        context.must_plan = True
        context.log_decision(
            "work fails on all upstreams",
            workload=workload_id,
            image=view.spec.image,
            upstreams=discounted,
        )

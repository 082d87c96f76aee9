"""Availability of long-running steps while runs are stopped."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from tanagerpath.core.workloads.runs import COMPLETED_PERCENT, RunKey, RunPhase, RunView
from tanagerpath.core.workloads.sessions import UpstreamSession
from tanagerpath.core.workloads.specs import StepKey

__all__ = ["count_unavailable", "list_protected_runs"]


def _is_ready(view: RunView) -> bool:
    return view.phase is RunPhase.RUNNING and view.percent >= COMPLETED_PERCENT


def count_unavailable(
    sessions: Iterable[UpstreamSession], step_key: StepKey, count: int
) -> int:
    """Return how many of the `count` tasks of a long-running step are not ready."""
    ready = {
        view.task
        for session in sessions
        for view in session.runs.values()
        if view.task.step_key == step_key and _is_ready(view)
    }
    return count - len(ready)


def list_protected_runs(sessions: Iterable[UpstreamSession]) -> frozenset[RunKey]:
    """Return the runs that must not be stopped to keep the availability of their steps.

    If all other runs of the steps with a `max_unavailable` were stopped, no step would
    exceed it.
    """
    ready: dict[StepKey, list[RunView]] = defaultdict(list)
    for session in sessions:
        for view in session.runs.values():
            if view.spec.long_running and view.spec.max_unavailable and _is_ready(view):
                ready[view.task.step_key].append(view)
    return frozenset(
        view.key for views in ready.values() for view in _list_protected(views)
    )


def _list_protected(ready: list[RunView]) -> list[RunView]:
    """Return the ready runs of one step beyond those that may be stopped."""
    spec = ready[0].spec
    tasks = Counter(view.task for view in ready)
    unavailable = spec.count - len(tasks)
    stoppable = max(spec.max_unavailable - unavailable, 0)
    return ready[stoppable:]

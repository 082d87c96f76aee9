"""Index of the open runs of all upstreams by workload."""

from tanagerpath.core.workloads.runs import RunKey, RunView
from tanagerpath.core.workloads.sessions import UpstreamSession
from tanagerpath.core.workloads.specs import TaskId

__all__ = ["IndexedRun", "RunIndex"]

IndexedRun = tuple[UpstreamSession, RunView]


class RunIndex:
    """Finds the runs of a workload or gang without a look at each upstream."""

    def __init__(self) -> None:
        self._by_workload: dict[str, dict[RunKey, IndexedRun]] = {}

    def add(self, session: UpstreamSession, view: RunView) -> None:
        """Add a run to an upstream and to the index."""
        session.add_run(view)
        runs = self._by_workload.setdefault(view.task.workload_id, {})
        runs[view.key] = session, view

    def remove(self, session: UpstreamSession, key: RunKey) -> None:
        """Remove a run from its upstream and from the index."""
        session.remove_run(key)
        workload_id = key[0].workload_id
        runs = self._by_workload.get(workload_id)
        if runs is None:
            return
        runs.pop(key, None)
        if not runs:
            del self._by_workload[workload_id]

    def list_runs(self, workload_id: str) -> list[IndexedRun]:
        """Return the open runs of a workload with their upstreams."""
        return list(self._by_workload.get(workload_id, {}).values())

    def list_gang(self, task: TaskId, run: int) -> list[IndexedRun]:
        """Return the known members of the gang run of a task."""
        return [
            (session, view)
            for session, view in self.list_runs(task.workload_id)
            if view.run == run and view.task.step_key == task.step_key
        ]

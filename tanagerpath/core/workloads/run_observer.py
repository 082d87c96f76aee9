"""Measures run times from the progress of runs, for the estimates."""

from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.run_index import IndexedRun
from tanagerpath.core.workloads.runs import ProgressSample, RunView
from tanagerpath.core.workloads.sessions import UpstreamSession

__all__ = ["RunObserver"]


class RunObserver:
    """Adds each run to the estimates once, when its speed is known.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context

    def observe(self, session: UpstreamSession, view: RunView, percent: int) -> None:
        """Update the estimates once a run has made enough progress."""
        if view.observed or view.spec.long_running:
            return
        context = self._context
        members = self._list_members(session, view)
        until = ProgressSample(context.now_s, percent)
        run_s = view.estimate_total_s(until, self._find_begin_s(view))
        if run_s is None:
            return
        self._mark_observed(view)
        if self._is_remote(view, members):
            run_s /= context.terms.remote_factor
        context.estimates.observe(
            tuple(member.upstream_id for member in members),
            (view.task.workload_id, view.task.step),
            view.queue,
            view.spec.declared_run_s,
            run_s,
            context.now_s,
        )

    def _list_gang(self, view: RunView) -> list[IndexedRun]:
        return self._context.run_index.list_gang(view.task, view.run)

    def _list_members(
        self, session: UpstreamSession, view: RunView
    ) -> list[UpstreamSession]:
        """Return the upstream of a run, or those of all members of a gang."""
        if not view.spec.gang:
            return [session]
        members = [member for member, _ in self._list_gang(view)]
        return list(dict.fromkeys(members)) or [session]

    def _find_begin_s(self, view: RunView) -> float:
        """Return the time at which the last member of a gang started."""
        if not view.spec.gang:
            return 0.0
        begins = (
            member_view.running_since_s for _, member_view in self._list_gang(view)
        )
        return max((one for one in begins if one is not None), default=0.0)

    def _mark_observed(self, view: RunView) -> None:
        """Mark a run and all members of its gang as observed."""
        view.observed = True
        if view.spec.gang:
            for _, member_view in self._list_gang(view):
                member_view.observed = True

    def _is_remote(self, view: RunView, members: list[UpstreamSession]) -> bool:
        """Return whether a run is slow because of its rack or a spread gang."""
        racks = {member.record.rack for member in members}
        preferred = view.spec.preferred_rack
        if preferred and racks != {preferred}:
            return True
        return view.spec.same_rack and len(racks) > 1

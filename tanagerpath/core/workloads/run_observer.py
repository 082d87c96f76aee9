"""What the progress of runs tells of upstreams and of work."""

from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.sessions import (
    ProgressMark,
    RunView,
    UpstreamSession,
)

__all__ = ["RunObserver"]


class RunObserver:
    """Takes the pace of each run into the estimates, once.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context

    def observe(self, session: UpstreamSession, view: RunView, percent: int) -> None:
        """Learn the run time of a run that is well under way."""
        if view.observed or view.spec.long_running:
            return
        context = self._context
        members = self._list_members(session, view)
        until = ProgressMark(context.now_s, percent)
        run_s = view.find_whole_s(until, self._find_begin_s(view))
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

    def _list_gang(self, view: RunView) -> list[tuple[UpstreamSession, RunView]]:
        """Return the members of a run of a gang that are known."""
        return [
            (other, held)
            for other in self._context.sessions.values()
            for held in other.runs.values()
            if held.is_same_gang(view)
        ]

    def _list_members(
        self, session: UpstreamSession, view: RunView
    ) -> list[UpstreamSession]:
        """Return the upstreams that work on a run; all of them for a gang."""
        if not view.spec.gang:
            return [session]
        members = [member for member, _ in self._list_gang(view)]
        return list(dict.fromkeys(members)) or [session]

    def _find_begin_s(self, view: RunView) -> float:
        """Return the instant at which the last member of a gang was there."""
        if not view.spec.gang:
            return 0.0
        begins = (held.running_since_s for _, held in self._list_gang(view))
        return max((one for one in begins if one is not None), default=0.0)

    def _mark_observed(self, view: RunView) -> None:
        """Let a run, and all members of its gang, count only once."""
        view.observed = True
        if view.spec.gang:
            for _, held in self._list_gang(view):
                held.observed = True

    def _is_remote(self, view: RunView, members: list[UpstreamSession]) -> bool:
        """Return whether a run is slowed by its distance from its data or members."""
        racks = {member.record.rack for member in members}
        preferred = view.spec.preferred_rack
        if preferred and racks != {preferred}:
            return True
        return view.spec.same_rack and len(racks) > 1

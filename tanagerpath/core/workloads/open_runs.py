"""What a leader knows of the runs that have no recorded end."""

import attrs

from tanagerpath.core.workloads.dispatch_context import REPLY_MARGIN_S, DispatchContext
from tanagerpath.core.workloads.records import WorkloadRecord
from tanagerpath.core.workloads.run_index import IndexedRun
from tanagerpath.core.workloads.runs import RunPhase, RunView
from tanagerpath.core.workloads.sessions import UpstreamSession
from tanagerpath.core.workloads.specs import TaskId
from tanagerpath.core.workloads.wait_reasons import OpenRunState

__all__ = ["OpenRunReader", "OpenRunWait"]

_PHASE_STATES = {
    RunPhase.PROPOSED: OpenRunState.PROPOSED,
    RunPhase.ORDERED: OpenRunState.UNCONFIRMED,
    RunPhase.STOPPING: OpenRunState.STOPPING,
    RunPhase.INHERITED: OpenRunState.INHERITED,
}


@attrs.frozen(kw_only=True)
class OpenRunWait:
    """A run whose end is not recorded, so that its task does not start again.

    Attributes
    ----------
    upstream_id : str
        Where it was started.
    state : OpenRunState
        Why it does not count as running.
    phase : str
        Phase of the run, empty if it is unknown.
    lease_s : float
        Seconds until the lease of the upstream has expired.
    """

    upstream_id: str
    state: OpenRunState
    phase: str = ""
    lease_s: float = 0.0


class OpenRunReader:
    """Tells which open runs are running, and what is known of the others.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        terms = context.terms
        self._max_reply_age_s = (
            terms.hold_wait_s + terms.hold_timeout_s + REPLY_MARGIN_S
        )

    def is_running(self, session: UpstreamSession, view: RunView) -> bool:
        """Return whether the leader has recent knowledge that a run is running."""
        if view.phase is not RunPhase.RUNNING or session.departed_at_s is not None:
            return False
        return not (session.is_faulted or self._is_silent(session))

    def find_last_running_s(self, session: UpstreamSession, view: RunView) -> float:
        """Return the last time at which an open run is known to have run."""
        if session.departed_at_s is not None:
            return session.departed_at_s
        if session.is_faulted or self._is_silent(session):
            return session.last_reply_s
        if view.phase is not RunPhase.RUNNING:
            return max(view.began_s, view.entered_s)
        return self._context.now_s

    def describe(
        self, record: WorkloadRecord, task: TaskId, runs: list[IndexedRun]
    ) -> OpenRunWait:
        """Return the run that keeps a task from another start."""
        for session, view in runs:
            if view.task == task:
                expiry_s = session.find_lease_expiry_s(self._context.terms.leases)
                return OpenRunWait(
                    upstream_id=session.upstream_id,
                    state=self._find_state(session, view),
                    phase=str(view.phase),
                    lease_s=max(expiry_s - self._context.now_s, 0.0),
                )
        open_runs = record.find_task(task).open_runs
        upstream_id = open_runs[0].upstream_id if open_runs else ""
        return OpenRunWait(upstream_id=upstream_id, state=OpenRunState.UNKNOWN)

    def _find_state(self, session: UpstreamSession, view: RunView) -> OpenRunState:
        """Return why an open run does not count as running."""
        if view.phase is RunPhase.PROPOSED:
            return OpenRunState.PROPOSED
        if session.is_faulted:
            return OpenRunState.FAULTED
        if session.departed_at_s is not None:
            return OpenRunState.DEPARTED
        if self._is_silent(session):
            return OpenRunState.SILENT
        return _PHASE_STATES.get(view.phase, OpenRunState.UNKNOWN)

    def _is_silent(self, session: UpstreamSession) -> bool:
        """Return whether the leader has no recent list of what runs on an upstream."""
        if not (session.synced and session.reachable):
            return True
        return self._context.now_s - session.last_reply_s > self._max_reply_age_s

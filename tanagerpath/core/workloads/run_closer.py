"""Ends of the runs on upstreams that are gone or can't be reached."""

from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.runs import RunPhase
from tanagerpath.core.workloads.sessions import UpstreamSession

__all__ = ["RunCloser"]

# Beyond this time after a lease nothing is awaited any more, even if this process is
# too late to ask.
MAX_VERIFICATION_S = 5.0


class RunCloser:
    """Ends runs without a reply that says so, once nothing can run any more.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context

    def close_departed(self, session: UpstreamSession) -> None:
        """End the runs of a departed upstream after a time without a reply."""
        silent_since_s = max(
            session.departed_at_s,
            session.last_reply_s,
            self._context.stalled_until_s,
        )
        if self._context.now_s < silent_since_s + self._context.terms.leave_delay_s:
            return
        if not session.record.address and not self._has_lapsed(session):
            # An earlier leader knew its address; it can't be asked.
            return
        if not self._awaits_successor(session):
            self._queue_ends(session, RunOutcome.LOST)

    def _awaits_successor(self, session: UpstreamSession) -> bool:
        """Return whether a later incarnation may have the runs of a session.

        It has replied, but sent no heartbeat yet. Once it does, the runs are verified
        there.
        """
        return session.is_superseded and not self._has_lapsed(session)

    def _has_lapsed(self, session: UpstreamSession) -> bool:
        lease_expiry_s = session.find_lease_expiry_s(self._context.terms.leases)
        return self._context.now_s >= lease_expiry_s

    def close_lapsed(self, session: UpstreamSession) -> None:
        """End the runs of an upstream that is not renewed, with its lease.

        A last renewal is sent first, as the upstream may list how they ended.
        """
        session.is_lapsing = False
        if not session.runs and not session.fenced_runs:
            return
        if session.reachable and session.synced and not session.refused_holds:
            return
        session.is_lapsing = self._has_lapsed(session)
        if not session.is_lapsing or not self._is_silent(session):
            return
        for fence in session.fenced_runs.values():
            fence.is_listed = False
        self._queue_ends(session, RunOutcome.LAPSED)

    def _is_silent(self, session: UpstreamSession) -> bool:
        """Return whether a renewal that was sent after the lease got no reply.

        One that failed during a stall of this process does not count: its reply may
        have arrived unread. If there is none, one is requested.
        """
        now_s = self._context.now_s
        expiry_s = session.find_lease_expiry_s(self._context.terms.leases)
        is_refused = session.reachable and session.refused_holds
        if is_refused or now_s >= expiry_s + MAX_VERIFICATION_S:
            return True
        since_s = max(expiry_s, self._context.stalled_until_s)
        if session.failed_hold_sent_s >= since_s:
            return True
        if session.hold is None or session.hold.sent_s < since_s:
            session.request_list(now_s)
        return False

    def close_faulted(self, session: UpstreamSession) -> None:
        """End the runs of an upstream that was set aside with its lease."""
        if self._has_lapsed(session):
            self._queue_ends(session, RunOutcome.LAPSED)

    def _queue_ends(self, session: UpstreamSession, outcome: RunOutcome) -> None:
        """Queue the ends of all runs that were ordered on an upstream."""
        for view in session.runs.values():
            if view.phase is not RunPhase.PROPOSED:
                self._context.queue_end(session, view, outcome)

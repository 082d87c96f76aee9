"""Renewals of the leases of upstreams, and the lists in the replies."""

import math

from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.orders import (
    HoldReply,
    HoldRequest,
    OrderRefused,
    Refusal,
)
from tanagerpath.core.workloads.run_lists import RunLists
from tanagerpath.core.workloads.sessions import (
    REFUSAL_BACKOFF_S,
    SentHold,
    UpstreamSession,
)

__all__ = ["RenewalDriver"]

MS_PER_S = 1000
# While ends wait to be recorded, an upstream answers each renewal at once.
UNRECORDED_HOLD_INTERVAL_S = 1.0
# Seconds after a list within which ends are acknowledged: an upstream does not crash
# and restart in that time without a failed exchange.
ACKNOWLEDGE_WITHIN_S = 0.1


class RenewalDriver:
    """Sends lease renewals, and passes the lists in their replies on.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    lists : RunLists
        Compares the lists with the recorded runs.
    """

    def __init__(self, context: DispatchContext, lists: RunLists) -> None:
        self._context = context
        self._lists = lists

    def drive(self, session: UpstreamSession) -> None:
        """Send a renewal if one is due."""
        now_s = self._context.now_s
        is_awaited = session.hold is not None and now_s < session.hold.expires_s
        if now_s >= session.list_due_s or (
            not is_awaited and now_s >= session.next_hold_s
        ):
            self._send(session)

    def _send(self, session: UpstreamSession) -> None:
        context = self._context
        now_s = context.now_s
        may_wait = self._may_wait(session)
        self._supersede(session)
        if now_s >= session.list_due_s:
            session.list_due_s = math.inf
        wait_s = context.terms.hold_wait_s if may_wait else 0.0
        if session.departed_at_s is not None:
            # A longer wait would count as silence.
            wait_s = min(wait_s, context.terms.hold_retry_s)
        lease_until_ms = None
        if session.runs and session.clock_ms is not None:
            lease_s = context.terms.leases.lease_s
            lease_until_ms = session.choose_lease(lease_s, now_s)
        request = HoldRequest(
            fencing_token=context.term,
            end_cursor=self._choose_end_cursor(session),
            lease_until_ms=lease_until_ms,
            wait_ms=int(wait_s * MS_PER_S),
        )
        timeout_s = wait_s + context.terms.hold_timeout_s
        expires_s = context.find_call_expiry_s(timeout_s)
        if not session.reachable and not session.is_lapsing:
            # The next one does not wait for the reply to this one, but a reply that is
            # late each time must be heard.
            expires_s = session.next_hold_s = now_s + timeout_s
            longest_s = context.terms.hold_wait_s + context.terms.hold_timeout_s
            timeout_s = max(timeout_s, longest_s)
        session.hold = SentHold(request, now_s, expires_s)
        context.call(session, request, timeout_s)

    def _may_wait(self, session: UpstreamSession) -> bool:
        """Return whether the reply may wait for an end.

        A request for the lists is repeated as one until it has a reply.
        """
        is_list_due = self._context.now_s >= session.list_due_s
        is_repeated = session.hold is not None and not session.hold.request.wait_ms
        unrecorded = session.listed_end > session.recorded_end
        return session.synced and not (is_list_due or is_repeated or unrecorded)

    def _supersede(self, session: UpstreamSession) -> None:
        """Keep an awaited renewal, whose reply may still arrive."""
        hold = session.hold
        if hold is None:
            return
        if self._context.now_s >= hold.expires_s:
            session.failed_hold_sent_s = hold.sent_s
        session.keep_earlier_hold(hold)

    def _choose_end_cursor(self, session: UpstreamSession) -> int:
        """Return the number up to which a renewal acknowledges ends.

        An incarnation that has replaced the known one numbers its ends anew and would
        drop ends that were never read. Only its lists tell incarnations apart.
        """
        if self._context.now_s > session.last_list_s + ACKNOWLEDGE_WITHIN_S:
            return 0
        return session.recorded_end

    def handle_failure(self, session: UpstreamSession, request: HoldRequest) -> None:
        """Handle a renewal that ended without a reply."""
        hold = session.hold
        if hold is None or request is not hold.request:
            return
        context = self._context
        session.hold = None
        session.failed_hold_sent_s = hold.sent_s
        session.next_hold_s = context.now_s + context.terms.hold_retry_s
        if not request.wait_ms:
            session.request_list(session.next_hold_s)

    def handle_reply(
        self,
        session: UpstreamSession,
        request: HoldRequest,
        reply: HoldReply | OrderRefused,
    ) -> None:
        """Handle the reply to a renewal.

        What it says of running tasks is outdated if the reply to a later renewal was
        handled before. An end that it lists stays true.
        """
        hold = session.take_hold(request)
        if hold is None or hold.sent_s < session.list_sent_s:
            if isinstance(reply, HoldReply):
                self._lists.handle_ends(session, reply)
        elif isinstance(reply, HoldReply):
            self._handle_renewed(session, hold, reply)
        elif session.hold is None:
            self._handle_refused(session, reply.refusal)

    def _handle_refused(self, session: UpstreamSession, refusal: Refusal) -> None:
        """Schedule the next renewal; the runs lapse if none is accepted in time."""
        context = self._context
        is_passing = refusal is Refusal.UNHEALTHY
        delay_s = context.terms.hold_retry_s if is_passing else REFUSAL_BACKOFF_S
        session.next_hold_s = context.now_s + delay_s
        session.refused_holds += 1
        if session.refused_holds == 1:
            context.log_decision(
                "renewal refused",
                upstream=session.upstream_id,
                refusal=str(refusal),
                runs=len(session.runs),
            )

    def _handle_renewed(
        self, session: UpstreamSession, hold: SentHold, reply: HoldReply
    ) -> None:
        context = self._context
        if session.refused_holds:
            context.must_plan = True
        session.refused_holds = 0
        session.list_sent_s = hold.sent_s
        session.last_list_s = context.now_s
        self._lists.handle(session, reply, hold.sent_s)
        if session.hold is not None:
            # A later one is on its way.
            return
        session.next_hold_s = context.now_s
        if session.listed_end > session.recorded_end:
            session.next_hold_s = context.now_s + UNRECORDED_HOLD_INTERVAL_S

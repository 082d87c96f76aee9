"""Orders to upstreams, and the changes to runs that follow from the replies."""

import math
from typing import Any

from tanagerpath.core.coordination import CountEvent
from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.orders import (
    HoldRequest,
    OrderDone,
    OrderRefused,
    PaceRequest,
    Refusal,
    StartRequest,
    StopRequest,
)
from tanagerpath.core.workloads.renewals import RenewalDriver
from tanagerpath.core.workloads.run_closer import RunCloser
from tanagerpath.core.workloads.run_lists import RunLists, RunStopper
from tanagerpath.core.workloads.runs import (
    MAX_STOP_S,
    ProgressSample,
    RunFence,
    RunKey,
    RunPhase,
    RunView,
    StopCause,
)
from tanagerpath.core.workloads.sessions import (
    MAX_ORDER_DELAY_S,
    REFUSAL_BACKOFF_S,
    UpstreamSession,
)

__all__ = ["RunDriver"]

# Phases of the runs for which an order may be due.
_ORDERED = (RunPhase.ORDERED, RunPhase.STOPPING)

# Interval of the harmless stops that keep runs of an earlier incarnation from starting.
BLOCKING_STOP_INTERVAL_S = 0.2
# Shares of the time limit of an evacuation: the first after which a start order is no
# longer carried out, and the second after which the wait for its confirmation ends.
START_ORDER_SHARE = 0.8
CONFIRMATION_SHARE = 0.2
# Refusals that concern one task only; the upstream may accept other tasks.
_TASK_REFUSALS = frozenset({Refusal.SUPERSEDED, Refusal.NO_TICKET})


class RunDriver(RunStopper):
    """Sends starts, stops and lease renewals, and handles the replies.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._lists = RunLists(context, self)
        self._renewals = RenewalDriver(context, self._lists)
        self._closer = RunCloser(context)

    # Orders

    def drive(self, session: UpstreamSession) -> None:
        """Send the orders that are due on an upstream."""
        now_s = self._context.now_s
        if session.is_faulted:
            self._closer.close_faulted(session)
            return
        if session.departed_at_s is not None:
            self._drive_departed(session)
            return
        self._closer.close_lapsed(session)
        for key, fence in session.fenced_runs.items():
            if now_s >= fence.next_stop_s:
                self._send_blocking_stop(session, key, fence)
        ordered = [view for view in session.runs.values() if view.phase in _ORDERED]
        for view in ordered:
            self._drive_run(session, view)
        self._renewals.drive(session)

    def _drive_departed(self, session: UpstreamSession) -> None:
        """End the runs of a departed upstream once it no longer replies.

        Its end may have been announced early, or by an earlier incarnation. While it
        replies, its runs go on.
        """
        self._closer.close_departed(session)
        is_gone = session.is_superseded or session.is_replaced
        if is_gone or not session.runs or not session.record.address:
            return
        for view in tuple(session.runs.values()):
            is_ending = self._context.is_ending(view.key)
            if view.phase is RunPhase.ORDERED and not is_ending:
                # The upstream starts nothing any more.
                cause = StopCause.UPSTREAM_LEAVES
                self.stop(session, view, "its upstream leaves", cause)
            self._drive_run(session, view)
        self._renewals.drive(session)

    def _drive_run(self, session: UpstreamSession, view: RunView) -> None:
        context = self._context
        if view.phase not in _ORDERED:
            return
        if context.is_ending(view.key):
            return
        is_evacuated = session.evacuated_at_s is not None
        if view.phase is RunPhase.ORDERED and is_evacuated:
            self._give_up_start(session, view)
            if view.phase is RunPhase.ORDERED:
                return
        if context.now_s < max(view.order_expires_s, view.next_order_s):
            return
        if view.phase is RunPhase.ORDERED and session.synced:
            if context.now_s - view.began_s > context.terms.start_timeout_s:
                self.stop(session, view, "start unanswered", StopCause.START_UNANSWERED)
            else:
                self._send_start(session, view)
        elif view.phase is RunPhase.STOPPING and view.key not in session.fenced_runs:
            self._send_stop(session, view)

    def _give_up_start(self, session: UpstreamSession, view: RunView) -> None:
        """End an unconfirmed start in an evacuated zone, so that it is not repeated.

        A run whose confirmation is under way has begun, and continues.
        """
        context = self._context
        if view.orders == 0:
            context.queue_end(session, view, RunOutcome.NOT_STARTED)
            return
        wait_s = CONFIRMATION_SHARE * context.terms.evacuation_s
        until_s = min(view.order_expires_s, session.evacuated_at_s + wait_s)
        if context.now_s >= until_s:
            reason = "its availability zone is evacuated"
            self.stop(session, view, reason, StopCause.ZONE_EVACUATED)
            view.order_expires_s = 0.0

    def _send_start(self, session: UpstreamSession, view: RunView) -> None:
        context = self._context
        leases = context.terms.leases
        lease_s = leases.lease_s if session.lease_until_ms else leases.start_lease_s
        # A shorter lease would expire before the first renewal.
        max_delay_s = max(
            START_ORDER_SHARE * context.terms.evacuation_s, leases.start_lease_s
        )
        record = context.state.workloads[view.task.workload_id]
        request = StartRequest(
            task=view.task,
            run=view.run,
            payload=record.spec.payload,
            lease_until_ms=session.choose_start_lease(
                lease_s, max_delay_s, context.now_s
            ),
            fencing_token=context.term,
            checkpoint=view.checkpoint,
            ticket=view.ticket,
        )
        session.unanswered_starts[view.key] = context.now_s
        self._send_order(session, view, request)

    def _send_stop(self, session: UpstreamSession, view: RunView) -> None:
        request = StopRequest(
            task=view.task, run=view.run, fencing_token=self._context.term
        )
        self._send_order(session, view, request)

    def _send_blocking_stop(
        self, session: UpstreamSession, key: RunKey, fence: RunFence
    ) -> None:
        """Stop a run that may be on an upstream, or keep it from starting there.

        The stop is sent again without waiting for the first one to time out: a delayed
        start that arrives in between would be carried out.
        """
        terms = self._context.terms
        is_answered = fence.list_after_s is not None
        interval_s = MAX_STOP_S if is_answered else BLOCKING_STOP_INTERVAL_S
        fence.next_stop_s = self._context.now_s + interval_s
        task, run = key
        request = StopRequest(task=task, run=run, fencing_token=self._context.term)
        self._context.call(session, request, terms.order_timeout_s)

    def _send_order(
        self, session: UpstreamSession, view: RunView, request: object
    ) -> None:
        timeout_s = self._context.terms.order_timeout_s
        view.order_expires_s = self._context.find_call_expiry_s(timeout_s)
        view.orders += 1
        self._context.call(session, request, timeout_s)

    def stop(
        self,
        session: UpstreamSession,
        view: RunView,
        reason: str,
        cause: StopCause,
        **fields: Any,
    ) -> bool:
        """Order the stop of a run; see `RunStopper`."""
        if view.phase in (RunPhase.STOPPING, RunPhase.PROPOSED):
            return False
        view.stop_reason = reason
        view.enter(RunPhase.STOPPING, self._context.now_s)
        self._context.touch(session)
        self._context.log_task_decision(
            "run stopped",
            view.task,
            run=view.run,
            upstream=session.upstream_id,
            reason=reason,
            percent=view.percent,
            **fields,
        )
        self._context.add_effect(CountEvent(f"run stopped: {cause}"))
        return True

    def pace(self, session: UpstreamSession, view: RunView, percent: int) -> None:
        """Throttle a run to a percentage of its full speed."""
        view.pace = percent
        # A run that was throttled to 0 has to make progress only from now on.
        view.progress_s = self._context.now_s
        request = PaceRequest(
            task=view.task,
            run=view.run,
            percent=percent,
            fencing_token=self._context.term,
        )
        self._context.call(session, request, self._context.terms.order_timeout_s)

    # Replies

    def handle_failure(self, session: UpstreamSession, request: object) -> None:
        """Handle a call that ended without a reply."""
        context = self._context
        session.last_list_s = -math.inf
        if isinstance(request, HoldRequest) and not session.is_awaited(request):
            # A later one has been sent since, and may have got a reply.
            return
        if session.reachable:
            context.log_decision(
                "upstream unreachable",
                upstream=session.upstream_id,
                heard_age_s=round(context.now_s - session.last_contact_s, 3),
                runs=len(session.runs),
            )
        session.reachable = False
        if isinstance(request, HoldRequest):
            self._renewals.handle_failure(session, request)
            return
        if isinstance(request, PaceRequest):
            self._repeat_pace(session, request, MAX_ORDER_DELAY_S)
            return
        view = self._find_view(session, request)
        if view is not None:
            view.order_expires_s = 0.0
            view.next_order_s = context.now_s + context.terms.hold_retry_s

    def _repeat_pace(
        self, session: UpstreamSession, request: PaceRequest, for_s: float
    ) -> None:
        """Send the pace of a run again for some seconds, as it may not be in force."""
        view = session.runs.get((request.task, request.run))
        if view is not None:
            until_s = self._context.now_s + for_s
            view.pace_uncertain_until_s = max(view.pace_uncertain_until_s, until_s)

    def _find_view(self, session: UpstreamSession, request: object) -> RunView | None:
        """Return the run that an order was for if it is still in that phase."""
        if not isinstance(request, StartRequest | StopRequest):
            return None
        view = session.runs.get((request.task, request.run))
        if view is None:
            return None
        is_stop = isinstance(request, StopRequest)
        if is_stop != (view.phase is RunPhase.STOPPING):
            # The phase has changed since the order, so its reply no longer counts.
            view.order_expires_s = 0.0
            return None
        return view

    def handle_reply(
        self, session: UpstreamSession, request: object, reply: object
    ) -> None:
        """Handle a reply of an upstream."""
        context = self._context
        if not session.reachable:
            context.note_return()
            context.log_decision("upstream reachable", upstream=session.upstream_id)
        session.reachable = True
        session.last_contact_s = session.last_reply_s = context.now_s
        session.note_clock(reply.clock_ms, context.now_s)
        if isinstance(request, HoldRequest):
            self._renewals.handle_reply(session, request, reply)
            return
        if isinstance(request, PaceRequest) and isinstance(reply, OrderRefused):
            self._repeat_pace(session, request, context.terms.interference_s)
            return
        if isinstance(request, StopRequest) and isinstance(reply, OrderDone):
            self._note_fence_stopped(session, (request.task, request.run))
        view = self._find_view(session, request)
        if view is None:
            return
        view.order_expires_s = 0.0
        if isinstance(request, StartRequest) and view.orders == 1:
            # The order was sent once, so no other copy can arrive later.
            session.unanswered_starts.pop(view.key, None)
        match reply:
            case OrderDone():
                self._handle_done(session, view)
            case OrderRefused(refusal):
                self._handle_refusal(session, view, request, refusal)

    def _note_fence_stopped(self, session: UpstreamSession, key: RunKey) -> None:
        """Let the next list show whether a run that may be on an upstream is over."""
        fence = session.fenced_runs.get(key)
        if fence is None or fence.list_after_s is not None:
            return
        now_s = self._context.now_s
        fence.list_after_s = now_s + self._find_stop_limit_s(fence.is_listed)
        fence.next_stop_s = now_s + MAX_STOP_S
        session.request_list(fence.list_after_s)

    def _handle_done(self, session: UpstreamSession, view: RunView) -> None:
        now_s = self._context.now_s
        settled_s = now_s
        if view.phase is RunPhase.STOPPING:
            # Until then the run may go on without being listed.
            settled_s += self._find_stop_limit_s(view.may_have_begun)
        view.expect_listed_by(settled_s)
        if view.phase is RunPhase.STOPPING:
            view.next_order_s = now_s + MAX_STOP_S
            view.is_stop_refused = False
            if view.running_since_s is None:
                # It has no end to list if it never began.
                session.request_list(settled_s)
        if view.phase is RunPhase.ORDERED:
            self._context.start_backoff.note_start(view.task.step_key)
            session.refused_all_count = 0
            view.phase = RunPhase.RUNNING
            view.running_since_s = now_s
            view.progress_s = now_s
            if view.orders == 1 and not view.checkpoint:
                view.baseline = ProgressSample(now_s, 0)

    def _find_stop_limit_s(self, may_have_begun: bool) -> float:
        """Return the seconds after which a stopped run in no list is over.

        The end of a run that has begun is listed, so that only an upstream that has
        forgotten the run does not list it. A slow one lists it late.
        """
        stop_timeout_s = self._context.terms.stop_timeout_s
        return max(stop_timeout_s, MAX_STOP_S) if may_have_begun else stop_timeout_s

    def _handle_refused_stop(
        self, session: UpstreamSession, view: RunView, refusal: Refusal
    ) -> None:
        """Schedule the stop again.

        A refused stop has had no effect, so a delayed start may still be carried out.
        """
        now_s = self._context.now_s
        view.is_stop_refused = True
        self._context.must_plan = True
        ordered_s = session.unanswered_starts.get(view.key)
        # An earlier stop, whose reply was lost, may be under way.
        settled_s = now_s + self._find_stop_limit_s(view.may_have_begun)
        if ordered_s is not None:
            settled_s = max(settled_s, ordered_s + MAX_ORDER_DELAY_S)
        view.expect_listed_by(settled_s)
        is_passing = refusal is Refusal.UNHEALTHY
        delay_s = self._context.terms.hold_retry_s if is_passing else MAX_STOP_S
        view.next_order_s = now_s + delay_s

    def _handle_refusal(
        self,
        session: UpstreamSession,
        view: RunView,
        request: object,
        refusal: Refusal,
    ) -> None:
        context = self._context
        context.log_task_decision(
            "order refused",
            view.task,
            run=view.run,
            upstream=session.upstream_id,
            order=type(request).__name__,
            refusal=str(refusal),
        )
        if view.phase is RunPhase.STOPPING:
            self._handle_refused_stop(session, view, refusal)
            return
        if refusal is Refusal.UNHEALTHY:
            session.note_unhealthy(context.now_s)
        elif refusal not in _TASK_REFUSALS:
            until_s = context.now_s + REFUSAL_BACKOFF_S
            session.note_refusal(view.spec.reserved, context.now_s, until_s)
            context.start_backoff.note_refusal(view, context.now_s)
        if view.orders > 1:
            # An earlier copy without a reply may have been carried out.
            self.stop(session, view, f"refused as {refusal}", StopCause.REFUSED)
        else:
            context.queue_end(session, view, RunOutcome.NOT_STARTED)

"""Tickets of the external service that decides which upstreams may run a step."""

import math

import attrs

from tanagerpath.core.coordination import CallUpstream
from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.orders import (
    AdviceReply,
    AdviceRequest,
    OrderRefused,
)
from tanagerpath.core.workloads.policy import PlanUnit
from tanagerpath.core.workloads.sessions import UpstreamSession

__all__ = ["TicketCache"]

# The service handles the calls of one caller in turn, so more would only queue.
MAX_CALLS_IN_FLIGHT = 2
# The service takes longer for each upstream that a call names.
MAX_UPSTREAMS_PER_CALL = 30
ANSWER_MARGIN_S = 2.0
RETRY_INTERVAL_S = 0.5
# Tickets are dropped before they expire, after this share of their validity.
VALIDITY_SHARE = 0.8

_TicketKey = tuple[str, int, int]


@attrs.frozen
class _HeldTicket:
    """A ticket for one incarnation of an upstream."""

    text: str
    incarnation: str
    valid_until_s: float


@attrs.define
class _Tickets:
    """Tickets and the open call for one step of one occurrence.

    Attributes
    ----------
    by_upstream : dict of str to _HeldTicket
        The tickets.
    denied : dict of str to str
        Incarnations, by upstream, that may not run the step, which does not change.
    called : dict of str to str
        Incarnations, by upstream, that the last call named.
    called_s : float
        Time of the last call, minus infinity for none.
    call_expires_s, next_call_s : float
        Time until which a reply is awaited, and earliest time of the next call.
    """

    by_upstream: dict[str, _HeldTicket] = attrs.Factory(dict)
    denied: dict[str, str] = attrs.Factory(dict)
    called: dict[str, str] = attrs.Factory(dict)
    called_s: float = -math.inf
    call_expires_s: float = 0.0
    next_call_s: float = 0.0


class TicketCache:
    """Requests tickets, and attaches them to the units that need them.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._steps: dict[_TicketKey, _Tickets] = {}

    def attach_tickets(self, units: list[PlanUnit]) -> list[PlanUnit]:
        """Return the units that need no ticket or have valid ones."""
        ready, lacking = [], []
        for unit in sorted(units, key=lambda one: one.queue.priority):
            if unit.queue.advice is None:
                ready.append(unit)
                continue
            tickets = self._find_valid(unit)
            if tickets:
                ready.append(attrs.evolve(unit, tickets=tickets))
            if not self._is_enough(unit, tickets):
                lacking.append((unit, tickets))
        # A step that never gets enough tickets must not take the calls of the others.
        lacking.sort(key=lambda one: self._find_called_s(one[0]))
        for unit, tickets in lacking:
            self._request_tickets(unit, tickets)
        return ready

    def _find_called_s(self, unit: PlanUnit) -> float:
        """Return the time of the last call for a step, minus infinity for none."""
        held = self._steps.get(self._find_key(unit))
        return held.called_s if held else -math.inf

    def _find_key(self, unit: PlanUnit) -> _TicketKey:
        return unit.record.workload_id, unit.occurrence, unit.step

    def _find_valid(self, unit: PlanUnit) -> dict[str, str]:
        held = self._steps.get(self._find_key(unit))
        if held is None:
            return {}
        return {
            upstream_id: ticket.text
            for upstream_id, ticket in held.by_upstream.items()
            if self._context.now_s < ticket.valid_until_s
            and self._context.find_session(upstream_id, ticket.incarnation)
        }

    def _is_enough(self, unit: PlanUnit, tickets: dict[str, str]) -> bool:
        """Return whether the upstreams with tickets would hold all tasks if idle."""
        limit = unit.spec.max_per_upstream or len(unit.indexes)
        capacity = sum(
            unit.spec.reserved.count_in(
                self._context.sessions[upstream_id].record.capacity, limit
            )
            for upstream_id in tickets
        )
        return capacity >= len(unit.indexes)

    def _request_tickets(self, unit: PlanUnit, tickets: dict[str, str]) -> None:
        context = self._context
        held = self._steps.setdefault(self._find_key(unit), _Tickets())
        now_s = context.now_s
        in_flight = sum(now_s < one.call_expires_s for one in self._steps.values())
        if now_s < max(held.call_expires_s, held.next_call_s):
            return
        if in_flight >= MAX_CALLS_IN_FLIGHT:
            return
        chosen = self._choose_upstreams(unit, held, tickets)
        if not chosen:
            if not held.by_upstream:
                # Without any upstream the step can only ask again.
                held.denied.clear()
            held.next_call_s = now_s + RETRY_INTERVAL_S
            return
        held.called_s = now_s
        held.called = {
            upstream_id: context.sessions[upstream_id].record.incarnation
            for upstream_id in chosen
        }
        workload_id, occurrence, step = self._find_key(unit)
        request = AdviceRequest(
            workload_id=workload_id,
            occurrence=occurrence,
            step=step,
            upstream_ids=chosen,
        )
        terms = unit.queue.advice
        decision_s = terms.decision_s + terms.per_upstream_s * len(chosen)
        timeout_s = decision_s * MAX_CALLS_IN_FLIGHT + ANSWER_MARGIN_S
        held.call_expires_s = context.find_call_expiry_s(timeout_s)
        address = context.terms.advice_address
        context.add_effect(CallUpstream("", "", address, request, timeout_s))

    def _choose_upstreams(
        self, unit: PlanUnit, held: _Tickets, tickets: dict[str, str]
    ) -> tuple[str, ...]:
        """Return suitable upstreams without a ticket that were not denied.

        Those that were allowed before come first, then those near the data and with
        capacity. One that may not take a further task of the step is of no use.
        """
        spec = unit.spec
        suitable = [
            session
            for session in self._context.sessions.values()
            if session.is_usable
            and session.upstream_id not in tickets
            and held.denied.get(session.upstream_id) != session.record.incarnation
            and not self._is_at_limit(unit, session)
            and session.record.pool == unit.queue.pool
            and spec.reserved.fits(session.record.capacity)
            and (
                not spec.required_label or spec.required_label in session.record.labels
            )
        ]
        suitable.sort(
            key=lambda session: (
                session.upstream_id not in held.by_upstream,
                bool(spec.preferred_rack)
                and session.record.rack != spec.preferred_rack,
                not spec.reserved.fits(session.free),
                session.upstream_id,
            )
        )
        return tuple(one.upstream_id for one in suitable[:MAX_UPSTREAMS_PER_CALL])

    def _is_at_limit(self, unit: PlanUnit, session: UpstreamSession) -> bool:
        """Return whether an upstream has as many tasks of a step as it may have."""
        limit = unit.spec.max_per_upstream
        return bool(limit) and session.count_step_runs(unit.make_task_id(0)) >= limit

    def handle_reply(
        self, request: AdviceRequest, reply: AdviceReply | OrderRefused
    ) -> None:
        """Store the tickets for a step."""
        context = self._context
        if isinstance(reply, OrderRefused):
            self.handle_failure(request, f"refused as {reply.refusal}")
            return
        held = self._finish_call(request)
        record = context.state.workloads.get(request.workload_id)
        queue = context.state.find_queue(record.queue) if record else None
        if held is None or queue is None or queue.advice is None:
            return
        valid_until_s = context.now_s + queue.advice.validity_s * VALIDITY_SHARE
        for ticket in reply.tickets:
            held.by_upstream[ticket.upstream_id] = _HeldTicket(
                ticket.text, held.called.get(ticket.upstream_id, ""), valid_until_s
            )
        allowed = {ticket.upstream_id for ticket in reply.tickets}
        for upstream_id in request.upstream_ids:
            if upstream_id not in allowed:
                held.denied[upstream_id] = held.called.get(upstream_id, "")
        context.must_plan = True
        context.log_decision(
            "advice taken",
            workload=request.workload_id,
            step=request.step,
            asked=len(request.upstream_ids),
            allowed=len(reply.tickets),
        )

    def handle_failure(self, request: AdviceRequest, reason: str) -> None:
        """Schedule a retry for a step."""
        held = self._finish_call(request)
        if held is not None:
            held.next_call_s = self._context.now_s + RETRY_INTERVAL_S
        self._context.log_decision(
            "advice failed", workload=request.workload_id, reason=reason
        )

    def _finish_call(self, request: AdviceRequest) -> _Tickets | None:
        key = (request.workload_id, request.occurrence, request.step)
        held = self._steps.get(key)
        if held is not None:
            held.call_expires_s = 0.0
        return held

    def drop_ticket(self, workload_id: str, occurrence: int, step: int) -> None:
        """Drop the tickets of a step after one was refused."""
        held = self._steps.get((workload_id, occurrence, step))
        if held is not None:
            held.by_upstream.clear()

    def forget(self, workload_id: str) -> None:
        """Delete the tickets of an ended workload."""
        for key in [key for key in self._steps if key[0] == workload_id]:
            del self._steps[key]

"""Calls of control nodes to upstreams: delayed, lost, late or repeated."""

import random

import attrs

from tanagerpath.benchmarks.workload_check_upstreams import CheckedUpstream, Fleet
from tanagerpath.core.consensus.events import Event
from tanagerpath.core.consensus.harness import SimulatedGroup
from tanagerpath.core.consensus.simulated_vm import SimulatedVm
from tanagerpath.core.coordination import (
    CallUpstream,
    UpstreamCallFailed,
    UpstreamReplied,
)
from tanagerpath.core.workloads.orders import HoldReply, HoldRequest, WrongIncarnation
from tanagerpath.core.workloads.tests.fake_upstream import MS_PER_S, STEP_S
from tanagerpath.errors import Failure
from tanagerpath.runtime.client import ExchangeTimedOut

__all__ = ["CallConditions", "CallNetwork", "NodeGroup"]

DEFAULT_TIMEOUT_S = 0.5
MIN_DELAY_S = 0.0005
MAX_DELAY_S = 0.004
MAX_SLOW_S = 1.0
MIN_LATE_S = 0.3
MAX_LATE_S = 12.0
# Waits of a call inside its process before it is written to the socket.
SEND_WAITS_S = (0.0, 0.0, 0.001, 0.01, 0.1)
FROZEN_POLL_S = 0.02


class NodeGroup(SimulatedGroup):
    """Simulated group whose processes also receive events from outside it."""

    def deliver(self, vm: SimulatedVm, start: int, event: Event) -> None:
        """Deliver an event to a process that was started as number `start`."""
        self._deliver(vm, start, event)


@attrs.define
class CallConditions:
    """Shares of the calls that go wrong.

    Attributes
    ----------
    late : float
        Calls without a reply that are carried out seconds later.
    repeated : float
        Calls without a reply that are carried out at once and again seconds later.
    lost : float
        Calls that are carried out and whose reply is lost.
    slow : float
        Messages that take up to `MAX_SLOW_S`.
    """

    late: float = 0.0
    repeated: float = 0.0
    lost: float = 0.0
    slow: float = 0.0


class CallNetwork:
    """Connections from control nodes to upstreams.

    Parameters
    ----------
    group : NodeGroup
        The control nodes.
    fleet : Fleet
        The upstreams.
    source : Random
        Source of all delays.
    """

    def __init__(self, group: NodeGroup, fleet: Fleet, source: random.Random) -> None:
        self.group = group
        self.fleet = fleet
        self.random = source
        self.conditions = CallConditions()
        self._cuts: dict[tuple[str, str], int] = {}

    def cut(self, vm_id: str, address: str) -> None:
        """Cut a link; several cuts may overlap."""
        self._cuts[(vm_id, address)] = self._cuts.get((vm_id, address), 0) + 1

    def join(self, vm_id: str, address: str) -> None:
        """Take back one cut of a link."""
        self._cuts[(vm_id, address)] = max(self._cuts.get((vm_id, address), 0) - 1, 0)

    def heal(self) -> None:
        """Take back all cuts and other faults."""
        self._cuts.clear()
        self.conditions = CallConditions()

    def find_upstream(self, vm_id: str, address: str) -> CheckedUpstream | None:
        """Return the upstream that a node reaches at an address, if any."""
        upstream = self.fleet.find_by_address(address)
        if upstream is None or upstream.unreachable:
            return None
        return None if self._cuts.get((vm_id, address)) else upstream

    def draw_delay_s(self) -> float:
        """Draw the time that a message takes."""
        delay_s = self.random.uniform(MIN_DELAY_S, MAX_DELAY_S)
        if self.random.random() < self.conditions.slow:
            delay_s += self.random.uniform(0.0, MAX_SLOW_S)
        return delay_s

    def call(self, vm: SimulatedVm, call: CallUpstream) -> None:
        """Send a call; its result comes back to the node as an event."""
        exchange = _Exchange(self, vm, vm.starts, call, self.group.now_s)
        timeout_s = call.timeout_s or DEFAULT_TIMEOUT_S
        self.group.schedule(timeout_s, exchange.expire)
        self.group.schedule(self.random.choice(SEND_WAITS_S), exchange.send)


@attrs.define(eq=False)
class _Exchange:
    """One call and its reply.

    A frozen process sends nothing. Replies that arrive meanwhile wait unread, and its
    timeouts may come before or after them.
    """

    network: CallNetwork
    vm: SimulatedVm
    start: int
    call: CallUpstream
    called_s: float
    is_over: bool = False

    @property
    def _group(self) -> NodeGroup:
        return self.network.group

    def send(self) -> None:
        """Write the call to the socket as soon as the process runs."""
        if self.vm.replica is None or self.vm.starts != self.start:
            return
        if self.vm.frozen:
            self._group.schedule(FROZEN_POLL_S, self.send)
            return
        source, conditions = self.network.random, self.network.conditions
        delay_s = self.network.draw_delay_s()
        late_s = source.uniform(MIN_LATE_S, MAX_LATE_S)
        draw = source.random()
        if draw < conditions.late:
            self._group.schedule(late_s, self._arrive_unanswered)
        elif draw < conditions.late + conditions.repeated:
            self._group.schedule(delay_s, self._arrive_unanswered)
            self._group.schedule(late_s, self._arrive_unanswered)
        elif draw < conditions.late + conditions.repeated + conditions.lost:
            self._group.schedule(delay_s, self._arrive_unanswered)
        else:
            self._group.schedule(delay_s, self._arrive)

    def expire(self) -> None:
        """End the exchange without a reply."""
        if self.is_over:
            return
        if self.vm.frozen and self.network.random.random() < 0.5:
            self._group.schedule(FROZEN_POLL_S, self.expire)
            return
        self._fail(ExchangeTimedOut(address=self.call.address))

    def _find_upstream(self) -> CheckedUpstream | None:
        return self.network.find_upstream(self.vm.vm_id, self.call.address)

    def _arrive_unanswered(self) -> None:
        upstream = self._find_upstream()
        if upstream is None or upstream.record.upstream_id != self.call.upstream_id:
            return
        upstream.carry_out(self.call, self.called_s)

    def _arrive(self) -> None:
        upstream = self._find_upstream()
        if upstream is None:
            return
        if upstream.record.upstream_id != self.call.upstream_id:
            self._return_failure(WrongIncarnation(upstream_id=self.call.upstream_id))
            return
        reply = upstream.carry_out(self.call, self.called_s)
        request = self.call.request
        is_hold = isinstance(request, HoldRequest) and isinstance(reply, HoldReply)
        if is_hold and request.wait_ms:
            self._wait_for_end(upstream, self._group.now_s + request.wait_ms / MS_PER_S)
        else:
            self._return(reply)

    def _wait_for_end(self, upstream: CheckedUpstream, until_s: float) -> None:
        """Reply to a renewal once a run ends or its wait is over."""
        if self._find_upstream() is not upstream:
            return
        has_end = upstream.has_end_after(self.call.request.end_cursor)
        if has_end or self._group.now_s >= until_s:
            self._return(upstream.list_runs())
            return
        self._group.schedule(STEP_S, lambda: self._wait_for_end(upstream, until_s))

    def _return(self, reply: object) -> None:
        event = UpstreamReplied(
            self.call.upstream_id, self.call.incarnation, self.call.request, reply
        )
        self._group.schedule(
            self.network.draw_delay_s(), lambda: self._receive_reply(event)
        )

    def _receive_reply(self, event: UpstreamReplied) -> None:
        if self._find_upstream() is not None:
            self._finish(event)

    def _return_failure(self, failure: Failure) -> None:
        self._group.schedule(self.network.draw_delay_s(), lambda: self._fail(failure))

    def _fail(self, failure: Failure) -> None:
        call = self.call
        self._finish(
            UpstreamCallFailed(
                call.upstream_id, call.incarnation, call.request, failure
            )
        )

    def _finish(self, event: UpstreamReplied | UpstreamCallFailed) -> None:
        if self.is_over:
            return
        self.is_over = True
        self._group.deliver(self.vm, self.start, event)

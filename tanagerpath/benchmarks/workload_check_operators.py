"""Operator of the workload check, who evacuates availability zones."""

import attrs

from tanagerpath.benchmarks.workload_check_callers import Scenario
from tanagerpath.benchmarks.workload_check_calls import CallNetwork
from tanagerpath.benchmarks.workload_check_events import (
    EvacuationAcknowledged,
    EvacuationOrdered,
)
from tanagerpath.benchmarks.workload_check_history import History
from tanagerpath.benchmarks.workload_check_upstreams import ZONES
from tanagerpath.core.workloads.requests import (
    EvacuationChange,
    EvacuationQuery,
    EvacuationReply,
)

__all__ = ["EvacuationOperator"]

# Time after which an order without a reply is repeated.
REPLY_TIMEOUT_S = 1.0
REPEAT_S = 0.1
# Quick orders overtake delayed copies; after slow ones the time limit passes.
MEAN_PAUSES_S = (0.7, 6.0)
ZONE_COUNTS = (1, 2)
# Share of the changes that a frozen process or a slow link delays.
LATE_SHARE = 0.3
MAX_LATE_S = 8.0


@attrs.define(eq=False)
class EvacuationOperator(Scenario):
    """Begins and ends evacuations, one order at a time.

    Attributes
    ----------
    network : CallNetwork
        Knows how many messages are late.
    history : History
        Receives the orders and their acknowledgements.
    """

    network: CallNetwork
    history: History
    _zones: list[str] = attrs.field(init=False)
    _mean_pause_s: float = attrs.field(init=False)
    _evacuated: set[str] = attrs.field(factory=set, init=False)
    _open: "_Order | None" = attrs.field(default=None, init=False)
    _has_ended: bool = attrs.field(default=False, init=False)

    def __attrs_post_init__(self) -> None:
        """Draw the zones, and the time between two orders."""
        source = self.client.random
        self._zones = source.sample(ZONES, source.choice(ZONE_COUNTS))
        self._mean_pause_s = source.choice(MEAN_PAUSES_S)

    def begin(self) -> None:
        """Plan the next order."""
        delay_s = self.client.random.expovariate(1 / self._mean_pause_s)
        self.client.group.schedule(delay_s, self._order)

    def end(self) -> None:
        """Withdraw all evacuations, and order no more."""
        self._has_ended = True
        if self._open is None:
            self._withdraw_next()

    def _order(self) -> None:
        if self._has_ended:
            return
        zone = self.client.random.choice(self._zones)
        self._send(zone, zone not in self._evacuated)

    def _withdraw_next(self) -> None:
        if self._evacuated:
            self._send(min(self._evacuated), False)

    def _send(self, zone: str, is_evacuated: bool) -> None:
        self._open = _Order(self, zone, is_evacuated)
        self.history.add(EvacuationOrdered, zone=zone, is_evacuated=is_evacuated)
        self._open.send()

    def note_acknowledged(self, zone: str, is_evacuated: bool) -> None:
        """Continue after the acknowledgement of the open order."""
        self._open = None
        self.history.add(EvacuationAcknowledged, zone=zone, is_evacuated=is_evacuated)
        if is_evacuated:
            self._evacuated.add(zone)
        else:
            self._evacuated.discard(zone)
        if self._has_ended:
            self._withdraw_next()
        else:
            self.begin()


@attrs.define(eq=False)
class _Order:
    """An order that is repeated until it is acknowledged.

    Each copy is carried out by a control process: it reads the revision, checks that
    the operator still waits for the reply to this copy, and sends the change.
    """

    operator: EvacuationOperator
    zone: str
    is_evacuated: bool
    _copy: int = attrs.field(default=0, init=False)

    def send(self) -> None:
        """Send a copy, and plan the next one."""
        self._copy += 1
        copy, client = self._copy, self.operator.client
        client.request(
            EvacuationQuery(self.zone), lambda reply: self._change(copy, reply)
        )
        client.group.schedule(REPLY_TIMEOUT_S, lambda: self._repeat(copy))

    def _repeat(self, copy: int) -> None:
        if self._copy == copy:
            self.send()

    def _change(self, copy: int, found: object) -> None:
        if self._copy != copy:
            return
        if not isinstance(found, EvacuationReply):
            self._repeat_later(copy)
            return
        client = self.operator.client
        late = max(self.operator.network.conditions.late, LATE_SHARE)
        is_late = client.random.random() < late
        delay_s = client.random.uniform(0.0, MAX_LATE_S) if is_late else 0.0
        request = EvacuationChange(self.zone, self.is_evacuated, found.revision)
        client.group.schedule(
            delay_s,
            lambda: client.request(request, lambda reply: self._finish(copy, reply)),
        )

    def _finish(self, copy: int, stored: object) -> None:
        if self._copy != copy:
            return
        if not isinstance(stored, EvacuationReply):
            self._repeat_later(copy)
            return
        # Replies to other copies reach nobody.
        self._copy = 0
        self.operator.note_acknowledged(self.zone, self.is_evacuated)

    def _repeat_later(self, copy: int) -> None:
        self.operator.client.group.schedule(REPEAT_S, lambda: self._repeat(copy))

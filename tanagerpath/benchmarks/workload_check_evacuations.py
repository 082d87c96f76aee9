"""Invariants of the workload check about evacuated availability zones."""

from collections.abc import Iterator
from typing import Any

from tanagerpath.benchmarks.workload_check_events import (
    CheckEvent,
    EvacuationAcknowledged,
    EvacuationEvent,
    EvacuationOrdered,
    EvacuationRecorded,
    RunStarted,
    name_task,
)
from tanagerpath.benchmarks.workload_check_invariants import Rule, Violation

__all__ = ["EVACUATION_S", "OrderUndone", "StartInEvacuatedZone"]

# Time after the acknowledgement from which nothing starts in the zone.
EVACUATION_S = 5.0


class _OrderRule(Rule):
    """An invariant that holds while no order for a zone is open."""

    def __init__(self, *parts: Any) -> None:
        super().__init__(*parts)
        self._settled: dict[str, EvacuationAcknowledged] = {}

    def _note_order(self, event: EvacuationEvent) -> None:
        """Remember the last order of a zone while it is acknowledged."""
        if isinstance(event, EvacuationAcknowledged):
            self._settled[event.zone] = event
        elif isinstance(event, EvacuationOrdered):
            self._settled.pop(event.zone, None)


class StartInEvacuatedZone(_OrderRule):
    """No run starts in a zone from its bound on until the withdrawal is ordered."""

    name = "start in an evacuated zone"

    def check(self, event: CheckEvent) -> Iterator[Violation]:
        """Check each start; see the base class."""
        if isinstance(event, EvacuationEvent):
            self._note_order(event)
        if not isinstance(event, RunStarted):
            return
        zone = self._fleet.incarnations[event.incarnation].record.availability_zone
        order = self._settled.get(zone)
        if order is None or not order.is_evacuated:
            return
        if event.at_s > order.at_s + EVACUATION_S:
            detail = f"{event.describe()}; {order.describe()} at {order.at_s:.3f}"
            yield self._report(event, name_task(event.task), detail, event)


class OrderUndone(_OrderRule):
    """An acknowledged order stays in effect until another one is sent."""

    name = "order undone"

    def check(self, event: CheckEvent) -> Iterator[Violation]:
        """Check each order that takes effect; see the base class."""
        if not isinstance(event, EvacuationEvent):
            return
        self._note_order(event)
        order = self._settled.get(event.zone)
        if not isinstance(event, EvacuationRecorded) or order is None:
            return
        if event.is_evacuated != order.is_evacuated:
            yield Violation(
                rule=self.name,
                at_s=event.at_s,
                subject=event.zone,
                detail=f"{event.describe()} after {order.describe()}",
            )

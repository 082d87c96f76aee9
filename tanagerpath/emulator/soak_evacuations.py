"""Rule of the soak that nothing starts in an evacuated zone; no input or output."""

from collections.abc import Mapping

import attrs

from tanagerpath.emulator.soak_run_events import RunStarted

__all__ = [
    "EVACUATION_S",
    "EvacuationAcknowledged",
    "EvacuationOrdered",
    "EvacuationRules",
]

# Time after the acknowledgement from which nothing starts in the zone.
EVACUATION_S = 5.0


@attrs.frozen
class EvacuationOrdered:
    """An order to begin or end the evacuation of a zone is about to be sent."""

    zone: str
    is_evacuated: bool


@attrs.frozen
class EvacuationAcknowledged:
    """The order was acknowledged."""

    zone: str
    is_evacuated: bool
    at_s: float


class EvacuationRules:
    """Judges the starts on workers by the orders that were acknowledged.

    Parameters
    ----------
    zones : mapping of str to str
        Availability zone by worker.

    Attributes
    ----------
    broken : list of str
        What went wrong.
    acknowledged_count : int
        Number of acknowledged orders.
    """

    def __init__(self, zones: Mapping[str, str]) -> None:
        self.broken: list[str] = []
        self.acknowledged_count = 0
        self._zones = zones
        # Zones whose evacuation is acknowledged, and no withdrawal sent.
        self._evacuated_at_s: dict[str, float] = {}

    def handle(
        self, event: RunStarted | EvacuationOrdered | EvacuationAcknowledged
    ) -> None:
        """Take what a worker or the operator saw; events come in their order."""
        match event:
            case EvacuationOrdered(zone):
                self._evacuated_at_s.pop(zone, None)
            case EvacuationAcknowledged(zone, is_evacuated, at_s):
                self.acknowledged_count += 1
                if is_evacuated:
                    self._evacuated_at_s[zone] = at_s
            case RunStarted():
                self._check_start(event)

    def _check_start(self, start: RunStarted) -> None:
        zone = self._zones[start.worker_id]
        evacuated_at_s = self._evacuated_at_s.get(zone)
        if evacuated_at_s is None or start.at_s <= evacuated_at_s + EVACUATION_S:
            return
        self.broken.append(
            f"run {start.run} of {start.task} started on {start.worker_id} "
            f"(term {start.token}) {start.at_s - evacuated_at_s:.2f} s after the "
            f"evacuation of zone {zone} was acknowledged"
        )

"""Pauses between the plans of a leader, which leave it time for other work."""

__all__ = ["PlanPause"]

# Seconds from the begin of a plan until the next one for each unit that it lists: twice
# the processor time of listing and ranking it.
UNIT_PAUSE_S = 120e-6
# Longest pause for listed units. Urgent work must start within 1.2 s, and may have to
# wait for two pauses, as one plan may be ahead.
MAX_UNITS_PAUSE_S = 0.3


class PlanPause:
    """Delays the next plan by what the last one cost.

    The core has no clock to measure plans with, so their cost follows from what they
    look at. A plan after a change of the fleet, which may have freed capacity, need not
    wait for the pause for listed units; that time is added to the next pause, and only
    one plan at a time is ahead.

    Parameters
    ----------
    pair_cost_s : float
        Seconds of pause for each pair of a unit and an upstream.
    """

    def __init__(self, pair_cost_s: float) -> None:
        self._pair_cost_s = pair_cost_s
        self._pairs_end_s = 0.0
        self._end_s = 0.0
        self._last_pause_s = 0.0

    def is_over(self, now_s: float, has_fleet_changed: bool) -> bool:
        """Return whether the next plan may begin."""
        if now_s < self._pairs_end_s:
            return False
        ahead_s = self._last_pause_s if has_fleet_changed else 0.0
        return now_s >= self._end_s - ahead_s

    def begin(self, now_s: float, units: int, pairs: int) -> None:
        """Begin the pause after a plan.

        Parameters
        ----------
        now_s : float
            Time of the plan.
        units : int
            Units that it listed.
        pairs : int
            Pairs of a unit and an upstream that it looked at.
        """
        pairs_pause_s = self._pair_cost_s * pairs
        units_pause_s = min(UNIT_PAUSE_S * units, MAX_UNITS_PAUSE_S)
        self._last_pause_s = pairs_pause_s + units_pause_s
        self._pairs_end_s = now_s + pairs_pause_s
        self._end_s = max(self._end_s, now_s) + self._last_pause_s

"""Pauses between attempts at something that failed."""

import attrs

__all__ = ["GrowingPause"]


@attrs.define
class GrowingPause:
    """Pauses that double up to a bound.

    Attributes
    ----------
    next_s : float
        Seconds of the next pause.
    longest_s : float
        Longest pause in seconds.
    """

    next_s: float
    longest_s: float

    def take_s(self) -> float:
        """Return the seconds to pause now."""
        taken_s = self.next_s
        self.next_s = min(2 * taken_s, self.longest_s)
        return taken_s

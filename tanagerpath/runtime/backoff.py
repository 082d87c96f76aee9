"""Delays between attempts at an operation that failed."""

import attrs

__all__ = ["ExponentialBackoff"]


@attrs.define
class ExponentialBackoff:
    """Delay that doubles after each attempt, up to a limit.

    Attributes
    ----------
    delay_s : float
        Delay before the next attempt, in seconds.
    max_delay_s : float
        Upper limit of the delay in seconds.
    """

    delay_s: float
    max_delay_s: float

    def next_delay_s(self) -> float:
        """Return the delay before the next attempt, and double the one after it."""
        current_s = self.delay_s
        self.delay_s = min(2 * current_s, self.max_delay_s)
        return current_s

"""Detection of a leader that handles its deadlines late."""

import collections

__all__ = ["LatenessMonitor"]

# Long enough that a single stall, such as that of a snapshot, is not taken for a slow
# VM.
WINDOW_S = 1.5
MIN_LATE_TICKS = 3
# Share of the window by which its ticks are late in sum.
LATE_SHARE = 0.6


class LatenessMonitor:
    """Tells whether the ticks of a process have been late for a while.

    A VM that turns slow can keep the leadership, as it still answers in time for the
    consensus, while each order waits for a second. One long stall is no sign of it: a
    process that was suspended may be as fast as before.
    """

    def __init__(self) -> None:
        self._began_s = 0.0
        self._ticks: collections.deque[tuple[float, float]] = collections.deque()

    def reset(self, now_s: float) -> None:
        """Forget all ticks."""
        self._began_s = now_s
        self._ticks.clear()

    def note_tick(self, due_s: float, now_s: float) -> None:
        """Note a tick that was due at `due_s`."""
        self._ticks.append((now_s, max(now_s - due_s, 0.0)))
        while self._ticks[0][0] < now_s - WINDOW_S:
            self._ticks.popleft()

    def is_late(self, now_s: float) -> bool:
        """Return whether the process was late for most of the last window."""
        if now_s < self._began_s + WINDOW_S or len(self._ticks) < MIN_LATE_TICKS:
            return False
        return self.find_lateness_s() >= LATE_SHARE * WINDOW_S

    def find_lateness_s(self) -> float:
        """Return the sum of the delays of the ticks in the window.

        A tick counts for at most a third of the window, so that one stall can't reach
        the limit.
        """
        most_s = WINDOW_S / MIN_LATE_TICKS
        return sum(min(late_s, most_s) for _, late_s in self._ticks)

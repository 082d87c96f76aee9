"""Clocks that the tasks read and pass to the core."""

import abc
import time

__all__ = ["Clock", "SystemClock"]


class Clock(abc.ABC):
    """Source of instants."""

    @abc.abstractmethod
    def read_s(self) -> float:
        """Return seconds on a monotonic clock."""

    @abc.abstractmethod
    def read_unix_s(self) -> float:
        """Return UTC seconds since 1970."""


class SystemClock(Clock):
    """Clocks of the operating system."""

    def read_s(self) -> float:
        """Return seconds on the clock that also counts the time of a suspension.

        A lease that was taken before a suspension must be over after it.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_unix_s(self) -> float:
        """Return UTC seconds of the system."""
        return time.time()

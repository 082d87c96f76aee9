"""Clocks that the tasks read and pass to the core."""

import abc
import time

__all__ = ["Clock", "SystemClock"]


class Clock(abc.ABC):
    """Source of the current time."""

    @abc.abstractmethod
    def read_s(self) -> float:
        """Return seconds on a monotonic clock."""

    @abc.abstractmethod
    def read_unix_s(self) -> float:
        """Return UTC seconds since 1970."""


class SystemClock(Clock):
    """Clocks of the operating system."""

    def read_s(self) -> float:
        """Return seconds on a monotonic clock that includes time spent suspended.

        Time spent suspended must count towards the expiry of a lease.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_unix_s(self) -> float:
        """Return UTC seconds since 1970 from the system clock."""
        return time.time()

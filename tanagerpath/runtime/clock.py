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
        """Return seconds on the monotonic clock of the system."""
        return time.monotonic()

    def read_unix_s(self) -> float:
        """Return UTC seconds of the system."""
        return time.time()

"""Bytes that the open exchanges of a process may hold together."""

import abc
import time
from collections.abc import Callable

import attrs

__all__ = ["SMALL_BYTES", "ByteBudget", "ByteHolder"]

# An ordinary request or reply; those up to this size may use the whole budget.
SMALL_BYTES = 64 * 1024
LARGE_FRACTION = 0.625
# Large requests that arrive at once are not dropped for each other. One of 4 MiB takes
# 0.2 s on a link of 200 Mbit/s.
MIN_AGE_TO_DROP_S = 0.5


class ByteHolder(abc.ABC):
    """An exchange whose bytes a budget counts."""

    @abc.abstractmethod
    def drop(self) -> None:
        """End the exchange at once, so that its bytes are freed."""


@attrs.define
class _Share:
    """Bytes of one holder.

    Attributes
    ----------
    started_s : float
        Time of the first byte.
    size : int
        Bytes so far.
    is_privileged : bool
        Whether the holder may use the whole budget with any size.
    may_be_dropped : bool
        Whether the budget may end the exchange.
    """

    started_s: float
    size: int = 0
    is_privileged: bool = False
    may_be_dropped: bool = True


class ByteBudget:
    """Limits the bytes of all holders, and drops the slowest ones if they use it up.

    Exchanges of ordinary size take milliseconds, so the one that has been incomplete
    for the longest time is the least useful one. It is dropped if it is older than
    `MIN_AGE_TO_DROP_S`; otherwise the new one has to go. Large exchanges get a part of
    the budget only, so that small ones always find room.

    Parameters
    ----------
    max_bytes : int
        Total size.
    read_clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self, max_bytes: int, read_clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._read_clock = read_clock
        self.max_bytes = max_bytes
        self.max_large_bytes = int(max_bytes * LARGE_FRACTION)
        self._shares: dict[ByteHolder, _Share] = {}
        self.used_bytes = 0

    def take(
        self, holder: ByteHolder, size: int, *, is_privileged: bool = False
    ) -> bool:
        """Add bytes to a holder.

        Parameters
        ----------
        holder : ByteHolder
            Holder of the bytes.
        size : int
            Number of further bytes.
        is_privileged : bool
            Whether the holder may use the whole budget with any size.

        Returns
        -------
        bool
            False if there is no room, even after others were dropped.
        """
        share = self._shares.get(holder)
        if share is None:
            share = _Share(self._read_clock(), is_privileged=is_privileged)
            self._shares[holder] = share
        share.size += size
        self.used_bytes += size
        if self.used_bytes <= self.max_large_bytes:
            return True
        is_small = is_privileged or share.size <= SMALL_BYTES
        ceiling = self.max_bytes if is_small else self.max_large_bytes
        while self.used_bytes > ceiling:
            victim = self._find_victim(holder)
            if victim is None:
                self.release(holder)
                return False
            self.release(victim)
            victim.drop()
        return True

    def _find_victim(self, holder: ByteHolder) -> ByteHolder | None:
        """Return the oldest holder that may be dropped, large ones first."""
        latest_s = self._read_clock() - MIN_AGE_TO_DROP_S
        asking = self._shares[holder]
        others = [
            (one, share)
            for one, share in self._shares.items()
            if one is not holder
            and share.may_be_dropped
            and not share.is_privileged
            and (asking.is_privileged or share.started_s <= latest_s)
        ]
        for one, share in others:
            if share.size > SMALL_BYTES:
                return one
        return others[0][0] if others else None

    def keep(self, holder: ByteHolder) -> None:
        """Exclude a holder from being dropped: its exchange is complete."""
        share = self._shares.get(holder)
        if share is not None:
            share.may_be_dropped = False

    def release(self, holder: ByteHolder) -> None:
        """Free the bytes of a holder, if it has any."""
        share = self._shares.pop(holder, None)
        if share is not None:
            self.used_bytes -= share.size

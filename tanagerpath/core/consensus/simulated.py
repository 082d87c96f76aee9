"""Disk, clock and network models for in-memory tests of the replica."""

import random

import attrs

from tanagerpath.core.consensus.config import RestoredState
from tanagerpath.core.consensus.events import LogEntry, PersistState, Snapshot

__all__ = ["DiskContent", "NetworkFaults", "SimulatedClock", "SimulatedDisk"]

# Upper bound; monotonic clocks of two VMs drift far less in practice.
CLOCK_RATE_ERROR = 0.005
CLOCK_OFFSET_S = 1000.0


@attrs.frozen(kw_only=True)
class NetworkFaults:
    """Probabilities and delays of the simulated network.

    Attributes
    ----------
    drop, duplicate, slow : float
        Probabilities that a message is lost, duplicated or delayed up to `max_slow_s`.
    min_delay_s, max_delay_s : float
        Range of the normal delay in seconds.
    max_slow_s : float
        Longest delay of a slow message in seconds.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    slow: float = 0.0
    min_delay_s: float = 0.0005
    max_delay_s: float = 0.003
    max_slow_s: float = 2.0

    def draw_delays(self, source: random.Random) -> list[float]:
        """Return the delay of each copy of a message that arrives."""
        if source.random() < self.drop:
            return []
        copies = 2 if source.random() < self.duplicate else 1
        return [self._draw_delay(source) for _ in range(copies)]

    def _draw_delay(self, source: random.Random) -> float:
        if source.random() < self.slow:
            return source.uniform(self.max_delay_s, self.max_slow_s)
        return source.uniform(self.min_delay_s, self.max_delay_s)


@attrs.frozen
class SimulatedClock:
    """Monotonic clock of one process, with its own offset and rate."""

    offset_s: float
    rate: float

    @classmethod
    def from_random(cls, source: random.Random) -> "SimulatedClock":
        """Return a clock with a random offset and rate."""
        rate = 1.0 + source.uniform(-CLOCK_RATE_ERROR, CLOCK_RATE_ERROR)
        return cls(source.uniform(0.0, CLOCK_OFFSET_S), rate)

    def read_s(self, real_s: float) -> float:
        """Return the reading of the clock at a real time."""
        return self.offset_s + self.rate * real_s

    def find_real_s(self, local_s: float) -> float:
        """Return the real time at which the clock reads `local_s`."""
        return (local_s - self.offset_s) / self.rate


@attrs.define
class DiskContent:
    """Content of a data directory."""

    replica_id: str | None = None
    term: int = 0
    voted_for: str | None = None
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = attrs.Factory(list)

    @property
    def last_index(self) -> int:
        """Index of the last entry or of the snapshot."""
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.last_index if self.snapshot else 0

    def find_term(self, index: int) -> int | None:
        """Return the term of the entry at an index, None if it is not held."""
        if self.snapshot and self.snapshot.last_index == index:
            return self.snapshot.last_term
        if not self.entries:
            return 0 if index == 0 else None
        place = index - self.entries[0].index
        if 0 <= place < len(self.entries):
            return self.entries[place].term
        return 0 if index == 0 else None

    def holds(self, index: int, term: int) -> bool:
        """Return whether an entry is in the log or covered by the snapshot."""
        if self.snapshot and index <= self.snapshot.last_index:
            return True
        return self.find_term(index) == term

    def apply(self, write: PersistState) -> None:
        """Apply a write."""
        self.replica_id = write.replica_id or self.replica_id
        self.term = write.term
        self.voted_for = write.voted_for
        while (
            write.truncate_from is not None
            and self.entries
            and self.entries[-1].index >= write.truncate_from
        ):
            self.entries.pop()
        self.entries.extend(write.entries)
        if write.snapshot is not None:
            self.snapshot = write.snapshot
            last_index = write.snapshot.last_index
            self.entries = [entry for entry in self.entries if entry.index > last_index]

    def copy(self) -> "DiskContent":
        """Return an independent copy."""
        return attrs.evolve(self, entries=list(self.entries))

    def restore(self) -> RestoredState:
        """Return the content as a restarted replica reads it."""
        return RestoredState(
            replica_id=self.replica_id,
            term=self.term,
            voted_for=self.voted_for,
            snapshot=self.snapshot,
            entries=tuple(self.entries),
        )


class SimulatedDisk:
    """Data directory whose unsynced writes may be lost in a crash.

    Attributes
    ----------
    durable : DiskContent
        Content that survives a crash.
    visible : DiskContent
        Content including writes that are not synced yet.
    refusing : bool
        Whether no sync can begin, as on a full disk.
    """

    def __init__(self) -> None:
        self._waiting: list[PersistState] = []
        self._syncing = 0
        self.refusing = False
        self.empty()

    def empty(self) -> None:
        """Lose everything."""
        self.durable = DiskContent()
        self.visible = DiskContent()
        self._waiting.clear()
        self._syncing = 0

    def write(self, write: PersistState) -> bool:
        """Queue a write; return True if no sync is running and one must begin."""
        self._waiting.append(write)
        self.visible.apply(write)
        return self._syncing == 0

    def begin_sync(self) -> bool:
        """Begin a sync of all queued writes; return False if none can begin."""
        if self.refusing:
            return False
        self._syncing = len(self._waiting)
        return self._syncing > 0

    def end_sync(self) -> int:
        """End the running sync and return the last synced sequence number."""
        synced = self._waiting[: self._syncing]
        del self._waiting[: self._syncing]
        self._syncing = 0
        for write in synced:
            self.durable.apply(write)
        return synced[-1].sequence

    def crash(self, source: random.Random) -> None:
        """Keep a random prefix of the queued writes and lose the others."""
        for write in self._waiting[: source.randint(0, len(self._waiting))]:
            self.durable.apply(write)
        self._waiting.clear()
        self._syncing = 0
        self.visible = self.durable.copy()

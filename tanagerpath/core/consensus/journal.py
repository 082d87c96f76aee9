"""Writes that a replica has asked for and messages that wait for them."""

import attrs

from tanagerpath.core.consensus.events import (
    LogEntry,
    PersistState,
    SendMessage,
    Snapshot,
)

__all__ = ["Journal"]


@attrs.define
class _Write:
    """An unsynced write and the last log index that it makes durable."""

    sequence: int
    last_index: int


@attrs.frozen
class _HeldMessage:
    """A message that may leave once the write `sequence` is on disk."""

    sequence: int
    message: SendMessage


class Journal:
    """Collects the writes of one step and holds messages until they are synced.

    While the disk takes no writes, messages that would wait for it are dropped: they
    may be lost like any other, and their number would grow for as long as that lasts.

    Parameters
    ----------
    last_index : int
        Last log index that was found on disk.
    """

    def __init__(self, last_index: int) -> None:
        self.sequence = 0
        self.synced_sequence = 0
        self.synced_index = last_index
        self.storage_lost = False
        self._last_index = last_index
        self._hard_state_sequence = 0
        self._unsynced: list[_Write] = []
        self._held: list[_HeldMessage] = []
        self._clear()

    def _clear(self) -> None:
        self._dirty = False
        self._truncate_from: int | None = None
        self._entries: list[LogEntry] = []
        self._snapshot: Snapshot | None = None
        self._replica_id: str | None = None

    @property
    def next_sequence(self) -> int:
        """Sequence number that covers all that was recorded up to now."""
        return self.sequence + 1 if self._dirty else self.sequence

    def record_hard_state(self) -> None:
        """Note that the term or the vote changed; all later messages wait for it."""
        self._dirty = True
        self._hard_state_sequence = self.sequence + 1

    def record_identity(self, replica_id: str) -> None:
        """Note that the identity is new; all later messages wait for it."""
        self._replica_id = replica_id
        self.record_hard_state()

    def record_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Note entries that were appended to the log."""
        self._dirty = True
        self._entries.extend(entries)
        self._last_index = entries[-1].index

    def record_truncation(self, index: int) -> None:
        """Note that all entries from `index` on were removed."""
        self._dirty = True
        self._entries = [entry for entry in self._entries if entry.index < index]
        previous = index if self._truncate_from is None else self._truncate_from
        self._truncate_from = min(previous, index)
        self._last_index = min(self._last_index, index - 1)
        self.synced_index = min(self.synced_index, index - 1)
        for write in self._unsynced:
            write.last_index = min(write.last_index, index - 1)

    def record_snapshot(self, snapshot: Snapshot) -> None:
        """Note a snapshot; it makes all entries up to its index durable."""
        self._dirty = True
        self._snapshot = snapshot
        self._last_index = max(self._last_index, snapshot.last_index)

    def hold(self, message: SendMessage) -> None:
        """Queue a message until the term, vote and identity it shows are synced."""
        sequence = self._hard_state_sequence
        if self.storage_lost and sequence > self.synced_sequence:
            return
        self._held.append(_HeldMessage(sequence, message))

    def drop_held(self) -> None:
        """Forget messages of an earlier term."""
        self._held.clear()

    def take_write(self, term: int, voted_for: str | None) -> PersistState | None:
        """Return the write of this step, if there is anything to write."""
        if not self._dirty:
            return None
        self.sequence += 1
        self._unsynced.append(_Write(self.sequence, self._last_index))
        write = PersistState(
            sequence=self.sequence,
            term=term,
            voted_for=voted_for,
            truncate_from=self._truncate_from,
            entries=tuple(self._entries),
            snapshot=self._snapshot,
            replica_id=self._replica_id,
        )
        self._clear()
        return write

    def record_loss(self) -> None:
        """Note that the disk takes no writes until the next sync is reported."""
        self.storage_lost = True
        self.drop_held()

    def record_sync(self, sequence: int) -> None:
        """Note that all writes up to `sequence` are on disk."""
        self.storage_lost = False
        self.synced_sequence = max(self.synced_sequence, sequence)
        while self._unsynced and self._unsynced[0].sequence <= sequence:
            write = self._unsynced.pop(0)
            self.synced_index = max(self.synced_index, write.last_index)

    def take_released(self) -> list[SendMessage]:
        """Return the messages whose writes are on disk."""
        synced = self.synced_sequence
        ready = [held.message for held in self._held if held.sequence <= synced]
        self._held = [held for held in self._held if held.sequence > synced]
        return ready

"""Pending writes of a replica and the messages that wait for them."""

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
class _QueuedMessage:
    """A message that may be sent once the write `sequence` is on disk."""

    sequence: int
    message: SendMessage


class Journal:
    """Collects the writes of one step and queues messages until they are synced.

    While the disk rejects writes, messages that would wait for it are dropped: any
    message may be lost, and the queue would grow without limit.

    Parameters
    ----------
    last_index : int
        Last log index on disk at the start.
    """

    def __init__(self, last_index: int) -> None:
        self.sequence = 0
        self.synced_sequence = 0
        self.synced_index = last_index
        self.storage_lost = False
        self._last_index = last_index
        self._hard_state_sequence = 0
        self._unsynced: list[_Write] = []
        self._queued_messages: list[_QueuedMessage] = []
        self._clear()

    def _clear(self) -> None:
        self._dirty = False
        self._truncate_from: int | None = None
        self._entries: list[LogEntry] = []
        self._snapshot: Snapshot | None = None
        self._replica_id: str | None = None

    @property
    def next_sequence(self) -> int:
        """Sequence number of the write that covers everything recorded so far."""
        return self.sequence + 1 if self._dirty else self.sequence

    def record_hard_state(self) -> None:
        """Record a changed term or vote; all later messages wait for its sync."""
        self._dirty = True
        self._hard_state_sequence = self.sequence + 1

    def record_identity(self, replica_id: str) -> None:
        """Record a new identity; all later messages wait for its sync."""
        self._replica_id = replica_id
        self.record_hard_state()

    def record_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Record entries that were appended to the log."""
        self._dirty = True
        self._entries.extend(entries)
        self._last_index = entries[-1].index

    def record_truncation(self, index: int) -> None:
        """Record that all entries from `index` on were removed."""
        self._dirty = True
        self._entries = [entry for entry in self._entries if entry.index < index]
        previous = index if self._truncate_from is None else self._truncate_from
        self._truncate_from = min(previous, index)
        self._last_index = min(self._last_index, index - 1)
        self.synced_index = min(self.synced_index, index - 1)
        for write in self._unsynced:
            write.last_index = min(write.last_index, index - 1)

    def record_snapshot(self, snapshot: Snapshot) -> None:
        """Record a snapshot; its sync makes all entries up to its index durable."""
        self._dirty = True
        self._snapshot = snapshot
        self._last_index = max(self._last_index, snapshot.last_index)

    def queue_message(self, message: SendMessage) -> None:
        """Queue a message until the current term, vote and identity are synced."""
        sequence = self._hard_state_sequence
        if self.storage_lost and sequence > self.synced_sequence:
            return
        self._queued_messages.append(_QueuedMessage(sequence, message))

    def drop_queued_messages(self) -> None:
        """Drop queued messages: they are of an earlier term or wait for a lost disk."""
        self._queued_messages.clear()

    def take_write(self, term: int, voted_for: str | None) -> PersistState | None:
        """Return and clear the write of this step, None if there is none."""
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

    def record_storage_loss(self) -> None:
        """Record that the disk rejects writes until the next sync is reported."""
        self.storage_lost = True
        self.drop_queued_messages()

    def record_sync(self, sequence: int) -> None:
        """Record that all writes up to `sequence` are on disk."""
        self.storage_lost = False
        self.synced_sequence = max(self.synced_sequence, sequence)
        while self._unsynced and self._unsynced[0].sequence <= sequence:
            write = self._unsynced.pop(0)
            self.synced_index = max(self.synced_index, write.last_index)

    def take_sendable_messages(self) -> list[SendMessage]:
        """Remove and return the queued messages whose writes are on disk."""
        synced = self.synced_sequence
        ready = [
            queued.message
            for queued in self._queued_messages
            if queued.sequence <= synced
        ]
        self._queued_messages = [
            queued for queued in self._queued_messages if queued.sequence > synced
        ]
        return ready

"""Queue of the messages to one replica, without input or output."""

import attrs

from tanagerpath.core.consensus import AppendRequest, SendMessage, SnapshotChunk

__all__ = ["EXCHANGE_CHARS", "PeerQueue"]

# Two full batches of the log. A link of 3 MB/s takes 0.2 s for them, so that the next
# heartbeat arrives within the leader's lease.
EXCHANGE_CHARS = 2 * 262_144


def _count_bulk_chars(message: SendMessage) -> int:
    """Return the characters of the log or of a snapshot in a message."""
    content = message.message
    if isinstance(content, SnapshotChunk):
        return len(content.text)
    if isinstance(content, AppendRequest):
        return sum(len(entry.payload) for entry in content.entries)
    return 0


def _is_bulk(message: SendMessage) -> bool:
    content = message.message
    if isinstance(content, AppendRequest):
        return bool(content.entries)
    return isinstance(content, SnapshotChunk)


def _precedes(batch: SendMessage, heartbeat: SendMessage) -> bool:
    """Return whether a heartbeat refers to the log after a batch of the same leader."""
    if attrs.evolve(batch, message=None) != attrs.evolve(heartbeat, message=None):
        return False
    entries, request = batch.message, heartbeat.message
    if not isinstance(entries, AppendRequest) or entries.term != request.term:
        return False
    return entries.prev_index < request.prev_index


def _overtake(message: SendMessage, waiting: list[SendMessage]) -> SendMessage:
    """Return a small message as it may be sent before the batches that wait.

    Only a heartbeat depends on them: a follower rejects one that refers to entries
    which it lacks, and the leader then sends those entries again. An earlier position
    in the leader's log serves as well, because the lease depends on the send time only.
    """
    if not isinstance(message.message, AppendRequest):
        return message
    batches = [batch.message for batch in waiting if _precedes(batch, message)]
    if not batches:
        return message
    first = min(batches, key=lambda batch: batch.prev_index)
    request = attrs.evolve(
        message.message, prev_index=first.prev_index, prev_term=first.prev_term
    )
    return attrs.evolve(message, message=request)


class PeerQueue:
    """Messages that wait for an exchange with one address, in order of arrival.

    Batches of the log and chunks of a snapshot keep their order, and an exchange takes
    no more of them than `EXCHANGE_CHARS`. All other messages go with the next exchange,
    because a lease and an election depend on their delay.

    Parameters
    ----------
    capacity : int
        Maximum number of messages.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._messages: list[SendMessage] = []

    def __len__(self) -> int:
        return len(self._messages)

    def add(self, message: SendMessage) -> int:
        """Add a message; return how many of the oldest were dropped for it.

        Half of a full queue is dropped.
        """
        dropped = 0
        if len(self._messages) >= self._capacity:
            dropped = len(self._messages) // 2 + 1
            del self._messages[:dropped]
        self._messages.append(message)
        return dropped

    def take_exchange(self) -> list[SendMessage]:
        """Remove and return the messages of the next exchange."""
        taken: list[SendMessage] = []
        waiting: list[SendMessage] = []
        chars = 0
        for message in self._messages:
            if not _is_bulk(message):
                taken.append(_overtake(message, waiting))
                continue
            is_first = chars == 0
            chars += _count_bulk_chars(message)
            if is_first or chars <= EXCHANGE_CHARS:
                taken.append(message)
            else:
                waiting.append(message)
        self._messages = waiting
        return taken

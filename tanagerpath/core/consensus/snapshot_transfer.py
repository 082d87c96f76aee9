"""Transfer of a snapshot in chunks, several of which are on the way at once."""

import math

import attrs

from tanagerpath.core.consensus.events import Snapshot
from tanagerpath.core.consensus.messages import SnapshotChunk
from tanagerpath.core.consensus.send_window import SendWindow

__all__ = ["SnapshotAssembly", "SnapshotTransfer"]

MAX_CHUNKS_IN_FLIGHT = 4


@attrs.define
class SnapshotTransfer:
    """Snapshot that a leader sends to one member.

    Attributes
    ----------
    snapshot : Snapshot
        What is sent.
    chunk_chars : int
        Maximum number of characters in a chunk.
    received_chars : int
        Characters that the member has confirmed.
    sent_chars : int
        Characters that were sent at least once.
    sent_s : float
        Time at which a chunk was last sent.
    """

    snapshot: Snapshot
    chunk_chars: int
    received_chars: int = 0
    sent_chars: int = 0
    sent_s: float = -math.inf
    _window: SendWindow = attrs.field(
        factory=lambda: SendWindow(1, MAX_CHUNKS_IN_FLIGHT), init=False
    )

    @property
    def _size(self) -> int:
        """Characters to send; an empty snapshot needs a chunk too."""
        return max(len(self.snapshot.payload), 1)

    def take_offsets(self, now_s: float) -> range:
        """Return the offsets of the chunks that may be sent now, as sent."""
        end = self.received_chars + self._window.size * self.chunk_chars
        offsets = range(self.sent_chars, min(end, self._size), self.chunk_chars)
        if offsets:
            self.sent_chars = offsets[-1] + self.chunk_chars
            self.sent_s = now_s
        return offsets

    def record_received(self, received_chars: int) -> None:
        """Record what a member has confirmed; zero after its restart."""
        if received_chars > self.received_chars:
            self._window.record_answer()
            self.received_chars = received_chars
            self.sent_chars = max(self.sent_chars, received_chars)
        elif received_chars == 0 < self.received_chars:
            self._start_again_from(0)

    def record_loss(self) -> None:
        """Send again what has not been confirmed, or the last chunk if all has."""
        last_offset = (self._size - 1) // self.chunk_chars * self.chunk_chars
        self._start_again_from(min(self.received_chars, last_offset))

    def _start_again_from(self, offset: int) -> None:
        self._window.record_loss()
        self.received_chars = min(self.received_chars, offset)
        self.sent_chars = offset


class SnapshotAssembly:
    """Chunks of one snapshot as they arrive, in any order.

    Parameters
    ----------
    last_index, last_term : int
        Last entry that the snapshot covers.
    """

    def __init__(self, last_index: int, last_term: int) -> None:
        self._snapshot_id = (last_index, last_term)
        self._texts: list[str] = []
        self._ahead: dict[int, SnapshotChunk] = {}
        self.received_chars = 0
        self.is_complete = False

    def is_for(self, chunk: SnapshotChunk) -> bool:
        """Return whether a chunk belongs to this snapshot."""
        return self._snapshot_id == (chunk.last_index, chunk.last_term)

    def add(self, chunk: SnapshotChunk) -> None:
        """Add a chunk, and those that wait for it."""
        if chunk.offset > self.received_chars:
            if len(self._ahead) < MAX_CHUNKS_IN_FLIGHT:
                self._ahead[chunk.offset] = chunk
            return
        following: SnapshotChunk | None = chunk
        while following is not None and following.offset == self.received_chars:
            self._texts.append(following.text)
            self.received_chars += len(following.text)
            self.is_complete = following.complete
            following = self._ahead.pop(self.received_chars, None)

    def join(self) -> str:
        """Return the payload."""
        return "".join(self._texts)

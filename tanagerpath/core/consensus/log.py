"""In-memory log of a replica, with an index of its memberships."""

from collections.abc import Sequence

from tanagerpath.core.consensus.events import EntryKind, LogEntry, Snapshot
from tanagerpath.core.consensus.membership import Membership

__all__ = ["ReplicatedLog"]


class ReplicatedLog:
    """Entries after `base_index`, without gaps.

    Parameters
    ----------
    snapshot : Snapshot or None
        Snapshot that precedes the entries.
    entries : sequence of LogEntry
        Entries after the snapshot.
    """

    def __init__(
        self, snapshot: Snapshot | None = None, entries: Sequence[LogEntry] = ()
    ) -> None:
        self.snapshot = snapshot
        self.base_index = snapshot.last_index if snapshot else 0
        self.base_term = snapshot.last_term if snapshot else 0
        self._entries: list[LogEntry] = []
        self._memberships: list[tuple[int, Membership]] = []
        if snapshot:
            self._memberships.append((snapshot.last_index, snapshot.membership))
        self.append(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, 0 for none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def membership(self) -> Membership:
        """Current membership: the last one appended, committed or not."""
        return self._memberships[-1][1] if self._memberships else Membership()

    @property
    def membership_index(self) -> int:
        """Index of the entry with the current membership."""
        return self._memberships[-1][0] if self._memberships else 0

    def find_term(self, index: int) -> int | None:
        """Return the term of the entry at an index, None if it is not held."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def find_membership(self, index: int) -> Membership:
        """Return the membership that is effective at an index."""
        found = Membership()
        for position, membership in self._memberships:
            if position <= index:
                found = membership
        return found

    def find_term_start(self, index: int) -> int:
        """Return the first held index with the same term as the entry at `index`."""
        term = self.find_term(index)
        while index - 1 > self.base_index and self.find_term(index - 1) == term:
            index -= 1
        return index

    def read(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` to `last`, both included."""
        start = first - self.base_index - 1
        return tuple(self._entries[max(start, 0) : max(last - self.base_index, 0)])

    def read_batch(
        self, first: int, max_entries: int, max_chars: int
    ) -> tuple[LogEntry, ...]:
        """Return entries from `first` on within both limits, at least one if any."""
        batch = []
        chars = 0
        for entry in self.read(first, first + max_entries - 1):
            chars += len(entry.payload)
            if batch and chars > max_chars:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries that directly follow the last one."""
        for entry in entries:
            self._entries.append(entry)
            if entry.kind is EntryKind.MEMBERSHIP and entry.membership is not None:
                self._memberships.append((entry.index, entry.membership))

    def truncate_from(self, index: int) -> None:
        """Remove all entries from `index` on."""
        del self._entries[max(index - self.base_index - 1, 0) :]
        self._memberships = [known for known in self._memberships if known[0] < index]

    def compact(
        self, snapshot: Snapshot, retained_entries: int, retained_chars: int
    ) -> None:
        """Record a snapshot and remove the entries before it but for the last ones.

        Parameters
        ----------
        snapshot : Snapshot
            Snapshot of the state after its last index.
        retained_entries, retained_chars : int
            Limits of the entries that are kept before it.
        """
        self.snapshot = snapshot
        first = max(self.base_index, snapshot.last_index - retained_entries)
        base = self._find_base(first, snapshot.last_index, retained_chars)
        base_term = self.find_term(base)
        if base_term is None or base == self.base_index:
            return
        base_membership = self.find_membership(base)
        later = [known for known in self._memberships if known[0] > base]
        del self._entries[: base - self.base_index]
        self.base_index, self.base_term = base, base_term
        self._memberships = [(base, base_membership), *later]

    def _find_base(self, first: int, last: int, max_chars: int) -> int:
        """Return the index before the last entries that have at most `max_chars`."""
        chars = 0
        for entry in reversed(self.read(first + 1, last)):
            chars += len(entry.payload)
            if chars > max_chars:
                return entry.index
        return first

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot of another replica."""
        self.__init__(snapshot)

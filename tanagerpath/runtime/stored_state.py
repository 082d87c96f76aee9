"""Reads the content of a data directory without changing its files."""

import pathlib

import attrs
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.codecs.replication import (
    StoredWrite,
    decode_snapshot,
    decode_stored,
)
from tanagerpath.core.consensus import LogEntry, RestoredState, Snapshot
from tanagerpath.errors import Failure
from tanagerpath.runtime.frames import scan_frames

__all__ = [
    "SEGMENT_PREFIX",
    "SNAPSHOT_NAME",
    "TEMPORARY_SUFFIX",
    "CorruptLog",
    "LogContent",
    "find_segments",
    "load_state",
    "parse_segment_number",
    "read_segments",
]

SEGMENT_PREFIX = "log-"
SNAPSHOT_NAME = "snapshot"
TEMPORARY_SUFFIX = ".tmp"


@attrs.frozen(kw_only=True)
class CorruptLog(Failure):
    """A file in the data directory is damaged and must not be used.

    Attributes
    ----------
    path : str
        The damaged file.
    detail : str
        Which damage was found.
    """

    path: str
    detail: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"{self.path} is corrupt: {self.detail}"


@attrs.define
class LogContent:
    """State that results from the writes in the segments, applied in order."""

    replica_id: str | None = None
    term: int = 0
    voted_for: str | None = None
    entries: list[LogEntry] = attrs.Factory(list)

    def apply(self, write: StoredWrite) -> bool:
        """Apply a write; return False if its entries leave a gap in the log."""
        self.replica_id = write.replica_id
        self.term = write.term
        self.voted_for = write.voted_for
        if write.truncate_from is not None:
            self._truncate_from(write.truncate_from)
        for entry in write.entries:
            if self.entries and entry.index != self.entries[-1].index + 1:
                return False
            self.entries.append(entry)
        return True

    def _truncate_from(self, index: int) -> None:
        while self.entries and self.entries[-1].index >= index:
            self.entries.pop()

    def drop_before(self, snapshot: Snapshot) -> None:
        """Keep only the entries that continue the log after a snapshot."""
        last_index, last_term = snapshot.last_index, snapshot.last_term
        continues = bool(self.entries) and self.entries[0].index == last_index + 1
        continues = continues or any(
            entry.index == last_index and entry.term == last_term
            for entry in self.entries
        )
        self.entries = [
            entry for entry in self.entries if continues and entry.index > last_index
        ]


def load_state(directory: pathlib.Path) -> Result[RestoredState, CorruptLog]:
    """Read the state of a replica from its data directory, ignoring a torn tail.

    Parameters
    ----------
    directory : pathlib.Path
        Data directory; a missing one counts as empty. Its files are not changed.

    Returns
    -------
    Result
        The state, or `CorruptLog`.
    """
    snapshot = _read_snapshot(directory / SNAPSHOT_NAME)
    if isinstance(snapshot, ResultFailure):
        return snapshot
    content = read_segments(directory)
    if isinstance(content, ResultFailure):
        return content
    return _combine(directory, snapshot.unwrap(), content.unwrap())


def _combine(
    directory: pathlib.Path, snapshot: Snapshot | None, content: LogContent
) -> Result[RestoredState, CorruptLog]:
    if snapshot is not None:
        content.drop_before(snapshot)
    if snapshot is not None and content.replica_id is None:
        return _make_corrupt_log(directory, "there is a snapshot but no log")
    first_index = snapshot.last_index + 1 if snapshot else 1
    if content.entries and content.entries[0].index != first_index:
        found = content.entries[0].index
        return _make_corrupt_log(
            directory, f"entry {first_index} is missing before {found}"
        )
    return Success(
        RestoredState(
            replica_id=content.replica_id,
            term=content.term,
            voted_for=content.voted_for,
            snapshot=snapshot,
            entries=tuple(content.entries),
        )
    )


def _make_corrupt_log(path: pathlib.Path, detail: str) -> ResultFailure:
    return ResultFailure(CorruptLog(path=str(path), detail=detail))


def _read_snapshot(path: pathlib.Path) -> Result[Snapshot | None, CorruptLog]:
    if not path.exists():
        return Success(None)
    scan = scan_frames(path.read_bytes())
    if len(scan.contents) != 1:
        return _make_corrupt_log(path, "the checksum of the snapshot does not match")
    snapshot = decode_snapshot(scan.contents[0])
    if isinstance(snapshot, ResultFailure):
        return _make_corrupt_log(path, snapshot.failure().message)
    return snapshot


def find_segments(directory: pathlib.Path) -> list[pathlib.Path]:
    """Return the segments in a data directory, oldest first."""
    paths = [
        path
        for path in directory.glob(f"{SEGMENT_PREFIX}*")
        if path.suffix != TEMPORARY_SUFFIX
    ]
    return sorted(paths, key=parse_segment_number)


def parse_segment_number(path: pathlib.Path) -> int:
    """Return the number in the name of a segment."""
    return int(path.name.removeprefix(SEGMENT_PREFIX))


def read_segments(directory: pathlib.Path) -> Result[LogContent, CorruptLog]:
    """Read the segments without the snapshot, including entries that it covers."""
    content = LogContent()
    paths = find_segments(directory)
    for path in paths:
        failure = _read_segment(path, content, is_last=path == paths[-1])
        if failure is not None:
            return failure
    return Success(content)


def _read_segment(
    path: pathlib.Path, content: LogContent, is_last: bool
) -> ResultFailure | None:
    size = path.stat().st_size
    scan = scan_frames(path.read_bytes())
    torn = scan.valid_bytes < size
    if scan.corrupt or (torn and not is_last):
        return _make_corrupt_log(
            path, f"damaged record at byte {scan.valid_bytes} of {size}"
        )
    for text in scan.contents:
        batch = decode_stored(text)
        if isinstance(batch, ResultFailure):
            return _make_corrupt_log(path, batch.failure().message)
        if not all(content.apply(write) for write in batch.unwrap().writes):
            return _make_corrupt_log(path, "entries are missing between two records")
    return None

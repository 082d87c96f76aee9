"""Content of a data directory, read without a change to its files."""

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
    "find_number",
    "find_segments",
    "load_state",
]

SEGMENT_PREFIX = "log-"
SNAPSHOT_NAME = "snapshot"
TEMPORARY_SUFFIX = ".tmp"


@attrs.frozen(kw_only=True)
class CorruptLog(Failure):
    """A file of the data directory is damaged and must not be used.

    Attributes
    ----------
    path : str
        The damaged file.
    detail : str
        What was found.
    """

    path: str
    detail: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"{self.path} is corrupt: {self.detail}"


@attrs.define
class LogContent:
    """Content of the segments in the order of their writes."""

    replica_id: str | None = None
    term: int = 0
    voted_for: str | None = None
    entries: list[LogEntry] = attrs.Factory(list)

    def apply(self, write: StoredWrite) -> bool:
        """Take a write; return False if its entries leave a gap."""
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
        """Keep the entries after a snapshot, if they continue it."""
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
    """Read a data directory without its torn tail; the files stay unchanged.

    Parameters
    ----------
    directory : pathlib.Path
        Data directory; a missing one counts as empty.

    Returns
    -------
    Result
        The state, or `CorruptLog`.
    """
    snapshot = _read_snapshot(directory / SNAPSHOT_NAME)
    if isinstance(snapshot, ResultFailure):
        return snapshot
    content = _read_segments(directory)
    if isinstance(content, ResultFailure):
        return content
    return _combine(directory, snapshot.unwrap(), content.unwrap())


def _combine(
    directory: pathlib.Path, snapshot: Snapshot | None, content: LogContent
) -> Result[RestoredState, CorruptLog]:
    if snapshot is not None:
        content.drop_before(snapshot)
    if snapshot is not None and content.replica_id is None:
        return _report(directory, "there is a snapshot but no log")
    first_index = snapshot.last_index + 1 if snapshot else 1
    if content.entries and content.entries[0].index != first_index:
        found = content.entries[0].index
        return _report(directory, f"entry {first_index} is missing before {found}")
    return Success(
        RestoredState(
            replica_id=content.replica_id,
            term=content.term,
            voted_for=content.voted_for,
            snapshot=snapshot,
            entries=tuple(content.entries),
        )
    )


def _report(path: pathlib.Path, detail: str) -> ResultFailure:
    return ResultFailure(CorruptLog(path=str(path), detail=detail))


def _read_snapshot(path: pathlib.Path) -> Result[Snapshot | None, CorruptLog]:
    if not path.exists():
        return Success(None)
    scan = scan_frames(path.read_bytes())
    if len(scan.contents) != 1:
        return _report(path, "the checksum of the snapshot does not match")
    snapshot = decode_snapshot(scan.contents[0])
    if isinstance(snapshot, ResultFailure):
        return _report(path, snapshot.failure().message)
    return snapshot


def find_segments(directory: pathlib.Path) -> list[pathlib.Path]:
    """Return the segments of a data directory, the oldest first."""
    paths = [
        path
        for path in directory.glob(f"{SEGMENT_PREFIX}*")
        if path.suffix != TEMPORARY_SUFFIX
    ]
    return sorted(paths, key=find_number)


def find_number(path: pathlib.Path) -> int:
    """Return the number of a segment."""
    return int(path.name.removeprefix(SEGMENT_PREFIX))


def _read_segments(directory: pathlib.Path) -> Result[LogContent, CorruptLog]:
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
        return _report(path, f"damaged record at byte {scan.valid_bytes} of {size}")
    for text in scan.contents:
        batch = decode_stored(text)
        if isinstance(batch, ResultFailure):
            return _report(path, batch.failure().message)
        if not all(content.apply(write) for write in batch.unwrap().writes):
            return _report(path, "entries are missing between two records")
    return None

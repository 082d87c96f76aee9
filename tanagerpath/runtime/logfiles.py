"""Files of a replica: log segments and a snapshot.

A segment holds one frame for each sync; a frame holds all writes of that sync. Each
write names the identity, the term and the vote, so one sync makes all of it durable. A
new segment starts with each snapshot and repeats the entries after it.
"""

import fcntl
import os
import pathlib

import attrs
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.codecs.replication import (
    StoredBatch,
    StoredWrite,
    decode_snapshot,
    decode_stored,
    encode_snapshot,
    encode_stored,
)
from tanagerpath.core.consensus import (
    LogEntry,
    PersistState,
    RestoredState,
    Snapshot,
)
from tanagerpath.errors import Failure, FailureError
from tanagerpath.runtime.frames import encode_frame, scan_frames

__all__ = [
    "CorruptLog",
    "DirectoryInUse",
    "LogFiles",
    "load_state",
    "set_aside_corrupt",
]

SEGMENT_PREFIX = "log-"
SNAPSHOT_NAME = "snapshot"
TEMPORARY_SUFFIX = ".tmp"
CORRUPT_PREFIX = "corrupt-"
LOCK_NAME = "lock"


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


@attrs.frozen(kw_only=True)
class DirectoryInUse(Failure):
    """Another process owns the data directory, or wrote to it after it was read.

    Two processes on one directory could vote twice under one identity.
    """

    directory: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"{self.directory} is in use by another process"


@attrs.define
class _Content:
    """Content of the segments that were read so far."""

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
    directory: pathlib.Path, snapshot: Snapshot | None, content: _Content
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


def _find_segments(directory: pathlib.Path) -> list[pathlib.Path]:
    paths = [
        path
        for path in directory.glob(f"{SEGMENT_PREFIX}*")
        if path.suffix != TEMPORARY_SUFFIX
    ]
    return sorted(paths, key=_find_number)


def _find_number(path: pathlib.Path) -> int:
    return int(path.name.removeprefix(SEGMENT_PREFIX))


def _read_segments(directory: pathlib.Path) -> Result[_Content, CorruptLog]:
    content = _Content()
    paths = _find_segments(directory)
    for path in paths:
        failure = _read_segment(path, content, is_last=path == paths[-1])
        if failure is not None:
            return failure
    return Success(content)


def _read_segment(
    path: pathlib.Path, content: _Content, is_last: bool
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


def set_aside_corrupt(directory: pathlib.Path) -> pathlib.Path:
    """Move all files into a new directory `corrupt-<n>` beside them.

    Parameters
    ----------
    directory : pathlib.Path
        Data directory; it is empty for `load_state` afterwards.

    Returns
    -------
    pathlib.Path
        The new directory.
    """
    number = 1
    while (directory / f"{CORRUPT_PREFIX}{number}").exists():
        number += 1
    target = directory / f"{CORRUPT_PREFIX}{number}"
    target.mkdir()
    for path in sorted(directory.iterdir()):
        if path.is_file() and path.name != LOCK_NAME:
            path.rename(target / path.name)
    _sync_directory(target)
    _sync_directory(directory)
    return target


def _sync_directory(directory: pathlib.Path) -> None:
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _write_whole(path: pathlib.Path, data: bytes) -> None:
    """Replace a file so that a crash leaves either the old or the new content."""
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.rename(path)
    _sync_directory(path.parent)


class LogFiles:
    """Writes the files of one data directory; used by one thread at a time.

    Parameters
    ----------
    directory : pathlib.Path
        Data directory; made if it is missing.
    restored : RestoredState
        What `load_state` has read from it.

    Raises
    ------
    FailureError
        With `DirectoryInUse`.
    """

    def __init__(self, directory: pathlib.Path, restored: RestoredState) -> None:
        self._directory = directory
        self._content = _Content(
            restored.replica_id,
            restored.term,
            restored.voted_for,
            list(restored.entries),
        )
        directory.mkdir(parents=True, exist_ok=True)
        _sync_directory(directory.parent)
        self._lock = self._take_lock(restored)
        paths = _find_segments(directory)
        self._number = _find_number(paths[-1]) if paths else 1
        self._file = self._open_segment()
        self._cut_torn_tail()

    def _take_lock(self, restored: RestoredState) -> int:
        lock = os.open(self._directory / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            unchanged = load_state(self._directory) == Success(restored)
        except OSError:
            unchanged = False
        if not unchanged:
            os.close(lock)
            raise FailureError(DirectoryInUse(directory=str(self._directory)))
        return lock

    def _cut_torn_tail(self) -> None:
        scan = scan_frames(self._find_path().read_bytes())
        os.ftruncate(self._file, scan.valid_bytes)
        os.fsync(self._file)

    def _find_path(self) -> pathlib.Path:
        return self._directory / f"{SEGMENT_PREFIX}{self._number:08d}"

    def _open_segment(self) -> int:
        descriptor = os.open(
            self._find_path(), os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644
        )
        _sync_directory(self._directory)
        return descriptor

    def write(self, writes: list[PersistState]) -> None:
        """Write in order and sync; all of it is on disk on return.

        Raises
        ------
        OSError
            If a file cannot be written or synced. The files must not be written again
            then, because it is not known which pages reached the disk.
        """
        waiting: list[StoredWrite] = []
        for write in writes:
            stored = self._apply(write)
            if write.snapshot is None:
                waiting.append(stored)
                continue
            self._append(waiting)
            waiting = []
            self._store_snapshot(write.snapshot)
        self._append(waiting)

    def _apply(self, write: PersistState) -> StoredWrite:
        replica_id = write.replica_id or self._content.replica_id or ""
        stored = StoredWrite.from_persist(write, replica_id)
        self._content.apply(stored)
        return stored

    def _append(self, writes: list[StoredWrite]) -> None:
        if not writes:
            return
        frame = encode_frame(encode_stored(StoredBatch(tuple(writes))))
        view = memoryview(frame)
        while view:
            view = view[os.write(self._file, view) :]
        os.fdatasync(self._file)

    def _store_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot, then replace all segments by one with the entries after it.

        The snapshot comes first, because the log that it replaces may hold entries
        that this replica has acknowledged.
        """
        frame = encode_frame(encode_snapshot(snapshot))
        _write_whole(self._directory / SNAPSHOT_NAME, frame)
        self._content.drop_before(snapshot)
        self._start_segment()

    def _start_segment(self) -> None:
        content = self._content
        first = StoredWrite(
            content.replica_id or "",
            content.term,
            content.voted_for,
            truncate_from=1,
            entries=tuple(content.entries),
        )
        self._number += 1
        frame = encode_frame(encode_stored(StoredBatch((first,))))
        _write_whole(self._find_path(), frame)
        os.close(self._file)
        self._file = self._open_segment()
        for path in _find_segments(self._directory)[:-1]:
            path.unlink()

    def close(self) -> None:
        """Close the segment and release the directory."""
        os.close(self._file)
        os.close(self._lock)

"""Files of a replica: log segments and a snapshot.

A segment holds one frame for each sync; a frame holds all writes of that sync. Each
write names the identity, the term and the vote, so one sync makes all of it durable. A
new segment starts with each snapshot and repeats the entries after it.
"""

import contextlib
import errno
import fcntl
import os
import pathlib

import attrs
from returns.result import Success

from tanagerpath.codecs.replication import (
    StoredBatch,
    StoredWrite,
    encode_snapshot,
    encode_stored,
)
from tanagerpath.core.consensus import PersistState, RestoredState, Snapshot
from tanagerpath.errors import Failure, FailureError
from tanagerpath.runtime.files import FileOperations, SystemFiles
from tanagerpath.runtime.frames import encode_frame, scan_frames
from tanagerpath.runtime.stored_state import (
    SEGMENT_PREFIX,
    SNAPSHOT_NAME,
    TEMPORARY_SUFFIX,
    LogContent,
    find_number,
    find_segments,
    load_state,
)

__all__ = ["DirectoryInUse", "LogFiles", "set_aside_corrupt"]

CORRUPT_PREFIX = "corrupt-"
LOCK_NAME = "lock"
# Damaged files are kept to find the cause, but not until they fill the disk.
MAX_CORRUPT_KEPT = 2
NO_ROOM = (errno.ENOSPC, errno.EDQUOT)
# An attempt writes the whole state, so it isn't made with each write.
SNAPSHOT_RETRY_WRITES = 100


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


def _find_corrupt(directory: pathlib.Path) -> list[pathlib.Path]:
    """Return what was set aside, the oldest first."""
    found = directory.glob(f"{CORRUPT_PREFIX}*")
    return sorted(found, key=lambda path: int(path.name.removeprefix(CORRUPT_PREFIX)))


def set_aside_corrupt(
    directory: pathlib.Path, operations: FileOperations | None = None
) -> pathlib.Path:
    """Move all files into a new directory `corrupt-<n>` beside them.

    Only the newest of these directories are kept.

    Parameters
    ----------
    directory : pathlib.Path
        Data directory; it is empty for `load_state` afterwards.
    operations : FileOperations, optional
        Changes of files; those of the operating system by default.

    Returns
    -------
    pathlib.Path
        The new directory.

    Raises
    ------
    OSError
        If the disk refuses a change; a further call moves what is left.
    """
    operations = operations or SystemFiles()
    earlier = _find_corrupt(directory)
    number = 1
    if earlier:
        number = int(earlier[-1].name.removeprefix(CORRUPT_PREFIX)) + 1
    for path in earlier[: max(len(earlier) - MAX_CORRUPT_KEPT + 1, 0)]:
        operations.remove(path)
    target = directory / f"{CORRUPT_PREFIX}{number}"
    operations.make_directory(target)
    for path in sorted(directory.iterdir()):
        if path.is_file() and path.name != LOCK_NAME:
            operations.rename(path, target / path.name)
    operations.sync_directory(target)
    operations.sync_directory(directory)
    return target


class LogFiles:
    """Writes the files of one data directory; used by one thread at a time.

    A refused write may leave a part of its frame at the end of the segment. It is cut
    off before anything else is written, so a damaged frame is always the last one.

    After a failed sync it isn't known which pages reached the disk, and the kernel may
    have marked the others clean, so that a second sync would report nothing. The part
    that this sync was for is cut off, and the whole content goes from memory into a new
    file, whose pages are all still to be written; the old segment goes after that.

    Parameters
    ----------
    directory : pathlib.Path
        Data directory; made if it is missing.
    restored : RestoredState
        What `load_state` has read from it.
    operations : FileOperations, optional
        Changes of files; those of the operating system by default.

    Raises
    ------
    FailureError
        With `DirectoryInUse`.
    OSError
        If the disk refuses a change; nothing stays open then.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        restored: RestoredState,
        operations: FileOperations | None = None,
    ) -> None:
        self._directory = directory
        self._operations = operations or SystemFiles()
        self._content = LogContent(
            restored.replica_id,
            restored.term,
            restored.voted_for,
            list(restored.entries),
        )
        # Writes that are part of the content, but not yet of a segment.
        self._waiting: list[StoredWrite] = []
        self._snapshot: Snapshot | None = None
        self._snapshot_needed = False
        self._snapshot_retry = 0
        self._segment_needed = False
        self._tail_unknown = False
        self._operations.make_directory(directory)
        self._operations.sync_directory(directory.parent)
        with contextlib.ExitStack() as opened:
            self._lock = self._take_lock(restored)
            opened.callback(os.close, self._lock)
            self._remove_temporary()
            paths = find_segments(directory)
            self._number = find_number(paths[-1]) if paths else 1
            self._file = self._open_segment(self._number)
            opened.callback(self._operations.close, self._file)
            self._synced_bytes = self._cut_torn_tail()
            opened.pop_all()

    def _take_lock(self, restored: RestoredState) -> int:
        lock = os.open(self._directory / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            unchanged = load_state(self._directory) == Success(restored)
        except BlockingIOError:
            unchanged = False
        except OSError:
            os.close(lock)
            raise
        if not unchanged:
            os.close(lock)
            raise FailureError(DirectoryInUse(directory=str(self._directory)))
        return lock

    def _remove_temporary(self) -> None:
        for path in self._directory.glob(f"*{TEMPORARY_SUFFIX}"):
            self._operations.remove(path)

    def _cut_torn_tail(self) -> int:
        scan = scan_frames(self._find_path(self._number).read_bytes())
        self._operations.truncate(self._file, scan.valid_bytes)
        self._operations.sync(self._file)
        return scan.valid_bytes

    def _find_path(self, number: int) -> pathlib.Path:
        return self._directory / f"{SEGMENT_PREFIX}{number:08d}"

    def _open_segment(self, number: int) -> int:
        descriptor = self._operations.open(self._find_path(number))
        try:
            self._operations.sync_directory(self._directory)
        except OSError:
            self._operations.close(descriptor)
            raise
        return descriptor

    @property
    def snapshot_waits(self) -> bool:
        """Whether a snapshot of the own log was put off because the disk refused it."""
        return self._snapshot is not None

    def write(self, writes: list[PersistState]) -> None:
        """Write in order and sync; all of it is on disk on return.

        Only a snapshot of the own log may wait for room: the log still holds all that
        it replaces.

        Parameters
        ----------
        writes : list of PersistState
            Further writes, in order; may be empty in order to try again.

        Raises
        ------
        OSError
            If a file cannot be written or synced. The writes are kept, and the next
            call goes on with them.
        """
        for write in writes:
            self._accept(write)
        try:
            self._flush()
        except OSError as error:
            if error.errno in NO_ROOM:
                self._free_room()
            raise

    def _accept(self, write: PersistState) -> None:
        replica_id = write.replica_id or self._content.replica_id or ""
        stored = StoredWrite.from_persist(write, replica_id)
        self._content.apply(stored)
        self._waiting.append(stored)
        if write.snapshot is not None:
            self._snapshot = write.snapshot
            self._snapshot_retry = 0
            # A snapshot of another replica replaces a log that does not lead up to it.
            if write.truncate_from is not None:
                self._snapshot_needed = True

    def _flush(self) -> None:
        if self._snapshot is not None:
            self._try_snapshot()
        if self._segment_needed:
            self._start_segment()
        elif self._waiting:
            self._append()

    def _try_snapshot(self) -> None:
        if self._snapshot_retry > 0:
            self._snapshot_retry -= 1
            return
        try:
            self._store_snapshot(self._snapshot)
        except OSError as error:
            if self._snapshot_needed or self._segment_needed:
                raise
            if error.errno in NO_ROOM:
                self._free_room()
            self._snapshot_retry = SNAPSHOT_RETRY_WRITES

    def _store_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot; a new segment with the entries after it has to follow.

        The snapshot comes first, because the log that it replaces may hold entries
        that this replica has acknowledged.
        """
        frame = encode_frame(encode_snapshot(snapshot))
        self._write_whole(self._directory / SNAPSHOT_NAME, frame)
        self._content.drop_before(snapshot)
        self._snapshot = None
        self._snapshot_needed = False
        self._segment_needed = True

    def _write_whole(self, path: pathlib.Path, data: bytes) -> None:
        temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
        self._operations.write_whole(path, temporary, data)

    def _append(self) -> None:
        if self._tail_unknown:
            self._operations.truncate(self._file, self._synced_bytes)
            self._tail_unknown = False
        frame = encode_frame(encode_stored(StoredBatch(tuple(self._waiting))))
        try:
            self._operations.append(self._file, frame)
        except OSError:
            self._cut_refused()
            raise
        try:
            self._operations.sync(self._file)
        except OSError:
            self._segment_needed = True
            self._cut_refused()
            raise
        self._synced_bytes += len(frame)
        self._waiting.clear()

    def _cut_refused(self) -> None:
        """Cut what was not synced off at once, so that a restart doesn't read it."""
        self._tail_unknown = True
        with contextlib.suppress(OSError):
            self._operations.truncate(self._file, self._synced_bytes)
            self._tail_unknown = False

    def _start_segment(self) -> None:
        """Write the whole content to a new segment and remove the others."""
        content = self._content
        first = StoredWrite(
            content.replica_id or "",
            content.term,
            content.voted_for,
            truncate_from=1,
            entries=tuple(content.entries),
        )
        frame = encode_frame(encode_stored(StoredBatch((first,))))
        number = self._number + 1
        self._write_whole(self._find_path(number), frame)
        replaced, self._file = self._file, self._open_segment(number)
        self._number = number
        self._synced_bytes = len(frame)
        self._segment_needed = False
        self._tail_unknown = False
        self._waiting.clear()
        self._operations.close(replaced)
        self._remove_replaced()

    def _remove_replaced(self) -> None:
        """Remove older segments; one that stays is removed with the next change."""
        with contextlib.suppress(OSError):
            for path in find_segments(self._directory)[:-1]:
                self._operations.remove(path)

    def _free_room(self) -> None:
        """Remove what isn't needed; damaged files are worth less than the log."""
        with contextlib.suppress(OSError):
            self._remove_temporary()
            for path in _find_corrupt(self._directory):
                self._operations.remove(path)

    def close(self) -> None:
        """Close the segment and release the directory."""
        self._operations.close(self._file)
        os.close(self._lock)

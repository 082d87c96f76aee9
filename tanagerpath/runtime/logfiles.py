"""Files of a replica: log segments and a snapshot.

A segment holds one frame for each sync; a frame holds all writes of that sync. Each
write contains the replica's identity, term and vote, so that one sync makes them
durable together. Each snapshot starts a new segment with the entries after it.
"""

import contextlib
import errno
import pathlib

from returns.result import Success

from tanagerpath.codecs.replication import (
    StoredBatch,
    StoredWrite,
    encode_snapshot,
    encode_stored,
)
from tanagerpath.core.consensus import PersistState, RestoredState, Snapshot
from tanagerpath.errors import FailureError
from tanagerpath.runtime.directory_lock import (
    LOCK_NAME,
    DirectoryInUse,
    DirectoryLock,
)
from tanagerpath.runtime.files import FileOperations, SystemFiles
from tanagerpath.runtime.frames import encode_frame, scan_frames
from tanagerpath.runtime.stored_state import (
    SEGMENT_PREFIX,
    SNAPSHOT_NAME,
    TEMPORARY_SUFFIX,
    LogContent,
    find_segments,
    load_state,
    parse_segment_number,
    read_segments,
)

__all__ = ["DirectoryInUse", "LogFiles", "set_aside_corrupt"]

CORRUPT_PREFIX = "corrupt-"
# Damaged files are kept for diagnosis; more of them could fill the disk.
MAX_CORRUPT_KEPT = 2
DISK_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)
# Each attempt writes the whole state, which is too expensive for every write.
SNAPSHOT_RETRY_WRITES = 100


def _list_set_aside(directory: pathlib.Path) -> list[pathlib.Path]:
    """Return the directories of damaged files, oldest first."""
    found = directory.glob(f"{CORRUPT_PREFIX}*")
    return sorted(found, key=lambda path: int(path.name.removeprefix(CORRUPT_PREFIX)))


def set_aside_corrupt(
    directory: pathlib.Path, operations: FileOperations | None = None
) -> pathlib.Path:
    """Move all files of a data directory into a new subdirectory `corrupt-<n>`.

    Only the newest of these subdirectories are kept.

    Parameters
    ----------
    directory : pathlib.Path
        Data directory; `load_state` finds it empty afterwards.
    operations : FileOperations, optional
        File operations; those of the operating system by default.

    Returns
    -------
    pathlib.Path
        The new directory.

    Raises
    ------
    OSError
        If a file operation fails; another call moves the remaining files.
    """
    operations = operations or SystemFiles()
    earlier = _list_set_aside(directory)
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

    A failed write may leave a partial frame at the end of the segment. It is truncated
    before the next write, so that a damaged frame is always the last one.

    After a failed sync it is unknown which pages reached the disk, and the kernel may
    have marked the others clean, so that a second sync would succeed without writing
    them. The frame is therefore truncated, and the whole content is written from memory
    to a new segment, all of whose pages are dirty; then the old segment is removed.

    Parameters
    ----------
    directory : pathlib.Path
        Data directory; created if it is missing.
    restored : RestoredState
        State that `load_state` read from it.
    operations : FileOperations, optional
        File operations; those of the operating system by default.
    lock : DirectoryLock, optional
        Lock held since before the state was read; `close` releases it. By default the
        directory is locked here, and must still hold the state.

    Raises
    ------
    FailureError
        With `DirectoryInUse`.
    OSError
        If a file operation fails; no file is left open, and a lock that was passed is
        still held.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        restored: RestoredState,
        operations: FileOperations | None = None,
        lock: DirectoryLock | None = None,
    ) -> None:
        self._directory = directory
        self._operations = operations or SystemFiles()
        self._content = LogContent(
            restored.replica_id,
            restored.term,
            restored.voted_for,
            list(restored.entries),
        )
        # Writes applied to the content, but not yet synced to a segment.
        self._pending: list[StoredWrite] = []
        self._pending_snapshot: Snapshot | None = None
        self._snapshot_required = False
        self._writes_until_snapshot_retry = 0
        self._new_segment_required = False
        self._unsynced_tail_possible = False
        with contextlib.ExitStack() as cleanup:
            if lock is None:
                lock = DirectoryLock.acquire(directory, self._operations)
                cleanup.callback(lock.release)
                self._check_unchanged(restored)
            self._lock = lock
            self._new_segment_required = self._has_other_entries(restored)
            self._remove_temporary()
            paths = find_segments(directory)
            self._number = parse_segment_number(paths[-1]) if paths else 1
            self._file = self._open_segment(self._number)
            cleanup.callback(self._operations.close, self._file)
            self._synced_bytes = self._truncate_torn_tail()
            cleanup.pop_all()

    def _check_unchanged(self, restored: RestoredState) -> None:
        """Reject a state that was read before another process last wrote."""
        if load_state(self._directory) != Success(restored):
            raise FailureError(DirectoryInUse(directory=str(self._directory)))

    def _has_other_entries(self, restored: RestoredState) -> bool:
        """Return whether the segments hold other entries than the restored state.

        They do after a crash between a snapshot and its new segment. An entry appended
        to the old segment would leave a gap, which the next start reports as corrupt.
        """
        stored = read_segments(self._directory).unwrap()
        return stored.entries != list(restored.entries)

    def _remove_temporary(self) -> None:
        for path in self._directory.glob(f"*{TEMPORARY_SUFFIX}"):
            self._operations.remove(path)

    def _truncate_torn_tail(self) -> int:
        scan = scan_frames(self._segment_path(self._number).read_bytes())
        self._operations.truncate(self._file, scan.valid_bytes)
        self._operations.sync(self._file)
        return scan.valid_bytes

    def _segment_path(self, number: int) -> pathlib.Path:
        return self._directory / f"{SEGMENT_PREFIX}{number:08d}"

    def _open_segment(self, number: int) -> int:
        descriptor = self._operations.open(self._segment_path(number))
        try:
            self._operations.sync_directory(self._directory)
        except OSError:
            self._operations.close(descriptor)
            raise
        return descriptor

    @property
    def snapshot_deferred(self) -> bool:
        """Whether a snapshot of the local log is deferred because writing it failed."""
        return self._pending_snapshot is not None

    def write(self, writes: list[PersistState]) -> None:
        """Write in order and sync; everything is on disk on return.

        Only a snapshot of the local log may be deferred, because the log still holds
        everything that the snapshot would replace.

        Parameters
        ----------
        writes : list of PersistState
            New writes, in order; an empty list retries the pending ones.

        Raises
        ------
        OSError
            If a file cannot be written or synced. The writes stay pending for the next
            call.
        """
        for write in writes:
            self._accept(write)
        try:
            self._flush()
        except OSError as error:
            if error.errno in DISK_FULL_ERRORS:
                self._free_disk_space()
            raise

    def _accept(self, write: PersistState) -> None:
        replica_id = write.replica_id or self._content.replica_id or ""
        stored = StoredWrite.from_persist(write, replica_id)
        self._content.apply(stored)
        self._pending.append(stored)
        if write.snapshot is not None:
            self._pending_snapshot = write.snapshot
            self._writes_until_snapshot_retry = 0
            # A snapshot from the leader replaces a log that it does not continue.
            if write.truncate_from is not None:
                self._snapshot_required = True

    def _flush(self) -> None:
        if self._pending_snapshot is not None:
            self._try_snapshot()
        if self._new_segment_required:
            self._start_segment()
        elif self._pending:
            self._append()

    def _try_snapshot(self) -> None:
        if self._writes_until_snapshot_retry > 0:
            self._writes_until_snapshot_retry -= 1
            return
        try:
            self._store_snapshot(self._pending_snapshot)
        except OSError as error:
            if self._snapshot_required or self._new_segment_required:
                raise
            if error.errno in DISK_FULL_ERRORS:
                self._free_disk_space()
            self._writes_until_snapshot_retry = SNAPSHOT_RETRY_WRITES

    def _store_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot; the caller must then start a new segment.

        The snapshot is stored first, because the log that it replaces may hold entries
        that this replica has acknowledged.
        """
        frame = encode_frame(encode_snapshot(snapshot))
        self._write_atomically(self._directory / SNAPSHOT_NAME, frame)
        self._content.drop_before(snapshot)
        self._pending_snapshot = None
        self._snapshot_required = False
        self._new_segment_required = True

    def _write_atomically(self, path: pathlib.Path, data: bytes) -> None:
        temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
        self._operations.write_atomically(path, temporary, data)

    def _append(self) -> None:
        if self._unsynced_tail_possible:
            self._operations.truncate(self._file, self._synced_bytes)
            self._unsynced_tail_possible = False
        frame = encode_frame(encode_stored(StoredBatch(tuple(self._pending))))
        try:
            self._operations.append(self._file, frame)
        except OSError:
            self._truncate_unsynced()
            raise
        try:
            self._operations.sync(self._file)
        except OSError:
            self._new_segment_required = True
            self._truncate_unsynced()
            raise
        self._synced_bytes += len(frame)
        self._pending.clear()

    def _truncate_unsynced(self) -> None:
        """Truncate data that was not synced, so that a restart doesn't read it."""
        self._unsynced_tail_possible = True
        with contextlib.suppress(OSError):
            self._operations.truncate(self._file, self._synced_bytes)
            self._unsynced_tail_possible = False

    def _start_segment(self) -> None:
        """Write the whole content to a new segment and remove the older ones."""
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
        self._write_atomically(self._segment_path(number), frame)
        old_file, self._file = self._file, self._open_segment(number)
        self._number = number
        self._synced_bytes = len(frame)
        self._new_segment_required = False
        self._unsynced_tail_possible = False
        self._pending.clear()
        self._operations.close(old_file)
        self._remove_old_segments()

    def _remove_old_segments(self) -> None:
        """Remove older segments; one that can't be removed is left to the next call."""
        with contextlib.suppress(OSError):
            for path in find_segments(self._directory)[:-1]:
                self._operations.remove(path)

    def _free_disk_space(self) -> None:
        """Remove temporary and damaged files, which matter less than the log."""
        with contextlib.suppress(OSError):
            self._remove_temporary()
            for path in _list_set_aside(self._directory):
                self._operations.remove(path)

    def close(self) -> None:
        """Close the segment and release the lock on the directory."""
        self._operations.close(self._file)
        self._lock.release()

"""Task that owns the log files of a replica."""

import errno
import pathlib
from typing import Any

import anyio
import anyio.to_thread
import attrs

from tanagerpath.core.consensus import (
    PersistState,
    RestoredState,
    StorageLost,
    StorageSynced,
)
from tanagerpath.observability.logs import get_logger
from tanagerpath.observability.metrics import MetricsRegistry
from tanagerpath.runtime.backoff import ExponentialBackoff
from tanagerpath.runtime.logfiles import LogFiles
from tanagerpath.runtime.mailbox import Mailbox
from tanagerpath.runtime.tasks import Task

__all__ = ["StorageTask", "StorageTimings"]

# Long enough for the owner to receive messages, short against the election timeout.
FULL_MAILBOX_RETRY_S = 0.005


@attrs.frozen(kw_only=True)
class StorageTimings:
    """Timeouts, retry delays and logging intervals of a storage task.

    Attributes
    ----------
    stall_timeout_s : float
        Duration of an unfinished write, in seconds, after which the storage counts as
        lost. A snapshot and its new segment take five syncs: 0.6 s on a disk that is
        30 times slower than one with 4 ms a sync, and such a disk is still usable.
    min_retry_delay_s, max_retry_delay_s : float
        Range in seconds of the exponential delay before a failed write is retried.
    slow_write_s : float
        Duration in seconds from which a write is logged; one heartbeat interval.
    slow_log_interval_s : float
        Minimum seconds between two log lines about slow writes.
    """

    stall_timeout_s: float = 1.0
    min_retry_delay_s: float = 0.05
    max_retry_delay_s: float = 1.0
    slow_write_s: float = 0.1
    slow_log_interval_s: float = 10.0


@attrs.define
class _Outage:
    """Period in which writes to the disk fail or stall.

    Attributes
    ----------
    started_s : float
        Start on the clock of the event loop.
    failed_attempts : int
        Write attempts that failed.
    pending_bytes : int
        Size of the payloads that are waiting to be written.
    """

    started_s: float
    failed_attempts: int = 0
    pending_bytes: int = 0


def _count_bytes(writes: list[PersistState]) -> int:
    """Return the size of all payloads; the other fields of a write are small."""
    entries = sum(len(entry.payload) for write in writes for entry in write.entries)
    snapshots = [write.snapshot for write in writes if write.snapshot is not None]
    return entries + sum(len(snapshot.payload) for snapshot in snapshots)


class StorageTask(Task):
    """Writes all messages in its mailbox with one sync and reports to the owner.

    Writing and syncing run in a worker thread, so they do not block the event loop. A
    failed write is retried until it succeeds; the owner first receives `StorageLost`,
    then `StorageSynced` once everything is on disk.

    Parameters
    ----------
    files : LogFiles
        Files of the data directory.
    directory : pathlib.Path
        The data directory, as shown in log lines.
    owner : Mailbox
        Receives `StorageSynced` and `StorageLost`.
    timings : StorageTimings, optional
        Timeouts, retry delays and logging intervals.
    metrics : MetricsRegistry, optional
        Records the duration of each write and counts failed ones.
    """

    def __init__(
        self,
        files: LogFiles,
        directory: pathlib.Path,
        owner: Mailbox[Any],
        timings: StorageTimings | None = None,
        metrics: MetricsRegistry | None = None,
    ) -> None:
        self._files = files
        self._directory = directory
        self._owner = owner
        self._timings = timings or StorageTimings()
        self._metrics = metrics or MetricsRegistry()
        self._outage: _Outage | None = None
        self._slow_writes = 0
        self._next_slow_log_s = 0.0
        self._snapshot_deferred = False
        self._log = get_logger("storage")
        self.mailbox: Mailbox[PersistState] = Mailbox("storage")

    @classmethod
    def from_directory(
        cls, directory: pathlib.Path, restored: RestoredState, owner: Mailbox[Any]
    ) -> "StorageTask":
        """Open the files of a data directory whose state `load_state` returned."""
        return cls(LogFiles(directory, restored), directory, owner)

    async def run(self) -> None:
        """Write incoming messages until cancelled."""
        try:
            while True:
                await self._write_pending()
        finally:
            self._files.close()

    async def _write_pending(self) -> None:
        first = await self.mailbox.receive()
        writes = [first, *self.mailbox.take_waiting()]
        sequence = writes[-1].sequence
        backoff = ExponentialBackoff(
            self._timings.min_retry_delay_s, self._timings.max_retry_delay_s
        )
        while not await self._attempt(writes):
            await anyio.sleep(backoff.next_delay_s())
            writes = self.mailbox.take_waiting()
            if writes:
                sequence = writes[-1].sequence
        self._end_outage()
        await self._report(StorageSynced(sequence))

    async def _attempt(self, writes: list[PersistState]) -> bool:
        """Try to write once; return whether all accepted writes are on disk."""
        if self._outage is not None:
            self._outage.pending_bytes += _count_bytes(writes)
        failure: OSError | None = None
        started_s = anyio.current_time()
        async with anyio.create_task_group() as watch:
            watch.start_soon(self._watch_stall, writes)
            try:
                await anyio.to_thread.run_sync(self._files.write, writes)
            except OSError as error:
                failure = error
            watch.cancel_scope.cancel()
        if failure is None:
            self._record_success(anyio.current_time() - started_s)
            return True
        self._metrics.count("storage_refused_writes", error=self._error_name(failure))
        reason = f"{self._error_name(failure)}: {failure.strerror}"
        await self._report_outage(reason, writes)
        self._outage.failed_attempts += 1
        return False

    def _error_name(self, error: OSError) -> str:
        return errno.errorcode.get(error.errno or 0, type(error).__name__)

    def _record_success(self, elapsed_s: float) -> None:
        self._metrics.observe_time("storage_sync", elapsed_s)
        if self._files.snapshot_deferred and not self._snapshot_deferred:
            self._log.warning("snapshot put off", directory=str(self._directory))
        self._snapshot_deferred = self._files.snapshot_deferred
        if elapsed_s < self._timings.slow_write_s:
            return
        self._slow_writes += 1
        now_s = anyio.current_time()
        if now_s >= self._next_slow_log_s:
            self._next_slow_log_s = now_s + self._timings.slow_log_interval_s
            self._log.warning(
                "slow sync",
                directory=str(self._directory),
                elapsed_s=round(elapsed_s, 3),
                since_last_line=self._slow_writes,
            )
            self._slow_writes = 0

    async def _watch_stall(self, writes: list[PersistState]) -> None:
        stall_timeout_s = self._timings.stall_timeout_s
        await anyio.sleep(stall_timeout_s)
        await self._report_outage(
            f"a write has not ended in {stall_timeout_s:g} s", writes
        )

    async def _report_outage(self, reason: str, writes: list[PersistState]) -> None:
        if self._outage is not None:
            return
        self._outage = _Outage(anyio.current_time(), 0, _count_bytes(writes))
        self._log.error(
            "storage lost",
            directory=str(self._directory),
            reason=reason,
            waiting_bytes=self._outage.pending_bytes,
        )
        await self._report(StorageLost())

    def _end_outage(self) -> None:
        if self._outage is None:
            return
        self._log.info(
            "storage regained",
            directory=str(self._directory),
            lost_s=round(anyio.current_time() - self._outage.started_s, 3),
            refused_attempts=self._outage.failed_attempts,
            written_bytes=self._outage.pending_bytes,
        )
        self._outage = None

    async def _report(self, event: StorageSynced | StorageLost) -> None:
        """Report to the owner; a lost event would stop commits until the next write."""
        while self._owner.post(event) is not None:
            await anyio.sleep(FULL_MAILBOX_RETRY_S)

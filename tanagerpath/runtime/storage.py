"""Task that owns the files of a replica."""

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
from tanagerpath.runtime.logfiles import LogFiles
from tanagerpath.runtime.mailbox import Mailbox
from tanagerpath.runtime.pauses import GrowingPause
from tanagerpath.runtime.tasks import Task

__all__ = ["StorageTask", "StorageTerms"]

# Long enough for the owner to take messages, short against the election timeout.
FULL_MAILBOX_RETRY_S = 0.005


@attrs.frozen(kw_only=True)
class StorageTerms:
    """Times of a storage task.

    Attributes
    ----------
    stall_s : float
        Seconds without an end of a write after which the storage counts as lost. A
        snapshot with its new segment takes five syncs, 0.6 s on a disk that is 30 times
        slower than one with 4 ms a sync; such a disk still serves.
    first_pause_s, longest_pause_s : float
        Range in seconds of the growing pauses between attempts at a refused write.
    slow_s : float
        Seconds of a write from which on it is logged; one heartbeat interval.
    slow_line_interval_s : float
        Least seconds between two such lines.
    """

    stall_s: float = 1.0
    first_pause_s: float = 0.05
    longest_pause_s: float = 1.0
    slow_s: float = 0.1
    slow_line_interval_s: float = 10.0


@attrs.define
class _Loss:
    """Time in which the disk takes no writes.

    Attributes
    ----------
    began_s : float
        Instant on the clock of the event loop.
    refused : int
        Attempts that failed.
    waiting_bytes : int
        Payloads that wait.
    """

    began_s: float
    refused: int = 0
    waiting_bytes: int = 0


def _count_bytes(writes: list[PersistState]) -> int:
    """Return the size of all payloads; the rest of a write is small."""
    entries = sum(len(entry.payload) for write in writes for entry in write.entries)
    snapshots = [write.snapshot for write in writes if write.snapshot is not None]
    return entries + sum(len(snapshot.payload) for snapshot in snapshots)


class StorageTask(Task):
    """Writes what waits in its mailbox with one sync, and reports it to the owner.

    Writing and syncing run in a worker thread, so the event loop goes on meanwhile. A
    refused write is tried again until the disk takes it; the owner gets `StorageLost`
    first, and `StorageSynced` once everything is on disk.

    Parameters
    ----------
    files : LogFiles
        Files of the data directory.
    directory : pathlib.Path
        The data directory, for the log.
    owner : Mailbox
        Gets `StorageSynced` and `StorageLost`.
    terms : StorageTerms, optional
        Times.
    metrics : MetricsRegistry, optional
        Takes the time of each write and counts refused ones.
    """

    def __init__(
        self,
        files: LogFiles,
        directory: pathlib.Path,
        owner: Mailbox[Any],
        terms: StorageTerms | None = None,
        metrics: MetricsRegistry | None = None,
    ) -> None:
        self._files = files
        self._directory = directory
        self._owner = owner
        self._terms = terms or StorageTerms()
        self._metrics = metrics or MetricsRegistry()
        self._loss: _Loss | None = None
        self._slow_writes = 0
        self._next_slow_line_s = 0.0
        self._snapshot_waits = False
        self._log = get_logger("storage")
        self.mailbox: Mailbox[PersistState] = Mailbox("storage")

    @classmethod
    def from_directory(
        cls, directory: pathlib.Path, restored: RestoredState, owner: Mailbox[Any]
    ) -> "StorageTask":
        """Open the files of a data directory that `load_state` has read."""
        return cls(LogFiles(directory, restored), directory, owner)

    async def run(self) -> None:
        """Write until cancelled."""
        try:
            while True:
                await self._write_waiting()
        finally:
            self._files.close()

    async def _write_waiting(self) -> None:
        first = await self.mailbox.receive()
        writes = [first, *self.mailbox.take_waiting()]
        sequence = writes[-1].sequence
        pause = GrowingPause(self._terms.first_pause_s, self._terms.longest_pause_s)
        while not await self._attempt(writes):
            await anyio.sleep(pause.take_s())
            writes = self.mailbox.take_waiting()
            if writes:
                sequence = writes[-1].sequence
        self._note_regained()
        await self._report(StorageSynced(sequence))

    async def _attempt(self, writes: list[PersistState]) -> bool:
        """Write once; return whether everything that was accepted is on disk."""
        if self._loss is not None:
            self._loss.waiting_bytes += _count_bytes(writes)
        refusal: OSError | None = None
        started_s = anyio.current_time()
        async with anyio.create_task_group() as watch:
            watch.start_soon(self._watch_stall, writes)
            try:
                await anyio.to_thread.run_sync(self._files.write, writes)
            except OSError as error:
                refusal = error
            watch.cancel_scope.cancel()
        if refusal is None:
            self._note_written(anyio.current_time() - started_s)
            return True
        self._metrics.count("storage_refused_writes", error=self._name(refusal))
        reason = f"{self._name(refusal)}: {refusal.strerror}"
        await self._note_lost(reason, writes)
        self._loss.refused += 1
        return False

    def _name(self, error: OSError) -> str:
        return errno.errorcode.get(error.errno or 0, type(error).__name__)

    def _note_written(self, elapsed_s: float) -> None:
        self._metrics.observe_time("storage_sync", elapsed_s)
        if self._files.snapshot_waits and not self._snapshot_waits:
            self._log.warning("snapshot put off", directory=str(self._directory))
        self._snapshot_waits = self._files.snapshot_waits
        if elapsed_s < self._terms.slow_s:
            return
        self._slow_writes += 1
        now_s = anyio.current_time()
        if now_s >= self._next_slow_line_s:
            self._next_slow_line_s = now_s + self._terms.slow_line_interval_s
            self._log.warning(
                "slow sync",
                directory=str(self._directory),
                elapsed_s=round(elapsed_s, 3),
                since_last_line=self._slow_writes,
            )
            self._slow_writes = 0

    async def _watch_stall(self, writes: list[PersistState]) -> None:
        stall_s = self._terms.stall_s
        await anyio.sleep(stall_s)
        await self._note_lost(f"a write has not ended in {stall_s:g} s", writes)

    async def _note_lost(self, reason: str, writes: list[PersistState]) -> None:
        if self._loss is not None:
            return
        self._loss = _Loss(anyio.current_time(), 0, _count_bytes(writes))
        self._log.error(
            "storage lost",
            directory=str(self._directory),
            reason=reason,
            waiting_bytes=self._loss.waiting_bytes,
        )
        await self._report(StorageLost())

    def _note_regained(self) -> None:
        if self._loss is None:
            return
        self._log.info(
            "storage regained",
            directory=str(self._directory),
            lost_s=round(anyio.current_time() - self._loss.began_s, 3),
            refused_attempts=self._loss.refused,
            written_bytes=self._loss.waiting_bytes,
        )
        self._loss = None

    async def _report(self, event: StorageSynced | StorageLost) -> None:
        """Tell the owner; a lost report would stop commits until the next write."""
        while self._owner.post(event) is not None:
            await anyio.sleep(FULL_MAILBOX_RETRY_S)

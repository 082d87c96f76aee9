"""Task that owns the files of a replica."""

import pathlib
from typing import Any

import anyio
import anyio.to_thread
import attrs

from tanagerpath.core.consensus import PersistState, RestoredState, StorageSynced
from tanagerpath.errors import Failure, FailureError
from tanagerpath.runtime.logfiles import (
    CorruptLog,
    LogFiles,
    load_state,
    set_aside_corrupt,
)
from tanagerpath.runtime.mailbox import Mailbox
from tanagerpath.runtime.tasks import Task

__all__ = [
    "CorruptLog",
    "StorageFailed",
    "StorageTask",
    "load_state",
    "set_aside_corrupt",
]

# Long enough for the owner to take messages, short against the election timeout.
FULL_MAILBOX_RETRY_S = 0.005


@attrs.frozen(kw_only=True)
class StorageFailed(Failure):
    """A write or sync failed; what reached the disk is unknown, so the process ends.

    Attributes
    ----------
    directory : str
        Data directory.
    detail : str
        Error of the operating system.
    """

    directory: str
    detail: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"cannot write to {self.directory}: {self.detail}"


class StorageTask(Task):
    """Writes what waits in its mailbox with one sync, and reports it to the owner.

    Writing and syncing run in a worker thread, so the event loop goes on meanwhile.

    Parameters
    ----------
    files : LogFiles
        Files of the data directory.
    directory : pathlib.Path
        The data directory, for failures.
    owner : Mailbox
        Gets `StorageSynced`.
    """

    def __init__(
        self, files: LogFiles, directory: pathlib.Path, owner: Mailbox[Any]
    ) -> None:
        self._files = files
        self._directory = directory
        self._owner = owner
        self.mailbox: Mailbox[PersistState] = Mailbox("storage")

    @classmethod
    def from_directory(
        cls, directory: pathlib.Path, restored: RestoredState, owner: Mailbox[Any]
    ) -> "StorageTask":
        """Open the files of a data directory that `load_state` has read."""
        return cls(LogFiles(directory, restored), directory, owner)

    async def run(self) -> None:
        """Write until cancelled.

        Raises
        ------
        FailureError
            With `StorageFailed`; the process must end.
        """
        try:
            while True:
                await self._write_waiting()
        finally:
            self._files.close()

    async def _write_waiting(self) -> None:
        first = await self.mailbox.receive()
        writes = [first, *self.mailbox.take_waiting()]
        try:
            await anyio.to_thread.run_sync(self._files.write, writes)
        except OSError as error:
            failure = StorageFailed(directory=str(self._directory), detail=str(error))
            raise FailureError(failure) from error
        await self._report(StorageSynced(writes[-1].sequence))

    async def _report(self, synced: StorageSynced) -> None:
        """Tell the owner; a lost report would stop commits until the next write."""
        while self._owner.post(synced) is not None:
            await anyio.sleep(FULL_MAILBOX_RETRY_S)

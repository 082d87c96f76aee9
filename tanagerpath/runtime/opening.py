"""Opens a data directory, with retries after transient errors."""

import contextlib
import errno
import pathlib
from typing import Any

import anyio
import anyio.to_thread
import attrs
from returns.result import Failure as ResultFailure

from tanagerpath.core.consensus import RestoredState
from tanagerpath.errors import FailureError
from tanagerpath.runtime.backoff import ExponentialBackoff
from tanagerpath.runtime.directory_lock import DirectoryLock
from tanagerpath.runtime.files import FileOperations, SystemFiles
from tanagerpath.runtime.logfiles import LogFiles, set_aside_corrupt
from tanagerpath.runtime.stored_state import load_state

__all__ = ["DirectoryOpener", "OpenedDirectory"]

MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0
# Any other error, such as a path that is not a directory, is a configuration error.
TRANSIENT_ERRORS = (
    errno.EAGAIN,
    errno.EBUSY,
    errno.EDQUOT,
    errno.EIO,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOMEM,
    errno.ENOSPC,
    errno.ETIMEDOUT,
)


@attrs.frozen
class OpenedDirectory:
    """State read from a data directory, and its open files.

    Attributes
    ----------
    restored : RestoredState
        State read from the directory.
    files : LogFiles
        Open files for further writes.
    """

    restored: RestoredState
    files: LogFiles


class DirectoryOpener:
    """Opens a data directory, and retries after transient errors.

    A full disk, a shortage of file descriptors and an earlier process that is still
    ending are transient, and the process would lose its other work by exiting.

    Parameters
    ----------
    directory : pathlib.Path
        Data directory; created if it is missing.
    logger : structlog logger
        Logs when the directory can't be opened, and when it has been opened later.
    operations : FileOperations, optional
        File operations; those of the operating system by default.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        logger: Any,
        operations: FileOperations | None = None,
    ) -> None:
        self._directory = directory
        self._log = logger
        self._operations = operations or SystemFiles()

    async def open(self) -> OpenedDirectory:
        """Wait until the directory can be opened, and return it.

        Raises
        ------
        OSError
            If the directory can't be used as configured.
        """
        started_s = anyio.current_time()
        backoff = ExponentialBackoff(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        reason = ""
        while True:
            try:
                opened = await anyio.to_thread.run_sync(self._open_once)
            except FailureError as error:
                reason = self._log_failure(error, reason)
            except OSError as error:
                if error.errno not in TRANSIENT_ERRORS:
                    raise
                reason = self._log_failure(error, reason)
            else:
                if reason:
                    waited_s = round(anyio.current_time() - started_s, 3)
                    self._log.info("data directory opened", waited_s=waited_s)
                return opened
            await anyio.sleep(backoff.next_delay_s())

    def _log_failure(self, error: Exception, last_reason: str) -> str:
        reason = str(error)
        if reason != last_reason:
            self._log.error("data directory can't be opened", reason=reason)
        return reason

    def _open_once(self) -> OpenedDirectory:
        """Lock the directory before reading it, because another process may write."""
        lock = DirectoryLock.acquire(self._directory, self._operations)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(lock.release)
            state = self._load_state()
            files = LogFiles(self._directory, state, self._operations, lock)
            cleanup.pop_all()
        return OpenedDirectory(state, files)

    def _load_state(self) -> RestoredState:
        restored = load_state(self._directory)
        if isinstance(restored, ResultFailure):
            self._log.error("data is corrupt", reason=restored.failure().message)
            set_aside_corrupt(self._directory, self._operations)
            restored = load_state(self._directory)
        return restored.unwrap()

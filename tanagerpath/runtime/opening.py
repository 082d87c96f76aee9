"""Opening of a data directory, as soon as its disk lets it."""

import errno
import pathlib
from typing import Any

import anyio
import anyio.to_thread
import attrs
from returns.result import Failure as ResultFailure

from tanagerpath.core.consensus import RestoredState
from tanagerpath.errors import FailureError
from tanagerpath.runtime.files import FileOperations, SystemFiles
from tanagerpath.runtime.logfiles import LogFiles, set_aside_corrupt
from tanagerpath.runtime.pauses import GrowingPause
from tanagerpath.runtime.stored_state import load_state

__all__ = ["DirectoryOpener", "OpenedDirectory"]

FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 1.0
# Any other error, such as a path that is no directory, is a wrong setting.
PASSING_ERRORS = (
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
    """Content of a data directory and the files to go on with.

    Attributes
    ----------
    restored : RestoredState
        What the directory holds.
    files : LogFiles
        Its files, open.
    """

    restored: RestoredState
    files: LogFiles


class DirectoryOpener:
    """Opens a data directory, and tries again while that fails.

    A full disk, a lack of descriptors and an earlier process that has not ended yet
    pass, and the process would lose its other work by ending.

    Parameters
    ----------
    directory : pathlib.Path
        Data directory; made if it is missing.
    logger : structlog logger
        Gets a line when the directory can't be opened, and when it is open again.
    operations : FileOperations, optional
        Changes of files; those of the operating system by default.
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
        """Return the opened directory; waits until it can be opened.

        Raises
        ------
        OSError
            If the directory can't be used as it is set.
        """
        started_s = anyio.current_time()
        pause = GrowingPause(FIRST_PAUSE_S, LONGEST_PAUSE_S)
        reason = ""
        while True:
            try:
                opened = await anyio.to_thread.run_sync(self._open_once)
            except FailureError as error:
                reason = self._note_failure(error, reason)
            except OSError as error:
                if error.errno not in PASSING_ERRORS:
                    raise
                reason = self._note_failure(error, reason)
            else:
                if reason:
                    waited_s = round(anyio.current_time() - started_s, 3)
                    self._log.info("data directory opened", waited_s=waited_s)
                return opened
            await anyio.sleep(pause.take_s())

    def _note_failure(self, error: Exception, known: str) -> str:
        reason = str(error)
        if reason != known:
            self._log.error("data directory can't be opened", reason=reason)
        return reason

    def _open_once(self) -> OpenedDirectory:
        restored = load_state(self._directory)
        if isinstance(restored, ResultFailure):
            self._log.error("data is corrupt", reason=restored.failure().message)
            set_aside_corrupt(self._directory, self._operations)
            restored = load_state(self._directory)
        state = restored.unwrap()
        return OpenedDirectory(
            state, LogFiles(self._directory, state, self._operations)
        )

"""Lock that gives one process a data directory."""

import fcntl
import os
import pathlib

import attrs

from tanagerpath.errors import Failure, FailureError
from tanagerpath.runtime.files import FileOperations

__all__ = ["LOCK_NAME", "DirectoryInUse", "DirectoryLock"]

LOCK_NAME = "lock"


@attrs.frozen(kw_only=True)
class DirectoryInUse(Failure):
    """Another process uses the data directory, or wrote to it after it was read.

    Two processes in one directory could cast two votes under one identity.
    """

    directory: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"{self.directory} is in use by another process"


class DirectoryLock:
    """Lock on a data directory, held until `release` or the end of the process.

    Parameters
    ----------
    descriptor : int
        Open file that holds the lock.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    @classmethod
    def acquire(
        cls, directory: pathlib.Path, operations: FileOperations
    ) -> "DirectoryLock":
        """Create a directory if it is missing, and lock it without waiting.

        Raises
        ------
        FailureError
            With `DirectoryInUse`.
        OSError
            If a file operation fails.
        """
        operations.make_durable_directory(directory)
        descriptor = os.open(directory / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            raise FailureError(DirectoryInUse(directory=str(directory))) from None
        except OSError:
            os.close(descriptor)
            raise
        return cls(descriptor)

    def release(self) -> None:
        """Release the lock."""
        os.close(self._descriptor)

"""File operations that may fail, as an interface that tests can replace."""

import abc
import contextlib
import itertools
import os
import pathlib
import shutil

__all__ = ["FileOperations", "SystemFiles"]


def _find_missing_levels(directory: pathlib.Path) -> list[pathlib.Path]:
    """Return a directory and its parents as far as they don't exist, topmost first."""
    levels = (directory, *directory.parents)
    missing = itertools.takewhile(lambda level: not level.exists(), levels)
    return list(missing)[::-1]


class FileOperations(abc.ABC):
    """All changes that the storage makes to files; each may raise `OSError`."""

    @abc.abstractmethod
    def make_directory(self, directory: pathlib.Path) -> None:
        """Create a directory and its parents, unless it exists."""

    @abc.abstractmethod
    def sync_directory(self, directory: pathlib.Path) -> None:
        """Make the entries of a directory durable."""

    @abc.abstractmethod
    def open(self, path: pathlib.Path, replace: bool = False) -> int:
        """Open a file for appending, emptied if `replace`; return the descriptor."""

    @abc.abstractmethod
    def write(self, descriptor: int, data: memoryview) -> int:
        """Append data and return how many bytes were written."""

    @abc.abstractmethod
    def sync(self, descriptor: int) -> None:
        """Make the content of a file durable."""

    @abc.abstractmethod
    def truncate(self, descriptor: int, size: int) -> None:
        """Truncate a file to a size in bytes."""

    @abc.abstractmethod
    def rename(self, path: pathlib.Path, target: pathlib.Path) -> None:
        """Rename a file, replacing any file at the target."""

    @abc.abstractmethod
    def remove(self, path: pathlib.Path) -> None:
        """Remove a file, or a directory with its content."""

    def close(self, descriptor: int) -> None:
        """Close a file."""
        os.close(descriptor)

    def make_durable_directory(self, directory: pathlib.Path) -> None:
        """Create a directory and its parents if missing, and sync their entries.

        An earlier attempt may have ended between the creation of the lowest existing
        level and its sync, so that level is synced too.
        """
        missing = _find_missing_levels(directory)
        if not missing:
            self.make_directory(directory)
            self.sync_directory(directory.parent)
            return
        # The process may use a directory below one that it can't read.
        with contextlib.suppress(PermissionError):
            self.sync_directory(missing[0].parent.parent)
        for level in missing:
            self.make_directory(level)
            self.sync_directory(level.parent)

    def append(self, descriptor: int, data: bytes) -> None:
        """Append all bytes; some of them may be in the file after a failure."""
        view = memoryview(data)
        while view:
            view = view[self.write(descriptor, view) :]

    def write_atomically(
        self, path: pathlib.Path, temporary: pathlib.Path, data: bytes
    ) -> None:
        """Replace a file atomically: a crash leaves the old or the new content."""
        try:
            descriptor = self.open(temporary, replace=True)
            try:
                self.append(descriptor, data)
                self.sync(descriptor)
            finally:
                self.close(descriptor)
            self.rename(temporary, path)
        except OSError:
            with contextlib.suppress(OSError):
                self.remove(temporary)
            raise
        self.sync_directory(path.parent)


class SystemFiles(FileOperations):
    """File operations of the operating system."""

    def make_directory(self, directory: pathlib.Path) -> None:
        """See the base class."""
        directory.mkdir(parents=True, exist_ok=True)

    def sync_directory(self, directory: pathlib.Path) -> None:
        """See the base class."""
        descriptor = os.open(directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def open(self, path: pathlib.Path, replace: bool = False) -> int:
        """See the base class."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        return os.open(path, flags | (os.O_TRUNC if replace else 0), 0o644)

    def write(self, descriptor: int, data: memoryview) -> int:
        """See the base class."""
        return os.write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """See the base class."""
        os.fdatasync(descriptor)

    def truncate(self, descriptor: int, size: int) -> None:
        """See the base class."""
        os.ftruncate(descriptor, size)

    def rename(self, path: pathlib.Path, target: pathlib.Path) -> None:
        """See the base class."""
        path.rename(target)

    def remove(self, path: pathlib.Path) -> None:
        """See the base class."""
        if path.is_dir():
            shutil.rmtree(path)
        else:
            path.unlink(missing_ok=True)

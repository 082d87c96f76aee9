"""File operations of a disk that fails or stalls."""

import errno
import os
import threading

from tanagerpath.runtime.files import SystemFiles


class FaultyFiles(SystemFiles):
    """Raises `error`, while it is set, in the named operations.

    `partial_write_bytes` is how much of a refused write still reaches the file. A sync
    that is not refused does nothing: no test cuts the power, and hundreds of real syncs
    take half a minute on a busy machine.
    """

    def __init__(self, operations=("write",)):
        self.error = None
        self.operations = set(operations)
        self.partial_write_bytes = 0
        self.refused_count = 0
        self.remaining_successes = 0
        self.unblocked = threading.Event()
        self.unblocked.set()

    def refuse(self, error, *operations, after=0):
        """Fail these operations, once `after` of them have succeeded."""
        self.error, self.remaining_successes = error, after
        self.operations = set(operations) or self.operations

    def accept(self):
        self.error = None

    def _check(self, operation):
        self.unblocked.wait(30.0)
        if self.error is None or operation not in self.operations:
            return
        if self.remaining_successes > 0:
            self.remaining_successes -= 1
            return
        self.refused_count += 1
        raise OSError(self.error, os.strerror(self.error))

    def make_directory(self, directory):
        self._check("make_directory")
        super().make_directory(directory)

    def sync_directory(self, directory):
        self._check("sync_directory")

    def open(self, path, replace=False):
        self._check("open")
        return super().open(path, replace)

    def write(self, descriptor, data):
        try:
            self._check("write")
        except OSError:
            if self.partial_write_bytes:
                super().write(descriptor, data[: self.partial_write_bytes])
            raise
        return super().write(descriptor, data)

    def sync(self, descriptor):
        self._check("sync")

    def truncate(self, descriptor, size):
        self._check("truncate")
        super().truncate(descriptor, size)

    def rename(self, path, target):
        self._check("rename")
        super().rename(path, target)

    def remove(self, path):
        self._check("remove")
        super().remove(path)


WRITE_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EIO)

"""Files of a disk that refuses or delays what it is asked for."""

import errno
import os
import threading

from tanagerpath.runtime.files import SystemFiles


class FaultyFiles(SystemFiles):
    """Files that fail with an error in the named operations while `error` is set.

    `taken_bytes` is how much of a refused write still reaches the file.
    """

    def __init__(self, operations=("write",)):
        self.error = None
        self.operations = set(operations)
        self.taken_bytes = 0
        self.refused = 0
        self.passing = 0
        self.released = threading.Event()
        self.released.set()

    def refuse(self, error, *operations, after=0):
        """Fail in these operations, once `after` of them have passed."""
        self.error, self.passing = error, after
        self.operations = set(operations) or self.operations

    def accept(self):
        self.error = None

    def _check(self, operation):
        self.released.wait(30.0)
        if self.error is None or operation not in self.operations:
            return
        if self.passing > 0:
            self.passing -= 1
            return
        self.refused += 1
        raise OSError(self.error, os.strerror(self.error))

    def make_directory(self, directory):
        self._check("make_directory")
        super().make_directory(directory)

    def sync_directory(self, directory):
        self._check("sync_directory")
        super().sync_directory(directory)

    def open(self, path, replace=False):
        self._check("open")
        return super().open(path, replace)

    def write(self, descriptor, data):
        try:
            self._check("write")
        except OSError:
            if self.taken_bytes:
                super().write(descriptor, data[: self.taken_bytes])
            raise
        return super().write(descriptor, data)

    def sync(self, descriptor):
        self._check("sync")
        super().sync(descriptor)

    def truncate(self, descriptor, size):
        self._check("truncate")
        super().truncate(descriptor, size)

    def rename(self, path, target):
        self._check("rename")
        super().rename(path, target)

    def remove(self, path):
        self._check("remove")
        super().remove(path)


NO_ROOM = (errno.ENOSPC, errno.EDQUOT, errno.EIO)

"""Guards acknowledged entries against a loss of power after the first start."""

import errno
import os
import pathlib
import shutil
import tempfile

import testtools

from tanagerpath.core.consensus import RestoredState
from tanagerpath.runtime.logfiles import LogFiles
from tanagerpath.runtime.tests.faulty_files import FaultyFiles


class _DirectoryTracker(FaultyFiles):
    """Knows the directories that a loss of power would remove.

    Attributes
    ----------
    unsynced : set of Path
        Directories whose entry in their parent is not synced.
    unreadable : set of Path
        Directories that can't be opened for a sync.
    """

    def __init__(self):
        super().__init__()
        self.unsynced = set()
        self.unreadable = set()

    def make_directory(self, directory):
        levels = (directory, *directory.parents)
        self.unsynced.update([level for level in levels if not level.exists()])
        super().make_directory(directory)

    def sync_directory(self, directory):
        if directory in self.unreadable:
            raise PermissionError(errno.EACCES, os.strerror(errno.EACCES))
        super().sync_directory(directory)
        self.unsynced -= {level for level in self.unsynced if level.parent == directory}


class TestNewLevels(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        self.directory = self.folder / "a" / "b" / "data"
        self.disk = _DirectoryTracker()

    def open(self):
        LogFiles(self.directory, RestoredState(), self.disk).close()

    def test_all_new_levels_of_a_data_directory_are_durable(self):
        self.open()
        self.assertEqual(set(), self.disk.unsynced)
        self.assertTrue(self.directory.is_dir())

    def test_levels_of_a_failed_attempt_are_durable_after_the_next(self):
        for successes in range(5):
            self.directory = self.folder / str(successes) / "b" / "data"
            for operation in ("make_directory", "sync_directory"):
                self.disk.refuse(errno.EIO, operation, after=successes)
                try:
                    self.open()
                except OSError:
                    self.disk.accept()
                    self.open()
                self.assertEqual(set(), self.disk.unsynced, successes)
                shutil.rmtree(self.folder / str(successes))

    def test_the_parent_of_an_existing_directory_is_synced(self):
        """Guards against a kill between the creation and the sync."""
        self.disk.make_directory(self.directory)
        self.disk.unsynced = {self.directory}
        self.open()
        self.assertEqual(set(), self.disk.unsynced)

    def test_a_directory_below_an_unreadable_one_can_be_used(self):
        self.disk.unreadable = {self.folder.parent}
        self.open()
        self.assertEqual(set(), self.disk.unsynced)

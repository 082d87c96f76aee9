"""Guards the start of a process beside an earlier one that still writes."""

import errno
import os
import pathlib
import shutil
import tempfile

import anyio
import structlog
import testtools

from tanagerpath.core.consensus import EntryKind, LogEntry, PersistState
from tanagerpath.runtime.logfiles import LogFiles
from tanagerpath.runtime.opening import DirectoryOpener
from tanagerpath.runtime.stored_state import load_state
from tanagerpath.runtime.tests.faulty_files import FaultyFiles


class TestEarlierProcess(testtools.TestCase):
    """A lock belongs to an open file, so one process can play both."""

    def setUp(self):
        super().setUp()
        self.directory = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.directory)
        self.disk = FaultyFiles()
        state = load_state(self.directory).unwrap()
        self.earlier = LogFiles(self.directory, state, self.disk)
        entry = LogEntry(1, 1, EntryKind.COMMAND, "command")
        self.earlier.write([PersistState(1, 1, None, None, (entry,), None, "a")])
        self.segment = self.directory / "log-00000002"

    def end_earlier(self):
        self.segment.unlink()
        self.earlier.close()

    def check_wait(self):
        """Open the directory, and end the earlier process once the opener waits."""
        opener = DirectoryOpener(self.directory, structlog.get_logger(), self.disk)
        opened = []

        async def open_directory():
            opened.append(await opener.open())

        async def main(lines):
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(open_directory)
                    while not lines:
                        await anyio.sleep(0.01)
                    self.end_earlier()

        with structlog.testing.capture_logs() as lines:
            anyio.run(main, lines)
        opened[0].files.close()
        self.assertIn("in use", lines[0]["reason"])
        self.assertEqual("a", opened[0].restored.replica_id)
        self.assertEqual(1, len(opened[0].restored.entries))
        self.assertEqual([], list(self.directory.glob("corrupt-*")))

    def test_a_segment_that_is_removed_while_it_is_read_ends_no_process(self):
        # Listed, but no longer there when it is opened.
        self.segment.symlink_to(self.directory / "removed")
        self.check_wait()

    def test_files_of_the_earlier_process_are_not_set_aside_as_corrupt(self):
        """Guards against a loss of the log, read in the middle of a change."""
        self.segment = self.directory / "log-00000000"
        self.segment.write_bytes(b"x" * 40)
        self.check_wait()


class TestReleasedLock(testtools.TestCase):
    def test_a_failed_attempt_holds_no_lock(self):
        with tempfile.TemporaryDirectory() as folder:
            directory = pathlib.Path(folder)
            disk = FaultyFiles()
            disk.refuse(errno.EACCES, "open")
            opener = DirectoryOpener(directory, structlog.get_logger(), disk)
            before = len(os.listdir("/proc/self/fd"))
            self.assertRaises(PermissionError, anyio.run, opener.open)
            self.assertEqual(before, len(os.listdir("/proc/self/fd")))
            disk.accept()
            anyio.run(opener.open).files.close()

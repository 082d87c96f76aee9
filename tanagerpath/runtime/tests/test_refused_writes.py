"""Guards against failed writes that end a process or lose acknowledged entries."""

import errno
import pathlib
import shutil
import tempfile

import anyio
import attrs
import structlog
import testtools

from tanagerpath.core.consensus import (
    EntryKind,
    LogEntry,
    Membership,
    PersistState,
    RestoredState,
    Snapshot,
    StorageLost,
    StorageSynced,
)
from tanagerpath.observability.metrics import MetricsRegistry
from tanagerpath.runtime.logfiles import LogFiles, set_aside_corrupt
from tanagerpath.runtime.mailbox import Mailbox
from tanagerpath.runtime.opening import DirectoryOpener
from tanagerpath.runtime.storage import StorageTask, StorageTimings
from tanagerpath.runtime.stored_state import load_state
from tanagerpath.runtime.tests.faulty_files import WRITE_ERRORS, FaultyFiles

FAST = StorageTimings(
    stall_timeout_s=10.0,
    min_retry_delay_s=0.001,
    max_retry_delay_s=0.01,
    slow_write_s=60.0,
)


def _make_write(sequence, first, last, term=1, **fields):
    entries = tuple(
        LogEntry(index, term, EntryKind.COMMAND, f"command-{index}-{term}")
        for index in range(first, last + 1)
    )
    return PersistState(sequence, term, None, entries=entries, **fields)


def _make_snapshot(index, term=1):
    return Snapshot(index, term, Membership("group"), f"state-{index}")


class _DirectoryCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.directory = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.directory)
        self.disk = FaultyFiles()

    def open(self):
        return LogFiles(self.directory, self.load(), self.disk)

    def load(self):
        return load_state(self.directory).unwrap()

    def list_indices(self):
        return [entry.index for entry in self.load().entries]


class TestRefusedAppend(_DirectoryCase):
    def test_partially_written_frame_does_not_damage_the_log(self):
        for error in WRITE_ERRORS:
            for partial_write_bytes in (0, 1, 11, 12, 40):
                with tempfile.TemporaryDirectory() as folder:
                    self.directory = pathlib.Path(folder)
                    self._check_partial_write(error, partial_write_bytes)

    def _check_partial_write(self, error, partial_write_bytes):
        case = (errno.errorcode[error], partial_write_bytes)
        files = self.open()
        files.write([_make_write(1, 1, 2, replica_id="a")])
        self.disk.partial_write_bytes = partial_write_bytes
        # Truncating the partial frame fails too.
        self.disk.refuse(error, "write", "truncate")
        self.assertRaises(OSError, files.write, [_make_write(2, 3, 3)])
        self.assertRaises(OSError, files.write, [_make_write(3, 4, 4)])
        self.assertEqual([1, 2], self.list_indices(), case)
        self.disk.accept()
        files.write([_make_write(4, 5, 5)])
        files.close()
        self.assertEqual([1, 2, 3, 4, 5], self.list_indices(), case)
        self.assertEqual(1, len(list(self.directory.glob("log-*"))))

    def test_failed_write_is_retried_without_a_new_one(self):
        files = self.open()
        self.disk.refuse(errno.ENOSPC, "write")
        self.assertRaises(OSError, files.write, [_make_write(1, 1, 3, replica_id="a")])
        self.disk.accept()
        files.write([])
        files.close()
        self.assertEqual([1, 2, 3], self.list_indices())

    def test_refused_truncation_is_written_later(self):
        files = self.open()
        files.write([_make_write(1, 1, 9, replica_id="a")])
        self.disk.refuse(errno.ENOSPC, "write")
        truncating = _make_write(2, 5, 6, term=2, truncate_from=5)
        self.assertRaises(OSError, files.write, [truncating])
        self.disk.accept()
        files.write([_make_write(3, 7, 7, term=2)])
        files.close()
        terms = [entry.term for entry in self.load().entries]
        self.assertEqual([1, 1, 1, 1, 2, 2, 2], terms)


class TestFailedSync(_DirectoryCase):
    def test_content_is_written_to_a_new_segment(self):
        """A second sync of the same file may succeed although pages were lost."""
        files = self.open()
        files.write([_make_write(1, 1, 2, replica_id="a")])
        before = set(self.directory.glob("log-*"))
        self.disk.refuse(errno.EIO, "sync")
        self.assertRaises(OSError, files.write, [_make_write(2, 3, 3)])
        # A process that is restarted now must not restore entry 3.
        self.assertEqual([1, 2], self.list_indices())
        self.assertRaises(OSError, files.write, [])
        self.assertEqual([1, 2], self.list_indices())
        self.disk.accept()
        files.write([_make_write(3, 4, 4)])
        files.write([_make_write(4, 5, 5)])
        files.close()
        self.assertEqual([1, 2, 3, 4, 5], self.list_indices())
        after = set(self.directory.glob("log-*"))
        self.assertEqual((1, set()), (len(after), after & before))


class TestRefusedSnapshot(_DirectoryCase):
    def test_snapshot_survives_one_failure_of_any_operation(self):
        for operation in ("open", "write", "sync", "rename", "sync_directory"):
            for after in range(3):
                with tempfile.TemporaryDirectory() as folder:
                    self.directory = pathlib.Path(folder)
                    self._take_snapshot(operation, after)

    def _take_snapshot(self, operation, after):
        case = (operation, after)
        self.disk = FaultyFiles()
        files = self.open()
        files.write([_make_write(1, 1, 20, replica_id="a")])
        installed = PersistState(2, 5, None, 1, snapshot=_make_snapshot(30, term=4))
        self.disk.refuse(errno.ENOSPC, operation, after=after)
        try:
            files.write([installed])
        except OSError:
            self.assertIn(self.load().snapshot, (None, installed.snapshot), case)
            self.disk.accept()
            files.write([_make_write(3, 31, 31, term=5)])
        else:
            self.disk.accept()
            files.write([_make_write(3, 31, 31, term=5)])
        files.close()
        self.assertEqual((30, [31]), self._describe(), case)
        self.assertEqual([], list(self.directory.glob("*.tmp")), case)

    def _describe(self):
        state = self.load()
        return state.snapshot.last_index, self.list_indices()

    def test_local_snapshot_on_a_full_disk_does_not_block_the_log(self):
        files = self.open()
        files.write([_make_write(1, 1, 20, replica_id="a")])
        self.disk.refuse(errno.ENOSPC, "open")
        files.write([PersistState(2, 1, None, snapshot=_make_snapshot(10))])
        files.write([_make_write(3, 21, 21)])
        self.assertTrue(files.snapshot_deferred)
        self.assertEqual(list(range(1, 22)), self.list_indices())
        self.disk.accept()
        for number in range(200):
            files.write([_make_write(number + 4, number + 22, number + 22)])
        files.close()
        self.assertFalse(files.snapshot_deferred)
        # The log that the snapshot replaces is removed to free disk space.
        (segment,) = self.directory.glob("log-*")
        self.assertNotIn(b"command-1-1", segment.read_bytes())
        self.assertEqual((10, list(range(11, 222))), self._describe())


class TestDiskSpace(_DirectoryCase):
    def test_damaged_files_are_removed_when_the_disk_is_full(self):
        (self.directory / "corrupt-1").mkdir()
        (self.directory / "corrupt-1" / "log-00000001").write_bytes(b"damaged")
        files = self.open()
        self.addCleanup(files.close)
        self.disk.refuse(errno.EDQUOT, "write")
        self.assertRaises(OSError, files.write, [_make_write(1, 1, 1, replica_id="a")])
        self.assertEqual([], list(self.directory.glob("corrupt-*")))

    def test_temporary_files_are_removed_at_start(self):
        (self.directory / "snapshot.tmp").write_bytes(b"half")
        self.open().close()
        self.assertEqual([], list(self.directory.glob("*.tmp")))

    def test_damaged_files_of_many_restarts_do_not_fill_the_disk(self):
        for number in range(1, 13):
            (self.directory / "log-00000001").write_bytes(bytes(100))
            target = set_aside_corrupt(self.directory)
            self.assertEqual(f"corrupt-{number}", target.name)
        kept = {path.name for path in self.directory.glob("corrupt-*")}
        self.assertEqual({"corrupt-11", "corrupt-12"}, kept)


class TestStorageTask(_DirectoryCase):
    timings = FAST

    def _run(self, steps):
        """Run a task while `steps` use it and the mailbox of its owner."""
        owner = Mailbox("owner")
        self.metrics = MetricsRegistry()
        task = StorageTask(
            self.open(), self.directory, owner, self.timings, self.metrics
        )

        async def main():
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(task.run)
                    await steps(task, owner)
                    tasks.cancel_scope.cancel()

        with structlog.testing.capture_logs() as lines:
            anyio.run(main)
        return lines

    async def _receive(self, owner):
        return await owner.receive(anyio.current_time() + 5.0)

    def test_refused_write_is_reported_and_acknowledged_only_when_on_disk(self):
        for error in WRITE_ERRORS:
            with tempfile.TemporaryDirectory() as folder:
                self.directory = pathlib.Path(folder)
                self._check_refused(error)

    def _check_refused(self, error):
        self.disk = FaultyFiles()

        async def steps(task, owner):
            task.mailbox.post(_make_write(1, 1, 1, replica_id="a"))
            self.assertEqual(StorageSynced(1), await self._receive(owner))
            self.disk.refuse(error, "write")
            task.mailbox.post(_make_write(2, 2, 2))
            self.assertEqual(StorageLost(), await self._receive(owner))
            task.mailbox.post(_make_write(3, 3, 3))
            await anyio.sleep(0.1)
            self.assertEqual([], owner.take_waiting())
            self.assertEqual([1], self.list_indices())
            # The exponential backoff saves processor time while the disk is full.
            self.assertLess(self.disk.refused_count, 25)
            self.disk.accept()
            self.assertEqual(StorageSynced(3), await self._receive(owner))
            self.assertEqual([1, 2, 3], self.list_indices())

        lines = self._run(steps)
        self.assertEqual(
            ["storage lost", "storage regained"], [line["event"] for line in lines]
        )
        self.assertIn(errno.errorcode[error], lines[0]["reason"])
        self.assertEqual(len("command-2-1"), lines[0]["waiting_bytes"])
        self.assertEqual(2 * len("command-2-1"), lines[1]["written_bytes"])
        counted = dict(self.metrics.list_counts("storage_refused_writes"))
        self.assertEqual(
            {errno.errorcode[error]: lines[1]["refused_attempts"]}, counted
        )

    def test_stall_is_reported_and_the_write_completes(self):
        self.timings = attrs.evolve(FAST, stall_timeout_s=0.05)

        async def steps(task, owner):
            self.disk.unblocked.clear()
            task.mailbox.post(_make_write(1, 1, 1, replica_id="a"))
            self.assertEqual(StorageLost(), await self._receive(owner))
            self.disk.unblocked.set()
            self.assertEqual(StorageSynced(1), await self._receive(owner))

        self.assertEqual(
            ["storage lost", "storage regained"],
            [line["event"] for line in self._run(steps)],
        )

    def test_slow_writes_are_measured_and_logged_at_a_limited_rate(self):
        """One line for each write would fill the log while the disk is slow."""
        self.timings = attrs.evolve(FAST, slow_write_s=0.0)

        async def steps(task, owner):
            for number in range(1, 21):
                task.mailbox.post(_make_write(number, number, number, replica_id="a"))
                self.assertEqual(StorageSynced(number), await self._receive(owner))

        lines = self._run(steps)
        self.assertEqual(["slow sync"], [line["event"] for line in lines])
        text = self.metrics.render()
        self.assertIn("tanagerpath_storage_sync_seconds_count 20\n", text)

    def test_deferred_snapshot_is_logged_once(self):
        async def steps(task, owner):
            task.mailbox.post(_make_write(1, 1, 20, replica_id="a"))
            await self._receive(owner)
            self.disk.refuse(errno.ENOSPC, "open")
            snapshot = _make_snapshot(10)
            task.mailbox.post(PersistState(2, 1, None, snapshot=snapshot))
            self.assertEqual(StorageSynced(2), await self._receive(owner))
            task.mailbox.post(_make_write(3, 21, 21))
            self.assertEqual(StorageSynced(3), await self._receive(owner))

        lines = self._run(steps)
        self.assertEqual(["snapshot put off"], [line["event"] for line in lines])


class TestStart(_DirectoryCase):
    async def _wait_for_refusals(self, count):
        while self.disk.refused_count < count:
            await anyio.sleep(0.01)

    def _open_later(self, *operations, error=errno.ENOSPC):
        """Open while the operations fail, then let them succeed."""
        self.disk = FaultyFiles()
        self.disk.refuse(error, *operations)
        logger = structlog.get_logger()
        opener = DirectoryOpener(self.directory / "data", logger, self.disk)
        opened = []

        async def open_directory():
            opened.append(await opener.open())

        async def main():
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(open_directory)
                    await self._wait_for_refusals(2)
                    self.assertEqual([], opened)
                    self.disk.accept()

        with structlog.testing.capture_logs() as lines:
            anyio.run(main)
        self.assertEqual(2, len(lines), lines)
        opened[0].files.close()
        return opened[0].restored

    def test_process_waits_for_disk_space_to_create_its_files(self):
        for operation in ("make_directory", "open", "sync", "sync_directory"):
            with tempfile.TemporaryDirectory() as folder:
                self.directory = pathlib.Path(folder)
                self.assertEqual(RestoredState(), self._open_later(operation))

    def test_process_waits_for_file_descriptors(self):
        restored = self._open_later("open", error=errno.EMFILE)
        self.assertEqual(RestoredState(), restored)

    def test_existing_directory_opens_on_a_full_disk(self):
        files = self.open()
        files.write([_make_write(1, 1, 2, replica_id="a")])
        files.close()
        self.disk.refuse(errno.ENOSPC, "write")
        self.open().close()
        self.assertEqual([1, 2], self.list_indices())

    def test_invalid_directory_fails_at_once(self):
        (self.directory / "file").touch()
        opener = DirectoryOpener(
            self.directory / "file" / "data", structlog.get_logger()
        )
        self.assertRaises(OSError, anyio.run, opener.open)

    def test_corrupt_log_is_set_aside_once_the_disk_has_space(self):
        data = self.directory / "data"
        data.mkdir()
        (data / "log-00000001").write_bytes(b"x" * 40)
        (data / "log-00000002").write_bytes(b"x" * 40)
        self.disk.refuse(errno.ENOSPC, "make_directory")
        self._check_set_aside(data)

    def _check_set_aside(self, data):
        opener = DirectoryOpener(data, structlog.get_logger(), self.disk)

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(opener.open)
                await self._wait_for_refusals(1)
                self.disk.accept()

        with structlog.testing.capture_logs():
            anyio.run(main)
        self.assertEqual(RestoredState(), load_state(data).unwrap())
        self.assertEqual(2, len(list((data / "corrupt-1").iterdir())))


class TestStorageTaskOwner(_DirectoryCase):
    def test_outage_report_is_retried_while_the_mailbox_of_the_owner_is_full(self):
        owner = Mailbox("owner", 1)
        owner.post("something else")
        task = StorageTask(self.open(), self.directory, owner, FAST)
        self.disk.refuse(errno.ENOSPC, "write")

        async def main():
            async with anyio.create_task_group() as tasks:
                task.mailbox.post(_make_write(1, 1, 1, replica_id="a"))
                tasks.start_soon(task.run)
                await anyio.sleep(0.05)
                owner.take_waiting()
                lost = await owner.receive(anyio.current_time() + 5)
                tasks.cancel_scope.cancel()
                return lost

        with structlog.testing.capture_logs():
            self.assertEqual(StorageLost(), anyio.run(main))

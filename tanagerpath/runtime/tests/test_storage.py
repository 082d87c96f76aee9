"""Guards against acknowledged entries lost by a crash or a damaged disk."""

import pathlib
import shutil
import tempfile

import anyio
import testtools

from tanagerpath.core.consensus import (
    EntryKind,
    LogEntry,
    Membership,
    PersistState,
    RestoredState,
    Snapshot,
    StorageSynced,
)
from tanagerpath.errors import FailureError
from tanagerpath.runtime.logfiles import DirectoryInUse, LogFiles, set_aside_corrupt
from tanagerpath.runtime.mailbox import Mailbox
from tanagerpath.runtime.storage import StorageTask
from tanagerpath.runtime.stored_state import load_state


def _make_entry(index, term=1):
    return LogEntry(index, term, EntryKind.COMMAND, f"command-{index}-{term}")


def _make_write(sequence, first, last, term=1, **fields):
    entries = tuple(_make_entry(index, term) for index in range(first, last + 1))
    return PersistState(sequence, term, None, entries=entries, **fields)


def _make_snapshot(index, term=1):
    return Snapshot(index, term, Membership("group"), f"state-{index}")


class _DirectoryCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.directory = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.directory)

    def write(self, *writes):
        files = LogFiles(self.directory, load_state(self.directory).unwrap())
        for write in writes:
            files.write([write])
        files.close()

    def load(self):
        return load_state(self.directory).unwrap()

    def find_segment(self):
        return max(self.directory.glob("log-*"))


class TestRestart(_DirectoryCase):
    def test_empty_directory(self):
        self.assertEqual(RestoredState(), load_state(self.directory / "none").unwrap())

    def test_500_changes_are_read_from_the_log(self):
        self.write(
            PersistState(1, 3, "b", replica_id="a"),
            *(_make_write(n + 1, n, n, term=3) for n in range(1, 501)),
        )
        state = self.load()
        self.assertEqual(
            ("a", 3, 500), (state.replica_id, state.term, len(state.entries))
        )
        self.assertEqual(_make_entry(500, 3), state.entries[-1])

    def test_500_changes_are_read_from_a_snapshot_and_the_log(self):
        self.write(
            _make_write(1, 1, 480, replica_id="a"),
            PersistState(2, 1, None, snapshot=_make_snapshot(450)),
            _make_write(3, 481, 500),
        )
        state = self.load()
        self.assertEqual(_make_snapshot(450), state.snapshot)
        indices = [entry.index for entry in state.entries]
        self.assertEqual(list(range(451, 501)), indices)
        self.assertEqual(1, len(list(self.directory.glob("log-*"))))

    def test_truncated_entries_are_not_restored(self):
        self.write(_make_write(1, 1, 9, replica_id="a"))
        self.write(_make_write(2, 5, 6, term=2, truncate_from=5))
        terms = [entry.term for entry in self.load().entries]
        self.assertEqual([1, 1, 1, 1, 2, 2], terms)


class TestCrash(_DirectoryCase):
    def test_torn_tail_is_truncated_at_every_byte(self):
        self.write(_make_write(1, 1, 2, replica_id="a"), _make_write(2, 3, 3))
        whole = self.find_segment().read_bytes()
        start = len(whole) // 2
        kept = []
        for size in range(start, len(whole)):
            self.find_segment().write_bytes(whole[:size])
            kept.append(len(self.load().entries))
            if size % 20 == 0:
                self.write(_make_write(3, kept[-1] + 1, kept[-1] + 1))
                self.assertEqual(kept[-1] + 1, len(self.load().entries))
        self.assertEqual({2}, set(kept[-50:]))

    def test_zeroed_tail_is_truncated(self):
        self.write(_make_write(1, 1, 2, replica_id="a"))
        with self.find_segment().open("ab") as file:
            file.write(bytes(100))
        self.assertEqual(2, len(self.load().entries))

    def test_crash_between_an_installed_snapshot_and_the_new_segment(self):
        """The snapshot is stored, but the log of an older term is not yet removed."""
        self.write(_make_write(1, 1, 20, replica_id="a"))
        old = self.find_segment().read_bytes()
        installed = PersistState(2, 5, None, 1, snapshot=_make_snapshot(10, term=4))
        self.write(installed)
        self.find_segment().rename(self.directory / "log-00000001")
        self.find_segment().write_bytes(old)
        state = self.load()
        self.assertEqual((10, ()), (state.snapshot.last_index, state.entries))
        # An entry appended to the old segment once left a gap, read as corruption.
        self.write(_make_write(3, 11, 12, term=5))
        self.assertEqual([11, 12], [entry.index for entry in self.load().entries])

    def test_crash_between_a_local_snapshot_and_the_new_segment(self):
        """Entries after the snapshot were acknowledged and must be restored."""
        self.write(_make_write(1, 1, 20, replica_id="a"))
        old = self.find_segment().read_bytes()
        self.write(PersistState(2, 1, None, snapshot=_make_snapshot(10)))
        self.find_segment().rename(self.directory / "log-00000001")
        self.find_segment().write_bytes(old)
        self.assertEqual(20, self.load().entries[-1].index)
        self.assertEqual(10, len(self.load().entries))

    def test_unfinished_temporary_files_are_ignored(self):
        self.write(_make_write(1, 1, 2, replica_id="a"))
        (self.directory / "snapshot.tmp").write_bytes(b"half")
        (self.directory / "log-00000002.tmp").write_bytes(b"half")
        self.assertEqual(2, len(self.load().entries))


class TestDamage(_DirectoryCase):
    def test_every_damaged_byte_before_the_tail_is_refused(self):
        self.write(_make_write(1, 1, 1, replica_id="a"), _make_write(2, 2, 2))
        self.write(_make_write(3, 3, 3))
        segment = self.find_segment()
        whole = segment.read_bytes()
        tail = len(whole) // 3
        for position in range(tail):
            damaged = bytearray(whole)
            damaged[position] ^= 0xFF
            segment.write_bytes(bytes(damaged))
            failure = load_state(self.directory).failure()
            self.assertEqual(str(segment), failure.path, f"byte {position}")

    def test_damaged_snapshot_is_refused(self):
        self.write(
            _make_write(1, 1, 9, replica_id="a"),
            PersistState(2, 1, None, snapshot=_make_snapshot(9)),
        )
        path = self.directory / "snapshot"
        path.write_bytes(path.read_bytes()[:-3])
        self.assertIn("snapshot", load_state(self.directory).failure().path)

    def test_missing_log_is_refused(self):
        self.write(
            _make_write(1, 1, 9, replica_id="a"),
            PersistState(2, 1, None, snapshot=_make_snapshot(9)),
        )
        self.find_segment().unlink()
        self.assertIn("no log", load_state(self.directory).failure().detail)

    def test_corrupt_files_are_set_aside_and_the_directory_is_empty(self):
        for number in (1, 2):
            self.write(_make_write(1, 1, 2, replica_id="a"))
            target = set_aside_corrupt(self.directory)
            self.assertEqual(f"corrupt-{number}", target.name)
            self.assertEqual(1, len(list(target.iterdir())))
            self.assertEqual(RestoredState(), self.load())


class TestOwnership(_DirectoryCase):
    def test_second_process_is_refused(self):
        files = LogFiles(self.directory, RestoredState())
        self.addCleanup(files.close)
        error = self.assertRaises(
            FailureError, LogFiles, self.directory, RestoredState()
        )
        self.assertIsInstance(error.failure, DirectoryInUse)

    def test_state_read_before_the_last_write_is_refused(self):
        stale = load_state(self.directory).unwrap()
        self.write(PersistState(1, 2, "b", replica_id="a"))
        error = self.assertRaises(FailureError, LogFiles, self.directory, stale)
        self.assertIsInstance(error.failure, DirectoryInUse)


class TestStorageTask(_DirectoryCase):
    def test_waiting_writes_share_a_sync_and_are_reported_in_order(self):
        owner = Mailbox("owner")
        task = StorageTask.from_directory(self.directory, RestoredState(), owner)

        async def main():
            async with anyio.create_task_group() as tasks:
                for number in range(1, 51):
                    write = _make_write(number, number, number, replica_id="a")
                    task.mailbox.post(write)
                tasks.start_soon(task.run)
                synced = await owner.receive(anyio.current_time() + 5)
                tasks.cancel_scope.cancel()
                return synced

        self.assertEqual(StorageSynced(50), anyio.run(main))
        self.assertEqual(50, len(self.load().entries))

    def test_report_is_retried_while_the_mailbox_of_the_owner_is_full(self):
        owner = Mailbox("owner", 1)
        owner.post("something else")
        task = StorageTask.from_directory(self.directory, RestoredState(), owner)

        async def main():
            async with anyio.create_task_group() as tasks:
                task.mailbox.post(_make_write(1, 1, 1, replica_id="a"))
                tasks.start_soon(task.run)
                await anyio.sleep(0.05)
                owner.take_waiting()
                synced = await owner.receive(anyio.current_time() + 5)
                tasks.cancel_scope.cancel()
                return synced

        self.assertEqual(StorageSynced(1), anyio.run(main))

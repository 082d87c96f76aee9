"""Guards against a log damaged or shortened by random write failures and restarts.

The model is `DiskContent`, which the simulated disk of the consensus tests uses too.
"""

import errno
import pathlib
import random
import tempfile

import testtools

from tanagerpath.core.consensus import (
    EntryKind,
    LogEntry,
    Membership,
    PersistState,
    Snapshot,
)
from tanagerpath.core.consensus.simulated import DiskContent
from tanagerpath.runtime.logfiles import LogFiles
from tanagerpath.runtime.stored_state import load_state
from tanagerpath.runtime.tests.faulty_files import WRITE_ERRORS, FaultyFiles

SEEDS = range(30)
STEPS = 60
OPERATIONS = ("open", "write", "sync", "truncate", "rename", "sync_directory", "remove")


class _Case:
    """A log under random writes, with a model of its expected content."""

    def __init__(self, seed, directory):
        self.random = random.Random(seed)
        self.directory = directory
        self.disk = FaultyFiles()
        self.model = DiskContent()
        self.durable = DiskContent()
        self.sequence = 0
        self.term = 1
        self.snapshot_pending = False
        self.files = self._open()
        # A replica gets no snapshot before its identity is on disk and known to others.
        self.files.write([self._accept(PersistState(1, 1, None, replica_id="a"))])
        self.durable = self.model.copy()

    def _accept(self, write):
        self.sequence = write.sequence
        self.model.apply(write)
        return write

    def _open(self):
        state = load_state(self.directory).unwrap()
        return LogFiles(self.directory, state, self.disk)

    def make_write(self):
        draw = self.random
        last = self.model.last_index
        first_kept = self.model.snapshot.last_index if self.model.snapshot else 0
        kind = draw.choice(("append", "append", "append", "truncate", "own", "install"))
        fields = {}
        if kind == "install":
            self.term += 1
            snapshot = Snapshot(
                last + draw.randint(1, 9), self.term, Membership("g"), "installed"
            )
            fields = {"truncate_from": 1, "snapshot": snapshot}
        elif kind == "own" and last > first_kept:
            index = draw.randint(first_kept + 1, last)
            term = self.model.find_term(index)
            fields = {"snapshot": Snapshot(index, term, Membership("g"), "own")}
        else:
            start = last + 1
            if kind == "truncate" and last > first_kept:
                self.term += 1
                start = draw.randint(first_kept + 1, last)
                fields["truncate_from"] = start
            fields["entries"] = tuple(
                LogEntry(index, self.term, EntryKind.COMMAND, "x" * draw.randint(0, 50))
                for index in range(start, start + draw.randint(1, 4))
            )
        self.snapshot_pending = self.snapshot_pending or "snapshot" in fields
        return self._accept(PersistState(self.sequence + 1, self.term, None, **fields))

    def inject_faults(self):
        """Make random operations fail, or none, after a random number of them."""
        draw = self.random
        self.disk.accept()
        self.disk.partial_write_bytes = draw.choice((0, 1, 12, 30))
        if draw.random() < 0.5:
            chosen = draw.sample(OPERATIONS, draw.randint(1, 3))
            error = draw.choice(WRITE_ERRORS)
            self.disk.refuse(error, *chosen, after=draw.randint(0, 3))

    def step(self):
        """Write once; return whether everything was written."""
        writes = [self.make_write() for _ in range(self.random.randint(0, 3))]
        try:
            self.files.write(writes)
        except OSError:
            return False
        self.durable = self.model.copy()
        self.snapshot_pending = self.files.snapshot_deferred
        return True

    def restart(self):
        """Reopen the files, as after a kill; return their content."""
        self.disk.accept()
        self.files.close()
        self.files = self._open()
        state = load_state(self.directory).unwrap()
        self.model = DiskContent(
            state.replica_id,
            state.term,
            state.voted_for,
            state.snapshot,
            list(state.entries),
        )
        self.term = max(self.term, state.term)
        return self.model.copy()


class TestSequences(testtools.TestCase):
    def test_acknowledged_writes_are_read_back_after_any_failures(self):
        for seed in SEEDS:
            with tempfile.TemporaryDirectory() as folder:
                self._run(seed, pathlib.Path(folder))

    def _run(self, seed, directory):
        case = _Case(seed, directory)
        for step in range(STEPS):
            name = f"seed {seed}, step {step}"
            case.inject_faults()
            succeeded = case.step()
            result = load_state(directory)
            self.assertEqual("Success", type(result).__name__, f"{name}: {result}")
            if succeeded:
                self._check_same(case.durable, result.unwrap(), name)
            if case.random.random() < 0.1:
                was_pending = case.snapshot_pending
                found = case.restart()
                if not was_pending and succeeded:
                    self._check_same(case.durable, found.restore(), name)
                case.durable = found
                case.snapshot_pending = False
        case.disk.accept()
        case.files.write([])
        case.files.close()
        self._check_same(case.model, load_state(directory).unwrap(), f"seed {seed}")

    def _check_same(self, expected, state, name):
        """Compare the entries after the last snapshot, which may be deferred."""
        after = expected.snapshot.last_index if expected.snapshot else 0
        entries = [entry for entry in state.entries if entry.index > after]
        self.assertEqual(expected.entries, entries, name)
        if expected.replica_id is not None:
            self.assertEqual(expected.term, state.term, name)
        found = state.snapshot.last_index if state.snapshot else 0
        covered = max([found, *(entry.index for entry in state.entries)])
        self.assertTrue(covered >= after, name)

    def test_some_writes_fail(self):
        """The sequences would test nothing if no write failed."""
        with tempfile.TemporaryDirectory() as folder:
            case = _Case(1, pathlib.Path(folder))
            succeeded = []
            for _ in range(STEPS):
                case.inject_faults()
                succeeded.append(case.step())
            self.assertIn(False, succeeded)
            self.assertIn(True, succeeded)
            self.assertNotEqual(0, case.disk.refused_count)
            self.assertIn(errno.ENOSPC, WRITE_ERRORS)

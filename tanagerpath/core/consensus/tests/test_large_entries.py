"""Guards against a log in memory that is bounded by its number of entries only."""

import testtools

from tanagerpath.core.consensus.tests.scenarios import (
    commit,
    find_followers,
    start_group,
)

SETTINGS = {
    "snapshot_after_entries": 1000,
    "snapshot_after_chars": 4000,
    "retained_entries": 256,
    "retained_chars": 1000,
}
ENTRY_CHARS = 500
ENTRIES = 40


class TestLargeEntries(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.group, self.monitor = start_group(1, **SETTINGS)

    def commit_large(self, count):
        for _ in range(count):
            leader = self.group.find_leader()
            number = self.group.propose(leader.vm_id, "x" * ENTRY_CHARS)
            done = self.group.run_until(lambda n=number: n in self.group.outcomes, 2.0)
            self.assertTrue(done)

    def count_chars(self, vm):
        log = vm.replica._context.log
        entries = log.read(log.base_index + 1, log.last_index)
        return sum(len(entry.payload) for entry in entries)

    def test_few_large_entries_cause_a_snapshot(self):
        self.commit_large(ENTRIES)
        self.group.run_for(1.0)
        limit = SETTINGS["snapshot_after_chars"] + SETTINGS["retained_chars"]
        for vm in self.group.vms.values():
            self.assertLessEqual(self.count_chars(vm), limit + ENTRY_CHARS, vm.vm_id)
        self.assertEqual([], self.monitor.violations)

    def test_a_member_that_missed_large_entries_gets_a_snapshot(self):
        vm = find_followers(self.group)[0]
        self.group.crash(vm.vm_id)
        self.commit_large(ENTRIES)
        self.group.start(vm.vm_id)
        self.assertTrue(commit(self.group, 1))
        self.assertTrue(self.group.run_until(self.group.has_converged, 10.0))
        self.assertEqual([], self.monitor.violations)

"""Guards against a vote that comes back late because the leader is busy."""

import functools

import testtools

from tanagerpath.core.consensus import LossTolerance
from tanagerpath.core.consensus.harness import SimulatedGroup
from tanagerpath.core.consensus.invariants import InvariantMonitor
from tanagerpath.core.consensus.tests.scenarios import commit

SEEDS = range(1, 11)
# A VM counts as lost for 4 s after its restart.
CATCH_UP_S = 4.0
RECOVERY_S = 12.0
# Decisions on some thousand queued workloads.
LEADER_STEP_S = 0.12
COMMAND_INTERVAL_S = 0.02
LOAD_S = 4.0
LONG_LOAD_S = 12.0
DOWN_S = 1.0
# The state machine's snapshot has 64 characters.
WITHOUT_SNAPSHOT = {"snapshot_after_entries": 10_000, "max_batch_entries": 32}
MANY_CHUNKS = {
    "snapshot_after_entries": 400,
    "retained_entries": 5,
    "snapshot_chunk_chars": 2,
}
SNAPSHOTS_IN_SUCCESSION = {
    "snapshot_after_entries": 50,
    "retained_entries": 5,
    "snapshot_chunk_chars": 1,
}


class TestBusyLeader(testtools.TestCase):
    """The leader takes a while for each step, and commands never pause."""

    def start_group(self, seed, settings, load_s=LOAD_S):
        group = SimulatedGroup.from_seed(
            seed, 3, domain_count=3, tolerated_losses=LossTolerance(vms=1), **settings
        )
        monitor = InvariantMonitor.attach(group)
        group.start_all()
        self.assertTrue(group.run_until(group.has_converged, 10.0), f"seed {seed}")
        for vm in group.vms.values():
            vm.leader_step_s = LEADER_STEP_S
        self.propose_steadily(group)
        group.run_for(load_s)
        return group, monitor

    def propose_steadily(self, group):
        leader = group.find_leader()
        if leader is not None:
            group.propose(leader.vm_id, f"command-{group.steps}")
        group.schedule(COMMAND_INTERVAL_S, lambda: self.propose_steadily(group))

    def choose_lost(self, group, seed):
        """Return two VMs, in another order for each seed."""
        vms = list(group.vms.values())
        first = seed % 3
        second = (first + 1 + seed // 3 % 2) % 3
        return vms[first], vms[second]

    def lose_disk(self, group, vm):
        group.empty_disk(vm.vm_id)
        group.run_for(DOWN_S)
        group.start(vm.vm_id)

    def has_vote(self, group, vm):
        leader = group.find_leader()
        return leader is not None and vm.replica.replica_id in leader.replica.voters

    def check_vote(self, settings, limit_s, load_s=LOAD_S):
        for seed in SEEDS:
            group, monitor = self.start_group(seed, settings, load_s)
            first, _ = self.choose_lost(group, seed)
            self.lose_disk(group, first)
            has_vote = functools.partial(self.has_vote, group, first)
            self.assertTrue(group.run_until(has_vote, limit_s), f"seed {seed}")
            self.assertEqual([], monitor.violations, f"seed {seed}")

    def test_a_vote_does_not_wait_until_replication_is_fast(self):
        """Guards against replication rounds that a busy leader never does in time."""
        self.check_vote(WITHOUT_SNAPSHOT, CATCH_UP_S, LONG_LOAD_S)

    def test_a_vote_does_not_take_a_step_of_the_leader_for_each_chunk(self):
        """Guards against a snapshot of which one chunk is on the way at a time."""
        self.check_vote(MANY_CHUNKS, CATCH_UP_S, LONG_LOAD_S)

    def test_a_transfer_may_take_longer_than_the_time_between_two_snapshots(self):
        """Guards against a learner that gets one snapshot after the other for good."""
        self.check_vote(SNAPSHOTS_IN_SUCCESSION, RECOVERY_S)

    def test_a_second_disk_is_lost_with_all_power_once_the_first_vm_is_back(self):
        """Guards against a group that stays without a leader for good."""
        for seed in SEEDS:
            group, monitor = self.start_group(seed, MANY_CHUNKS, LONG_LOAD_S)
            first, second = self.choose_lost(group, seed)
            self.lose_disk(group, first)
            group.run_for(CATCH_UP_S)
            for vm in group.vms.values():
                (group.empty_disk if vm is second else group.crash)(vm.vm_id)
            group.run_for(DOWN_S)
            group.start_all()
            self.assertTrue(commit(group, 1, RECOVERY_S), f"seed {seed}")
            self.assertEqual([], monitor.violations, f"seed {seed}")

"""Guards against a vote for a learner that was away and lags far behind."""

import testtools

from tanagerpath.core.consensus import LossTolerance, Role
from tanagerpath.core.consensus.harness import SimulatedGroup
from tanagerpath.core.consensus.tests.scenarios import find_followers

SEEDS = (1, 2, 3)
COMMAND_INTERVAL_S = 0.02
REPLACE_AFTER_S = 3.0
AWAY_S = 60.0
# One entry for each message, so that catching up takes a while.
SETTINGS = {
    "replace_voter_after_s": REPLACE_AFTER_S,
    "remove_learner_after_s": 1000.0,
    "snapshot_after_entries": 100_000,
    "max_batch_entries": 1,
}


class TestReturnedLearner(testtools.TestCase):
    def start_group_with_learner(self, seed):
        """Return a group in which vm-1 is a learner that was away for a minute."""
        group = SimulatedGroup.from_seed(
            seed, 5, tolerated_losses=LossTolerance(vms=1), **SETTINGS
        )
        group.start_all()
        self.assertTrue(group.run_until(group.has_converged, 20.0))
        self.propose_steadily(group)
        group.crash("vm-1")
        group.run_for(2 * REPLACE_AFTER_S)
        group.start("vm-1")
        group.run_for(4.0)
        self.assertIs(Role.LEARNER, group.vms["vm-1"].replica.role)
        group.crash("vm-1")
        group.run_for(AWAY_S)
        return group

    def propose_steadily(self, group):
        leader = group.find_leader()
        if leader is not None:
            group.propose(leader.vm_id, f"command-{group.steps}")
        group.schedule(COMMAND_INTERVAL_S, lambda: self.propose_steadily(group))

    def test_only_a_learner_with_the_log_of_its_return_replaces_a_voter(self):
        for seed in SEEDS:
            group = self.start_group_with_learner(seed)
            leader = group.find_leader()
            returned_index = leader.replica.last_index
            before = leader.replica.voters
            lost = next(
                vm
                for vm in find_followers(group)
                if vm.replica is not None and vm.replica.role is Role.FOLLOWER
            )
            group.empty_disk(lost.vm_id)
            group.start("vm-1")
            group.run_for(0.6)
            group.start(lost.vm_id)
            self.assertTrue(group.run_until(self.make_check(group), 60.0))
            (chosen,) = set(group.find_leader().replica.voters).difference(before)
            disk = group.vms[chosen.rpartition(".")[0]].disk.durable
            self.assertGreaterEqual(disk.last_index, returned_index, f"seed {seed}")

    def make_check(self, group):
        """Return a check whether three voters run."""

        def has_all_voters():
            leader = group.find_leader()
            running = {
                vm.replica and vm.replica.replica_id for vm in group.vms.values()
            }
            return (
                leader is not None
                and len(running.intersection(leader.replica.voters)) == 3
            )

        return has_all_voters

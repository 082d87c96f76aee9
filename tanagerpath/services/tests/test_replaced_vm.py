"""Guards against a disk loss soon after a VM was replaced at another address."""

import testtools

from tanagerpath.core.consensus.harness import SimulatedGroup
from tanagerpath.core.consensus.invariants import InvariantMonitor
from tanagerpath.core.consensus.tests.scenarios import commit
from tanagerpath.services.workload_control import make_node_config
from tanagerpath.settings import WorkloadControlSettings

ADDRESSES = tuple(f"10.0.0.{number}:7000" for number in range(1, 6))
SEEDS = ADDRESSES[:3]
# The platform counts a VM as lost until this long after its successor has started.
CATCH_UP_S = 4.0
RECOVERY_S = 12.0
# A leader older than `replace_voter_after_s` has not yet heard from a new member.
LEADERSHIP_AGES_S = (0.0, 3.0, 30.0)
# Well below `CATCH_UP_S`, so that the group is complete before the next loss.
VOTE_LIMIT_S = 2.5
COMMAND_INTERVAL_S = 0.002


def _make_replica_config(address):
    given = {
        "vm_id": address.rpartition(":")[0],
        "availability_zone": "a",
        "listen": address,
        "public_listen": address.replace("7000", "7001"),
        "seeds": ",".join(SEEDS),
        "data_dir": "/nowhere",
        "may_found": "true" if address in SEEDS else "false",
    }
    settings = WorkloadControlSettings.from_given(given, {}).unwrap()
    return make_node_config(settings).replica


class TestReplacedVm(testtools.TestCase):
    def open_group(self, seed):
        configs = [_make_replica_config(address) for address in ADDRESSES]
        group = SimulatedGroup(seed, configs)
        monitor = InvariantMonitor.attach(group)
        for config in configs[:3]:
            group.start(config.vm_id)
        self.assertTrue(commit(group, 3), f"seed {seed}")
        return group, monitor, [config.vm_id for config in configs]

    def replace(self, group, gone, successor):
        """Replace a VM; return whether its successor became a voter in time."""
        group.crash(gone)
        group.run_for(1.0)
        group.start(successor)
        self.successor_started_s = group.now_s
        return group.run_until(lambda: self.is_voter(group, successor), VOTE_LIMIT_S)

    def is_voter(self, group, vm_id):
        leader = group.find_leader()
        replica = group.vms[vm_id].replica
        return leader is not None and replica.replica_id in leader.replica.voters

    def run_scenario(self, seed, leadership_age_s):
        group, monitor, vm_ids = self.open_group(seed)
        second, gone, successor = vm_ids[1:4]
        group.run_for(leadership_age_s)
        voted = self.replace(group, gone, successor)
        self.assertTrue(voted, f"seed {seed}, led for {leadership_age_s} s")
        group.run_for(self.successor_started_s + CATCH_UP_S - group.now_s)
        group.empty_disk(second)
        group.run_for(1.0)
        group.start(second)
        self.assertTrue(commit(group, 3, RECOVERY_S), f"seed {seed}")
        self.assertEqual([], monitor.violations, f"seed {seed}")

    def test_disk_loss_is_tolerated_soon_after_a_vm_was_replaced(self):
        """Guards against long-standing leaders that remove a new learner."""
        for seed in range(10):
            for leadership_age_s in LEADERSHIP_AGES_S:
                self.run_scenario(seed, leadership_age_s)

    def test_successor_becomes_a_voter_while_the_commit_index_advances(self):
        """Guards against a learner that never reaches an advancing commit index."""
        for seed in range(3):
            group, monitor, vm_ids = self.open_group(seed)
            self._keep_proposing(group)
            group.run_for(5.0)
            self.assertTrue(self.replace(group, vm_ids[2], vm_ids[3]), f"seed {seed}")
            self.assertEqual([], monitor.violations, f"seed {seed}")

    def _keep_proposing(self, group):
        leader = group.find_leader()
        if leader is not None:
            group.propose(leader.vm_id, f"command-{group.steps}")
        group.schedule(COMMAND_INTERVAL_S, lambda: self._keep_proposing(group))

    def test_successor_joins_a_leader_that_its_settings_do_not_name(self):
        """Guards against replies of a replica without a log that have no address."""
        for seed in range(3):
            group, monitor, vm_ids = self.open_group(seed)
            second, gone, successor, last = vm_ids[1:]
            self.assertTrue(self.replace(group, gone, successor), f"seed {seed}")
            while group.find_leader() is not group.vms[successor]:
                group.request_transfer(group.find_leader().vm_id)
                group.run_for(1.0)
                group.run_until(group.find_leader, 5.0)
            group.run_for(5.0)
            self.assertTrue(self.replace(group, second, last), f"seed {seed}")
            self.assertEqual([], monitor.violations, f"seed {seed}")

"""Guards against groups that stop after losses that their settings tolerate."""

import testtools

from tanagerpath.core.consensus import LossTolerance, Role
from tanagerpath.core.consensus.harness import SimulatedGroup
from tanagerpath.core.consensus.invariants import InvariantMonitor
from tanagerpath.core.consensus.tests.scenarios import (
    SETTINGS,
    block_link_both_ways,
    commit,
    find_followers,
)

TWO = LossTolerance(vms=2)
SEEDS = (1, 2, 3)
# Traffic starts at least 12 s after the start of the group.
FULL_GROUP_LIMIT_S = 6.0
# A VM counts as lost for 4 s after its restart.
CATCH_UP_S = 4.0
RECOVERY_S = 12.0
REPLACE_AFTER_S = 2.5


def start_group(seed, vm_count=6, tolerance=TWO, domain_count=3, **settings):
    """Return a monitored group whose founders are three configured VMs."""
    settings = SETTINGS | {"replace_voter_after_s": REPLACE_AFTER_S} | settings
    group = SimulatedGroup.from_seed(
        seed,
        vm_count,
        founder_count=3,
        domain_count=domain_count,
        tolerated_losses=tolerance,
        **settings,
    )
    monitor = InvariantMonitor.attach(group)
    group.start_all()
    return group, monitor


def list_voters(group):
    """Return the VMs of the voters by fault domain."""
    membership = group.find_leader().replica.membership
    found = {}
    for member in membership.members:
        if membership.is_voter(member.replica_id):
            found.setdefault(member.fault_domain, []).append(member.vm_id)
    return found


class TestToleratedLosses(testtools.TestCase):
    def start_converged_group(self, seed, **shape):
        group, monitor = start_group(seed, **shape)
        self.assertTrue(group.run_until(group.has_converged, FULL_GROUP_LIMIT_S), seed)
        self.assertTrue(commit(group, 3))
        return group, monitor

    def assert_commits(self, group, monitor, seed):
        self.assertTrue(commit(group, 3, RECOVERY_S), f"seed {seed}")
        self.assertEqual([], monitor.violations, f"seed {seed}")

    def test_a_group_of_three_founders_grows_to_all_voters_before_traffic(self):
        """Guards against staying at three voters where two losses are tolerated."""
        for seed in SEEDS:
            group, _ = self.start_converged_group(seed)
            sizes = sorted(map(len, list_voters(group).values()))
            self.assertEqual([1, 2, 2], sizes)
            group, _ = self.start_converged_group(seed, vm_count=8, domain_count=4)
            sizes = sorted(map(len, list_voters(group).values()))
            self.assertEqual([1, 1, 1, 2], sizes)

    def test_two_disks_are_lost_while_all_others_lose_power(self):
        for seed in SEEDS:
            group, monitor = self.start_converged_group(seed)
            leader = group.find_leader()
            lost = (leader, find_followers(group)[seed])
            for vm in group.vms.values():
                (group.empty_disk if vm in lost else group.crash)(vm.vm_id)
            group.run_for(3.0)
            group.start_all()
            self.assert_commits(group, monitor, seed)
            self.assertTrue(group.run_until(group.has_converged, RECOVERY_S))

    def test_disks_are_lost_one_after_the_other(self):
        for seed in SEEDS:
            group, monitor = self.start_converged_group(seed)
            for vm_id in (*group.vms, *group.vms):
                group.empty_disk(vm_id)
                group.start(vm_id)
                group.run_for(CATCH_UP_S)
                self.assert_commits(group, monitor, seed)

    def test_an_unreachable_voter_is_replaced_before_two_further_losses(self):
        for seed in SEEDS:
            group, monitor = self.start_converged_group(seed)
            (absent,) = next(
                vms for vms in list_voters(group).values() if len(vms) == 1
            )
            group.crash(absent)
            group.run_for(REPLACE_AFTER_S + 2.5)
            voters = [vm for vms in list_voters(group).values() for vm in vms]
            self.assertNotIn(absent, voters, f"seed {seed}")
            self.assertEqual(5, len(voters), f"seed {seed}")
            followers = [vm for vm in find_followers(group) if vm.vm_id in voters]
            for vm in followers[:2]:
                group.crash(vm.vm_id)
            self.assert_commits(group, monitor, seed)

    def test_a_replaced_voter_is_tracked_at_once_when_it_returns(self):
        """Guards against removal with demotion: it rejoined 3 s after its return."""
        for seed in SEEDS:
            group, monitor = self.start_converged_group(seed)
            absent = find_followers(group)[0]
            group.crash(absent.vm_id)
            group.run_for(2 * REPLACE_AFTER_S)
            self.assertTrue(commit(group, 3))
            group.start(absent.vm_id)
            self.assertTrue(group.run_until(group.has_converged, 1.0), f"seed {seed}")
            self.assertEqual([], monitor.violations, f"seed {seed}")

    def test_an_unreachable_learner_is_eventually_removed(self):
        group, _ = self.start_converged_group(1, remove_learner_after_s=4.0)
        (gone,) = group.find_leader().replica.membership.learners
        vm = next(vm for vm in group.vms.values() if vm.replica.replica_id == gone)
        vm_id = vm.vm_id
        group.crash(vm_id)
        group.run_for(3.5)
        self.assertIn(gone, group.find_leader().replica.membership.learners)
        group.run_for(1.5)
        self.assertEqual((), group.find_leader().replica.membership.learners)
        group.start(vm_id)
        self.assertTrue(group.run_until(group.has_converged, RECOVERY_S))

    def test_a_rolling_restart_changes_no_vote(self):
        for seed in SEEDS:
            group, monitor = self.start_converged_group(seed)
            before = list_voters(group)
            for vm_id in group.vms:
                group.crash(vm_id)
                group.run_for(1.5)
                group.start(vm_id)
                self.assertTrue(commit(group, 1, RECOVERY_S))
                group.run_for(1.0)
            self.assertEqual(before, list_voters(group), f"seed {seed}")
            self.assert_commits(group, monitor, seed)

    def test_a_partition_into_two_halves_loses_nothing(self):
        for seed in SEEDS:
            for shape in ({}, {"vm_count": 8, "domain_count": 4}):
                group, monitor = self.start_converged_group(seed, **shape)
                vms = list(group.vms.values())
                group.random.shuffle(vms)
                half = len(vms) // 2
                for one in vms[:half]:
                    for other in vms[half:]:
                        block_link_both_ways(group, one, other)
                group.run_for(6.0)
                group.blocked_links.clear()
                self.assert_commits(group, monitor, seed)
                self.assertTrue(group.run_until(group.has_converged, RECOVERY_S))

    def test_a_learner_with_a_full_disk_does_not_stop_the_group(self):
        """Guards against promotion in an idle group: commits then needed its vote."""
        for seed in SEEDS:
            group, monitor = self.start_converged_group(
                seed, vm_count=4, tolerance=LossTolerance(vms=1)
            )
            (learner,) = group.find_leader().replica.membership.learners
            (full,) = [
                vm for vm in group.vms.values() if vm.replica.replica_id == learner
            ]
            group.refuse_writes(full.vm_id)
            lost = next(vm for vm in find_followers(group) if vm is not full)
            group.crash(lost.vm_id)
            group.run_for(REPLACE_AFTER_S + 1.5)
            self.assert_commits(group, monitor, seed)

    def test_a_learner_with_a_full_disk_does_not_keep_others_from_voting(self):
        """Guards against the choice of one learner that can't store anything."""
        for seed in SEEDS:
            group, monitor = self.start_converged_group(
                seed, vm_count=5, tolerance=LossTolerance(vms=1), domain_count=1
            )
            # The first of the learners by name, which are preferred in that order.
            group.crash("vm-1")
            group.run_for(2 * REPLACE_AFTER_S + 1.0)
            group.start("vm-1")
            group.run_for(1.0)
            self.assertIs(Role.LEARNER, group.vms["vm-1"].replica.role)
            group.refuse_writes("vm-1")
            group.run_for(1.0)
            lost = next(
                vm for vm in find_followers(group) if vm.replica.role is Role.FOLLOWER
            )
            self.propose_steadily(group)
            group.empty_disk(lost.vm_id)
            group.run_for(1.0)
            group.start(lost.vm_id)
            group.run_for(CATCH_UP_S)
            voters = group.find_leader().replica.voters
            running = {vm.replica.replica_id for vm in group.vms.values()}
            self.assertEqual(3, len(running.intersection(voters)), f"seed {seed}")
            self.assert_commits(group, monitor, seed)

    def propose_steadily(self, group):
        leader = group.find_leader()
        if leader is not None:
            group.propose(leader.vm_id, f"command-{group.steps}")
        group.schedule(0.02, lambda: self.propose_steadily(group))

    def test_all_members_vote_if_there_are_too_few(self):
        for vm_count in (3, 4):
            group, monitor = self.start_converged_group(
                1, vm_count=vm_count, domain_count=1
            )
            self.assertEqual(vm_count, len(group.find_leader().replica.voters))
            group.crash(find_followers(group)[0].vm_id)
            group.run_for(2 * REPLACE_AFTER_S)
            self.assertEqual(vm_count, len(group.find_leader().replica.voters))
            self.assert_commits(group, monitor, 1)

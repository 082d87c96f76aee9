"""Guards against full or stalled disks that stop the group or break invariants."""

import testtools

from tanagerpath.core.consensus import Role
from tanagerpath.core.consensus.harness import SimulatedGroup
from tanagerpath.core.consensus.invariants import InvariantMonitor
from tanagerpath.core.consensus.schedule import FaultSchedule
from tanagerpath.core.consensus.tests.scenarios import (
    SETTINGS,
    commit,
    find_followers,
    start_group,
)

SEEDS = (1, 2, 3, 4, 5)
FAULT_SEEDS = range(30, 42)
# One transfer attempt and one election.
TAKE_OVER_S = 2.4
# An idle replica only handles heartbeats and join requests.
MAX_STEPS_PER_S = 60


class TestLeaderWithoutStorage(testtools.TestCase):
    def test_another_replica_leads_and_commits_while_the_disk_is_full(self):
        for seed in SEEDS:
            group, monitor = start_group(seed)
            old = group.find_leader()
            group.refuse_writes(old.vm_id)
            group.propose(old.vm_id, "first write that is refused")
            has_new_leader = group.run_until(
                lambda: group.find_leader() not in (None, old),  # noqa: B023
                TAKE_OVER_S,
            )
            self.assertTrue(has_new_leader, f"seed {seed}")
            self.assertTrue(commit(group, 10), f"seed {seed}")
            self.assertIsNotNone(old.replica, f"seed {seed}: the process ended")
            self.assertIs(Role.FOLLOWER, old.replica.role)
            group.accept_writes(old.vm_id)
            self.assertTrue(group.run_until(group.has_converged, 20.0), f"seed {seed}")
            self.assertEqual([], monitor.violations, f"seed {seed}")

    def test_leadership_is_kept_where_the_others_are_no_quorum(self):
        group, monitor = start_group(1)
        leader = group.find_leader()
        group.crash(find_followers(group)[0].vm_id)
        group.run_for(1.0)
        group.refuse_writes(leader.vm_id)
        group.propose(leader.vm_id, "not committed before the disk accepts writes")
        group.run_for(3.0)
        self.assertIs(leader, group.find_leader())
        refused = group.propose(leader.vm_id, "refused while the disk is full")
        self.assertTrue(group.outcomes[refused].not_run)
        group.accept_writes(leader.vm_id)
        group.run_for(0.2)
        self.assertIs(leader, group.find_leader())
        self.assertTrue(commit(group, 3, limit_s=1.0))
        self.assertEqual([], monitor.violations)


class TestFollowerWithoutStorage(testtools.TestCase):
    def test_it_neither_votes_nor_starts_elections_while_the_disk_is_full(self):
        group, monitor = start_group(2)
        leader = group.find_leader()
        full, other = find_followers(group)
        group.refuse_writes(full.vm_id)
        self.assertTrue(commit(group, 5))
        term = full.replica.term
        group.crash(leader.vm_id)
        group.run_for(10.0)
        self.assertIsNone(group.find_leader())
        self.assertEqual(term, full.replica.term)
        self.assertEqual(term, full.disk.durable.term)
        self.assertIs(Role.FOLLOWER, full.replica.role)
        group.accept_writes(full.vm_id)
        self.assertTrue(group.run_until(lambda: group.find_leader() is other, 5.0))
        self.assertEqual([], monitor.violations)

    def test_long_storage_loss_neither_spins_nor_queues_messages(self):
        """Guards against a queue that grows by one reply with each heartbeat."""
        group, monitor = start_group(3)
        full = find_followers(group)[0]
        group.refuse_writes(full.vm_id)
        group.crash(group.find_leader().vm_id)
        group.start_all()
        group.run_until(group.find_leader, 5.0)
        self.assertTrue(commit(group, 3))
        action_counts = []

        class ActionCounter(InvariantMonitor):
            def record_step(self, vm, event, actions):
                if vm is full:
                    action_counts.append(len(actions))

        ActionCounter.attach(group)
        group.run_for(60.0)
        self.assertLess(len(action_counts), 60 * MAX_STEPS_PER_S)
        del action_counts[:]
        group.accept_writes(full.vm_id)
        group.run_for(0.1)
        self.assertLess(max(action_counts), 20)
        self.assertTrue(group.run_until(group.has_converged, 20.0))
        self.assertEqual([], monitor.violations)


class TestSeededFaults(testtools.TestCase):
    def test_invariants_hold_with_full_disks_and_other_faults(self):
        for seed in FAULT_SEEDS:
            group = SimulatedGroup.from_seed(seed, 3 + seed % 3, **SETTINGS)
            monitor = InvariantMonitor.attach(group)
            schedule = FaultSchedule(group)
            self._schedule_full_disks(group)
            schedule.run(15.0)
            converged = schedule.heal_and_converge()
            self.assertEqual([], monitor.violations, f"seed {seed}")
            self.assertTrue(converged, f"seed {seed} does not converge")

    def _schedule_full_disks(self, group):
        source = group.random
        for _ in range(6):
            vm_id = source.choice(list(group.vms))
            start_s = source.uniform(0.0, 12.0)
            end_s = start_s + source.uniform(0.05, 4.0)
            group.schedule(start_s, lambda vm_id=vm_id: group.refuse_writes(vm_id))
            group.schedule(end_s, lambda vm_id=vm_id: group.accept_writes(vm_id))

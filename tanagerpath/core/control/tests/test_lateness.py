"""Guards against a leader on a slow VM that keeps its leadership for seconds."""

import testtools

from tanagerpath.core import consensus
from tanagerpath.core.consensus.tests.scenarios import find_followers, start_group
from tanagerpath.core.control import LeaderLate, ReplicatedNode
from tanagerpath.core.control.lateness import WINDOW_S, LatenessMonitor
from tanagerpath.core.control.replicated import LATE_TRANSFER_INTERVAL_S

TICK_S = 0.1


class TestLatenessMonitor(testtools.TestCase):
    def find_late_after(self, delay_s, duration_s=6.0):
        """Return when a process whose ticks are late counts as late, or None."""
        monitor = LatenessMonitor()
        monitor.reset(0.0)
        now_s = 0.0
        while now_s < duration_s:
            due_s = now_s + TICK_S
            now_s = due_s + delay_s
            monitor.note_tick(due_s, now_s)
            if monitor.is_late(now_s):
                return now_s
        return None

    def test_process_that_is_late_all_the_time_is_found_within_two_seconds(self):
        for delay_s in (0.2, 0.3, 0.5, 0.6):
            self.assertLess(self.find_late_after(delay_s), 2.2, delay_s)

    def test_loaded_process_is_not_late(self):
        for delay_s in (0.0, 0.01, 0.05, 0.1):
            self.assertIsNone(self.find_late_after(delay_s), delay_s)

    def test_one_stall_of_any_length_is_not_lateness(self):
        for stall_s in (0.5, 1.4, 8.0, 60.0):
            monitor = LatenessMonitor()
            monitor.reset(0.0)
            monitor.note_tick(TICK_S, TICK_S + stall_s)
            now_s = TICK_S + stall_s
            for _ in range(40):
                self.assertFalse(monitor.is_late(now_s), stall_s)
                now_s += TICK_S
                monitor.note_tick(now_s, now_s)


class _FakeReplica:
    """A leader that counts the requested transfers."""

    role = consensus.Role.LEADER
    replica_id = leader_id = "a"
    term = 1

    def __init__(self, was_transferred=False, replaces_voter=False):
        self.was_transferred = was_transferred
        self.replaces_voter = replaces_voter
        self.transfers = []

    def has_lease(self, now_s):
        return True

    def is_replacing_voter(self):
        return self.replaces_voter

    def find_wake_up_s(self):
        return float("inf")

    def step(self, event, now_s):
        if isinstance(event, consensus.TransferRequested):
            self.transfers.append(now_s)
        return []


class _Node(ReplicatedNode):
    """Node without state."""

    def _ignore(self, *arguments):
        return None

    _handle_other_event = _apply_command = _skip = _restore = _ignore
    _take_snapshot = _begin_term = _end_term = _tick = _decide = _ignore


class TestLateLeader(testtools.TestCase):
    def run_late(self, replica, duration_s, delay_s=0.3):
        node = _Node(replica, None, TICK_S)
        now_s, actions = 100.0, []
        while now_s < 100.0 + duration_s:
            actions += node.step([], now_s, now_s)
            now_s = node.find_wake_up_s() + delay_s
        return [one for one in actions if isinstance(one, LeaderLate)]

    def test_late_leader_transfers_its_leadership(self):
        replica = _FakeReplica()
        (report,) = self.run_late(replica, 4.0)
        self.assertEqual(1, len(replica.transfers))
        self.assertLess(replica.transfers[0], 100.0 + 2 * WINDOW_S)
        self.assertGreater(report.lateness_s, 0.0)

    def test_leader_in_time_keeps_its_leadership(self):
        replica = _FakeReplica()
        self.assertEqual([], self.run_late(replica, 10.0, delay_s=0.05))

    def test_leadership_is_not_passed_on_and_on_under_load(self):
        replica = _FakeReplica(was_transferred=True)
        self.run_late(replica, 2.5 * LATE_TRANSFER_INTERVAL_S)
        self.assertGreaterEqual(
            replica.transfers[0], 100.0 + LATE_TRANSFER_INTERVAL_S - 0.5
        )
        self.assertEqual(2, len(replica.transfers))

    def test_leadership_stays_while_a_missing_voter_is_replaced(self):
        """Guards against a snapshot that is sent from the start by the next leader."""
        replica = _FakeReplica(replaces_voter=True)
        self.assertEqual([], self.run_late(replica, 4.0))
        replica.replaces_voter = False
        self.assertEqual(1, len(self.run_late(replica, 4.0)))


class TestReplacedVoter(testtools.TestCase):
    def test_a_leader_knows_while_a_learner_replaces_a_missing_voter(self):
        group, _ = start_group(1, tolerated_losses=consensus.LossTolerance(vms=1))
        lost = find_followers(group)[0]
        leader = group.find_leader().replica
        self.assertFalse(leader.is_replacing_voter())
        group.empty_disk(lost.vm_id)
        group.start(lost.vm_id)
        self.assertTrue(group.run_until(leader.is_replacing_voter, 2.0))
        self.assertTrue(group.run_until(group.has_converged, 2.0))
        self.assertFalse(leader.is_replacing_voter())

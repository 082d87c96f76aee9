"""Guards against join requests that outlive the identity that sent them."""

import random

import testtools

from tanagerpath.core.consensus import LossTolerance
from tanagerpath.core.consensus.config import ReplicaConfig, RestoredState
from tanagerpath.core.consensus.context import ReplicaContext
from tanagerpath.core.consensus.harness import SimulatedGroup
from tanagerpath.core.consensus.invariants import InvariantMonitor
from tanagerpath.core.consensus.joining import PendingJoins
from tanagerpath.core.consensus.messages import JoinRequest

VM = "vm-2"
ADDRESS = "10.0.0.2:7000"
CONFIG = ReplicaConfig(vm_id="vm-1", address="10.0.0.1:7000", vms={})


class TestPendingJoins(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.context = ReplicaContext(CONFIG, RestoredState(), random.Random(1))
        self.context.term = 3
        self.joins = PendingJoins(self.context)

    def request(self, identity, challenge=""):
        request = JoinRequest(f"{VM}.{identity}", VM, ADDRESS, challenge)
        return self.joins.handle_join_request(request)

    def take(self):
        member = self.joins.take_member()
        return member and member.replica_id

    def test_a_replica_that_repeats_its_challenge_is_admitted_once(self):
        self.request("1", self.request("1"))
        self.assertEqual([f"{VM}.1", None], [self.take(), self.take()])

    def test_a_queued_replica_is_not_admitted_in_a_later_term(self):
        """Guards against an identity whose disk was lost and that retires its heir."""
        self.request("1", self.request("1"))
        self.context.term = 5
        self.assertIsNone(self.take())

    def test_a_queued_replica_is_not_admitted_after_its_validity(self):
        self.request("1", self.request("1"))
        self.context.now_s += CONFIG.empty_report_validity_s
        self.assertIsNone(self.take())

    def test_a_challenge_does_not_hold_in_a_later_term(self):
        challenge = self.request("1")
        self.context.term = 5
        self.request("1", challenge)
        self.assertIsNone(self.take())

    def test_a_delayed_request_does_not_replace_a_newer_identity(self):
        challenge = self.request("1")
        self.request("2", self.request("2"))
        self.assertEqual(f"{VM}.2", self.take())
        self.request("1", challenge)
        self.assertIsNone(self.take())


class TestLostWhileQueued(testtools.TestCase):
    def test_a_vm_is_not_retired_for_an_identity_that_was_lost_while_queued(self):
        """Guards against a VM that never votes again once its first leader returns."""
        returns = 0
        for seed in range(1, 9):
            group = SimulatedGroup.from_seed(
                seed, 3, tolerated_losses=LossTolerance(vms=1)
            )
            monitor = InvariantMonitor.attach(group)
            group.start_all()
            self.assertTrue(group.run_until(group.has_converged, 20.0))
            first = group.find_leader()
            other, lost = (vm for vm in group.vms.values() if vm is not first)
            self.lose_twice(group, first, other, lost)
            self.assertTrue(group.run_until(group.has_converged, 20.0), f"seed {seed}")
            returns += self.let_lead(group, first)
            self.assertTrue(group.run_until(group.has_converged, 60.0), f"seed {seed}")
            self.assertEqual([], monitor.violations, f"seed {seed}")
        self.assertGreater(returns, 0)

    def lose_twice(self, group, first, other, lost):
        """Lose a disk again after a leader without a lease has queued its VM."""
        group.empty_disk(lost.vm_id)
        group.run_for(0.3)
        group.block_link(first.vm_id, other.vm_id)
        group.block_link(other.vm_id, first.vm_id)
        group.run_for(0.45)
        group.start(lost.vm_id)
        group.run_for(0.4)
        group.empty_disk(lost.vm_id)
        group.run_for(3.0)
        group.blocked_links.clear()
        group.run_until(lambda: group.find_leader() is not None, 10.0)
        group.run_for(1.0)
        group.start(lost.vm_id)

    def let_lead(self, group, vm):
        """Transfer leadership until a VM leads; return whether it does."""
        for _ in range(400):
            leader = group.find_leader()
            if leader is vm:
                group.run_for(10.0)
                return True
            if leader is not None:
                group.request_transfer(leader.vm_id)
            group.run_for(0.3)
        return False

"""Guards against relays that block the founding or lose or repeat join requests."""

import random

import testtools

from tanagerpath.core.consensus import (
    JoinReply,
    JoinRequest,
    MessageReceived,
    Relay,
    Replica,
    ReplicaConfig,
    RestoredState,
    SendMessage,
    StorageSynced,
    Tick,
)

VMS = {vm_id: f"10.0.0.{n}:7000" for n, vm_id in enumerate("abc")}
REQUEST = JoinRequest("b.1", "b", VMS["b"])


def _make_replica(vm_id):
    config = ReplicaConfig(vm_id=vm_id, address=VMS[vm_id], vms=VMS)
    replica = Replica.from_config(config, RestoredState(), random.Random(1))
    replica.step(Tick(), 0.0)
    replica.step(StorageSynced(1), 0.0)
    return replica


class TestFormation(testtools.TestCase):
    def is_founded(self, replica, **replies):
        """Return whether a replica founds a group after these replies."""
        for vm_id, holds_replica in replies.items():
            reply = JoinReply(
                f"{vm_id}.1", vm_id, VMS[vm_id], False, holds_replica=holds_replica
            )
            event = MessageReceived(f"{vm_id}.1", reply, replica.replica_id)
            replica.step(event, 0.5)
        replica.step(Tick(), 1.0)
        return bool(replica.group_id)

    def test_the_first_vm_with_a_disk_founds_the_group(self):
        """Guards against a relay with the lowest VM id that blocks the founding."""
        replica = _make_replica("b")
        self.assertTrue(self.is_founded(replica, a=False, c=True))
        vm_ids = [member.vm_id for member in replica.membership.members]
        self.assertEqual(["b", "c"], vm_ids)

    def test_a_silent_vm_is_not_taken_for_a_relay(self):
        self.assertFalse(self.is_founded(_make_replica("b"), c=True))
        self.assertFalse(self.is_founded(_make_replica("b"), a=True, c=True))
        self.assertFalse(self.is_founded(_make_replica("a"), b=True))


class TestRelay(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.relay = Relay("a", VMS["a"])

    def test_it_replies_that_it_holds_no_replica(self):
        answer = self.relay.answer(MessageReceived("b.1", REQUEST))
        self.assertIsInstance(answer, SendMessage)
        self.assertEqual(("b.1", VMS["b"]), (answer.receiver, answer.address))
        self.assertFalse(answer.message.holds_replica)
        self.assertIsNone(self.relay.answer(MessageReceived("b.1", answer.message)))

    def test_it_forwards_a_request_to_the_leader_once(self):
        forwarded = self.relay.forward(MessageReceived("b.1", REQUEST), VMS["c"])
        self.assertEqual((VMS["c"], REQUEST), (forwarded.address, forwarded.message))
        again = MessageReceived(forwarded.sender, forwarded.message)
        self.assertIsNone(self.relay.forward(again, VMS["c"]))
        own = MessageReceived("b.1", REQUEST)
        self.assertIsNone(self.relay.forward(own, VMS["a"]))
        self.assertIsNone(self.relay.forward(own, ""))

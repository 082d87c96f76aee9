"""Guards the search for the leader against replies that name no address."""

import random

import testtools

from tanagerpath.core import consensus
from tanagerpath.core.control import (
    ControlNode,
    ControlNodeConfig,
    RequestArrived,
    SendReply,
)
from tanagerpath.core.protocol.internal import StatusRequest
from tanagerpath.core.protocol.leadership import NotLeaderReply

LEADER_ID = "vm-1.1"
LEADER_ADDRESS = "127.0.0.1:11"
ADDRESS = "127.0.0.1:12"


class TestReplicaWithEmptyDisk(testtools.TestCase):
    """Its log names no member until the leader's snapshot is installed."""

    def make_node(self, **vms):
        config = ControlNodeConfig(
            consensus.ReplicaConfig(vm_id="vm-2", address=ADDRESS, vms=vms)
        )
        return ControlNode.from_config(
            config, consensus.RestoredState(), random.Random(1), None, None
        )

    def make_chunk(self, node, address):
        chunk = consensus.SnapshotChunk(
            term=3,
            last_index=9,
            last_term=3,
            membership=consensus.Membership(),
            offset=0,
            text="{",
            complete=False,
            sent_s=0.0,
        )
        receiver = node.replica.replica_id
        return consensus.MessageReceived(LEADER_ID, chunk, receiver, "group", address)

    def ask(self, node, *events):
        actions = node.step([*events, RequestArrived(7, StatusRequest())], 0.0, 0.0)
        return [action.reply for action in actions if isinstance(action, SendReply)]

    def test_the_address_from_the_leaders_messages_is_named(self):
        node = self.make_node()
        replies = self.ask(node, self.make_chunk(node, LEADER_ADDRESS))
        self.assertEqual([NotLeaderReply("vm-1", LEADER_ADDRESS)], replies)

    def test_the_address_from_the_settings_is_named(self):
        node = self.make_node(**{"vm-1": LEADER_ADDRESS})
        replies = self.ask(node, self.make_chunk(node, ""))
        self.assertEqual([NotLeaderReply("vm-1", LEADER_ADDRESS)], replies)

    def test_no_address_is_named_before_a_leader_is_known(self):
        self.assertEqual([NotLeaderReply()], self.ask(self.make_node()))

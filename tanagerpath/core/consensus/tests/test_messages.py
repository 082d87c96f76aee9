"""Guards against replies that are sent too early or confirm too much."""

import random

import testtools

from tanagerpath.core.consensus import (
    AppendReply,
    AppendRequest,
    EntryKind,
    LogEntry,
    Member,
    MemberRole,
    Membership,
    MessageReceived,
    PersistState,
    Replica,
    ReplicaConfig,
    RestoredState,
    SendMessage,
    StaleTerm,
    StorageSynced,
    VoteReply,
    VoteRequest,
)

VMS = {vm_id: f"10.0.0.{n}:7000" for n, vm_id in enumerate("abc")}
MEMBERSHIP = Membership(
    "group",
    tuple(
        Member(f"{vm_id}.1", vm_id, address, MemberRole.VOTER)
        for vm_id, address in VMS.items()
    ),
)
FOUNDING = LogEntry(1, 1, EntryKind.MEMBERSHIP, "", MEMBERSHIP)


def _make_replica(term=7, vm_id="b"):
    config = ReplicaConfig(vm_id=vm_id, address=VMS[vm_id], vms=VMS)
    restored = RestoredState(replica_id=f"{vm_id}.1", term=term, entries=(FOUNDING,))
    return Replica.from_config(config, restored, random.Random(1))


def _receive(replica, message, now_s, receiver="b.1", group_id="group"):
    event = MessageReceived("a.1", message, receiver, group_id)
    return replica.step(event, now_s)


def _find_sent(actions):
    return [action.message for action in actions if isinstance(action, SendMessage)]


class TestReplies(testtools.TestCase):
    def test_rejection_of_an_old_term_carries_no_send_time(self):
        """A send time gave a restarted leader a lease (seed 3054, two leases)."""
        request = AppendRequest(6, 1, 1, (), 1, sent_s=206.3)
        sent = _find_sent(_receive(_make_replica(), request, 0.0))
        self.assertEqual([StaleTerm(7)], sent)

    def test_entries_are_acknowledged_only_after_their_sync(self):
        replica = _make_replica()
        entry = LogEntry(2, 7, EntryKind.COMMAND, "x")
        actions = _receive(replica, AppendRequest(7, 1, 1, (entry,), 1, 0.0), 0.0)
        self.assertEqual([], _find_sent(actions))
        (write,) = [action for action in actions if isinstance(action, PersistState)]
        actions = replica.step(StorageSynced(write.sequence), 0.01)
        self.assertEqual([AppendReply(7, True, 2, 1, 0, 0.0)], _find_sent(actions))

    def test_vote_is_sent_only_after_its_sync(self):
        replica = _make_replica()
        replica.step(StorageSynced(0), 0.0)
        actions = _receive(replica, VoteRequest(8, 1, 1), 5.0)
        self.assertEqual([], _find_sent(actions))
        (write,) = [action for action in actions if isinstance(action, PersistState)]
        self.assertEqual((8, "a.1"), (write.term, write.voted_for))
        actions = replica.step(StorageSynced(write.sequence), 5.01)
        self.assertEqual([VoteReply(8, True)], _find_sent(actions))

    def test_messages_for_another_identity_or_group_are_ignored(self):
        for receiver, group_id in [("b.0", "group"), ("b.1", "other"), ("", "group")]:
            replica = _make_replica()
            replica.step(StorageSynced(0), 0.0)
            actions = _receive(replica, VoteRequest(8, 9, 9), 5.0, receiver, group_id)
            self.assertEqual([], _find_sent(actions), (receiver, group_id))
            self.assertEqual(7, replica.term)

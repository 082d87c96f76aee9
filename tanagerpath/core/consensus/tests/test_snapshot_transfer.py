"""Guards against transfers of snapshots that stall, repeat or mix up chunks."""

import itertools

import testtools

from tanagerpath.core.consensus.events import Snapshot
from tanagerpath.core.consensus.membership import Membership
from tanagerpath.core.consensus.messages import SnapshotChunk
from tanagerpath.core.consensus.snapshot_transfer import (
    MAX_CHUNKS_IN_FLIGHT,
    SnapshotAssembly,
    SnapshotTransfer,
)

PAYLOAD = "".join(f"{number:02}" for number in range(100))
CHUNK_CHARS = 2


def make_transfer(payload=PAYLOAD):
    return SnapshotTransfer(Snapshot(9, 3, Membership(), payload), CHUNK_CHARS)


def make_chunk(offset, payload=PAYLOAD):
    end = offset + CHUNK_CHARS
    text = payload[offset:end]
    complete = end >= len(payload)
    return SnapshotChunk(3, 9, 3, Membership(), offset, text, complete, 0.0)


class TestSnapshotTransfer(testtools.TestCase):
    def test_more_chunks_are_on_the_way_with_each_reply(self):
        transfer = make_transfer()
        sizes = []
        for _ in range(5):
            sizes.append(len(transfer.take_offsets(1.0)))
            transfer.record_received(transfer.sent_chars)
        self.assertEqual([1, 2, 4, 4, MAX_CHUNKS_IN_FLIGHT], sizes)

    def test_a_loss_sends_what_is_unconfirmed_again_one_chunk_first(self):
        transfer = make_transfer()
        transfer.take_offsets(1.0)
        transfer.record_received(2)
        self.assertEqual([2, 4], list(transfer.take_offsets(1.0)))
        transfer.record_loss()
        self.assertEqual([2], list(transfer.take_offsets(2.0)))
        self.assertEqual(2.0, transfer.sent_s)

    def test_a_restarted_member_gets_the_first_chunk_once(self):
        """Guards against a chunk for each reply that reports nothing received."""
        transfer = make_transfer()
        transfer.take_offsets(1.0)
        transfer.record_received(2)
        transfer.take_offsets(1.0)
        transfer.record_received(0)
        self.assertEqual([0], list(transfer.take_offsets(1.0)))
        transfer.record_received(0)
        self.assertEqual([], list(transfer.take_offsets(1.0)))

    def test_a_late_reply_does_not_send_confirmed_chunks_again(self):
        transfer = make_transfer()
        for received in (2, 6, 4):
            transfer.take_offsets(1.0)
            transfer.record_received(received)
        self.assertEqual(6, transfer.received_chars)

    def test_an_empty_snapshot_has_one_chunk(self):
        transfer = make_transfer("")
        self.assertEqual([0], list(transfer.take_offsets(1.0)))
        transfer.record_loss()
        self.assertEqual([0], list(transfer.take_offsets(2.0)))

    def test_a_confirmed_snapshot_repeats_its_last_chunk_after_a_loss(self):
        transfer = make_transfer("abcde")
        for received in (2, 5):
            transfer.take_offsets(1.0)
            transfer.record_received(received)
        transfer.record_loss()
        self.assertEqual([4], list(transfer.take_offsets(2.0)))


class TestSnapshotAssembly(testtools.TestCase):
    def test_chunks_in_any_order_give_the_payload(self):
        payload = "abcde"
        for offsets in itertools.permutations((0, 2, 4)):
            assembly = SnapshotAssembly(9, 3)
            for offset in offsets:
                self.assertFalse(assembly.is_complete)
                assembly.add(make_chunk(offset, payload))
            self.assertTrue(assembly.is_complete, offsets)
            self.assertEqual(payload, assembly.join())

    def test_repeated_chunks_are_ignored(self):
        assembly = SnapshotAssembly(9, 3)
        for offset in (0, 0, 2, 0):
            assembly.add(make_chunk(offset))
        self.assertEqual(4, assembly.received_chars)

    def test_chunks_of_another_snapshot_are_told_apart(self):
        self.assertTrue(SnapshotAssembly(9, 3).is_for(make_chunk(0)))
        self.assertFalse(SnapshotAssembly(9, 2).is_for(make_chunk(0)))

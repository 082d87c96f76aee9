"""Guards the lease of a leader while a member is sent much of the log or a snapshot."""

import random

import anyio
import anyio.lowlevel
import attrs
import testtools
from returns.result import Success

from tanagerpath.codecs.replication import decode_batch
from tanagerpath.core.consensus import (
    AppendReply,
    AppendRequest,
    EntryKind,
    LogEntry,
    Membership,
    MessageReceived,
    PersistState,
    Replica,
    ReplicaConfig,
    RestoredState,
    SendMessage,
    SnapshotChunk,
    StorageSynced,
    VoteRequest,
)
from tanagerpath.runtime import Mailbox
from tanagerpath.runtime.client import HttpReply
from tanagerpath.services.peers import PeerTask

ADDRESS = "127.0.0.1:1"
LEADER_ID = "vm-1.1"
BATCH_CHARS = 262_144
BATCH_COUNT = 16


class FakeClient:
    """Records the exchanges; `during` holds what to do while one of them runs."""

    def __init__(self):
        self.address = ADDRESS
        self.exchanges = []
        self.during = {}

    async def exchange(self, method, path, body, timeout_s):
        number = len(self.exchanges)
        received = decode_batch(body).unwrap()
        self.exchanges.append([event.message for event in received])
        await anyio.lowlevel.checkpoint()
        self.during.pop(number, lambda: None)()
        return Success(HttpReply(204, b""))

    async def close(self):
        pass


def make_batch(number, term=1):
    """Return the batch of the log that holds only the entry `number`, from 1 on."""
    payload = "x" * BATCH_CHARS
    entry = LogEntry(number, 1, EntryKind.COMMAND, payload, None)
    return AppendRequest(term, number - 1, min(number - 1, 1), (entry,), 0, 0.0)


def make_heartbeat(prev_index, sent_s, term=1):
    return AppendRequest(term, prev_index, min(prev_index, 1), (), 0, sent_s)


def make_chunk(number):
    text = "x" * BATCH_CHARS
    return SnapshotChunk(
        1, 9, 1, Membership(), number * BATCH_CHARS, text, False, sent_s=0.0
    )


def send(messages, during=None, receiver="vm-2.1"):
    """Return the exchanges in which a peer sends messages that are queued at once.

    `during` maps the number of an exchange to messages that are posted while it runs.
    """
    client = FakeClient()
    peer = PeerTask(client, Mailbox("owner"))

    def post(posted):
        for message in posted:
            peer.post(SendMessage(receiver, message, ADDRESS, LEADER_ID, "group"))

    for number, posted in (during or {}).items():
        client.during[number] = lambda posted=posted: post(posted)

    async def main():
        post(messages)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(peer.run)
            while not peer.is_idle:
                await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()

    anyio.run(main)
    return client.exchanges


def count_chars(message):
    if isinstance(message, SnapshotChunk):
        return len(message.text)
    return sum(len(entry.payload) for entry in getattr(message, "entries", ()))


def find_heartbeat(exchanges, sent_s):
    """Return the number of the exchange with the heartbeat of a time."""
    for number, messages in enumerate(exchanges):
        if any(getattr(message, "sent_s", None) == sent_s for message in messages):
            return number
    raise AssertionError(f"no heartbeat of {sent_s}")


class TestExchangeLimit(testtools.TestCase):
    def check_limit(self, messages):
        exchanges = send(messages)
        for exchange in exchanges:
            chars = sum(count_chars(message) for message in exchange)
            self.assertTrue(chars <= 2 * BATCH_CHARS, chars)
        self.assertEqual(messages, [sent for part in exchanges for sent in part])

    def test_batches_are_spread_over_exchanges_in_order(self):
        self.check_limit([make_batch(number + 1) for number in range(BATCH_COUNT)])

    def test_chunks_are_spread_over_exchanges_in_order(self):
        self.check_limit([make_chunk(number) for number in range(8)])

    def test_a_message_beyond_the_limit_goes_alone(self):
        batch = make_batch(1)
        entry = attrs.evolve(batch.entries[0], payload="x" * 3 * BATCH_CHARS)
        large = attrs.evolve(batch, entries=(entry,))
        self.assertEqual(
            [[large], [make_batch(2)]],
            send([large, make_batch(2)]),
        )

    def test_small_messages_share_one_exchange(self):
        heartbeats = [make_heartbeat(0, float(number)) for number in range(200)]
        self.assertEqual([heartbeats], send(heartbeats))


class TestOvertaking(testtools.TestCase):
    """Without overtaking, a heartbeat is as old as the queue when it arrives."""

    def setUp(self):
        super().setUp()
        self.batches = [make_batch(number + 1) for number in range(BATCH_COUNT)]
        self.heartbeat = make_heartbeat(BATCH_COUNT, sent_s=5.0)

    def test_a_heartbeat_goes_with_the_next_exchange(self):
        exchanges = send(self.batches, {0: [self.heartbeat]})
        self.assertEqual(1, find_heartbeat(exchanges, 5.0))

    def test_a_heartbeat_overtakes_the_chunks_of_a_snapshot(self):
        chunks = [make_chunk(number) for number in range(8)]
        heartbeat = make_heartbeat(0, sent_s=5.0)
        exchanges = send(chunks, {0: [heartbeat]})
        self.assertIn(heartbeat, exchanges[1])

    def test_a_vote_request_overtakes_batches(self):
        request = VoteRequest(2, 9, 1)
        exchanges = send([*self.batches, request])
        self.assertIn(request, exchanges[0])

    def test_a_message_behind_the_batches_of_its_exchange_stays_there(self):
        sent = [*self.batches[:2], make_heartbeat(2, sent_s=5.0)]
        self.assertEqual([sent], send(sent))

    def test_a_probe_before_the_queued_batches_is_not_changed(self):
        """Guards against a leader that waits for the reply to exactly its probe."""
        probe = make_heartbeat(1, sent_s=5.0)
        exchanges = send(self.batches, {0: [probe]})
        self.assertIn(probe, exchanges[1])

    def test_batches_of_an_earlier_term_change_no_heartbeat(self):
        heartbeat = make_heartbeat(BATCH_COUNT, sent_s=5.0, term=2)
        exchanges = send(self.batches, {0: [heartbeat]})
        self.assertIn(heartbeat, exchanges[1])


class TestFollower(testtools.TestCase):
    """A rejection makes the leader send the batches on the way a second time."""

    def setUp(self):
        super().setUp()
        config = ReplicaConfig(vm_id="vm-2", address=ADDRESS, vms={"vm-2": ADDRESS})
        self.replica = Replica.from_config(config, RestoredState(), random.Random(1))
        self.replies = []

    def step(self, event):
        for action in self.replica.step(event, 0.0):
            if isinstance(action, PersistState):
                self.step(StorageSynced(action.sequence))
            elif isinstance(action, SendMessage):
                self.replies.append(action.message)

    def receive(self, message):
        receiver = self.replica.replica_id
        self.step(MessageReceived(LEADER_ID, message, receiver, "group", ADDRESS))

    def test_no_heartbeat_that_overtakes_a_batch_is_rejected(self):
        batches = [make_batch(number + 1) for number in range(BATCH_COUNT)]
        posted = {
            number: [make_heartbeat(BATCH_COUNT, sent_s=float(number + 1))]
            for number in range(BATCH_COUNT // 2)
        }
        exchanges = send(batches, posted, self.replica.replica_id)
        for message in (message for part in exchanges for message in part):
            self.receive(message)
        replies = [reply for reply in self.replies if isinstance(reply, AppendReply)]
        self.assertEqual([], [reply for reply in replies if not reply.accepted])
        self.assertEqual(BATCH_COUNT, replies[-1].match_index)
        answered = {reply.sent_s for reply in replies}
        self.assertTrue(set(map(float, range(1, BATCH_COUNT // 2 + 1))) <= answered)

"""Guards against replication, writes and replies that wait for a plan of the leader.

Each step of a leader carried out its actions after its plan, which took 50 ms to 150 ms
with 1,080 queued workloads, so that a commit took 200 ms to 400 ms.
"""

import anyio
import testtools

from tanagerpath.core import consensus
from tanagerpath.core.coordination import CallUpstream
from tanagerpath.runtime import Clock, Mailbox
from tanagerpath.services.replica_task import MAX_DECISION_DELAY_S, ReplicaTask

# Steps after which a task that never decides is ended.
MAX_STEPS = 1000
SYNCED = consensus.StorageSynced(1)
FIRST, SECOND = (CallUpstream("u0", "u0@1", "10.0.0.1:80", one) for one in (1, 2))


class _SteppedClock(Clock):
    """Clock that passes only with the events that a node handles."""

    now_s = 0.0

    def read_s(self):
        return self.now_s

    def read_unix_s(self):
        return self.now_s


class _Replica:
    peer_addresses = frozenset()
    lease_end_s = 1.0

    def has_lease(self, now_s):
        return now_s < self.lease_end_s


class _Node:
    """Node with something to decide that writes with its first `writes` steps.

    Each event that it handles takes `event_s`.
    """

    must_decide = True
    led_term = 1

    def __init__(self, clock, writes, event_s=0.0):
        self.replica = _Replica()
        self._clock = clock
        self._writes = writes
        self._event_s = event_s
        self.steps = []
        self.ended = anyio.Event()

    def find_wake_up_s(self):
        return self._clock.now_s

    def handle(self, events, now_s, now_unix_s):
        self._clock.now_s += self._event_s * len(events)
        self._note(*events)
        self._writes -= 1
        return [consensus.PersistState(1, 0, None)] if self._writes >= 0 else []

    def decide(self, now_s, now_unix_s):
        self._note(f"decided at {now_s:.3f}")
        self.ended.set()
        return []

    def _note(self, *steps):
        self.steps += steps
        if len(self.steps) > MAX_STEPS:
            self.ended.set()


class _Peers:
    def retain(self, addresses):
        return None


class _Links:
    def __init__(self):
        self.calls = []

    def call(self, call):
        self.calls.append(call)


class _Task(ReplicaTask):
    def _make_links(self, tasks):
        return None

    def _execute_node_action(self, action):
        return None


class TestDecisionOrder(testtools.TestCase):
    def run_task(self, node, clock):
        """Run a task until it has decided once; writes are synced at once."""
        mailbox, storage = Mailbox("control"), Mailbox("storage")
        task = _Task(node, mailbox, storage, _Peers(), clock)

        async def store():
            while True:
                await storage.receive()
                mailbox.post(SYNCED)

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(store)
                tasks.start_soon(task.run)
                await node.ended.wait()
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_write_is_carried_out_and_its_result_handled_before_decisions(self):
        clock = _SteppedClock()
        node = _Node(clock, writes=1)
        self.run_task(node, clock)
        self.assertEqual([SYNCED, "decided at 0.000"], node.steps[:2])

    def test_decisions_are_made_although_messages_keep_coming(self):
        clock = _SteppedClock()
        node = _Node(clock, writes=MAX_STEPS, event_s=MAX_DECISION_DELAY_S / 4)
        self.run_task(node, clock)
        self.assertEqual([SYNCED] * 4 + ["decided at 0.020"], node.steps[:5])


class TestOrders(testtools.TestCase):
    """Guards against orders under a lease that ran out during a long decision."""

    def setUp(self):
        super().setUp()
        self.clock = _SteppedClock()
        self.node = _Node(self.clock, writes=0)
        mailbox = Mailbox("control")
        self.task = _Task(self.node, mailbox, Mailbox("storage"), _Peers(), self.clock)
        self.task._links = self.links = _Links()

    def decide(self, *calls, duration_s=0.0):
        def decide(now_s, now_unix_s):
            self.clock.now_s += duration_s
            return list(calls)

        self.node.decide = decide
        self.task._decide()

    def test_orders_of_a_short_decision_are_sent_with_it(self):
        self.decide(FIRST, duration_s=0.9)
        self.assertEqual([FIRST], self.links.calls)

    def test_orders_wait_until_the_lease_is_renewed(self):
        self.decide(FIRST, duration_s=1.1)
        self.task._handle([])
        self.assertEqual([], self.links.calls)
        self.node.replica.lease_end_s = 2.0
        self.decide(SECOND)
        self.assertEqual([FIRST, SECOND], self.links.calls)

    def test_orders_of_a_term_that_has_ended_are_never_sent(self):
        for later_term in (None, 2):
            self.node.led_term = 1
            self.node.replica.lease_end_s = self.clock.now_s
            self.decide(FIRST)
            self.node.led_term = later_term
            self.node.replica.lease_end_s = self.clock.now_s + 1.0
            self.task._handle([])
            self.assertEqual([], self.links.calls, later_term)

"""Guards against writes and replies that a node returns only with its decisions."""

import testtools

from tanagerpath.core import consensus
from tanagerpath.core.control import RequestArrived, SendReply
from tanagerpath.core.workloads import requests
from tanagerpath.core.workloads.tests.single_node import SingleNode

TOKEN = 7
CHANGE = RequestArrived(TOKEN, requests.EvacuationChange("a", True, 0))


class TestDecisionStep(testtools.TestCase):
    def setUp(self):
        super().setUp()
        rig = SingleNode()
        rig.run(3.0)
        self.now_s = rig.now_s
        self.node = rig.node
        self.handled = []
        self.instants = []
        dispatcher = self.node._leader_term.dispatcher
        handle = dispatcher.handle

        def record(events, now):
            self.handled += events
            self.instants.append(now)
            return handle(events, now)

        dispatcher.handle = record

    def handle(self, *events):
        return self.node.handle(list(events), self.now_s, self.now_s)

    def commit_change(self):
        """Handle a request and the sync of its entry, and return the last actions."""
        (write,) = [
            one
            for one in self.handle(CHANGE)
            if isinstance(one, consensus.PersistState)
        ]
        return self.handle(consensus.StorageSynced(write.sequence))

    def test_reply_to_a_committed_request_precedes_the_decisions(self):
        replies = [one for one in self.commit_change() if isinstance(one, SendReply)]
        self.assertEqual([TOKEN], [one.token for one in replies])
        self.assertEqual([], self.handled)
        self.assertTrue(self.node.must_decide)
        self.node.decide(self.now_s, self.now_s)
        self.assertEqual(["CommandRecorded"], [type(e).__name__ for e in self.handled])
        self.assertFalse(self.node.must_decide)

    def test_lease_is_read_when_the_decisions_begin(self):
        self.commit_change()
        expires_s = self.now_s + 0.2
        self.node.replica.has_lease = lambda now_s: now_s < expires_s
        self.node.decide(expires_s, expires_s)
        self.assertEqual(
            [(expires_s, False)], [(one.now_s, one.has_lease) for one in self.instants]
        )

    def test_events_of_a_term_that_has_ended_cause_no_decisions(self):
        self.commit_change()
        self.node._step_replica(consensus.StepDownRequested())
        self.handle()
        self.assertFalse(self.node.must_decide)
        self.node.decide(self.now_s, self.now_s)
        self.assertEqual([], self.handled)

"""Guards against a leader that never returns from a step while it hands over.

The replica rejects proposals while a transfer of the leadership waits for its target.
The dispatcher proposed a rejected record again in the same step, without end.
"""

import testtools

from tanagerpath.core.workloads import commands
from tanagerpath.core.workloads.commands import RunEnd, RunOutcome, UpstreamRecord
from tanagerpath.core.workloads.dispatch_context import QueuedEnd
from tanagerpath.core.workloads.specs import TaskId
from tanagerpath.core.workloads.tests.single_node import SingleNode

MAX_ROUNDS = 20


class TooManyRounds(Exception):
    """The dispatcher was called too often within one step."""


class TestTransfer(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.node = SingleNode()
        self.node.run(5.0)
        self.dispatcher = self.node.node._leader_term.dispatcher
        self.leadership = self.node.node.replica._leadership
        record = UpstreamRecord(
            upstream_id="u0", incarnation="u0@1", pool="sort", address="10.0.0.1:80"
        )
        self.dispatcher.registry._open_session(record)
        self.rounds = 0
        handle = self.dispatcher.handle

        def count(events, now):
            self.rounds += 1
            if self.rounds > MAX_ROUNDS:
                raise TooManyRounds("the step does not end")
            return handle(events, now)

        self.dispatcher.handle = count

    def _queue_end(self):
        context = self.dispatcher.context
        end = RunEnd(TaskId("w", 0, 0, 0), 1, RunOutcome.DONE)
        context.ends.append(QueuedEnd(end, context.sessions["u0"], 1))

    def test_step_ends_while_proposals_are_rejected(self):
        self.leadership._transfer_target = "c2.0"
        self._queue_end()
        self.node.now_s += 0.2
        self.node.step()
        self.assertLess(self.rounds, MAX_ROUNDS)
        self.assertEqual([], [one for one in self.node.decisions if one.is_fault])

    def test_rejected_record_is_proposed_again_after_the_transfer(self):
        self.leadership._transfer_target = "c2.0"
        self._queue_end()
        self.node.run(0.5)
        recorded = []
        state = self.node.node.state
        record_runs = state._apply_by_type[commands.RecordRuns]
        state._apply_by_type[commands.RecordRuns] = lambda command: (
            recorded.append(command) or record_runs(command)
        )
        self.rounds = 0
        self.leadership._transfer_target = None
        self.node.run(0.5)
        self.assertEqual([1], [len(command.ends) for command in recorded])

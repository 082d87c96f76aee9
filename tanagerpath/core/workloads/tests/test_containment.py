"""Guards against unexpected errors that cost more than what they occurred in.

An exception in one decision ended the control process. Where its cause was in the log,
each new leader ended in the same way.
"""

import attrs
import testtools

from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.workloads import (
    commands,
)
from tanagerpath.core.workloads.configuration import Configuration
from tanagerpath.core.workloads.requests import (
    ConfigurationQuery,
    ConfigurationReply,
    ConfigurationRequest,
    WaveQuery,
    WaveRequest,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.state import FleetState
from tanagerpath.core.workloads.tests.rig import Rig
from tanagerpath.core.workloads.tests.single_node import SingleNode

SMALL = Resources(8_000, 16_000, 1)
STEP = StepSpec(count=4, needs=SMALL, declared_run_s=1.0)
LEASE_S = 10.5


class InjectedError(Exception):
    """Raised by the tests in place of an unknown fault."""


def _raise(*args, **fields):
    raise InjectedError("injected")


def _list_faults(decisions):
    return [line.fields for line in decisions if line.is_fault]


class TestUpstreamErrors(testtools.TestCase):
    def _poison_lists(self, rig, name):
        """Let each list of runs of an upstream raise an error."""
        lists = rig.dispatcher._driver._lists
        handle = lists.handle

        def handle_or_raise(session, reply, requested_s):
            if session.upstream_id == name:
                raise InjectedError("odd list")
            handle(session, reply, requested_s)

        lists.handle = handle_or_raise
        return lambda: setattr(lists, "handle", handle)

    def test_odd_list_of_an_upstream_costs_this_upstream_only(self):
        rig = Rig(upstreams=2)
        rig.submit("w", attrs.evolve(STEP, count=16), work_s=2.0)
        rig.run(0.5)
        self.assertNotEqual({}, rig.upstreams["u0"].runs)
        self._poison_lists(rig, "u0")
        rig.run(30.0)
        self.assertEqual("completed", rig.find_state("w"))
        fault = _list_faults(rig.decisions)[0]
        self.assertEqual("u0", fault["upstream"])
        self.assertEqual("HoldRequest", fault["request"])
        self.assertIn("odd list", fault["error"])

    def test_upstream_is_used_again_after_its_lease(self):
        rig = Rig(upstreams=1)
        rig.run(0.5)
        repair = self._poison_lists(rig, "u0")
        rig.run(2.0)
        repair()
        rig.submit("w", STEP)
        rig.run(LEASE_S + 3.0)
        self.assertEqual("completed", rig.find_state("w"))

    def test_done_run_of_an_upstream_with_an_error_is_not_acknowledged_unrecorded(self):
        # The rig raises if a task starts after its end as done was acknowledged.
        rig = Rig(upstreams=2)
        rig.submit("w", attrs.evolve(STEP, count=16), work_s=1.0)
        rig.run(0.5)
        lists = rig.dispatcher._driver._lists
        learn = lists._learn_from_end

        def learn_or_raise(session, view, end):
            if session.upstream_id == "u0":
                raise InjectedError("odd end")
            learn(session, view, end)

        lists._learn_from_end = learn_or_raise
        rig.run(1.5)
        lists._learn_from_end = learn
        rig.run(40.0)
        self.assertEqual("completed", rig.find_state("w"))

    def test_error_while_an_upstream_is_driven_costs_this_upstream_only(self):
        rig = Rig(upstreams=2)
        pace = rig.dispatcher._pace_controller
        adjust = pace.adjust
        pace.adjust = lambda one: _raise() if one.upstream_id == "u0" else adjust(one)
        rig.submit("w", STEP)
        rig.run(10.0)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual("u0", _list_faults(rig.decisions)[0]["upstream"])


class TestOtherDecisions(testtools.TestCase):
    def test_unit_that_cannot_be_planned_leaves_the_others_working(self):
        rig = Rig(upstreams=2)
        policy = rig.dispatcher._planner._policy
        rank = policy._rank
        policy._rank = lambda unit, fleet: (
            _raise() if unit.record.workload_id == "odd" else rank(unit, fleet)
        )
        rig.submit("odd", STEP)
        rig.submit("w", STEP)
        rig.run(6.0)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual("odd", _list_faults(rig.decisions)[0]["workload"])
        policy._rank = rank
        rig.run(10.0)
        self.assertEqual("completed", rig.find_state("odd"))

    def test_error_in_the_upkeep_of_vms_leaves_the_work_running(self):
        rig = Rig(upstreams=2)
        rig.dispatcher._upkeep._begin = _raise
        rig.apply(
            commands.DeclareWave(
                wave=1, vm_ids=("u0",), due_at_unix_s=rig.now_s + 5, most_at_once=1
            )
        )
        rig.submit("w", STEP)
        rig.run(6.0)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertNotEqual([], _list_faults(rig.decisions))


class TestNode(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.node = SingleNode()
        self.node.run(5.0)
        self.configuration = Configuration(version=1, document="first")
        self.node.ask(1, ConfigurationRequest(self.configuration))

    def _assert_serves(self, token):
        reply = self.node.ask(token, ConfigurationQuery())
        self.assertEqual(ConfigurationReply(1, "first"), reply)

    def test_error_in_a_request_is_answered_and_costs_this_request_only(self):
        handler = self.node.node._leader_term.request_handler
        handler._handlers[WaveQuery] = _raise
        reply = self.node.ask(2, WaveQuery(7))
        self.assertIsInstance(reply, ErrorBody)
        self.assertEqual("RequestFault", reply.type)
        self.assertTrue(reply.not_run)
        self._assert_serves(3)

    def test_entry_that_cannot_be_applied_is_passed_over_with_its_index(self):
        state = self.node.node.state
        state._apply_by_type[commands.DeclareWave] = _raise
        index = state.applied_index
        reply = self.node.ask(
            2, WaveRequest(wave=1, vm_ids=("a",), duration_s=5.0, most_at_once=1)
        )
        self.assertTrue(reply.may_commit)
        fault = _list_faults(self.node.decisions)[0]
        self.assertEqual(index + 1, fault["index"])
        self.assertEqual("DeclareWave", fault["command"])
        self.node.run(5.0)
        self._assert_serves(3)

    def test_index_of_an_entry_that_cannot_be_applied_counts_as_applied(self):
        state = FleetState()
        state._apply_by_type[commands.DeclareWave] = _raise
        self.node.node._state = state
        self.node.ask(
            2, WaveRequest(wave=1, vm_ids=("a",), duration_s=5.0, most_at_once=1)
        )
        self.assertEqual(self.node.node.replica.commit_index, state.applied_index)

    def test_other_error_in_a_decision_ends_the_term_and_not_the_process(self):
        term = self.node.node.replica.term
        self.node.node._leader_term.dispatcher._handle_committed = _raise
        reply = self.node.ask(
            2, WaveRequest(wave=1, vm_ids=("a",), duration_s=5.0, most_at_once=1)
        )
        self.assertIsNotNone(reply)
        self.assertEqual(1, self.node.faults)
        self.node.run(5.0)
        self.assertGreater(self.node.node.replica.term, term)
        self._assert_serves(3)

    def test_error_at_the_begin_of_a_term_ends_the_term_only(self):
        node = self.node.node
        make_policy = node._make_policy
        node._make_policy = _raise
        node._step_down()
        self.node.run(5.0)
        self.assertGreaterEqual(self.node.faults, 1)
        node._make_policy = make_policy
        self.node.run(5.0)
        self._assert_serves(3)

"""Guards against orders on evacuations that are lost, refused or applied late."""

import json

import attrs
import testtools

from tanagerpath.codecs.state import JsonFleetCodec
from tanagerpath.core.consensus import NotLeader
from tanagerpath.core.control import RequestArrived
from tanagerpath.core.protocol.leadership import NotLeaderReply
from tanagerpath.core.workloads import FleetState, commands, requests
from tanagerpath.core.workloads.commands import RunStart, SetEvacuation
from tanagerpath.core.workloads.events import ReportEvacuation
from tanagerpath.core.workloads.records import EvacuationRecord
from tanagerpath.core.workloads.request_handler import (
    WorkloadProposal,
    WorkloadRequestHandler,
)
from tanagerpath.core.workloads.specs import StepSpec, TaskId
from tanagerpath.core.workloads.tests.single_node import SingleNode
from tanagerpath.core.workloads.tests.zones import TERMS, ZoneRig

TOKEN = 7


class Operator:
    """Sends the two requests of an order, as a control process does."""

    def __init__(self, rig):
        self.rig = rig
        self.open = []

    @property
    def handler(self):
        return WorkloadRequestHandler(
            self.rig.state, self.rig.dispatcher, "10.0.0.9:1", tuple
        )

    def query(self, zone="a"):
        reply, proposals = self.handler.handle(
            RequestArrived(TOKEN, requests.EvacuationQuery(zone)), self.rig.instant
        )
        assert not proposals
        return reply

    def change(self, is_evacuated, revision, zone="a"):
        """Send a change; return the reply, or keep the proposal that it waits for."""
        request = requests.EvacuationChange(zone, is_evacuated, revision)
        reply, proposals = self.handler.handle(
            RequestArrived(TOKEN, request), self.rig.instant
        )
        self.open += proposals
        return reply

    def commit(self):
        """Apply the open proposals; return their replies."""
        replies = []
        for proposal in self.open:
            applied = self.rig.apply(proposal.command)
            replies += [sent.reply for sent in proposal.answer(applied, self.rig.state)]
        self.open = []
        return replies

    def order(self, is_evacuated, zone="a"):
        """Carry out an order; return the reply."""
        reply = self.change(is_evacuated, self.query(zone).revision, zone)
        return reply or self.commit()[0]


class TestOrders(testtools.TestCase):
    """Guards against orders that are lost, refused for good, or take effect late."""

    def setUp(self):
        super().setUp()
        self.rig = ZoneRig(upstreams=2, terms=TERMS)
        self.operator = Operator(self.rig)

    def is_evacuated(self):
        return self.rig.state.is_evacuated("a")

    def test_orders_are_acknowledged_and_idempotent(self):
        for is_evacuated in (True, True, False, False, True):
            reply = self.operator.order(is_evacuated)
            self.assertIsInstance(reply, requests.EvacuationReply)
            self.assertEqual(is_evacuated, reply.is_evacuated)
            self.assertEqual(is_evacuated, self.is_evacuated())

    def test_leader_killed_after_the_record_and_before_the_reply(self):
        self.operator.change(True, self.operator.query().revision)
        self.operator.commit()
        self.rig.start_term(2)
        self.assertTrue(self.operator.order(True).is_evacuated)
        self.assertTrue(self.operator.order(False).revision > 0)
        self.assertFalse(self.is_evacuated())

    def test_leader_killed_before_the_record(self):
        self.operator.change(True, self.operator.query().revision)
        self.operator.open = []
        self.rig.start_term(2)
        self.assertEqual(
            requests.EvacuationReply("a", True, 1), self.operator.order(True)
        )

    def test_request_repeated_inside_the_system_takes_effect_once(self):
        # A link repeats a request without a reply at the next leader.
        first = self.operator.order(True)
        self.rig.start_term(2)
        self.assertEqual(first, self.operator.change(True, 0))
        self.assertEqual(1, self.rig.state.find_evacuation("a").revision)

    def test_two_copies_that_are_proposed_at_once_take_effect_once(self):
        self.operator.change(True, 0)
        self.operator.change(True, 0)
        expected = requests.EvacuationReply("a", True, 1)
        self.assertEqual([expected, expected], self.operator.commit())

    def test_delayed_copy_fails_once_a_later_order_took_effect(self):
        cases = [
            # The copy, and the orders that were answered before it arrives.
            (True, (True, False)),
            (True, (False,)),
            (False, (True,)),
            (False, (False, True)),
        ]
        for is_evacuated, orders in cases:
            revision = self.operator.query().revision
            for order in orders:
                self.operator.order(order)
            reply = self.operator.change(is_evacuated, revision)
            self.assertEqual("EvacuationSuperseded", reply.type)
            self.assertEqual(orders[-1], self.is_evacuated(), (is_evacuated, orders))

    def test_order_that_is_repeated_after_the_withdrawal_is_a_new_one(self):
        self.operator.order(True)
        self.operator.order(False)
        self.assertTrue(self.operator.order(True).is_evacuated)

    def test_one_of_two_operators_has_to_repeat_its_order(self):
        revision = self.operator.query().revision
        self.operator.change(True, revision)
        self.operator.change(False, revision)
        first, second = self.operator.commit()
        self.assertIsInstance(first, requests.EvacuationReply)
        self.assertEqual("EvacuationSuperseded", second.type)
        self.assertTrue(self.is_evacuated())
        self.assertFalse(self.operator.order(False).is_evacuated)

    def test_zones_are_independent(self):
        self.operator.order(True, "a")
        self.operator.order(True, "b")
        self.operator.order(False, "a")
        self.assertEqual(
            {"a": False, "b": True},
            {zone: self.rig.state.is_evacuated(zone) for zone in "ab"},
        )

    def test_only_zones_of_the_settings_are_accepted(self):
        known = attrs.evolve(TERMS, availability_zones=("a", "b"))
        self.operator = Operator(ZoneRig(terms=known))
        self.assertEqual("UnknownZone", self.operator.query("c").type)
        self.assertEqual(0, self.operator.query("b").revision)

    def test_without_a_list_each_name_of_normal_length_is_accepted(self):
        self.assertEqual(0, self.operator.query("elsewhere").revision)
        for name in ("", "x" * 64):
            self.assertEqual("UnknownZone", self.operator.query(name).type)

    def test_evacuation_of_a_zone_that_the_settings_dropped_can_be_withdrawn(self):
        self.operator.order(True)
        self.rig.terms = attrs.evolve(TERMS, availability_zones=("b",))
        self.rig.start_term(2)
        self.assertFalse(self.operator.order(False).is_evacuated)

    def test_lost_leadership_is_answered_with_the_uncertainty(self):
        proposal = WorkloadProposal(SetEvacuation("a", True, 0), (TOKEN,))
        (sent,) = proposal.reject(NotLeader())
        self.assertEqual(NotLeaderReply(may_commit=False), sent.reply)


class TestFirstSeconds(testtools.TestCase):
    def test_order_is_acknowledged_without_a_configuration(self):
        node = SingleNode()
        node.run(3.0)
        self.assertIsNone(node.node.state.configuration)
        found = node.ask(1, requests.EvacuationQuery("a"))
        stored = node.ask(2, requests.EvacuationChange("a", True, found.revision))
        self.assertEqual(requests.EvacuationReply("a", True, 1), stored)
        self.assertIn("zone evacuated", [one.name for one in node.decisions])


class TestStoredState(testtools.TestCase):
    """Guards against an evacuation that a snapshot loses, and unreadable old ones."""

    def make_state(self):
        state = FleetState()
        state.apply(1, SetEvacuation("a", True, 0))
        state.apply(2, SetEvacuation("b", True, 0))
        state.apply(3, SetEvacuation("b", False, 1))
        return state

    def test_snapshot_keeps_the_zones_and_their_revisions(self):
        codec = JsonFleetCodec()
        text = codec.encode_snapshot(self.make_state().make_snapshot())
        restored = FleetState.from_snapshot(codec.decode_snapshot(text))
        self.assertEqual(self.make_state().evacuations, restored.evacuations)
        self.assertEqual(EvacuationRecord("b", False, 2), restored.find_evacuation("b"))
        self.assertFalse(restored.apply(4, SetEvacuation("b", True, 0)).changed)

    def test_snapshot_of_an_earlier_version_is_read(self):
        codec = JsonFleetCodec()
        plain = json.loads(codec.encode_snapshot(FleetState().make_snapshot()))
        del plain["evacuations"]
        restored = FleetState.from_snapshot(codec.decode_snapshot(json.dumps(plain)))
        self.assertEqual({}, restored.evacuations)

    def test_command_is_read_from_the_log(self):
        codec = JsonFleetCodec()
        command = SetEvacuation("a", True, 3)
        self.assertEqual(command, codec.decode_command(codec.encode_command(command)))

    def test_each_replica_reports_the_zones_also_from_a_snapshot(self):
        node = SingleNode().node
        node._restore(self.make_state().make_snapshot())
        self.assertEqual(
            [ReportEvacuation("a", True), ReportEvacuation("b", False)], node._actions
        )

    def test_start_that_follows_the_order_in_the_log_is_refused(self):
        rig = ZoneRig(upstreams=2, terms=TERMS)
        rig.submit("scan", StepSpec())
        record = rig.upstreams["u0"].record
        start = RunStart(TaskId("scan", 0, 0, 0), 1, "u0", record.incarnation)
        rig.evacuate("a")
        applied = rig.state.apply(99, commands.RecordRuns(starts=(start,)))
        self.assertEqual((), applied.starts)

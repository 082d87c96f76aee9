"""Guards against starts in an evacuated zone by any path, and a zone left unused."""

import testtools

from tanagerpath.core.workloads.commands import SetEvacuation
from tanagerpath.core.workloads.orders import HoldRequest, StartRequest
from tanagerpath.core.workloads.runs import RunPhase
from tanagerpath.core.workloads.tests.silence import SMALL, WHOLE, make_step
from tanagerpath.core.workloads.tests.zones import (
    EVACUATION_S,
    TERMS,
    SlowZoneRig,
    ZoneRig,
)


class TestDecisions(testtools.TestCase):
    def test_nothing_starts_in_the_zone_until_the_withdrawal(self):
        rig = ZoneRig(upstreams=4, terms=TERMS)
        rig.run(0.5)
        rig.evacuate("a")
        rig.submit("scan", make_step(32), work_s=1.0)
        rig.run(0.5)
        self.assertEqual({"b"}, rig.list_zones("scan"))
        # The withdrawal is followed by a plan at once.
        rig.evacuate("a", False)
        self.assertEqual({"a", "b"}, rig.list_zones("scan"))

    def test_runs_that_have_started_continue(self):
        rig = ZoneRig(upstreams=2, terms=TERMS)
        rig.submit("scan", make_step(2, WHOLE), work_s=8.0)
        rig.run(0.5)
        self.assertEqual({"a", "b"}, rig.list_zones("scan"))
        rig.evacuate("a")
        rig.run(9.0)
        self.assertEqual("completed", rig.find_state("scan"))
        self.assertEqual(2, len(rig.starts))

    def test_confirmation_that_is_under_way_is_awaited(self):
        # The start was carried out, so its run continues.
        rig = ZoneRig(upstreams=1, terms=TERMS)
        rig.run(0.5)
        rig.reply_delays_s["u0"] = 0.3
        rig.submit("scan", make_step(1), work_s=3.0)
        rig.run(0.1)
        self.assertEqual([RunPhase.ORDERED], rig.list_phases("a"))
        rig.evacuate("a")
        rig.run(6.0)
        self.assertEqual("completed", rig.find_state("scan"))
        self.assertEqual(1, len(rig.starts))

    def test_recorded_start_without_a_confirmation_is_stopped_and_made_elsewhere(self):
        rig = ZoneRig(upstreams=1, terms=TERMS)
        rig.run(0.5)
        rig.late_order_rate = 1.0
        rig.submit("scan", make_step(1), work_s=0.5)
        rig.run(0.1)
        self.assertEqual([RunPhase.ORDERED], rig.list_phases("a"))
        rig.evacuate("a")
        rig.run(0.6)
        self.assertEqual([RunPhase.STOPPING], rig.list_phases("a"))
        self.assertEqual(1, rig.counts["run stopped: zone evacuated"])
        rig.late_order_rate = 0.0
        rig.add_upstream("u1")
        rig.run(25.0)
        self.assertEqual("completed", rig.find_state("scan"))
        self.assertEqual({2}, {one.run for one in rig.starts})

    def test_start_that_is_recorded_with_the_order_is_never_sent(self):
        rig = SlowZoneRig(upstreams=2, terms=TERMS)
        rig.run(0.5)
        rig.commit_delay_s = 0.2
        rig.submit("scan", make_step(16), work_s=1.0)
        rig.run(0.1)
        # Both commands are applied in one step of the leader.
        rig.upstreams["u0"].unreachable = True
        (due_s,) = [
            due_s for due_s, _, (kind, *_) in rig._scheduled if kind == "commit"
        ]
        order = ("commit", SetEvacuation("a", True, 0), None)
        rig._schedule(due_s - rig.now_s, order)
        rig.evacuated_at_s = rig.now_s
        rig.run(3.0)
        self.assertEqual({"b"}, rig.start_zones)
        self.assertEqual(0, rig.counts["run stopped: zone evacuated"])
        rig.run(5.0)
        self.assertEqual("completed", rig.find_state("scan"))

    def test_proposed_start_is_refused_and_made_elsewhere(self):
        rig = SlowZoneRig(upstreams=2, terms=TERMS)
        rig.run(0.5)
        rig.commit_delay_s = 0.3
        rig.submit("scan", make_step(2, WHOLE), work_s=1.0)
        rig.run(0.1)
        self.assertEqual([RunPhase.PROPOSED], rig.list_phases("a"))
        rig.evacuate("a")
        rig.run(4.0)
        self.assertEqual("completed", rig.find_state("scan"))
        self.assertEqual({"b"}, rig.start_zones)

    def test_gang_that_is_partly_recorded_starts_whole_elsewhere(self):
        rig = SlowZoneRig(upstreams=6, terms=TERMS)
        rig.run(0.5)
        rig.commit_delay_s = 0.3
        rig.submit("gang", make_step(6, WHOLE, gang=True), work_s=1.0)
        rig.run(0.1)
        self.assertEqual(3, len(rig.list_phases("a")))
        rig.evacuate("a")
        rig.run(8.0)
        self.assertEqual([], rig.starts)
        rig.evacuate("a", False)
        rig.run(3.0)
        self.assertEqual("completed", rig.find_state("gang"))

    def test_new_leader_starts_nothing_in_the_zone(self):
        rig = ZoneRig(upstreams=4, terms=TERMS)
        rig.run(0.5)
        rig.evacuate("a")
        rig.start_term(2)
        rig.submit("scan", make_step(32), work_s=1.0)
        rig.run(7.0)
        self.assertEqual("completed", rig.find_state("scan"))
        self.assertEqual({"b"}, rig.start_zones)

    def test_new_leader_does_not_repeat_an_unconfirmed_start(self):
        rig = ZoneRig(upstreams=1, terms=TERMS)
        rig.run(0.5)
        rig.late_order_rate = 1.0
        rig.submit("scan", make_step(1), work_s=0.5)
        rig.run(0.1)
        rig.evacuate("a")
        rig.late_order_rate = 0.0
        rig.start_term(2)
        rig.run(15.0)
        # The delayed copy has an outdated fencing token.
        self.assertEqual([], rig.starts)

    def test_upstream_that_registers_later_is_not_used(self):
        rig = ZoneRig(upstreams=0, terms=TERMS)
        rig.evacuate("a")
        rig.submit("scan", make_step(1))
        rig.add_upstream("u0")
        rig.run(1.0)
        self.assertEqual([], rig.starts)
        self.assertFalse(rig.dispatcher.context.sessions["u0"].is_usable)
        rig.restart_upstream("u0")
        rig.run(1.0)
        self.assertEqual([], rig.starts)
        rig.evacuate("a", False)
        rig.run(0.5)
        self.assertEqual(1, len(rig.starts))

    def test_claims_in_the_zone_lapse_and_guaranteed_work_starts_in_time(self):
        rig = ZoneRig(upstreams=4, terms=TERMS)
        rig.submit("scan", make_step(4, WHOLE), work_s=30.0)
        rig.run(1.0)
        for upstream in rig.upstreams.values():
            upstream.stop_s = 0.6
        rig.submit("check", make_step(2, WHOLE, gang=True), queue="urgent")
        rig.run(0.2)
        self.assertEqual(1, rig.counts["room claimed"])
        rig.evacuate("a")
        self.assertLess(rig.measure_start("check"), TERMS.guaranteed_start_s)
        self.assertEqual({"b"}, rig.list_zones("check"))

    def test_reservation_in_the_zone_is_made_anew(self):
        rig = ZoneRig(upstreams=4, terms=TERMS)
        rig.submit("scan", make_step(4, SMALL, gang=False), work_s=3.0)
        rig.run(0.5)
        rig.submit("gang", make_step(2, WHOLE, gang=True), queue="batch", work_s=1.0)
        rig.run(0.3)
        rig.evacuate("a")
        rig.run(8.0)
        self.assertEqual("completed", rig.find_state("gang"))
        self.assertEqual("completed", rig.find_state("scan"))

    def test_upstream_on_probation_in_the_zone_is_not_probed(self):
        rig = ZoneRig(upstreams=1, terms=TERMS)
        rig.upstreams["u0"].fails_all = True
        for number in range(4):
            rig.submit(f"w{number}", make_step(1))
        rig.run(3.0)
        rig.evacuate("a")
        rig.run(1.0)
        count = len(rig.starts)
        rig.run(15.0)
        self.assertEqual(count, len(rig.starts))

    def test_wait_report_names_the_zone(self):
        rig = ZoneRig(upstreams=1, terms=TERMS)
        rig.run(0.5)
        rig.evacuate("a")
        rig.submit("check", make_step(1), queue="urgent")
        rig.run(0.5)
        (report,) = [
            one.fields for one in rig.decisions if one.name == "urgent work waits"
        ]
        self.assertEqual("no capacity, evacuated: a", report["reason"])
        self.assertEqual((1, 0), (report["evacuated"], report["usable"]))

    def test_order_and_withdrawal_are_logged_once(self):
        rig = ZoneRig(upstreams=2, terms=TERMS)
        rig.evacuate("a")
        rig.evacuate("a", False)
        lines = [one for one in rig.decisions if one.name.startswith("zone ")]
        self.assertEqual(
            ["zone evacuated", "zone evacuation withdrawn"], [one.name for one in lines]
        )
        self.assertEqual(
            ("a", 1), (lines[0].fields["zone"], lines[0].fields["upstreams"])
        )


class TestStartOrders(testtools.TestCase):
    """Guards against a start that is carried out long after it was decided.

    A process that was frozen may send it on, and a network may delay it.
    """

    def find_start(self, rig):
        calls = []
        rig._call = calls.append
        rig.submit("late", make_step(1))
        rig.run(0.2)
        starts = [one for one in calls if isinstance(one.request, StartRequest)]
        return starts[0]

    def test_copy_that_arrives_after_the_time_limit_is_refused(self):
        rig = ZoneRig(upstreams=1, terms=TERMS)
        rig.submit("scan", make_step(1), work_s=1.0)
        rig.run(4.0)
        call = self.find_start(rig)
        fake = rig.upstreams["u0"]
        rig.now_s += EVACUATION_S
        fake.handle(call.request)
        self.assertEqual("scan", rig.starts[-1].task.workload_id)

    def test_lease_of_a_start_is_unchanged_without_a_short_time_limit(self):
        rig = ZoneRig(upstreams=1)
        rig.submit("scan", make_step(1), work_s=1.0)
        rig.run(4.0)
        call = self.find_start(rig)
        lease_s = (call.request.lease_until_ms / 1000) - rig.now_s
        self.assertGreater(lease_s, rig.terms.leases.lease_s - 0.5)

    def test_renewals_keep_their_full_lease(self):
        rig = ZoneRig(upstreams=1, terms=TERMS)
        rig.submit("scan", make_step(1), work_s=20.0)
        rig.run(5.0)
        session = rig.dispatcher.context.sessions["u0"]
        self.assertIsInstance(session.hold.request, HoldRequest)
        remaining_s = session.lease_until_ms / 1000 - rig.now_s
        self.assertGreater(remaining_s, EVACUATION_S)

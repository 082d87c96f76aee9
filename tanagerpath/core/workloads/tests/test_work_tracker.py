"""Guards against figures on the work ahead that are out of date or cost too much."""

import attrs
import testtools
from testtools import matchers

from tanagerpath.core.workloads import DispatchTerms, work_tracker
from tanagerpath.core.workloads.admission import Admitted, Refused
from tanagerpath.core.workloads.events import AdmissionDecided, LogDecision
from tanagerpath.core.workloads.records import WorkloadRecord
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec, WorkloadSpec
from tanagerpath.core.workloads.tests.rig import Rig
from tanagerpath.core.workloads.work_tracker import (
    MAX_COMPUTED_ITEMS,
    REFRESHED_ITEMS,
    WorkTracker,
)

# A task takes an upstream of the rig whole.
WHOLE = StepSpec(needs=Resources(8_000, 16_000, 8), declared_run_s=1.0)


class _Tracked(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.rig = Rig(upstreams=2, terms=DispatchTerms(admission="useful"))
        self.rig.run(1.0)
        self.track()

    def track(self):
        self.tracker = self.rig.dispatcher.admission._tracker

    def list_waiting(self):
        waiting = self.tracker.find_outlook("sort").waiting
        return {item.workload_id: item.demand.upstreams for item in waiting}

    def decide(self, name="new", queue="scan", step=WHOLE, **fields):
        spec = WorkloadSpec(workload_id=name, steps=(step,), **fields)
        found = self.rig.state.find_queue(queue)
        return self.rig.dispatcher.admission.decide(
            spec, found, "couriers", self.rig.instant
        )


class TestWaitingWork(_Tracked):
    def test_running_and_ended_tasks_do_not_count(self):
        self.assertEqual({}, self.list_waiting())
        self.rig.submit("a", attrs.evolve(WHOLE, count=5), work_s=2.0)
        self.assertEqual({"a": 3.0}, self.list_waiting())
        self.rig.run(12.0)
        self.assertEqual("completed", self.rig.find_state("a"))
        self.assertEqual({}, self.list_waiting())

    def test_cancelled_work_does_not_count(self):
        self.rig.submit("a", attrs.evolve(WHOLE, count=5))
        self.assertEqual({"a": 3.0}, self.list_waiting())
        self.rig.cancel("a")
        self.assertEqual({}, self.list_waiting())

    def test_later_steps_count_once_they_may_begin(self):
        second = attrs.evolve(WHOLE, count=9, depends_on=(0,))
        self.rig.submit("a", attrs.evolve(WHOLE, count=3), second, work_s=1.0)
        self.assertEqual({"a": 1.0}, self.list_waiting())
        self.rig.run(3.5)
        self.assertThat(self.list_waiting()["a"], matchers.GreaterThan(2.0))

    def test_long_running_and_repeated_work_does_not_count(self):
        self.rig.submit("a", attrs.evolve(WHOLE, count=5, long_running=True))
        self.rig.submit("b", attrs.evolve(WHOLE, count=5), repeat_count=2)
        self.assertEqual({}, self.list_waiting())

    def test_new_leader_begins_with_the_unfinished_work(self):
        self.rig.submit("a", attrs.evolve(WHOLE, count=5), work_s=2.0)
        self.rig.run(1.0)
        self.rig.start_term(2)
        self.track()
        self.assertEqual({"a": 3.0}, self.list_waiting())

    def test_upstreams_that_did_not_reply_to_a_new_leader_count(self):
        # Without their capacity, a new leader would refuse work for no reason.
        before = self.tracker.find_capacity("sort").rates
        self.rig.start_term(2)
        self.track()
        self.assertEqual(before, self.tracker.find_capacity("sort").rates)

    def test_lost_upstreams_do_not_count(self):
        self.rig.upstreams["u0"].unreachable = True
        self.rig.run(4.0)
        self.assertEqual(1.0, self.tracker.find_capacity("sort").rates.upstreams)


class TestDecisions(_Tracked):
    def fill(self):
        """Let urgent work wait that takes the pool minutes."""
        self.rig.submit("fill", attrs.evolve(WHOLE, count=4000), queue="urgent")

    def would_cover(self, count, queue="urgent", organisation="couriers"):
        spec = WorkloadSpec(
            workload_id="new", steps=(attrs.evolve(WHOLE, count=count),)
        )
        record = WorkloadRecord(spec, queue, organisation, self.rig.now_s)
        return self.tracker.would_cover(record, self.rig.state.find_queue(queue))

    def test_guarantee_covers_what_fits_into_the_rest_of_it(self):
        # 16 accelerators are guaranteed, and a task takes 8 of them.
        self.assertTrue(self.would_cover(2))
        self.assertFalse(self.would_cover(3))
        self.assertFalse(self.would_cover(1, queue="scan"))
        self.assertFalse(self.would_cover(1, organisation="others"))
        self.rig.submit("a", WHOLE, queue="urgent", work_s=1.0)
        self.assertTrue(self.would_cover(1))
        self.assertFalse(self.would_cover(2))
        # The plan that takes the cover away may be still to come.
        self.rig.cancel("a")
        self.assertTrue(self.would_cover(2))

    def test_late_work_is_refused_unless_it_is_repeated_or_long_running(self):
        self.fill()
        cases = (
            (Refused, self.decide()),
            (Admitted, self.decide(repeat_count=3, interval_s=1.0)),
            (Admitted, self.decide(step=attrs.evolve(WHOLE, long_running=True))),
        )
        for expected, decision in cases:
            self.assertIsInstance(decision, expected)

    def test_refusal_is_logged_with_its_figures(self):
        self.fill()
        refused = self.decide()
        effects = self.rig.dispatcher.context.take_effects()
        (line,) = [one for one in effects if isinstance(one, LogDecision)]
        self.assertEqual("workload refused", line.name)
        given = {"workload": "new", "queue": "scan", "organisation": "couriers"}
        self.assertEqual(given, {name: line.fields[name] for name in given})
        for name, value in refused.figures.items():
            self.assertEqual(value, line.fields[name])
        self.assertIn(AdmissionDecided("scan", "couriers", "refused"), effects)

    def test_acceptance_in_spite_of_much_work_ahead_is_logged(self):
        self.rig.submit("fill", attrs.evolve(WHOLE, count=400), queue="urgent")
        admitted = self.decide()
        self.assertIsInstance(admitted, Admitted)
        effects = self.rig.dispatcher.context.take_effects()
        (line,) = [one for one in effects if isinstance(one, LogDecision)]
        self.assertEqual("workload has to wait", line.name)
        self.assertEqual(1, line.fields["workloads_ahead"])

    def test_decisions_are_counted_by_queue_and_organisation(self):
        self.decide()
        effects = self.rig.dispatcher.context.take_effects()
        self.assertIn(AdmissionDecided("scan", "couriers", "admitted"), effects)


class TestCost(testtools.TestCase):
    """Guards against decisions whose cost grows with the fleet or the backlog."""

    def setUp(self):
        super().setUp()
        self.computed = 0
        self.walks = 0
        make_item = work_tracker.make_item
        from_sessions = work_tracker.PoolCapacity.from_sessions

        def count_item(*arguments):
            self.computed += 1
            return make_item(*arguments)

        def count_walk(*arguments):
            self.walks += 1
            return from_sessions(*arguments)

        self.patch(work_tracker, "make_item", count_item)
        self.patch(work_tracker.PoolCapacity, "from_sessions", count_walk)
        self.rig = Rig(upstreams=8, terms=DispatchTerms(admission="useful"))
        self.rig.run(1.0)
        for number in range(100):
            self.rig.submit(f"w{number}", WHOLE)
        self.tracker = WorkTracker(self.rig.dispatcher.context)
        while self.tracker._changed or not self.computed:
            self.tracker.find_outlook("sort")
        self.computed = self.walks = 0

    def test_first_decisions_of_a_leader_share_the_work(self):
        tracker = WorkTracker(self.rig.dispatcher.context)
        tracker.find_outlook("sort")
        self.assertEqual(MAX_COMPUTED_ITEMS + REFRESHED_ITEMS, self.computed)

    def test_decision_computes_what_has_changed(self):
        for _ in range(10):
            self.tracker.find_outlook("sort")
        self.assertEqual(10 * REFRESHED_ITEMS, self.computed)
        self.assertEqual(0, self.walks)
        self.tracker.note_changed("w7")
        self.tracker.find_outlook("sort")
        self.assertEqual(11 * REFRESHED_ITEMS + 1, self.computed)

    def test_all_items_are_computed_again_in_turn(self):
        seen = set()
        items = self.tracker._items["sort"]
        for _ in range(100 // REFRESHED_ITEMS):
            seen.update(list(items)[:REFRESHED_ITEMS])
            self.tracker.find_outlook("sort")
        self.assertEqual(100, len(seen))

    def test_policy_that_asks_nothing_costs_nothing(self):
        rig = Rig(upstreams=2)
        self.computed = self.walks = 0
        rig.submit("a", WHOLE)
        rig.run(1.0)
        admission = rig.dispatcher.admission
        queue = rig.state.find_queue("scan")
        spec = WorkloadSpec(workload_id="b", steps=(WHOLE,))
        admission.decide(spec, queue, "couriers", rig.instant)
        self.assertEqual((0, 0), (self.computed, self.walks))
        self.assertEqual({}, admission._tracker._changed)

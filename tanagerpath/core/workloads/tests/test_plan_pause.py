"""Guards against a leader that only plans while workloads queue.

With 1,080 queued workloads and no upstreams each submission caused a plan of 50 ms to
150 ms, and no pause followed, as it was counted by pairs of a unit and an upstream.
"""

import testtools

from tanagerpath.core.workloads import DispatchTerms
from tanagerpath.core.workloads.backlog import Backlog
from tanagerpath.core.workloads.plan_pause import (
    MAX_UNITS_PAUSE_S,
    UNIT_PAUSE_S,
    PlanPause,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

EVENT_INTERVAL_S = 0.001
URGENT_START_S = 1.2
TASK = StepSpec(needs=Resources(1_000, 1_000, 1), declared_run_s=5.0)
SLOTS = 8


class TestPlanPause(testtools.TestCase):
    def count_plans(self, units, pairs, has_fleet_changed, duration_s=10.0):
        """Return the number of plans if each event that may cause one does."""
        pause = PlanPause(pair_cost_s=15e-6)
        plans, now_s = 0, 100.0
        while now_s < 100.0 + duration_s:
            if pause.is_over(now_s, has_fleet_changed):
                pause.begin(now_s, units, pairs)
                plans += 1
            now_s += EVENT_INTERVAL_S
        return plans

    def test_plans_are_apart_by_what_they_cost(self):
        for units, pairs in ((1000, 0), (1000, 2000), (0, 2000)):
            pause_s = UNIT_PAUSE_S * units + 15e-6 * pairs
            for has_fleet_changed in (False, True):
                plans = self.count_plans(units, pairs, has_fleet_changed)
                # One plan may be ahead.
                self.assertLessEqual(plans, 10.0 / pause_s + 2)

    def test_pause_after_a_long_queue_is_bounded(self):
        plans = self.count_plans(1_000_000, 0, False)
        self.assertGreaterEqual(plans, 10.0 / (MAX_UNITS_PAUSE_S + EVENT_INTERVAL_S))

    def test_change_of_the_fleet_does_not_wait_for_the_units(self):
        pause = PlanPause(pair_cost_s=15e-6)
        pause.begin(100.0, 1000, 100)
        self.assertFalse(pause.is_over(100.001, True))
        self.assertFalse(pause.is_over(100.002, False))
        self.assertTrue(pause.is_over(100.002, True))
        pause.begin(100.002, 1000, 100)
        self.assertFalse(pause.is_over(100.004, True))


class TestPlans(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.plans = 0
        list_units = Backlog.list_units

        def count_lists(backlog, *arguments):
            self.plans += 1
            return list_units(backlog, *arguments)

        self.patch(Backlog, "list_units", count_lists)

    def make_busy_rig(self, queued, terms=None):
        """Return a rig whose upstream is full, with waiting work."""
        rig = Rig(upstreams=1, terms=terms)
        rig.run(0.5)
        for number in range(SLOTS):
            rig.submit(f"first{number}", TASK, work_s=2.0 + 0.2 * number)
        rig.run(1.0)
        rig.has_lease = False
        for number in range(queued):
            rig.submit(f"queued{number}", TASK, work_s=9.0)
        rig.has_lease = True
        return rig

    def test_submissions_cause_no_plans_without_an_upstream(self):
        rig = Rig(upstreams=0)
        rig.run(0.5)
        self.plans = 0
        for number in range(100):
            rig.submit(f"w{number}", TASK)
        self.assertEqual(0, self.plans)
        rig.run(1.0)
        self.assertLessEqual(self.plans, 1.0 / rig.terms.plan_interval_s + 1)
        rig.add_upstream("u0")
        rig.run(0.5)
        self.assertEqual(SLOTS, len(rig.starts))

    def test_submission_that_fits_starts_at_once_behind_work_that_does_not(self):
        rig = Rig(upstreams=1)
        rig.run(0.5)
        large = StepSpec(needs=Resources(1_000, 1_000, 2 * SLOTS), declared_run_s=5.0)
        for number in range(50):
            rig.submit(f"large{number}", large)
        rig.run(0.2)
        rig.submit("small", TASK)
        self.assertEqual(1, rig.counts["task placed"])

    def test_submissions_behind_a_long_queue_share_plans(self):
        rig = self.make_busy_rig(queued=500)
        self.plans = 0
        for number in range(100):
            rig.now_s += 0.005
            rig.submit(f"w{number}", TASK)
        self.assertLessEqual(self.plans, 0.5 / (500 * UNIT_PAUSE_S) + 1)
        self.assertGreater(self.plans, 1)

    def test_freed_capacity_is_used_at_once_behind_a_long_queue(self):
        rig = self.make_busy_rig(queued=1000, terms=DispatchTerms(plan_cost_s=0.0))
        delays = 0
        for number in range(30):
            ended, placed = rig.counts["run ended"], rig.counts["task placed"]
            rig.submit(f"w{number}", TASK, work_s=9.0)
            rig.run(0.05)
            freed = rig.counts["run ended"] - ended
            delays += freed > rig.counts["task placed"] - placed
        self.assertGreater(rig.counts["run ended"], 2)
        self.assertEqual(0, delays)

    def test_urgent_work_starts_in_time_behind_a_long_queue(self):
        rig = self.make_busy_rig(queued=3000)
        rig.submit("w", TASK)
        rig.submit("urgent", TASK, queue="urgent")
        self.assertLess(rig.measure_start("urgent"), URGENT_START_S)

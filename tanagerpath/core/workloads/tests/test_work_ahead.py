"""Guards against bounds of the work ahead that would refuse work of value."""

import math

import testtools

from tanagerpath.core.workloads.learned import LearnedQueue, Predictor
from tanagerpath.core.workloads.pool_capacity import Demand
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.test_pool_capacity import CAPACITY
from tanagerpath.core.workloads.work_ahead import (
    QueueError,
    WorkItem,
    forecast_start,
)

NOW_S = 100.0
EXACT = {"q": QueueError(individual=0.0, common=0.0)}


def make_item(name, **fields):
    """Return waiting work of a second of the whole pool."""
    given = {
        "workload_id": name,
        "queue": "q",
        "organisation": "o1",
        "priority": 1,
        "demand": Demand(accelerators=80.0),
        "size_cores_s": 640.0,
        "needs": Resources(1_000, 1_000, 1),
        "arrival_s": NOW_S,
        "objective_s": 20.0,
        "critical_path_s": 5.0,
    }
    return WorkItem(**(given | fields))


def forecast(item, *others, errors=None, since_s=math.inf):
    return forecast_start(item, others, CAPACITY, errors or EXACT, NOW_S, since_s)


class TestForecast(testtools.TestCase):
    def test_counts_what_ranks_before(self):
        item = make_item("w")
        cases = (
            ("smaller priority number", {"priority": 0}, 1.0),
            ("larger priority number", {"priority": 2}, 0.0),
            ("covered by a guarantee", {"priority": 2, "is_covered": True}, 1.0),
            ("same priority, smaller", {"size_cores_s": 600.0}, 1.0),
            ("same priority, larger", {"size_cores_s": 700.0}, 0.0),
            ("same priority, late", {"arrival_s": NOW_S - 18.0}, 0.0),
            ("no value any more", {"priority": 0, "arrival_s": NOW_S - 58.0}, 0.0),
            ("the workload itself", {"workload_id": "w", "priority": 0}, 0.0),
        )
        for name, fields, expected_s in cases:
            other = make_item(**({"name": "x"} | _rename(fields)))
            self.assertEqual(expected_s, forecast(item, other).start_in_s, name)

    def test_work_that_would_start_too_late_is_left_out(self):
        # 100 s of urgent work, of which each must start within 10 s - 5 s / 1.25.
        others = [
            make_item(f"x{number}", priority=0, objective_s=10.0 / 3.0)
            for number in range(100)
        ]
        found = forecast(make_item("w"), *others)
        self.assertEqual(7, found.workloads_ahead)
        self.assertEqual(7.0, found.start_in_s)

    def test_burst_of_another_organisation_does_not_count_whole(self):
        burst = [
            make_item(f"x{number}", organisation="o2", size_cores_s=1.0)
            for number in range(50)
        ]
        own = make_item("y", size_cores_s=1.0)
        self.assertEqual(0.0, forecast(make_item("w"), *burst).start_in_s)
        found = forecast(make_item("w"), own, *burst)
        self.assertEqual(51.0, found.ahead_s)
        self.assertEqual(2.0, found.start_in_s)

    def test_own_burst_counts_whole_if_no_other_has_work(self):
        burst = [make_item(f"x{number}", size_cores_s=1.0) for number in range(50)]
        self.assertEqual(50.0, forecast(make_item("w"), *burst).start_in_s)

    def test_work_that_leaves_room_beside_it_does_not_hold_up(self):
        # Tasks of 68 of 128 GB fill the memory of the pool, and small tasks start
        # beside them.
        large = make_item(
            "x",
            priority=0,
            leftover=CAPACITY.find_leftover(Resources(13_000, 68_000, 4)),
        )
        cases = (
            ("fits beside it", Resources(2_800, 15_000, 4), 0.0),
            ("too many accelerators", Resources(2_800, 15_000, 5), 1.0),
            ("too much memory", Resources(2_800, 61_000, 1), 1.0),
        )
        for name, needs, expected_s in cases:
            item = make_item("w", needs=needs)
            self.assertEqual(expected_s, forecast(item, large).start_in_s, name)

    def test_gang_does_not_hold_up_what_needs_fewer_upstreams(self):
        # Upstreams become free one by one, and smaller work starts there meanwhile.
        gang = make_item("x", priority=0, upstreams_at_once=6)
        for count, expected_s in ((1, 0.0), (5, 0.0), (6, 1.0), (7, 1.0)):
            item = make_item("w", upstreams_at_once=count)
            self.assertEqual(expected_s, forecast(item, gang).start_in_s, count)

    def test_gang_counts_the_upstreams_that_it_needs_at_once(self):
        needs = Resources(13_000, 68_000, 1)
        cases = (
            (StepSpec(count=6, needs=needs, gang=True), 6),
            (StepSpec(count=6, needs=needs), 1),
            (StepSpec(count=6, needs=Resources(1_000, 1_000, 2), gang=True), 2),
            (StepSpec(count=2, needs=Resources(64_000, 1_000, 2), gang=True), 2),
        )
        for step, expected in cases:
            self.assertEqual(expected, CAPACITY.count_at_once(step), step)

    def test_returning_workload_passes_later_work_of_its_priority(self):
        later = make_item("x", size_cores_s=1.0, arrival_s=NOW_S - 1.0)
        urgent = make_item("y", priority=0, arrival_s=NOW_S - 1.0)
        item = make_item("w")
        self.assertEqual(2.0, forecast(item, later, urgent).start_in_s)
        found = forecast(item, later, urgent, since_s=NOW_S - 2.0)
        self.assertEqual(1.0, found.start_in_s)

    def test_uncertain_work_counts_less(self):
        new = QueueError.from_learned(None)
        known = LearnedQueue(
            "q", Predictor(0.1, 0.0, 400.0), Predictor(0.1, 0.0, 400.0)
        )
        others = [
            make_item(f"x{number}", priority=0, objective_s=1000.0)
            for number in range(100)
        ]
        item = make_item("w")
        unmeasured_s = forecast(item, *others, errors={"q": new}).start_in_s
        measured_s = forecast(
            item, *others, errors={"q": QueueError.from_learned(known)}
        ).start_in_s
        # A common error by 3 of a queue that was never measured refuses nothing.
        self.assertLess(unmeasured_s, 100.0 / 3.0)
        self.assertGreater(measured_s, 75.0)
        self.assertLess(measured_s, 100.0)


def _rename(fields):
    fields = dict(fields)
    if "workload_id" in fields:
        fields["name"] = fields.pop("workload_id")
    return fields


class TestLatestStart(testtools.TestCase):
    def test_latest_start_leaves_the_run_time_on_the_fastest_upstream(self):
        item = make_item("w")
        self.assertEqual(NOW_S + 60.0 - 4.0, item.find_latest_start_s(1.25))

    def test_no_objective_means_no_latest_start(self):
        # A queue may have an objective of 0 s; all its work would be refused.
        item = make_item("w", objective_s=0.0)
        self.assertEqual(math.inf, item.find_latest_start_s(1.25))

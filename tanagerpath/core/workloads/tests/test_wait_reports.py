"""Guards against logs that do not say why urgent work waits."""

import testtools

from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

SMALL = Resources(8_000, 16_000, 1)
WHOLE = Resources(8_000, 16_000, 8)


def _step(count=1, needs=SMALL, declared_run_s=1.0, **fields):
    return StepSpec(count=count, needs=needs, declared_run_s=declared_run_s, **fields)


def _list_fields(rig, name):
    return [decision.fields for decision in rig.decisions if decision.name == name]


class TestWaitReports(testtools.TestCase):
    def test_waiting_urgent_work_is_reported_with_its_reason(self):
        rig = Rig(upstreams=0)
        rig.submit("check", _step(1), queue="urgent")
        rig.run(3.5)
        reports = _list_fields(rig, "urgent work waits")
        self.assertEqual({"no capacity"}, {one["reason"] for one in reports})
        self.assertIn(len(reports), (3, 4))
        self.assertEqual(
            (True, 16), (reports[0]["covered"], reports[0]["accelerators_guaranteed"])
        )

    def test_start_is_reported_with_the_time_waited(self):
        rig = Rig()
        rig.submit("check", _step(2, WHOLE, gang=True), queue="urgent")
        rig.run(0.5)
        (report,) = _list_fields(rig, "urgent work began")
        self.assertLess(report["waited_s"], 0.5)
        self.assertEqual(("check", True), (report["workload"], report["covered"]))

    def test_late_start_of_guaranteed_work_is_counted(self):
        rig = Rig(upstreams=0)
        rig.submit("check", _step(1), queue="urgent")
        rig.run(3.0)
        rig.add_upstream("u0")
        rig.run(1.0)
        self.assertEqual(1, rig.counts["guaranteed work began late"])

    def test_bound_counts_from_the_cover_of_a_guarantee(self):
        # Work that was covered 18 s after its acceptance, when its organisation no
        # longer asked for more than its guarantee, was logged as late.
        rig = Rig(upstreams=4)
        rig.submit("first", _step(2, WHOLE, gang=True), queue="urgent", work_s=6.0)
        rig.submit("other", _step(2, WHOLE, gang=True), queue="urgent", work_s=8.0)
        rig.run(0.5)
        rig.submit("check", _step(2, WHOLE, gang=True), queue="urgent")
        rig.run(9.0)
        reports = _list_fields(rig, "urgent work began")
        check = next(one for one in reports if one["workload"] == "check")
        self.assertGreater(check["waited_s"], 5.0)
        self.assertLess(check["covered_s"], 1.0)
        self.assertEqual(0, rig.counts["guaranteed work began late"])

    def test_cover_of_an_earlier_term_counts_since_the_acceptance(self):
        rig = Rig(upstreams=0)
        rig.submit("check", _step(1), queue="urgent")
        rig.run(2.5)
        rig.start_term(2)
        rig.run(1.0)
        rig.add_upstream("u0")
        rig.run(1.0)
        self.assertEqual(1, rig.counts["guaranteed work began late"])

    def test_a_restart_is_not_a_late_start(self):
        rig = Rig(upstreams=2)
        rig.submit("check", _step(1), queue="urgent", work_s=9.0)
        rig.run(4.0)
        for upstream in rig.upstreams.values():
            upstream.fails_all = bool(upstream.runs)
        rig.run(2.0)
        reports = _list_fields(rig, "urgent work began")
        self.assertEqual([0, 1], [one["runs_before"] for one in reports])
        self.assertEqual(0, rig.counts["guaranteed work began late"])

    def test_change_of_the_cover_is_reported_with_what_is_held(self):
        rig = Rig()
        rig.submit("large", _step(2, WHOLE), queue="urgent", work_s=2.0)
        rig.submit("small", _step(4), queue="urgent", work_s=9.0)
        rig.run(4.0)
        reports = _list_fields(rig, "guarantee coverage changed")
        small = [one for one in reports if one["workload"] == "small"]
        self.assertEqual([True], [one["covered"] for one in small])
        self.assertEqual(4, small[0]["accelerators_requested"])

    def test_lines_on_tasks_have_a_limit_of_their_own(self):
        rig = Rig()
        rig.submit("scan", _step(4))
        rig.run(2.0)
        about_tasks = {one.name for one in rig.decisions if one.is_about_task}
        self.assertEqual({"task placed", "run ended"}, about_tasks)

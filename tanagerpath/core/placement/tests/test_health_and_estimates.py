"""Guards against quarantine of healthy upstreams and trust in wrong run times."""

import testtools

from tanagerpath.core.model import JobClass
from tanagerpath.core.placement import SchedulerConfig
from tanagerpath.core.placement.estimates import RunTimeEstimator
from tanagerpath.core.placement.health import HealthTracker
from tanagerpath.core.placement.tests.fleets import (
    list_placed,
    make_fleet,
    make_job,
    make_scheduler,
    submit_all,
)


class TestHealth(testtools.TestCase):
    # failures as (job, upstream), quarantined upstreams, suspect jobs
    CASES = [
        ([("a", "u"), ("b", "u")], set(), set()),
        ([("a", "u"), ("a", "u"), ("a", "u")], set(), set()),
        ([("a", "u"), ("b", "u"), ("c", "u")], {"u"}, set()),
        ([("a", "u"), ("a", "v"), ("a", "w")], set(), {"a"}),
        ([("a", "u"), ("b", "u"), ("c", "u"), ("a", "v"), ("a", "w")], set(), {"a"}),
        (
            [(job, name) for job in "abc" for name in "uvw"],
            set(),
            {"a", "b", "c"},
        ),
    ]

    def test_failures_count_against_the_faulty_upstream_or_job(self):
        for failures, quarantined, suspects in self.CASES:
            tracker = HealthTracker(SchedulerConfig())
            for job_id, name in failures:
                tracker.record_failure(job_id, name, 0.0)
            found = {name for name in "uvw" if tracker.is_quarantined(name)}
            self.assertEqual(quarantined, found, failures)
            suspected = {job for job in "abc" if tracker.is_job_suspect(job)}
            self.assertEqual(suspects, suspected, failures)

    def test_pause_expires_and_healthy_probe_ends_quarantine(self):
        tracker = HealthTracker(SchedulerConfig())
        tracker.record_failure("a", "u", 0.0)
        self.assertTrue(tracker.is_paused("u", 1.9))
        self.assertFalse(tracker.is_paused("u", 2.1))
        for job_id in ("b", "c"):
            tracker.record_failure(job_id, "u", 3.0)
        self.assertEqual((), tracker.list_probe_candidates(12.0))
        self.assertEqual(("u",), tracker.list_probe_candidates(13.0))
        tracker.record_probe("u", False, 13.0)
        self.assertEqual((), tracker.list_probe_candidates(32.0))
        self.assertEqual(33.0, tracker.find_wake_up_s(13.0))
        tracker.record_probe("u", True, 33.0)
        self.assertFalse(tracker.is_paused("u", 33.0))

    def test_success_clears_failures_but_no_quarantine(self):
        tracker = HealthTracker(SchedulerConfig())
        for job_id in ("a", "b"):
            tracker.record_failure(job_id, "u", 0.0)
        tracker.record_success("x", "u")
        tracker.record_failure("c", "u", 1.0)
        self.assertFalse(tracker.is_quarantined("u"))
        for job_id in ("d", "e"):
            tracker.record_failure(job_id, "u", 1.0)
        tracker.record_success("x", "u")
        self.assertTrue(tracker.is_quarantined("u"))

    def test_failed_job_avoids_upstreams_and_suspect_job_backs_off(self):
        scheduler = make_scheduler(make_fleet(1, 4))
        job = make_job("j")
        seen = set()
        for number in range(3):
            submit_all(scheduler, [job], float(number))
            placed = list_placed(scheduler.decide(float(number)))
            seen.add(placed["j"].upstream_ids[0])
            name = placed["j"].upstream_ids[0]
            scheduler.record_start_failure("j", name, float(number))
            scheduler.record_finished("j", float(number))
        self.assertEqual(3, len(seen))
        submit_all(scheduler, [job], 2.0)
        self.assertEqual([], scheduler.decide(2.0))
        self.assertIn("Held back", scheduler.explain("j", 2.0))
        wake_up_s = scheduler.find_wake_up_s(2.0)
        self.assertEqual({"j"}, set(list_placed(scheduler.decide(wake_up_s))))

    def test_urgent_job_starts_on_upstreams_that_another_job_paused(self):
        """Guards against one failing job that delays urgent jobs on a small fleet."""
        scheduler = make_scheduler(make_fleet(1, 2))
        for number in range(2):
            submit_all(scheduler, [make_job("bad")], float(number))
            (run,) = list_placed(scheduler.decide(float(number)))["bad"].runs
            scheduler.record_start_failure("bad", run.upstream_id, float(number))
            scheduler.record_finished("bad", float(number))
        jobs = [make_job("plain"), make_job("quick", job_class=JobClass.URGENT)]
        submit_all(scheduler, jobs, 1.0)
        self.assertEqual({"quick"}, set(list_placed(scheduler.decide(1.0))))


class TestEstimates(testtools.TestCase):
    def _make_estimator(self, pairs):
        estimator = RunTimeEstimator()
        for declared_s, observed_s in pairs:
            request = make_job("j", expected_run_s=declared_s).request
            estimator.observe(request, observed_s)
        return estimator

    # declared and observed runs, next declaration, least and most accepted estimate
    CASES = [
        ([], 70.0, 70.0, 70.0),
        ([(1000.0, 100.0)] * 6, 1000.0, 99.0, 101.0),
        ([(10.0, 100.0), (1000.0, 100.0)] * 6, 10.0, 99.0, 101.0),
        ([(10.0, 20.0), (100.0, 200.0), (1e3, 2e3)] * 4, 500.0, 900.0, 1100.0),
        ([(100.0, 100.0)] * 9 + [(100.0, 9e4)] * 3, 100.0, 99.0, 101.0),
    ]

    def test_estimates_follow_observed_runs(self):
        for pairs, declared_s, least_s, most_s in self.CASES:
            request = make_job("j", expected_run_s=declared_s).request
            estimate_s = self._make_estimator(pairs).estimate_run_s(request)
            self.assertTrue(least_s <= estimate_s <= most_s, (pairs, estimate_s))

    def test_overrunning_job_is_expected_to_continue(self):
        request = make_job("j").request
        estimator = self._make_estimator([(60.0, 100.0)] * 6 + [(60.0, 300.0)])
        self.assertEqual(60.0, estimator.estimate_remaining_s(request, 40.0))
        self.assertEqual(150.0, estimator.estimate_remaining_s(request, 150.0))
        self.assertEqual(200.0, estimator.estimate_remaining_s(request, 400.0))

    def test_preempted_and_failed_runs_are_not_learned(self):
        scheduler = make_scheduler(make_fleet(1, 1))
        estimator = scheduler._context.estimator
        request = make_job("j", expected_run_s=500.0).request
        for number in range(8):
            job = make_job(f"j{number}", 8, float(number), expected_run_s=500.0)
            submit_all(scheduler, [job], float(number))
            scheduler.decide(float(number))
            scheduler.record_start_failure(job.job_id, "u000", float(number))
            scheduler.record_started(job.job_id, float(number))
            scheduler.record_finished(job.job_id, float(number))
            scheduler.record_start_success("x", "u000", float(number))
        self.assertEqual(500.0, estimator.estimate_run_s(request))

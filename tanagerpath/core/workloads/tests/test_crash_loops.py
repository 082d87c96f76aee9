"""Guards against work that stands still as upstreams are blamed for other work.

Two workloads that fail wherever they run quarantined all upstreams of a pool again and
again. A gang found no moment at which enough of them were out of quarantine.
"""

import testtools

from tanagerpath.core.workloads.crash_loops import (
    MIN_FAILED_UPSTREAMS,
    OUTCOME_MEMORY_S,
    CrashLoops,
    WorkKey,
)
from tanagerpath.core.workloads.health import HealthTerms, UpstreamHealth
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.failing_work import (
    FailingScenario,
    FailingWorkRig,
)

MAX_STANDING_S = 3.0
SEEDS = (1, 2, 3)
LARGE = Resources(32_000, 1_000, 4)


def make_gang(count):
    return StepSpec(
        count=count,
        needs=LARGE,
        declared_run_s=3.0,
        gang=True,
        max_per_upstream=1,
    )


def measure_wait(scenario, seed, step):
    """Return the seconds until a step starts beside failing work, and the rig."""
    rig = FailingWorkRig(scenario, seed)
    rig.run_ordinary(40)
    rig.run(2.0)
    rig.submit("waits", step, work_s=3.0)
    return rig.measure_start("waits"), rig


class TestFailingWork(testtools.TestCase):
    """Guards against a quarantine of sound upstreams, and against a missing one."""

    def test_gang_starts_beside_work_that_fails_everywhere(self):
        cases = {
            "two": FailingScenario(looping=2),
            "four": FailingScenario(looping=4),
            "eight": FailingScenario(looping=8),
            "of few tasks": FailingScenario(looping=8, looping_tasks=1),
            "of one image": FailingScenario(looping=4, image="broken"),
            "that fails late": FailingScenario(looping=4, fails_within_s=(8.0, 12.0)),
            "beside sick upstreams": FailingScenario(looping=2, sick=3),
        }
        self._check_waits(cases, make_gang(8))

    def test_gang_starts_beside_single_tasks_that_can_never_be_done(self):
        # Their few attempts do not tell them from work that meets bad upstreams.
        cases = {
            "some": FailingScenario(hopeless_interval_s=0.5),
            "many": FailingScenario(hopeless_interval_s=0.2),
            "beside sick upstreams": FailingScenario(hopeless_interval_s=0.5, sick=3),
        }
        self._check_waits(cases, make_gang(6))

    def _check_waits(self, cases, step):
        for name, scenario in cases.items():
            for seed in SEEDS:
                wait_s, _ = measure_wait(scenario, seed, step)
                self.assertLess(wait_s, MAX_STANDING_S, f"{name}, seed {seed}")

    def test_sick_upstreams_are_quarantined_beside_work_that_fails_everywhere(self):
        for looping in (0, 2, 4):
            scenario = FailingScenario(looping=looping, sick=3)
            for seed in SEEDS:
                _, rig = measure_wait(scenario, seed, make_gang(8))
                # Two failures begin a quarantine, and a test each 4 s ends the next.
                bound = 3 * 2 + 3 * (rig.now_s - 100.0) / 4.0
                self.assertLess(rig.failures_of_sound_work, bound)


class TestLastResort(testtools.TestCase):
    """Guards against waits for the end of a quarantine that proves nothing."""

    def _play(self, fails_sound_work):
        rig = FailingWorkRig(FailingScenario(upstreams=4), 1)
        for upstream in rig.upstreams:
            health = rig.dispatcher.context.find_health(upstream)
            health.quarantined_until_s = rig.now_s + 60.0
            health.fails_sound_work = fails_sound_work
        rig.submit("waits", make_gang(2), work_s=1.0)
        return rig.measure_start("waits")

    def test_overdue_work_uses_upstreams_in_quarantine(self):
        self.assertLess(self._play(fails_sound_work=False), MAX_STANDING_S)

    def test_upstream_that_fails_sound_work_is_used_by_none(self):
        self.assertGreater(self._play(fails_sound_work=True), 10.0)


class TestCrashLoops(testtools.TestCase):
    """Guards against evidence that is read the wrong way."""

    KEY = WorkKey(workload_id="w")

    def _make_loops(self, failed, worked=0):
        loops = CrashLoops()
        for number in range(failed):
            loops.note_failure(self.KEY, f"u{number}", 1.0)
        for number in range(failed, failed + worked):
            loops.note_success(self.KEY, f"u{number}", 1.0)
        return loops

    def test_work_that_fails_on_several_upstreams(self):
        # Failed upstreams, upstreams on which it works, and whether it is a loop.
        cases = (
            (MIN_FAILED_UPSTREAMS - 1, 0, False),
            (MIN_FAILED_UPSTREAMS, 0, True),
            (MIN_FAILED_UPSTREAMS, MIN_FAILED_UPSTREAMS - 1, True),
            (MIN_FAILED_UPSTREAMS, MIN_FAILED_UPSTREAMS, False),
        )
        for failed, worked, expected in cases:
            loops = self._make_loops(failed, worked)
            self.assertEqual(expected, loops.is_crash_loop(self.KEY, 2.0))

    def test_repeated_failures_on_one_upstream(self):
        loops = CrashLoops()
        for _ in range(10):
            loops.note_failure(self.KEY, "u0", 1.0)
        self.assertFalse(loops.is_crash_loop(self.KEY, 2.0))

    def test_upstreams_on_which_long_running_work_is_at_work(self):
        loops = self._make_loops(MIN_FAILED_UPSTREAMS)
        steady = frozenset(f"s{number}" for number in range(MIN_FAILED_UPSTREAMS))
        self.assertFalse(loops.is_crash_loop(self.KEY, 2.0, steady))

    def test_success_takes_a_failure_on_the_same_upstream_back(self):
        loops = self._make_loops(MIN_FAILED_UPSTREAMS)
        loops.note_success(self.KEY, "u0", 2.0)
        self.assertFalse(loops.is_crash_loop(self.KEY, 2.0))
        names = [upstream_id for upstream_id, _ in loops.list_failures(self.KEY, 2.0)]
        self.assertNotIn("u0", names)

    def test_old_outcomes_do_not_count_and_are_dropped(self):
        loops = self._make_loops(MIN_FAILED_UPSTREAMS)
        later_s = 1.0 + OUTCOME_MEMORY_S
        self.assertFalse(loops.is_crash_loop(self.KEY, later_s))
        loops.note_failure(WorkKey(workload_id="other"), "u0", later_s)
        self.assertEqual(1, len(loops))


class TestHealth(testtools.TestCase):
    """Guards against a quarantine without a cause that is left."""

    def _make_health(self):
        health = UpstreamHealth(HealthTerms())
        for workload_id in ("a", "b"):
            health.note_failure(workload_id, 1.0)
        return health

    def test_discounted_failures_end_the_quarantine(self):
        health = self._make_health()
        self.assertTrue(health.is_quarantined(2.0))
        self.assertTrue(health.discount_failures("a"))
        self.assertFalse(health.is_quarantined(2.0))
        self.assertFalse(health.is_on_probation)
        self.assertFalse(health.discount_failures("a"))

    def test_other_failures_keep_the_quarantine(self):
        health = self._make_health()
        health.note_failure("c", 1.0)
        health.discount_failures("a")
        self.assertTrue(health.is_quarantined(2.0))

    def test_upstream_that_fails_sound_work_keeps_its_failures(self):
        health = self._make_health()
        health.fails_sound_work = True
        self.assertFalse(health.discount_failures("a"))
        self.assertTrue(health.is_excluded(2.0))
        health.note_success(3.0)
        self.assertFalse(health.is_excluded(3.0))

"""Guards the core under seeded faults, and the check itself against blindness."""

import io
import json
from contextlib import redirect_stdout

import testtools

from tanagerpath.benchmarks.core_check import CheckPlan, main, run_seed
from tanagerpath.benchmarks.tests.core_faults import FAULTS

# The exact seed shifts with any change of the core, so a few more are tried.
SEEDS_TRIED = 30
SCATTERED_PLAN_SEED = 407
HELD_JOB_SEED = 21


class TestSeeds(testtools.TestCase):
    def test_promises_hold(self):
        for seed in (1, 2, 3):
            self.assertEqual((), run_seed(seed).broken, f"seed {seed}")

    def test_same_seed_repeats_the_run(self):
        plan = CheckPlan(faults_s=5.0, settle_limit_s=0.0)
        self.assertEqual(run_seed(5, plan), run_seed(5, plan))

    def test_last_line_tells_the_totals(self):
        output = io.StringIO()
        with redirect_stdout(output):
            status = main(["--seeds", "1", "--first-seed", "2"])
        totals = json.loads(output.getvalue().splitlines()[-1])
        self.assertEqual(0, status)
        self.assertEqual((1, 0), (totals["seeds"], totals["violations"]))
        self.assertGreater(totals["steps"], 1000)


class TestDeliberateFaults(testtools.TestCase):
    def test_each_fault_breaks_its_promise(self):
        # A check that sees none of these would pass on a broken core.
        for fault in FAULTS:
            self.assertTrue(self._is_caught(fault), fault.name)

    def _is_caught(self, fault):
        for seed in range(fault.seed, fault.seed + SEEDS_TRIED):
            with fault.in_force():
                broken = run_seed(seed, fault.plan).broken
            if any(each.promise == fault.promise for each in broken):
                return True
        return False


class TestFixedFaults(testtools.TestCase):
    """Seeds that showed faults of the placement."""

    def test_large_job_is_placed_beside_a_scattered_plan(self):
        self.assertEqual((), run_seed(SCATTERED_PLAN_SEED).broken)

    def test_job_that_failed_on_several_upstreams_ends(self):
        self.assertEqual((), run_seed(HELD_JOB_SEED).broken)

"""Guards workloads across changes of the leader, and the check against blindness."""

import io
import json
from contextlib import redirect_stdout

import pytest
import testtools

from tanagerpath.benchmarks.tests.workload_check_faults import BROKEN_MECHANISMS
from tanagerpath.benchmarks.workload_check import CheckPlan, main, run_seed

# In 4 and 9 an operator evacuates availability zones.
SEEDS = (2, 3, 4, 7, 9)
# The seed that shows a broken mechanism shifts with any change of the core.
SEEDS_TRIED = 30


class TestSeeds(testtools.TestCase):
    def test_no_rule_is_broken(self):
        # Issue 35: tasks started again after an end that had been acknowledged.
        for seed in SEEDS:
            outcome = run_seed(seed)
            self.assertEqual((), outcome.violations, f"seed {seed}")
            self.assertTrue(outcome.has_leader, f"seed {seed}")

    def test_same_seed_repeats_the_run(self):
        # A violation that can't be repeated can't be traced.
        plan = CheckPlan(faults_s=8.0, settle_limit_s=0.0)
        self.assertEqual(run_seed(5, plan), run_seed(5, plan))

    def test_last_line_has_the_totals(self):
        output = io.StringIO()
        with redirect_stdout(output):
            status = main(["--seeds", "1", "--first", "4"])
        totals = json.loads(output.getvalue().splitlines()[-1])
        self.assertEqual((0, 1, []), (status, totals["seeds"], totals["failing_seeds"]))
        self.assertGreater(totals["starts"], 10)


def _is_caught(broken):
    for seed in range(broken.first_seed, broken.first_seed + SEEDS_TRIED):
        with broken.in_force():
            violations = run_seed(seed, broken.plan).violations
        if any(violation.rule == broken.rule for violation in violations):
            return True
    return False


@pytest.mark.parametrize("broken", BROKEN_MECHANISMS, ids=lambda broken: broken.name)
def test_broken_mechanism_breaks_its_rule(broken):
    # A rule that none of these breaks would pass on a broken product.
    assert _is_caught(broken)

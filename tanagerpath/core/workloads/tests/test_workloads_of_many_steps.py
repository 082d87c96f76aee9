"""Guards against workloads whose cost grows with the square of their steps."""

import sys

import testtools

from tanagerpath.core.workloads.backlog import Backlog
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

STEP = StepSpec(needs=Resources(8_000, 16_000, 1), declared_run_s=1.0)
FEW_STEPS = 500
# Twice the steps cost at most about twice the calls.
MAX_GROWTH = 2.1
# Long enough for a plan that reports all urgent steps as waiting.
PLAN_S = 1.5


def _count_calls(function, *arguments):
    """Return the number of Python calls, and of values of generators, of a call."""
    calls = 0

    def note(frame, event, argument):
        nonlocal calls
        calls += event == "call"

    sys.setprofile(note)
    try:
        function(*arguments)
    finally:
        sys.setprofile(None)
    return calls


class _CountedPaths(list):
    """Lengths of paths that count the walks over all of them."""

    walks = 0

    def __iter__(self):
        self.walks += 1
        return super().__iter__()


class TestWorkloadsOfManySteps(testtools.TestCase):
    """A workload of 4,000 steps kept the leader from answering for longer than 2 s."""

    def count_calls_of_a_plan(self, steps):
        rig = Rig(upstreams=0)
        rig.submit("w", *[STEP] * steps, queue="urgent")
        return _count_calls(rig.run, PLAN_S)

    def test_cost_of_a_plan_grows_with_the_steps(self):
        few = self.count_calls_of_a_plan(FEW_STEPS)
        many = self.count_calls_of_a_plan(2 * FEW_STEPS)
        self.assertLess(many, MAX_GROWTH * few)

    def test_longest_path_is_found_once(self):
        found = []
        find_critical_paths = Backlog._find_critical_paths

        def find_counted(backlog, record, queue):
            paths = _CountedPaths(find_critical_paths(backlog, record, queue))
            found.append(paths)
            return paths

        self.patch(Backlog, "_find_critical_paths", find_counted)
        rig = Rig(upstreams=0)
        rig.submit("w", *[STEP] * FEW_STEPS, queue="urgent")
        rig.run(0.5)
        self.assertGreater(len(found), 0)
        self.assertEqual({1}, {paths.walks for paths in found})

"""Guards against an admission that takes value from callers under heavy load.

Each test names the load that it answers. The fleet has 12 upstreams; load 1 asks for
all its accelerators.
"""

import attrs
import testtools
from testtools import matchers

from tanagerpath.core.workloads.tests.load_rig import (
    BATCH,
    SCAN,
    URGENT,
    LoadRig,
    Outcome,
)

ALL = (URGENT, BATCH, SCAN)
# A task takes an upstream whole, and may end minutes after its submission.
LONG = attrs.evolve(BATCH, work_s=15.0, accelerators=(8,), gang=False)
SHORT = attrs.evolve(SCAN, work_s=1.0)


def at_least(share):
    return matchers.Not(matchers.LessThan(share))


class _Load(testtools.TestCase):
    def check_promises(self, rig):
        """Check what holds for any load."""
        self.assertEqual([], rig.refused_covered)
        for name, one in rig.submissions.items():
            record = rig.state.workloads.get(name)
            # What is accepted stays known, and what is refused never ran.
            self.assertEqual(one.is_refused, record is None, name)
            if one.is_refused:
                ran = [run for run in rig.starts if run.task.workload_id == name]
                self.assertEqual([], ran)


class TestOverload(_Load):
    def test_twice_the_capacity(self):
        rig = LoadRig()
        rig.add_load(ALL, 2.0, 10.0)
        rig.play(30.0)
        self.check_promises(rig)
        self.assertThat(rig.value, at_least(0.85))
        self.assertThat(rig.find_share(Outcome.ON_TIME, queue="urgent"), at_least(0.8))
        self.assertEqual(0, rig.refusals)

    def test_four_times_the_capacity(self):
        rig = LoadRig()
        rig.add_load(ALL, 4.0, 8.0)
        rig.play(28.0)
        self.check_promises(rig)
        self.assertThat(rig.find_share(Outcome.ON_TIME, queue="urgent"), at_least(0.8))
        self.assertThat(rig.find_share(Outcome.REFUSED), matchers.LessThan(0.1))

    def test_burst_of_urgent_work_on_a_full_fleet(self):
        rig = LoadRig()
        for _ in range(14):
            rig.add(SCAN, 0.0)
        rig.add_load((URGENT,), 6.0, 4.0)
        rig.play(20.0)
        self.check_promises(rig)
        urgent = rig.list_outcomes("urgent")
        self.assertEqual([], urgent[Outcome.REFUSED])
        self.assertThat(rig.find_share(Outcome.ON_TIME, queue="urgent"), at_least(0.8))

    def test_burst_of_large_gangs(self):
        # Each takes half of the fleet; they end long before they lose their value.
        rig = LoadRig()
        for _ in range(8):
            rig.add(BATCH, 0.0, width=12)
        rig.add_load((URGENT,), 1.0, 8.0)
        rig.play(45.0)
        self.check_promises(rig)
        self.assertEqual(0, rig.refusals)
        self.assertEqual(0.0, rig.find_share(Outcome.FAILED, queue="batch"))
        self.assertThat(rig.find_share(Outcome.ON_TIME, queue="urgent"), at_least(0.7))

    def test_short_work_of_low_priority_behind_minutes_of_long_work(self):
        """Here refusals occur; each must be of work without a value."""
        rigs = {}
        for admission in ("unlimited", "useful"):
            rig = rigs[admission] = LoadRig(admission, seed=5)
            # Run times are known from earlier work.
            for kind in (LONG, SHORT):
                for number in range(20):
                    rig.add(kind, 0.3 * number, width=1)
            rig.play(30.0)
            for _ in range(40):
                rig.add(LONG, 0.0, "o0", width=6)
            for number in range(20):
                rig.add(SHORT, 4.0 + 0.5 * number, "o0", width=6)
            rig.play(30.0)
        unlimited, useful = rigs["unlimited"], rigs["useful"]
        self.check_promises(useful)
        self.assertThat(useful.refusals, matchers.GreaterThan(0))
        for one in useful.list_outcomes()[Outcome.REFUSED]:
            name = next(key for key, two in useful.submissions.items() if two is one)
            outcome = unlimited.submissions[name].outcome
            self.assertEqual(Outcome.FAILED, outcome, name)
        self.assertThat(useful.value, at_least(unlimited.value))


class TestFairness(_Load):
    def test_one_organisation_against_nine(self):
        # The first submits five times the capacity, the others a tenth of it.
        rig = LoadRig()
        rig.add_load((BATCH,), 12.0, 4.0, organisation="o0")
        for number in range(1, 10):
            rig.add(SCAN, 1.0 + 0.3 * number, f"o{number}", width=4)
        rig.play(40.0)
        self.check_promises(rig)
        for number in range(1, 10):
            found = rig.list_outcomes("scan", f"o{number}")
            self.assertEqual([], found[Outcome.REFUSED], number)


class TestFaults(_Load):
    def test_a_third_of_the_upstreams_is_lost_after_the_acceptance(self):
        rig = LoadRig()
        rig.add_load(ALL, 1.0, 8.0)
        rig.play(6.0)
        for name in ("u0", "u1", "u2", "u3"):
            rig.upstreams[name].unreachable = True
            rig.upstreams[name].runs.clear()
        rig.play(45.0)
        self.check_promises(rig)
        # Accepted work is done, if late: nothing is abandoned.
        states = {one.state for one in rig.submissions.values() if not one.is_refused}
        self.assertEqual({"completed"}, states)
        self.assertEqual(0, rig.refusals)

    def test_declared_run_times_are_wrong_by_three(self):
        for factor in (3.0, 1.0 / 3.0):
            rig = LoadRig(seed=3)
            rig.declared_factor = factor
            rig.add_load(ALL, 2.0, 8.0)
            rig.play(28.0)
            self.check_promises(rig)
            self.assertEqual(0, rig.refusals, factor)
            share = rig.find_share(Outcome.ON_TIME, queue="urgent")
            self.assertThat(share, at_least(0.7), factor)

    def test_some_tasks_run_seven_times_as_long(self):
        rig = LoadRig(seed=4)
        rig.tail_share, rig.tail_factor = 0.03, 7.0
        rig.add_load(ALL, 1.5, 10.0)
        rig.play(40.0)
        self.check_promises(rig)
        self.assertThat(rig.find_share(Outcome.REFUSED), matchers.LessThan(0.02))

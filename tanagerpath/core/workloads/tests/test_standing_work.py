import unittest

from tanagerpath.core.workloads import DispatchTerms
from tanagerpath.core.workloads.orders import Refusal
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.fake_upstream import CAPACITY, STEP_S
from tanagerpath.core.workloads.tests.rig import Rig
from tanagerpath.core.workloads.tests.standing_work import StandingWork

# One task of this size fits on an upstream, two do not.
LARGE = Resources(26_000, 140_000, 4)
SMALL = Resources(7_500, 31_000, 1)


class StandingTestCase(unittest.TestCase):
    def watch(self, rig, duration_s):
        """Advance the time and fail if a workload stands still beside free capacity."""
        work = StandingWork(rig.state)
        until_s = rig.now_s + duration_s
        while rig.now_s < until_s:
            rig.run(STEP_S)
            work.check(rig.upstreams.values(), rig.now_s)
        self.assertEqual({}, work.found)

    def put_on_probation(self, rig, names):
        """Let runs fail on some upstreams, which work again afterwards."""
        for name in names:
            rig.upstreams[name].fails_all = True
        for number in range(2 * len(names) + 10):
            rig.submit(f"early{number}", StepSpec(needs=LARGE), queue="batch")
            rig.run(0.1)
        rig.run(8.0)
        for name in names:
            rig.upstreams[name].fails_all = False
            self.assertTrue(rig.dispatcher.context.find_health(name).is_on_probation)


class TestPreferences(StandingTestCase):
    """Preferences of the placement must not keep work waiting beside free capacity."""

    def test_gang_starts_on_upstreams_that_nothing_else_tests(self):
        rig = Rig(upstreams=16)
        self.put_on_probation(rig, [f"u{number}" for number in range(10)])
        gang = StepSpec(count=8, needs=LARGE, gang=True)
        rig.submit("gang", gang, queue="batch", work_s=2.0)
        self.watch(rig, 12.0)
        self.assertEqual("completed", rig.find_state("gang"))

    def test_task_leaves_a_full_preferred_rack(self):
        rig = Rig(upstreams=16)
        self.fill_rack(rig, "r0")
        task = StepSpec(needs=SMALL, preferred_rack="r0", declared_run_s=12.0)
        rig.submit("near", task, queue="batch", work_s=2.0)
        self.watch(rig, 8.0)
        self.assertEqual("completed", rig.find_state("near"))

    def test_gang_spreads_if_no_rack_has_room(self):
        rig = Rig(upstreams=24)
        for number in range(6):
            self.fill_rack(rig, f"r{number}", count=1)
        gang = StepSpec(
            count=4, needs=LARGE, gang=True, same_rack=True, declared_run_s=12.0
        )
        rig.submit("gang", gang, queue="batch", work_s=2.0)
        self.watch(rig, 8.0)
        self.assertEqual("completed", rig.find_state("gang"))

    def test_task_returns_to_avoided_upstreams_if_the_others_are_full(self):
        rig = Rig(upstreams=16)
        self.fill_rack(rig, "r0", count=4)
        task = StepSpec(needs=SMALL, declared_run_s=12.0)
        rig.dispatcher.context.backlog.failed_on["wary"] = {
            f"u{number}" for number in range(4, 16)
        }
        rig.submit("wary", task, queue="batch", work_s=2.0)
        self.watch(rig, 8.0)
        self.assertEqual("completed", rig.find_state("wary"))

    def test_task_starts_beside_the_reservation_of_a_gang(self):
        rig = Rig(upstreams=8)
        rig.submit("long", StepSpec(needs=CAPACITY, declared_run_s=30.0), work_s=30.0)
        rig.run(0.5)
        gang = StepSpec(count=8, needs=LARGE, gang=True, declared_run_s=2.0)
        rig.submit("gang", gang, queue="batch", work_s=2.0)
        task = StepSpec(needs=SMALL, declared_run_s=60.0)
        rig.submit("task", task, work_s=2.0)
        self.watch(rig, 8.0)
        self.assertEqual("completed", rig.find_state("task"))

    def fill_rack(self, rig, rack, count=4):
        """Let long runs take all the capacity of some upstreams of a rack."""
        whole = StepSpec(needs=CAPACITY, preferred_rack=rack, declared_run_s=30.0)
        for number in range(count):
            name = f"full-{rack}-{number}"
            rig.submit(name, whole, queue="batch", work_s=30.0)
        rig.run(0.5)


class TestDelays(StandingTestCase):
    """Delays after failures must not outlast the time that work may stand still."""

    def test_step_starts_soon_after_refused_starts(self):
        rig = Rig(upstreams=16)
        for one in rig.upstreams.values():
            one.refusal = Refusal.NO_ROOM
        rig.submit("refused", StepSpec(needs=SMALL), queue="batch", work_s=2.0)
        rig.run(12.0)
        for one in rig.upstreams.values():
            one.refusal = None
        self.watch(rig, 8.0)
        self.assertEqual("completed", rig.find_state("refused"))


class TestTurns(StandingTestCase):
    """Each unit must get its turn in a plan soon, however many others wait."""

    def test_small_work_starts_behind_gangs_that_do_not_fit(self):
        terms = DispatchTerms(max_plan_pairs=8)
        rig = Rig(upstreams=40, terms=terms)
        rig.commit_delay_s = 0.2
        wide = StepSpec(count=80, needs=LARGE, gang=True)
        for number in range(60):
            rig.submit(f"wide{number}", wide, queue="batch", work_s=2.0)
        rig.run(1.0)
        for number in range(20):
            rig.submit(f"small{number}", StepSpec(needs=SMALL), work_s=2.0)
        self.watch(rig, 12.0)

"""Guards against reservations for gangs that keep other work from unused capacity."""

import testtools

from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.fake_upstream import CAPACITY
from tanagerpath.core.workloads.tests.rig import Rig

# One task of this size fits on an upstream, two do not.
LARGE = Resources(26_000, 140_000, 4)
# Fits beside a large task, and twice does not.
BESIDE = Resources(30_000, 100_000, 4)
LONG_S = 30.0


class TestReservations(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.start(upstreams=4)

    def start(self, upstreams, on_probation=()):
        self.rig = Rig(upstreams=upstreams)
        for name in on_probation:
            health = self.rig.dispatcher.context.find_health(name)
            for number in range(2):
                health.note_failure(f"failed{number}", self.rig.now_s - 60.0)
            self.assertTrue(health.is_on_probation)
        self.submit("long", CAPACITY, work_s=10.0)
        self.rig.run(0.5)
        gang = StepSpec(count=4, needs=LARGE, gang=True, declared_run_s=2.0)
        self.rig.submit("gang", gang, queue="batch", work_s=2.0)

    def submit(self, name, needs, work_s):
        step = StepSpec(needs=needs, declared_run_s=work_s)
        self.rig.submit(name, step, work_s=work_s)

    def test_task_starts_at_once_beside_reserved_capacity(self):
        self.submit("beside", BESIDE, LONG_S)
        self.rig.run(0.4)
        self.assertEqual("running", self.rig.find_state("beside"))

    def test_task_that_outlasts_does_not_take_reserved_capacity(self):
        self.submit("instead", LARGE, LONG_S)
        self.rig.run(0.9)
        self.assertEqual("queued", self.rig.find_state("instead"))

    def test_tasks_beside_a_reservation_leave_its_capacity_whole(self):
        for number in range(6):
            self.submit(f"beside{number}", BESIDE, LONG_S)
        self.rig.run(0.9)
        states = [self.rig.find_state(f"beside{number}") for number in range(6)]
        self.assertEqual(3, states.count("running"))
        self.rig.run(10.0)
        self.assertEqual("running", self.rig.find_state("gang"))

    def test_upstream_on_probation_is_left_to_a_single_task(self):
        self.start(upstreams=5, on_probation=["u4"])
        self.submit("test", LARGE, LONG_S)
        self.rig.run(0.4)
        runs = self.rig.upstreams["u4"].runs
        self.assertEqual(["test"], [task.workload_id for task, _ in runs])

    def test_gang_that_waits_for_a_rack_reserves_no_other_one(self):
        self.rig = Rig(upstreams=12)
        # Two of the four upstreams of each rack are busy, and the last rack is free
        # soonest.
        ends = [("r0", 60), ("r0", 61), ("r1", 60), ("r1", 61), ("r2", 4), ("r2", 8)]
        for rack, work_s in ends:
            step = StepSpec(needs=CAPACITY, preferred_rack=rack, declared_run_s=work_s)
            self.rig.submit(f"{rack}-{work_s}", step, work_s=work_s)
        self.rig.run(0.5)
        gang = StepSpec(
            count=4, needs=LARGE, gang=True, same_rack=True, declared_run_s=20.0
        )
        self.rig.submit("gang", gang, queue="batch", work_s=2.0)
        for number in range(12):
            self.submit(f"small{number}", LARGE, LONG_S)
        self.rig.run(9.0)
        self.assertEqual("running", self.rig.find_state("gang"))

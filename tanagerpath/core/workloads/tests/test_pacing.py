"""Guards tasks that serve users against those that fill idle processor time."""

import testtools

from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

SERVING = StepSpec(
    needs=Resources(60_000, 16_000, 0), long_running=True, tail_target_ms=100.0
)
FILLING = StepSpec(
    needs=Resources(60_000, 16_000, 0), fills=True, declared_run_s=1000.0
)


class TestPacing(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.rig = Rig(upstreams=1)
        self.upstream = self.rig.upstreams["u0"]
        self.rig.submit("serve", SERVING, work_s=1000.0)
        self.rig.submit("fill", FILLING, work_s=1000.0)

    def test_filling_task_runs_beside_a_full_processor(self):
        self.rig.run(2)
        self.assertEqual(2, len(self.upstream.runs))

    def test_filling_task_stands_still_while_the_target_is_missed(self):
        self.upstream.tail_ms = 150.0
        self.rig.run(4)
        self.assertEqual(("fill", 0), self.upstream.paces[-1])

    def test_pace_rises_again_once_there_is_room(self):
        self.upstream.tail_ms = 150.0
        self.rig.run(4)
        self.upstream.tail_ms = 10.0
        self.rig.run(12)
        self.assertEqual(("fill", 100), self.upstream.paces[-1])

    def test_serving_task_is_never_paced(self):
        self.upstream.tail_ms = 150.0
        self.rig.run(6)
        self.assertNotIn("serve", {name for name, _ in self.upstream.paces})

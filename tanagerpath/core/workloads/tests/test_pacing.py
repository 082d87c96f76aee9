"""Guards serving tasks against best-effort tasks beside them."""

import testtools

from tanagerpath.core.workloads.orders import PaceRequest
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

SERVING = StepSpec(
    needs=Resources(60_000, 16_000, 0), long_running=True, tail_target_ms=100.0
)
BEST_EFFORT = StepSpec(
    needs=Resources(60_000, 16_000, 0), fills=True, declared_run_s=1000.0
)


class TestPacing(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.rig = Rig(upstreams=1)
        self.upstream = self.rig.upstreams["u0"]
        self.rig.submit("serve", SERVING, work_s=1000.0)
        self.rig.submit("fill", BEST_EFFORT, work_s=1000.0)

    def test_best_effort_task_runs_on_a_fully_reserved_upstream(self):
        self.rig.run(2)
        self.assertEqual(2, len(self.upstream.runs))

    def test_best_effort_task_is_paused_while_the_target_is_missed(self):
        self.upstream.tail_ms = 150.0
        self.rig.run(4)
        self.assertEqual(("fill", 0), self.upstream.paces[-1])

    def test_pace_rises_again_once_the_target_is_met(self):
        self.upstream.tail_ms = 150.0
        self.rig.run(4)
        self.upstream.tail_ms = 10.0
        self.rig.run(12)
        self.assertEqual(("fill", 100), self.upstream.paces[-1])

    def test_serving_task_is_never_paced(self):
        self.upstream.tail_ms = 150.0
        self.rig.run(6)
        self.assertNotIn("serve", {name for name, _ in self.upstream.paces})

    def test_pace_rises_again_once_the_serving_task_has_ended(self):
        self.upstream.tail_ms = 150.0
        self.rig.run(4)
        self.rig.cancel("serve")
        self.rig.run(4)
        self.assertEqual(("fill", 100), self.upstream.paces[-1])

    def test_new_leader_raises_a_pace_that_an_earlier_one_lowered(self):
        self.upstream.tail_ms = 150.0
        self.rig.run(4)
        self.upstream.tail_ms = 10.0
        self.rig.start_term(2)
        self.rig.run(12)
        self.assertEqual(("fill", 100), self.upstream.paces[-1])

    def _lose_pace_orders(self, delay_s=None):
        """Drop pace orders, or deliver them after `delay_s` without a reply."""

        def call(one):
            if not isinstance(one.request, PaceRequest):
                return self.original_call(one)
            self.rig._fail(one)
            if delay_s is not None:
                self.rig._schedule(delay_s, ("late", one, self.upstream))
            return None

        self.original_call = self.rig._call
        self.rig._call = call

    def _answer_pace_orders(self):
        self.rig._call = self.original_call

    def test_unanswered_pace_order_is_sent_again(self):
        self.rig.run(2)
        self._lose_pace_orders()
        self.upstream.tail_ms = 150.0
        self.rig.run(2)
        self._answer_pace_orders()
        self.rig.run(2)
        self.assertEqual([("fill", 0)], self.upstream.paces[-1:])

    def test_delayed_pace_order_does_not_override_a_later_one(self):
        self.rig.run(2)
        self._lose_pace_orders(delay_s=10.0)
        self.upstream.tail_ms = 150.0
        self.rig.run(2)
        self._answer_pace_orders()
        self.upstream.tail_ms = 10.0
        self.rig.run(16)
        self.assertIn(("fill", 0), self.upstream.paces)
        self.assertEqual(("fill", 100), self.upstream.paces[-1])

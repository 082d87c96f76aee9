"""Guards against runs that are lost with their upstream, or stopped as stalled."""

import attrs
import testtools

from tanagerpath.core.workloads.dispatch_context import DispatchTerms
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.runs import RunPhase
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

WHOLE = Resources(8_000, 16_000, 8)
NOTICE_S = 1.6
STOP_S = 0.85


class TestLeavingUpstreams(testtools.TestCase):
    def test_checkpoint_is_saved_before_the_end_where_stops_take_long(self):
        # The stop was ordered 0.6 s before the end, whatever time a stop takes.
        rig = Rig(upstreams=1, terms=DispatchTerms(stop_timeout_s=0.9))
        fake = rig.upstreams["u0"]
        fake.stop_s = STOP_S
        step = StepSpec(needs=WHOLE, declared_run_s=9.0, checkpointing=True)
        rig.submit("w", step, queue="batch", work_s=9.0)
        rig.run(3.0)
        record = attrs.evolve(fake.record, draining=True)
        rig.report(record, sequence=1_000, remaining_s=NOTICE_S)
        rig.run(NOTICE_S)
        self.assertEqual({}, fake.runs)
        (task,) = rig.state.workloads["w"].tasks.values()
        self.assertNotEqual("", task.checkpoint)


class TestStalls(testtools.TestCase):
    def test_straggler_on_a_slow_upstream_is_not_stopped_as_stalled(self):
        # Its next percent was listed later than the stall timeout, which depended on
        # the predicted run time only.
        rig = Rig(upstreams=1)
        step = StepSpec(needs=WHOLE, declared_run_s=3.0)
        rig.submit("w", step, queue="batch", work_s=3.0)
        rig.run(1.0)
        context = rig.dispatcher.context
        ((session, view),) = context.run_index.list_runs("w")
        session.last_contact_s = context.now_s
        view.running_since_s = context.now_s - 44.0
        view.progress_s, view.percent = context.now_s - 4.0, 10
        rig.dispatcher._supervisor.stop_stalled(session)
        self.assertIs(RunPhase.RUNNING, view.phase)
        view.progress_s = context.now_s - 24.0
        rig.dispatcher._supervisor.stop_stalled(session)
        self.assertIs(RunPhase.STOPPING, view.phase)

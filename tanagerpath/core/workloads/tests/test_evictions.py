"""Guards against preemption that loses more work than it has to."""

import testtools

from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

WHOLE = Resources(8_000, 16_000, 8)


def _gang(count):
    return StepSpec(
        count=count, needs=WHOLE, declared_run_s=9.0, gang=True, checkpointing=True
    )


def _list_preempted(rig):
    """Return the workloads of the preempted runs."""
    return [
        decision.fields["task"].split(".")[0]
        for decision in rig.decisions
        if decision.name == "run stopped"
        and decision.fields["reason"].startswith("room for")
    ]


class TestGangs(testtools.TestCase):
    def test_one_gang_is_preempted_for_all_members_that_it_frees(self):
        # Each upstream was judged alone: the loss of a single run, which is cheaper
        # than a gang, was added to that of the gang that frees enough by itself. The
        # sum was too large for any preemption.
        rig = Rig(upstreams=4)
        rig.run(0.5)
        rig.submit("gang", _gang(3), queue="batch", work_s=9.0)
        rig.run(0.2)
        single = StepSpec(count=1, needs=WHOLE, declared_run_s=9.0)
        rig.submit("single", single, queue="batch", work_s=9.0)
        rig.run(2.5)
        urgent = StepSpec(count=3, needs=WHOLE, declared_run_s=1.0, gang=True)
        rig.submit("urgent", urgent, queue="urgent", work_s=1.0)
        rig.run(0.5)
        self.assertEqual(["gang"] * 3, _list_preempted(rig))

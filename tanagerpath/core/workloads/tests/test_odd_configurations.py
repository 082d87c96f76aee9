"""Guards against accepted configurations on which the leader's decisions fail."""

import attrs
import testtools

from tanagerpath.core.workloads.commands import PutConfiguration
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

SMALL = Resources(8_000, 16_000, 1)


class TestObjectives(testtools.TestCase):
    def test_work_of_a_queue_without_an_objective_is_served(self):
        """The rank of its work divided by an objective of 0 seconds."""
        rig = Rig(upstreams=2)
        before = rig.state.configuration
        queues = tuple(
            attrs.evolve(queue, objective_factor=0.0, objective_margin_s=0.0)
            for queue in before.queues
        )
        rig.apply(PutConfiguration(attrs.evolve(before, version=2, queues=queues)))
        for number, queue in enumerate(("urgent", "batch", "scan")):
            step = StepSpec(count=8, needs=SMALL, declared_run_s=1.0)
            rig.submit(f"w{number}", step, queue=queue)
        rig.run(20.0)
        states = {rig.find_state(f"w{number}") for number in range(3)}
        self.assertEqual({"completed"}, states)

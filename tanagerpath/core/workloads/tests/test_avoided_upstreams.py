"""Guards against work that never starts again, as too many upstreams are avoided."""

import testtools

from tanagerpath.core.workloads.tests.rig import Rig
from tanagerpath.core.workloads.tests.silence import WHOLE, cut, make_step


class TestAvoidedUpstreams(testtools.TestCase):
    def test_gang_that_needs_avoided_upstreams_starts(self):
        rig = Rig(upstreams=3)
        rig.dispatcher.context.backlog.failed_on["w"] = {"u0"}
        rig.submit("w", make_step(3, WHOLE, gang=True), work_s=1.0)
        rig.run(3.0)
        self.assertEqual("completed", rig.find_state("w"))

    def test_gang_that_fits_elsewhere_avoids_an_upstream(self):
        rig = Rig(upstreams=3)
        rig.dispatcher.context.backlog.failed_on["w"] = {"u0"}
        rig.submit("w", make_step(2, WHOLE, gang=True), work_s=1.0)
        rig.run(1.0)
        self.assertEqual({}, rig.upstreams["u0"].runs)
        self.assertEqual(2, len(rig.starts))

    def test_members_that_wait_for_a_lost_one_blame_no_upstream(self):
        rig = Rig(upstreams=3)
        rig.submit("w", make_step(3, WHOLE, gang=True), work_s=9.0)
        rig.run(1.0)
        cut(rig, "u2")
        for name in ("u0", "u1"):
            rig.upstreams[name].stalls = True
        rig.run(6.0)
        self.assertGreater(rig.counts["run stopped: no progress"], 0)
        self.assertEqual({}, rig.dispatcher.context.backlog.failed_on)

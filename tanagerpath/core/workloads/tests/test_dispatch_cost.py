"""Guards against a leader whose work for each event grows with its fleet."""

import testtools

from tanagerpath.core.coordination import Ticked, UpstreamReplied
from tanagerpath.core.workloads.orders import HoldReply, HoldRequest
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.run_driver import RunDriver
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

UPSTREAMS = 40


class TestEvents(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.driven = []
        drive = RunDriver.drive

        def record_drive(driver, session):
            self.driven.append(session.upstream_id)
            drive(driver, session)

        self.patch(RunDriver, "drive", record_drive)
        self.rig = Rig(upstreams=UPSTREAMS)
        self.rig.run(1.0)
        self.driven.clear()

    def reply_to_renewal(self, name):
        session = self.rig.dispatcher.context.sessions[name]
        reply = HoldReply(clock_ms=1, running=(), ended=())
        request = session.hold or HoldRequest(1, 0, None, 0)
        event = UpstreamReplied(name, session.record.incarnation, request, reply)
        self.rig.dispatcher.handle([event], self.rig.instant)

    def test_reply_causes_checks_of_its_upstream_only(self):
        # The leader checked all runs of all upstreams for each reply: with 264
        # upstreams, a third of the time of its decisions.
        self.reply_to_renewal("u7")
        self.assertEqual({"u7"}, set(self.driven))

    def test_tick_causes_checks_of_all_upstreams(self):
        # A deadline passes without an event of its upstream.
        self.rig.dispatcher.handle([Ticked()], self.rig.instant)
        self.assertEqual(UPSTREAMS, len(set(self.driven)))


class TestStops(testtools.TestCase):
    def test_stop_of_a_plan_is_sent_with_the_plan(self):
        # The stops of preempted runs were sent with the next event or tick only.
        rig = Rig(upstreams=1)
        needs = Resources(8_000, 16_000, 8)
        rig.submit("low", StepSpec(needs=needs, declared_run_s=9.0), work_s=9.0)
        rig.run(1.0)
        rig.submit("top", StepSpec(needs=needs), queue="urgent")
        while not rig.counts["room claimed"]:
            rig.run(0.05)
        stopping = rig.upstreams["u0"].runs.values()
        self.assertEqual([True], [run.stops_at_s is not None for run in stopping])

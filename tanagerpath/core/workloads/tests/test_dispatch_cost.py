"""Guards against a leader whose work for each event grows with its fleet."""

import testtools

from tanagerpath.core.coordination import Ticked, UpstreamReplied
from tanagerpath.core.workloads import DispatchTerms
from tanagerpath.core.workloads.commands import ExpireWorkloads
from tanagerpath.core.workloads.free_capacity import FreeCapacity
from tanagerpath.core.workloads.orders import HoldReply, HoldRequest
from tanagerpath.core.workloads.pacing import PaceController
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.run_driver import RunDriver
from tanagerpath.core.workloads.run_observer import RunObserver
from tanagerpath.core.workloads.run_supervisor import RunSupervisor
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

    def test_tick_handles_only_runs_with_an_order_or_without_progress(self):
        # Three checks of each run and tick took 3 ms with 176 upstreams and 8 runs on
        # each, 10 times a second.
        step = StepSpec(count=4, needs=Resources(8_000, 16_000, 1), declared_run_s=9.0)
        self.rig.submit("w", step, work_s=9.0)
        self.rig.run(1.0)
        checked = []
        for owner, name in (
            (RunDriver, "_drive_run"),
            (RunSupervisor, "_is_stalled"),
            (PaceController, "_adjust_upstream"),
        ):
            self.patch(owner, name, lambda *details: checked.append(details))
        self.rig.dispatcher.handle([Ticked()], self.rig.instant)
        self.assertEqual([], checked)


class _CountedSessions(dict):
    """Sessions that count the walks over all of them."""

    walks = 0

    def values(self):
        self.walks += 1
        return super().values()


class TestGangs(testtools.TestCase):
    def test_progress_of_a_gang_causes_no_look_at_other_upstreams(self):
        # Each list with a member of a gang walked over the runs of all upstreams.
        rig = Rig(upstreams=6)
        rig.run(0.5)
        step = StepSpec(count=3, needs=Resources(8_000, 16_000, 8), gang=True)
        rig.submit("gang", step, work_s=9.0)
        rig.run(1.0)
        context = rig.dispatcher.context
        context.sessions = _CountedSessions(context.sessions)
        session, view = context.run_index.list_runs("gang")[0]
        RunObserver(context).observe(session, view, 50)
        self.assertEqual(0, context.sessions.walks)
        self.assertTrue(view.observed)

    def test_index_holds_the_open_runs_and_nothing_else(self):
        rig = Rig(upstreams=2)
        rig.submit("w", StepSpec(count=4, needs=Resources(8_000, 16_000, 1)))
        rig.run(0.5)
        index = rig.dispatcher.context.run_index
        self.assertEqual(4, len(index.list_runs("w")))
        rig.start_term(2)
        index = rig.dispatcher.context.run_index
        self.assertEqual(4, len(index.list_runs("w")))
        rig.run(3.0)
        self.assertEqual([], index.list_runs("w"))


class TestReservations(testtools.TestCase):
    def test_gangs_of_one_shape_look_at_each_upstream_once(self):
        # Each of up to 8 gangs walked over the runs of all upstreams: with 264
        # upstreams, a quarter of the time of the decisions.
        walked = []
        list_run_ends = FreeCapacity.list_run_ends

        def record_walk(free_capacity, session):
            walked.append((free_capacity, session.upstream_id))
            return list_run_ends(free_capacity, session)

        self.patch(FreeCapacity, "list_run_ends", record_walk)
        rig = Rig(upstreams=6)
        whole = Resources(8_000, 16_000, 8)
        step = StepSpec(count=6, needs=whole, declared_run_s=9.0)
        rig.submit("low", step, work_s=9.0)
        rig.run(1.0)
        gang = StepSpec(count=3, needs=whole, declared_run_s=2.0, gang=True)
        for number in range(3):
            rig.submit(f"gang{number}", gang, queue="batch")
        rig.run(1.0)
        self.assertNotEqual([], walked)
        self.assertEqual(len(set(walked)), len(walked))


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


class TestExpiry(testtools.TestCase):
    def test_ended_workload_with_an_open_run_is_not_expired_in_vain(self):
        # Its record can't be dropped before the run has ended, and a command was
        # proposed every 5 s without effect.
        rig = Rig(upstreams=1, terms=DispatchTerms(retention_s=1.0))
        rig.submit("w", StepSpec(needs=Resources(8_000, 16_000, 1)), work_s=30.0)
        rig.run(1.0)
        expiries = []
        apply = rig.state.apply

        def record_expiry(index, command):
            applied = apply(index, command)
            if isinstance(command, ExpireWorkloads):
                expiries.append(applied.changed)
            return applied

        self.patch(rig.state, "apply", record_expiry)
        rig.upstreams["u0"].unreachable = True
        rig.cancel("w")
        rig.run(30.0)
        self.assertEqual([True], expiries)
        self.assertEqual({}, rig.state.workloads)

"""Guards against ends of runs that are concluded, counted or acknowledged wrongly.

They were found when the first fix of incident 35 was reviewed.
"""

import attrs
import testtools

from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.orders import (
    EndedRun,
    HoldRequest,
    Refusal,
    StartRequest,
    StopRequest,
)
from tanagerpath.core.workloads.requests import WithdrawalReport
from tanagerpath.core.workloads.runs import StopCause
from tanagerpath.core.workloads.specs import TaskId
from tanagerpath.core.workloads.tests.rig import Rig
from tanagerpath.core.workloads.tests.silence import (
    LEASE_S,
    WHOLE,
    SlowLogRig,
    cut,
    find_host,
    join,
    list_runs,
    make_step,
)


def _find_run(rig, host):
    session = rig.dispatcher.context.sessions[host]
    return session, next(iter(session.runs.values()))


def _list_end(fake, task, run, outcome):
    """Let an upstream list an end of which it has no run."""
    fake.end_count += 1
    fake.ended.append(EndedRun(fake.end_count, task, run, outcome, ""))


class TestLeases(testtools.TestCase):
    def test_upstream_cut_for_seven_seconds_of_a_new_term_keeps_its_runs(self):
        rig = Rig(upstreams=1)
        rig.submit("w", make_step(), work_s=30.0)
        rig.run(3.0)
        cut(rig, "u0")
        rig.run(0.3)
        rig.start_term(2)
        rig.run(7.2)
        join(rig, "u0")
        rig.run(6.0)
        self.assertEqual([1], list_runs(rig, "w"))

    def test_silent_upstream_that_refused_a_renewal_before_is_asked_once_more(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step())
        rig.run(0.5)
        host, _ = find_host(rig)
        rig.upstreams[host].refused_orders[HoldRequest] = Refusal.UNHEALTHY
        rig.run(2.0)
        rig.upstreams[host].refused_orders.clear()
        cut(rig, host)
        until_s = rig.dispatcher.context.sessions[host].find_lease_expiry_s(
            rig.terms.leases
        )
        rig.run(until_s - rig.now_s - 0.1)
        join(rig, host)
        rig.run(3.0)
        self.assertEqual([1], list_runs(rig, "w"))


class TestStops(testtools.TestCase):
    def test_inherited_run_with_a_slow_stop_is_over_only_with_its_end(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step(), work_s=3.0)
        rig.run(0.5)
        host, _ = find_host(rig)
        fake = rig.upstreams[host]
        fake.hides_stopping = True
        fake.stop_s = 0.8
        session, view = _find_run(rig, host)
        rig.dispatcher._driver.stop(session, view, "a test", StopCause.PREEMPTION)
        rig.run(0.1)
        rig.start_term(2)
        rig.run(0.6)
        self.assertEqual([1], list_runs(rig, "w"))

    def test_refused_repetition_of_a_stop_does_not_show_that_the_run_is_over(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step(), work_s=3.0)
        rig.run(0.5)
        host, _ = find_host(rig)
        fake = rig.upstreams[host]
        fake.hides_stopping = True
        fake.stop_s = 0.8
        session, view = _find_run(rig, host)
        # The first stop is carried out, and its reply is lost.
        fake.handle(StopRequest(task=view.task, run=view.run, fencing_token=rig.term))
        fake.refused_orders[StopRequest] = Refusal.UNHEALTHY
        rig.dispatcher._driver.stop(session, view, "a test", StopCause.PREEMPTION)
        for _ in range(6):
            rig.run(0.1)
            session.request_list(rig.now_s)
        self.assertEqual([1], list_runs(rig, "w"))

    def test_new_leader_lets_a_gang_member_end_whose_peer_is_done(self):
        rig = Rig(upstreams=2)
        gang, last = make_step(2, WHOLE, gang=True), make_step(depends_on=(0,))
        rig.submit("gang", gang, last, queue="batch", work_s=2.0)
        rig.run(1.5)
        # The other one stalls shortly before the end.
        frozen = rig.upstreams["u1"]
        frozen.advance = lambda: None
        rig.run(0.8)
        self.assertTrue(rig.state.workloads["gang"].is_step_done(0, 0))
        self.assertEqual(1, len(frozen.runs))
        rig.start_term(2)
        rig.run(0.4)
        del frozen.advance
        rig.run(0.3)
        stops = [one for one in rig.decisions if one.name == "run ended"]
        outcomes = {one.fields["outcome"] for one in stops}
        self.assertEqual({"done"}, outcomes)

    def test_unknown_run_with_a_slow_stop_bars_its_task_until_it_has_ended(self):
        """The rig raises if the task runs twice."""
        rig = Rig(upstreams=2)
        fake = rig.upstreams["u1"]
        fake.hides_stopping = True
        fake.stop_s = 0.8
        rig.has_lease = False
        rig.submit("w", make_step(), work_s=3.0)
        start = StartRequest(
            task=TaskId("w", 0, 0, 0),
            run=1,
            payload="",
            lease_until_ms=104_000,
            fencing_token=0,
        )
        fake.handle(start)
        rig.run(0.1)
        rig.has_lease = True
        for _ in range(8):
            rig.run(0.1)
            rig.dispatcher.context.sessions["u1"].request_list(rig.now_s)
        rig.run(8.0)
        self.assertEqual("completed", rig.find_state("w"))


class TestDepartures(testtools.TestCase):
    def _withdraw(self, rig, host):
        record = attrs.evolve(rig.upstreams[host].record, draining=True)
        rig.report(record, sequence=1_000, remaining_s=10.0)
        registry = rig.dispatcher.registry
        for command in registry.handle_withdrawal(WithdrawalReport(host)):
            rig.apply(command)

    def test_stall_of_the_leader_is_no_silence_of_a_withdrawn_upstream(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step(), work_s=4.0)
        rig.run(0.5)
        host, _ = find_host(rig)
        self._withdraw(rig, host)
        rig.run(0.3)
        self.assertEqual(1, len(rig.upstreams[host].runs))
        # The calls of this time fail, as their replies are not read.
        cut(rig, host)
        rig.run(0.1)
        rig.now_s += 1.5
        join(rig, host)
        rig.run(1.0)
        self.assertEqual([1], list_runs(rig, "w"))

    def test_new_leader_lets_a_run_on_a_withdrawn_upstream_go_on(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step(), work_s=4.0)
        rig.run(0.5)
        host, _ = find_host(rig)
        self._withdraw(rig, host)
        rig.run(0.3)
        rig.start_term(2)
        rig.run(2.0)
        self.assertEqual([1], list_runs(rig, "w"))

    def test_done_run_of_an_upstream_that_was_set_aside_does_not_start_again(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step())
        rig.run(0.5)
        host, _ = find_host(rig)
        session, _ = _find_run(rig, host)
        rig.dispatcher.registry.set_aside(session)
        rig.run(LEASE_S + 3.0)
        self.assertEqual([1], list_runs(rig, "w"))
        self.assertEqual("completed", rig.find_state("w"))


class TestNewLeader(testtools.TestCase):
    def _lapse(self, rig, cut_s=LEASE_S + 2.0):
        rig.submit("w", make_step())
        rig.run(0.5)
        host, other = find_host(rig)
        cut(rig, host, other)
        rig.run(cut_s)
        join(rig, host, other)
        return host

    def test_first_list_that_is_cut_off_does_not_let_tasks_start_again(self):
        rig = Rig(upstreams=2)
        host = self._lapse(rig)
        rig.upstreams[host].lists_nothing = True
        rig.start_term(2)
        rig.run(0.3)
        rig.upstreams[host].lists_nothing = False
        rig.run(3.0)
        self.assertEqual([1], list_runs(rig, "w"))

    def test_refusal_as_unhealthy_does_not_let_tasks_start_again(self):
        rig = Rig(upstreams=2)
        host = self._lapse(rig)
        rig.upstreams[host].refused_orders[HoldRequest] = Refusal.UNHEALTHY
        rig.start_term(2)
        rig.run(0.3)
        rig.upstreams[host].refused_orders.clear()
        rig.run(3.0)
        self.assertEqual([1], list_runs(rig, "w"))

    def test_stall_of_a_new_leader_does_not_let_tasks_start_again(self):
        rig = Rig(upstreams=2)
        host = self._lapse(rig)
        rig.start_term(2)
        # The calls of this time fail, as their replies are not read.
        cut(rig, host)
        rig.run(0.1)
        rig.now_s += 2.0
        join(rig, host)
        rig.run(3.0)
        self.assertEqual([1], list_runs(rig, "w"))

    def test_leader_that_reached_no_upstream_hears_them_before_tasks_start_again(self):
        rig = Rig(upstreams=2)
        # The call to the other one is sent again first.
        self._lapse(rig, LEASE_S + 3.1)
        rig.run(4.0)
        self.assertEqual([1], list_runs(rig, "w"))

    def test_failure_of_a_run_closed_by_an_earlier_leader_counts(self):
        rig = Rig(upstreams=2)
        rig.failing_workloads.add("w")
        rig.submit("w", make_step())
        rig.run(0.05)
        cut(rig, *rig.upstreams)
        rig.run(LEASE_S + 2.0)
        rig.start_term(2)
        join(rig, *rig.upstreams)
        rig.run(8.0)
        self.assertEqual("failed", rig.find_state("w"))
        self.assertEqual([1, 2, 3], list_runs(rig, "w"))


class TestCounts(testtools.TestCase):
    def test_end_listed_by_an_upstream_without_the_run_does_not_count(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step(), work_s=3.0)
        rig.run(0.5)
        host, other = find_host(rig)
        task = next(iter(rig.upstreams[host].runs.values())).task
        _list_end(rig.upstreams[other], task, 1, RunOutcome.DONE)
        rig.run(1.0)
        self.assertEqual(1, len(rig.upstreams[host].runs))
        self.assertEqual("running", rig.find_state("w"))

    def test_failure_that_is_listed_under_two_numbers_counts_once(self):
        rig = Rig(upstreams=1)
        rig.submit("w", make_step())
        rig.run(0.5)
        cut(rig, "u0")
        rig.run(LEASE_S + 2.0)
        fake = rig.upstreams["u0"]
        fake.refusal = Refusal.NO_ROOM
        fake.ended.clear()
        task = TaskId("w", 0, 0, 0)
        for _ in range(3):
            _list_end(fake, task, 1, RunOutcome.FAILED)
        join(rig, "u0")
        rig.run(3.0)
        record = rig.state.workloads["w"].find_task(task)
        self.assertEqual(1, record.failures)

    def test_failure_that_is_listed_again_after_a_new_registration_counts_once(self):
        rig = Rig(upstreams=1)
        rig.submit("w", make_step())
        rig.failing_workloads.add("w")
        rig.run(0.05)
        cut(rig, "u0")
        rig.run(LEASE_S + 2.0)
        fake = rig.upstreams["u0"]
        fake.refusal = Refusal.NO_ROOM
        listed = list(fake.ended)
        task = TaskId("w", 0, 0, 0)
        self.assertEqual([1], list_runs(rig, "w"))
        self.assertEqual(0, rig.state.workloads["w"].find_task(task).failures)
        join(rig, "u0")
        for _ in range(100):
            if rig.state.workloads["w"].find_task(task).failures:
                break
            rig.run(0.05)
        cut(rig, "u0")
        # Its acknowledgement does not arrive.
        fake.ended = listed
        rig.run(45.0)
        self.assertNotIn("u0", rig.state.upstreams)
        join(rig, "u0")
        rig.report(fake.record, sequence=1_000)
        rig.run(1.0)
        self.assertEqual(1, rig.state.workloads["w"].find_task(task).failures)

    def test_closed_runs_of_ended_workloads_are_forgotten(self):
        rig = Rig(upstreams=1)
        rig.upstreams["u0"].refusal = Refusal.NO_ROOM
        rig.submit("w", make_step())
        rig.run(5.0)
        rig.cancel("w")
        rig.run(200.0)
        self.assertNotIn("w", rig.state.workloads)
        self.assertEqual({}, rig.dispatcher.context.closed_unlisted)

    def test_ends_that_no_run_can_have_are_acknowledged_and_change_nothing(self):
        rig = Rig(upstreams=1)
        rig.submit("w", make_step(), work_s=3.0)
        rig.run(0.5)
        fake = rig.upstreams["u0"]
        for task, run in (
            (TaskId("unknown", 0, 0, 0), 1),
            (TaskId("w", 0, 7, 0), 1),
            (TaskId("w", 0, 0, 5), 1),
            (TaskId("w", 0, 0, 0), 0),
            (TaskId("w", 0, 0, 0), 9),
        ):
            _list_end(fake, task, run, RunOutcome.DONE)
        rig.run(3.5)
        self.assertEqual([], fake.ended)
        self.assertEqual([], [one for one in rig.decisions if one.is_fault])
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual([1], list_runs(rig, "w"))


class TestCommits(testtools.TestCase):
    """The end of an earlier run is listed while the start of a later one commits."""

    def _list_end_while_a_start_commits(self):
        rig = SlowLogRig(upstreams=2)
        rig.submit("w", make_step())
        rig.run(0.5)
        host, other = find_host(rig)
        cut(rig, host)
        rig.run(LEASE_S - 1.0)
        while not rig.state.workloads["w"].find_task(TaskId("w", 0, 0, 0)).last_run:
            rig.run(0.05)
        rig.commit_delay_s = 1.5
        while sum(one.name == "task placed" for one in rig.decisions) < 2:
            rig.run(0.05)
        join(rig, host)
        return rig, host, other

    def test_start_of_a_later_run_is_not_sent(self):
        rig, _, _ = self._list_end_while_a_start_commits()
        rig.run(6.0)
        self.assertEqual([1], list_runs(rig, "w"))
        self.assertEqual("completed", rig.find_state("w"))

    def test_end_is_acknowledged_only_once_it_is_recorded(self):
        rig, host, _ = self._list_end_while_a_start_commits()
        record = rig.state.workloads["w"]
        while not record.is_step_done(0, 0):
            self.assertEqual(1, len(rig.upstreams[host].ended))
            rig.run(0.05)
        rig.run(1.0)
        self.assertEqual([], rig.upstreams[host].ended)

    def test_no_start_is_planned_in_the_step_that_hears_of_the_end(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step())
        rig.run(0.5)
        host, other = find_host(rig)
        rig.submit("full", make_step(needs=WHOLE), work_s=60.0)
        rig.run(0.2)
        self.assertEqual(1, len(rig.upstreams[other].runs))
        cut(rig, host)
        rig.run(LEASE_S + 2.0)
        join(rig, host)
        for _ in range(60):
            rig.dispatcher.context.must_plan = True
            rig.run(0.05)
        placed = [one for one in rig.decisions if one.name == "task placed"]
        self.assertEqual(2, len(placed))
        self.assertEqual("completed", rig.find_state("w"))

    def test_earlier_ends_wait_for_the_record_of_a_late_one(self):
        rig = Rig(upstreams=1)
        rig.submit("w", make_step())
        rig.run(0.5)
        context = rig.dispatcher.context
        session = context.sessions["u0"]
        session.listed_end = 1
        end = EndedRun(1, TaskId("w", 0, 0, 0), 1, RunOutcome.DONE)
        context.queue_late_end(session, end)
        rig.dispatcher._acknowledge_ends(session)
        self.assertEqual(0, session.recorded_end)

    def test_new_leader_stops_a_later_run_of_a_task_that_is_done(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step(), make_step(depends_on=(0,)), work_s=7.0)
        rig.run(2.0)
        host, other = find_host(rig)
        cut(rig, host)
        rig.run(LEASE_S + 4.0)
        self.assertEqual([1, 2], list_runs(rig, "w"))
        join(rig, host)
        while not rig.state.workloads["w"].is_step_done(0, 0):
            rig.run(0.05)
        later = next(iter(rig.upstreams[other].runs.values()))
        later.stops_at_s = None
        rig.start_term(2)
        rig.run(0.6)
        self.assertNotIn((later.task, later.run), rig.upstreams[other].runs)

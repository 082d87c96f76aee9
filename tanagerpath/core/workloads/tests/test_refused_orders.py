"""Guards against orders that are refused for a passing reason and not sent again."""

import testtools

from tanagerpath.core.workloads.orders import (
    HoldRequest,
    PaceRequest,
    Refusal,
    StartRequest,
    StopRequest,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.runs import RunPhase, RunView
from tanagerpath.core.workloads.specs import StepSpec, TaskId
from tanagerpath.core.workloads.start_backoff import StartBackoff
from tanagerpath.core.workloads.tests.rig import Rig

SMALL = Resources(8_000, 16_000, 1)
WHOLE = Resources(8_000, 16_000, 8)
# Bound that the users' platform states for guaranteed work.
GUARANTEED_START_S = 2.7


def _step(count=1, needs=SMALL, declared_run_s=1.0, **fields):
    return StepSpec(count=count, needs=needs, declared_run_s=declared_run_s, **fields)


def _refuse(rig, order, refusal=Refusal.UNHEALTHY):
    for upstream in rig.upstreams.values():
        upstream.refused_orders[order] = refusal


def _accept(rig):
    for upstream in rig.upstreams.values():
        upstream.refused_orders.clear()


def _count_open_runs(rig):
    sessions = rig.dispatcher.context.sessions.values()
    return sum(len(session.runs) for session in sessions)


class TestStops(testtools.TestCase):
    def test_refused_stop_is_sent_again(self):
        for refusal in (Refusal.UNHEALTHY, Refusal.MALFORMED, Refusal.NO_ROOM):
            rig = Rig()
            rig.submit("scan", _step(8, declared_run_s=60.0), work_s=60.0)
            rig.run(1.0)
            _refuse(rig, StopRequest, refusal)
            rig.cancel("scan")
            rig.run(2.0)
            _accept(rig)
            rig.run(2.0)
            self.assertEqual(0, _count_open_runs(rig), refusal)

    def test_guaranteed_gang_starts_once_refused_stops_are_accepted(self):
        rig = Rig()
        rig.submit("scan", _step(32, declared_run_s=60.0), work_s=60.0)
        rig.run(1.0)
        _refuse(rig, StopRequest)
        rig.submit("check", _step(2, WHOLE, gang=True), queue="urgent")
        rig.run(2.0)
        _accept(rig)
        self.assertLess(rig.measure_start("check"), GUARANTEED_START_S)

    def test_no_claim_counts_on_a_run_that_does_not_stop(self):
        rig = Rig(upstreams=2)
        rig.submit("scan", _step(16, declared_run_s=60.0), work_s=60.0)
        rig.run(1.0)
        rig.upstreams["u0"].refused_orders[StopRequest] = Refusal.UNHEALTHY
        rig.submit("check", _step(1, WHOLE), queue="urgent")
        self.assertLess(rig.measure_start("check"), GUARANTEED_START_S)

    def test_repeated_stops_do_not_put_off_the_end_of_a_run_that_never_started(self):
        rig = Rig()
        # Each renewal waits for its full time, longer than the interval of stops.
        rig.random.random = lambda: 0.99
        rig.late_order_rate = 1.0
        rig.submit("scan", _step(1))
        rig.run(0.2)
        rig.cancel("scan")
        rig.late_order_rate = 0.0
        rig.run(5.0)
        self.assertEqual(0, _count_open_runs(rig))

    def test_delayed_start_after_a_refused_stop_does_not_run_twice(self):
        rig = Rig(upstreams=2)
        rig.late_order_rate = 1.0
        rig.submit("scan", _step(1), work_s=5.0)
        rig.run(1.8)
        rig.late_order_rate = 0.0
        _refuse(rig, StopRequest)
        rig.run(14.0)
        _accept(rig)
        rig.run(14.0)
        self.assertEqual("completed", rig.find_state("scan"))


class TestRenewals(testtools.TestCase):
    def test_refused_renewal_is_sent_again(self):
        for refusal in (Refusal.UNHEALTHY, Refusal.MALFORMED):
            rig = Rig()
            rig.submit("scan", _step(8, declared_run_s=3.0), work_s=3.0)
            rig.run(1.0)
            _refuse(rig, HoldRequest, refusal)
            rig.run(2.0)
            _accept(rig)
            rig.run(4.0)
            self.assertEqual("completed", rig.find_state("scan"), refusal)

    def test_runs_end_with_their_lease_while_renewals_are_refused(self):
        rig = Rig(upstreams=2)
        rig.submit("scan", _step(8, declared_run_s=9.0), work_s=9.0)
        rig.run(1.0)
        rig.upstreams["u0"].refused_orders[HoldRequest] = Refusal.UNHEALTHY
        rig.run(30.0)
        self.assertEqual("completed", rig.find_state("scan"))


class TestPaces(testtools.TestCase):
    def test_refused_pace_is_sent_again(self):
        rig = Rig(upstreams=1)
        serving = _step(1, long_running=True, tail_target_ms=100.0)
        rig.submit("serve", serving, work_s=999.0)
        rig.submit("fill", _step(1, fills=True, declared_run_s=99.0), work_s=99.0)
        rig.run(1.0)
        _refuse(rig, PaceRequest)
        rig.upstreams["u0"].tail_ms = 150.0
        rig.run(3.0)
        _accept(rig)
        rig.run(2.0)
        self.assertIn(("fill", 0), rig.upstreams["u0"].paces)


class TestAdvice(testtools.TestCase):
    def test_refused_advice_is_asked_for_again(self):
        rig = Rig()
        rig.allowed_upstreams = set(rig.upstreams)
        for refusal in (Refusal.MALFORMED, Refusal.BUSY):
            rig.advice_refusal = refusal
            rig.submit(str(refusal), _step(2), queue="advised")
            rig.run(1.0)
            rig.advice_refusal = None
            rig.run(4.0)
            self.assertEqual("completed", rig.find_state(str(refusal)))


class TestStarts(testtools.TestCase):
    def test_backoffs_of_many_refusals_do_not_overflow(self):
        """A power of two that grew with each refusal ended the leader after hours."""
        session = Rig(upstreams=1).dispatcher.context.sessions["u0"]
        view = RunView(
            TaskId("w", 0, 0, 0), 1, _step(), "urgent", 0, RunPhase.ORDERED, 0.0
        )
        backoff = StartBackoff()
        for number in range(2_000):
            session.note_unhealthy(number * 10.0)
            backoff.note_refusal(view, number * 10.0)
        self.assertLess(session.refused_until_s, 2_000 * 10.0)
        self.assertFalse(backoff.must_wait(view.task.step_key, 2_000 * 10.0))

    def test_free_capacity_is_tried_during_the_backoff_of_preemption(self):
        """A step waited up to 8 s beside idle upstreams."""
        view = RunView(
            TaskId("w", 0, 0, 0), 1, _step(), "batch", 1, RunPhase.ORDERED, 0.0
        )
        key = view.task.step_key
        backoff = StartBackoff()
        for number in range(8):
            backoff.note_refusal(view, 10.0 + number)
        self.assertFalse(backoff.may_use_free(key, 17.0))
        self.assertTrue(backoff.must_wait(key, 18.0))
        self.assertTrue(backoff.may_use_free(key, 18.0))

    def test_guaranteed_gang_starts_once_refused_starts_are_accepted(self):
        for refused_s in (0.5, 1.0, 2.0, 3.0, 5.0, 9.0):
            rig = Rig(upstreams=8)
            _refuse(rig, StartRequest)
            rig.submit("check", _step(2, WHOLE, gang=True), queue="urgent")
            rig.run(refused_s)
            _accept(rig)
            waited_s = rig.measure_start("check")
            self.assertLess(waited_s, GUARANTEED_START_S, refused_s)

    def test_guaranteed_gang_starts_after_all_upstreams_have_refused_others(self):
        """Upstreams on probation are no use to gangs, which once waited for good."""
        rig = Rig(upstreams=8)
        _refuse(rig, StartRequest)
        for number in range(12):
            rig.submit(f"w{number}", _step(4, gang=True), queue="batch")
        rig.run(3.0)
        _accept(rig)
        rig.run(5.0)
        rig.submit("check", _step(2, WHOLE, gang=True), queue="urgent")
        self.assertLess(rig.measure_start("check"), GUARANTEED_START_S)

    def test_guaranteed_gang_starts_after_all_upstreams_have_failed_others(self):
        rig = Rig(upstreams=8)
        for upstream in rig.upstreams.values():
            upstream.fails_all = True
        for number in range(24):
            rig.submit(f"w{number}", _step(4), queue="batch")
        rig.run(3.0)
        for upstream in rig.upstreams.values():
            upstream.fails_all = False
        rig.run(5.0)
        rig.submit("check", _step(2, WHOLE, gang=True), queue="urgent")
        self.assertLess(rig.measure_start("check"), GUARANTEED_START_S)

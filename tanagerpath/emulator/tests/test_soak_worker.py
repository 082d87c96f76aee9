"""Guards against stand-in workers of the soak that keep other rules than real ones."""

import testtools

from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.orders import (
    HoldRequest,
    OrderDone,
    OrderRefused,
    Refusal,
    StartRequest,
    StopRequest,
)
from tanagerpath.core.workloads.specs import TaskId
from tanagerpath.emulator.soak_run_events import (
    EndAcknowledged,
    LeaseExpired,
    RunEnded,
)
from tanagerpath.emulator.soak_worker import (
    GANG_TIMEOUT_S,
    MAX_LISTED_ENDS,
    STOP_S,
    Fleet,
    WorkerClock,
)

RUN_S = 1.0
PLAIN, GANG = "1000*0", "1000*2"


def make_task(index=0, workload_id="w"):
    return TaskId(workload_id, 0, 0, index)


def make_start(index=0, run=1, until_ms=9000, token=1, payload=PLAIN, workload_id="w"):
    return StartRequest(
        task=make_task(index, workload_id),
        run=run,
        payload=payload,
        lease_until_ms=until_ms,
        fencing_token=token,
    )


def make_stop(run=1, token=1):
    return StopRequest(task=make_task(), run=run, fencing_token=token)


def make_hold(cursor=0, until_ms=None, token=1):
    return HoldRequest(fencing_token=token, end_cursor=cursor, lease_until_ms=until_ms)


class TestWorker(testtools.TestCase):
    def setUp(self):
        super().setUp()
        clocks = {"w1": WorkerClock(0.0, 1.0), "w2": WorkerClock(0.0, 0.98)}
        self.fleet = Fleet(clocks, 1)
        self.events = []

    def order(self, order, now_s, worker="w1"):
        self.events += self.fleet.advance(now_s)
        reply, events = self.fleet.handle(worker, order, now_s)
        self.events += events
        return reply

    def list_ends(self, now_s):
        self.events += self.fleet.advance(now_s)
        ends = [one for one in self.events if isinstance(one, RunEnded)]
        return [(one.outcome, round(one.at_s, 3)) for one in ends]

    def assert_refused(self, refusal, reply):
        self.assertIsInstance(reply, OrderRefused)
        self.assertEqual(refusal, reply.refusal)

    def test_run_ends_as_done_at_its_instant(self):
        self.order(make_start(), 1.0)
        self.assertEqual([(RunOutcome.DONE, 1.0 + RUN_S)], self.list_ends(5.0))

    def test_same_run_begins_once_and_never_after_its_end(self):
        self.order(make_start(), 1.0)
        self.assertIsInstance(self.order(make_start(), 1.5), OrderDone)
        self.assert_refused(Refusal.SUPERSEDED, self.order(make_start(), 3.0))
        self.assertIsInstance(self.order(make_start(run=2), 3.0), OrderDone)

    def test_stop_bars_a_run_that_is_not_there_yet(self):
        self.order(make_stop(run=2), 1.0)
        self.assert_refused(Refusal.SUPERSEDED, self.order(make_start(run=2), 1.1))

    def test_stopped_run_ends_shortly_after(self):
        self.order(make_start(), 1.0)
        self.order(make_stop(), 1.1)
        self.assertEqual([(RunOutcome.STOPPED, 1.1 + STOP_S)], self.list_ends(5.0))

    def test_lower_fencing_token_has_no_effect(self):
        self.order(make_hold(token=2), 1.0)
        for order in (make_start(), make_stop(), make_hold(until_ms=9000)):
            self.assert_refused(Refusal.FENCED, self.order(order, 1.1))
        self.assertEqual([], self.events)

    def test_start_after_its_lease_is_refused(self):
        self.assert_refused(Refusal.EXPIRED, self.order(make_start(until_ms=900), 1.0))

    def test_lease_ends_all_runs_and_is_never_shortened(self):
        self.order(make_start(payload="9000*0", until_ms=4000), 1.0)
        self.order(make_hold(until_ms=2000), 1.1)
        self.assertEqual([(RunOutcome.LAPSED, 4.0)], self.list_ends(9.0))

    def test_lease_is_limited_and_measured_on_the_workers_clock(self):
        start = make_start(payload="30000*0", until_ms=90_000)
        self.order(start, 1.0, worker="w2")
        [(outcome, at_s)] = self.list_ends(30.0)
        self.assertEqual(RunOutcome.LAPSED, outcome)
        self.assertAlmostEqual(1.0 + 10.0 / 0.98, at_s, places=2)

    def test_lease_of_an_idle_worker_expires(self):
        self.order(make_start(until_ms=5000), 1.0)
        self.list_ends(6.0)
        self.assertEqual(LeaseExpired("w1", True, 5.0), self.events[-1])

    def test_ends_are_listed_until_they_are_acknowledged(self):
        self.order(make_start(), 1.0)
        for _ in range(2):
            listed = self.order(make_hold(), 3.0).ended
            self.assertEqual([1], [one.number for one in listed])
        self.assertEqual((), self.order(make_hold(cursor=1), 3.1).ended)
        self.assertEqual(EndAcknowledged("w1", 1, 1, 3.1), self.events[-1])

    def test_long_list_of_ends_is_cut(self):
        for number in range(MAX_LISTED_ENDS + 1):
            self.order(make_start(workload_id=f"w{number}"), 1.0)
        listed = self.order(make_hold(), 3.0).ended
        self.assertEqual(MAX_LISTED_ENDS, len(listed))
        self.assertEqual(1, listed[0].number)

    def test_gang_works_from_its_last_member_and_ends_together(self):
        self.order(make_start(0, payload=GANG), 1.0)
        self.order(make_start(1, payload=GANG), 2.0, worker="w2")
        self.assertEqual([(RunOutcome.DONE, 2.0 + RUN_S)] * 2, self.list_ends(5.0))

    def test_gang_member_gives_up_without_the_others(self):
        self.order(make_start(0, payload=GANG), 1.0)
        self.assertEqual(
            [(RunOutcome.ALONE, 1.0 + GANG_TIMEOUT_S)], self.list_ends(9.0)
        )

    def test_gang_breaks_when_a_member_ends(self):
        self.order(make_start(0, payload=GANG), 1.0)
        self.order(make_start(1, payload=GANG), 1.0, worker="w2")
        self.order(make_stop(), 1.1)
        ends = [(RunOutcome.STOPPED, 1.1 + STOP_S), (RunOutcome.BROKEN, 1.1 + STOP_S)]
        self.assertEqual(ends, self.list_ends(5.0))

"""Guards against faults of the soak's workers that do not affect what they claim."""

import random

import anyio
import testtools

from tanagerpath.core.workloads.orders import HoldReply, HoldRequest, StartRequest
from tanagerpath.core.workloads.specs import TaskId
from tanagerpath.emulator.soak_fleet import FleetTask, OrderArrived
from tanagerpath.emulator.soak_run_events import RunStarted
from tanagerpath.emulator.soak_worker import Fleet, WorkerClock
from tanagerpath.emulator.soak_worker_faults import WORKER_FAULTS, WorkerFaultStep
from tanagerpath.runtime import Mailbox, Reply

FAULTS = {fault.name: fault for fault in WORKER_FAULTS}
ORDERS = 20
WAIT_S = 5.0


def make_start(number):
    return StartRequest(
        task=TaskId(f"w{number}", 0, 0, 0),
        run=1,
        payload="100*0",
        lease_until_ms=9000,
        fencing_token=1,
    )


STARTS = [make_start(number) for number in range(ORDERS)]


class TestFleetTask(testtools.TestCase):
    def play(self, fault_name, orders):
        """Send orders during a fault; return the replies and the events of runs."""
        return anyio.run(self._play, fault_name, orders)

    async def _play(self, fault_name, orders):
        judge = Mailbox("judge")
        clocks = {"w1": WorkerClock(anyio.current_time(), 1.0)}
        task = FleetTask(Fleet(clocks, 1), judge, random.Random(1))
        task.add_heartbeats("w1", Mailbox("heartbeats"))
        if fault_name:
            step = WorkerFaultStep(FAULTS[fault_name], ("w1",), 0.0, WAIT_S)
            task.mailbox.post(step)
        replies = [Reply() for _ in orders]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(task.run)
            for order, reply in zip(orders, replies, strict=True):
                task.mailbox.post(OrderArrived("w1", order, reply))
            values = [
                await one.receive(anyio.current_time() + WAIT_S) for one in replies
            ]
            tasks.cancel_scope.cancel()
        return values, judge.take_waiting()

    def count_starts(self, events):
        return sum(isinstance(event, RunStarted) for event in events)

    def test_silent_worker_gets_nothing_and_sends_nothing(self):
        for name in ("silence", "orders cut"):
            replies, events = self.play(name, [make_start(1)])
            self.assertEqual([None], replies)
            self.assertEqual([], events)

    def test_order_whose_reply_is_lost_is_carried_out(self):
        replies, events = self.play(
            "lost replies", list(map(make_start, range(ORDERS)))
        )
        self.assertTrue(0 < replies.count(None) < ORDERS, replies)
        self.assertEqual(ORDERS, self.count_starts(events))

    def test_late_order_gets_no_reply_and_is_not_carried_out_at_once(self):
        replies, events = self.play("late orders", STARTS)
        self.assertTrue(0 < replies.count(None) < ORDERS, replies)
        self.assertEqual(ORDERS - replies.count(None), self.count_starts(events))

    def test_reply_to_a_renewal_waits_for_an_end(self):
        hold = HoldRequest(
            fencing_token=1, end_cursor=0, lease_until_ms=None, wait_ms=2000
        )
        replies, _ = self.play("", [make_start(1), hold])
        self.assertIsInstance(replies[1], HoldReply)
        self.assertEqual([1], [end.number for end in replies[1].ended])

"""Guards against stand-in workers of the soak that speak another wire format."""

import random

import anyio
import attrs
import testtools
from returns.pipeline import is_successful

from tanagerpath.core.coordination import CallUpstream
from tanagerpath.core.workloads.commands import RunOutcome, UpstreamRecord
from tanagerpath.core.workloads.orders import (
    EndedRun,
    HoldReply,
    HoldRequest,
    OrderDone,
    OrderRefused,
    PaceRequest,
    Refusal,
    RunningTask,
    StartRequest,
    StopRequest,
)
from tanagerpath.core.workloads.requests import UpstreamReport
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import TaskId
from tanagerpath.emulator.soak_workloads import draw_workload
from tanagerpath.platform.fields import read_object
from tanagerpath.platform.orders import WorkerCodec
from tanagerpath.platform.reports import read_report
from tanagerpath.platform.soak_interface import PlatformInterface
from tanagerpath.platform.workloads import read_workload
from tanagerpath.runtime.client import ExchangeTimedOut, HttpClient
from tanagerpath.runtime.server import HttpServer, bind_listener

TASK = TaskId("5c0e7a21d94b36f8", 0, 1, 17)
START = StartRequest(
    task=TASK, run=2, payload="500*0", lease_until_ms=486000, fencing_token=7
)
STOP = StopRequest(task=TASK, run=2, fencing_token=7)
PACE = PaceRequest(task=TASK, run=2, percent=50, fencing_token=7)
HOLD = HoldRequest(fencing_token=7, end_cursor=57, lease_until_ms=486000, wait_ms=1000)
POLL = attrs.evolve(HOLD, lease_until_ms=None, wait_ms=0)
DONE = OrderDone(482, 1234)
LISTS = HoldReply(
    clock_ms=482,
    born_unix_ms=1234,
    running=(RunningTask(TASK, 2, "", 41),),
    ended=(EndedRun(58, TASK, 1, RunOutcome.LAPSED),),
)
CASES = [
    (START, DONE),
    (START, OrderRefused(Refusal.SUPERSEDED, 482)),
    (START, OrderRefused(Refusal.EXPIRED, 482)),
    (STOP, OrderRefused(Refusal.FENCED, 482)),
    (STOP, DONE),
    (PACE, DONE),
    (HOLD, LISTS),
    (POLL, LISTS),
]


async def exchange(order, reply, worker_id="w1"):
    """Send an order over HTTP; return what the worker got and the caller's result."""
    received = []

    async def carry_out(one):
        received.append(one)
        return reply

    routes = PlatformInterface().list_worker_routes("w1", 1234, carry_out)
    server = HttpServer(bind_listener("127.0.0.1:0"), routes)
    call = CallUpstream(worker_id, f"{worker_id}@1234", server.address, order)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        client = HttpClient(server.address, 1)
        result = await client.send(WorkerCodec().encode(call), timeout_s=0.5)
        await client.close()
        await server.stop()
    return received, call, result


class TestOrders(testtools.TestCase):
    def test_worker_gets_each_order_and_the_leader_its_reply(self):
        for order, reply in CASES:
            received, call, result = anyio.run(exchange, order, reply)
            self.assertEqual([order], received)
            decoded = WorkerCodec().decode(call, result.unwrap())
            self.assertEqual(reply, decoded.unwrap())

    def test_order_for_another_worker_is_not_carried_out(self):
        received, call, result = anyio.run(exchange, START, DONE, "w2")
        self.assertEqual([], received)
        decoded = WorkerCodec().decode(call, result.unwrap())
        self.assertFalse(is_successful(decoded))

    def test_caller_gets_nothing_if_no_reply_may_be_sent(self):
        """Guards against lost replies that the leader reads as refusals."""
        _, _, result = anyio.run(exchange, START, None)
        self.assertIsInstance(result.failure(), ExchangeTimedOut)


class TestRequests(testtools.TestCase):
    def test_heartbeat_is_read_as_it_was_meant(self):
        record = UpstreamRecord(
            upstream_id="w1",
            incarnation="w1@1234",
            born_unix_ms=1234,
            pool="sorter",
            address="127.0.0.1:80",
            availability_zone="a",
            capacity=Resources(8000, 32_000, 2),
            labels=("a", "r1"),
            vm_id="m-w1",
        )
        report = UpstreamReport(record, 4, 482)
        request = PlatformInterface().write_heartbeat(report)
        self.assertEqual(report, read_report("w1", read_object(request.body)))

    def test_workloads_are_read_as_they_were_meant(self):
        source = random.Random(1)
        for number in range(50):
            workload_id = f"{number:016x}"
            workload = draw_workload(workload_id, source)
            request = PlatformInterface().submit(workload)
            fields = read_object(request.body)
            self.assertEqual(workload, read_workload(workload_id, fields))

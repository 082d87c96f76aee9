"""Tasks of the stand-in workers: orders, heartbeats and faults, over loopback."""

import heapq
import itertools
import math
import random
import time

import anyio
import attrs
from anyio.abc import TaskGroup
from returns.pipeline import is_successful
from starlette.routing import BaseRoute

from tanagerpath.core.workloads.commands import UpstreamRecord
from tanagerpath.core.workloads.orders import HoldReply, HoldRequest
from tanagerpath.core.workloads.requests import UpstreamReport
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.emulator.soak_clients import ControlsMoved
from tanagerpath.emulator.soak_interface import SoakInterface, SoakVm
from tanagerpath.emulator.soak_run_events import RunEvent
from tanagerpath.emulator.soak_worker import (
    Fleet,
    WorkerClock,
    WorkerOrder,
    WorkerReply,
)
from tanagerpath.emulator.soak_worker_faults import WorkerFault, WorkerFaultStep
from tanagerpath.runtime import Mailbox, Reply, Task
from tanagerpath.runtime.client import HttpClient
from tanagerpath.runtime.server import HttpServerGroup

__all__ = [
    "FaultsCleared",
    "FleetTask",
    "LeaderQuery",
    "WorkerFaultsTask",
    "WorkersHost",
]

HEARTBEAT_INTERVAL_S = 0.5
# A heartbeat that is not acknowledged within this time goes to another process.
ACKNOWLEDGEMENT_TIMEOUT_S = 1.0
CAPACITY = Resources(cpu_millicores=8000, memory_mb=32_000)
# Slowest and fastest clock of a worker.
CLOCK_RATES = (0.98, 1.0)
RACKS = 3
# Above the longest wait of a renewal.
STOP_TIMEOUT_S = 3.0
MS_PER_S = 1000


@attrs.frozen(eq=False)
class OrderArrived:
    """An order for a worker; `reply` gets None if no reply may be sent."""

    worker_id: str
    order: WorkerOrder
    reply: Reply[WorkerReply | None]


@attrs.frozen
class FaultsCleared:
    """All faults of workers are over; late orders stay late."""


@attrs.frozen
class HeartbeatsBlocked:
    """Heartbeats of the worker are lost until an instant."""

    until_s: float


@attrs.frozen
class LeaderNamed:
    """The reply to a heartbeat named the leader."""

    address: str


@attrs.frozen(eq=False)
class LeaderQuery:
    """`reply` gets the address of the leader that a worker was told last."""

    reply: Reply[str]


@attrs.frozen(eq=False)
class _WaitingHold:
    """A renewal whose reply waits for an end."""

    arrived: OrderArrived
    until_s: float


class FleetTask(Task):
    """Owns the state of all workers, and the faults on the way to them.

    Parameters
    ----------
    fleet : Fleet
        The workers.
    judge : Mailbox
        Gets each event of the runs.
    source : random.Random
        Draws which orders and replies a fault affects.
    """

    def __init__(self, fleet: Fleet, judge: Mailbox, source: random.Random) -> None:
        self._fleet = fleet
        self._judge = judge
        self._source = source
        self._faults: dict[str, list[tuple[float, WorkerFault]]] = {}
        self._late: list[tuple[float, int, OrderArrived]] = []
        self._late_numbers = itertools.count()
        self._holds: list[_WaitingHold] = []
        self._leader_address = ""
        self._heartbeats: dict[str, Mailbox] = {}
        self.mailbox: Mailbox = Mailbox("workers")

    def add_heartbeats(self, worker_id: str, mailbox: Mailbox) -> None:
        """Name the task that sends the heartbeats of a worker."""
        self._heartbeats[worker_id] = mailbox

    async def run(self) -> None:
        """Carry out orders and end runs at their instants until cancelled."""
        while True:
            message = await self.mailbox.receive(self._find_next_instant_s())
            now_s = anyio.current_time()
            self._publish(self._fleet.advance(now_s))
            self._carry_out_late(now_s)
            if message is not None:
                self._handle(message, now_s)
            self._answer_holds(now_s)

    def _find_next_instant_s(self) -> float:
        late_s = self._late[0][0] if self._late else math.inf
        holds = [hold.until_s for hold in self._holds]
        return min([self._fleet.find_next_event_s(), late_s, *holds])

    def _handle(self, message: object, now_s: float) -> None:
        match message:
            case OrderArrived():
                self._receive(message, now_s)
            case WorkerFaultStep():
                self._begin_fault(message, now_s)
            case FaultsCleared():
                self._faults.clear()
                self._tell_heartbeats(message)
            case LeaderNamed(address):
                self._leader_address = address
            case LeaderQuery(reply):
                reply.send(self._leader_address)
            case ControlsMoved():
                self._tell_heartbeats(message)

    def _tell_heartbeats(self, message: FaultsCleared | ControlsMoved) -> None:
        for mailbox in self._heartbeats.values():
            mailbox.post(message)

    def _begin_fault(self, step: WorkerFaultStep, now_s: float) -> None:
        until_s = now_s + step.duration_s
        for worker_id in step.worker_ids:
            self._faults.setdefault(worker_id, []).append((until_s, step.fault))
            if step.fault.blocks_heartbeats:
                self._heartbeats[worker_id].post(HeartbeatsBlocked(until_s))

    def _list_faults(self, worker_id: str, now_s: float) -> list[WorkerFault]:
        faults = self._faults.get(worker_id, [])
        return [fault for until_s, fault in faults if until_s > now_s]

    def _receive(self, arrived: OrderArrived, now_s: float) -> None:
        faults = self._list_faults(arrived.worker_id, now_s)
        if not all(fault.is_delivered() for fault in faults):
            arrived.reply.send(None)
            return
        delay_s = max([0.0, *(fault.draw_delay_s(self._source) for fault in faults)])
        if delay_s:
            arrived.reply.send(None)
            entry = now_s + delay_s, next(self._late_numbers), arrived
            heapq.heappush(self._late, entry)
            return
        self._carry_out(arrived, now_s)

    def _carry_out(self, arrived: OrderArrived, now_s: float) -> None:
        order = arrived.order
        reply, events = self._fleet.handle(arrived.worker_id, order, now_s)
        self._publish(events)
        if isinstance(order, HoldRequest) and isinstance(reply, HoldReply):
            until_s = now_s + order.wait_ms / MS_PER_S
            self._holds.append(_WaitingHold(arrived, until_s))
        else:
            self._send(arrived, reply, now_s)

    def _carry_out_late(self, now_s: float) -> None:
        while self._late and self._late[0][0] <= now_s:
            _, _, arrived = heapq.heappop(self._late)
            self._carry_out(arrived, now_s)

    def _answer_holds(self, now_s: float) -> None:
        """Reply to the renewals whose worker has an end to list or that waited."""
        waiting = []
        for hold in self._holds:
            worker_id = hold.arrived.worker_id
            if hold.until_s > now_s and not self._fleet.has_listed_ends(worker_id):
                waiting.append(hold)
                continue
            self._send(hold.arrived, self._fleet.list_runs(worker_id, now_s), now_s)
        self._holds = waiting

    def _send(self, arrived: OrderArrived, reply: WorkerReply, now_s: float) -> None:
        faults = self._list_faults(arrived.worker_id, now_s)
        is_lost = any(fault.loses_reply(self._source) for fault in faults)
        arrived.reply.send(None if is_lost else reply)

    def _publish(self, events: list[RunEvent]) -> None:
        for event in events:
            self._judge.post(event)


class HeartbeatTask(Task):
    """Sends the heartbeats of one worker to one control process at a time.

    Parameters
    ----------
    interface : SoakInterface
        Form of the heartbeats.
    record : UpstreamRecord
        The worker.
    clock : WorkerClock
        Its clock.
    fleet : Mailbox
        Gets the address of the leader.
    """

    def __init__(
        self,
        interface: SoakInterface,
        record: UpstreamRecord,
        clock: WorkerClock,
        fleet: Mailbox,
    ) -> None:
        self._interface = interface
        self._record = record
        self._clock = clock
        self._fleet = fleet
        self._addresses: tuple[str, ...] = ()
        self._index = 0
        # Where the last reply sent the next heartbeats.
        self._named_address = ""
        self._sequence = 0
        self._blocked_until_s = 0.0
        self._clients: dict[str, HttpClient] = {}
        self.mailbox: Mailbox = Mailbox(f"heartbeats of {record.upstream_id}")

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self._take_messages()
            is_blocked = anyio.current_time() < self._blocked_until_s
            if is_blocked or not self._addresses or await self._send():
                await anyio.sleep(HEARTBEAT_INTERVAL_S)
            else:
                await anyio.sleep(HEARTBEAT_INTERVAL_S / 5)

    def _take_messages(self) -> None:
        for message in self.mailbox.take_waiting():
            match message:
                case ControlsMoved(addresses):
                    self._addresses = addresses
                case HeartbeatsBlocked(until_s):
                    self._blocked_until_s = max(self._blocked_until_s, until_s)
                case FaultsCleared():
                    self._blocked_until_s = 0.0

    async def _send(self) -> bool:
        address = self._named_address
        if not address:
            address = self._addresses[self._index % len(self._addresses)]
        self._sequence += 1
        clock_ms = self._clock.read_ms(anyio.current_time())
        report = UpstreamReport(self._record, self._sequence, clock_ms)
        request = self._interface.write_heartbeat(report)
        client = self._clients.setdefault(address, HttpClient(address, 1))
        result = await client.send(request, timeout_s=ACKNOWLEDGEMENT_TIMEOUT_S)
        named = None
        if is_successful(result):
            named = self._interface.read_heartbeat_reply(result.unwrap())
        if named is None:
            self._named_address = ""
            self._index += 1
            return False
        if named:
            self._named_address = named
            self._fleet.post(LeaderNamed(named))
        return True


class WorkerFaultsTask(Task):
    """Begins the faults of workers one after the other.

    Parameters
    ----------
    steps : tuple of WorkerFaultStep
        The faults.
    fleet : Mailbox
        Gets each step when it begins.
    """

    def __init__(self, steps: tuple[WorkerFaultStep, ...], fleet: Mailbox) -> None:
        self._steps = steps
        self._fleet = fleet

    async def run(self) -> None:
        """Begin all steps."""
        for step in self._steps:
            await anyio.sleep(step.pause_s)
            self._fleet.post(step)


class WorkersHost:
    """Starts the tasks of all workers.

    Parameters
    ----------
    interface : SoakInterface
        Wire format of the workers.
    vms : tuple of SoakVm
        A VM for each worker.
    judge : Mailbox
        Gets each event of the runs.
    source : random.Random
        Draws the rates of the clocks and the effects of faults.
    """

    def __init__(
        self,
        interface: SoakInterface,
        vms: tuple[SoakVm, ...],
        judge: Mailbox,
        source: random.Random,
    ) -> None:
        self._interface = interface
        self._vms = vms
        self._born_unix_ms = int(time.time() * MS_PER_S)
        now_s = anyio.current_time()
        self._clocks = {
            vm.vm_id: WorkerClock(now_s, source.uniform(*CLOCK_RATES)) for vm in vms
        }
        fleet = Fleet(self._clocks, self._born_unix_ms)
        self._task = FleetTask(fleet, judge, source)
        self._servers = HttpServerGroup()
        self.mailbox = self._task.mailbox

    def start(self, tasks: TaskGroup) -> None:
        """Listen for orders and send heartbeats."""
        for place, vm in enumerate(self._vms):
            record = self._make_record(vm, place)
            clock = self._clocks[vm.vm_id]
            heartbeats = HeartbeatTask(self._interface, record, clock, self.mailbox)
            self._task.add_heartbeats(vm.vm_id, heartbeats.mailbox)
            tasks.start_soon(heartbeats.run)
            address, routes = self._interface.find_address(vm), self._list_routes(vm)
            self._servers.start(tasks, address, routes)
        tasks.start_soon(self._task.run)

    async def stop(self) -> None:
        """Stop listening; requests that get no reply end with their callers."""
        with anyio.CancelScope(shield=True):
            await self._servers.stop(STOP_TIMEOUT_S)

    def _make_record(self, vm: SoakVm, place: int) -> UpstreamRecord:
        return UpstreamRecord(
            upstream_id=vm.vm_id,
            incarnation=f"{vm.vm_id}@{self._born_unix_ms}",
            born_unix_ms=self._born_unix_ms,
            pool=self._interface.pool,
            address=self._interface.find_address(vm),
            availability_zone=vm.availability_zone,
            capacity=CAPACITY,
            labels=("a", f"r{place % RACKS}"),
            vm_id=f"m-{vm.vm_id}",
        )

    def _list_routes(self, vm: SoakVm) -> list[BaseRoute]:
        async def carry_out(order: WorkerOrder) -> WorkerReply | None:
            reply: Reply[WorkerReply | None] = Reply()
            self.mailbox.post(OrderArrived(vm.vm_id, order, reply))
            return await reply.receive()

        return self._interface.list_worker_routes(
            vm.vm_id, self._born_unix_ms, carry_out
        )

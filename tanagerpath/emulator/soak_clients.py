"""Operator, callers and readers of the soak; each task owns its connections."""

import os
import pathlib
import random
import time
from collections.abc import Callable, Mapping
from typing import TextIO

import anyio
import anyio.to_thread
import attrs
from returns.pipeline import is_successful

from tanagerpath.core.workloads.specs import WorkloadSpec
from tanagerpath.emulator.soak_evacuations import (
    EvacuationAcknowledged,
    EvacuationOrdered,
    EvacuationRules,
)
from tanagerpath.emulator.soak_interface import SoakInterface
from tanagerpath.emulator.soak_promises import (
    ConfigurationAcknowledged,
    ConfigurationShown,
    Promises,
    Shown,
    WorkloadAccepted,
    WorkloadCancelSent,
    WorkloadRefused,
    WorkloadShown,
)
from tanagerpath.emulator.soak_run_events import (
    EndAcknowledged,
    LeaseExpired,
    RunEnded,
    RunEvent,
    RunStarted,
)
from tanagerpath.emulator.soak_run_rules import RunRules, WorkloadSent
from tanagerpath.runtime import Mailbox, Reply, Task
from tanagerpath.runtime.client import HttpClient, HttpReply, HttpRequest

__all__ = [
    "CallerTask",
    "ControlsMoved",
    "DiskProbeTask",
    "JudgeTask",
    "OperatorTask",
    "ReaderTask",
    "UnservedQuery",
    "UnsettledQuery",
    "WaitForAcknowledgement",
]

EXCHANGE_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 3.0
PAUSE_S = 0.1
PROBE_PAUSE_S = 0.5
CHANGE_PAUSE_S = 0.2
MAX_VERSION_STEP = 3
TRIES = 10
SUBMIT_SHARE = 0.5
CANCEL_SHARE = 0.1


@attrs.frozen
class ControlsMoved:
    """The control processes listen at these addresses."""

    addresses: tuple[str, ...]


@attrs.frozen(eq=False)
class WaitForAcknowledgement:
    """`reply` gets the version of the next acknowledged change."""

    reply: Reply[int]


@attrs.frozen(eq=False)
class UnservedQuery:
    """`reply` gets the requests that were not served since `since_s`."""

    since_s: float
    processes: tuple[str, ...]
    reply: Reply[list[str]]


@attrs.frozen(eq=False)
class UnsettledQuery:
    """`reply` gets the accepted workloads that have not reached their final state."""

    reply: Reply[list[str]]


class JudgeTask(Task):
    """Owns the promises and the rules of runs, and takes what the other tasks saw.

    Parameters
    ----------
    journal : pathlib.Path
        File that gets a line for each event of a run, for the trace of a failure.
    zones : mapping of str to str
        Availability zone by worker.
    """

    def __init__(self, journal: pathlib.Path, zones: Mapping[str, str]) -> None:
        self.mailbox: Mailbox = Mailbox("judge")
        self.promises = Promises()
        self.run_rules = RunRules()
        self.evacuation_rules = EvacuationRules(zones)
        self._journal = journal

    async def run(self) -> None:
        """Handle messages until cancelled."""
        with self._journal.open("a", encoding="utf-8") as journal:
            while True:
                self._handle(await self.mailbox.receive(), journal)

    def _handle(self, message: object, journal: TextIO) -> None:
        match message:
            case UnservedQuery(since_s, processes, reply):
                reply.send(self.promises.list_unserved(since_s, processes))
            case UnsettledQuery(reply):
                reply.send(self.promises.list_unsettled())
            case WorkloadShown():
                self.promises.handle(message)
                self.run_rules.handle(message)
            case RunStarted():
                self.evacuation_rules.handle(message)
                self._judge_run(message, journal)
            case EvacuationOrdered() | EvacuationAcknowledged():
                self.evacuation_rules.handle(message)
                journal.write(f"{time.time():.3f} {message}\n")
            case WorkloadSent() | RunEnded():
                self._judge_run(message, journal)
            case EndAcknowledged() | LeaseExpired():
                self._judge_run(message, journal)
            case _:
                self.promises.handle(message)

    def _judge_run(self, event: RunEvent | WorkloadSent, journal: TextIO) -> None:
        self.run_rules.handle(event)
        journal.write(f"{time.time():.3f} {event}\n")


class DiskProbeTask(Task):
    """Measures how long the machine's disk takes to sync a small file.

    A failed seed whose slowest sync took seconds says little about the processes: they
    wait for the same disk.

    Parameters
    ----------
    folder : pathlib.Path
        Folder on the disk of the processes.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._path = folder / "probe"
        self.slowest_s = 0.0

    async def run(self) -> None:
        """Sync a file at intervals until cancelled."""
        while True:
            began_s = anyio.current_time()
            try:
                await anyio.to_thread.run_sync(self._sync)
            finally:
                elapsed_s = anyio.current_time() - began_s
                self.slowest_s = max(self.slowest_s, elapsed_s)
            await anyio.sleep(PROBE_PAUSE_S)

    def _sync(self) -> None:
        with self._path.open("wb") as file:
            file.write(b"probe")
            file.flush()
            os.fsync(file.fileno())


async def _ask(
    client: HttpClient, request: HttpRequest, timeout_s: float
) -> HttpReply | None:
    result = await client.send(request, timeout_s=timeout_s)
    return result.unwrap() if is_successful(result) else None


class OperatorTask(Task):
    """Stores one version after the other; each is sent until it is acknowledged.

    Parameters
    ----------
    interface : SoakInterface
        Form of the requests.
    judge : Mailbox
        Gets each acknowledgement.
    source : random.Random
        Draws the steps between versions.
    """

    def __init__(
        self, interface: SoakInterface, judge: Mailbox, source: random.Random
    ) -> None:
        self._interface = interface
        self._judge = judge
        self._source = source
        self._addresses: tuple[str, ...] = ()
        self._clients: dict[str, HttpClient] = {}
        self._index = 0
        self._waiting: list[Reply[int]] = []
        self.mailbox: Mailbox = Mailbox("operator")

    async def run(self) -> None:
        """Store versions until cancelled."""
        version = 0
        while True:
            version += self._source.randint(1, MAX_VERSION_STEP)
            while not await self._store(version):
                self._index += 1
                await anyio.sleep(PAUSE_S)
            await anyio.sleep(CHANGE_PAUSE_S)

    async def _store(self, version: int) -> bool:
        self._take_messages()
        if not self._addresses:
            return False
        address = self._addresses[self._index % len(self._addresses)]
        client = self._clients.setdefault(address, HttpClient(address, 1))
        request = self._interface.change_configuration(version)
        began_s = anyio.current_time()
        reply = await _ask(client, request, EXCHANGE_TIMEOUT_S)
        if reply is None or not self._interface.is_accepted(reply):
            return False
        ended_s = anyio.current_time()
        self._judge.post(ConfigurationAcknowledged(version, began_s, ended_s))
        self._take_messages()
        for waiting in self._waiting:
            waiting.send(version)
        self._waiting.clear()
        return True

    def _take_messages(self) -> None:
        for message in self.mailbox.take_waiting():
            match message:
                case ControlsMoved(addresses):
                    self._addresses = addresses
                case WaitForAcknowledgement(reply):
                    self._waiting.append(reply)


class ReaderTask(Task):
    """Reads the configuration from one process over one connection.

    Parameters
    ----------
    interface : SoakInterface
        Form of the requests.
    judge : Mailbox
        Gets what is shown.
    process : str
        Name of the process.
    address : str
        Where it listens.
    """

    def __init__(
        self, interface: SoakInterface, judge: Mailbox, process: str, address: str
    ) -> None:
        self._interface = interface
        self._judge = judge
        self._process = process
        self._client = HttpClient(address, 1)

    async def run(self) -> None:
        """Read until cancelled."""
        request = self._interface.ask_configuration()
        while True:
            began_s = anyio.current_time()
            reply = await _ask(self._client, request, EXCHANGE_TIMEOUT_S)
            if reply is not None:
                self._note(reply, began_s)
            await anyio.sleep(PAUSE_S)

    def _note(self, reply: HttpReply, began_s: float) -> None:
        shown = self._interface.read_configuration(reply)
        if shown is not None:
            ended_s = anyio.current_time()
            event = ConfigurationShown(self._process, *shown, began_s, ended_s)
            self._judge.post(event)


class CallerTask(Task):
    """Hands in workloads through the entry, asks for them and cancels some.

    Parameters
    ----------
    interface : SoakInterface
        Form of the requests.
    judge : Mailbox
        Gets what the caller saw.
    address : str
        Address of the entry.
    source : random.Random
        Draws identities and requests.
    make_workload : callable
        Returns a workload with an identity.
    pause_s : float
        Pause in seconds after each request.
    """

    def __init__(
        self,
        interface: SoakInterface,
        judge: Mailbox,
        address: str,
        source: random.Random,
        make_workload: Callable[[str], WorkloadSpec],
        pause_s: float = PAUSE_S,
    ) -> None:
        self._interface = interface
        self._judge = judge
        self._source = source
        self._make_workload = make_workload
        self._pause_s = pause_s
        self._client = HttpClient(address, 1)
        self._accepted: list[str] = []
        self._refused: list[str] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            draw = self._source.random()
            if draw < SUBMIT_SHARE or not self._accepted:
                await self._submit()
            elif draw < SUBMIT_SHARE + CANCEL_SHARE:
                workload_id = self._source.choice(self._accepted)
                self._judge.post(WorkloadCancelSent(workload_id))
                await self._exchange(workload_id, self._interface.cancel(workload_id))
            else:
                await self._show(self._source.choice(self._accepted))
            await anyio.sleep(self._pause_s)

    async def submit_many(self, count: int) -> None:
        """Submit workloads without a pause until this many are accepted."""
        while len(self._accepted) < count:
            await self._submit()

    async def check_all(self) -> list[str]:
        """Ask for every workload until its reply is clear; return those that have none.

        Like a caller's own program, this repeats a request without a clear reply.
        """
        left = [*self._accepted, *self._refused]
        for _ in range(TRIES):
            left = [one for one in left if await self._show(one) is Shown.UNCLEAR]
            if not left:
                break
            await anyio.sleep(PAUSE_S)
        return left

    async def await_final_states(self, limit_s: float) -> list[str]:
        """Ask until all accepted workloads have reached their final state.

        Parameters
        ----------
        limit_s : float
            Longest time in seconds.

        Returns
        -------
        list of str
            The workloads that have not.
        """
        until_s = anyio.current_time() + limit_s
        while True:
            self._judge.post(UnsettledQuery(reply := Reply()))
            unsettled = await reply.receive()
            if not unsettled or anyio.current_time() > until_s:
                return unsettled
            with anyio.CancelScope(deadline=until_s):
                for workload_id in unsettled:
                    await self._show(workload_id)
            await anyio.sleep(PAUSE_S)

    async def _show(self, workload_id: str) -> Shown:
        request = self._interface.ask_workload(workload_id)
        return await self._exchange(workload_id, request)

    async def _exchange(self, workload_id: str, request: HttpRequest) -> Shown:
        began_s = anyio.current_time()
        reply = await _ask(self._client, request, CALL_TIMEOUT_S)
        if reply is None:
            return Shown.UNCLEAR
        shown = self._interface.read_workload(reply)
        ended_s = anyio.current_time()
        self._judge.post(WorkloadShown(workload_id, shown, began_s, ended_s))
        return shown

    async def _submit(self) -> None:
        """Send a workload until the reply is clear, as often as a caller would."""
        workload_id = f"{self._source.getrandbits(64):016x}"
        workload = self._make_workload(workload_id)
        self._judge.post(WorkloadSent(workload))
        request = self._interface.submit(workload)
        for number in range(TRIES):
            began_s = anyio.current_time()
            reply = await _ask(self._client, request, CALL_TIMEOUT_S)
            if reply is not None and self._interface.is_accepted(reply):
                ended_s = anyio.current_time()
                self._judge.post(WorkloadAccepted(workload_id, began_s, ended_s))
                self._accepted.append(workload_id)
                return
            if reply is not None and self._interface.is_refused(reply):
                if number == 0:
                    self._judge.post(WorkloadRefused(workload_id))
                    self._refused.append(workload_id)
                return
            await anyio.sleep(PAUSE_S)

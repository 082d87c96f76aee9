"""What all kinds of soak seeds share: processes, clients and the wait for service.

The processes listen on loopback; workers, operator, callers and readers are tasks here.
"""

import abc
import pathlib
import random

import anyio
import attrs
from anyio.abc import TaskGroup

from tanagerpath.emulator.soak_clients import (
    CallerTask,
    ControlsMoved,
    DiskProbeTask,
    JudgeTask,
    OperatorTask,
    ReaderTask,
    UnservedQuery,
    WaitForAcknowledgement,
)
from tanagerpath.emulator.soak_disk_plan import DiskSeriesPlan
from tanagerpath.emulator.soak_evacuator import EvacuatorTask, WithdrawEvacuation
from tanagerpath.emulator.soak_fleet import WorkersHost
from tanagerpath.emulator.soak_interface import SoakInterface
from tanagerpath.emulator.soak_plan import Layout, SoakPlan
from tanagerpath.emulator.soak_site import ProcessNotReady, SoakSite
from tanagerpath.emulator.soak_votes import DiskVote
from tanagerpath.errors import iterate_leaf_exceptions
from tanagerpath.runtime import Reply

__all__ = ["DEFAULT_TERMS", "ServiceNotBack", "SoakResult", "SoakSession", "SoakTerms"]

# A first start has no stated bound; processes take seconds to start beside other load.
START_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.05


@attrs.frozen
class SoakTerms:
    """Bounds that the platform states; the defaults are those of its deployments.

    Attributes
    ----------
    catch_up_s : float
        Time in seconds for which a VM that is back still counts as lost.
    recovery_s : float
        Time in seconds within which requests are served once all VMs are back.
    completion_s : float
        Time in seconds within which all accepted workloads are completed once requests
        are served after the last fault: a worker may have been silent, an order may
        come late, and a lease and the steps of a workload follow each other.
    """

    catch_up_s: float = 4.0
    recovery_s: float = 12.0
    completion_s: float = 45.0


DEFAULT_TERMS = SoakTerms()


@attrs.frozen(kw_only=True)
class SoakResult:
    """Outcome of one seed.

    Attributes
    ----------
    seed : int
        The seed.
    layout : Layout
        Size of the deployment.
    broken : tuple of str
        What went wrong; empty if the seed passed.
    recovered_s : tuple of float
        Seconds until all requests were served again, after each series, each kill of
        all processes and the last fault.
    version : int
        Last acknowledged version.
    workloads : int
        Accepted workloads.
    evacuation_orders : int
        Acknowledged orders to begin or end the evacuation of a zone.
    starts : int
        Runs that workers began.
    restarts_after_idle_expiry, restarts_after_expiry : tuple of str
        Starts after an acknowledged end as done that an expired lease excuses, where
        nothing ran on the worker when it expired, and the others.
    completed_s : float or None
        Seconds after the last fault until all workloads were completed.
    slowest_sync_s : float
        Longest time in seconds that the machine's disk took for a sync of the soak's
        own; above a second, a late recovery may be due to the machine.
    duration_s : float
        Seconds for the whole seed.
    outages : tuple of str
        Those of `broken` that say that requests were not served in time.
    votes : tuple of DiskVote
        Vote of each VM that lost its disk in a series, in the order of the losses.
    """

    seed: int
    layout: Layout
    broken: tuple[str, ...]
    recovered_s: tuple[float, ...]
    version: int
    workloads: int
    evacuation_orders: int
    starts: int
    restarts_after_idle_expiry: tuple[str, ...]
    restarts_after_expiry: tuple[str, ...]
    completed_s: float | None
    slowest_sync_s: float
    duration_s: float
    outages: tuple[str, ...] = ()
    votes: tuple[DiskVote, ...] = ()

    @property
    def late_votes(self) -> tuple[str, ...]:
        """Votes that came after the time for which a VM counts as lost, or never."""
        return tuple(vote.describe() for vote in self.votes if vote.is_late)

    @property
    def has_failed(self) -> bool:
        """Whether anything went wrong."""
        return bool(self.broken or self.late_votes)


class ServiceNotBack(Exception):
    """Requests were not served within the stated time."""


class SoakSession(abc.ABC):
    """Starts the processes of one seed, follows them with readers, and ends them.

    Parameters
    ----------
    plan : SoakPlan or DiskSeriesPlan
        What is played; its seed draws the requests and addresses.
    interface : SoakInterface
        Form of settings, requests and replies.
    folder : pathlib.Path
        Empty folder for settings, data and logs.
    terms : SoakTerms
        Bounds that are checked.
    """

    def __init__(
        self,
        plan: SoakPlan | DiskSeriesPlan,
        interface: SoakInterface,
        folder: pathlib.Path,
        terms: SoakTerms,
    ) -> None:
        seed, layout = plan.seed, plan.layout
        self._plan = plan
        self._terms = terms
        self._interface = interface
        self.site = SoakSite(layout, interface, folder, random.Random(seed))
        zones = {vm.vm_id: vm.availability_zone for vm in self.site.workers}
        self.judge = JudgeTask(folder / "runs.log", zones)
        judge = self.judge.mailbox
        self._workers: WorkersHost | None = None
        if layout.workers:
            workers = self.site.workers
            self._workers = WorkersHost(interface, workers, judge, random.Random(seed))
        self._operator = OperatorTask(interface, judge, random.Random(seed))
        self._evacuator = EvacuatorTask(interface, judge, random.Random(seed))
        self.probe = DiskProbeTask(folder)
        self._readers: dict[str, anyio.CancelScope] = {}
        self.broken: list[str] = []
        self.outages: list[str] = []
        self.recovered_s: list[float] = []
        self.completed_s: float | None = None

    @classmethod
    async def run_plan(
        cls,
        plan: SoakPlan | DiskSeriesPlan,
        interface: SoakInterface,
        folder: pathlib.Path,
        terms: SoakTerms = DEFAULT_TERMS,
    ) -> SoakResult:
        """Play one plan in an empty folder, within a bounded time."""
        return await cls(plan, interface, folder, terms).run()

    @property
    @abc.abstractmethod
    def limit_s(self) -> float:
        """Time in seconds within which the seed has to be done."""

    def list_votes(self) -> tuple[DiskVote, ...]:
        """Return the votes of the VMs that lost their disks in a series."""
        return ()

    async def run(self) -> SoakResult:
        """Play the seed within a bounded time."""
        began_s = anyio.current_time()
        with anyio.move_on_after(self.limit_s) as scope:
            await self.play()
        if scope.cancelled_caught:
            self.broken.append(f"not done within {self.limit_s} s")
        return self.make_result(began_s)

    async def play(self) -> None:
        """Start the processes, inflict all faults, and check what is left."""
        try:
            await self.site.start_all()
            async with anyio.create_task_group() as tasks:
                try:
                    await self._play_seed(tasks)
                finally:
                    await self._end_all()
                tasks.cancel_scope.cancel()
        except* ProcessNotReady as group:
            self.broken += [str(error) for error in iterate_leaf_exceptions(group)]
        except* ServiceNotBack as group:
            self.outages += [str(error) for error in iterate_leaf_exceptions(group)]
        finally:
            await self._end_all()

    async def _end_all(self) -> None:
        """End all processes, then the workers, whose callers are gone by then."""
        self.site.note_ended()
        self.site.end_all()
        if self._workers is not None:
            await self._workers.stop()

    async def _play_seed(self, tasks: TaskGroup) -> None:
        tasks.start_soon(self.judge.run)
        tasks.start_soon(self.probe.run)
        if self._workers is not None:
            self._workers.start(tasks)
        async with anyio.create_task_group() as clients:
            self._follow_processes(clients)
            clients.start_soon(self._operator.run)
            clients.start_soon(self._evacuator.run)
            await self._play_faults(clients)
            await self._withdraw_evacuation()
            clients.cancel_scope.cancel()
        await self._check_workloads()

    @abc.abstractmethod
    async def _play_faults(self, clients: TaskGroup) -> None:
        """Start the callers, inflict all faults, and wait for service after them."""

    @abc.abstractmethod
    async def _check_workloads(self) -> None:
        """Check what is left of the workloads, without other requests."""

    async def _check_caller(self, caller: CallerTask) -> None:
        """Check that the workloads of a caller have clear replies."""
        unclear = await caller.check_all()
        if unclear:
            self.broken.append(f"no clear reply about {len(unclear)} workloads")

    async def _await_start(self) -> None:
        """Wait until the first start counts as over."""
        await self._await_service("the start", START_LIMIT_S)
        await anyio.sleep(self._terms.catch_up_s)

    async def _await_acknowledgement(self) -> None:
        """Return right after a change of the configuration was acknowledged."""
        self._operator.mailbox.post(WaitForAcknowledgement(acknowledged := Reply()))
        until_s = anyio.current_time() + self._terms.recovery_s
        if await acknowledged.receive(until_s) is None:
            raise ServiceNotBack("no acknowledgement before the last fault")

    async def _withdraw_evacuation(self) -> None:
        """Let all zones be used again, so that all workloads can be completed."""
        self._evacuator.mailbox.post(WithdrawEvacuation(withdrawn := Reply()))
        until_s = anyio.current_time() + self._terms.recovery_s
        if await withdrawn.receive(until_s) is None:
            raise ServiceNotBack("no zone is back in use after the last fault")

    def _follow_processes(self, clients: TaskGroup) -> None:
        """Read from the processes that run now, and tell the operator of them."""
        processes = self.site.list_processes()
        for name in self._readers.keys() - processes.keys():
            self._readers.pop(name).cancel()
        for name, address in processes.items():
            if name not in self._readers:
                scope = self._readers[name] = anyio.CancelScope()
                clients.start_soon(self._read, scope, name, address)
        moved = ControlsMoved(tuple(processes.values()))
        self._operator.mailbox.post(moved)
        self._evacuator.mailbox.post(moved)
        if self._workers is not None:
            self._workers.mailbox.post(moved)

    async def _read(self, scope: anyio.CancelScope, name: str, address: str) -> None:
        with scope:
            judge = self.judge.mailbox
            await ReaderTask(self._interface, judge, name, address).run()

    async def _await_service(self, cause: str, limit_s: float) -> None:
        """Wait until every kind of request is served, and note the time it took."""
        began_s = anyio.current_time()
        processes = tuple(self.site.list_processes())
        while True:
            self.judge.mailbox.post(UnservedQuery(began_s, processes, reply := Reply()))
            unserved = await reply.receive()
            elapsed_s = anyio.current_time() - began_s
            if not unserved:
                self.recovered_s.append(round(elapsed_s, 2))
                return
            if elapsed_s > limit_s:
                raise ServiceNotBack(
                    f"not served within {limit_s} s of {cause}: {', '.join(unserved)}"
                )
            await anyio.sleep(POLL_INTERVAL_S)

    def make_result(self, began_s: float) -> SoakResult:
        """Return the outcome of a seed that began at an instant."""
        promises, rules = self.judge.promises, self.judge.run_rules
        evacuations = self.judge.evacuation_rules
        return SoakResult(
            seed=self._plan.seed,
            layout=self._plan.layout,
            broken=(
                *promises.broken,
                *rules.broken,
                *evacuations.broken,
                *self.site.faults,
                *self.broken,
                *self.outages,
            ),
            evacuation_orders=evacuations.acknowledged_count,
            recovered_s=tuple(self.recovered_s),
            version=promises.acknowledged_version,
            workloads=promises.accepted_count,
            starts=rules.starts,
            restarts_after_idle_expiry=tuple(rules.restarts_after_idle_expiry),
            restarts_after_expiry=tuple(rules.restarts_after_expiry),
            completed_s=self.completed_s,
            slowest_sync_s=round(self.probe.slowest_s, 2),
            duration_s=round(anyio.current_time() - began_s, 1),
            outages=tuple(self.outages),
            votes=self.list_votes(),
        )

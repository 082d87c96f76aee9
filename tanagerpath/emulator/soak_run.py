"""One seed of the fault soak: plays its plan on real processes and judges the outcome.

The processes listen on loopback; workers, operator, callers and readers are tasks here.
"""

import functools
import pathlib
import random
from collections.abc import Callable

import anyio
import attrs
from anyio.abc import TaskGroup

from tanagerpath.core.workloads.specs import WorkloadSpec
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
from tanagerpath.emulator.soak_evacuator import EvacuatorTask, WithdrawEvacuation
from tanagerpath.emulator.soak_faults import LEADER, FaultSequence, FaultStep
from tanagerpath.emulator.soak_fleet import (
    FaultsCleared,
    LeaderQuery,
    WorkerFaultsTask,
    WorkersHost,
)
from tanagerpath.emulator.soak_interface import SoakInterface
from tanagerpath.emulator.soak_plan import Layout, SoakPlan
from tanagerpath.emulator.soak_site import ProcessNotReady, SoakSite
from tanagerpath.emulator.soak_workloads import draw_workload, make_plain_workload
from tanagerpath.errors import iterate_leaf_exceptions
from tanagerpath.runtime import Reply

__all__ = ["SoakResult", "SoakTerms", "run_seed"]

# A first start has no stated bound; processes take seconds to start beside other load.
START_LIMIT_S = 30.0
SEED_LIMIT_S = 180.0
# A seed with workers has a series more and waits until all workloads are completed.
WORKERS_LIMIT_S = 120.0
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


class ServiceNotBack(Exception):
    """Requests were not served within the stated time."""


class _SoakRun:
    """Plays one plan and follows the processes with readers."""

    def __init__(
        self,
        plan: SoakPlan,
        interface: SoakInterface,
        folder: pathlib.Path,
        terms: SoakTerms,
    ) -> None:
        self._plan = plan
        self._terms = terms
        self._interface = interface
        source = random.Random(plan.seed)
        self.site = SoakSite(plan.layout, interface, folder, source)
        zones = {vm.vm_id: vm.availability_zone for vm in self.site.workers}
        self.judge = JudgeTask(folder / "runs.log", zones)
        judge = self.judge.mailbox
        self._workers: WorkersHost | None = None
        if plan.layout.workers:
            workers = self.site.workers
            self._workers = WorkersHost(
                interface, workers, judge, random.Random(plan.seed)
            )
        self._operator = OperatorTask(interface, judge, random.Random(plan.seed))
        self._evacuator = EvacuatorTask(interface, judge, random.Random(plan.seed))
        self._caller = CallerTask(
            interface,
            judge,
            self.site.entry_address,
            random.Random(plan.seed),
            self._choose_workloads(),
        )
        self.probe = DiskProbeTask(folder)
        self._readers: dict[str, anyio.CancelScope] = {}
        self.broken: list[str] = []
        self.recovered_s: list[float] = []
        self.completed_s: float | None = None

    def _choose_workloads(self) -> Callable[[str], WorkloadSpec]:
        if self._workers is None:
            return make_plain_workload
        # A source of its own, so that the requests of a seed are the same without
        # workers.
        source = random.Random(self._plan.seed)
        return functools.partial(draw_workload, source=source)

    async def play(self) -> None:
        """Start the processes, inflict all faults, and check what is left."""
        try:
            await self.site.start_all()
            async with anyio.create_task_group() as tasks:
                try:
                    await self._play_faults(tasks)
                finally:
                    await self._end_all()
                tasks.cancel_scope.cancel()
        except* (ProcessNotReady, ServiceNotBack) as group:
            self.broken += [str(error) for error in iterate_leaf_exceptions(group)]
        finally:
            await self._end_all()

    async def _end_all(self) -> None:
        """End all processes, then the workers, whose callers are gone by then."""
        self.site.note_ended()
        self.site.end_all()
        if self._workers is not None:
            await self._workers.stop()

    async def _play_faults(self, tasks: TaskGroup) -> None:
        tasks.start_soon(self.judge.run)
        tasks.start_soon(self.probe.run)
        if self._workers is not None:
            self._workers.start(tasks)
        async with anyio.create_task_group() as clients:
            self._follow_processes(clients)
            clients.start_soon(self._operator.run)
            clients.start_soon(self._evacuator.run)
            clients.start_soon(self._caller.run)
            self._start_worker_faults(clients)
            await self._await_service("the start", START_LIMIT_S)
            await anyio.sleep(self._terms.catch_up_s)
            for steps, kills_all in zip(
                self._plan.series, self._plan.kills_all, strict=True
            ):
                await self._play_series(steps, clients)
                await self._await_service("a series", self._terms.recovery_s)
                if kills_all:
                    await self._lose((), 0.0, clients)
                    await self._await_service("the kill", self._terms.recovery_s)
                    await anyio.sleep(self._terms.catch_up_s)
            if self._plan.leader_series:
                await self._play_series(self._plan.leader_series, clients)
                await self._await_service("a series", self._terms.recovery_s)
            final = self._plan.final
            self._operator.mailbox.post(WaitForAcknowledgement(acknowledged := Reply()))
            if (
                await acknowledged.receive(
                    anyio.current_time() + self._terms.recovery_s
                )
                is None
            ):
                raise ServiceNotBack("no acknowledgement before the last fault")
            await self._lose(final.wiped, final.down_s, clients)
            await self._await_service("the last fault", self._terms.recovery_s)
            await self._withdraw_evacuation()
            clients.cancel_scope.cancel()
        unclear = await self._caller.check_all()
        if unclear:
            self.broken.append(f"no clear reply about {len(unclear)} workloads")
        if self._workers is not None:
            await self._await_completion()

    async def _withdraw_evacuation(self) -> None:
        """Let all zones be used again, so that all workloads can be completed."""
        self._evacuator.mailbox.post(WithdrawEvacuation(withdrawn := Reply()))
        until_s = anyio.current_time() + self._terms.recovery_s
        if await withdrawn.receive(until_s) is None:
            raise ServiceNotBack("no zone is back in use after the last fault")

    def _start_worker_faults(self, clients: TaskGroup) -> None:
        if self._workers is not None:
            steps = self._plan.worker_steps
            clients.start_soon(WorkerFaultsTask(steps, self._workers.mailbox).run)

    async def _await_completion(self) -> None:
        self._workers.mailbox.post(FaultsCleared())
        began_s = anyio.current_time()
        limit_s = self._terms.completion_s
        if left := await self._caller.await_final_states(limit_s):
            self.broken.append(
                f"{len(left)} workloads are not completed within {limit_s} s of the "
                f"last fault: {', '.join(left)}"
            )
            return
        self.completed_s = round(anyio.current_time() - began_s, 2)

    async def _play_series(
        self, steps: tuple[FaultStep, ...], clients: TaskGroup
    ) -> None:
        tolerated = self._plan.layout.tolerated_losses
        sequence = FaultSequence(
            steps, tolerated, self._terms.catch_up_s, anyio.current_time()
        )
        async with anyio.create_task_group() as ends:
            while not sequence.is_over(anyio.current_time()):
                now_s = anyio.current_time()
                leader_id = await self._find_leader()
                while (step := sequence.begin_due(now_s, leader_id)) is not None:
                    step.fault.begin(self.site, step.vm_id)
                while (step := sequence.end_due(now_s)) is not None:
                    ends.start_soon(self._end_step, step, sequence, clients)
                self.site.note_ended()
                await anyio.sleep(POLL_INTERVAL_S)

    async def _find_leader(self) -> str:
        """Return the VM that leads, as workers were told, or `LEADER` if unknown."""
        if self._workers is None:
            return LEADER
        self._workers.mailbox.post(LeaderQuery(reply := Reply()))
        return self.site.find_vm(await reply.receive()) or LEADER

    async def _end_step(
        self, step: FaultStep, sequence: FaultSequence, clients: TaskGroup
    ) -> None:
        await step.fault.end(self.site, step.vm_id)
        sequence.note_back(step.vm_id, anyio.current_time())
        self._follow_processes(clients)

    async def _lose(
        self,
        wiped: tuple[str, ...],
        down_s: float,
        clients: TaskGroup,
    ) -> None:
        """Kill all control processes, remove the data of some, and start all again."""
        vm_ids = self._plan.layout.vm_ids
        for vm_id in vm_ids:
            self.site.kill(vm_id)
        for vm_id in wiped:
            self.site.wipe(vm_id)
        await anyio.sleep(down_s)
        async with anyio.create_task_group() as starts:
            for vm_id in vm_ids:
                starts.start_soon(self.site.start, vm_id)
        self._follow_processes(clients)

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


async def run_seed(
    plan: SoakPlan,
    interface: SoakInterface,
    folder: pathlib.Path,
    terms: SoakTerms = SoakTerms(),
) -> SoakResult:
    """Play one plan in an empty folder, within a bounded time."""
    began_s = anyio.current_time()
    run = _SoakRun(plan, interface, folder, terms)
    limit_s = SEED_LIMIT_S + (WORKERS_LIMIT_S if plan.layout.workers else 0.0)
    with anyio.move_on_after(limit_s) as scope:
        await run.play()
    if scope.cancelled_caught:
        run.broken.append(f"not done within {limit_s} s")
    promises, rules = run.judge.promises, run.judge.run_rules
    evacuations = run.judge.evacuation_rules
    return SoakResult(
        seed=plan.seed,
        layout=plan.layout,
        broken=(
            *promises.broken,
            *rules.broken,
            *evacuations.broken,
            *run.site.faults,
            *run.broken,
        ),
        evacuation_orders=evacuations.acknowledged_count,
        recovered_s=tuple(run.recovered_s),
        version=promises.acknowledged_version,
        workloads=promises.accepted_count,
        starts=rules.starts,
        restarts_after_idle_expiry=tuple(rules.restarts_after_idle_expiry),
        restarts_after_expiry=tuple(rules.restarts_after_expiry),
        completed_s=run.completed_s,
        slowest_sync_s=round(run.probe.slowest_s, 2),
        duration_s=round(anyio.current_time() - began_s, 1),
    )

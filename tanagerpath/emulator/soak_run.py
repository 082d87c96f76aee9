"""One seed of the fault soak: plays its plan on real processes and judges them."""

import functools
import pathlib
import random
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from tanagerpath.core.workloads.specs import WorkloadSpec
from tanagerpath.emulator.soak_clients import CallerTask
from tanagerpath.emulator.soak_faults import LEADER, FaultSequence, FaultStep
from tanagerpath.emulator.soak_fleet import (
    FaultsCleared,
    LeaderQuery,
    WorkerFaultsTask,
)
from tanagerpath.emulator.soak_interface import SoakInterface
from tanagerpath.emulator.soak_plan import SoakPlan
from tanagerpath.emulator.soak_session import (
    SoakResult,
    SoakSession,
    SoakTerms,
)
from tanagerpath.emulator.soak_workloads import draw_workload, make_plain_workload
from tanagerpath.runtime import Reply

__all__ = ["SoakResult", "SoakRun", "SoakTerms"]

SEED_LIMIT_S = 180.0
# A seed with workers has a series more and waits until all workloads are completed.
WORKERS_LIMIT_S = 120.0
POLL_INTERVAL_S = 0.05


class SoakRun(SoakSession):
    """Plays the plan of the fault soak, and judges what is left."""

    def __init__(
        self,
        plan: SoakPlan,
        interface: SoakInterface,
        folder: pathlib.Path,
        terms: SoakTerms,
    ) -> None:
        super().__init__(plan, interface, folder, terms)
        self._caller = CallerTask(
            interface,
            self.judge.mailbox,
            self.site.entry_address,
            random.Random(plan.seed),
            self._choose_workloads(),
        )

    @property
    def limit_s(self) -> float:
        """Time in seconds within which the seed has to be done."""
        return SEED_LIMIT_S + (WORKERS_LIMIT_S if self._plan.layout.workers else 0)

    def _choose_workloads(self) -> Callable[[str], WorkloadSpec]:
        if self._workers is None:
            return make_plain_workload
        # A source of its own, so that the requests of a seed are the same without
        # workers.
        source = random.Random(self._plan.seed)
        return functools.partial(draw_workload, source=source)

    async def _play_faults(self, clients: TaskGroup) -> None:
        clients.start_soon(self._caller.run)
        self._start_worker_faults(clients)
        await self._await_start()
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
        await self._await_acknowledgement()
        await self._lose(final.wiped, final.down_s, clients)
        await self._await_service("the last fault", self._terms.recovery_s)

    async def _check_workloads(self) -> None:
        await self._check_caller(self._caller)
        if self._workers is not None:
            await self._await_completion()

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

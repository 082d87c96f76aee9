"""One seed of disks that are lost one after the other beside a backlog of workloads."""

import functools
import math
import pathlib
import random

import anyio
from anyio.abc import TaskGroup

from tanagerpath.emulator.soak_clients import CallerTask
from tanagerpath.emulator.soak_disk_faults import DiskFaults
from tanagerpath.emulator.soak_disk_plan import DiskSeriesPlan
from tanagerpath.emulator.soak_interface import SoakInterface
from tanagerpath.emulator.soak_session import (
    ServiceNotBack,
    SoakSession,
    SoakTerms,
)
from tanagerpath.emulator.soak_votes import ControlLog, DiskVote, find_leader
from tanagerpath.emulator.soak_workloads import draw_large_workload

__all__ = ["DiskSeriesRun"]

SEED_LIMIT_S = 300.0
# Submissions have no stated rate; a full machine takes seconds for a thousand.
BACKLOG_LIMIT_S = 90.0
CALLERS = 32
# Pause of a caller between requests once the backlog is accepted.
CALLER_PAUSE_S = 1.0


class DiskSeriesRun(SoakSession):
    """Plays the plan of a disk series, and judges what is left."""

    def __init__(
        self,
        plan: DiskSeriesPlan,
        interface: SoakInterface,
        folder: pathlib.Path,
        terms: SoakTerms,
    ) -> None:
        super().__init__(plan, interface, folder, terms)
        self._callers = [self._make_caller(number) for number in range(CALLERS)]
        self._faults: DiskFaults | None = None

    @property
    def limit_s(self) -> float:
        """Time in seconds within which the seed has to be done."""
        return SEED_LIMIT_S

    def list_votes(self) -> tuple[DiskVote, ...]:
        """Return the vote after each loss, as the logs show them."""
        if self._faults is None:
            return ()
        logs = {log.vm_id: log for log in self._read_logs()}
        until_unix_s = dict.fromkeys(self._plan.layout.vm_ids, math.inf)
        votes = []
        for record in reversed(self._faults.records):
            vm_id, lost_unix_s = record.vm_id, record.lost_unix_s
            due_unix_s = record.returned_unix_s + self._terms.catch_up_s
            vote = logs[vm_id].find_vote(lost_unix_s, until_unix_s[vm_id], due_unix_s)
            votes.append(vote)
            until_unix_s[vm_id] = lost_unix_s
        return tuple(reversed(votes))

    def _read_logs(self) -> list[ControlLog]:
        vm_ids = self._plan.layout.vm_ids
        return [ControlLog(vm_id, self.site.read_log(vm_id)) for vm_id in vm_ids]

    def _make_caller(self, number: int) -> CallerTask:
        source = random.Random(f"{self._plan.seed}/{number}")
        return CallerTask(
            self._interface,
            self.judge.mailbox,
            self.site.entry_address,
            source,
            functools.partial(draw_large_workload, source=source),
            CALLER_PAUSE_S,
        )

    async def _await_service(self, cause: str, limit_s: float) -> None:
        try:
            await super()._await_service(cause, limit_s)
        except ServiceNotBack as error:
            raise ServiceNotBack(f"{error}; {self._describe_leader()}") from error

    def _describe_leader(self) -> str:
        leader_id = find_leader(self._read_logs())
        return "no process leads" if leader_id is None else f"{leader_id} leads"

    async def _play_faults(self, clients: TaskGroup) -> None:
        filled = anyio.Event()
        clients.start_soon(self._run_callers, filled)
        await self._await_start()
        with anyio.move_on_after(BACKLOG_LIMIT_S):
            await filled.wait()
        if not filled.is_set():
            raise ServiceNotBack(
                f"{self._plan.backlog} workloads not accepted in {BACKLOG_LIMIT_S} s"
            )
        await self._lose_disks(clients)

    async def _lose_disks(self, clients: TaskGroup) -> None:
        faults = self._faults = DiskFaults(
            self.site,
            self._plan.layout.vm_ids,
            self._terms.catch_up_s,
            lambda: find_leader(self._read_logs()),
            functools.partial(self._follow_processes, clients),
        )
        for loss in self._plan.losses:
            await faults.await_catch_up()
            await faults.lose_disk(loss)
        await self._await_service("the last return", self._terms.recovery_s)
        await faults.await_catch_up()
        await self._await_acknowledgement()
        await faults.lose_power(self._plan.final)
        await self._await_service("the loss of power", self._terms.recovery_s)
        await faults.await_catch_up()

    async def _run_callers(self, filled: anyio.Event) -> None:
        """Submit the backlog at once, then send requests until cancelled."""
        share = math.ceil(self._plan.backlog / len(self._callers))
        async with anyio.create_task_group() as callers:
            for caller in self._callers:
                callers.start_soon(caller.submit_many, share)
        filled.set()
        async with anyio.create_task_group() as callers:
            for caller in self._callers:
                callers.start_soon(caller.run)

    async def _check_workloads(self) -> None:
        async with anyio.create_task_group() as checks:
            for caller in self._callers:
                checks.start_soon(self._check_caller, caller)

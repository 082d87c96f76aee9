"""Losses of disks on the processes of the soak, and the faults beside them."""

import time
from collections.abc import Callable

import anyio
import attrs

from tanagerpath.emulator.soak_disk_plan import DiskLoss, Disturbance
from tanagerpath.emulator.soak_faults import Fault
from tanagerpath.emulator.soak_site import SoakSite

__all__ = ["DiskFaults", "LossRecord"]


@attrs.frozen
class LossRecord:
    """A disk that was lost; instants in UTC seconds, as in the logs.

    `returned_unix_s` is the last return of a process after the loss.
    """

    vm_id: str
    lost_unix_s: float
    returned_unix_s: float


class DiskFaults:
    """Plays one loss of a disk after the other.

    Parameters
    ----------
    site : SoakSite
        The processes.
    vm_ids : tuple of str
        VMs with a control process.
    catch_up_s : float
        Time in seconds for which a VM that is back still counts as lost.
    find_leader : callable
        Returns the VM that leads, None if none is known.
    note_return : callable
        Called whenever a process is back.
    """

    def __init__(
        self,
        site: SoakSite,
        vm_ids: tuple[str, ...],
        catch_up_s: float,
        find_leader: Callable[[], str | None],
        note_return: Callable[[], None],
    ) -> None:
        self._site = site
        self._vm_ids = vm_ids
        self._catch_up_s = catch_up_s
        self._find_leader = find_leader
        self._note_return = note_return
        self._returned_s = 0.0
        self._returned_unix_s = 0.0
        # VMs that are down, frozen or starting.
        self._away: set[str] = set()
        self.records: list[LossRecord] = []

    async def await_catch_up(self) -> None:
        """Return at the instant from which no VM counts as lost."""
        await anyio.sleep_until(self._returned_s + self._catch_up_s)
        self._site.note_ended()

    async def lose_disk(self, loss: DiskLoss) -> None:
        """Remove the disk of a VM, and return when all processes are back."""
        vm_id = loss.choose_vm(self._find_leader())
        lost_unix_s = time.time()
        async with anyio.create_task_group() as faults:
            self._begin_loss(vm_id)
            faults.start_soon(self._return_later, vm_id, loss.down_s)
            for disturbance in loss.disturbances:
                faults.start_soon(self._disturb, disturbance, vm_id)
        self._note_loss(vm_id, lost_unix_s)

    async def lose_power(self, loss: DiskLoss) -> None:
        """Kill all processes, the entry too, remove one disk, and start all again."""
        vm_id = loss.choose_vm(self._find_leader())
        lost_unix_s = time.time()
        for one in (*self._vm_ids, self._site.entry_id):
            self._site.kill(one)
        self._site.wipe(vm_id)
        await anyio.sleep(loss.down_s)
        async with anyio.create_task_group() as starts:
            starts.start_soon(self._site.start_entry)
            for one in self._vm_ids:
                starts.start_soon(self._return, one)
        self._note_loss(vm_id, lost_unix_s)

    def _note_loss(self, vm_id: str, lost_unix_s: float) -> None:
        self.records.append(LossRecord(vm_id, lost_unix_s, self._returned_unix_s))

    def _begin_loss(self, vm_id: str) -> None:
        self._away.add(vm_id)
        self._site.kill(vm_id)
        self._site.wipe(vm_id)

    async def _return_later(self, vm_id: str, down_s: float) -> None:
        await anyio.sleep(down_s)
        await self._return(vm_id)

    async def _disturb(self, disturbance: Disturbance, wiped: str) -> None:
        """Inflict a fault on its VMs, except those that are away already."""
        await anyio.sleep(disturbance.delay_s)
        hit = set(disturbance.list_vms(wiped, self._vm_ids)) - self._away
        self._away |= hit
        for vm_id in hit:
            disturbance.fault.begin(self._site, vm_id)
        await anyio.sleep(disturbance.duration_s)
        async with anyio.create_task_group() as ends:
            for vm_id in hit:
                ends.start_soon(self._end_fault, disturbance.fault, vm_id)

    async def _end_fault(self, fault: Fault, vm_id: str) -> None:
        await fault.end(self._site, vm_id)
        self._take_back(vm_id)

    async def _return(self, vm_id: str) -> None:
        await self._site.start(vm_id)
        self._take_back(vm_id)

    def _take_back(self, vm_id: str) -> None:
        self._away.discard(vm_id)
        self._returned_s = anyio.current_time()
        self._returned_unix_s = time.time()
        self._note_return()

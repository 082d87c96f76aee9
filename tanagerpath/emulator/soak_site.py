"""Processes of the soak on loopback, and what can be done to them."""

import pathlib
import random
import shutil

import anyio

from tanagerpath.emulator.processes import ProcessTable
from tanagerpath.emulator.soak_faults import FaultTarget
from tanagerpath.emulator.soak_interface import SoakInterface, SoakVm
from tanagerpath.emulator.soak_plan import Layout

__all__ = ["ProcessNotReady", "SoakSite"]

ZONES = ("a", "b", "c")
SEEDS_GIVEN = 3
ENTRY_ID = "e1"
# Time that the platform leaves a process for a graceful stop.
GRACE_S = 6.0
START_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.02
# Each run takes addresses of its own from 127.0.0.0/8, so that runs don't meet.
NETWORKS = range(1, 255)
FIRST_HOST = 1
LAST_HOST = 250


class ProcessNotReady(Exception):
    """A process did not listen in time, or ended by itself."""


class SoakSite(FaultTarget):
    """Control processes and one entry, each with a loopback address of its own.

    Parameters
    ----------
    layout : Layout
        Size of the deployment.
    interface : SoakInterface
        Settings and addresses of the processes.
    folder : pathlib.Path
        Empty folder for settings, data and logs.
    source : random.Random
        Draws the control VMs that a restarted process is told of.
    """

    def __init__(
        self,
        layout: Layout,
        interface: SoakInterface,
        folder: pathlib.Path,
        source: random.Random,
    ) -> None:
        self._layout = layout
        self._interface = interface
        self._folder = folder
        self._source = source
        self._processes = ProcessTable(folder)
        self._network = f"127.{random.choice(NETWORKS)}.{random.choice(NETWORKS)}"
        self._hosts = iter(range(FIRST_HOST, LAST_HOST))
        self._vms = {
            vm_id: self._make_vm(vm_id, "control", ZONES[place % len(ZONES)])
            for place, vm_id in enumerate(layout.vm_ids)
        }
        self._entry = self._make_vm(ENTRY_ID, "entry", ZONES[0])
        # Served by the soak itself, so that they take no process.
        self.workers = tuple(
            self._make_vm(worker_id, "worker", ZONES[place % len(ZONES)])
            for place, worker_id in enumerate(layout.worker_ids)
        )
        self._starts: dict[str, int] = dict.fromkeys(layout.vm_ids, 0)
        self._expected: set[str] = set()
        self.faults: list[str] = []

    @property
    def entry_address(self) -> str:
        """Address of the entry for callers."""
        return self._interface.find_address(self._entry)

    @property
    def entry_id(self) -> str:
        """Name of the VM with the entry."""
        return self._entry.vm_id

    def list_processes(self) -> dict[str, str]:
        """Return the public addresses by the name of the process.

        The name tells the VM and how often its process was started.
        """
        return {
            f"{vm_id}.{self._starts[vm_id]}": self._interface.find_address(vm)
            for vm_id, vm in self._vms.items()
        }

    def find_vm(self, address: str) -> str | None:
        """Return the control VM that listens at a public address, None if none."""
        for vm_id, vm in self._vms.items():
            if self._interface.find_address(vm) == address:
                return vm_id
        return None

    async def start_all(self) -> None:
        """Start all processes for the first time."""
        seeds = tuple(self._vms.values())[:SEEDS_GIVEN]
        for vm in (*self._vms.values(), self._entry):
            self._launch(vm, seeds, may_found=True)
        for vm in (*self._vms.values(), self._entry):
            await self._wait_until_listening(vm)

    def end_all(self) -> None:
        """Kill all processes that still run."""
        self._expected.clear()
        self._processes.kill_all()

    def note_ended(self) -> None:
        """Note each process that has ended by itself as a fault."""
        for vm_id in tuple(self._expected):
            status = self._processes.find_exit_status(vm_id)
            if status is not None:
                self._expected.discard(vm_id)
                self.faults.append(f"{vm_id} ended by itself with status {status}")

    def kill(self, vm_id: str) -> None:
        """End the process at once."""
        self._expected.discard(vm_id)
        self._processes.kill(vm_id)

    def terminate(self, vm_id: str) -> None:
        """Ask the process to end."""
        self._expected.discard(vm_id)
        self._processes.terminate(vm_id)

    def freeze(self, vm_id: str) -> None:
        """Keep the process from running."""
        self._processes.freeze(vm_id)

    def resume(self, vm_id: str) -> None:
        """Let a frozen process run again."""
        self._processes.resume(vm_id)

    def wipe(self, vm_id: str) -> None:
        """Remove the data folder."""
        shutil.rmtree(self._vms[vm_id].folder, ignore_errors=True)

    def move(self, vm_id: str) -> None:
        """Give the VM another address and an empty folder."""
        zone = self._vms[vm_id].availability_zone
        self._vms[vm_id] = self._make_vm(vm_id, "control", zone)

    def reload(self, vm_id: str) -> None:
        """Write the settings with the present addresses and tell the process."""
        vm = self._vms[vm_id]
        self._write_settings(vm, self._draw_seeds(), may_found=False)
        self._processes.reload(vm_id)

    def read_log(self, vm_id: str) -> list[str]:
        """Return the lines that all processes of a VM have logged."""
        path = self._processes.find_log(vm_id)
        return path.read_text(encoding="utf-8", errors="replace").splitlines()

    async def start_entry(self) -> None:
        """Start the entry again after it was killed, and wait until it listens."""
        self._launch(self._entry, self._draw_seeds(), may_found=False)
        await self._wait_until_listening(self._entry)

    async def start(self, vm_id: str) -> None:
        """Start the process again once it has ended, and wait until it listens."""
        await self._wait_until_ended(vm_id)
        self._launch(self._vms[vm_id], self._draw_seeds(), may_found=False)
        await self._wait_until_listening(self._vms[vm_id])

    def _make_vm(self, vm_id: str, role: str, zone: str) -> SoakVm:
        host = next(self._hosts)
        folder = self._folder / f"{vm_id}-data-{host}"
        return SoakVm(vm_id, role, f"{self._network}.{host}", zone, folder)

    def _draw_seeds(self) -> tuple[SoakVm, ...]:
        return tuple(self._source.sample(list(self._vms.values()), SEEDS_GIVEN))

    def _write_settings(
        self, vm: SoakVm, seeds: tuple[SoakVm, ...], may_found: bool
    ) -> pathlib.Path:
        path = self._folder / f"{vm.vm_id}.json"
        tolerated = self._layout.tolerated_losses
        text = self._interface.write_settings(vm, seeds, may_found, tolerated)
        # Written aside first: the process may read the file at any moment.
        written = path.with_suffix(".new")
        written.write_text(text, encoding="utf-8")
        written.replace(path)
        return path

    def _launch(self, vm: SoakVm, seeds: tuple[SoakVm, ...], may_found: bool) -> None:
        settings = self._write_settings(vm, seeds, may_found)
        self._processes.start(self._interface.plan_process(vm, settings))
        self._expected.add(vm.vm_id)
        if vm.vm_id in self._starts:
            self._starts[vm.vm_id] += 1

    async def _wait_until_ended(self, vm_id: str) -> None:
        with anyio.move_on_after(GRACE_S):
            while self._processes.is_running(vm_id):
                await anyio.sleep(POLL_INTERVAL_S)
        if self._processes.is_running(vm_id):
            self.faults.append(f"{vm_id} did not stop within {GRACE_S} s")
            self._processes.kill(vm_id)
        elif self._processes.find_exit_status(vm_id) > 0:
            status = self._processes.find_exit_status(vm_id)
            self.faults.append(f"{vm_id} stopped with status {status}")

    async def _wait_until_listening(self, vm: SoakVm) -> None:
        host, _, port = self._interface.find_address(vm).rpartition(":")
        with anyio.move_on_after(START_LIMIT_S):
            while self._processes.is_running(vm.vm_id):
                try:
                    stream = await anyio.connect_tcp(host, int(port))
                except OSError:
                    await anyio.sleep(POLL_INTERVAL_S)
                else:
                    await stream.aclose()
                    return
        raise ProcessNotReady(f"{vm.vm_id} does not listen within {START_LIMIT_S} s")

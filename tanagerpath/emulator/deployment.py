"""Places and command lines of the processes of a deployment on loopback."""

import pathlib
import sys
from collections.abc import Mapping

import attrs

from tanagerpath.emulator.addresses import find_free_addresses

__all__ = ["Deployment", "ProcessPlan", "UpstreamGroup"]

SERVICE = "demo"


@attrs.frozen
class ProcessPlan:
    """Name, command line and further environment variables of a process."""

    name: str
    arguments: tuple[str, ...]
    environment: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class UpstreamGroup:
    """Stand-in upstreams of one process, on neighbouring places of a rack.

    Attributes
    ----------
    name : str
        Name of the process and of its journal.
    first : int
        Number of the first upstream; ids are "u1", "u2" and so on.
    count : int
        Number of upstreams.
    availability_zone : str
        Their zone.
    position : int
        Place of the first one in rack 0.
    listen, announce_address : str
        Where the upstreams listen, and what they announce if a proxy stands between.
    """

    name: str
    first: int
    count: int
    availability_zone: str
    position: int = 0
    listen: str = "127.0.0.1:0"
    announce_address: str = ""

    @property
    def upstream_ids(self) -> tuple[str, ...]:
        """Ids of the upstreams."""
        numbers = range(self.first, self.first + self.count)
        return tuple(f"u{number}" for number in numbers)


@attrs.frozen
class Deployment:
    """Control and entry processes by VM, and groups of stand-in upstreams.

    Attributes
    ----------
    folder : pathlib.Path
        Holds data directories, logs and journals.
    listen : mapping of str to str
        Address on which each VM's process listens.
    control_addresses : mapping of str to str
        Address at which each control VM is known to the others; another one than it
        listens on if there is a proxy between.
    entry_ids : tuple of str
        VMs that run an entry.
    groups : tuple of UpstreamGroup
        Processes of stand-in upstreams.
    replace_voter_after_s : float
        Seconds of absence after which a voter is replaced or removed.
    """

    folder: pathlib.Path
    listen: Mapping[str, str]
    control_addresses: Mapping[str, str]
    entry_ids: tuple[str, ...]
    groups: tuple[UpstreamGroup, ...]
    replace_voter_after_s: float = 60.0

    @classmethod
    def from_folder(cls, folder: pathlib.Path) -> "Deployment":
        """Return three controls, three entries and eight upstreams on free ports."""
        control_ids = ("c1", "c2", "c3")
        entry_ids = ("e1", "e2", "e3")
        names = control_ids + entry_ids
        listen = dict(zip(names, find_free_addresses(len(names)), strict=True))
        return cls(
            folder=folder,
            listen=listen,
            control_addresses={vm_id: listen[vm_id] for vm_id in control_ids},
            entry_ids=entry_ids,
            groups=(UpstreamGroup("ua", 1, 4, "a"), UpstreamGroup("ub", 5, 4, "b")),
        )

    @property
    def control_ids(self) -> tuple[str, ...]:
        """VMs that run a control process."""
        return tuple(self.control_addresses)

    @property
    def entry_addresses(self) -> tuple[str, ...]:
        """Addresses of all entries."""
        return tuple(self.listen[vm_id] for vm_id in self.entry_ids)

    @property
    def journals(self) -> pathlib.Path:
        """Folder of the journals."""
        return self.folder / "journals"

    def find_data_dir(self, vm_id: str) -> pathlib.Path:
        """Return the data directory of a control VM."""
        return self.folder / "data" / vm_id

    def plan_control(self, vm_id: str) -> ProcessPlan:
        """Return the command line of a control process."""
        flags = {
            "--data-dir": str(self.find_data_dir(vm_id)),
            "--replace-voter-after-s": str(self.replace_voter_after_s),
        }
        return self._plan_server("control", vm_id, flags)

    def plan_entry(self, vm_id: str) -> ProcessPlan:
        """Return the command line of an entry process."""
        return self._plan_server("entry", vm_id, {})

    def _plan_server(self, role: str, vm_id: str, flags: dict[str, str]) -> ProcessPlan:
        controls = self.control_addresses.items()
        flags = {
            "--vm-id": vm_id,
            "--availability-zone": f"z{vm_id[-1]}",
            "--listen": self.listen[vm_id],
            "--control-addresses": ",".join(f"{k}={v}" for k, v in controls),
            **flags,
        }
        return ProcessPlan(vm_id, (*_python("tanagerpath"), role, *_flatten(flags)))

    def plan_upstreams(self, group: UpstreamGroup) -> ProcessPlan:
        """Return the command line of a process of stand-in upstreams."""
        flags = {
            "--upstream-id": group.upstream_ids[0],
            "--count": str(group.count),
            "--availability-zone": group.availability_zone,
            "--position": str(group.position),
            "--entries": ",".join(self.entry_addresses),
            "--services": SERVICE,
            "--journal": str(self.journals / f"{group.name}.journal"),
            "--listen": group.listen,
            "--announce-address": group.announce_address,
        }
        command = _python("tanagerpath.emulator.upstream")
        return ProcessPlan(group.name, (*command, *_flatten(flags)))


def _python(module: str) -> tuple[str, ...]:
    return sys.executable, "-m", module


def _flatten(flags: dict[str, str]) -> list[str]:
    return [text for flag in flags.items() for text in flag]

"""Seeded plans of disks that are lost one after the other, without input or output."""

import random

import attrs

from tanagerpath.emulator.soak_faults import Fault, Freeze, Kill, Terminate
from tanagerpath.emulator.soak_plan import Layout

__all__ = [
    "DEFAULT_BACKLOG",
    "DISK_LAYOUTS",
    "DiskLoss",
    "DiskSeriesPlan",
    "Disturbance",
]

# Without workers and with two, which can run only a few workloads at a time.
DISK_LAYOUTS = (Layout(3, 1), Layout(3, 1, workers=2))
DEFAULT_BACKLOG = 1200
DEFAULT_LOSSES = 5
DOWN_MIN_S = 0.2
DOWN_MAX_S = 3.0
LEADER_SHARE = 0.6
# Half of the losses follow the one before them without any other fault.
DISTURBANCE_COUNTS = (0, 0, 1, 2)
KILL_ALL_SHARE = 0.2
# Disturbances begin while the VM without a disk is down or catches up.
DISTURBANCE_DELAY_MAX_S = 5.0
DISTURBANCE_MIN_S = 0.1
DISTURBANCE_MAX_S = 1.5
_KILL = Kill()
_DISTURBANCES: tuple[Fault, ...] = (_KILL, Freeze(), Terminate())


@attrs.frozen
class Disturbance:
    """A fault that takes no disk, beside the loss of one.

    Attributes
    ----------
    fault : Fault
        What happens.
    offsets : tuple of int
        Where it happens: places after the VM that lost its disk, which is place 0.
    delay_s : float
        Time in seconds from the loss of the disk to the begin of the fault.
    duration_s : float
        Time in seconds from the begin of the fault to its end.
    """

    fault: Fault
    offsets: tuple[int, ...]
    delay_s: float
    duration_s: float

    def list_vms(self, wiped: str, vm_ids: tuple[str, ...]) -> list[str]:
        """Return the VMs where it happens."""
        first = vm_ids.index(wiped)
        return [vm_ids[(first + offset) % len(vm_ids)] for offset in self.offsets]


@attrs.frozen
class DiskLoss:
    """A VM is killed, loses its disk, and starts again.

    Attributes
    ----------
    vm_id : str
        The VM, unless the leader is known and to be hit.
    hits_leader : bool
        Whether the VM that leads is hit instead.
    down_s : float
        Time in seconds until the process is started again.
    disturbances : tuple of Disturbance
        Other faults meanwhile.
    """

    vm_id: str
    hits_leader: bool
    down_s: float
    disturbances: tuple[Disturbance, ...] = ()

    def choose_vm(self, leader_id: str | None) -> str:
        """Return the VM that loses its disk."""
        return leader_id if self.hits_leader and leader_id else self.vm_id


@attrs.frozen
class DiskSeriesPlan:
    """What one seed plays.

    Attributes
    ----------
    seed : int
        The seed.
    layout : Layout
        Size of the deployment, which tolerates the loss of one disk.
    backlog : int
        Workloads that are accepted before the first fault.
    losses : tuple of DiskLoss
        Disks that are lost one after the other.
    final : DiskLoss
        Disk that is lost while all other processes are killed.
    """

    seed: int
    layout: Layout
    backlog: int
    losses: tuple[DiskLoss, ...]
    final: DiskLoss

    @classmethod
    def from_seed(
        cls,
        seed: int,
        layout: Layout | None = None,
        backlog: int = DEFAULT_BACKLOG,
        losses_count: int = DEFAULT_LOSSES,
    ) -> "DiskSeriesPlan":
        """Draw a plan.

        Parameters
        ----------
        seed : int
            The same seed gives the same plan.
        layout : Layout, optional
            Size of the deployment; one of `DISK_LAYOUTS` in turn by default.
        backlog : int
            Workloads that are accepted before the first fault.
        losses_count : int
            Disks that are lost before the last fault.
        """
        source = random.Random(seed)
        layout = layout or Layout.from_seed(seed, DISK_LAYOUTS)
        losses = tuple(_draw_loss(source, layout) for _ in range(losses_count))
        final = attrs.evolve(_draw_loss(source, layout), disturbances=())
        return cls(seed, layout, backlog, losses, final)


def _draw_loss(source: random.Random, layout: Layout) -> DiskLoss:
    count = source.choice(DISTURBANCE_COUNTS)
    return DiskLoss(
        vm_id=source.choice(layout.vm_ids),
        hits_leader=source.random() < LEADER_SHARE,
        down_s=source.uniform(DOWN_MIN_S, DOWN_MAX_S),
        disturbances=tuple(_draw_disturbance(source, layout) for _ in range(count)),
    )


def _draw_disturbance(source: random.Random, layout: Layout) -> Disturbance:
    delay_s = source.uniform(0.0, DISTURBANCE_DELAY_MAX_S)
    duration_s = source.uniform(DISTURBANCE_MIN_S, DISTURBANCE_MAX_S)
    places = tuple(range(layout.controls))
    if source.random() < KILL_ALL_SHARE:
        return Disturbance(_KILL, places, delay_s, duration_s)
    fault = source.choice(_DISTURBANCES)
    return Disturbance(fault, (source.choice(places[1:]),), delay_s, duration_s)

"""Policies for which disks of a simulated group may be lost at a time."""

import abc
from collections.abc import Iterator

from tanagerpath.core.consensus.harness import SimulatedGroup
from tanagerpath.core.consensus.membership import Member, Membership
from tanagerpath.core.consensus.simulated import DiskContent
from tanagerpath.core.consensus.simulated_vm import SimulatedVm
from tanagerpath.core.consensus.voters import LossTolerance

__all__ = ["DiskLossPolicy", "SingleDiskLoss", "ToleratedDiskLosses"]

POWER_LOSS_PROBABILITY = 0.2


class DiskLossPolicy(abc.ABC):
    """Decides which disks may be lost without losing committed entries."""

    @abc.abstractmethod
    def choose(self, group: SimulatedGroup, vm: SimulatedVm) -> list[SimulatedVm]:
        """Return the VMs that lose their disks now, `vm` first; empty for none."""

    @abc.abstractmethod
    def draw_power_loss(self, group: SimulatedGroup) -> bool:
        """Return whether all other VMs lose power at the same time."""


class SingleDiskLoss(DiskLossPolicy):
    """Loses one disk, only while all VMs are voters that hold the whole log."""

    def choose(self, group: SimulatedGroup, vm: SimulatedVm) -> list[SimulatedVm]:
        """Return the VM itself, or none; see the base class."""
        return [vm] if self._is_fully_replicated(group) else []

    def draw_power_loss(self, group: SimulatedGroup) -> bool:
        """Return False: only the disk is lost."""
        return False

    def _is_fully_replicated(self, group: SimulatedGroup) -> bool:
        leader = group.find_leader()
        if leader is None or leader.replica is None:
            return False
        # The current membership may be uncommitted, so the whole log counts.
        last_index = leader.replica.last_index
        voters = leader.replica.voters
        return all(
            vm.disk.durable.replica_id in voters
            and vm.disk.durable.last_index >= last_index
            for vm in group.vms.values()
        )


class ToleratedDiskLosses(DiskLossPolicy):
    """Loses as many disks at once as the settings tolerate, whatever else fails.

    A voter whose disk was lost counts until a committed membership excludes it. No disk
    is lost before the group has as many voters as the tolerance requires.

    Parameters
    ----------
    tolerance : LossTolerance
        Losses of VMs that the group must tolerate.
    """

    def __init__(self, tolerance: LossTolerance) -> None:
        self._tolerance = tolerance

    def choose(self, group: SimulatedGroup, vm: SimulatedVm) -> list[SimulatedVm]:
        """Return as many VMs as may lose their disks now; see the base class."""
        others = [other for other in group.vms.values() if other is not vm]
        group.random.shuffle(others)
        chosen: list[SimulatedVm] = []
        for one in (vm, *others[: self._tolerance.vms - 1]):
            if self._may_lose(group, [*chosen, one]):
                chosen.append(one)
        return chosen

    def draw_power_loss(self, group: SimulatedGroup) -> bool:
        """Draw whether the other VMs lose power; see the base class."""
        return group.random.random() < POWER_LOSS_PROBABILITY

    def _may_lose(self, group: SimulatedGroup, losing: list[SimulatedVm]) -> bool:
        memberships = list(_list_possible_memberships(group))
        vm_ids = {vm.vm_id for vm in losing}
        return bool(memberships) and all(
            self._is_tolerated(group, membership, vm_ids) for membership in memberships
        )

    def _is_tolerated(
        self, group: SimulatedGroup, membership: Membership, losing: set[str]
    ) -> bool:
        voters = [m for m in membership.members if membership.is_voter(m.replica_id)]
        lost = [
            voter
            for voter in voters
            if voter.vm_id in losing or not _is_on_disk(group, voter)
        ]
        losses = self._tolerance.vms
        return len(lost) <= losses and len(voters) >= 2 * losses + 1


def _is_on_disk(group: SimulatedGroup, member: Member) -> bool:
    durable = group.vms[member.vm_id].disk.durable
    return durable.replica_id == member.replica_id and durable.last_index > 0


def _list_memberships(content: DiskContent) -> Iterator[tuple[int, Membership]]:
    if content.snapshot is not None:
        yield content.snapshot.last_index, content.snapshot.membership
    for entry in content.entries:
        if entry.membership is not None:
            yield entry.index, entry.membership


def _list_possible_memberships(group: SimulatedGroup) -> Iterator[Membership]:
    """Return the last membership known to be committed and all later ones."""
    replicas = [vm.replica for vm in group.vms.values() if vm.replica is not None]
    committed_index = max((replica.commit_index for replica in replicas), default=0)
    found = [
        indexed
        for vm in group.vms.values()
        for content in (vm.disk.durable, vm.disk.visible)
        for indexed in _list_memberships(content)
    ]
    first = max((index for index, _ in found if index <= committed_index), default=0)
    return (membership for index, membership in found if index >= first > 0)

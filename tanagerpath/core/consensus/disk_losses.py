"""Which disks of a simulated group may be lost at an instant."""

import abc
from collections.abc import Iterator

from tanagerpath.core.consensus.harness import SimulatedGroup, SimulatedVm
from tanagerpath.core.consensus.membership import Member, Membership
from tanagerpath.core.consensus.simulated import DiskContent
from tanagerpath.core.consensus.voters import LossTolerance

__all__ = ["DiskLosses", "OneOfWholeGroup", "ToleratedDisks"]

POWER_LOSS_SHARE = 0.2


class DiskLosses(abc.ABC):
    """Decides which disks may be lost without losing what is committed."""

    @abc.abstractmethod
    def choose(self, group: SimulatedGroup, vm: SimulatedVm) -> list[SimulatedVm]:
        """Return the VMs that lose their disks now, `vm` first; empty if none may."""

    @abc.abstractmethod
    def take_power(self, group: SimulatedGroup) -> bool:
        """Return whether all other VMs lose their power at the same instant."""


class OneOfWholeGroup(DiskLosses):
    """One disk, and only while all VMs are voters that hold everything committed."""

    def choose(self, group: SimulatedGroup, vm: SimulatedVm) -> list[SimulatedVm]:
        """Return the VM itself or none; see the base class."""
        return [vm] if self._is_whole(group) else []

    def take_power(self, group: SimulatedGroup) -> bool:
        """Return False: the loss comes alone."""
        return False

    def _is_whole(self, group: SimulatedGroup) -> bool:
        leader = group.find_leader()
        if leader is None or leader.replica is None:
            return False
        # The membership in force may not be committed yet, so the whole log counts.
        last_index = leader.replica.last_index
        voters = leader.replica.voters
        return all(
            vm.disk.durable.replica_id in voters
            and vm.disk.durable.last_index >= last_index
            for vm in group.vms.values()
        )


class ToleratedDisks(DiskLosses):
    """As many disks at once as the settings tolerate, whatever else is going on.

    A voter whose disk was lost counts until a committed membership is without it, and
    no disk may be lost before the group has as many voters as the tolerance asks for.

    Parameters
    ----------
    tolerance : LossTolerance
        Losses of VMs that the group has to bear.
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

    def take_power(self, group: SimulatedGroup) -> bool:
        """Draw whether the other VMs lose their power; see the base class."""
        return group.random.random() < POWER_LOSS_SHARE

    def _may_lose(self, group: SimulatedGroup, losing: list[SimulatedVm]) -> bool:
        memberships = list(_list_deciding(group))
        vm_ids = {vm.vm_id for vm in losing}
        return bool(memberships) and all(
            self._is_borne(group, membership, vm_ids) for membership in memberships
        )

    def _is_borne(
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


def _list_deciding(group: SimulatedGroup) -> Iterator[Membership]:
    """Return the last membership known to be committed, and all later ones."""
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

"""Seeded schedule of faults and commands for a simulated group."""

import attrs

from tanagerpath.core.consensus.disk_losses import DiskLosses, OneOfWholeGroup
from tanagerpath.core.consensus.harness import SimulatedGroup, SimulatedVm
from tanagerpath.core.consensus.simulated import NetworkFaults

__all__ = ["FaultSchedule"]

# Dense faults stop the group most of the time, sparse ones let repairs complete.
MEAN_FAULT_INTERVALS_S = (0.5, 1.5, 4.0)
# Many commands keep a replica that is cut off behind, few let it be electable.
MEAN_COMMAND_INTERVALS_S = (0.05, 0.3, 2.0)
# Share of the faults that come with another one at nearly the same instant.
DOUBLE_FAULT_SHARE = 0.3
MAX_DOUBLE_FAULT_DELAY_S = 0.05
LOSSY_NETWORK = NetworkFaults(drop=0.1, duplicate=0.1, slow=0.1)
# One in this many crashes lasts longer than `replace_voter_after_s`.
LONG_CRASH_SHARE = 0.2


@attrs.define
class FaultSchedule:
    """Brings seeded faults and commands into a group.

    Parameters
    ----------
    group : SimulatedGroup
        The group; its random source decides.
    disk_losses : DiskLosses
        Which disks may be emptied, because the loss of a quorum of disks may lose
        commands by design.
    """

    group: SimulatedGroup
    disk_losses: DiskLosses = attrs.field(factory=OneOfWholeGroup)
    active: bool = False
    commands: int = 0
    emptied: int = 0
    mean_fault_interval_s: float = attrs.field(init=False)
    mean_command_interval_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Draw how dense the faults and the commands are."""
        interval_s = self.group.random.choice(MEAN_FAULT_INTERVALS_S)
        self.mean_fault_interval_s = interval_s
        interval_s = self.group.random.choice(MEAN_COMMAND_INTERVALS_S)
        self.mean_command_interval_s = interval_s

    def run(self, duration_s: float) -> None:
        """Run the group under faults for some seconds of simulated time."""
        self.active = True
        self.group.start_all()
        self._plan_fault()
        self._plan_command()
        self.group.run_for(duration_s)
        self.active = False

    def settle(self, limit_s: float = 60.0) -> bool:
        """End all faults; return whether the group is whole again in `limit_s`."""
        self.active = False
        self.group.heal()
        return self.group.run_until(self.group.is_settled, limit_s)

    def _plan_fault(self) -> None:
        delay_s = self.group.random.expovariate(1 / self.mean_fault_interval_s)
        self.group.schedule(delay_s, self._make_fault)

    def _plan_command(self) -> None:
        delay_s = self.group.random.expovariate(1 / self.mean_command_interval_s)
        self.group.schedule(delay_s, self._make_command)

    def _make_command(self) -> None:
        if not self.active:
            return
        self.commands += 1
        vm_id = self.group.random.choice(list(self.group.vms))
        leaders = [vm for vm in self.group.vms.values() if self._leads(vm)]
        if leaders and self.group.random.random() < 0.9:
            vm_id = self.group.random.choice(leaders).vm_id
        self.group.propose(vm_id, f"command-{self.commands}")
        self._plan_command()

    def _leads(self, vm: SimulatedVm) -> bool:
        return vm.replica is not None and vm.replica.leader_id == vm.replica.replica_id

    def _make_fault(self) -> None:
        if not self.active:
            return
        self._choose_fault()
        if self.group.random.random() < DOUBLE_FAULT_SHARE:
            delay_s = self.group.random.uniform(0, MAX_DOUBLE_FAULT_DELAY_S)
            self.group.schedule(delay_s, self._choose_fault)
        self._plan_fault()

    def _choose_fault(self) -> None:
        if not self.active:
            return
        faults = (
            self._crash,
            self._crash,
            self._freeze,
            self._isolate,
            self._cut,
            self._spoil_network,
            self._empty_disks,
            self._transfer,
        )
        vm = self._choose_vm()
        self.group.random.choice(faults)(vm)

    def _choose_vm(self) -> SimulatedVm:
        leader = self.group.find_leader()
        if leader is not None and self.group.random.random() < 0.4:
            return leader
        return self.group.random.choice(list(self.group.vms.values()))

    def _crash(self, vm: SimulatedVm) -> None:
        if vm.replica is None:
            return
        self.group.crash(vm.vm_id)
        away_s = self._draw_absence_s()
        if self.group.random.random() < LONG_CRASH_SHARE:
            away_s += vm.config.replace_voter_after_s
        self.group.schedule(away_s, lambda: self.group.start(vm.vm_id))

    def _draw_absence_s(self) -> float:
        """Return a restart time, which is often shorter than the lease."""
        longest_s = self.group.random.choice((0.1, 2.0))
        return self.group.random.uniform(0.01, longest_s)

    def _freeze(self, vm: SimulatedVm) -> None:
        self.group.freeze(vm.vm_id)
        frozen_s = self.group.random.uniform(0.1, 3.0)
        self.group.schedule(frozen_s, lambda: self.group.thaw(vm.vm_id))

    def _isolate(self, vm: SimulatedVm) -> None:
        incoming, outgoing = self.group.random.choice(
            ((True, True), (True, False), (False, True))
        )
        self.group.isolate(vm.vm_id, incoming, outgoing)
        self._plan_mend()

    def _cut(self, vm: SimulatedVm) -> None:
        others = [vm_id for vm_id in self.group.vms if vm_id != vm.vm_id]
        other = self.group.random.choice(others)
        self.group.cut(vm.vm_id, other)
        if self.group.random.random() < 0.5:
            self.group.cut(other, vm.vm_id)
        self._plan_mend()

    def _plan_mend(self) -> None:
        lasting_s = self.group.random.uniform(0.2, 4.0)
        self.group.schedule(lasting_s, self.group.cuts.clear)

    def _spoil_network(self, vm: SimulatedVm) -> None:
        self.group.faults = LOSSY_NETWORK
        lasting_s = self.group.random.uniform(0.5, 4.0)
        self.group.schedule(lasting_s, self._mend_network)

    def _mend_network(self) -> None:
        self.group.faults = NetworkFaults()

    def _transfer(self, vm: SimulatedVm) -> None:
        leader = self.group.find_leader()
        if leader is not None:
            self.group.request_transfer(leader.vm_id)

    def _empty_disks(self, vm: SimulatedVm) -> None:
        losing = self.disk_losses.choose(self.group, vm)
        for lost in losing:
            self._empty_disk(lost)
        if losing and self.disk_losses.take_power(self.group):
            for other in self.group.vms.values():
                self._crash(other)

    def _empty_disk(self, vm: SimulatedVm) -> None:
        self.emptied += 1
        self.group.empty_disk(vm.vm_id)
        away_s = self._draw_absence_s()
        self.group.schedule(away_s, lambda: self.group.start(vm.vm_id))

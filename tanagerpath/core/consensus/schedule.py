"""Seeded schedule of faults and commands for a simulated group."""

import attrs

from tanagerpath.core.consensus.disk_losses import DiskLossPolicy, SingleDiskLoss
from tanagerpath.core.consensus.harness import SimulatedGroup
from tanagerpath.core.consensus.simulated import NetworkFaults
from tanagerpath.core.consensus.simulated_vm import SimulatedVm

__all__ = ["FaultSchedule"]

# Frequent faults stop the group most of the time, rare ones let repairs complete.
MEAN_FAULT_INTERVALS_S = (0.5, 1.5, 4.0)
# With many commands an isolated replica lags behind; with few it stays electable.
MEAN_COMMAND_INTERVALS_S = (0.05, 0.3, 2.0)
# Probability that a second fault follows at nearly the same time.
SECOND_FAULT_PROBABILITY = 0.3
MAX_SECOND_FAULT_DELAY_S = 0.05
LOSSY_NETWORK = NetworkFaults(drop=0.1, duplicate=0.1, slow=0.1)
# Probability that a crash lasts longer than `replace_voter_after_s`.
LONG_CRASH_PROBABILITY = 0.2


@attrs.define
class FaultSchedule:
    """Injects seeded faults and commands into a group.

    Parameters
    ----------
    group : SimulatedGroup
        The group, whose random source is used.
    disk_loss_policy : DiskLossPolicy
        Limits which disks are emptied, because the loss of a quorum of disks may lose
        commands by design.
    """

    group: SimulatedGroup
    disk_loss_policy: DiskLossPolicy = attrs.field(factory=SingleDiskLoss)
    active: bool = False
    commands: int = 0
    emptied: int = 0
    mean_fault_interval_s: float = attrs.field(init=False)
    mean_command_interval_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Draw the mean intervals of faults and commands."""
        interval_s = self.group.random.choice(MEAN_FAULT_INTERVALS_S)
        self.mean_fault_interval_s = interval_s
        interval_s = self.group.random.choice(MEAN_COMMAND_INTERVALS_S)
        self.mean_command_interval_s = interval_s

    def run(self, duration_s: float) -> None:
        """Run the group under faults for `duration_s` of simulated time."""
        self.active = True
        self.group.start_all()
        self._schedule_fault()
        self._schedule_command()
        self.group.run_for(duration_s)
        self.active = False

    def heal_and_converge(self, limit_s: float = 60.0) -> bool:
        """Remove all faults; return whether the group converges within `limit_s`."""
        self.active = False
        self.group.heal()
        return self.group.run_until(self.group.has_converged, limit_s)

    def _schedule_fault(self) -> None:
        delay_s = self.group.random.expovariate(1 / self.mean_fault_interval_s)
        self.group.schedule(delay_s, self._inject_faults)

    def _schedule_command(self) -> None:
        delay_s = self.group.random.expovariate(1 / self.mean_command_interval_s)
        self.group.schedule(delay_s, self._propose_command)

    def _propose_command(self) -> None:
        if not self.active:
            return
        self.commands += 1
        vm_id = self.group.random.choice(list(self.group.vms))
        leaders = [vm for vm in self.group.vms.values() if self._leads(vm)]
        if leaders and self.group.random.random() < 0.9:
            vm_id = self.group.random.choice(leaders).vm_id
        self.group.propose(vm_id, f"command-{self.commands}")
        self._schedule_command()

    def _leads(self, vm: SimulatedVm) -> bool:
        return vm.replica is not None and vm.replica.leader_id == vm.replica.replica_id

    def _inject_faults(self) -> None:
        if not self.active:
            return
        self._inject_fault()
        if self.group.random.random() < SECOND_FAULT_PROBABILITY:
            delay_s = self.group.random.uniform(0, MAX_SECOND_FAULT_DELAY_S)
            self.group.schedule(delay_s, self._inject_fault)
        self._schedule_fault()

    def _inject_fault(self) -> None:
        if not self.active:
            return
        faults = (
            self._crash,
            self._crash,
            self._freeze,
            self._isolate,
            self._block_link,
            self._degrade_network,
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
        downtime_s = self._draw_downtime_s()
        if self.group.random.random() < LONG_CRASH_PROBABILITY:
            downtime_s += vm.config.replace_voter_after_s
        self.group.schedule(downtime_s, lambda: self.group.start(vm.vm_id))

    def _draw_downtime_s(self) -> float:
        """Return a downtime in seconds, which is often shorter than the lease."""
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
        self._schedule_link_repair()

    def _block_link(self, vm: SimulatedVm) -> None:
        others = [vm_id for vm_id in self.group.vms if vm_id != vm.vm_id]
        other = self.group.random.choice(others)
        self.group.block_link(vm.vm_id, other)
        if self.group.random.random() < 0.5:
            self.group.block_link(other, vm.vm_id)
        self._schedule_link_repair()

    def _schedule_link_repair(self) -> None:
        duration_s = self.group.random.uniform(0.2, 4.0)
        self.group.schedule(duration_s, self.group.blocked_links.clear)

    def _degrade_network(self, vm: SimulatedVm) -> None:
        self.group.faults = LOSSY_NETWORK
        duration_s = self.group.random.uniform(0.5, 4.0)
        self.group.schedule(duration_s, self._restore_network)

    def _restore_network(self) -> None:
        self.group.faults = NetworkFaults()

    def _transfer(self, vm: SimulatedVm) -> None:
        leader = self.group.find_leader()
        if leader is not None:
            self.group.request_transfer(leader.vm_id)

    def _empty_disks(self, vm: SimulatedVm) -> None:
        losing = self.disk_loss_policy.choose(self.group, vm)
        for lost in losing:
            self._empty_disk(lost)
        if losing and self.disk_loss_policy.draw_power_loss(self.group):
            for other in self.group.vms.values():
                self._crash(other)

    def _empty_disk(self, vm: SimulatedVm) -> None:
        self.emptied += 1
        self.group.empty_disk(vm.vm_id)
        downtime_s = self._draw_downtime_s()
        self.group.schedule(downtime_s, lambda: self.group.start(vm.vm_id))

"""Seeded in-memory group of replicas, with network, disk and process faults.

The harness checks nothing itself; observers receive every step. All random choices come
from one seeded `random.Random`, so a seed reproduces a run exactly.
"""

import heapq
import random
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from tanagerpath.core.consensus.config import ReplicaConfig, RestoredState
from tanagerpath.core.consensus.events import (
    Action,
    CommandProposed,
    DeliverCommitted,
    Event,
    MessageReceived,
    PersistState,
    ProposalRejected,
    RequestSnapshot,
    RestoreSnapshot,
    Role,
    SendMessage,
    SnapshotProvided,
    StorageLost,
    StorageSynced,
    Tick,
    TransferRequested,
)
from tanagerpath.core.consensus.membership import Membership
from tanagerpath.core.consensus.replica import Replica
from tanagerpath.core.consensus.simulated import (
    NetworkFaults,
    SimulatedClock,
)
from tanagerpath.core.consensus.simulated_vm import SimulatedVm, StepObserver
from tanagerpath.errors import Failure, FailureError

__all__ = ["ReplicaFactory", "SimulatedGroup"]

ReplicaFactory = Callable[[ReplicaConfig, RestoredState, random.Random], Replica]

MIN_SYNC_S = 0.0005
MAX_SYNC_S = 0.008
MAX_TICK_DELAY_S = 0.005
MIN_TICK_INTERVAL_S = 0.0005


class SimulatedGroup:
    """Replicas on simulated VMs.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    configs : iterable of ReplicaConfig
        Settings of each VM.
    replica_factory : callable
        Builds a replica from settings, restored state and a random source.
    """

    def __init__(
        self,
        seed: int,
        configs: Iterable[ReplicaConfig],
        replica_factory: ReplicaFactory = Replica.from_config,
    ) -> None:
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.faults = NetworkFaults()
        self.blocked_links: set[tuple[str, str]] = set()
        self.vms = {config.vm_id: SimulatedVm(config) for config in configs}
        self.observers: list[StepObserver] = []
        self.outcomes: dict[int, int | Failure] = {}
        self.steps = 0
        self._factory = replica_factory
        self._by_address = {vm.address: vm for vm in self.vms.values()}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._queued = 0
        self._proposals = 0

    @classmethod
    def from_seed(
        cls,
        seed: int,
        vm_count: int = 3,
        replica_factory: ReplicaFactory = Replica.from_config,
        founder_count: int | None = None,
        domain_count: int = 1,
        **settings: Any,
    ) -> "SimulatedGroup":
        """Build a group of VMs with the given `ReplicaConfig` settings.

        Parameters
        ----------
        seed : int
            Seed of all random choices.
        vm_count : int
            Number of VMs.
        replica_factory : callable
            Builds a replica.
        founder_count : int, optional
            VMs that the settings name; all by default.
        domain_count : int
            Number of fault domains, to which the VMs are assigned in turn.
        **settings
            Further settings of each replica.
        """
        vms = {f"vm-{n}": f"10.0.0.{n}:7000" for n in range(1, vm_count + 1)}
        named = dict(list(vms.items())[:founder_count])
        configs = [
            ReplicaConfig(
                vm_id=vm_id,
                address=address,
                vms={**named, vm_id: address},
                may_found=vm_id in named,
                fault_domain=f"domain-{place % domain_count}",
                **settings,
            )
            for place, (vm_id, address) in enumerate(vms.items())
        ]
        return cls(seed, configs, replica_factory)

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call `action` after `delay_s` seconds of simulated time."""
        self._queued += 1
        entry = (self.now_s + delay_s, self._queued, action)
        heapq.heappush(self._queue, entry)

    def run_for(self, duration_s: float) -> None:
        """Run for `duration_s` seconds of simulated time."""
        end_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            self._run_next()
        self.now_s = end_s

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Run until `condition` holds; return False if `limit_s` passes first."""
        end_s = self.now_s + limit_s
        while not condition():
            if not self._queue or self._queue[0][0] > end_s:
                return False
            self._run_next()
        return True

    def _run_next(self) -> None:
        self.now_s, _, action = heapq.heappop(self._queue)
        action()

    def start_all(self) -> None:
        """Start the process of each VM that has none."""
        for vm_id, vm in self.vms.items():
            if vm.replica is None:
                self.start(vm_id)

    def start(self, vm_id: str) -> None:
        """Start a process with the content of the VM's disk."""
        vm = self.vms[vm_id]
        if vm.replica is not None:
            return
        vm.reset_process()
        vm.clock = SimulatedClock.from_random(self.random)
        source = random.Random(self.random.getrandbits(64))
        vm.replica = self._factory(vm.config, vm.disk.durable.restore(), source)
        self._deliver(vm, vm.starts, Tick())

    def crash(self, vm_id: str) -> None:
        """Kill the process; unsynced writes may be lost."""
        vm = self.vms[vm_id]
        vm.replica = None
        vm.disk.crash(self.random)

    def empty_disk(self, vm_id: str) -> None:
        """Kill the process and lose the disk.

        If the settings do not name all VMs, the process may not found a group after its
        restart, because the system is not new.
        """
        self.crash(vm_id)
        vm = self.vms[vm_id]
        if len(vm.config.vms) < len(self.vms):
            vm.config = attrs.evolve(vm.config, may_found=False)
        lost = vm.disk.durable
        vm.disk.empty()
        for observer in self.observers:
            observer.record_emptied(vm, lost)

    def refuse_writes(self, vm_id: str) -> None:
        """Make a disk reject writes; a running sync still completes."""
        self.vms[vm_id].disk.refusing = True

    def accept_writes(self, vm_id: str) -> None:
        """Make a disk accept writes again, the waiting ones first."""
        vm = self.vms[vm_id]
        if vm.disk.refusing:
            vm.disk.refusing = False
            self._begin_sync(vm, vm.starts)

    def freeze(self, vm_id: str) -> None:
        """Suspend a process; its messages wait and its clock continues."""
        self.vms[vm_id].frozen = True

    def thaw(self, vm_id: str) -> None:
        """Resume a frozen process, with its tick before or after its messages."""
        vm = self.vms[vm_id]
        if not vm.frozen:
            return
        vm.frozen = False
        waiting = vm.take_waiting()
        place = self.random.choice((0, len(waiting)))
        for event in [*waiting[:place], Tick(), *waiting[place:]]:
            self._deliver(vm, vm.starts, event)

    def block_link(self, sender: str, receiver: str) -> None:
        """Drop all messages from one VM to another."""
        self.blocked_links.add((sender, receiver))

    def isolate(self, vm_id: str, incoming: bool = True, outgoing: bool = True) -> None:
        """Drop all messages to or from a VM."""
        for other in self.vms:
            if other != vm_id and incoming:
                self.block_link(other, vm_id)
            if other != vm_id and outgoing:
                self.block_link(vm_id, other)

    def heal(self) -> None:
        """Remove all faults and start all processes."""
        self.blocked_links.clear()
        self.faults = NetworkFaults()
        for vm_id in self.vms:
            self.thaw(vm_id)
            self.accept_writes(vm_id)
        self.start_all()

    def propose(self, vm_id: str, payload: str) -> int:
        """Propose a command on a VM; its result appears in `outcomes`."""
        self._proposals += 1
        event = CommandProposed(self._proposals, payload)
        vm = self.vms[vm_id]
        self._deliver(vm, vm.starts, event)
        return self._proposals

    def request_transfer(self, vm_id: str) -> None:
        """Ask a replica to transfer leadership."""
        vm = self.vms[vm_id]
        self._deliver(vm, vm.starts, TransferRequested())

    def find_leader(self) -> SimulatedVm | None:
        """Return the running VM whose replica has the lease, if any."""
        for vm in self.vms.values():
            if vm.running and self.has_lease(vm):
                return vm
        return None

    def has_lease(self, vm: SimulatedVm) -> bool:
        """Return whether the replica of a VM, even if frozen, has the lease now."""
        if vm.replica is None:
            return False
        return vm.replica.has_lease(vm.clock.read_s(self.now_s))

    def has_converged(self) -> bool:
        """Return whether the group has recovered completely.

        All VMs are members and have committed the leader's whole log, and as many of
        them as the settings require are voters.
        """
        leader = self.find_leader()
        if leader is None or leader.replica is None:
            return False
        membership = leader.replica.membership
        target = leader.config.find_voter_target(membership)
        if len(membership.voters) != min(target, len(self.vms)):
            return False
        replicas = {
            vm.replica.replica_id: vm.replica
            for vm in self.vms.values()
            if vm.replica is not None
        }
        return (
            len(replicas) == len(self.vms)
            and set(membership.voters) <= set(replicas)
            and all(
                membership.find(replica_id) is not None
                and replica.commit_index == leader.replica.last_index
                and self._knows_role(membership, replica)
                for replica_id, replica in replicas.items()
            )
        )

    def _knows_role(self, membership: Membership, replica: Replica) -> bool:
        if membership.is_voter(replica.replica_id):
            return replica.role in (Role.LEADER, Role.FOLLOWER)
        return replica.role is Role.LEARNER

    def _deliver(self, vm: SimulatedVm, start: int, event: Event) -> None:
        if vm.replica is None or vm.starts != start:
            return
        if vm.frozen:
            if not isinstance(event, Tick):
                vm.inbox.append(event)
            return
        if vm.is_busy_leader:
            self._queue_step(vm, event)
            return
        self._step(vm, vm.replica, event)

    def _queue_step(self, vm: SimulatedVm, event: Event) -> None:
        """Handle an event in the next step of a busy leader, with all that wait."""
        if vm.queue_event(event, self.now_s):
            start = vm.starts
            self.schedule(vm.leader_step_s, lambda: self._end_step(vm, start))

    def _end_step(self, vm: SimulatedVm, start: int) -> None:
        if vm.starts != start or vm.frozen:
            return
        for event in vm.end_step():
            if vm.replica is not None:
                self._step(vm, vm.replica, event)

    def _step(self, vm: SimulatedVm, replica: Replica, event: Event) -> None:
        self.steps += 1
        try:
            actions = replica.step(event, vm.clock.read_s(self.now_s))
        except FailureError as error:
            self.crash(vm.vm_id)
            for observer in self.observers:
                observer.record_failure(vm, error.failure)
            return
        for action in actions:
            self._carry_out(vm, action)
        for observer in self.observers:
            observer.record_step(vm, event, actions)
        self._schedule_tick(vm, replica)

    def _carry_out(self, vm: SimulatedVm, action: Action) -> None:
        if isinstance(action, PersistState):
            if vm.disk.write(action):
                self._begin_sync(vm, vm.starts)
        elif isinstance(action, SendMessage):
            self._send(vm, action)
        elif isinstance(action, DeliverCommitted):
            self._apply(vm, action)
        elif isinstance(action, RestoreSnapshot):
            vm.state_machine.restore(action.snapshot)
        elif isinstance(action, RequestSnapshot):
            provided = SnapshotProvided(vm.state_machine.index, vm.state_machine.digest)
            start = vm.starts
            self.schedule(MIN_SYNC_S, lambda: self._deliver(vm, start, provided))
        elif isinstance(action, ProposalRejected):
            self.outcomes[action.proposal_id] = action.failure

    def _apply(self, vm: SimulatedVm, action: DeliverCommitted) -> None:
        for committed in action.entries:
            vm.state_machine.apply(committed.entry)
            if committed.proposal_id is not None:
                self.outcomes[committed.proposal_id] = committed.entry.index

    def _begin_sync(self, vm: SimulatedVm, start: int) -> None:
        if vm.disk.begin_sync():
            delay_s = self.random.uniform(MIN_SYNC_S, MAX_SYNC_S)
            self.schedule(delay_s, lambda: self._end_sync(vm, start))
        elif vm.disk.refusing:
            self.schedule(MIN_SYNC_S, lambda: self._report_loss(vm, start))

    def _report_loss(self, vm: SimulatedVm, start: int) -> None:
        if vm.disk.refusing:
            self._deliver(vm, start, StorageLost())

    def _end_sync(self, vm: SimulatedVm, start: int) -> None:
        if vm.replica is None or vm.starts != start:
            return
        sequence = vm.disk.end_sync()
        self._begin_sync(vm, start)
        self._deliver(vm, start, StorageSynced(sequence))

    def _send(self, vm: SimulatedVm, action: SendMessage) -> None:
        receiver = self._by_address.get(action.address)
        if receiver is None or (vm.vm_id, receiver.vm_id) in self.blocked_links:
            return
        event = MessageReceived(
            action.sender,
            action.message,
            action.receiver,
            action.group_id,
            action.sender_address,
        )
        for delay_s in self.faults.draw_delays(self.random):
            self.schedule(
                delay_s, lambda: self._deliver(receiver, receiver.starts, event)
            )

    def _schedule_tick(self, vm: SimulatedVm, replica: Replica) -> None:
        wake_s = vm.clock.find_real_s(replica.find_wake_up_s())
        wake_s = max(wake_s, self.now_s + MIN_TICK_INTERVAL_S)
        if vm.scheduled_tick_s is not None and vm.scheduled_tick_s <= wake_s:
            return
        vm.scheduled_tick_s = wake_s
        start = vm.starts
        delay_s = wake_s - self.now_s + self.random.uniform(0, MAX_TICK_DELAY_S)
        self.schedule(delay_s, lambda: self._fire_tick(vm, start, wake_s))

    def _fire_tick(self, vm: SimulatedVm, start: int, wake_s: float) -> None:
        if vm.starts != start or vm.scheduled_tick_s != wake_s:
            return
        vm.scheduled_tick_s = None
        if vm.replica is None or vm.frozen:
            return
        if vm.clock.find_real_s(vm.replica.find_wake_up_s()) <= self.now_s:
            self._deliver(vm, start, Tick())
        else:
            self._schedule_tick(vm, vm.replica)

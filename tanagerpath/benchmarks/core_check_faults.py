"""The adversary of the check: seeded faults of all parties and of the network."""

from collections.abc import Callable, Mapping
from typing import Any

import attrs

from tanagerpath.benchmarks.core_check_world import Party, World
from tanagerpath.core.consensus.schedule import LOSSY_NETWORK
from tanagerpath.core.consensus.simulated import NetworkFaults
from tanagerpath.emulator.faults import Faults, ReportFaultKind

__all__ = ["Adversary"]

# Dense faults stop the system most of the time, sparse ones let repairs complete.
MEAN_FAULT_INTERVALS_S = (0.4, 1.0, 2.5)
DOUBLE_FAULT_SHARE = 0.3
MAX_DOUBLE_FAULT_DELAY_S = 0.05


@attrs.define
class Adversary:
    """Brings seeded faults into a world until it is stopped.

    A disk is emptied only while all control VMs hold everything committed, because the
    loss of a quorum of disks may lose commands by design.
    """

    world: World
    controls: Mapping[str, Any]
    upstreams: list[Any]
    entries: list[Any]
    cancel_wave: Callable[[], None]
    list_gangs: Callable[[], list[list[Any]]]
    active: bool = True
    mean_interval_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Draw how dense the faults are."""
        self.mean_interval_s = self.world.random.choice(MEAN_FAULT_INTERVALS_S)

    def begin(self) -> None:
        """Plan the first fault."""
        self._plan()

    def stop(self) -> None:
        """End all faults and start all processes."""
        self.active = False
        self.world.note("all faults end")
        self.world.cuts.clear()
        self.world.faults = NetworkFaults()
        for upstream in self.upstreams:
            upstream.set_faults(Faults())
        for party in self._list_parties():
            party.thaw()
            party.start()

    def _list_parties(self) -> list[Any]:
        return [*self.controls.values(), *self.entries, *self.upstreams]

    def _plan(self) -> None:
        delay_s = self.world.random.expovariate(1 / self.mean_interval_s)
        self.world.schedule(delay_s, self._strike)

    def _strike(self) -> None:
        if not self.active:
            return
        self._choose_fault()
        if self.world.random.random() < DOUBLE_FAULT_SHARE:
            delay_s = self.world.random.uniform(0, MAX_DOUBLE_FAULT_DELAY_S)
            self.world.schedule(delay_s, self._choose_fault)
        self._plan()

    def _choose_fault(self) -> None:
        if not self.active:
            return
        faults = (
            self._crash_control,
            self._freeze_control,
            self._empty_disk,
            self._hand_over,
            self._isolate,
            self._isolate,
            self._cut,
            self._cut,
            self._spoil_network,
            self._spoil_network,
            self._crash_upstream,
            self._freeze_upstream,
            self._spoil_upstream,
            self._spoil_upstream,
            self._break_gang,
            self._break_gang,
            self._crash_entry,
            self._freeze_entry,
            self.cancel_wave,
        )
        self.world.random.choice(faults)()

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        def run() -> None:
            if self.active:
                action()

        self.world.schedule(delay_s, run)

    def _draw_absence_s(self) -> float:
        longest_s = self.world.random.choice((0.2, 2.0, 12.0))
        return self.world.random.uniform(0.01, longest_s)

    def _find_leader(self) -> Any | None:
        for vm in self.controls.values():
            if vm.is_up and not vm.frozen and vm.has_lease:
                return vm
        return None

    def _choose_control(self) -> Any:
        leader = self._find_leader()
        if leader is not None and self.world.random.random() < 0.5:
            return leader
        return self.world.random.choice(list(self.controls.values()))

    # Processes

    def _crash(self, party: Any) -> None:
        if party.is_up:
            self.world.note(f"crash {party.name}")
            party.crash()
            self._after(self._draw_absence_s(), party.start)

    def _freeze(self, party: Any) -> None:
        if party.is_up and not party.frozen:
            self.world.note(f"freeze {party.name}")
            party.freeze()
            self._after(self._draw_absence_s(), party.thaw)

    def _crash_control(self) -> None:
        self._crash(self._choose_control())

    def _freeze_control(self) -> None:
        self._freeze(self._choose_control())

    def _crash_upstream(self) -> None:
        self._crash(self.world.random.choice(self.upstreams))

    def _freeze_upstream(self) -> None:
        self._freeze(self.world.random.choice(self.upstreams))

    def _break_gang(self) -> None:
        """Take a VM from under a running gang, sometimes with the leader."""
        gangs = self.list_gangs()
        if not gangs:
            return
        upstream = self.world.random.choice(self.world.random.choice(gangs))
        strike = self.world.random.choice((self._crash, self._freeze))
        strike(upstream)
        if self.world.random.random() < 0.3:
            self._crash_control()

    def _crash_entry(self) -> None:
        self._crash(self.world.random.choice(self.entries))

    def _freeze_entry(self) -> None:
        self._freeze(self.world.random.choice(self.entries))

    def _hand_over(self) -> None:
        leader = self._find_leader()
        if leader is not None:
            self.world.note(f"hand over {leader.name}")
            leader.hand_over()

    def _empty_disk(self) -> None:
        vm = self._choose_control()
        if self._may_lose_disk():
            self.world.note(f"empty disk {vm.name}")
            vm.empty_disk()
            self._after(self._draw_absence_s(), vm.start)

    def _may_lose_disk(self) -> bool:
        leader = self._find_leader()
        if leader is None:
            return False
        replica = leader.replica
        return all(
            vm.disk.durable.replica_id in replica.voters
            and vm.disk.durable.last_index >= replica.commit_index
            for vm in self.controls.values()
        )

    def _spoil_upstream(self) -> None:
        upstream = self.world.random.choice(self.upstreams)
        faults = Faults(
            fail_starts=self.world.random.random() < 0.5,
            reports=self.world.random.choice(list(ReportFaultKind)),
        )
        self.world.note(f"{upstream.name} has {faults}")
        upstream.set_faults(faults)
        self._after(self._draw_absence_s(), lambda: upstream.set_faults(Faults()))

    # Network

    def _isolate(self) -> None:
        """Cut a party off silently, in one or in both directions."""
        parties = self._list_parties()
        party = self.world.random.choice([self._choose_control(), *parties])
        incoming, outgoing = self.world.random.choice(
            ((True, True), (True, False), (False, True))
        )
        for other in parties:
            if incoming:
                self._cut_link(other, party)
            if outgoing:
                self._cut_link(party, other)
        self.world.note(f"isolate {party.name} in={incoming} out={outgoing}")
        self._plan_mend()

    def _cut(self) -> None:
        parties = self._list_parties()
        one, other = self.world.random.sample(parties, 2)
        self._cut_link(one, other)
        if self.world.random.random() < 0.5:
            self._cut_link(other, one)
        self.world.note(f"cut {one.name} to {other.name}")
        self._plan_mend()

    def _cut_link(self, sender: Party, receiver: Party) -> None:
        if sender is not receiver:
            self.world.cuts.add((sender.name, receiver.name))

    def _plan_mend(self) -> None:
        self._after(self._draw_absence_s(), self.world.cuts.clear)

    def _spoil_network(self) -> None:
        self.world.note("lossy network")
        self.world.faults = LOSSY_NETWORK
        self._after(self._draw_absence_s(), self._mend_network)

    def _mend_network(self) -> None:
        self.world.faults = NetworkFaults()

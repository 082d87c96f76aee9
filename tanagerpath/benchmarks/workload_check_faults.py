"""Seeded, overlapping faults of the workload check."""

import abc
import random
from typing import ClassVar

import attrs

from tanagerpath.benchmarks.workload_check_calls import CallConditions
from tanagerpath.benchmarks.workload_check_events import FaultInjected
from tanagerpath.benchmarks.workload_check_upstreams import CheckedUpstream
from tanagerpath.benchmarks.workload_check_world import CheckWorld
from tanagerpath.core.consensus.disk_losses import ToleratedDiskLosses
from tanagerpath.core.consensus.simulated_vm import SimulatedVm

__all__ = ["FAULTS", "Fault", "FaultSeries"]

# Dense faults keep the group without a leader most of the time; sparse ones let leases
# expire and repairs complete.
MEAN_INTERVALS_S = (0.5, 1.0, 2.0, 4.0)
# Kinds that are rare in some runs let others show their effect: no lease expires while
# leaders change all the time.
WEIGHT_FACTORS = (1, 1, 5, 20)
SECOND_FAULT_SHARE = 0.35
MAX_SECOND_FAULT_DELAY_S = 1.0
LEADER_SHARE = 0.6
BUSY_SHARE = 0.7
# Longer than a lease, also if a new leader waits for it once more.
LONG_CUT_S = (10.0, 20.0)
LONG_CUT_SHARE = 0.4
SHORT_CUT_S = (0.3, 8.0)
MIN_EMPTY_DISK_INTERVAL_S = 12.0


class Fault(abc.ABC):
    """A kind of fault.

    Parameters
    ----------
    world : CheckWorld
        The world that it strikes.
    """

    weight: ClassVar[int] = 1

    def __init__(self, world: CheckWorld) -> None:
        self.world = world
        self.group = world.group
        self.random: random.Random = world.random

    @abc.abstractmethod
    def strike(self) -> None:
        """Begin the fault now, and plan its end."""

    def _note(self, text: str) -> None:
        self.world.history.add(FaultInjected, text=text)

    def _choose_vm(self) -> SimulatedVm:
        """Return the leader, or any node."""
        leader = self.group.find_leader()
        if leader is not None and self.random.random() < LEADER_SHARE:
            return leader
        return self.random.choice(list(self.group.vms.values()))

    def _choose_upstreams(self, most: int) -> list[CheckedUpstream]:
        """Choose some upstreams, often among those that run something."""
        upstreams = list(self.world.fleet.upstreams.values())
        busy = [upstream for upstream in upstreams if upstream.runs]
        chosen_from = busy if busy and self.random.random() < BUSY_SHARE else upstreams
        count = min(self.random.randint(1, most), len(chosen_from))
        return self.random.sample(chosen_from, count)

    def _draw_cut_s(self) -> float:
        """Draw a time that is longer than a lease in some cases."""
        low_s, high_s = (
            LONG_CUT_S if self.random.random() < LONG_CUT_SHARE else SHORT_CUT_S
        )
        return self.random.uniform(low_s, high_s)


class FrozenNode(Fault):
    """A node stops for a while; what it is sent waits unread."""

    weight = 3

    def strike(self) -> None:
        """Freeze a node; see the base class."""
        vm = self._choose_vm()
        frozen_s = self.random.uniform(0.1, self.random.choice((0.6, 2.0, 11.0)))
        self._note(f"{vm.vm_id} frozen for {frozen_s:.2f} s")
        self.group.freeze(vm.vm_id)
        self.group.schedule(frozen_s, lambda: self.group.thaw(vm.vm_id))


class StutteringNode(Fault):
    """A node stops several times for a part of the election timeout."""

    def strike(self) -> None:
        """Freeze a node several times; see the base class."""
        vm = self._choose_vm()
        self._note(f"{vm.vm_id} stutters")
        for turn in range(self.random.randint(2, 5)):
            self.group.schedule(0.5 * turn, lambda: self.group.freeze(vm.vm_id))
            frozen_s = self.random.uniform(0.1, 0.45)
            end_s = 0.5 * turn + frozen_s
            self.group.schedule(end_s, lambda: self.group.thaw(vm.vm_id))


class KilledNode(Fault):
    """The process of a node is killed, and started again later."""

    weight = 3

    def strike(self) -> None:
        """Kill a node; see the base class."""
        vm = self._choose_vm()
        down_s = self.random.uniform(0.05, self.random.choice((0.5, 2.0, 6.0)))
        self._note(f"{vm.vm_id} killed for {down_s:.2f} s")
        self.group.crash(vm.vm_id)
        self.group.schedule(down_s, lambda: self.group.start(vm.vm_id))


class IsolatedNode(Fault):
    """A node is cut off from the others, in one direction or both."""

    weight = 3

    def strike(self) -> None:
        """Isolate a node; see the base class."""
        vm = self._choose_vm()
        directions = ((True, True), (True, False), (False, True))
        incoming, outgoing = self.random.choice(directions)
        others = [other for other in self.group.vms if other != vm.vm_id]
        links = [(other, vm.vm_id) for other in others if incoming]
        links += [(vm.vm_id, other) for other in others if outgoing]
        cut_s = self.random.uniform(0.2, 5.0)
        self._note(f"{vm.vm_id} isolated for {cut_s:.2f} s, {incoming=}, {outgoing=}")
        self.group.blocked_links.update(links)
        self.group.schedule(
            cut_s, lambda: self.group.blocked_links.difference_update(links)
        )


class HandedOver(Fault):
    """The leader hands over."""

    def strike(self) -> None:
        """Ask the leader to hand over; see the base class."""
        leader = self.group.find_leader()
        if leader is not None:
            self._note(f"{leader.vm_id} hands over")
            self.group.request_transfer(leader.vm_id)


class LeaderSeries(Fault):
    """Leaders are lost one after another, as soon as each has begun to decide."""

    def strike(self) -> None:
        """Plan the losses; see the base class."""
        self._note("series of lost leaders")
        at_s = 0.0
        for _ in range(self.random.randint(2, 4)):
            kinds = (FrozenNode, KilledNode, IsolatedNode, HandedOver)
            kind = self.random.choice(kinds)
            self.group.schedule(at_s, self.world.while_faulty(kind(self.world).strike))
            at_s += self.random.uniform(0.5, 3.5)


class EmptiedDisk(Fault):
    """A node loses its disk, as often as the group tolerates it."""

    def strike(self) -> None:
        """Empty a disk if the group can bear it; see the base class."""
        if self.group.now_s < self.world.next_empty_disk_s:
            return
        policy = ToleratedDiskLosses(self.world.tolerance)
        vm = self._choose_vm()
        if vm not in policy.choose(self.group, vm):
            return
        self.world.next_empty_disk_s = self.group.now_s + MIN_EMPTY_DISK_INTERVAL_S
        self._note(f"{vm.vm_id} loses its disk")
        self.group.empty_disk(vm.vm_id)
        down_s = self.random.uniform(0.05, 2.0)
        self.group.schedule(down_s, lambda: self.group.start(vm.vm_id))


class CutLinks(Fault):
    """Links between one node, or all, and some upstreams are cut."""

    weight = 3

    def strike(self) -> None:
        """Cut links; see the base class."""
        network, vm = self.world.network, self._choose_vm()
        is_all = self.random.random() < 0.5
        vm_ids = list(self.group.vms) if is_all else [vm.vm_id]
        links = [
            (vm_id, upstream.record.address)
            for vm_id in vm_ids
            for upstream in self._choose_upstreams(4)
        ]
        cut_s = self._draw_cut_s()
        names = sorted({address for _, address in links})
        self._note(f"{vm_ids} cut from {names} for {cut_s:.2f} s")
        for link in links:
            network.cut(*link)
            self.group.schedule(cut_s, lambda cut=link: network.join(*cut))


class SilentUpstreams(Fault):
    """Some upstreams can't be reached by anyone."""

    weight = 2

    def strike(self) -> None:
        """Silence upstreams; see the base class."""
        upstreams = self._choose_upstreams(3)
        silent_s = self._draw_cut_s()
        names = [upstream.record.incarnation for upstream in upstreams]
        self._note(f"{names} unreachable for {silent_s:.2f} s")
        for upstream in upstreams:
            upstream.silence()
            self.group.schedule(silent_s, upstream.end_silence)


class RestartedUpstream(Fault):
    """An upstream starts again, under its identity or another one."""

    weight = 2

    def strike(self) -> None:
        """Restart an upstream; see the base class."""
        fleet = self.world.fleet
        if len(fleet.upstreams) <= self.world.upstream_count // 2:
            return
        upstream = self._choose_upstreams(1)[0]
        old = upstream.record.upstream_id
        name = old if self.random.random() < 0.5 else ""
        down_s = self.random.uniform(0.05, 3.0)
        self._note(f"{old} restarts as {name or 'another'} after {down_s:.2f} s")
        fleet.crash(upstream)
        self.group.schedule(down_s, lambda: fleet.add(upstream.traits, name))


class BadCalls(Fault):
    """Calls come late or twice, replies are lost, and messages are slow."""

    weight = 3

    def strike(self) -> None:
        """Spoil the calls; see the base class."""
        draw = self.random.random
        self.world.network.conditions = CallConditions(
            late=self.random.choice((0.0, 0.05, 0.15)) * draw(),
            repeated=self.random.choice((0.0, 0.05)) * draw(),
            lost=self.random.choice((0.0, 0.1, 0.3)) * draw(),
            slow=self.random.choice((0.0, 0.2, 0.5)) * draw(),
        )
        self._note(f"{self.world.network.conditions}")
        self.group.schedule(self.random.uniform(1.0, 6.0), self._end)

    def _end(self) -> None:
        self.world.network.conditions = CallConditions()


FAULTS: tuple[type[Fault], ...] = (
    FrozenNode,
    StutteringNode,
    KilledNode,
    IsolatedNode,
    HandedOver,
    LeaderSeries,
    EmptiedDisk,
    CutLinks,
    SilentUpstreams,
    RestartedUpstream,
    BadCalls,
)


@attrs.define(eq=False)
class FaultSeries:
    """Strikes a world with faults until it heals.

    Attributes
    ----------
    world : CheckWorld
        The world.
    """

    world: CheckWorld
    _faults: list[Fault] = attrs.field(init=False)
    _weights: list[int] = attrs.field(init=False)
    _mean_interval_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Draw how dense the faults are, and which kinds are frequent."""
        source = self.world.random
        self._faults = [kind(self.world) for kind in FAULTS]
        self._weights = [
            fault.weight * source.choice(WEIGHT_FACTORS) for fault in self._faults
        ]
        self._mean_interval_s = source.choice(MEAN_INTERVALS_S)

    def begin(self) -> None:
        """Plan the first fault."""
        delay_s = self.world.random.expovariate(1 / self._mean_interval_s)
        self.world.group.schedule(delay_s, self.world.while_faulty(self._strike))

    def _strike(self) -> None:
        source = self.world.random
        self._draw().strike()
        if source.random() < SECOND_FAULT_SHARE:
            delay_s = source.uniform(0.0, MAX_SECOND_FAULT_DELAY_S)
            second = self.world.while_faulty(self._draw().strike)
            self.world.group.schedule(delay_s, second)
        self.begin()

    def _draw(self) -> Fault:
        return self.world.random.choices(self._faults, self._weights)[0]

"""Adjacency: which sets of accelerators form one run.

Up to `MAX_SINGLE_UPSTREAM` accelerators a run is contiguous inside one upstream. Above
that it consists of whole neighbouring upstreams of one rack, and above
`MAX_SINGLE_RACK` of whole neighbouring racks of one zone. A gang whose size is no
multiple of an upstream or rack is rounded up and holds all of its last one.
"""

from collections.abc import Callable, Iterator
from typing import TypeVar

import attrs

from tanagerpath.core.model import (
    UPSTREAMS_PER_RACK,
    AcceleratorRun,
    Assignment,
    JobRequest,
    UpstreamCapacity,
    UpstreamLocation,
)

__all__ = [
    "MAX_ACCELERATORS",
    "MAX_SINGLE_RACK",
    "MAX_SINGLE_UPSTREAM",
    "Topology",
    "can_run_member",
    "find_first_fit",
    "list_runs",
    "make_mask",
    "measure_longest_run",
]

MAX_SINGLE_UPSTREAM = 8
MAX_SINGLE_RACK = 64
MAX_ACCELERATORS = 1024

Window = tuple[str, ...]
_Item = TypeVar("_Item")


def make_mask(first: int, count: int) -> int:
    """Return the bits of accelerators `first` up to `first + count - 1`."""
    return ((1 << count) - 1) << first


def find_first_fit(free: int, count: int) -> int | None:
    """Return the lowest index of `count` adjacent set bits of `free`, or None."""
    starts = free
    for shift in range(1, count):
        starts &= free >> shift
    if not starts:
        return None
    return (starts & -starts).bit_length() - 1


def measure_longest_run(free: int) -> int:
    """Return the length of the longest run of adjacent set bits."""
    length = 0
    while free:
        free &= free >> 1
        length += 1
    return length


def list_runs(free: int) -> list[tuple[int, int]]:
    """Return the first index and length of each run of adjacent set bits."""
    runs = []
    first = 0
    while free:
        skipped = (free & -free).bit_length() - 1
        free >>= skipped
        first += skipped
        length = (~free & (free + 1)).bit_length() - 1
        runs.append((first, length))
        free >>= length
        first += length
    return runs


def can_run_member(capacity: UpstreamCapacity, request: JobRequest) -> bool:
    """Whether an empty upstream could run a member of this job."""
    if capacity.services and request.service not in capacity.services:
        return False
    if capacity.slots < 1 or capacity.cores < request.cores:
        return False
    return capacity.memory_bytes >= request.memory_bytes


@attrs.define
class Topology:
    """Registered upstreams, and the windows of neighbouring ones.

    A window is the tuple of upstream ids that a run of a given size covers. When a VM
    was replaced, two upstreams have the same location; the one that became usable last
    occupies it, and only that one is part of windows over several upstreams.
    """

    capacities: dict[str, UpstreamCapacity] = attrs.field(factory=dict)
    _racks: dict[tuple[str, int], list[str]] = attrs.field(factory=dict)
    _occupants: dict[UpstreamLocation, str] = attrs.field(factory=dict)
    _windows: dict[int, list[Window]] = attrs.field(factory=dict)
    _required: dict[int, int] = attrs.field(factory=dict)
    _gangs: dict[Window, Assignment] = attrs.field(factory=dict)

    def add(self, capacity: UpstreamCapacity, usable: bool = True) -> None:
        """Register an upstream or replace its capacity.

        Parameters
        ----------
        capacity : UpstreamCapacity
            The upstream.
        usable : bool
            Whether it is usable and so replaces another upstream at its location.
        """
        if self.capacities.get(capacity.upstream_id) != capacity:
            self._register(capacity)
        occupant = self._occupants.get(capacity.location)
        if occupant is None or (usable and occupant != capacity.upstream_id):
            self._occupants[capacity.location] = capacity.upstream_id
            self._clear_windows()

    def _register(self, capacity: UpstreamCapacity) -> None:
        self.remove(capacity.upstream_id)
        self.capacities[capacity.upstream_id] = capacity
        location = capacity.location
        rack = self._racks.setdefault((location.availability_zone, location.rack), [])
        rack.append(capacity.upstream_id)
        rack.sort(key=self._sort_key)

    def remove(self, upstream_id: str) -> None:
        """Remove an upstream."""
        self._clear_windows()
        capacity = self.capacities.pop(upstream_id, None)
        if capacity is None:
            return
        key = (capacity.location.availability_zone, capacity.location.rack)
        rack = self._racks[key]
        rack.remove(upstream_id)
        if self._occupants.get(capacity.location) == upstream_id:
            del self._occupants[capacity.location]
            for other in rack:
                if self.capacities[other].location == capacity.location:
                    self._occupants[capacity.location] = other
        if not rack:
            del self._racks[key]

    def _clear_windows(self) -> None:
        self._windows.clear()
        self._required.clear()
        self._gangs.clear()

    def _list_occupants(self, key: tuple[str, int]) -> list[str]:
        """Return the upstreams of a rack that occupy their locations, in order."""
        return [
            name
            for name in self._racks[key]
            if self._occupants[self.capacities[name].location] == name
        ]

    def list_rack(self, upstream_id: str) -> list[str]:
        """Return the upstreams of the rack of an upstream, in order of position."""
        location = self.capacities[upstream_id].location
        return self._racks[(location.availability_zone, location.rack)]

    def list_windows(self, accelerators: int) -> list[Window]:
        """Return all windows of neighbouring upstreams for runs of this size."""
        if accelerators not in self._windows:
            self._windows[accelerators] = list(self._generate_windows(accelerators))
        return self._windows[accelerators]

    def make_gang_assignment(self, window: Window) -> Assignment:
        """Return the assignment of all accelerators of the window's upstreams."""
        if window not in self._gangs:
            self._gangs[window] = Assignment(
                tuple(
                    AcceleratorRun(name, 0, self.capacities[name].accelerators)
                    for name in window
                )
            )
        return self._gangs[window]

    def count_required(self, accelerators: int) -> int:
        """Return the fewest accelerators that a gang of this size takes up."""
        if accelerators <= MAX_SINGLE_UPSTREAM:
            return accelerators
        if accelerators not in self._required:
            self._required[accelerators] = min(
                (
                    sum(map(self._size, window))
                    for window in self.list_windows(accelerators)
                ),
                default=accelerators,
            )
        return self._required[accelerators]

    def could_hold(self, request: JobRequest) -> bool:
        """Whether the registered hardware, if all is usable, could run the job."""
        if not 1 <= request.accelerators <= MAX_ACCELERATORS:
            return False
        able: dict[str, bool] = {}

        def is_able(name: str) -> bool:
            if name not in able:
                able[name] = can_run_member(self.capacities[name], request)
            return able[name]

        return any(
            all(map(is_able, window))
            for window in self.list_windows(request.accelerators)
        )

    def _sort_key(self, upstream_id: str) -> tuple[int, str]:
        return (self.capacities[upstream_id].location.position, upstream_id)

    def _generate_windows(self, accelerators: int) -> Iterator[Window]:
        if accelerators <= MAX_SINGLE_UPSTREAM:
            for name, capacity in sorted(self.capacities.items()):
                if capacity.accelerators >= accelerators:
                    yield (name,)
        elif accelerators <= MAX_SINGLE_RACK:
            for key in sorted(self._racks):
                rack = self._list_occupants(key)
                yield from _generate_consecutive(
                    rack, accelerators, self._size, self._position
                )
        else:
            yield from self._generate_rack_windows(accelerators)

    def _generate_rack_windows(self, accelerators: int) -> Iterator[Window]:
        zones: dict[str, list[tuple[str, int]]] = {}
        for key, rack in sorted(self._racks.items()):
            if len({self._position(name) for name in rack}) == UPSTREAMS_PER_RACK:
                zones.setdefault(key[0], []).append(key)
        for _, keys in sorted(zones.items()):
            chains = _generate_consecutive(
                keys, accelerators, self._rack_size, lambda key: key[1]
            )
            for chain in chains:
                yield tuple(n for key in chain for n in self._list_occupants(key))

    def _size(self, upstream_id: str) -> int:
        return self.capacities[upstream_id].accelerators

    def _position(self, upstream_id: str) -> int:
        return self.capacities[upstream_id].location.position

    def _rack_size(self, key: tuple[str, int]) -> int:
        return sum(map(self._size, self._list_occupants(key)))


def _generate_consecutive(
    items: list[_Item],
    total: int,
    size: Callable[[_Item], int],
    number: Callable[[_Item], int],
) -> Iterator[tuple[_Item, ...]]:
    for start in range(len(items)):
        found = 0
        for end in range(start, len(items)):
            if end > start and number(items[end]) != number(items[end - 1]) + 1:
                break
            found += size(items[end])
            if found >= total:
                yield tuple(items[start : end + 1])
                break

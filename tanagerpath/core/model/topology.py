"""Upstream VMs, their locations, and runs of adjacent accelerators on them."""

import attrs

__all__ = [
    "UPSTREAMS_PER_RACK",
    "AcceleratorRun",
    "Assignment",
    "UpstreamCapacity",
    "UpstreamLocation",
]

UPSTREAMS_PER_RACK = 8


@attrs.frozen
class UpstreamLocation:
    """Location of an upstream VM.

    Attributes
    ----------
    availability_zone : str
        Name of the availability zone.
    rack : int
        Number of the rack inside the zone; consecutive numbers are neighbours.
    position : int
        Position of the VM in the rack, from 0; consecutive positions are neighbours.
    """

    availability_zone: str
    rack: int
    position: int


@attrs.frozen
class UpstreamCapacity:
    """Capacity of an upstream VM.

    Attributes
    ----------
    upstream_id : str
        Stable name of the upstream.
    location : UpstreamLocation
        Zone, rack and position.
    accelerators : int
        Number of accelerators, indexed from 0; consecutive indices are adjacent.
    cores : int
        Number of processor cores.
    memory_bytes : int
        Memory for tasks.
    slots : int
        Number of tasks that may run at the same time.
    services : tuple of str
        Names of the services that the upstream can run.
    """

    upstream_id: str
    location: UpstreamLocation
    accelerators: int = 8
    cores: int = 60
    memory_bytes: int = 250 * 10**9
    slots: int = 8
    services: tuple[str, ...] = ()


@attrs.frozen
class AcceleratorRun:
    """Adjacent accelerators of one upstream: `first` up to `first + count - 1`."""

    upstream_id: str
    first: int
    count: int


@attrs.frozen
class Assignment:
    """Accelerators of a gang; the rank of a member is its index in `runs`."""

    runs: tuple[AcceleratorRun, ...]

    @property
    def accelerators(self) -> int:
        """Total number of accelerators."""
        return sum(run.count for run in self.runs)

    @property
    def upstream_ids(self) -> tuple[str, ...]:
        """Upstreams in rank order."""
        return tuple(run.upstream_id for run in self.runs)

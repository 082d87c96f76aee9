"""Capacity of the upstreams of a pool, and the shortest time that work takes on it.

Capacity and work are counted for each resource; the scarce one decides.
"""

import math
from collections.abc import Iterable

import attrs

from tanagerpath.core.workloads.estimates import RunEstimates
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.sessions import UpstreamSession
from tanagerpath.core.workloads.specs import MAX_TASKS, StepSpec

__all__ = ["Demand", "PoolCapacity"]


@attrs.frozen
class Demand:
    """Work in seconds of each resource at speed 1, or a capacity for it.

    Attributes
    ----------
    cores, memory_mb, accelerators : float
        Amounts of each resource, times seconds.
    upstreams : float
        Seconds of upstreams that tasks take which need more than half of one in some
        resource: no two of these fit on one upstream.
    """

    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0
    upstreams: float = 0.0

    def __add__(self, other: "Demand") -> "Demand":
        return Demand(
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.upstreams + other.upstreams,
        )

    def find_time_s(self, capacity: "Demand") -> float:
        """Return the shortest time in which a capacity can do this work."""
        time_s = 0.0
        for needed, available in (
            (self.cores, capacity.cores),
            (self.memory_mb, capacity.memory_mb),
            (self.accelerators, capacity.accelerators),
            (self.upstreams, capacity.upstreams),
        ):
            if available > 0.0 and needed > time_s * available:
                time_s = needed / available
        return time_s


@attrs.frozen(kw_only=True)
class PoolCapacity:
    """Work that the upstreams of a pool do in a second.

    Attributes
    ----------
    rates : Demand
        Sum of their capacities, each times the speed of the upstream.
    largest : Resources
        Largest capacity of an upstream, for each resource.
    fastest : float
        Highest speed of an upstream.
    """

    rates: Demand = Demand()
    largest: Resources = Resources()
    fastest: float = 1.0

    @classmethod
    def from_sessions(
        cls, sessions: Iterable[UpstreamSession], estimates: RunEstimates
    ) -> "PoolCapacity":
        """Sum up the upstreams that may get runs.

        Those that have not replied to this leader yet count whole.
        """
        cores = memory_mb = accelerators = upstreams = fastest = 0.0
        largest = Resources()
        for session in sessions:
            is_new = not session.synced and session.departed_at_s is None
            if not session.is_usable and (not is_new or session.record.draining):
                continue
            speed = estimates.find_speed(session.upstream_id)
            room = session.record.capacity
            cores += room.cpu_millicores / 1000 * speed
            memory_mb += room.memory_mb * speed
            accelerators += room.accelerators * speed
            upstreams += speed
            fastest = max(fastest, speed)
            if not room.fits(largest):
                largest = largest.find_maximum(room)
        rates = Demand(cores, memory_mb, accelerators, upstreams)
        return cls(rates=rates, largest=largest, fastest=fastest or 1.0)

    @property
    def is_empty(self) -> bool:
        """Whether no upstream is known."""
        return self.rates.upstreams <= 0.0

    def measure(self, step: StepSpec, tasks: int, work_s: float) -> Demand:
        """Return the work of a number of tasks of a step."""
        needs = step.reserved
        seconds = tasks * work_s
        return Demand(
            needs.cpu_millicores / 1000 * seconds,
            needs.memory_mb * seconds,
            needs.accelerators * seconds,
            seconds if self._fills_half(needs) else 0.0,
        )

    def find_leftover(self, needs: Resources) -> Resources:
        """Return what the largest upstream has left beside as many tasks as fit."""
        count = needs.count_in(self.largest, MAX_TASKS)
        return self.largest - Resources(
            count * needs.cpu_millicores,
            count * needs.memory_mb,
            count * needs.accelerators,
        )

    def count_at_once(self, step: StepSpec) -> int:
        """Return the upstreams that a step needs at the same time."""
        if not step.gang:
            return 1
        on_one = max(step.reserved.count_in(self.largest, step.count), 1)
        return math.ceil(step.count / on_one)

    def _fills_half(self, needs: Resources) -> bool:
        return not (needs + needs).fits(self.largest)

"""Bounds on how long preferences keep waiting work from free capacity."""

import math
from collections.abc import Iterable, Iterator

import attrs

from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.policy import PlanUnit
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.sessions import UpstreamSession
from tanagerpath.core.workloads.specs import StepKey

__all__ = ["IdleWaits"]

# Work must not stand still for 3 s while capacity is idle. The rest of that time is for
# the next check, the turn of the unit in a plan and the commit of its start.
MAX_IDLE_WAIT_S = 1.0
# On a busy pool other work uses the capacity that a unit waits beside.
MAX_BUSY_WAIT_S = 10.0
CHECK_INTERVAL_S = 0.5
# A pool is idle while less than this share of one of its resources is in use.
IDLE_SHARE = 0.5
# Idle capacity must hold a unit this many times, since a plan has other units too.
SPARE_FACTOR = 2
# A task may need nothing of what upstreams count.
MAX_TASKS_PER_UPSTREAM = 1000

_AMOUNTS = ("cpu_millicores", "memory_mb", "accelerators")


@attrs.define
class _Standing:
    """A unit of a workload that has no open run.

    Attributes
    ----------
    since_s : float
        Time from which it has waited.
    idle_since_s : float
        Time from which idle capacity has held it, infinity while it does not.
    is_overdue : bool
        Whether it has waited beside free capacity for too long.
    """

    since_s: float
    idle_since_s: float = math.inf
    is_overdue: bool = False


@attrs.frozen
class _Demand:
    """What decides which upstreams of a pool hold a task, and how many."""

    pool: str
    required_label: str
    reserved: Resources
    max_per_upstream: int


class IdleWaits:
    """Finds the units that have waited beside free capacity for too long.

    Probation, failures elsewhere, racks and reservations keep a unit from upstreams
    that would run it. Each has its reason, but none of them says how long the unit may
    wait for it.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._standing: dict[StepKey, _Standing] = {}
        self._next_check_s = 0.0

    def mark_overdue(self, units: list[PlanUnit]) -> list[PlanUnit]:
        """Return the units of a plan, with the overdue ones marked.

        Parameters
        ----------
        units : list of PlanUnit
            All units that may start.
        """
        if self._context.now_s >= self._next_check_s:
            self._next_check_s = self._context.now_s + CHECK_INTERVAL_S
            self._check(units)
        return [
            attrs.evolve(unit, is_overdue=True) if self._is_overdue(unit) else unit
            for unit in units
        ]

    def _is_overdue(self, unit: PlanUnit) -> bool:
        standing = self._standing.get(unit.step_key)
        return standing is not None and standing.is_overdue

    def _check(self, units: list[PlanUnit]) -> None:
        """Update since when each unit has waited beside free capacity."""
        now_s = self._context.now_s
        capacity = _FreeCapacityCount(self._list_sessions())
        earlier, self._standing = self._standing, {}
        for unit in units:
            if unit.record.open_count and not unit.spec.long_running:
                continue
            standing = earlier.get(unit.step_key) or _Standing(now_s)
            self._standing[unit.step_key] = standing
            self._update(standing, unit, capacity)

    def _list_sessions(self) -> Iterator[UpstreamSession]:
        """Return the upstreams that an overdue unit may use."""
        context = self._context
        for session in context.sessions.values():
            health = context.find_health(session.upstream_id)
            if session.is_usable and not health.is_excluded(context.now_s):
                yield session

    def _update(
        self, standing: _Standing, unit: PlanUnit, capacity: "_FreeCapacityCount"
    ) -> None:
        now_s = self._context.now_s
        if not capacity.is_idle(unit.queue.pool):
            standing.idle_since_s = math.inf
            is_old = now_s - standing.since_s >= MAX_BUSY_WAIT_S
            standing.is_overdue = is_old and capacity.holds(unit, times=1)
            return
        if not capacity.holds(unit, times=SPARE_FACTOR):
            standing.idle_since_s = math.inf
            standing.is_overdue = False
            return
        standing.idle_since_s = min(standing.idle_since_s, now_s)
        standing.is_overdue = now_s - standing.idle_since_s >= MAX_IDLE_WAIT_S


class _FreeCapacityCount:
    """Counts the tasks that fit on the usable upstreams, without any preference.

    Parameters
    ----------
    sessions : iterable of UpstreamSession
        The usable upstreams.
    """

    def __init__(self, sessions: Iterable[UpstreamSession]) -> None:
        self._pools: dict[str, list[UpstreamSession]] = {}
        for session in sessions:
            self._pools.setdefault(session.record.pool, []).append(session)
        self._is_idle: dict[str, bool] = {}
        self._counts: dict[_Demand, int] = {}

    def is_idle(self, pool: str) -> bool:
        """Return whether less than `IDLE_SHARE` of a resource of a pool is in use."""
        found = self._is_idle.get(pool)
        if found is None:
            found = self._is_idle[pool] = any(
                self._find_share_in_use(pool, amount) < IDLE_SHARE
                for amount in _AMOUNTS
            )
        return found

    def _find_share_in_use(self, pool: str, amount: str) -> float:
        sessions = self._pools.get(pool, ())
        whole = sum(getattr(one.record.capacity, amount) for one in sessions)
        if whole <= 0:
            return 1.0
        return sum(getattr(one.used, amount) for one in sessions) / whole

    def holds(self, unit: PlanUnit, times: int) -> bool:
        """Return whether a task, or a whole gang, fits a number of times."""
        wanted = times * (len(unit.indexes) if unit.spec.gang else 1)
        if unit.tickets is not None:
            sessions = self._pools.get(unit.queue.pool, ())
            allowed = [one for one in sessions if one.upstream_id in unit.tickets]
            return self._count(_find_demand(unit), allowed) >= wanted
        demand = _find_demand(unit)
        if demand not in self._counts:
            sessions = self._pools.get(demand.pool, [])
            self._counts[demand] = self._count(demand, sessions)
        return self._counts[demand] >= wanted

    def _count(self, demand: _Demand, sessions: list[UpstreamSession]) -> int:
        limit = demand.max_per_upstream or MAX_TASKS_PER_UPSTREAM
        return sum(
            demand.reserved.count_in(session.free, limit)
            for session in sessions
            if not demand.required_label
            or demand.required_label in session.record.labels
        )


def _find_demand(unit: PlanUnit) -> _Demand:
    spec = unit.spec
    return _Demand(
        unit.queue.pool, spec.required_label, spec.reserved, spec.max_per_upstream
    )

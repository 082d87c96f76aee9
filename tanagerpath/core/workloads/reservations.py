"""Reservations of upstreams for gangs that do not fit yet."""

import math

from tanagerpath.core.workloads.free_capacity import FreeCapacity
from tanagerpath.core.workloads.policy import FleetView, PlanUnit
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.runs import RunPhase
from tanagerpath.core.workloads.sessions import UpstreamSession

__all__ = ["reserve_upstreams"]


def reserve_upstreams(
    unit: PlanUnit,
    groups: list[list[UpstreamSession]],
    free_capacity: FreeCapacity,
    fleet: FleetView,
) -> None:
    """Reserve the upstreams that are free soonest for a gang.

    Parameters
    ----------
    unit : PlanUnit
        The gang.
    groups : list of list of UpstreamSession
        Candidate sets of upstreams; one of them is reserved.
    free_capacity : FreeCapacity
        Takes the reservations.
    fleet : FleetView
        State of the upstreams.
    """
    options = []
    for group in groups:
        by_free_time = sorted(
            (
                _find_free_s(unit, session, free_capacity, fleet),
                session.upstream_id,
                session,
            )
            for session in group
            if unit.spec.reserved.fits(session.record.capacity)
        )
        chosen: list[tuple[float, UpstreamSession]] = []
        members = 0
        for free_s, _, session in by_free_time:
            if members >= len(unit.indexes):
                break
            members += _count_members(unit, session)
            chosen.append((free_s, session))
        if members >= len(unit.indexes) and chosen[-1][0] < math.inf:
            options.append((chosen[-1][0], chosen))
    if not options:
        return
    from_s, chosen = min(options, key=lambda option: option[0])
    for _, session in chosen:
        free_capacity.reserve(session, from_s)


def _count_members(unit: PlanUnit, session: UpstreamSession) -> int:
    limit = unit.spec.max_per_upstream or len(unit.indexes)
    return unit.spec.reserved.count_in(session.record.capacity, limit)


def _find_free_s(
    unit: PlanUnit,
    session: UpstreamSession,
    free_capacity: FreeCapacity,
    fleet: FleetView,
) -> float:
    """Return the time from which an upstream fits its share of a gang.

    It is infinite where long-running tasks are in the way: they have no predicted end,
    and other work must not wait for their capacity.
    """
    needed = Resources()
    for _ in range(_count_members(unit, session)):
        needed = needed + unit.spec.reserved
    found = free_capacity.free_times_s.get((session.upstream_id, needed))
    if found is None:
        found = _predict_free_s(needed, session, free_capacity, fleet)
        free_capacity.free_times_s[session.upstream_id, needed] = found
    return found


def _predict_free_s(
    needed: Resources,
    session: UpstreamSession,
    free_capacity: FreeCapacity,
    fleet: FleetView,
) -> float:
    """Return the time from which an upstream has some capacity free."""
    free = session.free
    free_s = fleet.now_s
    for remaining_s, view in free_capacity.list_run_ends(session):
        if needed.fits(free):
            break
        ends_soon = view.ends_soon(fleet.now_s)
        if not ends_soon and (
            view.spec.long_running or view.phase is RunPhase.STOPPING
        ):
            continue
        free = free + view.spec.reserved
        if not ends_soon:
            free_s = fleet.now_s + remaining_s
    return free_s if needed.fits(free) else math.inf

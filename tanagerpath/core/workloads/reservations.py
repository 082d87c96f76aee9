"""Which upstreams are kept free for a gang that does not fit yet."""

import math

from tanagerpath.core.workloads.policy import FleetView, PlanUnit
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.rooms import PlanRooms
from tanagerpath.core.workloads.sessions import RunPhase, UpstreamSession

__all__ = ["reserve_upstreams"]


def reserve_upstreams(
    unit: PlanUnit,
    groups: list[list[UpstreamSession]],
    rooms: PlanRooms,
    fleet: FleetView,
) -> None:
    """Keep the upstreams that are free soonest for a gang.

    Parameters
    ----------
    unit : PlanUnit
        The gang.
    groups : list of list of UpstreamSession
        Sets of upstreams; the gang takes one of them.
    rooms : PlanRooms
        Takes the reservations.
    fleet : FleetView
        Instants and terms.
    """
    options = []
    for group in groups:
        free = sorted(
            (_find_free_s(unit, session, rooms, fleet), session.upstream_id, session)
            for session in group
            if unit.spec.reserved.fits(session.record.capacity)
        )
        chosen: list[tuple[float, UpstreamSession]] = []
        members = 0
        for free_s, _, session in free:
            if members >= len(unit.indexes):
                break
            members += _count_members(unit, session)
            chosen.append((free_s, session))
        if members >= len(unit.indexes) and chosen[-1][0] < math.inf:
            options.append((chosen[-1][0], chosen))
    if not options:
        return
    until_s, chosen = min(options, key=lambda option: option[0])
    for _, session in chosen:
        rooms.reserve(session, until_s)


def _count_members(unit: PlanUnit, session: UpstreamSession) -> int:
    most = unit.spec.max_per_upstream or len(unit.indexes)
    return unit.spec.reserved.count_in(session.record.capacity, most)


def _find_free_s(
    unit: PlanUnit, session: UpstreamSession, rooms: PlanRooms, fleet: FleetView
) -> float:
    """Return the instant at which an upstream has room for its members.

    Runs that last end by no date, so that no other work may wait for their room: it is
    infinite then.
    """
    needed = Resources()
    for _ in range(_count_members(unit, session)):
        needed = needed + unit.spec.reserved
    room = session.room
    free_s = fleet.now_s
    for left_s, view in rooms.list_ends(session):
        if needed.fits(room):
            break
        is_stopping = view.phase is RunPhase.STOPPING
        if view.spec.long_running and not is_stopping:
            continue
        room = room + view.spec.reserved
        if not is_stopping:
            free_s = fleet.now_s + left_s
    return free_s if needed.fits(room) else math.inf

"""Reservations of upstreams for gangs that do not fit yet."""

import itertools
import math

import attrs

from tanagerpath.core.workloads.free_capacity import FreeCapacity, FreeTime
from tanagerpath.core.workloads.policy import FleetView, PlanUnit, Reservation
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.runs import RunPhase
from tanagerpath.core.workloads.sessions import UpstreamSession

__all__ = ["reserve_upstreams"]


@attrs.frozen(order=True)
class _Offer:
    """Time from which an upstream fits some members of a gang.

    Attributes
    ----------
    free_s : float
        The time.
    upstream_id : str
        The upstream.
    members : int
        Number of members.
    spare : Resources
        What is free beside them then.
    session : UpstreamSession
        Session of the upstream.
    """

    free_s: float
    upstream_id: str
    members: int = attrs.field(order=False)
    spare: Resources = attrs.field(order=False)
    session: UpstreamSession = attrs.field(order=False)


def reserve_upstreams(
    unit: PlanUnit,
    groups: list[list[UpstreamSession]],
    free_capacity: FreeCapacity,
    fleet: FleetView,
) -> Reservation | None:
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

    Returns
    -------
    Reservation or None
        None if the gang will not fit on any set of upstreams.
    """
    offers = _list_offers(unit, groups, free_capacity, fleet)
    options = []
    for group in groups:
        by_free_time = sorted(
            offers[session.upstream_id]
            for session in group
            if session.upstream_id in offers
        )
        chosen: list[_Offer] = []
        members = 0
        for offer in by_free_time:
            if members >= len(unit.indexes):
                break
            members += offer.members
            chosen.append(offer)
        if members >= len(unit.indexes) and chosen[-1].free_s < math.inf:
            options.append((chosen[-1].free_s, chosen))
    if not options:
        return None
    from_s, chosen = min(options, key=lambda option: option[0])
    for offer in chosen:
        free_capacity.reserve(offer.session, from_s, offer.spare)
    spare = {offer.upstream_id: offer.spare for offer in chosen}
    return Reservation(unit.step_key, from_s, spare)


def _list_offers(
    unit: PlanUnit,
    groups: list[list[UpstreamSession]],
    free_capacity: FreeCapacity,
    fleet: FleetView,
) -> dict[str, _Offer]:
    """Return by upstream what each one that is large enough offers to a gang.

    Most upstreams are in several groups, and many have the same capacity.
    """
    offers: dict[str, _Offer] = {}
    shares: dict[Resources, tuple[int, Resources]] = {}
    for session in itertools.chain.from_iterable(groups):
        if session.upstream_id in offers:
            continue
        if not free_capacity.is_proven_for(unit, session):
            # Single tasks have to test it first.
            continue
        capacity = session.record.capacity
        if capacity not in shares:
            shares[capacity] = _find_share(unit, capacity)
        members, needed = shares[capacity]
        if members:
            found = _find_free_time(needed, session, free_capacity, fleet)
            spare = found.free - needed
            offers[session.upstream_id] = _Offer(
                found.at_s, session.upstream_id, members, spare, session
            )
    return offers


def _find_share(unit: PlanUnit, capacity: Resources) -> tuple[int, Resources]:
    """Return how many members an empty upstream holds, and what they need."""
    limit = unit.spec.max_per_upstream or len(unit.indexes)
    members = unit.spec.reserved.count_in(capacity, limit)
    needed = Resources()
    for _ in range(members):
        needed = needed + unit.spec.reserved
    return members, needed


def _find_free_time(
    needed: Resources,
    session: UpstreamSession,
    free_capacity: FreeCapacity,
    fleet: FleetView,
) -> FreeTime:
    """Return when an upstream fits its share of a gang.

    It never does where long-running tasks are in the way: they have no predicted end,
    and other work must not wait for their capacity.
    """
    key = session.upstream_id, needed
    if key not in free_capacity.free_times:
        free_capacity.free_times[key] = _predict_free_time(
            needed, session, free_capacity, fleet
        )
    return free_capacity.free_times[key]


def _predict_free_time(
    needed: Resources,
    session: UpstreamSession,
    free_capacity: FreeCapacity,
    fleet: FleetView,
) -> FreeTime:
    """Return when an upstream has some capacity free."""
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
    return FreeTime(free_s if needed.fits(free) else math.inf, free)

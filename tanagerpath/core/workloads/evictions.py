"""Which runs have to make room for urgent work.

A task is stopped for room at most `EvictionTerms.max_stops` times, so that it ends
however much urgent work comes; only guaranteed work without a place has no such bound.
"""

import math

import attrs

from tanagerpath.core.workloads.policy import Eviction, FleetView, PlanUnit
from tanagerpath.core.workloads.rooms import PlanRooms
from tanagerpath.core.workloads.sessions import RunPhase, RunView, UpstreamSession

__all__ = ["EvictionPlan", "EvictionTerms", "find_evictions"]

# Room lies idle while one run is stopped and another begins.
RESTART_S = 0.3


@attrs.frozen(kw_only=True)
class EvictionTerms:
    """What may be stopped for a unit.

    Attributes
    ----------
    may_be_remote : bool
        Whether the unit would start away from its rack or spread over racks.
    max_stops : float
        Tasks that were stopped this often for room are left alone.
    """

    may_be_remote: bool = True
    max_stops: float = math.inf


@attrs.define(eq=False)
class EvictionPlan:
    """Upstreams for all tasks of a unit, and the runs that have to end for it."""

    places: list[tuple[UpstreamSession, int]] = attrs.Factory(list)
    evictions: list[Eviction] = attrs.Factory(list)
    lost_cores_s: float = 0.0


@attrs.frozen(eq=False)
class _Step:
    """The next upstream of a plan: what ends there and how many tasks it takes."""

    session: UpstreamSession
    count: int
    victims: tuple[tuple[float, RunView], ...]
    lost_cores_s: float


def find_evictions(
    unit: PlanUnit,
    count: int,
    sessions: list[UpstreamSession],
    rooms: PlanRooms,
    fleet: FleetView,
    terms: EvictionTerms,
) -> EvictionPlan | None:
    """Return the cheapest way that was found to make room for a unit.

    Parameters
    ----------
    unit : PlanUnit
        Urgent work.
    count : int
        Tasks of it that have no place.
    sessions : list of UpstreamSession
        Upstreams that may run it.
    rooms : PlanRooms
        Room that the plan has left, and what keeps tasks from an upstream.
    fleet : FleetView
        Instants and terms.
    terms : EvictionTerms
        What may be stopped for the unit.

    Returns
    -------
    EvictionPlan or None
        None if no runs that may be stopped would make enough room.
    """
    groups = _list_groups(unit, sessions)
    plans = [_make_plan(unit, count, group, rooms, fleet, terms) for group in groups]
    found = [plan for plan in plans if plan is not None]
    if not found and terms.may_be_remote and groups != [sessions]:
        return _make_plan(unit, count, sessions, rooms, fleet, terms)
    return min(found, key=lambda plan: plan.lost_cores_s, default=None)


def _list_groups(
    unit: PlanUnit, sessions: list[UpstreamSession]
) -> list[list[UpstreamSession]]:
    """Return the sets of upstreams on which a unit is not slowed by distances."""
    rack = unit.spec.preferred_rack
    if rack:
        return [[one for one in sessions if one.record.rack == rack]]
    if not unit.spec.same_rack:
        return [sessions]
    by_rack: dict[str, list[UpstreamSession]] = {}
    for session in sessions:
        by_rack.setdefault(session.record.rack, []).append(session)
    return list(by_rack.values())


def _make_plan(
    unit: PlanUnit,
    count: int,
    sessions: list[UpstreamSession],
    rooms: PlanRooms,
    fleet: FleetView,
    terms: EvictionTerms,
) -> EvictionPlan | None:
    plan = EvictionPlan()
    left = count
    steps = [
        step
        for session in sessions
        if (step := _look_at(unit, count, session, rooms, fleet, terms))
    ]
    while left:
        if not steps:
            return None
        best = min(steps, key=lambda step: step.lost_cores_s / min(step.count, left))
        taken = min(best.count, left)
        plan.places.append((best.session, taken))
        plan.evictions += [
            Eviction(best.session, victim, unit, cost) for cost, victim in best.victims
        ]
        plan.lost_cores_s += best.lost_cores_s
        left -= taken
        steps.remove(best)
    return plan


def _look_at(
    unit: PlanUnit,
    count: int,
    session: UpstreamSession,
    rooms: PlanRooms,
    fleet: FleetView,
    terms: EvictionTerms,
) -> _Step | None:
    """Return what one upstream offers, with as few runs stopped as possible."""
    most = rooms.limit_tasks(unit, session, count)
    if not most:
        return None
    room = rooms.find_room(session)
    for view in session.runs.values():
        if view.phase is RunPhase.STOPPING:
            room = room + view.spec.reserved
    fitting = unit.spec.reserved.count_in(room, most)
    if fitting:
        return _Step(session, fitting, (), 0.0)
    victims: list[tuple[float, RunView]] = []
    lost = 0.0
    for cost, _, view in sorted(_list_victims(unit, session, fleet, terms)):
        victims.append((cost, view))
        lost += cost
        room = room + view.spec.reserved
        fitting = unit.spec.reserved.count_in(room, most)
        if fitting:
            return _Step(session, fitting, tuple(victims), lost)
    return None


def _list_victims(
    unit: PlanUnit,
    session: UpstreamSession,
    fleet: FleetView,
    terms: EvictionTerms,
) -> list[tuple[float, int, RunView]]:
    """Return the runs that may be stopped for a unit, with what each would lose."""
    return [
        (_find_loss(view, fleet), number, view)
        for number, view in enumerate(session.runs.values())
        if view.priority > unit.queue.priority
        and view.phase in (RunPhase.RUNNING, RunPhase.ORDERED)
        and not view.spec.long_running
        and fleet.preemption.stops[view.task] < terms.max_stops
    ]


def _find_loss(view: RunView, fleet: FleetView) -> float:
    """Return the core seconds that are lost; a gang ends with its first member.

    Each earlier stop raises the price, so that the same task is not chosen again and
    again because it has just begun.
    """
    lost_s = RESTART_S + view.find_unsaved_s(fleet.now_s, fleet.checkpoint_interval_s)
    lost_s *= 1 + fleet.preemption.stops[view.task]
    members = view.spec.count if view.spec.gang else 1
    return lost_s * view.spec.needs.weighted_cores * members

"""Choice of the runs that are preempted for urgent work.

A task is preempted at most `EvictionTerms.max_stops` times, so that it completes
however much urgent work arrives; only guaranteed work that fits nowhere has no limit.
"""

import math

import attrs

from tanagerpath.core.workloads.free_capacity import FreeCapacity
from tanagerpath.core.workloads.policy import Eviction, FleetView, PlanUnit
from tanagerpath.core.workloads.sessions import RunPhase, RunView, UpstreamSession

__all__ = ["EvictionPlan", "EvictionTerms", "find_evictions"]

# Capacity is idle for this long while one run stops and another starts.
RESTART_S = 0.3


@attrs.frozen(kw_only=True)
class EvictionTerms:
    """Which runs may be preempted for a unit.

    Attributes
    ----------
    may_be_remote : bool
        Whether the unit may start outside its rack or spread over racks.
    max_stops : float
        Number of preemptions after which a task is no longer preempted.
    """

    may_be_remote: bool = True
    max_stops: float = math.inf


@attrs.define(eq=False)
class EvictionPlan:
    """Upstreams for all tasks of a unit, and the runs to preempt there."""

    allocations: list[tuple[UpstreamSession, int]] = attrs.Factory(list)
    evictions: list[Eviction] = attrs.Factory(list)
    lost_cores_s: float = 0.0


@attrs.frozen(eq=False)
class _UpstreamOffer:
    """Tasks that fit on one upstream once `victims` are preempted."""

    session: UpstreamSession
    count: int
    victims: tuple[tuple[float, RunView], ...]
    lost_cores_s: float


def find_evictions(
    unit: PlanUnit,
    count: int,
    sessions: list[UpstreamSession],
    free_capacity: FreeCapacity,
    fleet: FleetView,
    terms: EvictionTerms,
) -> EvictionPlan | None:
    """Return evictions that free capacity for a unit with little loss of work.

    Parameters
    ----------
    unit : PlanUnit
        Urgent work.
    count : int
        Number of its tasks that do not fit yet.
    sessions : list of UpstreamSession
        Upstreams that may run it.
    free_capacity : FreeCapacity
        Capacity that the plan has left, and limits of each upstream.
    fleet : FleetView
        State of the upstreams.
    terms : EvictionTerms
        Which runs may be preempted.

    Returns
    -------
    EvictionPlan or None
        None if preempting all permitted runs would not free enough capacity.
    """
    groups = _list_groups(unit, sessions)
    plans = [
        _make_plan(unit, count, group, free_capacity, fleet, terms) for group in groups
    ]
    found = [plan for plan in plans if plan is not None]
    if not found and terms.may_be_remote and groups != [sessions]:
        return _make_plan(unit, count, sessions, free_capacity, fleet, terms)
    return min(found, key=lambda plan: plan.lost_cores_s, default=None)


def _list_groups(
    unit: PlanUnit, sessions: list[UpstreamSession]
) -> list[list[UpstreamSession]]:
    """Return the sets of upstreams on which a unit keeps its locality."""
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
    free_capacity: FreeCapacity,
    fleet: FleetView,
    terms: EvictionTerms,
) -> EvictionPlan | None:
    plan = EvictionPlan()
    left = count
    offers = [
        offer
        for session in sessions
        if (offer := _make_offer(unit, count, session, free_capacity, fleet, terms))
    ]
    while left:
        if not offers:
            return None
        best = min(
            offers, key=lambda offer: offer.lost_cores_s / min(offer.count, left)
        )
        taken = min(best.count, left)
        plan.allocations.append((best.session, taken))
        plan.evictions += [
            Eviction(best.session, victim, unit, cost) for cost, victim in best.victims
        ]
        plan.lost_cores_s += best.lost_cores_s
        left -= taken
        offers.remove(best)
    return plan


def _make_offer(
    unit: PlanUnit,
    count: int,
    session: UpstreamSession,
    free_capacity: FreeCapacity,
    fleet: FleetView,
    terms: EvictionTerms,
) -> _UpstreamOffer | None:
    """Return the offer of one upstream that needs the fewest evictions."""
    limit = free_capacity.limit_tasks(unit, session, count)
    if not limit:
        return None
    free = free_capacity.find_free(session)
    for view in session.runs.values():
        if view.ends_soon(fleet.now_s):
            free = free + view.spec.reserved
    fitting = unit.spec.reserved.count_in(free, limit)
    if fitting:
        return _UpstreamOffer(session, fitting, (), 0.0)
    victims: list[tuple[float, RunView]] = []
    lost = 0.0
    for cost, _, view in sorted(_list_victims(unit, session, fleet, terms)):
        victims.append((cost, view))
        lost += cost
        free = free + view.spec.reserved
        fitting = unit.spec.reserved.count_in(free, limit)
        if fitting:
            return _UpstreamOffer(session, fitting, tuple(victims), lost)
    return None


def _list_victims(
    unit: PlanUnit,
    session: UpstreamSession,
    fleet: FleetView,
    terms: EvictionTerms,
) -> list[tuple[float, int, RunView]]:
    """Return the permitted runs with the core seconds that each would lose."""
    return [
        (_estimate_loss(view, fleet), number, view)
        for number, view in enumerate(session.runs.values())
        if view.priority > unit.queue.priority
        and view.phase in (RunPhase.RUNNING, RunPhase.ORDERED)
        and not view.spec.long_running
        and fleet.preemption.stops[view.task] < terms.max_stops
    ]


def _estimate_loss(view: RunView, fleet: FleetView) -> float:
    """Return the cost of a preemption in core seconds; a gang stops as a whole.

    Each earlier preemption raises the cost. Otherwise a task that has just restarted
    would always be the cheapest victim.
    """
    lost_s = RESTART_S + view.find_unsaved_s(fleet.now_s, fleet.checkpoint_interval_s)
    lost_s *= 1 + fleet.preemption.stops[view.task]
    members = view.spec.count if view.spec.gang else 1
    return lost_s * view.spec.needs.weighted_cores * members

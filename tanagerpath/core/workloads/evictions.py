"""Choice of the runs that are preempted for urgent work.

Work that reclaims its guarantee may preempt every run that no guarantee covers, since
others only borrow that capacity. Preemptions do not go round in a circle: covered work
is never preempted, and ranks before all work that it preempts. Other urgent work
preempts only lower priorities, and each task at most `MAX_STOPS` times.
"""

from collections import Counter
from collections.abc import Iterator

import attrs

from tanagerpath.core.workloads.free_capacity import FreeCapacity
from tanagerpath.core.workloads.policy import Eviction, FleetView, PlanUnit
from tanagerpath.core.workloads.runs import COMPLETED_PERCENT, RunPhase, RunView
from tanagerpath.core.workloads.sessions import UpstreamSession

__all__ = ["MAX_STOPS", "EvictionPlan", "EvictionTerms", "find_evictions"]

# Only work that reclaims its guarantee preempts a task more often than this.
MAX_STOPS = 3

# Capacity is idle for this long while one run stops and another starts.
RESTART_S = 0.3


@attrs.frozen(kw_only=True)
class EvictionTerms:
    """Which runs may be preempted for a unit.

    Attributes
    ----------
    may_be_remote : bool
        Whether the unit may start outside its rack or spread over racks.
    reclaims : bool
        Whether the unit reclaims the guarantee of its organisation.
    """

    may_be_remote: bool = True
    reclaims: bool = False


@attrs.define(eq=False)
class EvictionPlan:
    """Upstreams for all tasks of a unit, and the runs to preempt there.

    Attributes
    ----------
    allocations : Counter of str
        Number of tasks by upstream.
    evictions : list of Eviction
        The runs.
    has_sensitive : bool
        Whether one of them is urgent or long-running.
    lost_cores_s : float
        Core seconds of work that they lose.
    """

    allocations: Counter[str] = attrs.Factory(Counter)
    evictions: list[Eviction] = attrs.Factory(list)
    has_sensitive: bool = False
    lost_cores_s: float = 0.0

    @property
    def rank(self) -> tuple[bool, float]:
        """Sort key; plans that spare urgent and long-running work come first."""
        return self.has_sensitive, self.lost_cores_s

    def add(self, unit: PlanUnit, offer: "_UpstreamOffer", tasks: int) -> None:
        """Accept an offer for some tasks of a unit."""
        self.allocations[offer.session.upstream_id] += tasks
        self.evictions += [
            Eviction(offer.session, victim.view, unit, victim.lost_cores_s)
            for victim in offer.victims
        ]
        self.has_sensitive = self.has_sensitive or offer.has_sensitive
        self.lost_cores_s += offer.lost_cores_s


@attrs.frozen(order=True)
class _Victim:
    """A run that may be preempted, in the order of preference."""

    is_sensitive: bool
    lost_cores_s: float
    number: int
    view: RunView = attrs.field(order=False)


@attrs.frozen(eq=False)
class _UpstreamOffer:
    """Further tasks that fit on one upstream once `victims` are preempted."""

    session: UpstreamSession
    count: int
    victims: tuple[_Victim, ...] = ()

    @property
    def lost_cores_s(self) -> float:
        return sum(victim.lost_cores_s for victim in self.victims)

    @property
    def has_sensitive(self) -> bool:
        return any(victim.is_sensitive for victim in self.victims)

    def rank(self, wanted: int) -> tuple[bool, float]:
        """Return the sort key of the offer for a number of tasks."""
        return self.has_sensitive, self.lost_cores_s / min(self.count, wanted)


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
    return min(found, key=lambda plan: plan.rank, default=None)


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
    sequences = [
        _list_offers(unit, count, session, free_capacity, fleet, terms)
        for session in sessions
    ]
    heads = [(offer, later) for later in sequences if (offer := next(later, None))]
    while left:
        if not heads:
            return None
        head = min(heads, key=lambda one: one[0].rank(left))
        heads.remove(head)
        best, later = head
        taken = min(best.count, left)
        plan.add(unit, best, taken)
        left -= taken
        following = next(later, None)
        if following is not None:
            heads.append((following, later))
    return plan


def _list_offers(
    unit: PlanUnit,
    count: int,
    session: UpstreamSession,
    free_capacity: FreeCapacity,
    fleet: FleetView,
    terms: EvictionTerms,
) -> Iterator[_UpstreamOffer]:
    """Return the offers of one upstream, each in addition to those before it."""
    limit = free_capacity.limit_tasks(unit, session, count)
    if not limit:
        return
    free = free_capacity.find_free(session)
    for view in session.runs.values():
        if view.ends_soon(fleet.now_s):
            free = free + view.spec.reserved
    offered = unit.spec.reserved.count_in(free, limit)
    if offered:
        yield _UpstreamOffer(session, offered)
    victims: list[_Victim] = []
    for victim in sorted(_list_victims(unit, session, fleet, terms)):
        if offered >= limit:
            return
        victims.append(victim)
        free = free + victim.view.spec.reserved
        fitting = unit.spec.reserved.count_in(free, limit)
        if fitting > offered:
            yield _UpstreamOffer(session, fitting - offered, tuple(victims))
            offered = fitting
            victims = []


def _list_victims(
    unit: PlanUnit,
    session: UpstreamSession,
    fleet: FleetView,
    terms: EvictionTerms,
) -> list[_Victim]:
    """Return the permitted runs with the core seconds that each would lose."""
    return [
        _Victim(
            view.spec.long_running or view.priority <= unit.queue.priority,
            _estimate_loss(view, session, fleet),
            number,
            view,
        )
        for number, view in enumerate(session.runs.values())
        if view.phase in (RunPhase.RUNNING, RunPhase.ORDERED)
        and _may_preempt(unit, view, fleet, terms)
    ]


def _may_preempt(
    unit: PlanUnit, view: RunView, fleet: FleetView, terms: EvictionTerms
) -> bool:
    """Return whether a unit may preempt a run."""
    if terms.reclaims:
        is_covered = view.task.workload_id in fleet.covered
        return not is_covered and view.key not in fleet.protected_runs
    return (
        view.priority > unit.queue.priority
        and not view.spec.long_running
        and fleet.preemption.stops[view.task] < MAX_STOPS
    )


def _estimate_loss(view: RunView, session: UpstreamSession, fleet: FleetView) -> float:
    """Return the cost of a preemption in core seconds; a gang stops as a whole.

    Each earlier preemption raises the cost. Otherwise a task that has just restarted
    would always be the cheapest victim.
    """
    done_s = fleet.predict_total_s(view, session) * view.percent / COMPLETED_PERCENT
    lost_s = RESTART_S + view.find_unsaved_s(
        fleet.now_s, fleet.checkpoint_interval_s, done_s
    )
    lost_s *= 1 + fleet.preemption.stops[view.task]
    members = view.spec.count if view.spec.gang else 1
    return lost_s * view.spec.needs.weighted_cores * members

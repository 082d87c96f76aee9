"""Choice of the runs that are preempted for urgent work.

Work that reclaims its guarantee may preempt every run that no guarantee covers, since
others only borrow that capacity. Preemptions do not go round in a circle: covered work
is never preempted, and ranks before all work that it preempts. Other urgent work
preempts only lower priorities, and each task at most `MAX_STOPS` times.
"""

import heapq
import itertools
from collections import Counter

import attrs

from tanagerpath.core.workloads.eviction_offers import (
    GangKey,
    UpstreamOffer,
    UpstreamSearch,
    Victim,
    find_gang_key,
)
from tanagerpath.core.workloads.free_capacity import FreeCapacity
from tanagerpath.core.workloads.policy import Eviction, FleetView, PlanUnit
from tanagerpath.core.workloads.runs import COMPLETED_PERCENT, RunPhase, RunView
from tanagerpath.core.workloads.sessions import UpstreamSession

__all__ = ["MAX_STOPS", "EvictionFinder", "EvictionPlan", "EvictionTerms"]

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
        The runs; of a gang, one member.
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

    def add(self, unit: PlanUnit, offer: UpstreamOffer, tasks: int) -> None:
        """Accept an offer for some tasks of a unit."""
        session = offer.session
        self.allocations[session.upstream_id] += tasks
        self.evictions += [
            Eviction(session, victim.view, unit, victim.lost_cores_s)
            for victim in offer.victims
        ]
        self.has_sensitive = self.has_sensitive or offer.has_sensitive
        self.lost_cores_s += offer.lost_cores_s


class EvictionFinder:
    """Chooses the runs to preempt for the units of one plan.

    Parameters
    ----------
    free_capacity : FreeCapacity
        Capacity that the plan has left, and limits of each upstream.
    fleet : FleetView
        State of the upstreams before the plan.
    """

    def __init__(self, free_capacity: FreeCapacity, fleet: FleetView) -> None:
        self._free_capacity = free_capacity
        self._fleet = fleet
        self._victims: dict[tuple[str, bool, int], list[Victim]] = {}

    def find(
        self,
        unit: PlanUnit,
        count: int,
        sessions: list[UpstreamSession],
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
        terms : EvictionTerms
            Which runs may be preempted.

        Returns
        -------
        EvictionPlan or None
            None if preempting all permitted runs would not free enough capacity.
        """
        groups = _list_groups(unit, sessions)
        plans = [self._make_plan(unit, count, group, terms) for group in groups]
        found = [plan for plan in plans if plan is not None]
        if not found and terms.may_be_remote and groups != [sessions]:
            return self._make_plan(unit, count, sessions, terms)
        return min(found, key=lambda plan: plan.rank, default=None)

    def _make_plan(
        self,
        unit: PlanUnit,
        count: int,
        sessions: list[UpstreamSession],
        terms: EvictionTerms,
    ) -> EvictionPlan | None:
        searches = {
            session.upstream_id: search
            for session in sessions
            if (search := self._open_search(unit, count, session, terms))
        }
        if not self._can_fit(searches, count):
            return None
        plan = EvictionPlan()
        left = count
        stopped: set[GangKey] = set()
        order = itertools.count()
        heap: list[tuple] = []

        def count_members(view: RunView) -> int:
            members = self._free_capacity.list_gang(view)
            return len({one.upstream_id for one, _ in members} & searches.keys())

        def push(search: UpstreamSearch) -> None:
            offer = search.make_offer(stopped, count_members)
            if offer is not None:
                rank = offer.rank(left)
                entry = (rank, next(order), search, search.revision, offer)
                heapq.heappush(heap, entry)

        for search in searches.values():
            push(search)
        while left:
            if not heap:
                return None
            rank, _, search, revision, offer = heapq.heappop(heap)
            if revision != search.revision:
                continue
            if offer.rank(left) > rank:
                # It has more room than is still needed.
                push(search)
                continue
            taken = min(offer.count, left)
            left -= taken
            plan.add(unit, offer, taken)
            search.accept(offer, taken)
            changed = self._stop(search, offer, searches, stopped)
            if left:
                for one in (search, *changed):
                    push(one)
        return plan

    def _stop(
        self,
        search: UpstreamSearch,
        offer: UpstreamOffer,
        searches: dict[str, UpstreamSearch],
        stopped: set[GangKey],
    ) -> list[UpstreamSearch]:
        """Free the capacity of the victims of an offer, and of their gangs.

        Returns the other upstreams on which this frees capacity.
        """
        changed = []
        for victim in offer.victims:
            view = victim.view
            if not view.spec.gang:
                search.add_free(view.spec.reserved)
                continue
            stopped.add(find_gang_key(view))
            for session, _ in self._free_capacity.list_gang(view):
                other = searches.get(session.upstream_id)
                if other is not None:
                    other.add_free(view.spec.reserved)
                    changed.append(other)
        unique = {id(one): one for one in changed if one is not search}
        return list(unique.values())

    def _can_fit(self, searches: dict[str, UpstreamSearch], count: int) -> bool:
        """Return whether enough tasks would fit if all victims were stopped."""
        room = 0
        for search in searches.values():
            room += search.limit
            if room >= count:
                return True
        return False

    def _open_search(
        self,
        unit: PlanUnit,
        count: int,
        session: UpstreamSession,
        terms: EvictionTerms,
    ) -> UpstreamSearch | None:
        limit = self._free_capacity.limit_tasks(unit, session, count)
        limit = unit.spec.reserved.count_in(session.record.capacity, limit)
        if not limit:
            return None
        return UpstreamSearch(
            session,
            unit.spec.reserved,
            limit,
            self._free_capacity.find_free_soon(session),
            self._list_victims(unit, session, terms),
        )

    def _list_victims(
        self, unit: PlanUnit, session: UpstreamSession, terms: EvictionTerms
    ) -> list[Victim]:
        """Return the permitted runs in the order of preference.

        The list of an upstream is kept for the plan, apart from runs that the plan
        stops meanwhile.
        """
        key = session.upstream_id, terms.reclaims, unit.queue.priority
        found = self._victims.get(key)
        if found is None:
            found = [
                Victim(
                    view.spec.long_running or view.priority <= unit.queue.priority,
                    _estimate_loss(view, session, self._fleet),
                    number,
                    view,
                )
                for number, view in enumerate(session.runs.values())
                if view.phase in (RunPhase.RUNNING, RunPhase.ORDERED)
                and _may_preempt(unit, view, self._fleet, terms)
            ]
            found.sort(key=lambda victim: victim.rank)
            self._victims[key] = found
        stopped = self._free_capacity.stopped_runs.get(session.upstream_id)
        if not stopped:
            return found
        return [one for one in found if one.view not in stopped]


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

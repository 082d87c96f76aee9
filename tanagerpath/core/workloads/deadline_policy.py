"""Policy that keeps fast upstreams for urgent work and meets objectives elsewhere."""

import math
from collections import Counter
from collections.abc import Iterable

import attrs

from tanagerpath.core.workloads.deadline_terms import DeadlineTerms
from tanagerpath.core.workloads.evictions import EvictionTerms, find_evictions
from tanagerpath.core.workloads.policy import (
    ClaimCause,
    FleetView,
    Placement,
    Plan,
    PlanUnit,
    RoomClaim,
    WorkloadPolicy,
)
from tanagerpath.core.workloads.reservations import reserve_upstreams
from tanagerpath.core.workloads.rooms import PlanRooms
from tanagerpath.core.workloads.sessions import RunView, UpstreamSession

__all__ = ["DeadlinePolicy"]

# Speeds this close count as equal, so that tasks are packed before they are spread.
SPEED_STEPS_PER_UNIT = 4
# Only guaranteed work without a place stops a task more often than this.
MAX_STOPS = 3
# Claims of room that work beyond a guarantee may make for one step.
MAX_CLAIMS = 3


@attrs.frozen(eq=False)
class _Option:
    """Upstreams for all members of a gang, with the predicted run time."""

    run_s: float
    is_remote: bool
    sessions: tuple[UpstreamSession, ...]


def _is_suitable(unit: PlanUnit, session: UpstreamSession) -> bool:
    spec = unit.spec
    if session.record.pool != unit.queue.pool:
        return False
    if spec.required_label and spec.required_label not in session.record.labels:
        return False
    return unit.tickets is None or session.upstream_id in unit.tickets


class DeadlinePolicy(WorkloadPolicy):
    """Places guaranteed work first, then by priority, size and slack.

    Parameters
    ----------
    terms : DeadlineTerms
        Settings.
    """

    def __init__(self, terms: DeadlineTerms) -> None:
        self._terms = terms

    @classmethod
    def from_config(cls, terms: DeadlineTerms) -> "DeadlinePolicy":
        """Build the policy of a new leader."""
        return cls(terms)

    def plan(self, units: list[PlanUnit], fleet: FleetView) -> Plan:
        """Return what starts and what stops now; see `WorkloadPolicy`."""
        rooms = PlanRooms(fleet)
        plan = Plan()
        reservations = 0
        ranked = sorted(units, key=lambda one: self._rank(one, fleet))
        guaranteed = [unit for unit in ranked if unit.is_guaranteed]
        others = [unit for unit in ranked if not unit.is_guaranteed]
        for group in (guaranteed, others):
            # Guaranteed work may use room that is held for other work.
            for unit in group:
                self._hold(unit, rooms, fleet, plan)
            for unit in group:
                if self._is_settled(unit, rooms, fleet, plan):
                    continue
                if unit.spec.gang and reservations < self._terms.max_reservations:
                    reservations += 1
                    self._reserve(unit, rooms, fleet)
        return plan

    def _is_settled(
        self, unit: PlanUnit, rooms: PlanRooms, fleet: FleetView, plan: Plan
    ) -> bool:
        """Place a unit or make room for it; return False if neither is possible."""
        claim = fleet.preemption.open_claims.get(unit.place)
        if claim is not None:
            self._place_claimed(unit, claim, rooms, fleet, plan)
            return True
        if self._claim_faster(unit, rooms, fleet, plan):
            plan.blocked.append(unit)
            return True
        left = self._place(unit, rooms, fleet, plan)
        if not left:
            return True
        plan.blocked.append(unit)
        if not self._may_stop_others(unit, fleet):
            return False
        sessions = self._list_candidates(unit, rooms, fleet)
        in_time = self._list_in_time(unit, sessions, fleet)
        if self._claim(unit, ClaimCause.LATE, left, in_time, rooms, fleet, plan):
            return True
        cause = ClaimCause.GUARANTEED if unit.is_guaranteed else ClaimCause.NO_ROOM
        return self._claim(unit, cause, left, sessions, rooms, fleet, plan)

    def _reserve(self, unit: PlanUnit, rooms: PlanRooms, fleet: FleetView) -> None:
        sessions = self._list_candidates(unit, rooms, fleet)
        groups = [group for group, _ in self._list_groups(unit, sessions)]
        reserve_upstreams(unit, groups, rooms, fleet)

    def _rank(self, unit: PlanUnit, fleet: FleetView) -> tuple:
        """Return the place in the order: guaranteed, useful, urgent work first.

        Among these small work goes first, as callers value the first core seconds of a
        workload most. What is left of its slack counts as well, so that large work is
        not starved.
        """
        end_s = fleet.find_waited_s(unit) + unit.left_s
        is_late = end_s > unit.objective_s
        slack_share = max(1.0 - end_s / unit.objective_s, 0.0)
        return (
            not unit.is_guaranteed,
            fleet.is_useless(unit),
            unit.queue.priority,
            is_late,
            slack_share * fleet.predict_cores_s(unit),
            unit.begun_unix_s + unit.objective_s,
            unit.step_key,
            unit.occurrence,
        )

    # Placing

    def _place(
        self, unit: PlanUnit, rooms: PlanRooms, fleet: FleetView, plan: Plan
    ) -> tuple[int, ...]:
        """Place what fits; return the tasks that are left."""
        return self._start(unit, self._choose(unit, rooms, fleet), rooms, plan)

    def _start(
        self,
        unit: PlanUnit,
        chosen: Iterable[UpstreamSession],
        rooms: PlanRooms,
        plan: Plan,
    ) -> tuple[int, ...]:
        chosen = tuple(chosen)
        for index, session in zip(unit.indexes, chosen, strict=False):
            plan.placements.append(Placement(unit, index, session))
            rooms.take(unit, session)
        return unit.indexes[len(chosen) :]

    def _choose(
        self, unit: PlanUnit, rooms: PlanRooms, fleet: FleetView
    ) -> tuple[UpstreamSession, ...]:
        """Return upstreams for as many tasks as have a place."""
        if rooms.is_full_for(unit.spec.reserved):
            return ()
        sessions = [
            session
            for session in self._list_candidates(unit, rooms, fleet)
            if rooms.count_fitting(unit, session, 1)
        ]
        if not unit.spec.gang:
            return tuple(self._choose_singles(unit, sessions, rooms, fleet))
        option = self._choose_option(unit, sessions, rooms, fleet)
        return option.sessions if option else ()

    def _claim_faster(
        self, unit: PlanUnit, rooms: PlanRooms, fleet: FleetView, plan: Plan
    ) -> bool:
        """Make room for urgent work that would be late on the upstreams with room."""
        patience_s = self._terms.guaranteed_patience_s
        if not self._may_stop_others(unit, fleet):
            return False
        if fleet.find_waited_s(unit) > patience_s:
            return False
        chosen = self._choose(unit, rooms, fleet)
        if len(self._list_in_time(unit, chosen, fleet)) == len(chosen):
            return False
        candidates = self._list_candidates(unit, rooms, fleet)
        sessions = self._list_in_time(unit, candidates, fleet)
        cause = ClaimCause.LATE
        return self._claim(unit, cause, unit.indexes, sessions, rooms, fleet, plan)

    def _list_in_time(
        self, unit: PlanUnit, sessions: Iterable[UpstreamSession], fleet: FleetView
    ) -> list[UpstreamSession]:
        """Return the upstreams on which a unit meets its objective."""
        bound_s = self._find_run_bound_s(unit, fleet)
        return [one for one in sessions if fleet.predict_run_s(unit, one) <= bound_s]

    def _list_candidates(
        self, unit: PlanUnit, rooms: PlanRooms, fleet: FleetView
    ) -> list[UpstreamSession]:
        suitable = [one for one in rooms.sessions if _is_suitable(unit, one)]
        sound = [
            one
            for one in suitable
            if one.upstream_id not in unit.avoided
            and not (unit.is_last_attempt and fleet.health[one.upstream_id].is_suspect)
        ]
        return sound or suitable

    def _order(
        self,
        unit: PlanUnit,
        sessions: Iterable[UpstreamSession],
        rooms: PlanRooms,
        fleet: FleetView,
    ) -> list[UpstreamSession]:
        """Return upstreams in the order in which a unit takes them.

        Urgent work takes fast ones first. Other work leaves these free: it takes slow
        ones first on which it is in time. Among equals the fullest come first.
        """
        bound_s = self._find_run_bound_s(unit, fleet)

        def rank(session: UpstreamSession) -> tuple:
            speed = fleet.estimates.find_speed(session.upstream_id)
            pace = round(speed * SPEED_STEPS_PER_UNIT)
            is_patient = (
                unit.queue.priority > 0
                and fleet.predict_run_s(unit, session) <= bound_s
            )
            room = rooms.find_room(session)
            is_remote = bool(
                unit.spec.preferred_rack
                and unit.spec.preferred_rack != session.record.rack
            )
            return (
                is_remote,
                fleet.health[session.upstream_id].is_suspect,
                not is_patient,
                pace if is_patient else -pace,
                room.find_share(session.record.capacity),
                session.upstream_id,
            )

        return sorted(sessions, key=rank)

    def _find_run_bound_s(self, unit: PlanUnit, fleet: FleetView) -> float:
        """Return the longest run time with which a unit meets its objective."""
        later_s = unit.left_s - fleet.predict_work_s(unit)
        bound_s = unit.objective_s * self._terms.objective_share
        return bound_s - fleet.find_waited_s(unit) - later_s

    def _choose_singles(
        self,
        unit: PlanUnit,
        sessions: list[UpstreamSession],
        rooms: PlanRooms,
        fleet: FleetView,
    ) -> list[UpstreamSession]:
        ordered = [
            session
            for session in self._order(unit, sessions, rooms, fleet)
            if self._may_run_on(unit, session, rooms, fleet)
        ]
        chosen = self._choose_probes(unit, ordered, rooms, fleet)
        probes = Counter(session.upstream_id for session in chosen)
        for session in ordered:
            wanted = len(unit.indexes) - len(chosen)
            if not wanted:
                break
            taken = probes[session.upstream_id]
            fitting = rooms.count_fitting(unit, session, wanted + taken) - taken
            chosen += [session] * max(fitting, 0)
        return chosen

    def _choose_probes(
        self,
        unit: PlanUnit,
        sessions: list[UpstreamSession],
        rooms: PlanRooms,
        fleet: FleetView,
    ) -> list[UpstreamSession]:
        """Return upstreams of unknown speed, for one task each.

        Tasks of one step take about the same work, so that they tell the speeds of
        their upstreams apart. Urgent work does not bear the risk.
        """
        if unit.queue.priority == 0:
            return []
        unknown = [
            session
            for session in sessions
            if not fleet.estimates.is_speed_known(session.upstream_id)
            and not any(self._tells_speed(view) for view in session.runs.values())
            and rooms.count_fitting(unit, session, 1)
        ]
        return unknown[: len(unit.indexes)]

    def _tells_speed(self, view: RunView) -> bool:
        return not view.observed and not view.spec.gang and not view.spec.long_running

    def _may_run_on(
        self,
        unit: PlanUnit,
        session: UpstreamSession,
        rooms: PlanRooms,
        fleet: FleetView,
    ) -> bool:
        """Return whether waiting for the rack with the data is no longer better."""
        rack = unit.spec.preferred_rack
        if not rack or rack == session.record.rack:
            return True
        return self._is_patience_over(unit, fleet) or not rooms.has_rack(rack)

    def _is_patience_over(self, unit: PlanUnit, fleet: FleetView) -> bool:
        patience_s = self._terms.remote_patience * fleet.predict_work_s(unit)
        if unit.is_guaranteed:
            patience_s = min(patience_s, self._terms.guaranteed_patience_s)
        return fleet.find_waited_s(unit) > patience_s

    def _choose_option(
        self,
        unit: PlanUnit,
        sessions: list[UpstreamSession],
        rooms: PlanRooms,
        fleet: FleetView,
    ) -> _Option | None:
        """Return the fastest set of upstreams that takes a whole gang."""
        options = [
            option
            for group, is_spread in self._list_groups(unit, sessions)
            if (option := self._fill(unit, group, is_spread, rooms, fleet))
        ]
        if not options:
            return None
        best = min(options, key=lambda option: option.run_s)
        if best.is_remote and not self._is_patience_over(unit, fleet):
            return None
        return best

    def _list_groups(
        self, unit: PlanUnit, sessions: list[UpstreamSession]
    ) -> list[tuple[list[UpstreamSession], bool]]:
        """Return sets of upstreams to choose from, and whether each is spread."""
        if not (unit.spec.same_rack or unit.spec.preferred_rack):
            return [(sessions, False)]
        by_rack: dict[str, list[UpstreamSession]] = {}
        for session in sessions:
            by_rack.setdefault(session.record.rack, []).append(session)
        groups = [(group, False) for group in by_rack.values()]
        return [*groups, (sessions, unit.spec.same_rack)]

    def _fill(
        self,
        unit: PlanUnit,
        group: list[UpstreamSession],
        is_spread: bool,
        rooms: PlanRooms,
        fleet: FleetView,
    ) -> _Option | None:
        chosen: list[UpstreamSession] = []
        for session in self._order(unit, group, rooms, fleet):
            wanted = len(unit.indexes) - len(chosen)
            if not wanted:
                break
            chosen += [session] * rooms.count_fitting(unit, session, wanted)
        if len(chosen) < len(unit.indexes):
            return None
        run_s = max(fleet.predict_run_s(unit, session) for session in chosen)
        racks = {session.record.rack for session in chosen}
        is_spread = is_spread and len(racks) > 1
        if is_spread:
            run_s *= fleet.remote_factor
        preferred = unit.spec.preferred_rack
        is_remote = is_spread or bool(preferred and racks != {preferred})
        return _Option(run_s, is_remote, tuple(chosen))

    # Making room

    def _hold(
        self, unit: PlanUnit, rooms: PlanRooms, fleet: FleetView, plan: Plan
    ) -> None:
        """Keep the room that was made for a unit from all others."""
        claim = fleet.preemption.open_claims.get(unit.place)
        if claim is None:
            return
        placed = Counter(
            placement.session.upstream_id
            for placement in plan.placements
            if placement.unit is unit
        )
        rooms.hold(claim, placed, len(unit.indexes) - placed.total())

    def _place_claimed(
        self,
        unit: PlanUnit,
        claim: RoomClaim,
        rooms: PlanRooms,
        fleet: FleetView,
        plan: Plan,
    ) -> None:
        """Place a unit unless the room that is being made for it is faster."""
        rooms.release(unit)
        run_times_s = (
            fleet.predict_run_s(unit, session)
            for session in rooms.sessions
            if session.upstream_id in claim.tasks
        )
        slowest_s = max(run_times_s, default=math.inf)
        chosen = self._choose(unit, rooms, fleet)
        kept = [one for one in chosen if fleet.predict_run_s(unit, one) <= slowest_s]
        if unit.spec.gang and len(kept) < len(unit.indexes):
            kept = []
        if self._start(unit, kept, rooms, plan):
            plan.blocked.append(unit)
            self._hold(unit, rooms, fleet, plan)

    def _may_stop_others(self, unit: PlanUnit, fleet: FleetView) -> bool:
        """Return whether a unit ranks before all runs that it would stop.

        Urgent work past its use ranks behind useful work of any priority, which would
        take the room that was made and be stopped for it again. Work beyond a
        guarantee that has made room `MAX_CLAIMS` times without starting has to wait.
        """
        if unit.queue.priority > 0:
            return False
        if unit.is_guaranteed:
            return True
        claims = fleet.preemption.claims[unit.place]
        return claims < MAX_CLAIMS and not fleet.is_useless(unit)

    def _claim(
        self,
        unit: PlanUnit,
        cause: ClaimCause,
        left: tuple[int, ...],
        candidates: list[UpstreamSession],
        rooms: PlanRooms,
        fleet: FleetView,
        plan: Plan,
    ) -> bool:
        """Keep room for urgent work, and stop other runs for it, if that is cheap."""
        sessions = [
            one
            for one in candidates
            if not fleet.health[one.upstream_id].is_on_probation
        ]
        terms = EvictionTerms(
            may_be_remote=self._is_patience_over(unit, fleet),
            max_stops=math.inf if cause is ClaimCause.GUARANTEED else MAX_STOPS,
        )
        found = find_evictions(unit, len(left), sessions, rooms, fleet, terms)
        if found is None:
            return False
        work_cores_s = fleet.predict_cores_s(unit)
        if cause is not ClaimCause.GUARANTEED and (
            found.lost_cores_s > self._terms.eviction_factor * work_cores_s
        ):
            return False
        for session, count in found.places:
            rooms.take(unit, session, count)
        plan.evictions += found.evictions
        plan.claims.append(
            RoomClaim(
                unit=unit,
                cause=cause,
                tasks={one.upstream_id: count for one, count in found.places},
                is_useless=fleet.is_useless(unit),
                work_cores_s=work_cores_s,
                lost_cores_s=found.lost_cores_s,
                victims=len(found.evictions),
            )
        )
        return True

"""Policy that keeps fast upstreams for urgent work and meets objectives elsewhere."""

import math
from collections import Counter
from collections.abc import Iterable

import attrs

from tanagerpath.core.workloads.deadline_terms import DeadlineTerms
from tanagerpath.core.workloads.evictions import EvictionTerms, find_evictions
from tanagerpath.core.workloads.free_capacity import FreeCapacity
from tanagerpath.core.workloads.policy import (
    CapacityClaim,
    ClaimCause,
    FleetView,
    Placement,
    Plan,
    PlanUnit,
    WorkloadPolicy,
)
from tanagerpath.core.workloads.reservations import reserve_upstreams
from tanagerpath.core.workloads.sessions import RunView, UpstreamSession

__all__ = ["DeadlinePolicy"]

# Rounds speeds, so that tasks are packed on similar upstreams before they spread.
SPEED_STEPS_PER_UNIT = 4
# Claims that work beyond a guarantee may make for one occurrence of a step.
MAX_CLAIMS = 3


@attrs.frozen(eq=False)
class _GangPlacement:
    """Upstreams for all members of a gang, and the predicted run time there."""

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
        """Return the starts and preemptions of this moment; see `WorkloadPolicy`."""
        free_capacity = FreeCapacity(fleet)
        plan = Plan()
        reservations = 0
        ranked = sorted(units, key=lambda one: self._rank(one, fleet))
        guaranteed = [unit for unit in ranked if unit.is_guaranteed]
        others = [unit for unit in ranked if not unit.is_guaranteed]
        for group in (guaranteed, others):
            # Guaranteed work may use capacity that is claimed for other work.
            for unit in group:
                self._hold_claimed(unit, free_capacity, fleet, plan)
            for unit in group:
                if self._place_or_claim(unit, free_capacity, fleet, plan):
                    continue
                if unit.spec.gang and reservations < self._terms.max_reservations:
                    reservations += 1
                    self._reserve(unit, free_capacity, fleet)
        return plan

    def _place_or_claim(
        self, unit: PlanUnit, free_capacity: FreeCapacity, fleet: FleetView, plan: Plan
    ) -> bool:
        """Place a unit or claim capacity; return False if neither is possible."""
        claim = fleet.preemption.open_claims.get(unit.step_key)
        if claim is not None:
            self._place_claimed(unit, claim, free_capacity, fleet, plan)
            return True
        if self._claim_faster(unit, free_capacity, fleet, plan):
            plan.blocked.append(unit)
            return True
        left = self._place(unit, free_capacity, fleet, plan)
        if not left:
            return True
        rest = attrs.evolve(unit, indexes=left)
        if self._claim_for(rest, free_capacity, fleet, plan):
            plan.blocked.append(unit)
            return True
        if not unit.is_guaranteed:
            plan.blocked.append(unit)
            return False
        # An upstream that may fail the work is better than none within the bound.
        free_capacity.allow_probation(unit)
        left = self._place(rest, free_capacity, fleet, plan)
        if not left:
            return True
        plan.blocked.append(unit)
        rest = attrs.evolve(unit, indexes=left)
        return self._claim_for(rest, free_capacity, fleet, plan)

    def _claim_for(
        self, unit: PlanUnit, free_capacity: FreeCapacity, fleet: FleetView, plan: Plan
    ) -> bool:
        """Claim capacity for work that does not fit; return False if it can't."""
        if not self._may_preempt(unit, fleet):
            return False
        sessions = self._list_candidates(unit, free_capacity, fleet)
        on_time = self._filter_on_time(unit, sessions, fleet)
        if self._claim(unit, ClaimCause.LATE, on_time, free_capacity, fleet, plan):
            return True
        cause = ClaimCause.GUARANTEED if unit.is_guaranteed else ClaimCause.NO_ROOM
        return self._claim(unit, cause, sessions, free_capacity, fleet, plan)

    def _reserve(
        self, unit: PlanUnit, free_capacity: FreeCapacity, fleet: FleetView
    ) -> None:
        sessions = self._list_candidates(unit, free_capacity, fleet)
        groups = [group for group, _ in self._list_groups(unit, sessions)]
        reserve_upstreams(unit, groups, free_capacity, fleet)

    def _rank(self, unit: PlanUnit, fleet: FleetView) -> tuple:
        """Return the sort key: guarantee, then hard deadline, then priority.

        Among equals, small work goes first, as callers value the first core seconds of
        a workload most. Size is scaled by the remaining slack, so that large work does
        not starve.
        """
        end_s = fleet.find_waited_s(unit) + unit.critical_path_s
        is_late = end_s > unit.objective_s
        slack_share = max(1.0 - end_s / unit.objective_s, 0.0)
        return (
            not unit.is_guaranteed,
            fleet.misses_hard_deadline(unit),
            unit.queue.priority,
            is_late,
            slack_share * fleet.predict_cores_s(unit),
            unit.arrival_s + unit.objective_s,
            unit.estimate_key,
            unit.occurrence,
        )

    # Placement

    def _place(
        self, unit: PlanUnit, free_capacity: FreeCapacity, fleet: FleetView, plan: Plan
    ) -> tuple[int, ...]:
        """Place the tasks that fit; return the others."""
        return self._start(
            unit, self._choose(unit, free_capacity, fleet), free_capacity, plan
        )

    def _start(
        self,
        unit: PlanUnit,
        chosen: Iterable[UpstreamSession],
        free_capacity: FreeCapacity,
        plan: Plan,
    ) -> tuple[int, ...]:
        chosen = tuple(chosen)
        for index, session in zip(unit.indexes, chosen, strict=False):
            plan.placements.append(Placement(unit, index, session))
            free_capacity.take(unit, session)
        return unit.indexes[len(chosen) :]

    def _choose(
        self, unit: PlanUnit, free_capacity: FreeCapacity, fleet: FleetView
    ) -> tuple[UpstreamSession, ...]:
        """Return an upstream for each task that fits now."""
        if free_capacity.is_full_for(unit.spec.reserved):
            return ()
        sessions = [
            session
            for session in self._list_candidates(unit, free_capacity, fleet)
            if free_capacity.count_fitting(unit, session, 1)
        ]
        if not unit.spec.gang:
            return tuple(self._choose_independent(unit, sessions, free_capacity, fleet))
        option = self._choose_for_gang(unit, sessions, free_capacity, fleet)
        return option.sessions if option else ()

    def _claim_faster(
        self, unit: PlanUnit, free_capacity: FreeCapacity, fleet: FleetView, plan: Plan
    ) -> bool:
        """Preempt for urgent work that would be late on the free upstreams."""
        if not self._may_preempt(unit, fleet):
            return False
        if fleet.find_waited_s(unit) > self._find_optional_wait_s(fleet):
            return False
        chosen = self._choose(unit, free_capacity, fleet)
        if len(self._filter_on_time(unit, chosen, fleet)) == len(chosen):
            return False
        candidates = self._list_candidates(unit, free_capacity, fleet)
        sessions = self._filter_on_time(unit, candidates, fleet)
        cause = ClaimCause.LATE
        return self._claim(unit, cause, sessions, free_capacity, fleet, plan)

    def _filter_on_time(
        self, unit: PlanUnit, sessions: Iterable[UpstreamSession], fleet: FleetView
    ) -> list[UpstreamSession]:
        """Return the upstreams on which a unit meets its objective."""
        max_run_s = self._find_max_run_s(unit, fleet)
        return [one for one in sessions if fleet.predict_run_s(unit, one) <= max_run_s]

    def _list_candidates(
        self, unit: PlanUnit, free_capacity: FreeCapacity, fleet: FleetView
    ) -> list[UpstreamSession]:
        suitable = [one for one in free_capacity.sessions if _is_suitable(unit, one)]
        healthy = [
            one
            for one in suitable
            if one.upstream_id not in unit.avoided
            and not (unit.is_last_attempt and fleet.health[one.upstream_id].is_suspect)
        ]
        return healthy or suitable

    def _is_suspect(self, session: UpstreamSession, fleet: FleetView) -> bool:
        """Return whether the last run there failed or the last start was refused."""
        health = fleet.health[session.upstream_id]
        return health.is_suspect or session.refused_all_count > 0

    def _order(
        self,
        unit: PlanUnit,
        sessions: Iterable[UpstreamSession],
        free_capacity: FreeCapacity,
        fleet: FleetView,
    ) -> list[UpstreamSession]:
        """Sort upstreams by preference of a unit.

        Urgent work prefers fast ones. Other work leaves these free and prefers the
        slowest on which it is on time. Ties go to the fullest upstream.
        """
        max_run_s = self._find_max_run_s(unit, fleet)

        def rank(session: UpstreamSession) -> tuple:
            speed = fleet.estimates.find_speed(session.upstream_id)
            speed_step = round(speed * SPEED_STEPS_PER_UNIT)
            prefers_slow = (
                unit.queue.priority > 0
                and fleet.predict_run_s(unit, session) <= max_run_s
            )
            free = free_capacity.find_free(session)
            is_remote = bool(
                unit.spec.preferred_rack
                and unit.spec.preferred_rack != session.record.rack
            )
            return (
                is_remote,
                self._is_suspect(session, fleet),
                not prefers_slow,
                speed_step if prefers_slow else -speed_step,
                free.find_dominant_share(session.record.capacity),
                session.upstream_id,
            )

        return sorted(sessions, key=rank)

    def _find_max_run_s(self, unit: PlanUnit, fleet: FleetView) -> float:
        """Return the longest run time with which a unit meets its objective."""
        later_s = unit.critical_path_s - fleet.predict_work_s(unit)
        target_s = unit.objective_s * self._terms.objective_share
        return target_s - fleet.find_waited_s(unit) - later_s

    def _choose_independent(
        self,
        unit: PlanUnit,
        sessions: list[UpstreamSession],
        free_capacity: FreeCapacity,
        fleet: FleetView,
    ) -> list[UpstreamSession]:
        ordered = [
            session
            for session in self._order(unit, sessions, free_capacity, fleet)
            if self._is_locality_acceptable(unit, session, free_capacity, fleet)
        ]
        chosen = self._choose_probes(unit, ordered, free_capacity, fleet)
        probes = Counter(session.upstream_id for session in chosen)
        for session in ordered:
            wanted = len(unit.indexes) - len(chosen)
            if not wanted:
                break
            taken = probes[session.upstream_id]
            fitting = free_capacity.count_fitting(unit, session, wanted + taken) - taken
            chosen += [session] * max(fitting, 0)
        return chosen

    def _choose_probes(
        self,
        unit: PlanUnit,
        sessions: list[UpstreamSession],
        free_capacity: FreeCapacity,
        fleet: FleetView,
    ) -> list[UpstreamSession]:
        """Return upstreams of unknown speed, for one task each.

        Tasks of one step need similar work, so their run times show the relative speeds
        of their upstreams. Urgent work takes no part, as a probe may be slow.
        """
        if unit.queue.priority == 0:
            return []
        unknown = [
            session
            for session in sessions
            if not fleet.estimates.is_speed_known(session.upstream_id)
            and not any(self._measures_speed(view) for view in session.runs.values())
            and free_capacity.count_fitting(unit, session, 1)
        ]
        return unknown[: len(unit.indexes)]

    def _measures_speed(self, view: RunView) -> bool:
        return not view.observed and not view.spec.gang and not view.spec.long_running

    def _is_locality_acceptable(
        self,
        unit: PlanUnit,
        session: UpstreamSession,
        free_capacity: FreeCapacity,
        fleet: FleetView,
    ) -> bool:
        """Return whether an upstream is near the data, or waiting for one is over."""
        rack = unit.spec.preferred_rack
        if not rack or rack == session.record.rack:
            return True
        return self._may_be_remote(unit, free_capacity, fleet)

    def _may_be_remote(
        self, unit: PlanUnit, free_capacity: FreeCapacity, fleet: FleetView
    ) -> bool:
        """Return whether a unit may run away from its data or spread over racks."""
        max_wait_s = self._terms.locality_wait_factor * fleet.predict_work_s(unit)
        if unit.is_guaranteed:
            max_wait_s = min(max_wait_s, self._find_optional_wait_s(fleet))
        if fleet.find_waited_s(unit) > max_wait_s:
            return True
        candidates = self._list_candidates(unit, free_capacity, fleet)
        return not free_capacity.can_be_local(unit, candidates)

    def _find_optional_wait_s(self, fleet: FleetView) -> float:
        """Return how long work may wait for a better place than a free one."""
        return self._terms.optional_wait_share * fleet.guaranteed_start_s

    def _choose_for_gang(
        self,
        unit: PlanUnit,
        sessions: list[UpstreamSession],
        free_capacity: FreeCapacity,
        fleet: FleetView,
    ) -> _GangPlacement | None:
        """Return the fastest set of upstreams that fits a whole gang."""
        options = [
            option
            for group, is_spread in self._list_groups(unit, sessions)
            if (option := self._fit_gang(unit, group, is_spread, free_capacity, fleet))
        ]
        if not options:
            return None
        best = min(options, key=lambda option: option.run_s)
        if best.is_remote and not self._may_be_remote(unit, free_capacity, fleet):
            return None
        return best

    def _list_groups(
        self, unit: PlanUnit, sessions: list[UpstreamSession]
    ) -> list[tuple[list[UpstreamSession], bool]]:
        """Return candidate sets of upstreams, and whether each may span racks."""
        if not (unit.spec.same_rack or unit.spec.preferred_rack):
            return [(sessions, False)]
        by_rack: dict[str, list[UpstreamSession]] = {}
        for session in sessions:
            by_rack.setdefault(session.record.rack, []).append(session)
        groups = [(group, False) for group in by_rack.values()]
        return [*groups, (sessions, unit.spec.same_rack)]

    def _fit_gang(
        self,
        unit: PlanUnit,
        group: list[UpstreamSession],
        is_spread: bool,
        free_capacity: FreeCapacity,
        fleet: FleetView,
    ) -> _GangPlacement | None:
        chosen: list[UpstreamSession] = []
        for session in self._order(unit, group, free_capacity, fleet):
            wanted = len(unit.indexes) - len(chosen)
            if not wanted:
                break
            chosen += [session] * free_capacity.count_fitting(unit, session, wanted)
        if len(chosen) < len(unit.indexes):
            return None
        run_s = max(fleet.predict_run_s(unit, session) for session in chosen)
        racks = {session.record.rack for session in chosen}
        is_spread = is_spread and len(racks) > 1
        if is_spread:
            run_s *= fleet.remote_factor
        preferred = unit.spec.preferred_rack
        is_remote = is_spread or bool(preferred and racks != {preferred})
        return _GangPlacement(run_s, is_remote, tuple(chosen))

    # Preemption

    def _hold_claimed(
        self, unit: PlanUnit, free_capacity: FreeCapacity, fleet: FleetView, plan: Plan
    ) -> None:
        """Withhold the capacity that is claimed for a unit from other units."""
        claim = fleet.preemption.open_claims.get(unit.step_key)
        if claim is None:
            return
        placed = Counter(
            placement.session.upstream_id
            for placement in plan.placements
            if placement.unit.step_key == unit.step_key
        )
        free_capacity.hold(claim, placed, len(unit.indexes) - placed.total())

    def _place_claimed(
        self,
        unit: PlanUnit,
        claim: CapacityClaim,
        free_capacity: FreeCapacity,
        fleet: FleetView,
        plan: Plan,
    ) -> None:
        """Place a unit, but not on upstreams slower than all claimed ones."""
        free_capacity.release(unit)
        if unit.is_guaranteed:
            free_capacity.allow_probation(unit)
        run_times_s = (
            fleet.predict_run_s(unit, session)
            for session in free_capacity.sessions
            if session.upstream_id in claim.tasks
        )
        slowest_s = max(run_times_s, default=math.inf)
        chosen = self._choose(unit, free_capacity, fleet)
        kept = [one for one in chosen if fleet.predict_run_s(unit, one) <= slowest_s]
        if unit.spec.gang and len(kept) < len(unit.indexes):
            kept = []
        if self._start(unit, kept, free_capacity, plan):
            plan.blocked.append(unit)
            self._hold_claimed(unit, free_capacity, fleet, plan)

    def _may_preempt(self, unit: PlanUnit, fleet: FleetView) -> bool:
        """Return whether a unit may preempt runs of lower priority.

        Urgent work past its hard deadline ranks behind timely work of any priority,
        which would take the freed capacity and be preempted again. Work beyond a
        guarantee that has made `MAX_CLAIMS` claims has to wait for free capacity.
        """
        if unit.queue.priority > 0 or not unit.may_claim:
            return False
        if unit.is_guaranteed:
            return True
        claims = fleet.preemption.claims[unit.step_key]
        return claims < MAX_CLAIMS and not fleet.misses_hard_deadline(unit)

    def _claim(
        self,
        unit: PlanUnit,
        cause: ClaimCause,
        candidates: list[UpstreamSession],
        free_capacity: FreeCapacity,
        fleet: FleetView,
        plan: Plan,
    ) -> bool:
        """Claim capacity for urgent work unless preemption would lose too much work."""
        sessions = [one for one in candidates if free_capacity.is_proven_for(unit, one)]
        terms = EvictionTerms(
            may_be_remote=self._may_be_remote(unit, free_capacity, fleet),
            reclaims=cause is ClaimCause.GUARANTEED,
        )
        count = len(unit.indexes)
        found = find_evictions(unit, count, sessions, free_capacity, fleet, terms)
        if found is None:
            return False
        work_cores_s = fleet.predict_cores_s(unit)
        if cause is not ClaimCause.GUARANTEED and (
            found.lost_cores_s > self._terms.eviction_factor * work_cores_s
        ):
            return False
        for session in sessions:
            if found.allocations[session.upstream_id]:
                count = found.allocations[session.upstream_id]
                free_capacity.take(unit, session, count)
        plan.evictions += found.evictions
        plan.claims.append(
            CapacityClaim(
                unit=unit,
                cause=cause,
                tasks=dict(found.allocations),
                misses_hard_deadline=fleet.misses_hard_deadline(unit),
                work_cores_s=work_cores_s,
                lost_cores_s=found.lost_cores_s,
                victims=len(found.evictions),
            )
        )
        return True

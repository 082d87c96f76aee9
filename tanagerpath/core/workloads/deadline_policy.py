"""Policy that keeps fast upstreams for urgent work and meets objectives elsewhere."""

import math
from collections import Counter
from collections.abc import Iterable

import attrs

from tanagerpath.core.workloads.deadline_terms import DeadlineTerms
from tanagerpath.core.workloads.evictions import EvictionTerms
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
from tanagerpath.core.workloads.sessions import UpstreamSession
from tanagerpath.core.workloads.upstream_choice import UpstreamChooser

__all__ = ["DeadlinePolicy"]

# Claims that work beyond a guarantee may make for one occurrence of a step.
MAX_CLAIMS = 3


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
        chooser = UpstreamChooser(self._terms, fleet, FreeCapacity(fleet))
        plan = Plan()
        reservations = 0
        ranked = self.rank(units, fleet)
        guaranteed = [unit for unit in ranked if unit.is_guaranteed]
        others = [unit for unit in ranked if not unit.is_guaranteed]
        for group in (guaranteed, others):
            # Guaranteed work may use capacity that is claimed for other work.
            for unit in group:
                self._hold_claimed(unit, chooser, plan)
            for unit in group:
                if self._place_or_claim(unit, chooser, plan):
                    continue
                if unit.spec.gang and reservations < self._terms.max_reservations:
                    reservations += 1
                    self._reserve(unit, chooser, plan)
        return plan

    def rank(self, units: list[PlanUnit], fleet: FleetView) -> list[PlanUnit]:
        """Return units in the order in which a plan places them."""
        return sorted(units, key=lambda one: self._rank(one, fleet))

    def _place_or_claim(
        self, unit: PlanUnit, chooser: UpstreamChooser, plan: Plan
    ) -> bool:
        """Place a unit or claim capacity; return False if neither is possible."""
        claim = chooser.fleet.preemption.open_claims.get(unit.step_key)
        if claim is not None:
            self._place_claimed(unit, claim, chooser, plan)
            return True
        if self._claim_faster(unit, chooser, plan):
            plan.blocked.append(unit)
            return True
        left = self._place(unit, chooser, plan)
        if not left:
            return True
        rest = attrs.evolve(unit, indexes=left)
        if self._claim_for(rest, chooser, plan):
            plan.blocked.append(unit)
            return True
        if not unit.is_guaranteed:
            plan.blocked.append(unit)
            return False
        # An upstream that may fail the work is better than none within the bound.
        chooser.free_capacity.allow_probation(unit)
        left = self._place(rest, chooser, plan)
        if not left:
            return True
        plan.blocked.append(unit)
        rest = attrs.evolve(unit, indexes=left)
        return self._claim_for(rest, chooser, plan)

    def _claim_for(self, unit: PlanUnit, chooser: UpstreamChooser, plan: Plan) -> bool:
        """Claim capacity for work that does not fit; return False if it can't."""
        if not self._may_preempt(unit, chooser.fleet):
            return False
        sessions = chooser.list_candidates(unit)
        on_time = chooser.filter_on_time(unit, sessions)
        if self._claim(unit, ClaimCause.LATE, on_time, chooser, plan):
            return True
        cause = ClaimCause.GUARANTEED if unit.is_guaranteed else ClaimCause.NO_ROOM
        return self._claim(unit, cause, sessions, chooser, plan)

    def _reserve(self, unit: PlanUnit, chooser: UpstreamChooser, plan: Plan) -> None:
        sessions = chooser.list_candidates(unit)
        groups = chooser.list_allowed_groups(unit, sessions)
        reservation = reserve_upstreams(
            unit, groups, chooser.free_capacity, chooser.fleet
        )
        if reservation is not None:
            plan.reservations.append(reservation)

    def _rank(self, unit: PlanUnit, fleet: FleetView) -> tuple:
        """Return the sort key: guarantee, then hard deadline, then priority.

        Among equals, small work goes first, as callers value the first core seconds of
        a workload most. Size is scaled by the remaining slack, so that large work does
        not starve.
        """
        end_s = fleet.find_waited_s(unit) + unit.critical_path_s
        is_late = end_s > unit.objective_s
        # A queue may have an objective of 0 s, which leaves its work no slack.
        slack_share = 0.0
        if unit.objective_s > 0.0:
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
        self, unit: PlanUnit, chooser: UpstreamChooser, plan: Plan
    ) -> tuple[int, ...]:
        """Place the tasks that fit; return the others."""
        return self._start(unit, chooser.choose(unit), chooser.free_capacity, plan)

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

    def _claim_faster(
        self, unit: PlanUnit, chooser: UpstreamChooser, plan: Plan
    ) -> bool:
        """Preempt for urgent work that would be late on the free upstreams."""
        if not self._may_preempt(unit, chooser.fleet):
            return False
        if chooser.fleet.find_waited_s(unit) > chooser.find_optional_wait_s():
            return False
        chosen = chooser.choose(unit)
        if len(chooser.filter_on_time(unit, chosen)) == len(chosen):
            return False
        candidates = chooser.list_candidates(unit)
        sessions = chooser.filter_on_time(unit, candidates)
        cause = ClaimCause.LATE
        return self._claim(unit, cause, sessions, chooser, plan)

    # Preemption

    def _hold_claimed(
        self, unit: PlanUnit, chooser: UpstreamChooser, plan: Plan
    ) -> None:
        """Withhold the capacity that is claimed for a unit from other units."""
        claim = chooser.fleet.preemption.open_claims.get(unit.step_key)
        if claim is None:
            return
        placed = Counter(
            placement.session.upstream_id
            for placement in plan.placements
            if placement.unit.step_key == unit.step_key
        )
        chooser.free_capacity.hold(claim, placed, len(unit.indexes) - placed.total())

    def _place_claimed(
        self,
        unit: PlanUnit,
        claim: CapacityClaim,
        chooser: UpstreamChooser,
        plan: Plan,
    ) -> None:
        """Place a unit, but not on upstreams slower than all claimed ones."""
        chooser.free_capacity.release(unit)
        if unit.is_guaranteed:
            chooser.free_capacity.allow_probation(unit)
        run_times_s = (
            chooser.fleet.predict_run_s(unit, session)
            for session in chooser.free_capacity.sessions
            if session.upstream_id in claim.tasks
        )
        slowest_s = max(run_times_s, default=math.inf)
        chosen = chooser.choose(unit)
        kept = [
            one for one in chosen if chooser.fleet.predict_run_s(unit, one) <= slowest_s
        ]
        if unit.spec.gang and len(kept) < len(unit.indexes):
            kept = []
        if self._start(unit, kept, chooser.free_capacity, plan):
            plan.blocked.append(unit)
            self._hold_claimed(unit, chooser, plan)

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
        chooser: UpstreamChooser,
        plan: Plan,
    ) -> bool:
        """Claim capacity for urgent work unless preemption would lose too much work."""
        sessions = [
            one for one in candidates if chooser.free_capacity.is_proven_for(unit, one)
        ]
        terms = EvictionTerms(
            may_be_remote=chooser.may_be_remote(unit),
            reclaims=cause is ClaimCause.GUARANTEED,
        )
        count = len(unit.indexes)
        found = chooser.evictions.find(unit, count, sessions, terms)
        if found is None:
            return False
        work_cores_s = chooser.fleet.predict_cores_s(unit)
        if cause is not ClaimCause.GUARANTEED and (
            found.lost_cores_s > self._terms.eviction_factor * work_cores_s
        ):
            return False
        for session in sessions:
            if found.allocations[session.upstream_id]:
                count = found.allocations[session.upstream_id]
                chooser.free_capacity.take(unit, session, count)
        for eviction in found.evictions:
            chooser.free_capacity.stop(eviction.session, eviction.view)
        plan.evictions += found.evictions
        plan.claims.append(
            CapacityClaim(
                unit=unit,
                cause=cause,
                tasks=dict(found.allocations),
                misses_hard_deadline=chooser.fleet.misses_hard_deadline(unit),
                work_cores_s=work_cores_s,
                lost_cores_s=found.lost_cores_s,
                victims=len(found.evictions),
            )
        )
        return True

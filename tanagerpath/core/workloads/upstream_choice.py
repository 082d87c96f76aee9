"""Choice of the upstreams on which the tasks of a unit start."""

from collections import Counter
from collections.abc import Iterable

import attrs

from tanagerpath.core.workloads.deadline_terms import DeadlineTerms
from tanagerpath.core.workloads.evictions import EvictionFinder
from tanagerpath.core.workloads.free_capacity import FreeCapacity
from tanagerpath.core.workloads.policy import FleetView, PlanUnit
from tanagerpath.core.workloads.runs import RunView
from tanagerpath.core.workloads.sessions import UpstreamSession

__all__ = ["UpstreamChooser"]

# Rounds speeds, so that tasks are packed on similar upstreams before they spread.
SPEED_STEPS_PER_UNIT = 4


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


class UpstreamChooser:
    """Chooses upstreams for the units of one plan.

    Urgent work prefers fast upstreams; other work leaves these free and prefers the
    slowest on which it is on time.

    Parameters
    ----------
    terms : DeadlineTerms
        Settings.
    fleet : FleetView
        State of the upstreams before the plan.
    free_capacity : FreeCapacity
        Capacity that the plan has left.
    """

    def __init__(
        self, terms: DeadlineTerms, fleet: FleetView, free_capacity: FreeCapacity
    ) -> None:
        self._terms = terms
        self.fleet = fleet
        self.free_capacity = free_capacity
        self.evictions = EvictionFinder(free_capacity, fleet)

    def choose(self, unit: PlanUnit) -> tuple[UpstreamSession, ...]:
        """Return an upstream for each task that fits now."""
        if self.free_capacity.is_full_for(unit.spec.reserved):
            return ()
        sessions = [
            session
            for session in self.list_candidates(unit)
            if self.free_capacity.count_fitting(unit, session, 1)
        ]
        if not unit.spec.gang:
            return tuple(self._choose_independent(unit, sessions))
        option = self._choose_for_gang(unit, sessions)
        return option.sessions if option else ()

    def filter_on_time(
        self, unit: PlanUnit, sessions: Iterable[UpstreamSession]
    ) -> list[UpstreamSession]:
        """Return the upstreams on which a unit meets its objective."""
        max_run_s = self._find_max_run_s(unit)
        return [
            one for one in sessions if self.fleet.predict_run_s(unit, one) <= max_run_s
        ]

    def list_candidates(self, unit: PlanUnit) -> list[UpstreamSession]:
        """Return the upstreams that may run a unit, without regard to their load.

        Upstreams that are avoided are left out, unless the unit is overdue, or the unit
        or a whole gang would not fit on the others even if they were idle.
        """
        sessions = self.free_capacity.sessions
        if unit.is_overdue:
            sessions = [*sessions, *self.free_capacity.last_resort]
        suitable = [one for one in sessions if _is_suitable(unit, one)]
        if unit.is_overdue:
            return suitable
        healthy = [
            one
            for one in suitable
            if one.upstream_id not in unit.avoided
            and not (
                unit.is_last_attempt and self.fleet.health[one.upstream_id].is_suspect
            )
        ]
        if len(healthy) == len(suitable):
            return suitable
        return healthy if self.free_capacity.may_fit(unit, healthy) else suitable

    def _is_suspect(self, session: UpstreamSession) -> bool:
        """Return whether the last run there failed or the last start was refused."""
        health = self.fleet.health[session.upstream_id]
        return health.is_suspect or session.refused_all_count > 0

    def _order(
        self,
        unit: PlanUnit,
        sessions: Iterable[UpstreamSession],
    ) -> list[UpstreamSession]:
        """Sort upstreams by preference of a unit.

        Urgent work prefers fast ones. Other work leaves these free and prefers the
        slowest on which it is on time. Ties go to the fullest upstream.
        """
        max_run_s = self._find_max_run_s(unit)

        def rank(session: UpstreamSession) -> tuple:
            speed = self.fleet.estimates.find_speed(session.upstream_id)
            speed_step = round(speed * SPEED_STEPS_PER_UNIT)
            prefers_slow = (
                unit.queue.priority > 0
                and self.fleet.predict_run_s(unit, session) <= max_run_s
            )
            free = self.free_capacity.find_free(session)
            is_remote = bool(
                unit.spec.preferred_rack
                and unit.spec.preferred_rack != session.record.rack
            )
            health = self.fleet.health[session.upstream_id]
            return (
                health.is_quarantined(self.fleet.now_s),
                is_remote,
                self._is_suspect(session) or session.upstream_id in unit.avoided,
                not prefers_slow,
                speed_step if prefers_slow else -speed_step,
                free.find_dominant_share(session.record.capacity),
                session.upstream_id,
            )

        return sorted(sessions, key=rank)

    def _find_max_run_s(self, unit: PlanUnit) -> float:
        """Return the longest run time with which a unit meets its objective."""
        later_s = unit.critical_path_s - self.fleet.predict_work_s(unit)
        target_s = unit.objective_s * self._terms.objective_share
        return target_s - self.fleet.find_waited_s(unit) - later_s

    def _choose_independent(
        self,
        unit: PlanUnit,
        sessions: list[UpstreamSession],
    ) -> list[UpstreamSession]:
        rack = unit.spec.preferred_rack
        is_anywhere = not rack or self.may_be_remote(unit)
        ordered = [
            session
            for session in self._order(unit, sessions)
            if is_anywhere or session.record.rack == rack
        ]
        chosen = self._choose_probes(unit, ordered)
        probes = Counter(session.upstream_id for session in chosen)
        for session in ordered:
            wanted = len(unit.indexes) - len(chosen)
            if not wanted:
                break
            taken = probes[session.upstream_id]
            fitting = (
                self.free_capacity.count_fitting(unit, session, wanted + taken) - taken
            )
            chosen += [session] * max(fitting, 0)
        return chosen

    def _choose_probes(
        self,
        unit: PlanUnit,
        sessions: list[UpstreamSession],
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
            if not self.fleet.estimates.is_speed_known(session.upstream_id)
            and not any(self._measures_speed(view) for view in session.runs.values())
            and self.free_capacity.count_fitting(unit, session, 1)
        ]
        return unknown[: len(unit.indexes)]

    def _measures_speed(self, view: RunView) -> bool:
        return not view.observed and not view.spec.gang and not view.spec.long_running

    def may_be_remote(self, unit: PlanUnit) -> bool:
        """Return whether a unit may run away from its data or spread over racks."""
        if unit.is_overdue:
            return True
        max_wait_s = self._terms.locality_wait_factor * self.fleet.predict_work_s(unit)
        if unit.is_guaranteed:
            max_wait_s = min(max_wait_s, self.find_optional_wait_s())
        if self.fleet.find_waited_s(unit) > max_wait_s:
            return True
        candidates = self.list_candidates(unit)
        return not self.free_capacity.can_be_local(unit, candidates)

    def find_optional_wait_s(self) -> float:
        """Return how long work may wait for a better place than a free one."""
        return self._terms.optional_wait_share * self.fleet.guaranteed_start_s

    def _choose_for_gang(
        self,
        unit: PlanUnit,
        sessions: list[UpstreamSession],
    ) -> _GangPlacement | None:
        """Return the fastest set of upstreams that fits a whole gang."""
        options = [
            option
            for group, is_spread in self.list_groups(unit, sessions)
            if (option := self._fit_gang(unit, group, is_spread))
        ]
        if not options:
            return None
        best = min(options, key=lambda option: option.run_s)
        if best.is_remote and not self.may_be_remote(unit):
            return None
        return best

    def list_groups(
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

    def list_allowed_groups(
        self, unit: PlanUnit, sessions: list[UpstreamSession]
    ) -> list[list[UpstreamSession]]:
        """Return the sets of upstreams on which a gang would start now if it fitted."""
        groups = [group for group, _ in self.list_groups(unit, sessions)]
        if self.may_be_remote(unit):
            return groups
        preferred = unit.spec.preferred_rack
        if preferred:
            return [[one for one in sessions if one.record.rack == preferred]]
        # The last set spans all racks.
        return groups[:-1] if unit.spec.same_rack else groups

    def _fit_gang(
        self,
        unit: PlanUnit,
        group: list[UpstreamSession],
        is_spread: bool,
    ) -> _GangPlacement | None:
        chosen: list[UpstreamSession] = []
        for session in self._order(unit, group):
            wanted = len(unit.indexes) - len(chosen)
            if not wanted:
                break
            chosen += [session] * self.free_capacity.count_fitting(
                unit, session, wanted
            )
        if len(chosen) < len(unit.indexes):
            return None
        run_s = max(self.fleet.predict_run_s(unit, session) for session in chosen)
        racks = {session.record.rack for session in chosen}
        is_spread = is_spread and len(racks) > 1
        if is_spread:
            run_s *= self.fleet.remote_factor
        preferred = unit.spec.preferred_rack
        is_remote = is_spread or bool(preferred and racks != {preferred})
        return _GangPlacement(run_s, is_remote, tuple(chosen))

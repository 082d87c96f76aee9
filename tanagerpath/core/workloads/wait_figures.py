"""Figures on the upstreams that a waiting unit could use, by obstacle."""

from collections import Counter
from collections.abc import Iterable

import attrs

from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.health import UpstreamHealth
from tanagerpath.core.workloads.policy import (
    CapacityClaim,
    FleetView,
    PlanUnit,
    Reservation,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.sessions import UpstreamSession
from tanagerpath.core.workloads.wait_reasons import Obstacle, WaitReason

__all__ = ["FleetExaminer", "WaitFigures"]

# Reasons by the obstacle on upstreams that would probably refuse or fail a task.
_LIMITS = {
    Obstacle.WITHOUT_TICKET: WaitReason.NO_TICKETS,
    Obstacle.QUARANTINED: WaitReason.QUARANTINED,
    Obstacle.REFUSING: WaitReason.REFUSING,
    Obstacle.TASK_LIMIT: WaitReason.TASK_LIMIT,
}
# Reasons by the obstacle on upstreams that would take a task.
_PREFERENCES = {
    Obstacle.CLAIMED: WaitReason.CLAIMED_BY_OTHERS,
    Obstacle.ON_PROBATION: WaitReason.ON_PROBATION,
    Obstacle.AVOIDED: WaitReason.AVOIDED,
    Obstacle.RESERVED: WaitReason.RESERVED,
    Obstacle.OTHER_RACK: WaitReason.OTHER_RACK,
}
_NOT_SUITABLE = (Obstacle.EVACUATED, Obstacle.UNUSABLE, Obstacle.WITHOUT_LABEL)


@attrs.define(eq=False)
class WaitFigures:
    """What the upstreams of its pool offer to a unit.

    Attributes
    ----------
    wanted : int
        Tasks that must fit at the same time: all members of a gang, or one task.
    upstreams : Counter of Obstacle
        Upstreams by their first obstacle.
    members : Counter of Obstacle
        Tasks that fit into the free capacity, by what keeps them from it; at most
        `wanted` on each upstream.
    open_by_rack : Counter of str
        Tasks that fit without an obstacle, by rack.
    """

    wanted: int
    upstreams: Counter[Obstacle] = attrs.Factory(Counter)
    members: Counter[Obstacle] = attrs.Factory(Counter)
    open_by_rack: Counter[str] = attrs.Factory(Counter)

    def find_reason(self, needs_one_rack: bool) -> WaitReason:
        """Return why no task, or no gang, is placed.

        Parameters
        ----------
        needs_one_rack : bool
            Whether the tasks should all run in one rack.
        """
        if all(one in _NOT_SUITABLE for one in self.upstreams):
            return WaitReason.NO_USABLE_UPSTREAM
        if self.members.total() < self.wanted:
            return WaitReason.NO_CAPACITY
        if self.members[Obstacle.NONE] < self.wanted:
            return self._find_main_reason()
        if needs_one_rack and max(self.open_by_rack.values()) < self.wanted:
            return WaitReason.OTHER_RACK
        return WaitReason.NO_OBSTACLE

    def _find_main_reason(self) -> WaitReason:
        """Return the reason of the obstacle that keeps most tasks from free capacity.

        A preference is named before a limit if the work would fit without preferences.
        """
        limited = sum(self.members[obstacle] for obstacle in _LIMITS)
        would_fit = self.members.total() - limited >= self.wanted
        reasons = _PREFERENCES if would_fit else _LIMITS
        return reasons[max(reasons, key=lambda obstacle: self.members[obstacle])]

    def list_fields(self) -> dict[str, int]:
        """Return the fields of a log line."""
        fields = {
            f"upstreams_{obstacle}": self.upstreams[obstacle]
            for obstacle in Obstacle
            if self.upstreams[obstacle]
        }
        if self.wanted > 1:
            fields["members_fitting"] = self.members.total()
            fields["members_open"] = self.members[Obstacle.NONE]
        return fields


@attrs.frozen(eq=False)
class _Offer:
    """A usable upstream, its free capacity and its health."""

    session: UpstreamSession
    free: Resources
    health: UpstreamHealth


@attrs.define(eq=False)
class _PoolOffers:
    """The usable upstreams of a pool, and the number of others by obstacle."""

    usable: list[_Offer] = attrs.Factory(list)
    others: Counter[Obstacle] = attrs.Factory(Counter)


class FleetExaminer:
    """Finds the first obstacle between a unit and each upstream of its pool.

    It repeats the checks of the placement on a unit that a plan has not placed, so that
    plans need not keep their results for all units.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    claims : iterable of CapacityClaim
        Open claims of all units.
    fleet : FleetView
        Input of the policy.
    """

    def __init__(
        self,
        context: DispatchContext,
        claims: Iterable[CapacityClaim],
        fleet: FleetView,
    ) -> None:
        self._context = context
        self._claims = tuple(claims)
        self._fleet = fleet
        self._pools: dict[str, _PoolOffers] = {}
        for session in context.sessions.values():
            self._add_session(session)

    def _add_session(self, session: UpstreamSession) -> None:
        pool = self._pools.setdefault(session.record.pool, _PoolOffers())
        if session.evacuated_at_s is not None:
            pool.others[Obstacle.EVACUATED] += 1
        elif not session.is_usable:
            pool.others[Obstacle.UNUSABLE] += 1
        else:
            health = self._context.find_health(session.upstream_id)
            pool.usable.append(_Offer(session, session.free, health))

    def examine(
        self, unit: PlanUnit, reservations: Iterable[Reservation]
    ) -> WaitFigures:
        """Return the figures of a unit.

        Parameters
        ----------
        unit : PlanUnit
            A waiting unit.
        reservations : iterable of Reservation
            Those of the last plan that has tried to place it.
        """
        wanted = len(unit.indexes) if unit.spec.gang else 1
        figures = WaitFigures(wanted)
        others = [one for one in reservations if one.step_key != unit.step_key]
        held = self._find_held(unit)
        pool = self._pools.get(unit.queue.pool, _PoolOffers())
        figures.upstreams.update(pool.others)
        for offer in pool.usable:
            obstacle = _find_shortage(unit, offer)
            if obstacle is not None:
                figures.upstreams[obstacle] += 1
                continue
            obstacle = self._find_obstacle(unit, offer, held, others)
            _add_fitting(figures, unit, offer, obstacle)
        return figures

    def _find_obstacle(
        self,
        unit: PlanUnit,
        offer: _Offer,
        held: dict[str, Resources],
        reservations: list[Reservation],
    ) -> Obstacle:
        """Return what keeps a task from an upstream on which it fits."""
        spec, now_s = unit.spec, self._context.now_s
        session, health = offer.session, offer.health
        upstream_id = session.upstream_id
        if unit.tickets is not None and upstream_id not in unit.tickets:
            return Obstacle.WITHOUT_TICKET
        if health.is_quarantined(now_s) and (
            not unit.is_overdue or health.is_excluded(now_s)
        ):
            return Obstacle.QUARANTINED
        if session.would_refuse(spec.reserved, now_s):
            return Obstacle.REFUSING
        if upstream_id in held and not spec.reserved.fits(
            offer.free - held[upstream_id]
        ):
            return Obstacle.CLAIMED
        if (
            not unit.is_overdue
            and health.is_on_probation
            and _needs_proof(unit, session)
        ):
            return Obstacle.ON_PROBATION
        if not unit.is_overdue and _is_avoided(unit, offer):
            return Obstacle.AVOIDED
        if spec.max_per_upstream:
            taken = session.count_step_runs(unit.make_task_id(0))
            if taken >= spec.max_per_upstream:
                return Obstacle.TASK_LIMIT
        if unit.is_overdue:
            return Obstacle.NONE
        if spec.preferred_rack and spec.preferred_rack != session.record.rack:
            return Obstacle.OTHER_RACK
        if self._is_reserved(unit, session, reservations):
            return Obstacle.RESERVED
        return Obstacle.NONE

    def _is_reserved(
        self,
        unit: PlanUnit,
        session: UpstreamSession,
        reservations: list[Reservation],
    ) -> bool:
        """Return whether a task would use capacity that is reserved for a gang."""
        end_s = self._context.now_s + self._fleet.predict_run_s(unit, session)
        return any(
            end_s > one.from_s
            and session.upstream_id in one.spare
            and not unit.spec.reserved.fits(one.spare[session.upstream_id])
            for one in reservations
        )

    def _find_held(self, unit: PlanUnit) -> dict[str, Resources]:
        """Return by upstream what is withheld from a unit for claims of others."""
        held: dict[str, Resources] = {}
        for claim in self._claims:
            if claim.unit.step_key == unit.step_key:
                continue
            if unit.is_guaranteed and not claim.unit.is_guaranteed:
                continue
            for upstream_id, tasks in claim.tasks.items():
                for _ in range(tasks):
                    taken = held.get(upstream_id, Resources())
                    held[upstream_id] = taken + claim.unit.spec.reserved
        return held


def _is_avoided(unit: PlanUnit, offer: _Offer) -> bool:
    """Return whether failures keep a unit from an upstream."""
    is_risk = unit.is_last_attempt and offer.health.is_suspect
    return is_risk or offer.session.upstream_id in unit.avoided


def _find_shortage(unit: PlanUnit, offer: _Offer) -> Obstacle | None:
    """Return why a task does not fit on a usable upstream, None if it does."""
    spec, record = unit.spec, offer.session.record
    if spec.required_label and spec.required_label not in record.labels:
        return Obstacle.WITHOUT_LABEL
    if spec.reserved.fits(offer.free):
        return None
    if spec.reserved.fits(record.capacity):
        return Obstacle.FULL
    return Obstacle.TOO_SMALL


def _needs_proof(unit: PlanUnit, session: UpstreamSession) -> bool:
    """Return whether a unit waits until another run has tested an upstream.

    A single task is such a test if nothing else runs there, and guaranteed work does
    not wait for one.
    """
    if unit.is_guaranteed:
        return False
    return unit.spec.gang or bool(session.runs)


def _add_fitting(
    figures: WaitFigures, unit: PlanUnit, offer: _Offer, obstacle: Obstacle
) -> None:
    """Add an upstream into whose free capacity a task fits."""
    figures.upstreams[obstacle] += 1
    fitting = unit.spec.reserved.count_in(offer.free, figures.wanted)
    if obstacle is not Obstacle.NONE:
        figures.members[obstacle] += fitting
        return
    allowed = min(fitting, unit.spec.max_per_upstream or fitting)
    figures.members[Obstacle.TASK_LIMIT] += fitting - allowed
    figures.members[Obstacle.NONE] += allowed
    figures.open_by_rack[offer.session.record.rack] += allowed

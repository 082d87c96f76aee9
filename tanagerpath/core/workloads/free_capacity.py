"""Free capacity of the upstreams while a plan is made."""

from collections import Counter, defaultdict

import attrs

from tanagerpath.core.workloads.policy import CapacityClaim, FleetView, PlanUnit
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.run_index import IndexedRun
from tanagerpath.core.workloads.runs import RunPhase, RunView
from tanagerpath.core.workloads.sessions import UpstreamSession
from tanagerpath.core.workloads.specs import StepKey

__all__ = ["FreeCapacity", "FreeTime"]


@attrs.frozen
class FreeTime:
    """When an upstream has some capacity free.

    Attributes
    ----------
    at_s : float
        Time from which it is free, infinity for never.
    free : Resources
        All capacity that is free then.
    """

    at_s: float
    free: Resources


@attrs.define
class _Reservation:
    """Capacity of an upstream that is kept from a time on.

    Attributes
    ----------
    from_s : float
        Time from which it is kept.
    spare : Resources
        What is free beside it then.
    """

    from_s: float
    spare: Resources


class FreeCapacity:
    """Free capacity of each upstream, less what the plan has used so far.

    Parameters
    ----------
    fleet : FleetView
        Upstreams before the plan.

    Attributes
    ----------
    sessions : list of UpstreamSession
        Upstreams that may get new runs.
    last_resort : list of UpstreamSession
        Upstreams in quarantine that only overdue units may use.
    free_times : dict of (str, Resources) to FreeTime
        When upstreams have some capacity free, for reservations: runs and their
        predicted ends do not change while a plan is made.
    stopped_runs : dict of str to set of RunView
        Runs that the plan stops, by upstream.
    """

    def __init__(self, fleet: FleetView) -> None:
        self._fleet = fleet
        self._free: dict[str, Resources] = {}
        self._reservations: dict[str, _Reservation] = {}
        self._run_ends: dict[str, list[tuple[float, RunView]]] = {}
        self.free_times: dict[tuple[str, Resources], FreeTime] = {}
        self.stopped_runs: dict[str, set[RunView]] = {}
        self._ending_soon: dict[str, Resources] = {}
        self._gangs: dict[tuple[StepKey, int], list[IndexedRun]] | None = None
        self.sessions: list[UpstreamSession] = []
        self.last_resort: list[UpstreamSession] = []
        for session in fleet.sessions:
            health = fleet.health[session.upstream_id]
            if not session.is_usable or health.is_excluded(fleet.now_s):
                continue
            self._free[session.upstream_id] = session.free
            if health.is_quarantined(fleet.now_s):
                self.last_resort.append(session)
            else:
                self.sessions.append(session)
        self._planned: dict[tuple[str, StepKey], int] = {}
        self._full_for: set[Resources] = set()
        self._held: dict[StepKey, dict[str, int]] = {}
        self._may_probe: set[StepKey] = set()
        self._claimed: set[tuple[str, StepKey]] = set()

    def find_free(self, session: UpstreamSession) -> Resources:
        """Return the free capacity of an upstream."""
        return self._free[session.upstream_id]

    def find_free_soon(self, session: UpstreamSession) -> Resources:
        """Return what is free once the runs that stop have ended.

        This includes the runs that the plan stops.
        """
        upstream_id = session.upstream_id
        ending = self._ending_soon.get(upstream_id)
        if ending is None:
            ending = session.find_free_after_stops(self._fleet.now_s) - session.free
            self._ending_soon[upstream_id] = ending
        return self._free[upstream_id] + ending

    def stop(self, session: UpstreamSession, view: RunView) -> None:
        """Note that the plan stops a run, and all members of its gang."""
        for held_by, member in self.list_gang(view) or [(session, view)]:
            stopped = self.stopped_runs.setdefault(held_by.upstream_id, set())
            if member in stopped:
                continue
            stopped.add(member)
            if held_by.upstream_id in self._free:
                self.find_free_soon(held_by)
                self._ending_soon[held_by.upstream_id] += member.spec.reserved

    def list_gang(self, view: RunView) -> list[IndexedRun]:
        """Return the members of the gang of a run that hold capacity; else nothing."""
        if not view.spec.gang:
            return []
        if self._gangs is None:
            self._gangs = defaultdict(list)
            for session in self._fleet.sessions:
                for member in session.runs.values():
                    if member.spec.gang and member.phase is not RunPhase.STOPPING:
                        key = member.task.step_key, member.run
                        self._gangs[key].append((session, member))
        return self._gangs.get((view.task.step_key, view.run), [])

    def can_be_local(self, unit: PlanUnit, sessions: list[UpstreamSession]) -> bool:
        """Return whether a unit would fit near its data, or in one rack, if all ended.

        Parameters
        ----------
        unit : PlanUnit
            The unit.
        sessions : list of UpstreamSession
            Upstreams that may run it.
        """
        limit = unit.spec.max_per_upstream or len(unit.indexes)
        needed_each = unit.spec.reserved
        counts: dict[Resources, int] = {}
        by_rack: Counter[str] = Counter()
        for session in sessions:
            capacity = session.record.capacity
            if capacity not in counts:
                counts[capacity] = needed_each.count_in(capacity, limit)
            by_rack[session.record.rack] += counts[capacity]
        needed = len(unit.indexes) if unit.spec.gang else 1
        if unit.spec.preferred_rack:
            return by_rack[unit.spec.preferred_rack] >= needed
        return max(by_rack.values(), default=0) >= needed

    def may_fit(self, unit: PlanUnit, sessions: list[UpstreamSession]) -> bool:
        """Return whether a task, or a whole gang, would fit on idle upstreams."""
        needed = len(unit.indexes) if unit.spec.gang else 1
        limit = unit.spec.max_per_upstream or needed
        fitting = 0
        for session in sessions:
            fitting += unit.spec.reserved.count_in(session.record.capacity, limit)
            if fitting >= needed:
                return True
        return False

    def is_full_for(self, needed: Resources) -> bool:
        """Return whether a task fits on no upstream.

        A positive result is cached, as each waiting unit asks on a busy fleet: free
        capacity only shrinks while a plan is made, except by `release`.
        """
        if needed not in self._full_for:
            if any(needed.fits(free) for free in self._free.values()):
                return False
            self._full_for.add(needed)
        return True

    def take(self, unit: PlanUnit, session: UpstreamSession, count: int = 1) -> None:
        """Allocate capacity for tasks of a unit."""
        free = self._free[session.upstream_id]
        for _ in range(count):
            free = free - unit.spec.reserved
        self._free[session.upstream_id] = free
        self._take_spare(unit, session, count)
        key = (session.upstream_id, unit.step_key)
        self._planned[key] = self._planned.get(key, 0) + count

    def hold(self, claim: CapacityClaim, placed: dict[str, int], limit: int) -> None:
        """Withhold the capacity that is claimed for a unit.

        Parameters
        ----------
        claim : CapacityClaim
            The claim.
        placed : dict of str to int
            Number of tasks of the unit that this plan has placed, by upstream.
        limit : int
            Number of tasks of the unit that are not placed.
        """
        held = self._held[claim.unit.step_key] = {}
        for upstream_id, claimed in claim.tasks.items():
            if upstream_id not in self._free:
                continue
            count = min(max(claimed - placed.get(upstream_id, 0), 0), limit)
            limit -= count
            held[upstream_id] = count
            self._claimed.add((upstream_id, claim.unit.step_key))
            for _ in range(count):
                self._free[upstream_id] -= claim.unit.spec.reserved

    def release(self, unit: PlanUnit) -> None:
        """Give withheld capacity back, before the unit itself is placed."""
        self._full_for.clear()
        for upstream_id, count in self._held.pop(unit.step_key, {}).items():
            for _ in range(count):
                self._free[upstream_id] += unit.spec.reserved

    def reserve(
        self, session: UpstreamSession, from_s: float, spare: Resources
    ) -> None:
        """Reserve capacity of an upstream.

        Runs that end later may only take what is spare. Of several reservations the
        earliest and largest counts.

        Parameters
        ----------
        session : UpstreamSession
            The upstream.
        from_s : float
            Time from which the capacity is kept.
        spare : Resources
            What is free beside it then.
        """
        earlier = self._reservations.get(session.upstream_id)
        if earlier is not None:
            from_s = min(from_s, earlier.from_s)
            spare = spare.find_minimum(earlier.spare)
        self._reservations[session.upstream_id] = _Reservation(from_s, spare)

    def _take_spare(self, unit: PlanUnit, session: UpstreamSession, count: int) -> None:
        """Note that tasks of a unit use capacity beside a reservation."""
        reservation = self._find_conflict(unit, session)
        if reservation is not None:
            for _ in range(count):
                reservation.spare = reservation.spare - unit.spec.reserved

    def count_fitting(
        self, unit: PlanUnit, session: UpstreamSession, limit: int
    ) -> int:
        """Return how many tasks of a unit fit on an upstream, at most `limit`."""
        free = self.find_free(session)
        if not unit.spec.reserved.fits(free):
            return 0
        return unit.spec.reserved.count_in(free, self.limit_tasks(unit, session, limit))

    def limit_tasks(self, unit: PlanUnit, session: UpstreamSession, limit: int) -> int:
        """Return how many tasks of a unit may run there, apart from its capacity."""
        reservation = self._find_conflict(unit, session)
        if reservation is not None:
            limit = unit.spec.reserved.count_in(reservation.spare, limit)
        if session.would_refuse(unit.spec.reserved, self._fleet.now_s):
            return 0
        bound = unit.spec.max_per_upstream
        if bound:
            taken = session.count_step_runs(unit.make_task_id(0))
            taken += self._planned.get((session.upstream_id, unit.step_key), 0)
            limit = min(limit, max(bound - taken, 0))
        if not self.is_proven_for(unit, session):
            # A single run tests whether the upstream works again.
            limit = 0 if session.runs or unit.spec.gang else min(limit, 1)
        return limit

    def allow_probation(self, unit: PlanUnit) -> None:
        """Let a unit use upstreams on probation like others."""
        self._may_probe.add(unit.step_key)
        self._full_for.clear()

    def is_proven_for(self, unit: PlanUnit, session: UpstreamSession) -> bool:
        """Return whether a unit may use an upstream without a prior test."""
        if unit.is_overdue or unit.step_key in self._may_probe:
            return True
        return not self._fleet.health[session.upstream_id].is_on_probation

    def _find_conflict(
        self, unit: PlanUnit, session: UpstreamSession
    ) -> _Reservation | None:
        """Return the reservation that a task of the unit would outlast."""
        reservation = self._reservations.get(session.upstream_id)
        if reservation is None or unit.is_overdue:
            return None
        if (session.upstream_id, unit.step_key) in self._claimed:
            return None
        end_s = self._fleet.now_s + self._fleet.predict_run_s(unit, session)
        return reservation if end_s > reservation.from_s else None

    def list_run_ends(self, session: UpstreamSession) -> list[tuple[float, RunView]]:
        """Return the runs of an upstream with their predicted remaining seconds."""
        run_ends = self._run_ends.get(session.upstream_id)
        if run_ends is None:
            run_ends = [
                (self._fleet.predict_remaining_s(view, session), view)
                for view in session.runs.values()
            ]
            run_ends.sort(key=lambda end: end[0])
            self._run_ends[session.upstream_id] = run_ends
        return run_ends

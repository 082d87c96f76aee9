"""Room that a plan has left on each upstream."""

from tanagerpath.core.workloads.policy import FleetView, PlanUnit, RoomClaim
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.sessions import RunView, UpstreamSession
from tanagerpath.core.workloads.specs import StepKey

__all__ = ["PlanRooms"]


class PlanRooms:
    """Room that is left on each upstream while a plan is made.

    Parameters
    ----------
    fleet : FleetView
        Upstreams at the begin of the plan.
    """

    def __init__(self, fleet: FleetView) -> None:
        self._fleet = fleet
        self._rooms: dict[str, Resources] = {}
        self._free_until_s: dict[str, float] = {}
        self._ends: dict[str, list[tuple[float, RunView]]] = {}
        self.sessions: list[UpstreamSession] = []
        self._racks = {one.record.rack for one in fleet.sessions if one.is_usable}
        for session in fleet.sessions:
            health = fleet.health[session.upstream_id]
            if session.is_usable and not health.is_quarantined(fleet.now_s):
                self._rooms[session.upstream_id] = session.room
                self.sessions.append(session)
        self._planned: dict[tuple[str, StepKey], int] = {}
        self._full_for: set[Resources] = set()
        self._held: dict[StepKey, dict[str, int]] = {}
        self._claimed: set[tuple[str, StepKey]] = set()

    def find_room(self, session: UpstreamSession) -> Resources:
        """Return the room that is left."""
        return self._rooms[session.upstream_id]

    def has_rack(self, rack: str) -> bool:
        """Return whether a rack has an upstream that can be used."""
        return rack in self._racks

    def is_full_for(self, needed: Resources) -> bool:
        """Return whether no upstream has room for a task.

        Plans of a busy fleet ask this for each unit that waits. Room only shrinks
        while a plan is made, but for a release, so that a yes is remembered.
        """
        if needed not in self._full_for:
            if any(needed.fits(room) for room in self._rooms.values()):
                return False
            self._full_for.add(needed)
        return True

    def take(self, unit: PlanUnit, session: UpstreamSession, count: int = 1) -> None:
        """Take room for tasks of a unit."""
        room = self._rooms[session.upstream_id]
        for _ in range(count):
            room = room - unit.spec.reserved
        self._rooms[session.upstream_id] = room
        key = (session.upstream_id, unit.place)
        self._planned[key] = self._planned.get(key, 0) + count

    def hold(self, claim: RoomClaim, placed: dict[str, int], most: int) -> None:
        """Keep the room of a claim for its unit.

        Parameters
        ----------
        claim : RoomClaim
            The claim.
        placed : dict of str to int
            Tasks of the unit that this plan has placed, by upstream.
        most : int
            Tasks of the unit that still have no place.
        """
        held = self._held[claim.unit.place] = {}
        for upstream_id, claimed in claim.tasks.items():
            if upstream_id not in self._rooms:
                continue
            count = min(max(claimed - placed.get(upstream_id, 0), 0), most)
            most -= count
            held[upstream_id] = count
            self._claimed.add((upstream_id, claim.unit.place))
            for _ in range(count):
                self._rooms[upstream_id] -= claim.unit.spec.reserved

    def release(self, unit: PlanUnit) -> None:
        """Give the room that is held for a unit back, to place the unit itself."""
        self._full_for.clear()
        for upstream_id, count in self._held.pop(unit.place, {}).items():
            for _ in range(count):
                self._rooms[upstream_id] += unit.spec.reserved

    def reserve(self, session: UpstreamSession, until_s: float) -> None:
        """Keep an upstream free of runs that would last longer than an instant."""
        held = self._free_until_s.get(session.upstream_id, until_s)
        self._free_until_s[session.upstream_id] = min(held, until_s)

    def count_fitting(self, unit: PlanUnit, session: UpstreamSession, most: int) -> int:
        """Return how many tasks of a unit an upstream takes now, at most `most`."""
        room = self.find_room(session)
        if not unit.spec.reserved.fits(room):
            return 0
        return unit.spec.reserved.count_in(room, self.limit_tasks(unit, session, most))

    def limit_tasks(self, unit: PlanUnit, session: UpstreamSession, most: int) -> int:
        """Return how many tasks of a unit an upstream may take, whatever its room."""
        if self._is_kept_from(unit, session):
            return 0
        if session.refuses(unit.spec.reserved, self._fleet.now_s):
            return 0
        bound = unit.spec.max_per_upstream
        if bound:
            taken = session.count_step(unit.make_task_id(0))
            taken += self._planned.get((session.upstream_id, unit.place), 0)
            most = min(most, max(bound - taken, 0))
        health = self._fleet.health[session.upstream_id]
        if health.is_on_probation:
            # One run shows whether it works again.
            most = 0 if session.runs or unit.spec.gang else min(most, 1)
        return most

    def _is_kept_from(self, unit: PlanUnit, session: UpstreamSession) -> bool:
        """Return whether an upstream is reserved before the unit would have ended."""
        until_s = self._free_until_s.get(session.upstream_id)
        if until_s is None or (session.upstream_id, unit.place) in self._claimed:
            return False
        return self._fleet.now_s + self._fleet.predict_run_s(unit, session) > until_s

    def list_ends(self, session: UpstreamSession) -> list[tuple[float, RunView]]:
        """Return the runs of an upstream with the seconds that each goes on."""
        held = self._ends.get(session.upstream_id)
        if held is None:
            held = [
                (self._fleet.predict_left_s(view, session), view)
                for view in session.runs.values()
            ]
            held.sort(key=lambda end: end[0])
            self._ends[session.upstream_id] = held
        return held

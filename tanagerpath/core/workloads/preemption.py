"""Stops of runs that make room for urgent work, and what becomes of that room."""

import attrs

from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.policy import (
    Eviction,
    Placement,
    Plan,
    PlanUnit,
    PreemptionHistory,
    RoomClaim,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.run_driver import RunDriver
from tanagerpath.core.workloads.sessions import RunView, StopCause, UpstreamSession
from tanagerpath.core.workloads.specs import StepKey, TaskId

__all__ = ["Preemption"]

# A stop takes 0.1 to 0.4 s. Room that has not come by then is made elsewhere.
CLAIM_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class _ClaimLife:
    """What has become of an open claim so far."""

    claim: RoomClaim
    made_s: float
    until_s: float
    taken_on: set[str] = attrs.Factory(set)

    def loses_room(self, upstream_id: str, room: Resources) -> bool:
        """Return whether what is left on an upstream is too little, for the first time.

        Parameters
        ----------
        upstream_id : str
            The upstream.
        room : Resources
            What is left there once its stops have ended.
        """
        tasks = self.claim.tasks.get(upstream_id, 0)
        if not tasks or upstream_id in self.taken_on:
            return False
        return self.claim.unit.spec.reserved.count_in(room, tasks) < tasks


class Preemption:
    """Stops runs to make room, and keeps the room until it is used or comes too late.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    driver : RunDriver
        Stops runs.
    """

    def __init__(self, context: DispatchContext, driver: RunDriver) -> None:
        self._context = context
        self._driver = driver
        self._open: dict[StepKey, _ClaimLife] = {}
        self.history = PreemptionHistory()

    def close_lapsed(self, units: list[PlanUnit]) -> None:
        """Give up claims that came too late, or whose units no longer wait.

        Parameters
        ----------
        units : list of PlanUnit
            Everything that waits.
        """
        waiting = {unit.place for unit in units}
        for place, held in tuple(self._open.items()):
            if place not in waiting:
                self._close(place, "claimed room lapsed", "no longer waits")
            elif self._context.now_s >= held.until_s:
                self._close(place, "claimed room lapsed", "too late")
            elif not self._is_usable(held.claim):
                self._close(place, "claimed room lapsed", "upstream not usable")

    def _is_usable(self, claim: RoomClaim) -> bool:
        context = self._context
        for upstream_id in claim.tasks:
            session = context.sessions.get(upstream_id)
            if session is None or not session.is_usable:
                return False
            if context.find_health(upstream_id).is_quarantined(context.now_s):
                return False
            if session.refuses(claim.unit.spec.reserved, context.now_s):
                return False
        return True

    def carry_out(self, plan: Plan) -> None:
        """Stop what a plan evicts, and follow its claims."""
        self._follow_placements(plan)
        for claim in plan.claims:
            self._open_claim(claim)
        claims = {claim.unit.place: claim for claim in plan.claims}
        for eviction in plan.evictions:
            self._evict(eviction, claims[eviction.unit.place])

    def forget(self, workload_id: str) -> None:
        """Forget an ended workload."""
        history = self.history
        for task in [one for one in history.stops if one.workload_id == workload_id]:
            del history.stops[task]
        for place in [one for one in history.claims if one.workload_id == workload_id]:
            del history.claims[place]

    # Claims

    def _open_claim(self, claim: RoomClaim) -> None:
        place, now_s = claim.unit.place, self._context.now_s
        self._open[place] = _ClaimLife(claim, now_s, now_s + CLAIM_TIMEOUT_S)
        self.history.open_claims[place] = claim
        self.history.claims[place] += 1
        self._note_claim(claim)

    def _note_claim(self, claim: RoomClaim) -> None:
        unit = claim.unit
        self._context.log_decision(
            "room claimed",
            workload=unit.record.workload_id,
            step=unit.step,
            tasks=len(unit.indexes),
            gang=unit.spec.gang,
            cause=str(claim.cause),
            claims=self.history.claims[unit.place],
            priority=unit.queue.priority,
            useless=claim.is_useless,
            waited_s=round(self._context.now.unix_s - unit.begun_unix_s, 3),
            objective_s=round(unit.objective_s, 2),
            work_cores_s=round(claim.work_cores_s, 1),
            lost_cores_s=round(claim.lost_cores_s, 1),
            victims=claim.victims,
            upstreams=sorted(claim.tasks),
        )

    def _follow_placements(self, plan: Plan) -> None:
        rooms: dict[str, Resources] = {}
        blocked = {unit.place for unit in plan.blocked}
        for placement in plan.placements:
            unit, session = placement.unit, placement.session
            upstream_id = session.upstream_id
            room = rooms.get(upstream_id, session.room_with_stops)
            rooms[upstream_id] = room = room - unit.spec.reserved
            own = self._open.get(unit.place)
            if own is not None and unit.place not in blocked:
                self._close(unit.place, "claimed room used")
            elif own is not None and own.claim.tasks.get(upstream_id):
                own.claim.tasks[upstream_id] -= 1
            for held in self._open.values():
                if held is not own and held.loses_room(upstream_id, room):
                    held.taken_on.add(upstream_id)
                    self._note_taken(held.claim, placement)

    def _note_taken(self, claim: RoomClaim, placement: Placement) -> None:
        self._context.log_decision(
            "claimed room taken by another",
            workload=claim.unit.record.workload_id,
            upstream=placement.session.upstream_id,
            taker=placement.unit.record.workload_id,
            taker_priority=placement.unit.queue.priority,
            taker_guaranteed=placement.unit.is_guaranteed,
        )

    def _close(self, place: StepKey, name: str, reason: str = "") -> None:
        held = self._open.pop(place)
        del self.history.open_claims[place]
        self._context.log_decision(
            name,
            workload=place.workload_id,
            step=place.step,
            cause=str(held.claim.cause),
            reason=reason,
            claimed_s=round(self._context.now_s - held.made_s, 3),
            victims=held.claim.victims,
            lost_cores_s=round(held.claim.lost_cores_s, 1),
            taken_by_others=len(held.taken_on),
        )

    # Stops

    def _evict(self, eviction: Eviction, claim: RoomClaim) -> None:
        unit, view = eviction.unit, eviction.view
        reason = f"room for {unit.record.workload_id}"
        fields = {
            "claim": str(claim.cause),
            "claimant_useless": claim.is_useless,
            "claimant_waited_s": round(self._context.now.unix_s - unit.begun_unix_s, 3),
            "claimant_objective_s": round(unit.objective_s, 2),
            "claimant_cores_s": round(claim.work_cores_s, 1),
            "lost_cores_s": round(eviction.lost_cores_s, 1),
        }
        if not self._stop_for_room(eviction.session, view, reason, fields):
            return
        tasks = [view.task]
        if view.spec.gang:
            for session, member in self._list_gang(view.task, view.run):
                self._stop_for_room(session, member, reason, fields)
            tasks = [attrs.evolve(view.task, index=n) for n in range(view.spec.count)]
        # All members of a gang count the same stops, so that none exceeds the bound.
        stops = self.history.stops[view.task] + 1
        for task in tasks:
            self.history.stops[task] = stops

    def _stop_for_room(
        self,
        session: UpstreamSession,
        view: RunView,
        reason: str,
        fields: dict[str, object],
    ) -> bool:
        return self._driver.stop(
            session,
            view,
            reason,
            StopCause.ROOM,
            stopped_before=self.history.stops[view.task],
            **fields,
        )

    def stop_gang(self, task: TaskId, run: int, reason: str, cause: StopCause) -> None:
        """Stop all members of a run of a gang; does nothing for other tasks."""
        record = self._context.state.workloads.get(task.workload_id)
        if record is None or not record.spec.steps[task.step].gang:
            return
        for session, view in self._list_gang(task, run):
            self._driver.stop(session, view, reason, cause)

    def _list_gang(
        self, task: TaskId, run: int
    ) -> list[tuple[UpstreamSession, RunView]]:
        return [
            (session, view)
            for session, view in self.find_views(task.workload_id)
            if view.task.step_key == task.step_key and view.run == run
        ]

    def find_views(self, workload_id: str) -> list[tuple[UpstreamSession, RunView]]:
        """Return the open runs of a workload and where they are."""
        return [
            (session, view)
            for session in self._context.sessions.values()
            for view in session.runs.values()
            if view.task.workload_id == workload_id
        ]

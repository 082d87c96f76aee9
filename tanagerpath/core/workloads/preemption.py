"""Stops of runs that make room for urgent work, and what becomes of that room."""

from collections import Counter

import attrs

from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.policy import (
    Eviction,
    Placement,
    Plan,
    RoomClaim,
    StepPlace,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.run_driver import RunDriver
from tanagerpath.core.workloads.sessions import RunView, StopCause, UpstreamSession
from tanagerpath.core.workloads.specs import TaskId

__all__ = ["Preemption"]

# Room that no plan has claimed again for this long counts as given up.
CLAIM_LAPSE_S = 1.0


@attrs.define(eq=False)
class _OpenClaim:
    """A claim whose unit has not been placed, over all plans that repeat it."""

    claim: RoomClaim
    made_s: float
    renewed_s: float
    victims: int = 0
    lost_cores_s: float = 0.0
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
    """Stops runs to make room, and writes to the log who uses it.

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
        self._open: dict[StepPlace, _OpenClaim] = {}
        self._stops: Counter[TaskId] = Counter()

    def carry_out(self, plan: Plan) -> None:
        """Stop what a plan evicts, and follow its claims."""
        self._follow_placements(plan.placements)
        for claim in plan.claims:
            self._follow_claim(claim)
        claims = {claim.unit.place: claim for claim in plan.claims}
        for eviction in plan.evictions:
            self._evict(eviction, claims[eviction.unit.place])
        self._close_lapsed()

    def forget(self, workload_id: str) -> None:
        """Forget how often the tasks of an ended workload were stopped."""
        for task in [one for one in self._stops if one.workload_id == workload_id]:
            del self._stops[task]

    # Claims

    def _follow_claim(self, claim: RoomClaim) -> None:
        now_s = self._context.now_s
        held = self._open.get(claim.unit.place)
        if held is None:
            held = _OpenClaim(claim, now_s, now_s)
            self._open[claim.unit.place] = held
            self._note_claim(claim)
        held.claim = claim
        held.renewed_s = now_s
        held.victims += claim.victims
        held.lost_cores_s += claim.lost_cores_s

    def _note_claim(self, claim: RoomClaim) -> None:
        unit = claim.unit
        self._context.note(
            "room claimed",
            workload=unit.record.workload_id,
            step=unit.step,
            tasks=len(unit.indexes),
            gang=unit.spec.gang,
            cause=str(claim.cause),
            priority=unit.queue.priority,
            useless=claim.is_useless,
            waited_s=round(self._context.now.unix_s - unit.begun_unix_s, 3),
            objective_s=round(unit.objective_s, 2),
            work_cores_s=round(claim.work_cores_s, 1),
            lost_cores_s=round(claim.lost_cores_s, 1),
            victims=claim.victims,
            upstreams=sorted(claim.tasks),
        )

    def _follow_placements(self, placements: list[Placement]) -> None:
        rooms: dict[str, Resources] = {}
        for placement in placements:
            self._close(placement.unit.place, "claimed room used")
            session = placement.session
            room = rooms.get(session.upstream_id, session.room_with_stops)
            room = room - placement.unit.spec.reserved
            rooms[session.upstream_id] = room
            for held in self._open.values():
                if held.loses_room(session.upstream_id, room):
                    held.taken_on.add(session.upstream_id)
                    self._note_taken(held.claim, placement)

    def _note_taken(self, claim: RoomClaim, placement: Placement) -> None:
        self._context.note(
            "claimed room taken by another",
            workload=claim.unit.record.workload_id,
            upstream=placement.session.upstream_id,
            taker=placement.unit.record.workload_id,
            taker_priority=placement.unit.queue.priority,
            taker_guaranteed=placement.unit.is_guaranteed,
        )

    def _close_lapsed(self) -> None:
        given_up_s = self._context.now_s - CLAIM_LAPSE_S
        for place, held in tuple(self._open.items()):
            if held.renewed_s < given_up_s:
                self._close(place, "claimed room lapsed")

    def _close(self, place: StepPlace, name: str) -> None:
        held = self._open.pop(place, None)
        if held is None:
            return
        self._context.note(
            name,
            workload=place[0],
            step=place[2],
            cause=str(held.claim.cause),
            claimed_s=round(self._context.now_s - held.made_s, 3),
            victims=held.victims,
            lost_cores_s=round(held.lost_cores_s, 1),
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
        self._stop_for_room(eviction.session, view, reason, fields)
        if view.spec.gang:
            for session, member in self._list_gang(view.task, view.run):
                self._stop_for_room(session, member, reason, fields)

    def _stop_for_room(
        self,
        session: UpstreamSession,
        view: RunView,
        reason: str,
        fields: dict[str, object],
    ) -> None:
        stopped_before = self._stops[view.task]
        if self._driver.stop(
            session,
            view,
            reason,
            StopCause.ROOM,
            stopped_before=stopped_before,
            **fields,
        ):
            self._stops[view.task] = stopped_before + 1

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
        place = (task.occurrence, task.step, run)
        return [
            (session, view)
            for session, view in self.find_views(task.workload_id)
            if (view.task.occurrence, view.task.step, view.run) == place
        ]

    def find_views(self, workload_id: str) -> list[tuple[UpstreamSession, RunView]]:
        """Return the open runs of a workload and where they are."""
        return [
            (session, view)
            for session in self._context.sessions.values()
            for view in session.runs.values()
            if view.task.workload_id == workload_id
        ]

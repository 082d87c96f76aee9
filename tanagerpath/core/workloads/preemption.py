"""Preemption of runs for urgent work, and the claims on the freed capacity."""

import attrs

from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.policy import (
    CapacityClaim,
    Eviction,
    Placement,
    Plan,
    PlanUnit,
    PreemptionHistory,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.run_driver import RunDriver
from tanagerpath.core.workloads.runs import RunView, StopCause
from tanagerpath.core.workloads.sessions import UpstreamSession
from tanagerpath.core.workloads.specs import StepKey, TaskId

__all__ = ["Preemption"]

# A stop takes 0.1 to 0.4 s. A claim that is not met by then is made elsewhere.
CLAIM_TIMEOUT_S = 1.0
# Share of the time for a guaranteed start that one claim may take, so that a wait for a
# better place and two claims fit into it.
GUARANTEED_CLAIM_SHARE = 0.3


@attrs.define(eq=False)
class _OpenClaim:
    """An open claim, and the upstreams on which others took its capacity."""

    claim: CapacityClaim
    opened_s: float
    expires_s: float
    taken_on: set[str] = attrs.Factory(set)

    def loses_capacity(self, upstream_id: str, free: Resources) -> bool:
        """Return whether an upstream falls short of the claim for the first time.

        Parameters
        ----------
        upstream_id : str
            The upstream.
        free : Resources
            Free capacity there once the stopping runs have ended.
        """
        tasks = self.claim.tasks.get(upstream_id, 0)
        if not tasks or upstream_id in self.taken_on:
            return False
        return self.claim.unit.spec.reserved.count_in(free, tasks) < tasks


class Preemption:
    """Stops runs for claims, and tracks each claim until it is used or lapses.

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
        self._open: dict[StepKey, _OpenClaim] = {}
        self.history = PreemptionHistory()

    def close_lapsed(self, units: list[PlanUnit]) -> None:
        """Close claims that timed out or can't be met, or whose units no longer wait.

        Parameters
        ----------
        units : list of PlanUnit
            All waiting units.
        """
        waiting = {unit.step_key for unit in units}
        for step_key, open_claim in tuple(self._open.items()):
            if step_key not in waiting:
                self._close(step_key, "claimed room lapsed", "no longer waits")
            elif self._context.now_s >= open_claim.expires_s:
                self._close(step_key, "claimed room lapsed", "too late")
            elif not self._is_usable(open_claim.claim):
                self._close(step_key, "claimed room lapsed", "upstream not usable")
            elif not self._is_expected(open_claim.claim):
                self._close(step_key, "claimed room lapsed", "capacity not freed")

    def _is_usable(self, claim: CapacityClaim) -> bool:
        context = self._context
        for upstream_id in claim.tasks:
            session = context.sessions.get(upstream_id)
            if session is None or not session.is_usable:
                return False
            if context.find_health(upstream_id).is_quarantined(context.now_s):
                return False
            if session.would_refuse(claim.unit.spec.reserved, context.now_s):
                return False
        return True

    def _is_expected(self, claim: CapacityClaim) -> bool:
        """Return whether the claimed capacity is free or about to be."""
        context = self._context
        needed = claim.unit.spec.reserved
        return all(
            needed.count_in(
                context.sessions[upstream_id].find_free_after_stops(context.now_s),
                tasks,
            )
            >= tasks
            for upstream_id, tasks in claim.tasks.items()
        )

    def execute(self, plan: Plan) -> None:
        """Carry out the evictions of a plan, and track its claims."""
        self._track_placements(plan)
        for claim in plan.claims:
            self._open_claim(claim)
        claims = {claim.unit.step_key: claim for claim in plan.claims}
        for eviction in plan.evictions:
            self._evict(eviction, claims[eviction.unit.step_key])

    def forget(self, workload_id: str) -> None:
        """Delete the history of an ended workload."""
        history = self.history
        for task in [one for one in history.stops if one.workload_id == workload_id]:
            del history.stops[task]
        for step_key in [
            one for one in history.claims if one.workload_id == workload_id
        ]:
            del history.claims[step_key]

    # Claims

    def _open_claim(self, claim: CapacityClaim) -> None:
        step_key, now_s = claim.unit.step_key, self._context.now_s
        timeout_s = CLAIM_TIMEOUT_S
        if claim.unit.is_guaranteed:
            bound_s = self._context.terms.guaranteed_start_s
            timeout_s = min(timeout_s, GUARANTEED_CLAIM_SHARE * bound_s)
        self._open[step_key] = _OpenClaim(claim, now_s, now_s + timeout_s)
        self.history.open_claims[step_key] = claim
        self.history.claims[step_key] += 1
        self._log_claim(claim)

    def _log_claim(self, claim: CapacityClaim) -> None:
        unit = claim.unit
        self._context.log_decision(
            "room claimed",
            workload=unit.record.workload_id,
            step=unit.step,
            tasks=len(unit.indexes),
            gang=unit.spec.gang,
            cause=str(claim.cause),
            claims=self.history.claims[unit.step_key],
            priority=unit.queue.priority,
            useless=claim.misses_hard_deadline,
            waited_s=round(self._context.now_s - unit.arrival_s, 3),
            objective_s=round(unit.objective_s, 2),
            work_cores_s=round(claim.work_cores_s, 1),
            lost_cores_s=round(claim.lost_cores_s, 1),
            victims=claim.victims,
            upstreams=sorted(claim.tasks),
        )

    def _track_placements(self, plan: Plan) -> None:
        free_by_upstream: dict[str, Resources] = {}
        blocked = {unit.step_key for unit in plan.blocked}
        for placement in plan.placements:
            unit, session = placement.unit, placement.session
            upstream_id = session.upstream_id
            free = free_by_upstream.get(upstream_id)
            if free is None:
                free = session.find_free_after_stops(self._context.now_s)
            free_by_upstream[upstream_id] = free = free - unit.spec.reserved
            own = self._open.get(unit.step_key)
            if own is not None and unit.step_key not in blocked:
                self._close(unit.step_key, "claimed room used")
            elif own is not None and own.claim.tasks.get(upstream_id):
                own.claim.tasks[upstream_id] -= 1
            for open_claim in self._open.values():
                if open_claim is not own and open_claim.loses_capacity(
                    upstream_id, free
                ):
                    open_claim.taken_on.add(upstream_id)
                    self._log_taken(open_claim.claim, placement)

    def _log_taken(self, claim: CapacityClaim, placement: Placement) -> None:
        self._context.log_decision(
            "claimed room taken by another",
            workload=claim.unit.record.workload_id,
            upstream=placement.session.upstream_id,
            taker=placement.unit.record.workload_id,
            taker_priority=placement.unit.queue.priority,
            taker_guaranteed=placement.unit.is_guaranteed,
        )

    def _close(self, step_key: StepKey, name: str, reason: str = "") -> None:
        open_claim = self._open.pop(step_key)
        del self.history.open_claims[step_key]
        self._context.log_decision(
            name,
            workload=step_key.workload_id,
            step=step_key.step,
            cause=str(open_claim.claim.cause),
            reason=reason,
            claimed_s=round(self._context.now_s - open_claim.opened_s, 3),
            victims=open_claim.claim.victims,
            lost_cores_s=round(open_claim.claim.lost_cores_s, 1),
            taken_by_others=len(open_claim.taken_on),
        )

    # Evictions

    def _evict(self, eviction: Eviction, claim: CapacityClaim) -> None:
        unit, view = eviction.unit, eviction.view
        reason = f"room for {unit.record.workload_id}"
        fields = {
            "claim": str(claim.cause),
            "claimant_useless": claim.misses_hard_deadline,
            "claimant_waited_s": round(self._context.now_s - unit.arrival_s, 3),
            "claimant_objective_s": round(unit.objective_s, 2),
            "claimant_cores_s": round(claim.work_cores_s, 1),
            "lost_cores_s": round(eviction.lost_cores_s, 1),
        }
        if not self._stop_for_claim(eviction.session, view, reason, fields):
            return
        tasks = [view.task]
        if view.spec.gang:
            for session, member in self._context.run_index.list_gang(
                view.task, view.run
            ):
                self._stop_for_claim(session, member, reason, fields)
            tasks = [attrs.evolve(view.task, index=n) for n in range(view.spec.count)]
        # All members of a gang share one count, so that none exceeds the limit.
        stops = self.history.stops[view.task] + 1
        for task in tasks:
            self.history.stops[task] = stops

    def _stop_for_claim(
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
            StopCause.PREEMPTION,
            stopped_before=self.history.stops[view.task],
            **fields,
        )

    def stop_gang(self, task: TaskId, run: int, reason: str, cause: StopCause) -> None:
        """Stop all members of a gang run; do nothing for other tasks."""
        record = self._context.state.workloads.get(task.workload_id)
        if record is None or not record.spec.steps[task.step].gang:
            return
        for session, view in self._context.run_index.list_gang(task, run):
            self._driver.stop(session, view, reason, cause)

    def stop_other_runs(self, task: TaskId, run: int) -> None:
        """Stop the runs of a task, or gang, other than the one that completed it."""
        record = self._context.state.workloads.get(task.workload_id)
        if record is None:
            return
        is_gang = record.spec.steps[task.step].gang
        for session, view in self._context.run_index.list_runs(task.workload_id):
            is_same = view.task == task or (
                is_gang and view.task.step_key == task.step_key
            )
            if is_same and view.run != run:
                self._driver.stop(
                    session, view, "an earlier run is done", StopCause.ALREADY_DONE
                )

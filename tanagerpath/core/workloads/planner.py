"""Plans of a leader: which waiting tasks start, and why others wait."""

import attrs

from tanagerpath.core.workloads.advice import TicketCache
from tanagerpath.core.workloads.commands import RunStart
from tanagerpath.core.workloads.containment import PROCESS_ERRORS
from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.idle_waits import IdleWaits
from tanagerpath.core.workloads.plan_history import PlanHistory, PlanOutcome
from tanagerpath.core.workloads.plan_rounds import PlanRound
from tanagerpath.core.workloads.plan_schedule import PlanSchedule
from tanagerpath.core.workloads.policy import (
    FleetView,
    Placement,
    Plan,
    PlanUnit,
    WorkloadPolicy,
)
from tanagerpath.core.workloads.preemption import Preemption
from tanagerpath.core.workloads.runs import RunPhase, RunView
from tanagerpath.core.workloads.specs import StepKey, TaskId
from tanagerpath.core.workloads.wait_reasons import WaitReason
from tanagerpath.core.workloads.wait_reports import WaitReporter

__all__ = ["StartPlanner"]

# Seconds for which a unit is left out of the plans after an error in its own plan.
SET_ASIDE_S = 5.0


class StartPlanner:
    """Applies the policy to the waiting work.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    schedule : PlanSchedule
        Decides when a plan is made.
    policy : WorkloadPolicy
        Chooses upstreams for tasks, and runs to preempt.
    preemption : Preemption
        Carries out the preemptions and tracks the claims.
    advice : TicketCache
        Attaches the tickets that units need.
    """

    def __init__(
        self,
        context: DispatchContext,
        schedule: PlanSchedule,
        policy: WorkloadPolicy,
        preemption: Preemption,
        advice: TicketCache,
    ) -> None:
        self._context = context
        self._schedule = schedule
        self._policy = policy
        self._preemption = preemption
        self._advice = advice
        self._wait_reporter = WaitReporter(context)
        self.history = PlanHistory()
        self._round = PlanRound(context.terms.max_plan_pairs)
        self._idle_waits = IdleWaits(context)
        self._set_aside_until_s: dict[StepKey, float] = {}

    def plan(self) -> tuple[RunStart, ...]:
        """Return the starts to record now, and carry out the preemptions for others.

        Returns nothing while the next plan is not due.
        """
        if not self._schedule.is_due():
            return ()
        self._schedule.begin()
        context = self._context
        for session in context.sessions.values():
            context.find_health(session.upstream_id)
        waiting = self._list_waiting()
        units = self._advice.attach_tickets(self._filter_backoff(waiting))
        units = self._idle_waits.mark_overdue(units)
        self._preemption.close_lapsed(units)
        chosen = self._choose_units(units)
        self._schedule.end(len(waiting), len(chosen), self._round.is_open)
        plan = self._make_plan(chosen) if chosen else Plan()
        self._preemption.execute(plan)
        self._report_waits(waiting, units, plan)
        self.history.note(
            PlanOutcome(
                at_s=context.now_s,
                waiting=waiting,
                ready=units,
                chosen=chosen,
                plan=plan,
                set_aside_until_s=self._set_aside_until_s,
            )
        )
        runs: dict[StepKey, int] = {}
        return tuple(self._start(placement, runs) for placement in plan.placements)

    def _choose_units(self, units: list[PlanUnit]) -> list[PlanUnit]:
        """Return the units of this plan, none if no upstream can take any."""
        context = self._context
        if not self._schedule.has_usable_upstream():
            return []
        try:
            return self._round.choose(
                units,
                len(context.sessions),
                self._preemption.history.open_claims,
                lambda ranked: self._policy.rank(ranked, self.view_fleet()),
            )
        except PROCESS_ERRORS:
            raise
        except Exception:
            # The plan finds out which unit the policy can't handle.
            return units

    def _make_plan(self, units: list[PlanUnit]) -> Plan:
        """Return the plan of the policy, without units that it can't handle.

        The policy changes nothing but its plan, so it may be called again.
        """
        try:
            return self._policy.plan(units, self.view_fleet())
        except PROCESS_ERRORS:
            raise
        except Exception:
            sound = [unit for unit in units if self._is_sound(unit)]
            if len(sound) == len(units):
                raise
            return self._policy.plan(sound, self.view_fleet())

    def _is_sound(self, unit: PlanUnit) -> bool:
        """Return whether the policy can plan a unit; if not, set the unit aside."""
        try:
            self._policy.plan([unit], self.view_fleet())
        except PROCESS_ERRORS:
            raise
        except Exception as error:
            now_s = self._context.now_s
            self._set_aside_until_s[unit.step_key] = now_s + SET_ASIDE_S
            self._context.log_error(
                "plan",
                error,
                workload=unit.record.workload_id,
                step=unit.step,
                queue=unit.queue.name,
            )
            return False
        return True

    def _drop_set_aside(self, units: list[PlanUnit]) -> list[PlanUnit]:
        """Return the units without those that the policy could not handle lately."""
        if not self._set_aside_until_s:
            return units
        self._set_aside_until_s = {
            step_key: until_s
            for step_key, until_s in self._set_aside_until_s.items()
            if self._context.now_s < until_s
        }
        return [unit for unit in units if unit.step_key not in self._set_aside_until_s]

    def _list_waiting(self) -> list[PlanUnit]:
        """Return all waiting units, after the update of what guarantees cover."""
        context = self._context
        changed = context.coverage.update(context.backlog.list_records(), context.now_s)
        self._wait_reporter.report_coverage(changed)
        context.backlog.barred = {
            task
            for session in context.sessions.values()
            for (task, _), fence in session.fenced_runs.items()
            if fence.is_listed
        } | {queued.end.task for queued in context.ends if queued.is_late}
        context.backlog.holds_repeats = context.awaits_lists
        units = context.backlog.list_units(context.now, context.coverage.covered)
        return self._drop_set_aside(units)

    def _filter_backoff(self, units: list[PlanUnit]) -> list[PlanUnit]:
        """Return the units that may start now.

        During its backoff work preempts nothing. Guaranteed work may use free capacity
        at once, other work after a short time.
        """
        backoff, now_s = self._context.start_backoff, self._context.now_s
        ready = []
        for unit in units:
            if not self._is_backing_off(unit):
                ready.append(unit)
            elif unit.is_guaranteed or backoff.may_use_free(unit.step_key, now_s):
                ready.append(attrs.evolve(unit, may_claim=False))
        return ready

    def _is_backing_off(self, unit: PlanUnit) -> bool:
        return self._context.start_backoff.must_wait(unit.step_key, self._context.now_s)

    def _report_waits(
        self, waiting: list[PlanUnit], ready: list[PlanUnit], plan: Plan
    ) -> None:
        """Report the urgent units that start with a plan, and why others wait."""
        blocked = {unit.step_key for unit in plan.blocked}
        ready_keys = {unit.step_key for unit in ready}
        started = {
            placement.unit.step_key: placement.unit
            for placement in plan.placements
            if placement.unit.step_key not in blocked
        }
        for unit in started.values():
            self._wait_reporter.report_start(unit)
        self._wait_reporter.report_waits(
            {
                unit.step_key: (unit, self._explain_wait(unit, ready_keys))
                for unit in waiting
                if unit.step_key not in started
            }
        )

    def _explain_wait(self, unit: PlanUnit, ready_keys: set[StepKey]) -> str:
        """Return the reason for the log why a unit waits after a plan."""
        if unit.step_key in self._preemption.history.open_claims:
            return WaitReason.CLAIMED_CAPACITY
        if self._is_backing_off(unit):
            return WaitReason.BACKOFF
        if unit.step_key not in ready_keys:
            return WaitReason.NO_TICKETS
        zones = self._list_evacuated_zones(unit)
        if not zones:
            return WaitReason.NO_CAPACITY
        return f"{WaitReason.NO_CAPACITY}, evacuated: {', '.join(zones)}"

    def _list_evacuated_zones(self, unit: PlanUnit) -> list[str]:
        """Return the evacuated availability zones with upstreams of a unit's pool."""
        return sorted(
            {
                session.record.availability_zone
                for session in self._context.sessions.values()
                if session.evacuated_at_s is not None
                and session.record.pool == unit.queue.pool
            }
        )

    def view_fleet(self) -> FleetView:
        """Return the current input of the policy."""
        context = self._context
        return FleetView(
            now_s=context.now_s,
            sessions=tuple(context.sessions.values()),
            health=context.health,
            estimates=context.estimates,
            remote_factor=context.terms.remote_factor,
            checkpoint_interval_s=context.terms.checkpoint_interval_s,
            preemption=self._preemption.history,
            covered=context.coverage.covered,
            guaranteed_start_s=context.terms.guaranteed_start_s,
        )

    def _start(self, placement: Placement, runs: dict[StepKey, int]) -> RunStart:
        context = self._context
        unit, session = placement.unit, placement.session
        task = unit.make_task_id(placement.index)
        run = self._choose_run(unit, task, runs)
        task_record = unit.record.find_task(task)
        view = RunView(
            task,
            run,
            unit.spec,
            unit.queue.name,
            unit.queue.priority,
            RunPhase.PROPOSED,
            context.now_s,
            checkpoint=self._find_checkpoint(unit, task_record.checkpoint),
            ticket=(unit.tickets or {}).get(session.upstream_id, ""),
        )
        context.run_index.add(session, view)
        context.backlog.planned.add(task)
        context.log_task_decision(
            "task placed",
            task,
            run=run,
            upstream=session.upstream_id,
            heard_age_s=round(context.now_s - session.last_contact_s, 3),
            speed=round(context.estimates.find_speed(session.upstream_id), 2),
            waited_s=round(context.now_s - unit.arrival_s, 3),
            objective_s=round(unit.objective_s, 2),
            guaranteed=unit.is_guaranteed,
            failures=unit.record.count_failures(task),
        )
        record = session.record
        return RunStart(task, run, record.upstream_id, record.incarnation)

    def _choose_run(
        self, unit: PlanUnit, task: TaskId, runs: dict[StepKey, int]
    ) -> int:
        """Return the number of a new run; all members of a gang share one."""
        if not unit.spec.gang:
            return unit.record.find_task(task).last_run + 1
        step_key = unit.step_key
        if step_key not in runs:
            runs[step_key] = 1 + max(
                unit.record.find_task(unit.make_task_id(index)).last_run
                for index in range(unit.spec.count)
            )
        return runs[step_key]

    def _find_checkpoint(self, unit: PlanUnit, own: str) -> str:
        """Return the checkpoint to resume from; a gang resumes from any member's."""
        if not unit.spec.checkpointing:
            return ""
        if not unit.spec.gang:
            return own
        saved = (
            unit.record.find_task(unit.make_task_id(index)).checkpoint
            for index in range(unit.spec.count)
        )
        return next((checkpoint for checkpoint in saved if checkpoint), "")

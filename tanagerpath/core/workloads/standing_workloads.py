"""Workloads of which nothing runs although a step has its turn, and why."""

import attrs

from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.dispatch_context import DispatchContext, QueuedEnd
from tanagerpath.core.workloads.open_runs import OpenRunReader, OpenRunWait
from tanagerpath.core.workloads.plan_history import PlanHistory, PlanTry
from tanagerpath.core.workloads.policy import PlanUnit, PreemptionHistory
from tanagerpath.core.workloads.records import WorkloadRecord
from tanagerpath.core.workloads.run_index import IndexedRun
from tanagerpath.core.workloads.specs import StepKey, StepSpec, TaskId
from tanagerpath.core.workloads.wait_reasons import WaitReason

__all__ = ["StandingFinder", "StandingWorkload"]

# A unit that no plan has tried to place for longer has not had its turn.
MAX_TRY_AGE_S = 1.0


@attrs.frozen(kw_only=True, eq=False)
class StandingWorkload:
    """A workload of which nothing runs although a step has its turn.

    Attributes
    ----------
    record : WorkloadRecord
        The workload.
    step_key : StepKey
        The first step that waits.
    tasks : int
        Tasks of the step that are not done.
    arrival_s : float
        Time of the acceptance, or at which the occurrence became due.
    since_s : float
        Time since which nothing has run, as far as the leader knows.
    reason : WaitReason
        Why nothing starts; NOT_PLACED if the upstreams have to be examined.
    unit : PlanUnit or None
        The unit that the last plan had for the step, if any.
    last_try : PlanTry or None
        Last plan that has tried to place the unit.
    open_run : OpenRunWait or None
        The run that is waited for, with the reason OPEN_RUN.
    """

    record: WorkloadRecord
    step_key: StepKey
    tasks: int
    arrival_s: float
    since_s: float
    reason: WaitReason
    unit: PlanUnit | None = None
    last_try: PlanTry | None = None
    open_run: OpenRunWait | None = None

    @property
    def workload_id(self) -> str:
        """Identity of the workload."""
        return self.record.workload_id

    @property
    def spec(self) -> StepSpec:
        """The step."""
        return self.record.spec.steps[self.step_key.step]


class StandingFinder:
    """Finds the workloads that stand still.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    preemption : PreemptionHistory
        Open claims.
    plans : PlanHistory
        Last plans.
    """

    def __init__(
        self,
        context: DispatchContext,
        preemption: PreemptionHistory,
        plans: PlanHistory,
    ) -> None:
        self._context = context
        self._preemption = preemption
        self._plans = plans
        self._term_began_s = context.now_s
        self._open_runs = OpenRunReader(context)
        # Time at which the last run of a workload ended in this term.
        self._ended_s: dict[str, float] = {}

    def note_end(self, queued: QueuedEnd) -> None:
        """Note the recorded end of a run, before the run is forgotten."""
        view = queued.session.runs.get((queued.end.task, queued.end.run))
        if view is None or not view.may_have_begun:
            return
        if queued.end.outcome is not RunOutcome.NOT_STARTED:
            self._ended_s[view.task.workload_id] = self._context.now_s

    def list_standing(self, min_standing_s: float) -> list[StandingWorkload]:
        """Return the workloads that have stood still for some seconds."""
        survey = _PlanSurvey.from_history(self._plans)
        usable_pools = self._list_usable_pools()
        latest_s = self._context.now_s - min_standing_s
        records = tuple(self._context.backlog.list_records())
        self._forget_others(records)
        return [
            standing
            for record in records
            if (standing := self._find(record, survey, usable_pools))
            and standing.since_s <= latest_s
        ]

    def _forget_others(self, records: tuple[WorkloadRecord, ...]) -> None:
        """Forget the workloads that have ended."""
        self._ended_s = {
            one.workload_id: self._ended_s[one.workload_id]
            for one in records
            if one.workload_id in self._ended_s
        }

    def _list_usable_pools(self) -> set[str]:
        """Return the pools with an upstream that may get new runs."""
        context = self._context
        return {
            session.record.pool
            for session in context.sessions.values()
            if session.is_usable
            and not context.find_health(session.upstream_id).is_excluded(context.now_s)
        }

    def _find(
        self, record: WorkloadRecord, survey: "_PlanSurvey", usable_pools: set[str]
    ) -> StandingWorkload | None:
        """Return a workload if it stands still, else None."""
        runs = self._context.run_index.list_runs(record.workload_id)
        if any(self._open_runs.is_running(session, view) for session, view in runs):
            return None
        waiting = survey.units.get(record.workload_id)
        if waiting is not None:
            return self._describe_unit(waiting, runs, usable_pools)
        step_key = self._find_turn(record)
        if step_key is None:
            return None
        return self._describe_unlisted(record, step_key, runs)

    def _describe_unit(
        self,
        waiting: "_WaitingUnit",
        runs: list[IndexedRun],
        usable_pools: set[str],
    ) -> StandingWorkload:
        """Return a workload with a unit that the last plan has listed."""
        unit = waiting.unit
        last_try = self._plans.find_last_try(waiting.step_key)
        return StandingWorkload(
            record=unit.record,
            step_key=waiting.step_key,
            tasks=len(unit.indexes),
            arrival_s=unit.arrival_s,
            since_s=self._find_since_s(unit.record, unit.arrival_s, runs),
            reason=self._explain_unit(waiting, last_try, usable_pools),
            unit=unit,
            last_try=last_try,
        )

    def _explain_unit(
        self, waiting: "_WaitingUnit", last_try: PlanTry | None, usable_pools: set[str]
    ) -> WaitReason:
        """Return why a unit that the last plan has listed was not placed."""
        now_s = self._context.now_s
        unit = waiting.unit
        if waiting.step_key in self._preemption.open_claims:
            return WaitReason.CLAIMED_CAPACITY
        if self._context.start_backoff.must_wait(waiting.step_key, now_s):
            return WaitReason.BACKOFF
        if not waiting.is_ready:
            # Without need for tickets, its backoff has ended since the plan.
            needs_tickets = unit.queue.advice is not None
            return WaitReason.NO_TICKETS if needs_tickets else WaitReason.BACKOFF
        if unit.queue.pool not in usable_pools:
            return WaitReason.NO_USABLE_UPSTREAM
        if last_try is None or now_s - last_try.at_s > MAX_TRY_AGE_S:
            return WaitReason.NOT_IN_PLAN
        return WaitReason.NOT_PLACED

    # Work that is in no plan

    def _find_turn(self, record: WorkloadRecord) -> StepKey | None:
        """Return the first step that is due and whose earlier steps are done."""
        now_unix_s = self._context.now.unix_s
        for occurrence in record.spec.occurrences:
            if record.spec.find_due_unix_s(occurrence) > now_unix_s:
                return None
            for step in range(len(record.spec.steps)):
                is_done = record.is_step_done(occurrence, step)
                if not is_done and record.may_begin(occurrence, step):
                    return StepKey(record.workload_id, occurrence, step)
        return None

    def _describe_unlisted(
        self, record: WorkloadRecord, step_key: StepKey, runs: list[IndexedRun]
    ) -> StandingWorkload:
        """Return a workload with a step that the last plan has not listed."""
        arrival_s = self._find_arrival_s(record, step_key.occurrence)
        held = self._find_held_task(record, step_key)
        reason = self._explain_unlisted(record, step_key, held)
        open_run = None
        if reason is WaitReason.OPEN_RUN:
            open_run = self._open_runs.describe(record, held, runs)
        done = record.done_by_step.get((step_key.occurrence, step_key.step), 0)
        return StandingWorkload(
            record=record,
            step_key=step_key,
            tasks=record.spec.steps[step_key.step].count - done,
            arrival_s=arrival_s,
            since_s=self._find_since_s(record, arrival_s, runs),
            reason=reason,
            open_run=open_run,
        )

    def _find_held_task(
        self, record: WorkloadRecord, step_key: StepKey
    ) -> TaskId | None:
        """Return the first task of a step that the backlog holds back."""
        backlog = self._context.backlog
        for index in range(record.spec.steps[step_key.step].count):
            task = TaskId(
                step_key.workload_id, step_key.occurrence, step_key.step, index
            )
            task_record = record.find_task(task)
            if task_record.done:
                continue
            if task_record.open_runs or task in backlog.planned:
                return task
            if task in backlog.barred:
                return task
            if backlog.holds_repeats and task_record.last_run:
                return task
        return None

    def _explain_unlisted(
        self, record: WorkloadRecord, step_key: StepKey, held: TaskId | None
    ) -> WaitReason:
        """Return why the last plan has not listed a step."""
        set_aside_until_s = self._plans.last.set_aside_until_s.get(step_key, 0.0)
        if self._context.now_s < set_aside_until_s:
            return WaitReason.SET_ASIDE
        if held is None:
            return WaitReason.NOT_IN_PLAN
        backlog = self._context.backlog
        if record.find_task(held).open_runs or held in backlog.planned:
            return WaitReason.OPEN_RUN
        return WaitReason.BARRED if held in backlog.barred else WaitReason.LIST_ROUND

    # Time

    def _find_arrival_s(self, record: WorkloadRecord, occurrence: int) -> float:
        """Return the time at which an occurrence was accepted or became due."""
        due_unix_s = record.spec.find_due_unix_s(occurrence)
        now = self._context.now
        age_s = now.unix_s - max(record.accepted_at_unix_s, due_unix_s)
        return now.now_s - max(age_s, 0.0)

    def _find_since_s(
        self, record: WorkloadRecord, arrival_s: float, runs: list[IndexedRun]
    ) -> float:
        """Return the time since which nothing has run, as far as the leader knows.

        The replicated state has no times of ends, so that the time of a workload with
        runs in earlier terms counts from the begin of this one.
        """
        since_s = arrival_s
        if record.tasks:
            ended_s = self._ended_s.get(record.workload_id, self._term_began_s)
            since_s = max(since_s, ended_s)
        for session, view in runs:
            if view.may_have_begun:
                since_s = max(
                    since_s, self._open_runs.find_last_running_s(session, view)
                )
        return min(since_s, self._context.now_s)


@attrs.frozen(eq=False)
class _WaitingUnit:
    """A unit that waits after a plan, with its tickets if it was ready to start."""

    step_key: StepKey
    unit: PlanUnit
    is_ready: bool


@attrs.frozen(eq=False)
class _PlanSurvey:
    """The first unit of each workload that waited before the last plan and after it."""

    units: dict[str, _WaitingUnit]

    @classmethod
    def from_history(cls, plans: PlanHistory) -> "_PlanSurvey":
        """Read the last plan, and let `plans` forget the units that have started."""
        last = plans.last
        started = {placement.unit.step_key for placement in last.plan.placements}
        started -= {unit.step_key for unit in last.plan.blocked}
        ready = {unit.step_key: unit for unit in last.ready}
        units: dict[str, _WaitingUnit] = {}
        waiting = set()
        for unit in last.waiting:
            # Each access to the key of a unit builds it, and there may be many units.
            step_key = unit.step_key
            if step_key in started:
                continue
            waiting.add(step_key)
            if step_key.workload_id not in units:
                units[step_key.workload_id] = _WaitingUnit(
                    step_key, ready.get(step_key, unit), step_key in ready
                )
        plans.forget_others(waiting)
        return cls(units)

"""Records of workloads and upkeep waves in the replicated state."""

import enum

import attrs

from tanagerpath.core.workloads.commands import RunEnd, RunOutcome, RunStart
from tanagerpath.core.workloads.specs import StepSpec, TaskId, WorkloadSpec

__all__ = [
    "EvacuationRecord",
    "OpenRun",
    "StoredWorkload",
    "TaskRecord",
    "WaveRecord",
    "WorkloadRecord",
    "WorkloadState",
]


class WorkloadState(enum.StrEnum):
    """State of a workload as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.frozen
class OpenRun:
    """A recorded run whose end has not been recorded."""

    run: int
    upstream_id: str
    incarnation: str


@attrs.define
class TaskRecord:
    """Record of a task that has had a run.

    Attributes
    ----------
    last_run : int
        Highest number of a run.
    failures : int
        Runs that ended as failed.
    failed_runs : list of int
        Their numbers. Records of earlier builds lack them.
    done : bool
        Whether a run ended as done.
    checkpoint : str
        Last checkpoint, empty for none.
    open_runs : list of OpenRun
        Runs whose end is not recorded.
    """

    last_run: int = 0
    failures: int = 0
    done: bool = False
    checkpoint: str = ""
    open_runs: list[OpenRun] = attrs.Factory(list)
    failed_runs: list[int] = attrs.Factory(list)

    def may_correct(self, end: RunEnd) -> bool:
        """Return whether a listed end counts although its run is closed."""
        is_own = end.outcome in (RunOutcome.DONE, RunOutcome.FAILED)
        return is_own and not self.done and end.run <= self.last_run

    def may_have_counted(self, run: int) -> bool:
        """Return whether `failures` may include a run that ended as failed."""
        return run in self.failed_runs or self.failures > len(self.failed_runs)

    def find_open(self, run: int) -> OpenRun | None:
        """Return the open run with this number, None if there is none."""
        return next(
            (open_run for open_run in self.open_runs if open_run.run == run), None
        )


@attrs.frozen
class EvacuationRecord:
    """Last order of operators for an availability zone.

    Attributes
    ----------
    zone : str
        The availability zone.
    is_evacuated : bool
        Whether no new run may start there.
    revision : int
        Number of orders that have taken effect, 0 for none.
    """

    zone: str
    is_evacuated: bool = False
    revision: int = 0


@attrs.define
class WaveRecord:
    """An upkeep wave; `waiting` are the VMs whose upkeep has not begun."""

    wave: int
    waiting: tuple[str, ...]
    vm_ids: tuple[str, ...]
    due_at_unix_s: float
    most_at_once: int

    @property
    def is_completed(self) -> bool:
        """Whether the upkeep of all VMs has begun."""
        return not self.waiting


_NEW_TASK = TaskRecord()


@attrs.define
class WorkloadRecord:
    """An accepted workload.

    Attributes
    ----------
    spec : WorkloadSpec
        What was submitted.
    queue, organisation : str
        Queue that it was submitted to, and the organisation that submitted it.
    accepted_at_unix_s : float
        Time of the acceptance in UTC seconds.
    final_state : WorkloadState or None
        State in which it ended, None while it is unfinished.
    ended_at_unix_s : float
        Time of the end in UTC seconds.
    tasks : dict of TaskId to TaskRecord
        Tasks that have had a run.
    failed_gang_runs : dict of (int, int) to list of int
        Numbers of failed runs of a gang, by occurrence and step.
    open_count : int
        Number of open runs of all tasks.
    done_by_step : dict of (int, int) to int
        Number of tasks that are done, by occurrence and step.
    """

    spec: WorkloadSpec
    queue: str
    organisation: str
    accepted_at_unix_s: float
    final_state: WorkloadState | None = None
    ended_at_unix_s: float = 0.0
    tasks: dict[TaskId, TaskRecord] = attrs.Factory(dict)
    failed_gang_runs: dict[tuple[int, int], list[int]] = attrs.Factory(dict)
    open_count: int = 0
    done_by_step: dict[tuple[int, int], int] = attrs.Factory(dict)

    @property
    def workload_id(self) -> str:
        """Identity of the workload."""
        return self.spec.workload_id

    @property
    def state(self) -> WorkloadState:
        """State as reported to callers."""
        if self.final_state is not None:
            return self.final_state
        return WorkloadState.RUNNING if self.tasks else WorkloadState.QUEUED

    def find_task(self, task: TaskId) -> TaskRecord:
        """Return the record of a task; an empty one, not stored, if it had no run."""
        return self.tasks.get(task) or _NEW_TASK

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are done."""
        done = self.done_by_step.get((occurrence, step), 0)
        return done >= self.spec.steps[step].count

    def may_begin(self, occurrence: int, step: int) -> bool:
        """Return whether all steps that a step depends on are done."""
        needed = self.spec.steps[step].depends_on
        return all(self.is_step_done(occurrence, earlier) for earlier in needed)

    def is_valid_task(self, task: TaskId) -> bool:
        """Return whether the workload has this task."""
        return (
            task.workload_id == self.workload_id
            and task.occurrence in self.spec.occurrences
            and 0 <= task.step < len(self.spec.steps)
            and 0 <= task.index < self.spec.steps[task.step].count
        )

    def record_start(self, start: RunStart) -> None:
        """Record the start of a run before it is ordered."""
        task = self.tasks.setdefault(start.task, TaskRecord())
        task.last_run = max(task.last_run, start.run)
        task.open_runs.append(OpenRun(start.run, start.upstream_id, start.incarnation))
        self.open_count += 1

    def record_end(self, end: RunEnd, max_attempts: int) -> bool:
        """Record the end of a run.

        Parameters
        ----------
        end : RunEnd
            The end. If its run is not open, only an end as done or failed of an
            unfinished task counts: the run was closed, and its upstream has
            listed the end since.
        max_attempts : int
            Failed runs after which the workload has failed.

        Returns
        -------
        bool
            Whether the task, or gang, has used up its attempts.
        """
        task = self.tasks.get(end.task)
        if task is None:
            return False
        open_run = task.find_open(end.run)
        if open_run is not None:
            task.open_runs.remove(open_run)
            self.open_count -= 1
            task.checkpoint = end.checkpoint or task.checkpoint
        elif not task.may_correct(end):
            return False
        step = self.spec.steps[end.task.step]
        if end.outcome is RunOutcome.DONE and not step.long_running:
            self._record_done(end.task, step)
        if end.outcome is not RunOutcome.FAILED or step.long_running:
            return False
        if open_run is None and not step.gang and task.may_have_counted(end.run):
            return False
        return self._count_failure(end, task, step) >= max_attempts

    def _count_failure(self, end: RunEnd, task: TaskRecord, step: StepSpec) -> int:
        task.failures += 1
        task.failed_runs.append(end.run)
        if not step.gang:
            return task.failures
        key = (end.task.occurrence, end.task.step)
        runs = self.failed_gang_runs.setdefault(key, [])
        if end.run not in runs:
            runs.append(end.run)
        return len(runs)

    def count_failures(self, task: TaskId) -> int:
        """Return the failed runs that count against the attempts of a task."""
        if self.spec.steps[task.step].gang:
            return len(self.failed_gang_runs.get((task.occurrence, task.step), ()))
        return self.find_task(task).failures

    def _record_done(self, ended: TaskId, step: StepSpec) -> None:
        """Mark a task as done; the end of one member counts for its whole gang."""
        indexes = range(step.count) if step.gang else (ended.index,)
        key = (ended.occurrence, ended.step)
        for index in indexes:
            member = TaskId(ended.workload_id, *key, index)
            record = self.tasks.setdefault(member, TaskRecord())
            if not record.done:
                record.done = True
                self.done_by_step[key] = self.done_by_step.get(key, 0) + 1

    @property
    def is_all_done(self) -> bool:
        """Whether all tasks of all occurrences are done."""
        return all(
            self.is_step_done(occurrence, step)
            for occurrence in self.spec.occurrences
            for step in range(len(self.spec.steps))
        )

    def end(self, state: WorkloadState, at_unix_s: float) -> None:
        """Set the final state."""
        self.final_state = state
        self.ended_at_unix_s = at_unix_s

    def store(self) -> "StoredWorkload":
        """Return the record as it is stored in a snapshot."""
        return StoredWorkload(
            spec=self.spec,
            queue=self.queue,
            organisation=self.organisation,
            accepted_at_unix_s=self.accepted_at_unix_s,
            final_state=self.final_state,
            ended_at_unix_s=self.ended_at_unix_s,
            tasks=tuple(self.tasks.items()),
            failed_gang_runs=tuple(
                (*key, tuple(runs)) for key, runs in self.failed_gang_runs.items()
            ),
        )


@attrs.frozen(kw_only=True)
class StoredWorkload:
    """Form of `WorkloadRecord` in a snapshot, without its counts."""

    spec: WorkloadSpec
    queue: str
    organisation: str
    accepted_at_unix_s: float
    final_state: WorkloadState | None
    ended_at_unix_s: float
    tasks: tuple[tuple[TaskId, TaskRecord], ...]
    failed_gang_runs: tuple[tuple[int, int, tuple[int, ...]], ...]

    def restore(self) -> WorkloadRecord:
        """Rebuild the record and its counts."""
        record = WorkloadRecord(
            self.spec,
            self.queue,
            self.organisation,
            self.accepted_at_unix_s,
            self.final_state,
            self.ended_at_unix_s,
            dict(self.tasks),
            {(occ, step): list(runs) for occ, step, runs in self.failed_gang_runs},
        )
        for task_id, task in self.tasks:
            record.open_count += len(task.open_runs)
            key = (task_id.occurrence, task_id.step)
            if task.done:
                record.done_by_step[key] = record.done_by_step.get(key, 0) + 1
        return record

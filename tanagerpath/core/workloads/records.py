"""Records of the replicated state of workloads."""

import enum

import attrs

from tanagerpath.core.workloads.commands import RunEnd, RunOutcome, RunStart
from tanagerpath.core.workloads.specs import StepSpec, TaskId, WorkloadSpec

__all__ = [
    "OpenRun",
    "StoredWorkload",
    "TaskRecord",
    "WaveRecord",
    "WorkloadRecord",
    "WorkloadState",
]


class WorkloadState(enum.StrEnum):
    """State of a workload as callers see it."""

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
    """What is stored of a task once it had a run.

    Attributes
    ----------
    last_run : int
        Highest number given to a run.
    failures : int
        Runs that ended as failed.
    done : bool
        Whether a run ended as done.
    checkpoint : str
        Last checkpoint, empty for none.
    open_runs : list of OpenRun
        Runs that may be at work.
    """

    last_run: int = 0
    failures: int = 0
    done: bool = False
    checkpoint: str = ""
    open_runs: list[OpenRun] = attrs.Factory(list)

    def find_open(self, run: int) -> OpenRun | None:
        """Return the open run with a number, None if there is none."""
        return next((held for held in self.open_runs if held.run == run), None)


@attrs.define
class WaveRecord:
    """An upkeep wave and the VMs whose upkeep has not begun."""

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
        Where and by whom.
    accepted_at_unix_s : float
        Instant of the acceptance in UTC seconds.
    final_state : WorkloadState or None
        State in which it has ended, None while it has not.
    ended_at_unix_s : float
        Instant of the end in UTC seconds.
    tasks : dict of TaskId to TaskRecord
        Tasks that have had a run.
    failed_gang_runs : dict of (int, int) to list of int
        Numbers of failed runs of a gang, by occurrence and step.
    open_count : int
        Open runs of all tasks.
    done_by_step : dict of (int, int) to int
        Tasks that are done, by occurrence and step.
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
        """State as callers see it."""
        if self.final_state is not None:
            return self.final_state
        return WorkloadState.RUNNING if self.tasks else WorkloadState.QUEUED

    def find_task(self, task: TaskId) -> TaskRecord:
        """Return the record of a task; a fresh one, not stored, if it had no run."""
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
        """Return whether the workload has such a task."""
        return (
            task.workload_id == self.workload_id
            and task.occurrence in self.spec.occurrences
            and 0 <= task.step < len(self.spec.steps)
            and 0 <= task.index < self.spec.steps[task.step].count
        )

    def record_start(self, start: RunStart) -> None:
        """Note a run that is about to start."""
        task = self.tasks.setdefault(start.task, TaskRecord())
        task.last_run = max(task.last_run, start.run)
        task.open_runs.append(OpenRun(start.run, start.upstream_id, start.incarnation))
        self.open_count += 1

    def record_end(self, end: RunEnd, max_attempts: int) -> bool:
        """Note the end of an open run.

        Parameters
        ----------
        end : RunEnd
            The end; one of a run that is not open changes nothing.
        max_attempts : int
            Failed runs after which the workload has failed.

        Returns
        -------
        bool
            Whether the workload has used up its attempts.
        """
        task = self.tasks.get(end.task)
        held = task.find_open(end.run) if task else None
        if held is None:
            return False
        task.open_runs.remove(held)
        self.open_count -= 1
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        step = self.spec.steps[end.task.step]
        if end.outcome is RunOutcome.DONE and not step.long_running:
            self._record_done(end.task, step)
        if end.outcome is not RunOutcome.FAILED or step.long_running:
            return False
        return self._count_failure(end, task, step) >= max_attempts

    def _count_failure(self, end: RunEnd, task: TaskRecord, step: StepSpec) -> int:
        task.failures += 1
        if not step.gang:
            return task.failures
        place = (end.task.occurrence, end.task.step)
        runs = self.failed_gang_runs.setdefault(place, [])
        if end.run not in runs:
            runs.append(end.run)
        return len(runs)

    def count_failures(self, task: TaskId) -> int:
        """Return the failed runs that count against the attempts of a task."""
        if self.spec.steps[task.step].gang:
            return len(self.failed_gang_runs.get((task.occurrence, task.step), ()))
        return self.find_task(task).failures

    def _record_done(self, ended: TaskId, step: StepSpec) -> None:
        """One end of a gang represents all of its members."""
        indexes = range(step.count) if step.gang else (ended.index,)
        place = (ended.occurrence, ended.step)
        for index in indexes:
            member = TaskId(ended.workload_id, *place, index)
            record = self.tasks.setdefault(member, TaskRecord())
            if not record.done:
                record.done = True
                self.done_by_step[place] = self.done_by_step.get(place, 0) + 1

    @property
    def is_all_done(self) -> bool:
        """Whether all tasks of all occurrences are done."""
        return all(
            self.is_step_done(occurrence, step)
            for occurrence in self.spec.occurrences
            for step in range(len(self.spec.steps))
        )

    def end(self, state: WorkloadState, at_unix_s: float) -> None:
        """Note the final state."""
        self.final_state = state
        self.ended_at_unix_s = at_unix_s

    def store(self) -> "StoredWorkload":
        """Return the record in the form of a snapshot."""
        return StoredWorkload(
            spec=self.spec,
            queue=self.queue,
            organisation=self.organisation,
            accepted_at_unix_s=self.accepted_at_unix_s,
            final_state=self.final_state,
            ended_at_unix_s=self.ended_at_unix_s,
            tasks=tuple(self.tasks.items()),
            failed_gang_runs=tuple(
                (*place, tuple(runs)) for place, runs in self.failed_gang_runs.items()
            ),
        )


@attrs.frozen(kw_only=True)
class StoredWorkload:
    """A workload in a snapshot: the fields of `WorkloadRecord` without its counts."""

    spec: WorkloadSpec
    queue: str
    organisation: str
    accepted_at_unix_s: float
    final_state: WorkloadState | None
    ended_at_unix_s: float
    tasks: tuple[tuple[TaskId, TaskRecord], ...]
    failed_gang_runs: tuple[tuple[int, int, tuple[int, ...]], ...]

    def restore(self) -> WorkloadRecord:
        """Return the record that was stored."""
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
            place = (task_id.occurrence, task_id.step)
            if task.done:
                record.done_by_step[place] = record.done_by_step.get(place, 0) + 1
        return record

"""Rules that the runs on the stand-in workers must keep; no input or output."""

import attrs

from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.specs import TaskId, WorkloadSpec
from tanagerpath.emulator.soak_promises import Shown, WorkloadShown
from tanagerpath.emulator.soak_run_events import (
    EndAcknowledged,
    LeaseExpired,
    RunEnded,
    RunEvent,
    RunStarted,
)
from tanagerpath.emulator.soak_workloads import list_tasks

__all__ = ["RunRules", "WorkloadSent"]


@attrs.frozen
class WorkloadSent:
    """A workload is about to be submitted for the first time."""

    spec: WorkloadSpec


@attrs.define(eq=False)
class _DoneEnd:
    """An end as done, and what followed it.

    `idle_expiry` and `busy_expiry` say whether the lease of the worker expired between
    the end and its acknowledgement, without and with a run in progress.
    """

    ended: RunEnded
    acknowledged: EndAcknowledged | None = None
    idle_expiry: bool = False
    busy_expiry: bool = False
    later_starts: list[RunStarted] = attrs.Factory(list)


class RunRules:
    """Judges what the workers saw.

    No task runs twice at once. None starts after an end as done that is acknowledged
    then or later, unless the lease of the worker expired between the two. None starts
    before the steps that it depends on are done. No workload is shown as completed
    before its tasks are done.

    Attributes
    ----------
    broken : list of str
        What went wrong.
    starts : int
        Number of runs that began.
    restarts_after_idle_expiry, restarts_after_expiry : list of str
        Starts after an acknowledged end as done that an expired lease excuses: where
        nothing ran on the worker when it expired, and the others.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.starts = 0
        self.restarts_after_idle_expiry: list[str] = []
        self.restarts_after_expiry: list[str] = []
        self._specs: dict[str, WorkloadSpec] = {}
        self._open: dict[TaskId, dict[tuple[str, int], RunStarted]] = {}
        self._done: dict[TaskId, list[_DoneEnd]] = {}
        self._unacknowledged: dict[str, dict[int, _DoneEnd]] = {}

    def handle(self, event: RunEvent | WorkloadSent | WorkloadShown) -> None:
        """Take what a worker or a caller saw; events come in their order."""
        match event:
            case WorkloadSent(spec):
                self._specs[spec.workload_id] = spec
            case RunStarted():
                self._take_start(event)
            case RunEnded():
                self._take_end(event)
            case EndAcknowledged():
                self._take_acknowledgement(event)
            case LeaseExpired():
                self._take_expiry(event)
            case WorkloadShown(workload_id, Shown.COMPLETED):
                self._check_completed(workload_id, event.ended_s)

    def _take_start(self, start: RunStarted) -> None:
        self.starts += 1
        runs = self._open.setdefault(start.task, {})
        for other in runs.values():
            self._break(start, f"while {_describe(other)} runs")
        runs[start.worker_id, start.run] = start
        for done in self._done.get(start.task, ()):
            if done.acknowledged is None:
                done.later_starts.append(start)
            else:
                self._judge_restart(start, done)
        self._check_dependencies(start)

    def _check_dependencies(self, start: RunStarted) -> None:
        spec = self._specs.get(start.task.workload_id)
        if spec is None:
            self._break(start, "and its workload was never submitted")
            return
        for step in spec.steps[start.task.step].depends_on:
            if not self._is_done(spec, step):
                self._break(start, f"before step {step} was done")

    def _take_end(self, event: RunEnded) -> None:
        self._open.get(event.task, {}).pop((event.worker_id, event.run), None)
        if event.outcome is RunOutcome.DONE:
            done = _DoneEnd(event)
            self._done.setdefault(event.task, []).append(done)
            waiting = self._unacknowledged.setdefault(event.worker_id, {})
            waiting[event.number] = done

    def _take_acknowledgement(self, event: EndAcknowledged) -> None:
        waiting = self._unacknowledged.get(event.worker_id, {})
        done = waiting.pop(event.number, None)
        if done is None:
            return
        done.acknowledged = event
        for start in done.later_starts:
            self._judge_restart(start, done)

    def _take_expiry(self, event: LeaseExpired) -> None:
        for done in self._unacknowledged.get(event.worker_id, {}).values():
            done.idle_expiry |= event.was_idle
            done.busy_expiry |= not event.was_idle

    def _judge_restart(self, start: RunStarted, done: _DoneEnd) -> None:
        ended, acknowledged = done.ended, done.acknowledged
        text = (
            f"{_describe(start)} started after run {ended.run} ended as done on "
            f"{ended.worker_id} at {ended.at_s:.3f} s, acknowledged at "
            f"{acknowledged.at_s:.3f} s by term {acknowledged.token}"
        )
        if done.busy_expiry:
            self.restarts_after_expiry.append(text)
        elif done.idle_expiry:
            self.restarts_after_idle_expiry.append(text)
        else:
            self.broken.append(text)

    def _check_completed(self, workload_id: str, at_s: float) -> None:
        spec = self._specs[workload_id]
        for step in range(len(spec.steps)):
            if not self._is_done(spec, step):
                self.broken.append(
                    f"workload {workload_id} is shown as completed at {at_s:.2f} s and "
                    f"step {step} is not done"
                )

    def _is_done(self, spec: WorkloadSpec, step: int) -> bool:
        tasks = list_tasks(spec, step)
        # The members of a gang end together, so that one end represents all.
        check = any if spec.steps[step].gang else all
        return check(task in self._done for task in tasks)

    def _break(self, start: RunStarted, reason: str) -> None:
        self.broken.append(f"{_describe(start)} started {reason}")


def _describe(start: RunStarted) -> str:
    task = start.task
    return (
        f"run {start.run} of {task.workload_id}.{task.step}.{task.index} on "
        f"{start.worker_id} (term {start.token}, {start.at_s:.3f} s)"
    )

"""Tasks that are ready to start, grouped into the units that a policy places."""

from collections.abc import Iterator

import attrs

from tanagerpath.core.coordination import Instant
from tanagerpath.core.workloads.configuration import Queue
from tanagerpath.core.workloads.estimates import RunEstimates
from tanagerpath.core.workloads.policy import PlanUnit
from tanagerpath.core.workloads.records import WorkloadRecord
from tanagerpath.core.workloads.specs import TaskId
from tanagerpath.core.workloads.state import FleetState

__all__ = ["Backlog"]


@attrs.define(eq=False)
class Backlog:
    """Builds the waiting units from the replicated state and the proposed starts.

    Attributes
    ----------
    state : FleetState
        Replicated state.
    estimates : RunEstimates
        Learned run times.
    planned : set of TaskId
        Tasks whose start is proposed and not yet committed.
    barred : set of TaskId
        Tasks that must wait: an upstream runs them without a record, or has listed
        the end of a run that is closed.
    holds_repeats : bool
        Whether tasks that have had a run must wait, because an upstream may still list
        how it ended.
    failed_on : dict of str to set of str
        Upstreams on which tasks have failed, by workload.
    """

    state: FleetState
    estimates: RunEstimates
    planned: set[TaskId] = attrs.Factory(set)
    barred: set[TaskId] = attrs.Factory(set)
    holds_repeats: bool = False
    failed_on: dict[str, set[str]] = attrs.Factory(dict)
    _unfinished: dict[str, None] = attrs.Factory(dict)
    _arrivals: dict[str, dict[int, float]] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Collect the unfinished workloads of the state."""
        for workload_id, record in self.state.workloads.items():
            if record.final_state is None:
                self._unfinished[workload_id] = None

    def __len__(self) -> int:
        return len(self._unfinished)

    def add(self, workload_id: str) -> None:
        """Add an accepted workload."""
        self._unfinished[workload_id] = None

    def remove(self, workload_id: str) -> None:
        """Remove a workload that has reached its final state."""
        self._unfinished.pop(workload_id, None)
        self.failed_on.pop(workload_id, None)
        self._arrivals.pop(workload_id, None)
        record = self.state.workloads.get(workload_id)
        if record is not None:
            self.estimates.forget_workload(workload_id, len(record.spec.steps))

    def list_records(self) -> Iterator[WorkloadRecord]:
        """Return the unfinished workloads in the order of their acceptance."""
        for workload_id in self._unfinished:
            record = self.state.workloads.get(workload_id)
            if record is not None:
                yield record

    def count_pending(self, queue: str) -> int:
        """Return the number of workloads of a queue that have not started a task."""
        return sum(
            record.queue == queue and not record.tasks for record in self.list_records()
        )

    def list_units(self, now: Instant, covered: frozenset[str]) -> list[PlanUnit]:
        """Return the units that are ready to start.

        Parameters
        ----------
        now : Instant
            Reading of the clocks.
        covered : frozenset of str
            Workloads that the guarantees of their organisations cover.
        """
        return [
            unit
            for record in self.list_records()
            for unit in self._list_units_of(record, now, covered)
        ]

    def _list_units_of(
        self, record: WorkloadRecord, now: Instant, covered: frozenset[str]
    ) -> Iterator[PlanUnit]:
        queue = self.state.find_queue(record.queue)
        if queue is None:
            return
        critical_paths = self._find_critical_paths(record, queue)
        objective_s = (
            queue.objective_factor * max(critical_paths, default=0.0)
            + queue.objective_margin_s
        )
        for occurrence in record.spec.occurrences:
            due_s = record.spec.find_due_unix_s(occurrence)
            if due_s > now.unix_s:
                return
            for step in range(len(record.spec.steps)):
                indexes = self._list_waiting(record, occurrence, step)
                if indexes:
                    yield self._make_unit(
                        record,
                        queue,
                        occurrence,
                        step,
                        indexes,
                        critical_paths[step],
                        objective_s,
                        covered,
                        self._find_arrival_s(record, occurrence, now),
                    )

    def _list_waiting(
        self, record: WorkloadRecord, occurrence: int, step: int
    ) -> tuple[int, ...]:
        if record.is_step_done(occurrence, step):
            return ()
        if not record.may_begin(occurrence, step):
            return ()
        spec = record.spec.steps[step]
        waiting = tuple(
            index
            for index in range(spec.count)
            if self._is_waiting(
                record, TaskId(record.workload_id, occurrence, step, index)
            )
        )
        if spec.gang and len(waiting) < spec.count:
            return ()
        return waiting

    def _is_waiting(self, record: WorkloadRecord, task: TaskId) -> bool:
        task_record = record.tasks.get(task)
        if task_record is not None and (
            task_record.done
            or task_record.open_runs
            or (self.holds_repeats and task_record.last_run)
        ):
            return False
        return task not in self.planned and task not in self.barred

    def _make_unit(
        self,
        record: WorkloadRecord,
        queue: Queue,
        occurrence: int,
        step: int,
        indexes: tuple[int, ...],
        critical_path_s: float,
        objective_s: float,
        covered: frozenset[str],
        arrival_s: float,
    ) -> PlanUnit:
        first = TaskId(record.workload_id, occurrence, step, indexes[0])
        failures = record.count_failures(first)
        spec = record.spec.steps[step]
        return PlanUnit(
            record=record,
            queue=queue,
            occurrence=occurrence,
            step=step,
            indexes=indexes,
            arrival_s=arrival_s,
            objective_s=objective_s,
            critical_path_s=critical_path_s,
            is_guaranteed=record.workload_id in covered,
            avoided=frozenset(self.failed_on.get(record.workload_id, ())),
            is_last_attempt=not spec.long_running
            and failures > 0
            and failures >= queue.max_attempts - 1,
        )

    def _find_arrival_s(
        self, record: WorkloadRecord, occurrence: int, now: Instant
    ) -> float:
        """Return the monotonic time at which an occurrence was accepted or became due.

        It is fixed when the occurrence is first listed, so that later steps of the time
        of day change no wait.
        """
        arrivals = self._arrivals.setdefault(record.workload_id, {})
        if occurrence not in arrivals:
            due_unix_s = record.spec.find_due_unix_s(occurrence)
            arrival_unix_s = max(record.accepted_at_unix_s, due_unix_s)
            age_s = max(now.unix_s - arrival_unix_s, 0.0)
            arrivals[occurrence] = now.now_s - age_s
        return arrivals[occurrence]

    def _find_critical_paths(self, record: WorkloadRecord, queue: Queue) -> list[float]:
        """Return by step the seconds of the longest chain of steps from there."""
        steps = record.spec.steps
        paths = [
            self.estimates.predict_mean_run_s(
                (record.workload_id, number), queue.name, step.declared_run_s
            )
            for number, step in enumerate(steps)
        ]
        for number in reversed(range(len(steps))):
            for earlier in steps[number].depends_on:
                own_s = self.estimates.predict_mean_run_s(
                    (record.workload_id, earlier),
                    queue.name,
                    steps[earlier].declared_run_s,
                )
                paths[earlier] = max(paths[earlier], own_s + paths[number])
        return paths

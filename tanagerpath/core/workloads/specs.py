"""Specifications of workloads, which consist of steps of tasks."""

import functools

import attrs

from tanagerpath.core.workloads.failures import InvalidWorkload
from tanagerpath.core.workloads.resources import Resources

__all__ = ["MAX_STEPS", "MAX_TASKS", "StepSpec", "TaskId", "WorkloadSpec"]

# Bounds the memory that an accepted workload takes on a control VM.
MAX_TASKS = 20_000
# A step takes 1.7 KB of memory while it is passed on, and 12 bytes of a request.
MAX_STEPS = 4_096


@attrs.frozen(order=True, cache_hash=True)
class TaskId:
    """Identity of one task of a workload.

    Attributes
    ----------
    workload_id : str
        Workload of the task.
    occurrence : int
        Number of the repetition, 0 if the workload is not repeated.
    step, index : int
        Index of the step in the workload, and of the task in the step.
    """

    workload_id: str
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self) -> "StepKey":
        """The occurrence of the step that the task belongs to."""
        return StepKey(self.workload_id, self.occurrence, self.step)


@attrs.frozen
class StepKey:
    """Identity of one occurrence of a step of a workload."""

    workload_id: str
    occurrence: int
    step: int


@attrs.frozen(kw_only=True)
class StepSpec:
    """A step: a number of identical tasks.

    Attributes
    ----------
    count : int
        Number of tasks.
    needs : Resources
        Resources that each task takes.
    declared_run_s : float
        The caller's rough estimate of the run time of one task in seconds.
    depends_on : tuple of int
        Indexes of earlier steps whose tasks must all be done first.
    checkpointing : bool
        Whether a stopped task can resume from its last checkpoint.
    gang : bool
        Whether the tasks must all run at the same time.
    same_rack : bool
        Whether the tasks are slower if they are spread over several racks.
    required_label : str
        Label that the upstream must have, empty for none.
    preferred_rack : str
        Rack with the data, empty for none; tasks are slower on other racks.
    max_per_upstream : int
        Most tasks of one occurrence on one upstream, 0 for no limit.
    speculative : bool
        Whether several copies of a task may run in parallel.
    long_running : bool
        Whether the tasks run until the workload is cancelled.
    image : str
        Program image; tasks of the same image behave alike.
    tail_target_ms : float
        Target of the tail latency of a serving task, 0 for other tasks.
    fills : bool
        Whether the tasks are best-effort: they use only idle processor time.
    max_unavailable : int
        Most tasks of a long-running step that upkeep may stop at the same time.
    """

    count: int = 1
    needs: Resources = Resources()
    declared_run_s: float = 0.0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_upstream: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    tail_target_ms: float = 0.0
    fills: bool = False
    max_unavailable: int = 0

    @property
    def reserved(self) -> Resources:
        """Resources that a task reserves of the capacity of an upstream."""
        if not self.fills:
            return self.needs
        return attrs.evolve(self.needs, cpu_millicores=0)


@attrs.frozen(kw_only=True)
class WorkloadSpec:
    """A workload as it was submitted.

    Attributes
    ----------
    workload_id : str
        Identity chosen by the caller; submitting it again changes nothing.
    payload : str
        Text that is passed to each task.
    steps : tuple of StepSpec
        Steps in the order of their submission.
    repeat_count : int
        Number of repetitions; 0 runs the steps once, immediately.
    first_due_unix_s : float
        UTC seconds at which the first repetition is due.
    interval_s : float
        Seconds between repetitions.
    """

    workload_id: str
    payload: str = ""
    steps: tuple[StepSpec, ...] = ()
    repeat_count: int = 0
    first_due_unix_s: float = 0.0
    interval_s: float = 0.0

    @functools.cached_property
    def accelerators_needed(self) -> int:
        """Accelerators of the largest step."""
        return max(step.count * step.needs.accelerators for step in self.steps)

    @property
    def occurrences(self) -> range:
        """Numbers of the repetitions."""
        return range(max(self.repeat_count, 1))

    def find_due_unix_s(self, occurrence: int) -> float:
        """Return the time in UTC seconds from which an occurrence may run."""
        if not self.repeat_count:
            return 0.0
        return self.first_due_unix_s + occurrence * self.interval_s

    def find_fault(self) -> InvalidWorkload | None:
        """Return the first error in the workload, None if it is valid."""
        if not 0 < len(self.steps) <= MAX_STEPS:
            return InvalidWorkload(
                field="steps",
                value=f"{len(self.steps)} steps",
                expected=f"1 to {MAX_STEPS}",
            )
        tasks = sum(step.count for step in self.steps) * len(self.occurrences)
        if tasks > MAX_TASKS:
            return InvalidWorkload(
                field="steps", value=f"{tasks} tasks", expected=f"at most {MAX_TASKS}"
            )
        for number, step in enumerate(self.steps):
            if step.count < 1:
                return InvalidWorkload(
                    field=f"steps.{number}.count",
                    value=str(step.count),
                    expected="at least 1",
                )
            if any(not 0 <= earlier < number for earlier in step.depends_on):
                return InvalidWorkload(
                    field=f"steps.{number}.depends_on",
                    value=str(list(step.depends_on)),
                    expected="numbers of earlier steps",
                )
        return None

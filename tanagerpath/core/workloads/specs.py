"""What callers submit: workloads of steps of tasks."""

import attrs

from tanagerpath.core.workloads.failures import InvalidWorkload
from tanagerpath.core.workloads.resources import Resources

__all__ = ["MAX_TASKS", "StepSpec", "TaskId", "WorkloadSpec"]

# Bounds the memory that one accepted workload takes on a control VM.
MAX_TASKS = 20_000


@attrs.frozen(order=True)
class TaskId:
    """Names one task of a workload.

    Attributes
    ----------
    workload_id : str
        The workload.
    occurrence : int
        Number of the repetition, 0 for a workload that is not repeated.
    step, index : int
        Place of the step in the workload and of the task in the step.
    """

    workload_id: str
    occurrence: int
    step: int
    index: int

    @property
    def place(self) -> "StepPlace":
        """The occurrence of the step that the task belongs to."""
        return StepPlace(self.workload_id, self.occurrence, self.step)


@attrs.frozen
class StepPlace:
    """Names one occurrence of a step of a workload."""

    workload_id: str
    occurrence: int
    step: int


@attrs.frozen(kw_only=True)
class StepSpec:
    """One step: a number of equal tasks.

    Attributes
    ----------
    count : int
        Tasks of the step.
    needs : Resources
        What each task takes.
    declared_run_s : float
        The caller's rough guess of the run time of one task.
    depends_on : tuple of int
        Earlier steps whose tasks must all be done first.
    checkpointing : bool
        Whether a stopped task may go on from its last checkpoint.
    gang : bool
        Whether the tasks run only all together.
    same_rack : bool
        Whether the tasks are slower when they run on more than one rack.
    required_label : str
        Label that the upstream must have; empty for none.
    preferred_rack : str
        Rack with the data; the tasks are slower on others. Empty for none.
    max_per_upstream : int
        Most tasks of one occurrence of the step on one upstream, 0 for any number.
    speculative : bool
        Whether copies may run in parallel.
    long_running : bool
        Whether the tasks run until the workload is cancelled.
    image : str
        What the tasks run; tasks of one image behave alike.
    tail_target_ms : float
        Bound of the response times of a task that serves users, 0 for none.
    fills : bool
        Whether the tasks take only processor time that others leave unused.
    max_unavailable : int
        Tasks of a long-running step that may be away at once through our orders.
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
        """What a task takes from the counted capacity of an upstream."""
        if not self.fills:
            return self.needs
        return attrs.evolve(self.needs, cpu_millicores=0)


@attrs.frozen(kw_only=True)
class WorkloadSpec:
    """A workload as it was submitted.

    Attributes
    ----------
    workload_id : str
        Identity chosen by the caller; the same one always means the same workload.
    payload : str
        Text that is handed to each task.
    steps : tuple of StepSpec
        Steps in the caller's order.
    repeat_count : int
        Times that the steps run; 0 means once, at once.
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

    @property
    def occurrences(self) -> range:
        """Numbers of the repetitions."""
        return range(max(self.repeat_count, 1))

    def find_due_unix_s(self, occurrence: int) -> float:
        """Return the instant in UTC seconds from which an occurrence may run."""
        if not self.repeat_count:
            return 0.0
        return self.first_due_unix_s + occurrence * self.interval_s

    def find_fault(self) -> InvalidWorkload | None:
        """Return what is wrong with the workload, None if nothing is."""
        if not self.steps:
            return InvalidWorkload(field="steps", value="[]", expected="at least one")
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

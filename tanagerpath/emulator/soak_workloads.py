"""Workloads of the soak; their payload says what the tasks of each step do."""

import random

import attrs

from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec, TaskId, WorkloadSpec

__all__ = [
    "TaskWork",
    "draw_large_workload",
    "draw_workload",
    "list_tasks",
    "make_plain_workload",
    "read_work",
]

TASK_NEEDS = Resources(cpu_millicores=500)
RUN_MIN_S = 0.2
RUN_MAX_S = 3.0
# Takes a worker of its own, so that a backlog is not run while it is played.
LARGE_NEEDS = Resources(cpu_millicores=8000)
LARGE_PAYLOAD_MAX_BYTES = 4000
MAX_TASKS = 3
GANG_SIZES = (2, 4)
MS_PER_S = 1000
_SHAPES = ("plain", "gang", "dependent", "dependent gang")


@attrs.frozen
class TaskWork:
    """What a task of a step does.

    Attributes
    ----------
    run_ms : int
        Milliseconds for which it runs; the members of a gang count them together.
    gang_size : int
        Number of members of its gang, 0 for a task of its own.
    """

    run_ms: int
    gang_size: int = 0

    @property
    def run_s(self) -> float:
        """Run time in seconds."""
        return self.run_ms / MS_PER_S


def read_work(payload: str, step: int) -> TaskWork:
    """Return what the payload of a workload says of the tasks of a step."""
    run_ms, _, gang_size = payload.split(" ")[step].partition("*")
    return TaskWork(int(run_ms), int(gang_size))


def make_plain_workload(workload_id: str) -> WorkloadSpec:
    """Return the workload of a soak without workers, which stays queued."""
    step = StepSpec(count=1, needs=TASK_NEEDS)
    return WorkloadSpec(workload_id=workload_id, payload="soak", steps=(step,))


def draw_workload(workload_id: str, source: random.Random) -> WorkloadSpec:
    """Return a workload with tasks of their own, a gang, or two dependent steps."""
    shape = source.choice(_SHAPES)
    drawn = [_draw_step(source, is_gang=shape == "gang")]
    if shape.startswith("dependent"):
        drawn.append(_draw_step(source, shape == "dependent gang", depends_on=(0,)))
    return WorkloadSpec(
        workload_id=workload_id,
        payload=" ".join(f"{work.run_ms}*{work.gang_size}" for work, _ in drawn),
        steps=tuple(step for _, step in drawn),
    )


def draw_large_workload(workload_id: str, source: random.Random) -> WorkloadSpec:
    """Return a workload of one task with a payload of up to 4,000 bytes."""
    run_ms = int(source.uniform(RUN_MIN_S, RUN_MAX_S) * MS_PER_S)
    work = f"{run_ms}*0 "
    length = source.randint(len(work), LARGE_PAYLOAD_MAX_BYTES)
    filler = source.randbytes(length).hex()[: length - len(work)]
    step = StepSpec(count=1, needs=LARGE_NEEDS, declared_run_s=run_ms / MS_PER_S)
    return WorkloadSpec(workload_id=workload_id, payload=work + filler, steps=(step,))


def list_tasks(spec: WorkloadSpec, step: int) -> list[TaskId]:
    """Return the tasks of a step."""
    count = spec.steps[step].count
    return [TaskId(spec.workload_id, 0, step, index) for index in range(count)]


def _draw_step(
    source: random.Random, is_gang: bool, depends_on: tuple[int, ...] = ()
) -> tuple[TaskWork, StepSpec]:
    run_ms = int(source.uniform(RUN_MIN_S, RUN_MAX_S) * MS_PER_S)
    count = source.randint(*GANG_SIZES) if is_gang else source.randint(1, MAX_TASKS)
    step = StepSpec(
        count=count,
        needs=TASK_NEEDS,
        declared_run_s=run_ms / MS_PER_S,
        depends_on=depends_on,
        gang=is_gang,
    )
    return TaskWork(run_ms, count if is_gang else 0), step

"""Conversion of workloads and task IDs from and to the platform's format."""

import functools

from tanagerpath.codecs import MalformedMessage
from tanagerpath.core.workloads.records import WorkloadState
from tanagerpath.core.workloads.specs import (
    MAX_STEPS,
    StepSpec,
    TaskId,
    WorkloadSpec,
)
from tanagerpath.errors import FailureError
from tanagerpath.platform.configuration import MS_PER_S, read_resources
from tanagerpath.platform.fields import Fields

__all__ = ["read_task_id", "read_workload", "write_state", "write_task_id"]

# Digits of the numbers in a task name; an accepted workload has far fewer tasks.
MAX_COUNT_DIGITS = 15
# Parsed names of tasks that are kept, as upstreams name each running task in each of
# their lists, and the longest one. All of them take at most 5 MB.
MAX_CACHED_NAMES = 8192
MAX_CACHED_CHARS = 80
_STATES = {
    WorkloadState.QUEUED: "queued",
    WorkloadState.RUNNING: "running",
    WorkloadState.COMPLETED: "completed",
    WorkloadState.FAILED: "failed",
    WorkloadState.CANCELLED: "cancelled",
}


def read_workload(workload_id: str, fields: Fields) -> WorkloadSpec:
    """Read a workload.

    Parameters
    ----------
    workload_id : str
        ID from the path.
    fields : Fields
        Content of the body.

    Raises
    ------
    FailureError
        With `MalformedMessage`, naming the invalid field.
    """
    count = len(fields.read_list("steps"))
    if count > MAX_STEPS:
        raise FailureError(
            MalformedMessage(
                field="steps",
                value=f"{count} steps",
                expected=f"at most {MAX_STEPS} steps",
            )
        )
    return WorkloadSpec(
        workload_id=workload_id,
        payload=fields.read_text("spec", ""),
        steps=tuple(_read_step(one) for one in fields.read_objects("steps")),
        repeat_count=fields.read_integer("repeat_count", 0),
        first_due_unix_s=fields.read_number("start_at_ms", 0) / MS_PER_S,
        interval_s=fields.read_number("interval_ms", 0) / MS_PER_S,
    )


def _read_step(fields: Fields) -> StepSpec:
    # Fields that are 0, false or empty are left out on the wire.
    return StepSpec(
        count=fields.read_integer("count", 0),
        needs=read_resources(fields),
        declared_run_s=fields.read_number("estimate_ms", 0) / MS_PER_S,
        depends_on=fields.read_integers("depends_on", []),
        checkpointing=fields.read_flag("checkpointing", False),
        gang=fields.read_flag("gang", False),
        same_rack=fields.read_flag("same_rack", False),
        required_label=fields.read_text("requires", ""),
        preferred_rack=fields.read_text("affinity", ""),
        max_per_upstream=fields.read_integer("anti_affinity", 0),
        speculative=fields.read_flag("speculative", False),
        long_running=fields.read_flag("long_running", False),
        image=fields.read_text("image", ""),
        tail_target_ms=float(fields.read_number("target_ms", 0)),
        fills=fields.read_flag("fills", False),
        max_unavailable=fields.read_integer("miss_allowed", 0),
    )


def write_state(state: WorkloadState) -> str:
    """Return the platform's name of a state."""
    return _STATES[state]


def write_task_id(task: TaskId) -> str:
    """Return the platform's name of a task."""
    return f"{task.workload_id}.{task.occurrence}.{task.step}.{task.index}"


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS


def read_task_id(text: str) -> TaskId:
    """Read the platform's name of a task.

    Raises
    ------
    FailureError
        With `MalformedMessage`.
    """
    if len(text) > MAX_CACHED_CHARS:
        return _parse_task_id(text)
    return _parse_known_task_id(text)


def _parse_task_id(text: str) -> TaskId:
    workload_id, *numbers = text.split(".")
    if len(numbers) == 3 and all(map(_is_count, numbers)):
        occurrence, step, index = map(int, numbers)
        return TaskId(workload_id, occurrence, step, index)
    raise FailureError(
        MalformedMessage(field="task", value=text[:60], expected="ID.K.STEP.INDEX")
    )


_parse_known_task_id = functools.lru_cache(MAX_CACHED_NAMES)(_parse_task_id)

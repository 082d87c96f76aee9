"""Record of the events of a run of the workload check, in their order."""

import hashlib
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

from tanagerpath.benchmarks.workload_check_events import (
    CheckEvent,
    Decided,
    EvacuationEvent,
    FaultInjected,
    StepAborted,
    TaskEvent,
    WorkloadLeftOpen,
    WorkloadLost,
    WorkloadShown,
    name_task,
)
from tanagerpath.core.workloads.specs import TaskId

__all__ = ["History"]

EventT = TypeVar("EventT", bound=CheckEvent)
# Decisions that concern every task.
COMMON_DECISIONS = ("leadership taken", "leadership ended")


class History:
    """Records events and passes each of them on.

    Parameters
    ----------
    read_clock : callable
        Returns the virtual time in seconds.
    """

    def __init__(self, read_clock: Callable[[], float]) -> None:
        self._read_clock = read_clock
        self._digest = hashlib.sha256()
        self.events: list[CheckEvent] = []
        self.by_task: dict[TaskId, list[TaskEvent]] = {}
        self.listeners: list[Callable[[CheckEvent], None]] = []

    @property
    def digest(self) -> str:
        """Digest of all events, equal for equal runs."""
        return self._digest.hexdigest()[:16]

    def add(self, event_type: type[EventT], **fields: Any) -> EventT:
        """Record an event of now and return it."""
        event = event_type(
            order=len(self.events), at_s=round(self._read_clock(), 6), **fields
        )
        self.events.append(event)
        self._digest.update(f"{event.at_s} {event.describe()}\n".encode())
        if isinstance(event, TaskEvent):
            self.by_task.setdefault(event.task, []).append(event)
        for listener in self.listeners:
            listener(event)
        return event

    def select(self, task: TaskId, event_type: type[EventT]) -> Iterator[EventT]:
        """Return the events of one type of a task, oldest first."""
        for event in self.by_task.get(task, ()):
            if isinstance(event, event_type):
                yield event

    def describe(self, subject: str) -> list[str]:
        """Return the lines about a task or workload, with faults and leaders."""
        return [
            f"{event.at_s:.3f} {event.describe()}"
            for event in self.events
            if _concerns(event, subject)
        ]


def _concerns(event: CheckEvent, subject: str) -> bool:
    workload_id = subject.split(".")[0]
    match event:
        case Decided(decision=decision, fields=fields):
            names = (fields.get("task"), fields.get("workload"))
            return (
                decision in COMMON_DECISIONS or subject in names or workload_id in names
            )
        case TaskEvent(task=task) if subject == workload_id:
            return task.workload_id == workload_id
        case TaskEvent(task=task):
            return name_task(task) == subject
        case StepAborted() | FaultInjected() | EvacuationEvent():
            return True
        case WorkloadShown() | WorkloadLost() | WorkloadLeftOpen():
            return event.workload_id == workload_id
        case _:
            return False

"""Typed events of a run of the workload check."""

import abc
from typing import Any

import attrs

from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.specs import TaskId

__all__ = [
    "CheckEvent",
    "Decided",
    "EndAcknowledged",
    "EndListed",
    "EndRecorded",
    "EvacuationAcknowledged",
    "EvacuationEvent",
    "EvacuationOrdered",
    "EvacuationRecorded",
    "FaultInjected",
    "RunEnded",
    "RunKilled",
    "RunStarted",
    "StartRecorded",
    "StepAborted",
    "TaskEvent",
    "WorkloadLeftOpen",
    "WorkloadLost",
    "WorkloadShown",
    "name_task",
]


def name_task(task: TaskId) -> str:
    """Return the name of a task in log lines of the product."""
    return f"{task.workload_id}.{task.occurrence}.{task.step}.{task.index}"


@attrs.frozen(kw_only=True)
class CheckEvent(abc.ABC):
    """An event; `order` increases with each one, `at_s` is its virtual instant."""

    order: int
    at_s: float

    @abc.abstractmethod
    def describe(self) -> str:
        """Return one line without the instant."""


@attrs.frozen(kw_only=True)
class TaskEvent(CheckEvent):
    """An event of one run of a task."""

    task: TaskId
    run: int

    @property
    def name(self) -> str:
        """Task and number of the run."""
        return f"{name_task(self.task)} run {self.run}"


@attrs.frozen(kw_only=True)
class StartRecorded(TaskEvent):
    """The log holds the start of a run."""

    incarnation: str

    def describe(self) -> str:
        """Return one line; see the base class."""
        return f"start recorded: {self.name} on {self.incarnation}"


@attrs.frozen(kw_only=True)
class RunStarted(TaskEvent):
    """An upstream began a run.

    Attributes
    ----------
    incarnation, ordered_of : str
        The incarnation that began it, and the one that the order was for.
    fencing_token : int
        Term of the leader that sent the order.
    delay_s : float
        Seconds from the sending of the order.
    """

    incarnation: str
    ordered_of: str
    fencing_token: int
    delay_s: float

    @property
    def is_misdirected(self) -> bool:
        """Whether the order was for an earlier incarnation."""
        return self.incarnation != self.ordered_of

    def describe(self) -> str:
        """Return one line; see the base class."""
        origin = f", ordered of {self.ordered_of}" if self.is_misdirected else ""
        return (
            f"START {self.name} on {self.incarnation}{origin}, "
            f"token {self.fencing_token}, {self.delay_s:.3f} s after the order"
        )


@attrs.frozen(kw_only=True)
class RunEnded(TaskEvent):
    """A run ended on an upstream, which gave the end a number."""

    incarnation: str
    number: int
    outcome: RunOutcome

    def describe(self) -> str:
        """Return one line; see the base class."""
        return f"END {self.outcome}: {self.name} on {self.incarnation}, {self.number}"


@attrs.frozen(kw_only=True)
class RunKilled(TaskEvent):
    """A run was lost with the process of its upstream."""

    incarnation: str

    def describe(self) -> str:
        """Return one line; see the base class."""
        return f"killed: {self.name} on {self.incarnation}"


@attrs.frozen(kw_only=True)
class EndListed(TaskEvent):
    """A reply that lists an end reached a leader."""

    incarnation: str
    outcome: RunOutcome
    vm_id: str
    term: int

    def describe(self) -> str:
        """Return one line; see the base class."""
        return (
            f"listed {self.outcome}: {self.name} on {self.incarnation}, "
            f"read by {self.vm_id} in term {self.term}"
        )


@attrs.frozen(kw_only=True)
class EndRecorded(TaskEvent):
    """The log holds the end of a run."""

    outcome: RunOutcome

    def describe(self) -> str:
        """Return one line; see the base class."""
        return f"end recorded: {self.name} as {self.outcome}"


@attrs.frozen(kw_only=True)
class EndAcknowledged(TaskEvent):
    """The cursor of a renewal reached an end.

    Attributes
    ----------
    end : RunEnded
        The end.
    is_lease_expired : bool
        Whether the lease of the upstream expired between the two.
    is_busy_lease_expired : bool
        Whether it expired while a run was there.
    """

    end: RunEnded
    is_lease_expired: bool
    is_busy_lease_expired: bool

    def describe(self) -> str:
        """Return one line; see the base class."""
        lease = "held"
        if self.is_lease_expired:
            lease = "expired" if self.is_busy_lease_expired else "expired while idle"
        return (
            f"ACKNOWLEDGED {self.end.outcome}: {self.name} on "
            f"{self.end.incarnation}, lease {lease}"
        )


@attrs.frozen(kw_only=True)
class WorkloadShown(CheckEvent):
    """A caller was told the state of its workload."""

    workload_id: str
    state: str

    def describe(self) -> str:
        """Return one line; see the base class."""
        return f"{self.workload_id} shown as {self.state}"


@attrs.frozen(kw_only=True)
class WorkloadLost(CheckEvent):
    """A caller was told that its accepted workload is not known."""

    workload_id: str

    def describe(self) -> str:
        """Return one line; see the base class."""
        return f"{self.workload_id} is not known"


@attrs.frozen(kw_only=True)
class WorkloadLeftOpen(CheckEvent):
    """An accepted workload had no final state when the check ended."""

    workload_id: str

    def describe(self) -> str:
        """Return one line; see the base class."""
        return f"{self.workload_id} has no final state"


@attrs.frozen(kw_only=True)
class CancellationAcknowledged(CheckEvent):
    """A caller was told that its workload does not run any more, or never will."""

    workload_id: str

    def describe(self) -> str:
        """Return one line; see the base class."""
        return f"cancellation of {self.workload_id} acknowledged"


@attrs.frozen(kw_only=True)
class Decided(CheckEvent):
    """A control node logged a decision."""

    vm_id: str
    term: int
    decision: str
    fields: dict[str, Any]

    def describe(self) -> str:
        """Return one line; see the base class."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.vm_id} term {self.term}: {self.decision} {fields}"


@attrs.frozen(kw_only=True)
class EvacuationEvent(CheckEvent):
    """An event about an order to begin or end the evacuation of a zone."""

    zone: str
    is_evacuated: bool

    @property
    def name(self) -> str:
        """The order and its zone."""
        return f"{'evacuation' if self.is_evacuated else 'withdrawal'} of {self.zone}"


@attrs.frozen(kw_only=True)
class EvacuationOrdered(EvacuationEvent):
    """An operator sent an order for the first time."""

    def describe(self) -> str:
        """Return one line; see the base class."""
        return f"ordered: {self.name}"


@attrs.frozen(kw_only=True)
class EvacuationAcknowledged(EvacuationEvent):
    """An operator got the acknowledgement of its order."""

    def describe(self) -> str:
        """Return one line; see the base class."""
        return f"acknowledged: {self.name}"


@attrs.frozen(kw_only=True)
class EvacuationRecorded(EvacuationEvent):
    """An order in the log took effect."""

    revision: int

    def describe(self) -> str:
        """Return one line; see the base class."""
        return f"recorded: {self.name}, revision {self.revision}"


@attrs.frozen(kw_only=True)
class FaultInjected(CheckEvent):
    """A fault began or ended."""

    text: str

    def describe(self) -> str:
        """Return one line; see the base class."""
        return f"fault: {self.text}"


@attrs.frozen(kw_only=True)
class StepAborted(CheckEvent):
    """A step of a node went on without end, and its process was killed."""

    vm_id: str
    term: int

    def describe(self) -> str:
        """Return one line; see the base class."""
        return f"{self.vm_id} term {self.term}: a step does not end"

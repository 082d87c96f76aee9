"""What happens to runs on the stand-in workers of the soak."""

import attrs

from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.specs import TaskId

__all__ = ["EndAcknowledged", "LeaseExpired", "RunEnded", "RunEvent", "RunStarted"]


@attrs.frozen
class RunStarted:
    """A run began; `token` is the fencing token of the order."""

    worker_id: str
    task: TaskId
    run: int
    token: int
    at_s: float


@attrs.frozen
class RunEnded:
    """A run ended and is listed under `number`."""

    worker_id: str
    number: int
    task: TaskId
    run: int
    outcome: RunOutcome
    at_s: float


@attrs.frozen
class EndAcknowledged:
    """A renewal with the fencing token `token` acknowledged an end."""

    worker_id: str
    number: int
    token: int
    at_s: float


@attrs.frozen
class LeaseExpired:
    """The lease of a worker expired; `was_idle` says that nothing ran on it."""

    worker_id: str
    was_idle: bool
    at_s: float


RunEvent = RunStarted | RunEnded | EndAcknowledged | LeaseExpired

"""What the dispatcher takes and returns."""

from typing import Any

import attrs

from tanagerpath.core.workloads.commands import WorkloadCommand
from tanagerpath.core.workloads.state import Applied

__all__ = ["CommandRecorded", "CommandRejected", "HeartbeatArrived", "NoteDecision"]


@attrs.frozen
class CommandRecorded:
    """A committed command was applied to the state."""

    command: WorkloadCommand
    applied: Applied


@attrs.frozen
class CommandRejected:
    """A command of this leader was not appended."""

    command: WorkloadCommand


@attrs.frozen
class HeartbeatArrived:
    """A heartbeat that changes nothing in the state."""

    upstream_id: str
    sequence: int
    clock_ms: int | None
    remaining_s: float | None


@attrs.frozen
class NoteDecision:
    """A decision for the log: what was decided, on what, and how it came out."""

    name: str
    fields: dict[str, Any]

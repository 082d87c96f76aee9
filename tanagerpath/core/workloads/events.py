"""Events that the dispatcher handles, and decisions that it logs."""

from typing import Any

import attrs

from tanagerpath.core.workloads.commands import WorkloadCommand
from tanagerpath.core.workloads.state import Applied
from tanagerpath.core.workloads.wait_reasons import WaitReason

__all__ = [
    "AdmissionDecided",
    "CommandRecorded",
    "CommandRejected",
    "LogDecision",
    "ReportEvacuation",
    "ReportStanding",
]


@attrs.frozen
class CommandRecorded:
    """A committed command was applied to the state."""

    command: WorkloadCommand
    applied: Applied


@attrs.frozen
class CommandRejected:
    """A command of this leader was not appended to the log."""

    command: WorkloadCommand


@attrs.frozen
class ReportEvacuation:
    """Shows in the metrics whether an availability zone is evacuated."""

    zone: str
    is_evacuated: bool


@attrs.frozen
class ReportStanding:
    """Shows in the metrics how many workloads stand still, and why.

    Attributes
    ----------
    counts : dict of WaitReason to int
        Workloads by reason; other reasons have none.
    longest_s : float
        Longest time for which one of them has stood still.
    """

    counts: dict[WaitReason, int]
    longest_s: float = 0.0


@attrs.frozen
class AdmissionDecided:
    """Counts a decision on a submitted workload.

    Attributes
    ----------
    queue, organisation : str
        Where it was submitted, and by whom.
    outcome : str
        "admitted" or "refused".
    """

    queue: str
    organisation: str
    outcome: str


@attrs.frozen
class LogDecision:
    """Writes a decision to the log.

    Attributes
    ----------
    name : str
        Message of the line.
    fields : dict of str to object
        Fields of the line.
    is_about_task : bool
        Whether it is about a single task. There are many of these lines, so they
        have a rate limit of their own.
    is_fault : bool
        Whether it reports an unexpected error; see `containment`.
    """

    name: str
    fields: dict[str, Any]
    is_about_task: bool = False
    is_fault: bool = False

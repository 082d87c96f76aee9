"""Messages to the task that owns the state of an entry of gang jobs."""

import attrs

from tanagerpath.core.model import JobRequest
from tanagerpath.runtime import Reply

__all__ = [
    "Admit",
    "BeginDrain",
    "CheckReadiness",
    "Release",
    "UnwatchJob",
    "WatchJob",
]


@attrs.frozen
class Admit:
    """May this job be passed on? `reply` gets None or a failure."""

    job: JobRequest
    reply: Reply


@attrs.frozen
class Release:
    """An admitted request of this organisation has ended."""

    organisation: str


@attrs.frozen(eq=False)
class WatchJob:
    """Send `changed` once when the job ends or may have ended."""

    job_id: str
    changed: Reply


@attrs.frozen(eq=False)
class UnwatchJob:
    """Take a `WatchJob` back."""

    job_id: str
    changed: Reply


@attrs.frozen
class CheckReadiness:
    """`reply` gets None if the entry takes work, else the failure."""

    reply: Reply


@attrs.frozen
class BeginDrain:
    """Refuse new work from now on."""

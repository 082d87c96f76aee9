"""Messages to the task that owns the state of an entry process of gang jobs."""

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
    """Asks to admit a job; `reply` gets None or the reason for a refusal."""

    job: JobRequest
    reply: Reply


@attrs.frozen
class Release:
    """Reports that an admitted request of this organisation has ended."""

    organisation: str


@attrs.frozen(eq=False)
class WatchJob:
    """Asks for `changed` to be sent once, when the job has or may have ended."""

    job_id: str
    changed: Reply


@attrs.frozen(eq=False)
class UnwatchJob:
    """Cancels a `WatchJob`."""

    job_id: str
    changed: Reply


@attrs.frozen
class CheckReadiness:
    """Asks for readiness; `reply` gets None if the entry is ready, else the reason."""

    reply: Reply


@attrs.frozen
class BeginDrain:
    """Makes the entry refuse new work."""

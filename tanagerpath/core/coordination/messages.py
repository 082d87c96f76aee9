"""Input events and output effects of the coordinator."""

import enum

import attrs
from returns.result import Result

from tanagerpath.core.model import JobClass, JobRequest
from tanagerpath.core.protocol import upstreams as protocol
from tanagerpath.core.state import Command
from tanagerpath.errors import Failure

__all__ = [
    "CallUpstream",
    "CommandApplied",
    "CountEvent",
    "Effect",
    "Event",
    "Instant",
    "JobPeriod",
    "LeaveArrived",
    "Propose",
    "RecordPeriod",
    "ReportArrived",
    "Respond",
    "Ticked",
    "UpstreamCallFailed",
    "UpstreamReplied",
]


@attrs.frozen
class Instant:
    """One reading of the clocks.

    Attributes
    ----------
    now_s : float
        Seconds on the monotonic clock.
    unix_s : float
        UTC seconds.
    has_lease : bool
        Whether this process held the leader lease at that time.
    """

    now_s: float
    unix_s: float
    has_lease: bool = True


@attrs.frozen
class Ticked:
    """Time has passed."""


@attrs.frozen
class CommandApplied:
    """A committed command was applied to the state."""

    command: Command
    result: Result[object, Failure]


@attrs.frozen
class UpstreamReplied:
    """An exchange with an upstream ended with a reply."""

    upstream_id: str
    incarnation: str
    request: object
    reply: object


@attrs.frozen
class UpstreamCallFailed:
    """An exchange with an upstream ended without a reply."""

    upstream_id: str
    incarnation: str
    request: object
    failure: Failure


@attrs.frozen
class ReportArrived:
    """A report from an upstream; `token` identifies the waiting exchange."""

    token: int
    report: protocol.TaskReport


@attrs.frozen
class LeaveArrived:
    """An upstream leaves; `token` identifies the waiting exchange."""

    token: int
    notice: protocol.LeaveNotice


Event = (
    Ticked
    | CommandApplied
    | UpstreamReplied
    | UpstreamCallFailed
    | ReportArrived
    | LeaveArrived
)


@attrs.frozen
class Propose:
    """Append a command to the replicated log."""

    command: Command


@attrs.frozen
class CallUpstream:
    """Send a request to an upstream; its outcome comes back as an event.

    Attributes
    ----------
    upstream_id, incarnation, address : str
        Upstream to call; the event carries the same incarnation. Calls to other
        services have neither identity nor incarnation: their requests have types of
        their own.
    request : object
        A request message of `tanagerpath.core.protocol.upstreams`, or an order of
        `tanagerpath.core.workloads`.
    timeout_s : float or None
        Timeout of the exchange; None for the setting of the process.
    """

    upstream_id: str
    incarnation: str
    address: str
    request: object
    timeout_s: float | None = None


@attrs.frozen
class Respond:
    """Answer the exchange that a token identifies."""

    token: int
    reply: object


class JobPeriod(enum.StrEnum):
    """Measured periods in the life cycle of a job.

    WAITING lasts from the acceptance to the recorded start, START from there until all
    members run, COMPLETION from the acceptance to the end.
    """

    WAITING = "waiting"
    START = "start"
    COMPLETION = "completion"


@attrs.frozen
class RecordPeriod:
    """A measured period of a job; `job_class` is the queue of a workload."""

    period: JobPeriod
    organisation: str
    job_class: JobClass | str
    elapsed_s: float

    @classmethod
    def from_request(
        cls, period: JobPeriod, request: JobRequest, elapsed_s: float
    ) -> "RecordPeriod":
        """Return a period of a job; a backward clock step counts as 0 s."""
        return cls(period, request.organisation, request.job_class, max(0.0, elapsed_s))


@attrs.frozen
class CountEvent:
    """Increment the counter of a named event."""

    name: str


Effect = Propose | CallUpstream | Respond | RecordPeriod | CountEvent

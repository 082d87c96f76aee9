"""Messages between entries and the leader about workloads."""

import attrs

from tanagerpath.core.workloads.commands import UpstreamRecord
from tanagerpath.core.workloads.configuration import Configuration
from tanagerpath.core.workloads.records import WorkloadState
from tanagerpath.core.workloads.specs import WorkloadSpec

__all__ = [
    "Call",
    "CancelWorkloadRequest",
    "ConfigurationQuery",
    "ConfigurationReply",
    "ConfigurationRequest",
    "ConfigurationStored",
    "LeaderQuery",
    "LeaderReply",
    "PendingCount",
    "PendingQuery",
    "SubmitWorkload",
    "UpstreamReport",
    "UpstreamReportReply",
    "WaveQuery",
    "WaveReply",
    "WaveRequest",
    "WithdrawalReport",
    "WorkloadQuery",
    "WorkloadReply",
    "WorkloadRequest",
    "WorkloadResponse",
]


@attrs.frozen
class Call:
    """Where a caller's request was addressed, and with which key."""

    host: str
    path: str
    api_key: str = ""


@attrs.frozen
class SubmitWorkload:
    """A caller submits a workload; the same identity is the same workload."""

    call: Call
    spec: WorkloadSpec


@attrs.frozen
class WorkloadQuery:
    """A caller asks for the state of a workload."""

    call: Call
    workload_id: str


@attrs.frozen
class CancelWorkloadRequest:
    """A caller cancels a workload."""

    call: Call
    workload_id: str


@attrs.frozen
class PendingQuery:
    """A caller asks how many workloads of a queue have not begun."""

    call: Call


@attrs.frozen
class UpstreamReport:
    """A heartbeat of an upstream.

    Attributes
    ----------
    record : UpstreamRecord
        What it says of itself.
    sequence : int
        Grows with each heartbeat of one incarnation.
    clock_ms : int or None
        Its steady clock at the sending.
    remaining_s : float or None
        Least seconds that are left while it drains.
    """

    record: UpstreamRecord
    sequence: int = 0
    clock_ms: int | None = None
    remaining_s: float | None = None


@attrs.frozen
class WithdrawalReport:
    """An upstream ends now."""

    upstream_id: str


@attrs.frozen
class ConfigurationRequest:
    """An operator puts a configuration in force."""

    configuration: Configuration


@attrs.frozen
class ConfigurationQuery:
    """An operator reads the newest configuration."""


@attrs.frozen
class WaveRequest:
    """An operator asks for the upkeep of some VMs.

    Attributes
    ----------
    wave : int
        Number of the wave.
    vm_ids : tuple of str
        Its VMs.
    duration_s : float
        Seconds in which all upkeeps shall have begun.
    most_at_once : int
        Most VMs that are away for it at the same time.
    """

    wave: int
    vm_ids: tuple[str, ...]
    duration_s: float
    most_at_once: int


@attrs.frozen
class WaveQuery:
    """An operator asks how far a wave is."""

    wave: int


@attrs.frozen
class LeaderQuery:
    """A process asks for the leader and the control VMs."""


@attrs.frozen
class WorkloadReply:
    """State of a workload."""

    workload_id: str
    state: WorkloadState


@attrs.frozen
class PendingCount:
    """Workloads of a queue that have not begun."""

    count: int


@attrs.frozen
class UpstreamReportReply:
    """A heartbeat or a withdrawal was taken.

    `leader_address` is where the leader listens for other processes of the system.
    """

    leader_address: str = ""


@attrs.frozen
class ConfigurationStored:
    """The version in force after an operator's request."""

    version: int


@attrs.frozen
class ConfigurationReply:
    """The newest configuration as the operator sent it."""

    version: int
    document: str


@attrs.frozen
class WaveReply:
    """Whether the upkeep of all VMs of a wave has begun."""

    wave: int
    is_completed: bool


@attrs.frozen
class LeaderReply:
    """The leader and all control VMs, as "ip:port"."""

    leader_address: str
    control_addresses: tuple[str, ...] = ()


WorkloadRequest = (
    SubmitWorkload
    | WorkloadQuery
    | CancelWorkloadRequest
    | PendingQuery
    | UpstreamReport
    | WithdrawalReport
    | ConfigurationRequest
    | ConfigurationQuery
    | WaveRequest
    | WaveQuery
    | LeaderQuery
)

WorkloadResponse = (
    WorkloadReply
    | PendingCount
    | UpstreamReportReply
    | ConfigurationStored
    | ConfigurationReply
    | WaveReply
    | LeaderReply
)

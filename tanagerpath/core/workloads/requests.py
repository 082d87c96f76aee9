"""Requests of entry processes to the leader about workloads, and the replies."""

import attrs

from tanagerpath.core.workloads.commands import UpstreamRecord
from tanagerpath.core.workloads.configuration import CallerLimits, Configuration
from tanagerpath.core.workloads.records import WorkloadState
from tanagerpath.core.workloads.specs import WorkloadSpec

__all__ = [
    "Call",
    "CancelWorkloadRequest",
    "ConfigurationQuery",
    "ConfigurationReply",
    "ConfigurationRequest",
    "ConfigurationStored",
    "EvacuationChange",
    "EvacuationQuery",
    "EvacuationReply",
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
    """Host, path and API key of a caller's request."""

    host: str
    path: str
    api_key: str = ""


@attrs.frozen
class SubmitWorkload:
    """A caller submits a workload; repeated requests are idempotent."""

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
    """A caller asks for the number of pending workloads of a queue."""

    call: Call


@attrs.frozen
class UpstreamReport:
    """A heartbeat of an upstream.

    Attributes
    ----------
    record : UpstreamRecord
        Description of the upstream.
    sequence : int
        Number that increases with each heartbeat of an incarnation.
    clock_ms : int or None
        Reading of its monotonic clock at the time of sending.
    remaining_s : float or None
        Seconds for which a draining upstream stays at least.
    """

    record: UpstreamRecord
    sequence: int = 0
    clock_ms: int | None = None
    remaining_s: float | None = None


@attrs.frozen
class WithdrawalReport:
    """An upstream announces that it is shutting down now."""

    upstream_id: str


@attrs.frozen
class ConfigurationRequest:
    """An operator applies a configuration."""

    configuration: Configuration


@attrs.frozen
class ConfigurationQuery:
    """An operator reads the current configuration."""


@attrs.frozen
class WaveRequest:
    """An operator requests the upkeep of VMs.

    Attributes
    ----------
    wave : int
        Number of the wave.
    vm_ids : tuple of str
        VMs of the wave.
    duration_s : float
        Seconds within which the upkeep of all VMs has to begin.
    most_at_once : int
        Most VMs that are in upkeep at the same time.
    """

    wave: int
    vm_ids: tuple[str, ...]
    duration_s: float
    most_at_once: int


@attrs.frozen
class WaveQuery:
    """An operator asks whether a wave is completed."""

    wave: int


@attrs.frozen
class EvacuationQuery:
    """A process asks for the revision that an operator's order is to replace."""

    zone: str


@attrs.frozen
class EvacuationChange:
    """An operator begins or ends the evacuation of an availability zone.

    A request that is repeated with the same revision takes effect once.

    Attributes
    ----------
    zone : str
        The availability zone.
    is_evacuated : bool
        Whether no new run may start there.
    expected_revision : int
        Revision of the zone when the operator's order was still open.
    """

    zone: str
    is_evacuated: bool
    expected_revision: int


@attrs.frozen
class LeaderQuery:
    """A process asks for the addresses of the leader and the control VMs."""


@attrs.frozen
class WorkloadReply:
    """State of a workload."""

    workload_id: str
    state: WorkloadState


@attrs.frozen
class PendingCount:
    """Number of workloads of a queue that have not begun."""

    count: int


@attrs.frozen
class UpstreamReportReply:
    """A heartbeat or a withdrawal was accepted.

    `leader_address` is the leader's address for other processes of the system.
    """

    leader_address: str = ""


@attrs.frozen
class ConfigurationStored:
    """Version of the current configuration after an operator's request."""

    version: int


@attrs.frozen
class ConfigurationReply:
    """The current configuration as the operator sent it."""

    version: int
    document: str


@attrs.frozen
class WaveReply:
    """Whether the upkeep of all VMs of a wave has begun."""

    wave: int
    is_completed: bool


@attrs.frozen
class EvacuationReply:
    """The last order for an availability zone that is in the log."""

    zone: str
    is_evacuated: bool
    revision: int


@attrs.frozen
class LeaderReply:
    """Addresses of the leader and of all control VMs, as "ip:port".

    `caller_limits` are those of the current configuration, None if it has none.
    """

    leader_address: str
    control_addresses: tuple[str, ...] = ()
    caller_limits: CallerLimits | None = None


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
    | EvacuationQuery
    | EvacuationChange
    | LeaderQuery
)

WorkloadResponse = (
    WorkloadReply
    | PendingCount
    | UpstreamReportReply
    | ConfigurationStored
    | ConfigurationReply
    | WaveReply
    | EvacuationReply
    | LeaderReply
)

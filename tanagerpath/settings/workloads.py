"""Settings of the processes that serve workloads."""

import pathlib

import attrs

from tanagerpath.settings import common
from tanagerpath.settings.base import SettingsBase
from tanagerpath.settings.bounds import MIN_DESCRIPTORS, MIN_MEMORY_LIMIT_MB
from tanagerpath.settings.declaration import Ordering, Setting, declare
from tanagerpath.settings.values import (
    AddressesType,
    AddressType,
    ChoiceType,
    FlagType,
    NamesType,
    NameType,
    NumberType,
    OptionalAddressType,
    WholeNumberType,
)

__all__ = [
    "WorkloadControlSettings",
    "WorkloadEntrySettings",
    "WorkloadRelaySettings",
]


_SEEDS = Setting(
    name="seeds",
    type=AddressesType(),
    description="Internal addresses of the control processes to contact first.",
)
_PUBLIC_LISTEN = Setting(
    name="public_listen",
    type=AddressType(),
    description="Address for callers, or for operators and upstreams.",
)
_READINESS_LISTEN = Setting(
    name="readiness_listen",
    type=AddressType(),
    description="Address of the readiness probe for the load balancer.",
)
_MAY_FOUND = Setting(
    name="may_found",
    type=FlagType(),
    default=False,
    description="Whether the system starts for the first time, with empty disks.",
)
_MAX_LEASE_S = common.make_seconds(
    "max_lease_s", 10.0, 1.0, 600.0, "Longest lease that an upstream takes."
)
_GANG_TIMEOUT_S = common.make_seconds(
    "gang_timeout_s",
    3.0,
    0.1,
    600.0,
    "Time that a member of a gang waits for the others.",
)
_STOP_TIMEOUT_S = common.make_seconds(
    "stop_timeout_s",
    0.2,
    0.0,
    60.0,
    "Longest time for which a run goes on after its upstream was told to stop it.",
)
_REMOTE_FACTOR = Setting(
    name="remote_factor",
    type=NumberType(1.0, 1000.0),
    default=3.0,
    description="Factor by which a task runs longer outside its preferred rack.",
)
_CHECKPOINT_INTERVAL_S = common.make_seconds(
    "checkpoint_interval_s", 1.0, 0.01, 3600.0, "Work between two checkpoints."
)
_INTERFERENCE_S = common.make_seconds(
    "interference_s",
    4.0,
    0.1,
    600.0,
    "Time for which a serving task may be over its target.",
)
_GUARANTEED_START_S = common.make_seconds(
    "guaranteed_start_s",
    2.7,
    0.1,
    600.0,
    "Time after its acceptance within which work that a guarantee covers begins.",
)
_EVACUATION_S = common.make_seconds(
    "evacuation_s",
    60.0,
    0.001,
    86_400.0,
    "Time after which no run starts any more in an evacuated availability zone.",
)
_AVAILABILITY_ZONES = Setting(
    name="availability_zones",
    type=NamesType(),
    default=(),
    description="Availability zones that may be evacuated; any if empty.",
)
_ADMISSION = Setting(
    name="admission",
    type=ChoiceType(("unlimited", "useful")),
    default="unlimited",
    description="Which workloads are accepted: all, or those that can end in time.",
)
_ADVICE_ADDRESS = Setting(
    name="advice_address",
    type=OptionalAddressType(),
    default="",
    description="Service that must approve the placement of tasks of some queues.",
)
_PLATFORM_ADDRESS = Setting(
    name="platform_address",
    type=OptionalAddressType(),
    default="",
    description="Address of the platform's VM interface.",
)
_STATUS_RETENTION_S = common.make_seconds(
    "status_retention_s",
    120.0,
    1.0,
    86_400.0,
    "Time for which the state of an ended workload is shown.",
)
_HEARTBEAT_INTERVAL_S = common.make_seconds(
    "heartbeat_interval_s", 0.2, 0.001, 10.0, "Time between a leader's heartbeats."
)
_ELECTION_TIMEOUT_MIN_S = common.make_seconds(
    "election_timeout_min_s",
    0.8,
    0.01,
    60.0,
    "Shortest time without a heartbeat after which a replica stands for election.",
)
_ELECTION_TIMEOUT_MAX_S = common.make_seconds(
    "election_timeout_max_s", 1.5, 0.01, 120.0, "Upper limit of the election timeout."
)
_LEASE_DURATION_S = common.make_seconds(
    "lease_duration_s",
    0.7,
    0.01,
    60.0,
    "Time from sending an acknowledged heartbeat for which a leader may decide.",
)
_REPLACE_VOTER_AFTER_S = common.make_seconds(
    "replace_voter_after_s",
    2.5,
    0.1,
    86_400.0,
    "Absence after which another control process gets the vote of a voter.",
)
_TOLERATED_VMS = Setting(
    name="tolerated_vms",
    type=WholeNumberType(1, 100),
    default=1,
    description="VMs with a disk that may be lost at once; for n of them, 2n + 1 vote.",
)
_TOLERATED_FAULT_DOMAINS = Setting(
    name="tolerated_fault_domains",
    type=WholeNumberType(0, 100),
    default=0,
    description="Whole fault domains that may be lost at once.",
)
_FAULT_DOMAIN = Setting(
    name="fault_domain",
    type=NameType(),
    default="default",
    description="Name shared by all VMs that may be lost together.",
)
_CONTROL_DRAIN_TIMEOUT_S = common.make_seconds(
    "drain_timeout_s",
    1.5,
    0.1,
    3600.0,
    "Longest time that a graceful stop waits for the transfer of leadership.",
)
_DRAIN_NOTICE_S = common.make_seconds(
    "drain_notice_s",
    2.5,
    0.0,
    600.0,
    "Time between the first failing readiness probe and the end of new connections.",
)
_DRAIN_TIMEOUT_S = common.make_seconds(
    "drain_timeout_s",
    2.5,
    0.1,
    3600.0,
    "Longest time that a graceful stop waits for requests in flight.",
)
_LEADER_TIMEOUT_S = common.make_seconds(
    "leader_timeout_s",
    2.0,
    0.05,
    60.0,
    "Longest time that a request waits for the leader.",
)
_EXCHANGE_TIMEOUT_S = common.make_seconds(
    "exchange_timeout_s",
    0.7,
    0.01,
    60.0,
    "Time after which an exchange with a control process is given up.",
)
_MEMORY_LIMIT_MB = Setting(
    name="memory_limit_mb",
    type=WholeNumberType(MIN_MEMORY_LIMIT_MB, 10_000_000),
    unit="MB",
    default=512,
    description="Memory of the process; bodies, handlers and connections get a part.",
)
_MAX_DESCRIPTORS = Setting(
    name="max_descriptors",
    type=WholeNumberType(MIN_DESCRIPTORS, 10_000_000),
    unit="descriptors",
    default=1024,
    description="Open files of the process; each listener gets a share of them.",
)
_HEADER_TIMEOUT_S = common.make_seconds(
    "header_timeout_s",
    10.0,
    0.1,
    3600.0,
    "Time within which a client has to send a whole header.",
)
_IDLE_TIMEOUT_S = common.make_seconds(
    "idle_timeout_s",
    75.0,
    0.1,
    3600.0,
    "Time without a request, or a byte of a body, after which a connection is closed.",
)
_WRITE_TIMEOUT_S = common.make_seconds(
    "write_timeout_s",
    10.0,
    0.1,
    3600.0,
    "Time for which a client may leave a reply unread.",
)
_CHUNK_OVERHEAD_KIB = Setting(
    name="chunk_overhead_kib",
    type=WholeNumberType(1, 65_536),
    unit="KiB",
    default=64,
    description="By how much chunk lines and trailers of a body may exceed its data.",
)
_CALLER_HEADER_KIB = Setting(
    name="caller_header_kib",
    type=WholeNumberType(1, 1024),
    unit="KiB",
    default=64,
    description="Largest header of a caller if the configuration has no limit.",
)
_CALLER_BODY_KIB = Setting(
    name="caller_body_kib",
    type=WholeNumberType(1, 65_536),
    unit="KiB",
    default=1024,
    description="Largest body of a caller if the configuration has no limit.",
)


@attrs.frozen(kw_only=True)
class WorkloadControlSettings(SettingsBase):
    """Settings of a control process for workloads; docs/settings.md has each one."""

    ORDERINGS = (
        Ordering("heartbeat_interval_s", "lease_duration_s"),
        # Otherwise a new leader could decide while the old one still holds its lease.
        Ordering("lease_duration_s", "election_timeout_min_s"),
        # Equal limits would leave no randomness to resolve a split vote.
        Ordering("election_timeout_min_s", "election_timeout_max_s"),
        Ordering("election_timeout_max_s", "replace_voter_after_s"),
    )

    vm_id: str = declare(common.VM_ID)
    availability_zone: str = declare(common.AVAILABILITY_ZONE)
    listen: str = declare(common.LISTEN)
    public_listen: str = declare(_PUBLIC_LISTEN)
    seeds: tuple[str, ...] = declare(_SEEDS)
    data_dir: pathlib.Path = declare(common.DATA_DIR)  # noqa: RUF009 - an attrs field
    may_found: bool = declare(_MAY_FOUND)
    max_lease_s: float = declare(_MAX_LEASE_S)
    gang_timeout_s: float = declare(_GANG_TIMEOUT_S)
    stop_timeout_s: float = declare(_STOP_TIMEOUT_S)
    remote_factor: float = declare(_REMOTE_FACTOR)
    checkpoint_interval_s: float = declare(_CHECKPOINT_INTERVAL_S)
    interference_s: float = declare(_INTERFERENCE_S)
    guaranteed_start_s: float = declare(_GUARANTEED_START_S)
    evacuation_s: float = declare(_EVACUATION_S)
    availability_zones: tuple[str, ...] = declare(_AVAILABILITY_ZONES)
    admission: str = declare(_ADMISSION)
    advice_address: str = declare(_ADVICE_ADDRESS)
    platform_address: str = declare(_PLATFORM_ADDRESS)
    status_retention_s: float = declare(_STATUS_RETENTION_S)
    heartbeat_interval_s: float = declare(_HEARTBEAT_INTERVAL_S)
    election_timeout_min_s: float = declare(_ELECTION_TIMEOUT_MIN_S)
    election_timeout_max_s: float = declare(_ELECTION_TIMEOUT_MAX_S)
    lease_duration_s: float = declare(_LEASE_DURATION_S)
    replace_voter_after_s: float = declare(_REPLACE_VOTER_AFTER_S)
    tolerated_vms: int = declare(_TOLERATED_VMS)
    tolerated_fault_domains: int = declare(_TOLERATED_FAULT_DOMAINS)
    fault_domain: str = declare(_FAULT_DOMAIN)
    snapshot_every_entries: int = declare(common.SNAPSHOT_EVERY_ENTRIES)
    upstream_connections: int = declare(common.UPSTREAM_CONNECTIONS)
    leader_timeout_s: float = declare(_LEADER_TIMEOUT_S)
    exchange_timeout_s: float = declare(_EXCHANGE_TIMEOUT_S)
    drain_timeout_s: float = declare(_CONTROL_DRAIN_TIMEOUT_S)
    memory_limit_mb: int = declare(_MEMORY_LIMIT_MB)
    max_descriptors: int = declare(_MAX_DESCRIPTORS)
    header_timeout_s: float = declare(_HEADER_TIMEOUT_S)
    idle_timeout_s: float = declare(_IDLE_TIMEOUT_S)
    write_timeout_s: float = declare(_WRITE_TIMEOUT_S)
    chunk_overhead_kib: int = declare(_CHUNK_OVERHEAD_KIB)
    log_level: str = declare(common.LOG_LEVEL)


@attrs.frozen(kw_only=True)
class WorkloadRelaySettings(SettingsBase):
    """Settings of a control process without a disk; docs/settings.md has each one."""

    vm_id: str = declare(common.VM_ID)
    availability_zone: str = declare(common.AVAILABILITY_ZONE)
    listen: str = declare(common.LISTEN)
    public_listen: str = declare(_PUBLIC_LISTEN)
    seeds: tuple[str, ...] = declare(_SEEDS)
    leader_timeout_s: float = declare(_LEADER_TIMEOUT_S)
    exchange_timeout_s: float = declare(_EXCHANGE_TIMEOUT_S)
    drain_timeout_s: float = declare(_CONTROL_DRAIN_TIMEOUT_S)
    memory_limit_mb: int = declare(_MEMORY_LIMIT_MB)
    max_descriptors: int = declare(_MAX_DESCRIPTORS)
    header_timeout_s: float = declare(_HEADER_TIMEOUT_S)
    idle_timeout_s: float = declare(_IDLE_TIMEOUT_S)
    write_timeout_s: float = declare(_WRITE_TIMEOUT_S)
    chunk_overhead_kib: int = declare(_CHUNK_OVERHEAD_KIB)
    log_level: str = declare(common.LOG_LEVEL)


@attrs.frozen(kw_only=True)
class WorkloadEntrySettings(SettingsBase):
    """Settings of an entry process for workloads; docs/settings.md has each one."""

    vm_id: str = declare(common.VM_ID)
    availability_zone: str = declare(common.AVAILABILITY_ZONE)
    listen: str = declare(common.LISTEN)
    public_listen: str = declare(_PUBLIC_LISTEN)
    readiness_listen: str = declare(_READINESS_LISTEN)
    seeds: tuple[str, ...] = declare(_SEEDS)
    leader_timeout_s: float = declare(_LEADER_TIMEOUT_S)
    exchange_timeout_s: float = declare(_EXCHANGE_TIMEOUT_S)
    drain_notice_s: float = declare(_DRAIN_NOTICE_S)
    drain_timeout_s: float = declare(_DRAIN_TIMEOUT_S)
    memory_limit_mb: int = declare(_MEMORY_LIMIT_MB)
    max_descriptors: int = declare(_MAX_DESCRIPTORS)
    header_timeout_s: float = declare(_HEADER_TIMEOUT_S)
    idle_timeout_s: float = declare(_IDLE_TIMEOUT_S)
    write_timeout_s: float = declare(_WRITE_TIMEOUT_S)
    chunk_overhead_kib: int = declare(_CHUNK_OVERHEAD_KIB)
    caller_header_kib: int = declare(_CALLER_HEADER_KIB)
    caller_body_kib: int = declare(_CALLER_BODY_KIB)
    log_level: str = declare(common.LOG_LEVEL)

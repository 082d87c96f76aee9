"""Settings of a control process of gang jobs."""

import pathlib

import attrs

from tanagerpath.settings import common
from tanagerpath.settings.base import SettingsBase
from tanagerpath.settings.declaration import Ordering, Setting, declare
from tanagerpath.settings.failures import InvalidSetting
from tanagerpath.settings.values import (
    ControlAddress,
    WholeNumberType,
)

__all__ = ["ControlSettings"]


_TICK_INTERVAL_S = common.make_seconds(
    "tick_interval_s", 0.05, 0.001, 1.0, "Time between two ticks of the replica."
)
_HEARTBEAT_INTERVAL_S = common.make_seconds(
    "heartbeat_interval_s", 0.1, 0.001, 10.0, "Time between a leader's heartbeats."
)
_ELECTION_TIMEOUT_MIN_S = common.make_seconds(
    "election_timeout_min_s",
    0.6,
    0.01,
    60.0,
    "Shortest time without a heartbeat after which a replica stands for election.",
)
_ELECTION_TIMEOUT_MAX_S = common.make_seconds(
    "election_timeout_max_s", 1.2, 0.01, 120.0, "Upper limit of the election timeout."
)
_LEASE_DURATION_S = common.make_seconds(
    "lease_duration_s",
    0.5,
    0.01,
    60.0,
    "Time from sending an acknowledged heartbeat for which a leader may decide.",
)
_REPLACE_VOTER_AFTER_S = common.make_seconds(
    "replace_voter_after_s",
    60.0,
    0.1,
    86_400.0,
    "Absence after which a voter is replaced or removed.",
)
_UPSTREAM_LEASE_S = common.make_seconds(
    "upstream_lease_s",
    6.0,
    0.1,
    600.0,
    "Time without renewal after which an upstream stops its tasks.",
)
_UPSTREAM_RENEW_INTERVAL_S = common.make_seconds(
    "upstream_renew_interval_s",
    1.0,
    0.01,
    60.0,
    "Time between two renewals of an upstream's lease.",
)
_CLOCK_MARGIN_S = common.make_seconds(
    "clock_margin_s",
    0.5,
    0.0,
    60.0,
    "Time added to an upstream's lease before its accelerators are reassigned.",
)
_START_TIMEOUT_S = common.make_seconds(
    "start_timeout_s",
    2.0,
    0.05,
    600.0,
    "Time from the record of a start within which all members must start.",
)
_RESERVATION_LAPSE_S = common.make_seconds(
    "reservation_lapse_s",
    3.0,
    0.05,
    600.0,
    "Time after which an unused reservation on an upstream ends by itself.",
)
_CHECKPOINT_GRACE_S = common.make_seconds(
    "checkpoint_grace_s",
    2.0,
    0.0,
    3600.0,
    "Time that a preempted job has to save a checkpoint before it is stopped.",
)
_FEED_HOLD_S = common.make_seconds(
    "feed_hold_s",
    0.5,
    0.01,
    30.0,
    "Time for which the leader holds a poll of an entry open.",
)
_MAX_PROPOSALS_IN_FLIGHT = Setting(
    name="max_proposals_in_flight",
    type=WholeNumberType(1, 1_000_000),
    unit="commands",
    default=4096,
    description="Commands that wait for their commit at the same time.",
)
_JOB_RETENTION_S = common.make_seconds(
    "job_retention_s",
    86_400.0,
    1.0,
    31_536_000.0,
    "Time that an ended job is kept, so that a retry with its key finds it.",
)
_DRAIN_TIMEOUT_S = common.make_seconds(
    "drain_timeout_s",
    10.0,
    0.1,
    3600.0,
    "Longest time that a graceful stop waits for the transfer of leadership.",
)

_ORDERINGS = (
    # A poll held for the whole exchange timeout would look like a lost exchange.
    Ordering("feed_hold_s", "exchange_timeout_s"),
    Ordering("tick_interval_s", "heartbeat_interval_s", or_equal=True),
    Ordering("heartbeat_interval_s", "lease_duration_s"),
    # Otherwise a new leader could decide while the old one still holds its lease.
    Ordering("lease_duration_s", "election_timeout_min_s"),
    # Equal limits would leave no randomness to resolve a split vote.
    Ordering("election_timeout_min_s", "election_timeout_max_s"),
    Ordering("election_timeout_max_s", "replace_voter_after_s"),
    Ordering("upstream_renew_interval_s", "upstream_lease_s"),
    Ordering("exchange_timeout_s", "upstream_lease_s"),
    # A start that arrives after the reservation expired is always rejected.
    Ordering("start_timeout_s", "reservation_lapse_s"),
    Ordering("reservation_lapse_s", "upstream_lease_s", or_equal=True),
)


@attrs.frozen(kw_only=True)
class ControlSettings(SettingsBase):
    """Settings of a control process; docs/settings.md describes each one."""

    ORDERINGS = _ORDERINGS

    vm_id: str = declare(common.VM_ID)
    availability_zone: str = declare(common.AVAILABILITY_ZONE)
    listen: str = declare(common.LISTEN)
    data_dir: pathlib.Path = declare(common.DATA_DIR)  # noqa: RUF009 - an attrs field
    control_addresses: tuple[ControlAddress, ...] = declare(common.CONTROL_ADDRESSES)
    tick_interval_s: float = declare(_TICK_INTERVAL_S)
    heartbeat_interval_s: float = declare(_HEARTBEAT_INTERVAL_S)
    election_timeout_min_s: float = declare(_ELECTION_TIMEOUT_MIN_S)
    election_timeout_max_s: float = declare(_ELECTION_TIMEOUT_MAX_S)
    lease_duration_s: float = declare(_LEASE_DURATION_S)
    replace_voter_after_s: float = declare(_REPLACE_VOTER_AFTER_S)
    snapshot_every_entries: int = declare(common.SNAPSHOT_EVERY_ENTRIES)
    upstream_lease_s: float = declare(_UPSTREAM_LEASE_S)
    upstream_renew_interval_s: float = declare(_UPSTREAM_RENEW_INTERVAL_S)
    clock_margin_s: float = declare(_CLOCK_MARGIN_S)
    exchange_timeout_s: float = declare(common.EXCHANGE_TIMEOUT_S)
    start_timeout_s: float = declare(_START_TIMEOUT_S)
    reservation_lapse_s: float = declare(_RESERVATION_LAPSE_S)
    checkpoint_grace_s: float = declare(_CHECKPOINT_GRACE_S)
    feed_hold_s: float = declare(_FEED_HOLD_S)
    max_proposals_in_flight: int = declare(_MAX_PROPOSALS_IN_FLIGHT)
    job_retention_s: float = declare(_JOB_RETENTION_S)
    upstream_connections: int = declare(common.UPSTREAM_CONNECTIONS)
    drain_timeout_s: float = declare(_DRAIN_TIMEOUT_S)
    log_level: str = declare(common.LOG_LEVEL)

    def find_fault(self) -> InvalidSetting | None:
        """Return the first invalid value or violated constraint, or None."""
        return super().find_fault() or self._find_own_vm_fault()

    def _find_own_vm_fault(self) -> InvalidSetting | None:
        names = [item.vm_id for item in self.control_addresses]
        if self.vm_id in names:
            return None
        return InvalidSetting(
            setting="vm_id",
            value=self.vm_id,
            expected=f"one of control_addresses: {', '.join(names)}",
        )

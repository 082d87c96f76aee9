"""Settings of an entry process of gang jobs."""

import attrs

from tanagerpath.settings import common
from tanagerpath.settings.base import SettingsBase
from tanagerpath.settings.declaration import Ordering, Setting, declare
from tanagerpath.settings.values import ControlAddress, NumberType, WholeNumberType

__all__ = ["EntrySettings"]

_STALENESS_BOUND_S = Setting(
    name="staleness_bound_s",
    type=NumberType(0.1, 60.0),
    unit="s",
    default=3.0,
    description="Age of the last proof of freshness past which new work is refused.",
)
_MAX_REQUESTS_IN_FLIGHT = Setting(
    name="max_requests_in_flight",
    type=WholeNumberType(1, 1_000_000),
    unit="requests",
    default=2000,
    description="Callers' requests that this entry holds at the same time.",
)
_MAX_REQUESTS_PER_ORGANISATION = Setting(
    name="max_requests_per_organisation",
    type=WholeNumberType(1, 1_000_000),
    unit="requests",
    default=500,
    description="Requests held for an organisation, so that none crowds out others.",
)
_RETRY_BUDGET_RATIO = Setting(
    name="retry_budget_ratio",
    type=NumberType(0.0, 1.0),
    default=0.2,
    description="Retries to the control VMs as a share of the requests.",
)
_DRAIN_NOTICE_S = Setting(
    name="drain_notice_s",
    type=NumberType(0.0, 600.0),
    unit="s",
    default=1.0,
    description="Time between the first failing readiness probe and the first refusal.",
)
_DRAIN_TIMEOUT_S = Setting(
    name="drain_timeout_s",
    type=NumberType(0.1, 3600.0),
    unit="s",
    default=30.0,
    description="Longest time that a graceful stop waits for requests in flight.",
)

_ORDERINGS = (
    # A single lost poll must not make an entry stale.
    Ordering("exchange_timeout_s", "staleness_bound_s"),
    Ordering("max_requests_per_organisation", "max_requests_in_flight", or_equal=True),
    Ordering("drain_notice_s", "drain_timeout_s"),
)


@attrs.frozen(kw_only=True)
class EntrySettings(SettingsBase):
    """Settings of an entry process; docs/settings.md describes each one."""

    ORDERINGS = _ORDERINGS

    vm_id: str = declare(common.VM_ID)
    availability_zone: str = declare(common.AVAILABILITY_ZONE)
    listen: str = declare(common.LISTEN)
    control_addresses: tuple[ControlAddress, ...] = declare(common.CONTROL_ADDRESSES)
    staleness_bound_s: float = declare(_STALENESS_BOUND_S)
    exchange_timeout_s: float = declare(common.EXCHANGE_TIMEOUT_S)
    max_requests_in_flight: int = declare(_MAX_REQUESTS_IN_FLIGHT)
    max_requests_per_organisation: int = declare(_MAX_REQUESTS_PER_ORGANISATION)
    retry_budget_ratio: float = declare(_RETRY_BUDGET_RATIO)
    drain_notice_s: float = declare(_DRAIN_NOTICE_S)
    drain_timeout_s: float = declare(_DRAIN_TIMEOUT_S)
    log_level: str = declare(common.LOG_LEVEL)

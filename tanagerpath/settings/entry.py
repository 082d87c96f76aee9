"""Settings of an entry process."""

from collections.abc import Mapping, Sequence

import attrs
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.settings import common
from tanagerpath.settings.declaration import Ordering, Setting, declare, find_fault
from tanagerpath.settings.failures import InvalidSetting, MissingSetting
from tanagerpath.settings.sources import read_flags, read_values
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
    description="The same for one organisation, so that none crowds out the others.",
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
    # One lost poll alone must not make an entry stale.
    Ordering("exchange_timeout_s", "staleness_bound_s"),
    Ordering("max_requests_per_organisation", "max_requests_in_flight", or_equal=True),
    Ordering("drain_notice_s", "drain_timeout_s"),
)


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Settings of an entry process; docs/settings.md describes each one."""

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

    @classmethod
    def from_arguments(
        cls, argv: Sequence[str], environment: Mapping[str, str]
    ) -> Result["EntrySettings", InvalidSetting | MissingSetting]:
        """Read and check all settings.

        Parameters
        ----------
        argv : sequence of str
            Flags, without the name of the program.
        environment : mapping of str to str
            Environment variables.

        Returns
        -------
        Result
            The settings, or the first fault found.
        """
        given = read_flags(cls, argv)
        return given.bind(lambda texts: cls.from_given(texts, environment))

    @classmethod
    def from_given(
        cls, given: Mapping[str, str | None], environment: Mapping[str, str]
    ) -> Result["EntrySettings", InvalidSetting | MissingSetting]:
        """Read and check all settings from parsed flags; see `from_arguments`."""
        return read_values(cls, given, environment).bind(cls._from_values)

    @classmethod
    def _from_values(cls, values: dict) -> Result["EntrySettings", InvalidSetting]:
        settings = cls(**values)
        fault = settings.find_fault()
        return Success(settings) if fault is None else ResultFailure(fault)

    def find_fault(self) -> InvalidSetting | None:
        """Return the first fault of the values by themselves or together, or None."""
        return find_fault(self, _ORDERINGS)

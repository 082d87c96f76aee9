"""Settings of the client commands."""

from collections.abc import Mapping

import attrs
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.settings.declaration import Setting, declare, find_fault
from tanagerpath.settings.failures import InvalidSetting, MissingSetting
from tanagerpath.settings.sources import read_values
from tanagerpath.settings.values import AddressesType, NumberType

__all__ = ["ClientSettings"]

_ENTRIES = Setting(
    name="entries",
    type=AddressesType(),
    description="Entries, tried in this order; the next one after a lost exchange.",
)
_CLIENT_TIMEOUT_S = Setting(
    name="client_timeout_s",
    type=NumberType(0.1, 600.0),
    unit="s",
    # An entry looks for the leader for up to 5 s before it says that there is none.
    default=8.0,
    description="Time after which an exchange with an entry is given up.",
)

_CLIENT_PAUSE_S = Setting(
    name="client_pause_s",
    type=NumberType(0.0, 60.0),
    unit="s",
    default=0.5,
    description="Pause after all entries were tried without success.",
)


@attrs.frozen(kw_only=True)
class ClientSettings:
    """Settings of the client commands; docs/settings.md describes each one."""

    entries: tuple[str, ...] = declare(_ENTRIES)
    client_timeout_s: float = declare(_CLIENT_TIMEOUT_S)
    client_pause_s: float = declare(_CLIENT_PAUSE_S)

    @classmethod
    def from_given(
        cls, given: Mapping[str, str | None], environment: Mapping[str, str]
    ) -> Result["ClientSettings", InvalidSetting | MissingSetting]:
        """Read and check all settings.

        Parameters
        ----------
        given : mapping of str to str or None
            Texts of flags by name; other names are ignored.
        environment : mapping of str to str
            Environment variables.

        Returns
        -------
        Result
            The settings, or the first fault found.
        """
        return read_values(cls, given, environment).bind(cls._from_values)

    @classmethod
    def _from_values(cls, values: dict) -> Result["ClientSettings", InvalidSetting]:
        settings = cls(**values)
        fault = find_fault(settings, ())
        return Success(settings) if fault is None else ResultFailure(fault)

"""Settings of the client commands."""

import attrs

from tanagerpath.settings.base import SettingsBase
from tanagerpath.settings.declaration import Setting, declare
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
    # An entry searches for the leader for up to 5 s before it reports none.
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
class ClientSettings(SettingsBase):
    """Settings of the client commands; docs/settings.md describes each one."""

    entries: tuple[str, ...] = declare(_ENTRIES)
    client_timeout_s: float = declare(_CLIENT_TIMEOUT_S)
    client_pause_s: float = declare(_CLIENT_PAUSE_S)

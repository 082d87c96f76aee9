"""Settings of all processes, read from flags and environment variables."""

from tanagerpath.settings.client import ClientSettings
from tanagerpath.settings.control import ControlSettings
from tanagerpath.settings.declaration import Setting, list_settings
from tanagerpath.settings.entry import EntrySettings
from tanagerpath.settings.failures import InvalidSetting, MissingSetting
from tanagerpath.settings.sources import add_flags
from tanagerpath.settings.values import ControlAddress
from tanagerpath.settings.workloads import (
    WorkloadControlSettings,
    WorkloadEntrySettings,
    WorkloadRelaySettings,
)

__all__ = [
    "ClientSettings",
    "ControlAddress",
    "ControlSettings",
    "EntrySettings",
    "InvalidSetting",
    "MissingSetting",
    "Setting",
    "WorkloadControlSettings",
    "WorkloadEntrySettings",
    "WorkloadRelaySettings",
    "add_flags",
    "list_settings",
]

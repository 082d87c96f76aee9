"""Settings that entry and control processes share."""

from tanagerpath.settings.declaration import Setting
from tanagerpath.settings.values import (
    AddressType,
    ChoiceType,
    ControlAddressesType,
    DirectoryType,
    NameType,
    NumberType,
    WholeNumberType,
)

__all__ = [
    "AVAILABILITY_ZONE",
    "CONTROL_ADDRESSES",
    "DATA_DIR",
    "EXCHANGE_TIMEOUT_S",
    "LISTEN",
    "LOG_LEVEL",
    "SNAPSHOT_EVERY_ENTRIES",
    "UPSTREAM_CONNECTIONS",
    "VM_ID",
    "make_seconds",
]


def make_seconds(
    name: str, default: float, minimum: float, maximum: float, description: str
) -> Setting:
    """Return a setting in seconds with its limits."""
    return Setting(
        name=name,
        type=NumberType(minimum, maximum),
        unit="s",
        default=default,
        description=description,
    )


VM_ID = Setting(
    name="vm_id",
    type=NameType(),
    description="Name of this VM, the same after every restart.",
)
AVAILABILITY_ZONE = Setting(
    name="availability_zone",
    type=NameType(),
    description="Availability zone of this VM.",
)
LISTEN = Setting(
    name="listen",
    type=AddressType(minimum_port=0),
    description="Address that the process listens on; port 0 takes a free port.",
)
CONTROL_ADDRESSES = Setting(
    name="control_addresses",
    type=ControlAddressesType(),
    description="All control VMs; the same text on every VM.",
)
EXCHANGE_TIMEOUT_S = Setting(
    name="exchange_timeout_s",
    type=NumberType(0.01, 60.0),
    unit="s",
    default=1.0,
    description="Time after which an exchange without a reply is given up.",
)
LOG_LEVEL = Setting(
    name="log_level",
    type=ChoiceType(("debug", "info", "warning", "error")),
    default="info",
    description="Lowest level of the log lines that are written.",
)
DATA_DIR = Setting(
    name="data_dir",
    type=DirectoryType(),
    description="Directory of all files of the process; created if it is missing.",
)
SNAPSHOT_EVERY_ENTRIES = Setting(
    name="snapshot_every_entries",
    type=WholeNumberType(1, 10_000_000),
    unit="entries",
    default=1000,
    description="Log entries between two snapshots.",
)
UPSTREAM_CONNECTIONS = Setting(
    name="upstream_connections",
    type=WholeNumberType(1, 60),
    unit="connections",
    default=8,
    description="Connections to one upstream; an upstream takes about 60 in all.",
)

"""Settings that entry and control processes share."""

from tanagerpath.settings.declaration import Setting
from tanagerpath.settings.values import (
    AddressType,
    ChoiceType,
    ControlAddressesType,
    NameType,
    NumberType,
)

__all__ = [
    "AVAILABILITY_ZONE",
    "CONTROL_ADDRESSES",
    "EXCHANGE_TIMEOUT_S",
    "LISTEN",
    "LOG_LEVEL",
    "VM_ID",
]

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

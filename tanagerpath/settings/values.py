"""Types of settings: parsing, validation and rendering of values."""

import abc
import ipaddress
import math
import pathlib
import re
from typing import Any

import attrs

__all__ = [
    "AddressType",
    "AddressesType",
    "ChoiceType",
    "ControlAddress",
    "ControlAddressesType",
    "DirectoryType",
    "FlagType",
    "NameType",
    "NamesType",
    "NumberType",
    "OptionalAddressType",
    "SettingType",
    "WholeNumberType",
]

_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")


class SettingType(abc.ABC):
    """Type of a setting, which parses and validates a single value."""

    @property
    @abc.abstractmethod
    def expected(self) -> str:
        """Description of allowed values, for messages and for the reference page."""

    @abc.abstractmethod
    def parse(self, text: str) -> Any:
        """Parse a text.

        Raises
        ------
        ValueError
            If the text is not a value of this type.
        """

    @abc.abstractmethod
    def allows(self, value: Any) -> bool:
        """Return whether a parsed value is valid."""

    def render(self, value: Any) -> str:
        """Return the text form of a value."""
        return str(value)


@attrs.frozen
class NumberType(SettingType):
    """A finite number from `minimum` to `maximum`."""

    minimum: float
    maximum: float

    @property
    def expected(self) -> str:
        """Description of allowed values."""
        return f"a number from {self.minimum:g} to {self.maximum:g}"

    def parse(self, text: str) -> float:
        """Return the number; see `SettingType.parse`."""
        return float(text)

    def allows(self, value: Any) -> bool:
        """Return whether the number is finite and within the limits."""
        return math.isfinite(value) and self.minimum <= value <= self.maximum


@attrs.frozen
class WholeNumberType(SettingType):
    """A whole number from `minimum` to `maximum`."""

    minimum: int
    maximum: int

    @property
    def expected(self) -> str:
        """Description of allowed values."""
        return f"a whole number from {self.minimum} to {self.maximum}"

    def parse(self, text: str) -> int:
        """Return the number; see `SettingType.parse`."""
        return int(text)

    def allows(self, value: Any) -> bool:
        """Return whether the number is within the limits."""
        return isinstance(value, int) and self.minimum <= value <= self.maximum


@attrs.frozen
class NameType(SettingType):
    """A name of a VM or of an availability zone."""

    @property
    def expected(self) -> str:
        """Description of allowed values."""
        return "1 to 63 characters of a-z, 0-9, '-' and '.'"

    def parse(self, text: str) -> str:
        """Return the name; see `SettingType.parse`."""
        return text

    def allows(self, value: Any) -> bool:
        """Return whether the name has only the allowed characters."""
        return _NAME.fullmatch(value) is not None


@attrs.frozen
class NamesType(SettingType):
    """Names separated by commas, or none."""

    @property
    def expected(self) -> str:
        """Description of allowed values."""
        return f"name,name,... with {NameType().expected} each, or empty"

    def parse(self, text: str) -> tuple[str, ...]:
        """Return the names; see `SettingType.parse`."""
        return tuple(part.strip() for part in text.split(",")) if text else ()

    def allows(self, value: Any) -> bool:
        """Return whether all names have only the allowed characters."""
        return all(NameType().allows(item) for item in value)

    def render(self, value: Any) -> str:
        """Return the comma-separated names."""
        return ",".join(value)


@attrs.frozen
class ChoiceType(SettingType):
    """One of several fixed words."""

    choices: tuple[str, ...]

    @property
    def expected(self) -> str:
        """Description of allowed values."""
        return f"one of {', '.join(self.choices)}"

    def parse(self, text: str) -> str:
        """Return the word; see `SettingType.parse`."""
        return text

    def allows(self, value: Any) -> bool:
        """Return whether the word is one of the choices."""
        return value in self.choices


@attrs.frozen
class FlagType(SettingType):
    """True or false."""

    @property
    def expected(self) -> str:
        """Description of allowed values."""
        return "true or false"

    def parse(self, text: str) -> bool:
        """Return the value; see `SettingType.parse`."""
        if text not in ("true", "false"):
            raise ValueError(text)
        return text == "true"

    def allows(self, value: Any) -> bool:
        """Return whether the value is true or false."""
        return isinstance(value, bool)

    def render(self, value: Any) -> str:
        """Return "true" or "false"."""
        return "true" if value else "false"


@attrs.frozen
class DirectoryType(SettingType):
    """Path of a directory, which is created on the first start."""

    @property
    def expected(self) -> str:
        """Description of allowed values."""
        return "the path of a directory"

    def parse(self, text: str) -> pathlib.Path:
        """Return the path; see `SettingType.parse`."""
        if not text:
            raise ValueError("empty path")
        return pathlib.Path(text)

    def allows(self, value: Any) -> bool:
        """Return whether the path is a directory or does not exist yet."""
        try:
            return not value.exists() or value.is_dir()
        except OSError:
            # The file system refuses the name, such as one that is too long.
            return False


@attrs.frozen
class AddressType(SettingType):
    """An IPv4 address with a port.

    Attributes
    ----------
    minimum_port : int
        0 if the system may choose a free port, otherwise 1.
    """

    minimum_port: int = 1

    @property
    def expected(self) -> str:
        """Description of allowed values."""
        return f"ip:port with an IPv4 address and a port from {self.minimum_port}"

    def parse(self, text: str) -> str:
        """Return the address; see `SettingType.parse`."""
        return text

    def allows(self, value: Any) -> bool:
        """Return whether the address can be bound or connected to."""
        host, _, port = value.rpartition(":")
        if not (port.isascii() and port.isdigit() and len(port) <= 5):
            return False
        try:
            ipaddress.IPv4Address(host)
        except ValueError:
            return False
        return self.minimum_port <= int(port) <= 65535


@attrs.frozen
class OptionalAddressType(AddressType):
    """An address, or an empty string."""

    @property
    def expected(self) -> str:
        """Description of allowed values."""
        return f"{super().expected}, or nothing"

    def allows(self, value: Any) -> bool:
        """Return whether the address can be connected to, or is empty."""
        return not value or super().allows(value)


@attrs.frozen
class AddressesType(SettingType):
    """Addresses in the order in which they are tried, separated by commas."""

    @property
    def expected(self) -> str:
        """Description of allowed values."""
        return "ip:port,ip:port,... with IPv4 addresses and ports from 1"

    def parse(self, text: str) -> tuple[str, ...]:
        """Return the addresses; see `SettingType.parse`."""
        return tuple(part.strip() for part in text.split(","))

    def allows(self, value: Any) -> bool:
        """Return whether all addresses can be connected to."""
        return len(value) > 0 and all(AddressType().allows(item) for item in value)

    def render(self, value: Any) -> str:
        """Return the comma-separated addresses."""
        return ",".join(value)


@attrs.frozen
class ControlAddress:
    """Listen address of a control VM.

    Attributes
    ----------
    vm_id : str
        Name of the control VM.
    address : str
        "ip:port" of its control process.
    """

    vm_id: str
    address: str


@attrs.frozen
class ControlAddressesType(SettingType):
    """All control VMs, written "c1=127.0.0.1:7101,c2=127.0.0.1:7102"."""

    @property
    def expected(self) -> str:
        """Description of allowed values."""
        return "vm_id=ip:port,... with each VM and each address once, 9 at most"

    def parse(self, text: str) -> tuple[ControlAddress, ...]:
        """Return the addresses; see `SettingType.parse`."""
        pairs = [part.strip().partition("=") for part in text.split(",")]
        return tuple(ControlAddress(vm_id, address) for vm_id, _, address in pairs)

    def allows(self, value: Any) -> bool:
        """Return whether all names and addresses are allowed and distinct."""
        names = {item.vm_id for item in value}
        addresses = {item.address for item in value}
        return (
            1 <= len(value) <= 9
            and len(names) == len(addresses) == len(value)
            and all(NameType().allows(name) for name in names)
            and all(AddressType().allows(address) for address in addresses)
        )

    def render(self, value: Any) -> str:
        """Return the comma-separated addresses."""
        return ",".join(f"{item.vm_id}={item.address}" for item in value)

"""Validation of the announcements of upstreams."""

import ipaddress
from collections.abc import Iterator

import attrs
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.core.model import UPSTREAMS_PER_RACK
from tanagerpath.core.model.rules import (
    Rule,
    find_violated,
    require_between,
    require_name,
    require_text,
)
from tanagerpath.core.protocol.upstreams import Announcement
from tanagerpath.errors import Failure, WrongField

__all__ = ["InvalidAnnouncement", "check_announcement"]

# The placement keeps a bit mask with one bit per accelerator of an upstream.
MAX_ACCELERATORS = 64
MAX_RACK = 2**31
MAX_ID_CHARACTERS = 128
MAX_SERVICES = 1024


@attrs.frozen(kw_only=True)
class InvalidAnnouncement(WrongField):
    """An announcement violates a rule; the upstream is not registered."""

    @property
    def field_label(self) -> str:
        """Name of the field in error messages."""
        return f"announcement field {self.field!r}"


def check_announcement(announcement: Announcement) -> Result[Announcement, Failure]:
    """Validate an announcement.

    An invalid one must not reach the log: every leader would apply it again after each
    start.

    Parameters
    ----------
    announcement : Announcement
        Announcement sent by the upstream.

    Returns
    -------
    Result
        The same announcement, or `InvalidAnnouncement` for the first rule that it
        violates.
    """
    violated = find_violated(_list_rules(announcement))
    if violated is None:
        return Success(announcement)
    return ResultFailure(InvalidAnnouncement(**violated.describe()))


def _list_rules(announcement: Announcement) -> Iterator[Rule]:
    capacity = announcement.capacity
    location = capacity.location
    prefix = "capacity.location"
    yield from _require_id("capacity.upstream_id", capacity.upstream_id)
    yield require_name(f"{prefix}.availability_zone", location.availability_zone)
    yield require_between(f"{prefix}.rack", location.rack, 0, MAX_RACK)
    last_position = UPSTREAMS_PER_RACK - 1
    yield require_between(f"{prefix}.position", location.position, 0, last_position)
    accelerators = capacity.accelerators
    yield require_between("capacity.accelerators", accelerators, 1, MAX_ACCELERATORS)
    yield require_between("capacity.cores", capacity.cores, 0)
    yield require_between("capacity.memory_bytes", capacity.memory_bytes, 0)
    yield require_between("capacity.slots", capacity.slots, 1)
    yield require_between("capacity.services", len(capacity.services), 0, MAX_SERVICES)
    for index, service in enumerate(capacity.services):
        yield require_name(f"capacity.services[{index}]", service)
    yield _require_address("address", announcement.address)
    yield from _require_id("incarnation", announcement.incarnation)


def _require_id(field: str, value: str) -> Iterator[Rule]:
    expected = f"1 to {MAX_ID_CHARACTERS} characters"
    yield Rule(1 <= len(value) <= MAX_ID_CHARACTERS, field, value, expected)
    yield require_text(field, value)


def _require_address(field: str, value: str) -> Rule:
    host, _, port = value.rpartition(":")
    holds = port.isascii() and port.isdigit() and len(port) <= 5
    holds = holds and 1 <= int(port) <= 65535 and _is_ip_address(host)
    return Rule(holds, field, value, "ip:port with an IPv4 address")


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True

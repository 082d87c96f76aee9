"""Decoding of worker heartbeats from the platform's format."""

import re

from tanagerpath.codecs import MalformedMessage
from tanagerpath.core.workloads.commands import UpstreamRecord
from tanagerpath.core.workloads.requests import UpstreamReport
from tanagerpath.errors import FailureError
from tanagerpath.platform.configuration import MS_PER_S, read_resources
from tanagerpath.platform.fields import Fields

__all__ = ["read_report"]

_READY = "ready"
_DRAINING = "draining"
HIGHEST_PORT = 65535
# A host name, an IPv4 address, or an IPv6 address in brackets.
_HOST = re.compile(r"[A-Za-z0-9.-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]")


def read_report(upstream_id: str, fields: Fields) -> UpstreamReport:
    """Read a heartbeat.

    Parameters
    ----------
    upstream_id : str
        ID from the path.
    fields : Fields
        Content of the body.

    Raises
    ------
    FailureError
        With `MalformedMessage`, naming the invalid field.
    """
    state = fields.read_text("state")
    if state not in (_READY, _DRAINING):
        raise FailureError(
            MalformedMessage(
                field="state", value=repr(state), expected=f"{_READY} or {_DRAINING}"
            )
        )
    born_unix_ms = fields.read_integer("born", 0)
    record = UpstreamRecord(
        upstream_id=upstream_id,
        incarnation=f"{upstream_id}@{born_unix_ms}",
        born_unix_ms=born_unix_ms,
        pool=fields.read_text("service"),
        address=_read_address(fields),
        availability_zone=fields.read_text("zone", ""),
        capacity=read_resources(fields.read_fields("capacity")),
        # The first label is the worker's kind, the last its rack.
        labels=fields.read_texts("labels", []),
        draining=state == _DRAINING,
        vm_id=fields.read_text("machine", ""),
    )
    remaining_ms = None
    if record.draining and fields.has("remaining_ms"):
        remaining_ms = fields.read_number("remaining_ms")
    return UpstreamReport(
        record,
        # Increases with each heartbeat of an incarnation.
        sequence=fields.read_integer("seq"),
        clock_ms=fields.read_integer("clock_ms", None),
        remaining_s=None if remaining_ms is None else remaining_ms / MS_PER_S,
    )


def _read_address(fields: Fields) -> str:
    address = fields.read_text("address")
    host, _, port = address.rpartition(":")
    is_number = (
        port.isascii() and port.isdigit() and len(port) <= len(str(HIGHEST_PORT))
    )
    if not _HOST.fullmatch(host) or not is_number or not 0 < int(port) <= HIGHEST_PORT:
        raise FailureError(
            MalformedMessage(field="address", value=repr(address), expected="ip:port")
        )
    return address

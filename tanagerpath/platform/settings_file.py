"""Conversion of the platform's settings file to tanagerpath's settings."""

import os
import pathlib
from collections.abc import Mapping

from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.codecs import MalformedMessage
from tanagerpath.errors import Failure, FailureError
from tanagerpath.platform.fields import Fields, read_object
from tanagerpath.services.adapters import SettingsSource
from tanagerpath.settings import (
    WorkloadControlSettings,
    WorkloadEntrySettings,
    WorkloadRelaySettings,
)
from tanagerpath.settings.bounds import (
    MIN_DESCRIPTORS,
    MIN_MEMORY_LIMIT_MB,
    choose_control_drain_s,
    choose_entry_drain_s,
    choose_replace_voter_after_s,
)

__all__ = ["CONFIG_VARIABLE", "SettingsFile"]

CONFIG_VARIABLE = "TANAGERPATH_CONFIG"
MS_PER_S = 1000.0
MAX_PORT = 65_535
# Offsets in the range of internal ports, the same on every VM.
CONTROL_PORT_OFFSET = 0
ENTRY_PORT_OFFSET = 1


class SettingsFile(SettingsSource):
    """Reads the settings file; it may change while the process runs.

    Parameters
    ----------
    path : pathlib.Path
        Path of the file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path

    @classmethod
    def from_environment(cls, environment: Mapping[str, str]) -> "SettingsFile":
        """Return the file that the environment names."""
        return cls(pathlib.Path(environment.get(CONFIG_VARIABLE, "")))

    def read_change_token(self) -> int | None:
        """Return the modification time of the file, None if it is inaccessible."""
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError:
            return None

    def read_seeds(self) -> Result[tuple[str, ...], Failure]:
        """Return the addresses of the control processes to ask first, or a failure."""
        try:
            return Success(_list_seeds(self._read()))
        except FailureError as error:
            return ResultFailure(error.failure)

    def _read(self) -> Fields:
        try:
            body = self._path.read_bytes()
        except OSError as error:
            raise FailureError(
                MalformedMessage(
                    field=CONFIG_VARIABLE,
                    value=str(self._path),
                    expected=f"a file that can be read ({error.strerror})",
                )
            ) from error
        return read_object(body)

    def read_control(
        self, environment: Mapping[str, str]
    ) -> Result[WorkloadControlSettings, Failure]:
        """Read the settings of a control process."""
        try:
            given = _convert_control(self._read())
        except FailureError as error:
            return ResultFailure(error.failure)
        return WorkloadControlSettings.from_given(given, environment)

    def has_disk(self) -> Result[bool, Failure]:
        """Return whether this VM has a disk, or a failure."""
        try:
            return Success(self._read().has("data_dir"))
        except FailureError as error:
            return ResultFailure(error.failure)

    def read_relay(
        self, environment: Mapping[str, str]
    ) -> Result[WorkloadRelaySettings, Failure]:
        """Read the settings of a control process on a VM without a disk."""
        try:
            given = _convert_relay(self._read())
        except FailureError as error:
            return ResultFailure(error.failure)
        return WorkloadRelaySettings.from_given(given, environment)

    def read_entry(
        self, environment: Mapping[str, str]
    ) -> Result[WorkloadEntrySettings, Failure]:
        """Read the settings of an entry process."""
        try:
            given = _convert_entry(self._read())
        except FailureError as error:
            return ResultFailure(error.failure)
        return WorkloadEntrySettings.from_given(given, environment)


def _find_port(fields: Fields, offset: int) -> int:
    """Return an internal port; the settings hold the first and the last one."""
    ports = fields.read_integers("internal_ports")
    if not ports or not 0 < ports[0] <= MAX_PORT - offset:
        raise FailureError(
            MalformedMessage(
                field="internal_ports",
                value=repr(ports)[:80],
                expected="the first and the last port",
            )
        )
    return ports[0] + offset


def _list_seeds(fields: Fields) -> tuple[str, ...]:
    """Return the internal addresses of the control processes."""
    port = _find_port(fields, CONTROL_PORT_OFFSET)
    return tuple(
        f"{seed.rpartition(':')[0]}:{port}" for seed in fields.read_texts("seeds")
    )


def _convert_shared(fields: Fields, offset: int) -> dict[str, str]:
    return {
        "vm_id": fields.read_text("node_name"),
        "availability_zone": fields.read_text("zone"),
        "listen": f"{fields.read_text('ip')}:{_find_port(fields, offset)}",
        "seeds": ",".join(_list_seeds(fields)),
    } | _convert_size(fields)


def _convert_size(fields: Fields) -> dict[str, str]:
    """Return the memory and the descriptors of a process."""
    limits = fields.read_optional("limits")
    names = {
        "memory_limit_mb": ("memory_mb", MIN_MEMORY_LIMIT_MB),
        "max_descriptors": ("max_fds", MIN_DESCRIPTORS),
    }
    return {
        name: str(max(limits.read_integer(given), minimum))
        for name, (given, minimum) in names.items()
        if limits is not None and limits.has(given)
    }


def _convert_entry(fields: Fields) -> dict[str, str]:
    listen = fields.read_fields("listen")
    given = _convert_shared(fields, ENTRY_PORT_OFFSET) | {
        "public_listen": listen.read_text("front"),
        "readiness_listen": listen.read_text("readiness"),
    }
    bounds = fields.read_optional("bounds")
    if bounds is not None and bounds.has("grace_s"):
        drain_s = str(choose_entry_drain_s(bounds.read_number("grace_s")))
        given |= {"drain_notice_s": drain_s, "drain_timeout_s": drain_s}
    return given


def _convert_relay(fields: Fields) -> dict[str, str]:
    given = _convert_shared(fields, CONTROL_PORT_OFFSET) | {
        "public_listen": fields.read_fields("listen").read_text("control"),
    }
    bounds = fields.read_optional("bounds")
    if bounds is not None and bounds.has("grace_s"):
        drain_s = choose_control_drain_s(bounds.read_number("grace_s"))
        given["drain_timeout_s"] = str(drain_s)
    return given


def _convert_control(fields: Fields) -> dict[str, str]:
    bounds = fields.read_fields("bounds")
    given = _convert_relay(fields) | {
        "data_dir": fields.read_text("data_dir"),
        "may_found": "true" if fields.read_flag("bootstrap", False) else "false",
    }
    given |= _convert_tolerance(fields)
    if bounds.has("catch_up_s"):
        absence_s = choose_replace_voter_after_s(bounds.read_number("catch_up_s"))
        given["replace_voter_after_s"] = str(absence_s)
    platform = fields.read_optional("cloud_api")
    if platform is not None and platform.has("address"):
        given["platform_address"] = platform.read_text("address")
    zones = fields.read_optional("zones")
    if zones is not None:
        given["availability_zones"] = ",".join(zones.names)
    if fields.has("advice"):
        given["advice_address"] = fields.read_text("advice")
    milliseconds = {
        "max_lease_s": "hold_max_ms",
        "gang_timeout_s": "gang_timeout_ms",
        "stop_timeout_s": "stop_timeout_ms",
        "interference_s": "interference_ms",
        "guaranteed_start_s": "reclaim_ms",
    }
    for name, bound in milliseconds.items():
        if bounds.has(bound):
            given[name] = str(bounds.read_number(bound) / MS_PER_S)
    # 0 stands for a deployment without evacuations.
    if bounds.has("evacuate_ms") and bounds.read_number("evacuate_ms"):
        given["evacuation_s"] = str(bounds.read_number("evacuate_ms") / MS_PER_S)
    plain = {
        "remote_factor": "remote_factor",
        "checkpoint_interval_s": "checkpoint_s",
        "status_retention_s": "status_s",
    }
    for name, bound in plain.items():
        if bounds.has(bound):
            given[name] = str(bounds.read_number(bound))
    return given


def _convert_tolerance(fields: Fields) -> dict[str, str]:
    """Return the tolerated losses and the fault domain of this VM.

    If the loss of a region is tolerated, the fault domain is the region, which covers
    its availability zones.
    """
    given = {"fault_domain": fields.read_text("zone")}
    tolerated = fields.read_optional("fault_tolerance")
    if tolerated is None:
        return given
    regions = tolerated.read_integer("regions", 0)
    domains = max(regions, tolerated.read_integer("zones", 0))
    if regions:
        given["fault_domain"] = fields.read_text("region")
    given["tolerated_vms"] = str(max(1, tolerated.read_integer("machines", 1)))
    given["tolerated_fault_domains"] = str(domains)
    return given

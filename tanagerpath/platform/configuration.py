"""Decoding of operator configurations from the platform's format."""

import json

from tanagerpath.codecs import MalformedMessage
from tanagerpath.core.workloads.configuration import (
    AdviceTerms,
    CallerLimits,
    Configuration,
    Organisation,
    Pool,
    Queue,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.errors import FailureError
from tanagerpath.platform.fields import Fields

__all__ = ["read_configuration", "read_resources"]

MS_PER_S = 1000.0


def read_resources(fields: Fields | None) -> Resources:
    """Read processor, memory and accelerators; all are 0 without fields."""
    if fields is None:
        return Resources()
    return Resources(
        cpu_millicores=fields.read_integer("cpu", 0),
        memory_mb=fields.read_integer("mem_mb", 0),
        accelerators=fields.read_integer("gpu", 0),
    )


def _read_queue(fields: Fields) -> Queue:
    advice = fields.read_optional("advice")
    return Queue(
        name=fields.read_text("name"),
        host=fields.read_text("host"),
        prefix=fields.read_text("path_prefix"),
        pool=fields.read_text("service"),
        priority=fields.read_integer("priority", 0),
        max_attempts=fields.read_integer("max_attempts", 1, minimum=1),
        objective_factor=float(fields.read_number("slack_factor", 1.0)),
        objective_margin_s=fields.read_number("target_latency_ms", 0) / MS_PER_S,
        public=fields.read_flag("public", False),
        timeout_s=fields.read_number("timeout_ms") / MS_PER_S,
        advice=None if advice is None else _read_advice(advice),
    )


def _read_advice(fields: Fields) -> AdviceTerms:
    return AdviceTerms(
        decision_s=fields.read_number("decision_ms", 0) / MS_PER_S,
        per_upstream_s=fields.read_number("per_worker_ms", 0) / MS_PER_S,
        validity_s=fields.read_number("validity_ms", 0) / MS_PER_S,
    )


def _read_pool(fields: Fields) -> Pool:
    return Pool(
        name=fields.read_text("name"),
        refuses_overload=fields.read_flag("rejects_overload", False),
        standby=fields.read_flag("standby", False),
    )


def _read_organisation(fields: Fields) -> Organisation:
    return Organisation(
        name=fields.read_text("name"),
        api_keys=fields.read_texts("api_keys", []),
        guaranteed=read_resources(fields.read_optional("guaranteed")),
    )


def _read_limits(fields: Fields | None) -> CallerLimits | None:
    if fields is None:
        return None
    return CallerLimits(
        max_header_bytes=_read_limit(fields, "max_header_bytes"),
        max_body_bytes=_read_limit(fields, "max_body_bytes"),
        header_timeout_s=_read_limit_s(fields, "header_timeout_ms"),
        idle_timeout_s=_read_limit_s(fields, "idle_timeout_ms"),
    )


def _read_limit(fields: Fields, name: str) -> int | None:
    """Return a limit; None, which is the default, if it is absent or 0."""
    return (fields.read_integer(name) or None) if fields.has(name) else None


def _read_limit_s(fields: Fields, name: str) -> float | None:
    value_ms = fields.read_number(name) if fields.has(name) else 0
    return value_ms / MS_PER_S or None


def read_configuration(fields: Fields, body: bytes) -> Configuration:
    """Read a configuration.

    Parameters
    ----------
    fields : Fields
        Content of the body.
    body : bytes
        The raw body; its JSON value is returned to readers.

    Raises
    ------
    FailureError
        With `MalformedMessage`, if any field is invalid.
    """
    return Configuration(
        version=fields.read_integer("version"),
        queues=tuple(_read_queue(one) for one in fields.read_objects("routes")),
        pools=tuple(_read_pool(one) for one in fields.read_objects("services")),
        organisations=tuple(
            _read_organisation(one) for one in fields.read_objects("tenants", [])
        ),
        document=_compact(body),
        caller_limits=_read_limits(fields.read_optional("limits")),
    )


def _compact(body: bytes) -> str:
    """Return JSON text without white space."""
    try:
        return json.dumps(json.loads(body), separators=(",", ":"))
    except RecursionError as error:
        # Writing takes a deeper stack than reading.
        raise FailureError(
            MalformedMessage(value=repr(body[:60]), expected="less nesting")
        ) from error

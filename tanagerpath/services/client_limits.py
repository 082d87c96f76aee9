"""Limits for the clients of the listeners of a process."""

import time
from typing import Any

import attrs
from starlette.routing import BaseRoute

from tanagerpath.core.workloads.configuration import CallerLimits
from tanagerpath.observability.metrics import MetricsRegistry
from tanagerpath.runtime.budgets import ByteBudget
from tanagerpath.runtime.guards import ListenerGuard
from tanagerpath.runtime.handlers import HandlerQueue, queue_large_requests
from tanagerpath.runtime.limits import (
    KIB,
    MIB,
    BodyRule,
    ListenerLimits,
    RejectionObserver,
)
from tanagerpath.settings.bounds import (
    choose_bodies_mib,
    choose_handled_kib,
    choose_max_connections,
)

__all__ = ["CallerGuard", "ClientLimitTerms", "ProcessGuards", "RejectionLog"]

LOG_INTERVAL_S = 1.0
# Largest message between processes: an entry of the log with a configuration of 4 MiB
# and its document, both escaped twice.
INTERNAL_BODY_BYTES = 16 * MIB
# Requests without a body may have one of this size nevertheless.
PLAIN_BODY_BYTES = 64 * KIB
INTERNAL_HEADER_BYTES = 64 * KIB


class RejectionLog(RejectionObserver):
    """Counts rejections, and logs them with their number at most once a second.

    Parameters
    ----------
    logger : structlog logger
        Logger that writes the lines.
    metrics : MetricsRegistry
        Counts rejections by listener and reason.
    """

    def __init__(self, logger: Any, metrics: MetricsRegistry) -> None:
        self._logger = logger
        self._metrics = metrics
        self._unlogged: dict[tuple[str, str], int] = {}
        self._next_line_s: dict[tuple[str, str], float] = {}

    def note_rejection(self, listener: str, reason: str) -> None:
        """Record a rejection; see `RejectionObserver`."""
        self._metrics.count("client_rejections", listener=listener, reason=reason)
        key = (listener, reason)
        self._unlogged[key] = self._unlogged.get(key, 0) + 1
        now_s = time.monotonic()
        if now_s < self._next_line_s.get(key, 0.0):
            return
        self._next_line_s[key] = now_s + LOG_INTERVAL_S
        count = self._unlogged.pop(key)
        self._logger.warning(
            "client rejected", listener=listener, reason=reason, count=count
        )


@attrs.frozen(kw_only=True)
class ClientLimitTerms:
    """Settings from which the limits follow; see docs/settings.md for each one."""

    memory_limit_mb: int = 4096
    max_descriptors: int = 4096
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    write_timeout_s: float = 10.0
    chunk_overhead_kib: int = 64
    caller_header_kib: int = 64
    caller_body_kib: int = 1024

    @classmethod
    def from_settings(cls, settings: Any) -> "ClientLimitTerms":
        """Return the terms of a process for workloads."""
        names = {field.name for field in attrs.fields(type(settings))}
        return cls(
            **{
                field.name: getattr(settings, field.name)
                for field in attrs.fields(cls)
                if field.name in names
            }
        )


@attrs.frozen
class CallerGuard:
    """Guard of the listener for callers, whose limits a configuration may set.

    Attributes
    ----------
    guard : ListenerGuard
        Guard of the listener.
    defaults : ListenerLimits
        Limits without a configuration.
    """

    guard: ListenerGuard
    defaults: ListenerLimits

    def apply(self, limits: CallerLimits | None) -> None:
        """Put the limits of a configuration in force, and defaults for the others."""
        given = {}
        if limits is not None:
            given = attrs.asdict(limits, filter=lambda field, value: value is not None)
        changed = attrs.evolve(self.defaults, **given)
        if changed != self.guard.limits:
            self.guard.limits = changed


class ProcessGuards:
    """Makes the guards of all listeners of a process, which share its budgets.

    Parameters
    ----------
    terms : ClientLimitTerms
        Settings of the process.
    logger : structlog logger
        Logs rejections.
    metrics : MetricsRegistry
        Counts rejections.
    """

    def __init__(
        self, terms: ClientLimitTerms, logger: Any, metrics: MetricsRegistry
    ) -> None:
        self._terms = terms
        size = choose_bodies_mib(terms.memory_limit_mb) * MIB
        self._bodies = ByteBudget(size)
        self._replies = ByteBudget(size // 2)
        self._observer = RejectionLog(logger, metrics)
        handled_bytes = choose_handled_kib(terms.memory_limit_mb) * KIB
        self._handlers = HandlerQueue(handled_bytes, self._observer)

    def queue_large_requests(
        self, routes: list[BaseRoute], listener: str
    ) -> list[BaseRoute]:
        """Let the handlers of large requests of a listener wait for each other."""
        return queue_large_requests(routes, self._handlers, listener)

    def make_callers(self) -> CallerGuard:
        """Return the guard of the listener for callers."""
        defaults = ListenerLimits(
            max_connections=self._choose_connections(0.5),
            max_header_bytes=self._terms.caller_header_kib * KIB,
            max_body_bytes=self._terms.caller_body_kib * KIB,
            **self._list_common(),
        )
        return CallerGuard(self._make("callers", defaults), defaults)

    def make_operators(self, rules: tuple[BodyRule, ...]) -> ListenerGuard:
        """Return the guard of the listener for operators and upstreams."""
        limits = ListenerLimits(
            max_connections=self._choose_connections(0.3),
            max_header_bytes=INTERNAL_HEADER_BYTES,
            max_body_bytes=PLAIN_BODY_BYTES,
            body_rules=rules,
            **self._list_common(),
        )
        return self._make("operators", limits)

    def make_probe(self) -> ListenerGuard:
        """Return the guard of the listener for the readiness probe."""
        limits = ListenerLimits(
            max_connections=self._choose_connections(0.05),
            max_body_bytes=PLAIN_BODY_BYTES,
            **self._list_common(),
        )
        return self._make("readiness", limits)

    def make_metrics(self) -> ListenerGuard:
        """Return the guard of a listener that serves nothing but metrics."""
        limits = ListenerLimits(
            max_connections=self._choose_connections(0.05),
            max_body_bytes=PLAIN_BODY_BYTES,
            max_chunk_overhead_bytes=self._terms.chunk_overhead_kib * KIB,
        )
        return self._make("metrics", limits)

    def make_internal(self) -> ListenerGuard:
        """Return the guard of the listener for processes of the system."""
        limits = ListenerLimits(
            max_connections=self._choose_connections(0.35),
            max_body_bytes=INTERNAL_BODY_BYTES,
            max_chunk_overhead_bytes=self._terms.chunk_overhead_kib * KIB,
        )
        return self._make("internal", limits, is_internal=True)

    def _make(
        self, name: str, limits: ListenerLimits, is_internal: bool = False
    ) -> ListenerGuard:
        return ListenerGuard(
            name, limits, self._bodies, self._replies, self._observer, is_internal
        )

    def _choose_connections(self, share: float) -> int:
        terms = self._terms
        return choose_max_connections(
            terms.max_descriptors, terms.memory_limit_mb, share
        )

    def _list_common(self) -> dict[str, float]:
        """Return the limits that are the same for all clients from outside."""
        return {
            "max_chunk_overhead_bytes": self._terms.chunk_overhead_kib * KIB,
            "header_timeout_s": self._terms.header_timeout_s,
            "idle_timeout_s": self._terms.idle_timeout_s,
            "write_timeout_s": self._terms.write_timeout_s,
        }

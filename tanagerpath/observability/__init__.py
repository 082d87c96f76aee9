"""Logs and metrics; each task owns its metrics registry."""

from tanagerpath.observability.logs import configure_logs, get_logger
from tanagerpath.observability.metrics import JobTime, MetricsRegistry

__all__ = ["JobTime", "MetricsRegistry", "configure_logs", "get_logger"]

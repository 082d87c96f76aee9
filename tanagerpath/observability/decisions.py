"""Rate-limited log of decisions."""

import time
from typing import Any

from tanagerpath.observability.metrics import MetricsRegistry

__all__ = ["DecisionLog"]

# Capacity of the token bucket in lines, and its refill rate.
BURST_LINES = 400
LINES_PER_S = 200.0


class DecisionLog:
    """Writes one line for each decision, up to a rate limit, and counts dropped lines.

    Parameters
    ----------
    logger : structlog logger
        Logger that writes the lines.
    metrics : MetricsRegistry
        Counts dropped lines as `log_lines_dropped`.
    """

    def __init__(self, logger: Any, metrics: MetricsRegistry) -> None:
        self._logger = logger
        self._metrics = metrics
        self._tokens = float(BURST_LINES)
        self._last_refill_s = time.monotonic()
        self._dropped = 0

    def write(self, name: str, fields: dict[str, Any], is_error: bool = False) -> None:
        """Write a line, or drop it if the rate limit is exceeded."""
        now_s = time.monotonic()
        refilled = (now_s - self._last_refill_s) * LINES_PER_S
        self._tokens = min(self._tokens + refilled, float(BURST_LINES))
        self._last_refill_s = now_s
        if self._tokens < 1.0:
            self._dropped += 1
            self._metrics.count("log_lines_dropped")
            return
        self._tokens -= 1.0
        if self._dropped:
            fields = {**fields, "lines_dropped_before": self._dropped}
            self._dropped = 0
        write = self._logger.error if is_error else self._logger.info
        write(name, **fields)

"""Measured periods of jobs."""

import attrs

__all__ = ["JobTimes"]


@attrs.frozen
class JobTimes:
    """Quantiles of one measured period of jobs, in seconds.

    `name` is "waiting", "start" or "completion"; the leader measures them since the
    start of its process.
    """

    name: str
    organisation: str
    job_class: str
    count: int
    p50_s: float
    p99_s: float
    max_s: float

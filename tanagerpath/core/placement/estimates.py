"""Run time estimates from observed runs.

Estimates affect queue order and reservations. No guarantee depends on them.
"""

import math
import statistics
from collections import deque

import attrs

from tanagerpath.core.model import JobRequest

__all__ = ["RunTimeEstimator"]

# Enough for a stable median, few enough to follow a change of the service.
SAMPLES_KEPT = 64
# With fewer samples, the next coarser series or the declared run time is used.
MIN_SAMPLES = 5
ERROR_DECAY = 0.9
# A job that ran longer than every sample is assumed to run half as long again.
OVERRUN_FACTOR = 0.5
SHORTEST_RUN_S = 0.1


@attrs.define
class _Series:
    """Recent runs of similar jobs, with the errors of two ways to estimate them."""

    observed: deque[float] = attrs.field(factory=lambda: deque(maxlen=SAMPLES_KEPT))
    ratios: deque[float] = attrs.field(factory=lambda: deque(maxlen=SAMPLES_KEPT))
    median_error: float = 0.0
    ratio_error: float = 0.0
    median_s: float = 0.0
    median_ratio: float = 1.0

    @property
    def is_usable(self) -> bool:
        return len(self.observed) >= MIN_SAMPLES

    def add(self, declared_s: float, observed_s: float) -> None:
        if self.observed:
            self._update_errors(declared_s, observed_s)
        self.observed.append(observed_s)
        self.ratios.append(observed_s / declared_s)
        self.median_s = statistics.median(self.observed)
        self.median_ratio = statistics.median(self.ratios)

    def predict(self, declared_s: float) -> float:
        if self.ratio_error < self.median_error:
            return declared_s * self.median_ratio
        return self.median_s

    def predict_longer(self, elapsed_s: float) -> float | None:
        longer = [seconds for seconds in self.observed if seconds > elapsed_s]
        return statistics.median(longer) if longer else None

    def _update_errors(self, declared_s: float, observed_s: float) -> None:
        by_median = abs(math.log(self.median_s / observed_s))
        by_ratio = abs(math.log(declared_s * self.median_ratio / observed_s))
        self.median_error = _decay(self.median_error, by_median)
        self.ratio_error = _decay(self.ratio_error, by_ratio)


@attrs.define
class RunTimeEstimator:
    """Estimates run times by service, class and size.

    Declared run times may be off by a factor of ten or more. They are used until
    enough runs were observed; after that they only scale the estimate where this has
    had a smaller error than the plain median.
    """

    _series: dict[tuple[object, ...], _Series] = attrs.field(factory=dict)

    def observe(self, request: JobRequest, run_s: float) -> None:
        """Add a run that ended by itself after `run_s` seconds."""
        observed_s = max(run_s, SHORTEST_RUN_S)
        for key in _list_keys(request):
            series = self._series.setdefault(key, _Series())
            series.add(_clamp_declared_s(request), observed_s)

    def estimate_run_s(self, request: JobRequest) -> float:
        """Return the expected run time in seconds."""
        declared_s = _clamp_declared_s(request)
        series = self._find_series(request)
        return declared_s if series is None else series.predict(declared_s)

    def estimate_remaining_s(self, request: JobRequest, elapsed_s: float) -> float:
        """Return how long a job is expected to go on after `elapsed_s` seconds."""
        expected_s = self.estimate_run_s(request)
        if expected_s > elapsed_s:
            return expected_s - elapsed_s
        series = self._find_series(request)
        longer_s = series.predict_longer(elapsed_s) if series is not None else None
        if longer_s is not None:
            return longer_s - elapsed_s
        return max(elapsed_s * OVERRUN_FACTOR, SHORTEST_RUN_S)

    def _find_series(self, request: JobRequest) -> _Series | None:
        for key in _list_keys(request):
            series = self._series.get(key)
            if series is not None and series.is_usable:
                return series
        return None


def _list_keys(request: JobRequest) -> tuple[tuple[object, ...], ...]:
    size = request.accelerators.bit_length()
    return (
        (request.service, request.job_class, size),
        (request.service, request.job_class),
        (request.service,),
    )


def _clamp_declared_s(request: JobRequest) -> float:
    return max(request.expected_run_s, SHORTEST_RUN_S)


def _decay(average: float, value: float) -> float:
    return ERROR_DECAY * average + (1 - ERROR_DECAY) * value

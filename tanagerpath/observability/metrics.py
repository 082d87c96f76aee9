"""Metrics of one task, and their Prometheus text format."""

import enum
import math
import re
from collections.abc import Iterator, Mapping

import attrs
from hdrh.histogram import HdrHistogram

from tanagerpath.core.protocol.job_times import JobTimes
from tanagerpath.observability.labels import BoundedLabels

__all__ = ["JobTime", "MetricsRegistry"]

MAX_ORGANISATIONS = 256
MAX_LABEL_VALUES = 64
QUANTILES = (0.5, 0.9, 0.99, 1.0)
# A histogram with a resolution of 1 ms, two digits and 4-byte counts takes 14 KB; 256
# organisations with 4 classes and 4 times each would take 58 MB if all were in use.
_HIGHEST_MS = 7 * 24 * 3600 * 1000
_SIGNIFICANT_DIGITS = 2
_COUNT_BYTES = 4
_NAME = re.compile(r"[a-z][a-z0-9_]*")


class JobTime(enum.StrEnum):
    """Durations that are measured for a job."""

    WAITING = "waiting"
    START = "start"
    COMPLETION = "completion"
    ANSWER = "answer"


_TIME_DESCRIPTIONS = {
    JobTime.WAITING: "from acceptance to the recorded start",
    JobTime.START: "from the recorded start until all members run",
    JobTime.COMPLETION: "from acceptance to the final state",
    JobTime.ANSWER: "from the arrival at an entry to the whole answer",
}

_Labels = tuple[tuple[str, str], ...]


class _DurationSummary:
    """Histogram, sum and count of one duration for one set of labels."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            1, _HIGHEST_MS, _SIGNIFICANT_DIGITS, word_size=_COUNT_BYTES
        )
        self._sum_s = 0.0
        self._count = 0

    def record(self, time_s: float) -> None:
        value_ms = min(max(1, round(time_s * 1000)), _HIGHEST_MS)
        self._histogram.record_value(value_ms)
        self._sum_s += time_s
        self._count += 1

    @property
    def count(self) -> int:
        return self._count

    def find_quantile_s(self, quantile: float) -> float:
        return self._histogram.get_value_at_percentile(quantile * 100) / 1000

    def render(self, name: str, labels: _Labels) -> Iterator[str]:
        for quantile in QUANTILES:
            extended = (*labels, ("quantile", f"{quantile:g}"))
            yield _render_sample(name, extended, self.find_quantile_s(quantile))
        yield _render_sample(f"{name}_sum", labels, round(self._sum_s, 6))
        yield _render_sample(f"{name}_count", labels, self._count)


@attrs.define
class _Family:
    """All counters or gauges with one name."""

    kind: str
    labels: BoundedLabels = attrs.field(factory=lambda: BoundedLabels(MAX_LABEL_VALUES))
    values: dict[_Labels, float] = attrs.field(factory=dict)


class MetricsRegistry:
    """Durations, counters and gauges, owned by the task that records them.

    Parameters
    ----------
    max_organisations : int
        Organisations with their own label value; further ones share "other".
    """

    def __init__(self, max_organisations: int = MAX_ORGANISATIONS) -> None:
        self._organisations = BoundedLabels(max_organisations)
        self._job_times: dict[str, dict[_Labels, _DurationSummary]] = {}
        self._process_times: dict[str, _DurationSummary] = {}
        self._families: dict[str, _Family] = {}

    def observe_time(self, name: str, elapsed_s: float) -> None:
        """Record one measured duration that belongs to no job.

        Parameters
        ----------
        name : str
            Name without the prefix "tanagerpath_" and the suffix "_seconds".
        elapsed_s : float
            Seconds; a value that is negative or not finite counts as 0.

        Raises
        ------
        ValueError
            If the name contains characters other than a-z, 0-9 and "_".
        """
        _check_name(name)
        summary = self._process_times.setdefault(name, _DurationSummary())
        summary.record(elapsed_s if 0 <= elapsed_s < math.inf else 0.0)

    def observe(
        self, name: str, elapsed_s: float, organisation: str, job_class: str
    ) -> None:
        """Record one measured duration of a job.

        Parameters
        ----------
        name : str
            One of `JobTime`, or another name made of a-z, 0-9 and "_".
        elapsed_s : float
            Seconds; a value that is negative or not finite counts as 0.
        organisation : str
            Organisation of the job.
        job_class : str
            Class of the job, one of `JobClass`.

        Raises
        ------
        ValueError
            If the name contains other characters.
        """
        _check_name(name)
        labels = (
            ("organisation", self._organisations.limit(organisation)),
            ("class", str(job_class)),
        )
        summaries = self._job_times.setdefault(str(name), {})
        if labels not in summaries:
            summaries[labels] = _DurationSummary()
        summaries[labels].record(elapsed_s if 0 <= elapsed_s < math.inf else 0.0)

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increment a counter, such as `refusals` or `failures` by `type`.

        Parameters
        ----------
        name : str
            Name without the prefix "tanagerpath_" and the suffix "_total".
        amount : int
            Increment, at least 0.
        **labels : str
            Labels; a counter has at most 64 distinct values, then "other".
        """
        family = self._find_family(name, "counter")
        key = _limit_labels(family, labels)
        family.values[key] = family.values.get(key, 0) + amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge; parameters as for `count`."""
        family = self._find_family(name, "gauge")
        family.values[_limit_labels(family, labels)] = value

    def list_counts(self, name: str) -> tuple[tuple[str, int], ...]:
        """Return the values of a counter with one label, sorted by label value.

        Parameters
        ----------
        name : str
            Name as given to `count`.

        Returns
        -------
        tuple of (str, int)
            Label value and count; empty if the counter does not exist.
        """
        if name not in self._families:
            return ()
        counted = self._families[name].values
        return tuple(sorted((key[0][1], value) for key, value in counted.items()))

    def list_times(self) -> tuple[JobTimes, ...]:
        """Return the quantiles of all job durations, sorted by name and labels."""
        return tuple(
            JobTimes(
                name=name,
                organisation=labels[0][1],
                job_class=labels[1][1],
                count=summary.count,
                p50_s=summary.find_quantile_s(0.5),
                p99_s=summary.find_quantile_s(0.99),
                max_s=summary.find_quantile_s(1.0),
            )
            for name, summaries in sorted(self._job_times.items())
            for labels, summary in sorted(summaries.items())
        )

    def _find_family(self, name: str, kind: str) -> _Family:
        _check_name(name)
        family = self._families.setdefault(name, _Family(kind))
        if family.kind != kind:
            raise ValueError(f"metric {name!r} is a {family.kind}, not a {kind}")
        return family

    def render(self) -> str:
        """Return all metrics in the Prometheus text format.

        Returns
        -------
        str
            Durations are summaries in seconds, over the life of the process.
        """
        lines = [*self._render_times(), *self._render_families()]
        return "".join(f"{line}\n" for line in lines)

    def _render_times(self) -> Iterator[str]:
        for base, summaries in sorted(self._job_times.items()):
            name = f"tanagerpath_job_{base}_seconds"
            if base in _TIME_DESCRIPTIONS:
                yield f"# HELP {name} Time of a job {_TIME_DESCRIPTIONS[base]}."
            yield f"# TYPE {name} summary"
            for labels, summary in sorted(summaries.items()):
                yield from summary.render(name, labels)
        for base, summary in sorted(self._process_times.items()):
            name = f"tanagerpath_{base}_seconds"
            yield f"# TYPE {name} summary"
            yield from summary.render(name, ())

    def _render_families(self) -> Iterator[str]:
        for base, family in sorted(self._families.items()):
            suffix = "_total" if family.kind == "counter" else ""
            name = f"tanagerpath_{base}{suffix}"
            yield f"# TYPE {name} {family.kind}"
            for labels, value in sorted(family.values.items()):
                yield _render_sample(name, labels, value)


def _check_name(name: str) -> None:
    if _NAME.fullmatch(name) is None:
        raise ValueError(f"metric name {name!r} may contain only a-z, 0-9 and '_'")


def _limit_labels(family: _Family, labels: Mapping[str, str]) -> _Labels:
    return tuple(
        (name, family.labels.limit(str(value))) for name, value in labels.items()
    )


def _render_sample(name: str, labels: _Labels, value: float) -> str:
    pairs = ",".join(f'{label}="{_escape(text)}"' for label, text in labels)
    braces = f"{{{pairs}}}" if pairs else ""
    return f"{name}{braces} {value!r}"


def _escape(text: str) -> str:
    return text.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")

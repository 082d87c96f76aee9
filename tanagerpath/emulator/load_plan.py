"""Jobs that the load tool submits and the count of what became of them."""

import collections
import enum
import json
import random
from collections.abc import Iterator, Sequence

import attrs
from hdrh.histogram import HdrHistogram

from tanagerpath.core.model import JobClass, JobRequest
from tanagerpath.emulator.evidence import Evidence
from tanagerpath.emulator.scripts import digest_text

__all__ = [
    "CHECK",
    "DEFAULT_MIX",
    "JobKind",
    "JobOutcome",
    "LoadReport",
    "Tally",
    "Verdict",
    "plan_jobs",
]

MAX_LATENCY_MS = 600_000


@attrs.frozen
class JobKind:
    """A kind of job in a mix.

    Attributes
    ----------
    name : str
        Name of the kind.
    job_class : JobClass
        Class of the jobs.
    weight : float
        Share in the mix.
    accelerators : int
        Size of the gang.
    run_ms : int
        Run time in milliseconds.
    idempotent : bool
        Whether jobs may run again.
    answer_bytes : int
        Padding of the answer in bytes.
    """

    name: str
    job_class: JobClass
    weight: float
    accelerators: int = 1
    run_ms: int = 20
    idempotent: bool = True
    answer_bytes: int = 200

    def make_job(self, organisation: str, service: str, key: str) -> JobRequest:
        """Return one job of the kind."""
        script = {
            "run_ms": self.run_ms,
            "echo": key,
            "answer_bytes": self.answer_bytes,
        }
        return JobRequest(
            organisation=organisation,
            service=service,
            key=key,
            job_class=self.job_class,
            accelerators=self.accelerators,
            payload=json.dumps(script),
            idempotent=self.idempotent,
            expected_run_s=self.run_ms / 1000,
        )


CHECK = JobKind("check", JobClass.URGENT, 10.0)
# Gangs run for longer than the start deadline (2 s), so that the system has the time to
# stop a gang of which one member did not start.
DEFAULT_MIX = (
    CHECK,
    JobKind("gang", JobClass.STANDARD, 0.3, accelerators=16, run_ms=3000),
    JobKind("batch", JobClass.BATCH, 2.0, accelerators=2, run_ms=200),
    JobKind("once", JobClass.STANDARD, 2.0, run_ms=50, idempotent=False),
)


def plan_jobs(
    mix: Sequence[JobKind],
    organisations: Sequence[str],
    service: str,
    prefix: str,
    seed: int,
) -> Iterator[tuple[JobKind, JobRequest]]:
    """Yield jobs of a mix without end; equal arguments give equal jobs."""
    source = random.Random(seed)
    weights = [kind.weight for kind in mix]
    number = 0
    while True:
        kind = source.choices(mix, weights)[0]
        organisation = source.choice(organisations)
        number += 1
        key = f"{prefix}-{number}"
        yield kind, kind.make_job(organisation, service, key)


class Verdict(enum.StrEnum):
    """What became of a job as its caller sees it."""

    ANSWERED = "answered"
    LOST = "lost"
    WRONG = "wrong"
    REFUSED_NOT_RUN = "refused_not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


@attrs.frozen
class JobOutcome:
    """What became of one job.

    Attributes
    ----------
    kind : JobKind
        Kind of the job.
    job : JobRequest
        The job.
    verdict : Verdict
        Last word.
    latency_ms : float
        Milliseconds from the instant at which the job was due to its last word.
    doubled : bool
        Whether answers of two attempts arrived.
    resent : bool
        Whether an exchange was lost and the job was sent again.
    cut : bool
        Whether a connection ended before the reply.
    detail : str
        Type of the last error, if any.
    """

    kind: JobKind
    job: JobRequest
    verdict: Verdict
    latency_ms: float
    doubled: bool = False
    resent: bool = False
    cut: bool = False
    detail: str = ""


@attrs.frozen
class LoadReport:
    """Counts at the client, joined with what the journals show."""

    jobs: int
    answered: int
    lost: int
    doubled: int
    wrong: int
    refused_not_run: int
    false_not_run: int
    failed: int
    unknown: int
    cancelled: int
    resent: int
    cut: int
    partial_gangs: int
    p50_ms: float
    p99_ms: float
    latency_ms: dict[str, dict[str, float]]
    details: dict[str, int]

    @property
    def sound(self) -> bool:
        """Whether nothing was lost, doubled, wrong, partial or falsely refused."""
        faults = self.lost + self.doubled + self.wrong
        return faults + self.false_not_run + self.partial_gangs == 0


class Tally:
    """Counts outcomes."""

    def __init__(self) -> None:
        self.outcomes: list[JobOutcome] = []
        self._histograms: dict[str, HdrHistogram] = {}

    def add(self, outcome: JobOutcome) -> None:
        """Count one outcome."""
        self.outcomes.append(outcome)
        if outcome.verdict is Verdict.ANSWERED:
            self._record(outcome.kind.name, outcome.latency_ms)
            self._record(outcome.job.job_class.value, outcome.latency_ms)

    def _record(self, name: str, latency_ms: float) -> None:
        if name not in self._histograms:
            self._histograms[name] = HdrHistogram(1, MAX_LATENCY_MS * 1000, 3)
        self._histograms[name].record_value(max(1, int(latency_ms * 1000)))

    @property
    def non_idempotent(self) -> set[str]:
        """Digests of the payloads that may run only once."""
        jobs = (outcome.job for outcome in self.outcomes)
        return {digest_text(job.payload) for job in jobs if not job.idempotent}

    def report(self, evidence: Evidence, leading_class: JobClass) -> LoadReport:
        """Return the counts; `p50_ms` and `p99_ms` are those of one class."""
        counts = collections.Counter(o.verdict for o in self.outcomes)
        details = collections.Counter(o.detail for o in self.outcomes if o.detail)
        doubled = sum(outcome.doubled for outcome in self.outcomes)
        leading = self._summarise(leading_class.value)
        return LoadReport(
            jobs=len(self.outcomes),
            answered=counts[Verdict.ANSWERED],
            lost=counts[Verdict.LOST],
            doubled=doubled + len(evidence.doubled_runs),
            wrong=counts[Verdict.WRONG],
            refused_not_run=counts[Verdict.REFUSED_NOT_RUN],
            false_not_run=self._count_false_not_run(evidence),
            failed=counts[Verdict.FAILED],
            unknown=counts[Verdict.UNKNOWN],
            cancelled=counts[Verdict.CANCELLED],
            resent=sum(outcome.resent for outcome in self.outcomes),
            cut=sum(outcome.cut for outcome in self.outcomes),
            partial_gangs=len(evidence.partial_gangs),
            p50_ms=leading["p50"],
            p99_ms=leading["p99"],
            latency_ms={n: self._summarise(n) for n in sorted(self._histograms)},
            details=dict(details),
        )

    def _count_false_not_run(self, evidence: Evidence) -> int:
        return sum(
            digest_text(outcome.job.payload) in evidence.started_at_unix_s
            for outcome in self.outcomes
            if outcome.verdict is Verdict.REFUSED_NOT_RUN
        )

    def _summarise(self, name: str) -> dict[str, float]:
        histogram = self._histograms.get(name)
        if histogram is None:
            return {"count": 0, "p50": 0.0, "p99": 0.0, "max": 0.0}
        return {
            "count": histogram.get_total_count(),
            "p50": histogram.get_value_at_percentile(50) / 1000,
            "p99": histogram.get_value_at_percentile(99) / 1000,
            "max": histogram.get_max_value() / 1000,
        }

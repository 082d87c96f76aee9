"""Compares the policy with first-come first-fit on seeded traces.

Run as ``python -m tanagerpath.benchmarks.policy --seed N``. The last line of the output
is one JSON object.
"""

import argparse
import json
import math
import sys
import time

import attrs

from tanagerpath.benchmarks.decision_cost import measure_decision_costs
from tanagerpath.benchmarks.replay import JobRecord, Replay
from tanagerpath.benchmarks.traces import DEPLOYMENTS, Trace, make_trace
from tanagerpath.core.model import JobClass
from tanagerpath.core.placement import (
    FirstComeFirstFitScheduler,
    FirstFitScheduler,
    GuaranteeScheduler,
    Scheduler,
    SchedulerConfig,
)

__all__ = ["Figures", "compare", "main", "replay"]

LARGE_ACCELERATORS = 16


@attrs.frozen
class Figures:
    """Figures of one scheduler on one trace.

    Completion is the time from acceptance to the end of a job that was answered. The
    wait of a large job is its completion less its run time, so that work lost to
    preemption counts. `starved` counts jobs that had not started when the trace ended.
    """

    completion_p50_s: float
    completion_p99_s: float
    completion_mean_s: float
    large_wait_p99_s: float
    fragmentation: float
    fragmented_free_share: float
    utilisation: float
    urgent_start_p99_s: float
    reclaim_max_s: float
    guarantee_violations: int
    starved: int
    answered: int
    failures: int
    late: int
    preemptions: int

    @classmethod
    def from_replay(cls, replayed: Replay) -> "Figures":
        """Compute the figures of a replay that has ended."""
        records = list(replayed.records.values())
        answered = [each for each in records if each.outcome == "answered"]
        completions = [_measure_completion_s(each) for each in answered]
        ledger = replayed.ledger
        return cls(
            completion_p50_s=_find_percentile(completions, 0.5),
            completion_p99_s=_find_percentile(completions, 0.99),
            completion_mean_s=math.fsum(completions) / max(len(completions), 1),
            large_wait_p99_s=_find_percentile(_list_large_waits(answered), 0.99),
            fragmentation=ledger.fragmented_s / ledger.total_s,
            fragmented_free_share=ledger.fragmented_s
            / max(ledger.free_while_waiting_s, 1.0),
            utilisation=ledger.used_s / ledger.total_s,
            urgent_start_p99_s=_find_percentile(_list_urgent_starts(records), 0.99),
            reclaim_max_s=max(_list_reclaims(records), default=0.0),
            guarantee_violations=replayed.guarantee_violations,
            starved=sum(_is_starved(each) for each in records),
            answered=len(answered),
            failures=sum(each.failures for each in records),
            late=sum(map(_is_late, answered)),
            preemptions=replayed.preemptions,
        )


def replay(trace: Trace, scheduler: Scheduler, *, checks_guarantees: bool) -> Figures:
    """Replay a trace through a new scheduler and return its figures."""
    replayed = Replay.from_trace(trace, scheduler, checks_guarantees=checks_guarantees)
    replayed.run()
    return Figures.from_replay(replayed)


def compare(trace: Trace) -> dict[str, float | int]:
    """Return the policy's figures on a trace and their ratios to both baselines."""
    config = SchedulerConfig()
    policy = replay(
        trace, GuaranteeScheduler.from_config(config), checks_guarantees=True
    )
    baseline = replay(
        trace, FirstComeFirstFitScheduler.from_config(config), checks_guarantees=False
    )
    passing = replay(
        trace, FirstFitScheduler.from_config(config), checks_guarantees=False
    )
    _print_figures(trace.deployment.name, policy, baseline, passing)
    return {
        **_compute_ratios(policy, baseline, ""),
        "urgent_start_p99_s": round(policy.urgent_start_p99_s, 3),
        "reclaim_max_s": round(policy.reclaim_max_s, 3),
        "guarantee_violations": policy.guarantee_violations,
        "starved": policy.starved,
        **_compute_ratios(policy, passing, "_first_fit"),
        "late_patient_jobs": policy.late,
        "failed_starts": policy.failures,
    }


def main(arguments: list[str] | None = None) -> int:
    """Run the benchmark and print its results; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of the traces")
    parser.add_argument(
        "--skip-cost", action="store_true", help="leave out the cost of a decision"
    )
    options = parser.parse_args(arguments)
    results: dict[str, object] = {"seed": options.seed}
    for deployment in DEPLOYMENTS:
        began_s = time.perf_counter()
        results[deployment.name] = compare(make_trace(deployment, options.seed))
        print(f"{deployment.name}: {time.perf_counter() - began_s:.1f} s of run time")
    if not options.skip_cost:
        results["decision_cost"] = measure_decision_costs(options.seed)
    print(json.dumps(results))
    return 0


def _compute_ratios(policy: Figures, other: Figures, suffix: str) -> dict[str, float]:
    return {
        f"completion_p50_ratio{suffix}": _divide(
            policy.completion_p50_s, other.completion_p50_s
        ),
        f"completion_p99_ratio{suffix}": _divide(
            policy.completion_p99_s, other.completion_p99_s
        ),
        f"large_wait_p99_ratio{suffix}": _divide(
            policy.large_wait_p99_s, other.large_wait_p99_s
        ),
        f"fragmentation_ratio{suffix}": _divide(
            policy.fragmentation, other.fragmentation
        ),
    }


def _print_figures(name: str, *figures: Figures) -> None:
    print(f"{name:24}{'policy':>14}{'first come':>14}{'first fit':>14}")
    for field in attrs.fields(Figures):
        values = [getattr(each, field.name) for each in figures]
        print(f"  {field.name:22}" + "".join(f"{value:14.4g}" for value in values))


def _divide(value: float, other: float) -> float:
    return round(value / other, 4) if other else float(value > 0.0)


def _find_percentile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def _measure_completion_s(record: JobRecord) -> float:
    return record.finished_at_s - record.job.at_s


def _list_large_waits(answered: list[JobRecord]) -> list[float]:
    return [
        _measure_completion_s(each) - each.job.run_s / each.speed
        for each in answered
        if each.job.request.accelerators >= LARGE_ACCELERATORS
        and not each.job.request.guaranteed
    ]


def _list_urgent_starts(records: list[JobRecord]) -> list[float]:
    return [
        each.first_start_s - each.job.at_s
        for each in records
        if each.job.request.job_class is JobClass.URGENT
        and each.first_start_s is not None
    ]


def _list_reclaims(records: list[JobRecord]) -> list[float]:
    return [
        each.first_start_s - each.job.at_s
        for each in records
        if each.job.request.guaranteed and each.first_start_s is not None
    ]


def _is_starved(record: JobRecord) -> bool:
    return not record.outcome and record.first_start_s is None


def _is_late(record: JobRecord) -> bool:
    deadline_s = record.job.deadline_s
    return deadline_s is not None and record.finished_at_s > deadline_s


if __name__ == "__main__":
    sys.exit(main())

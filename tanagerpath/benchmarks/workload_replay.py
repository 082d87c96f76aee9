"""Replays seeded days of the users' kinds of workload on the leader's decisions.

The dispatcher and its policy run against stand-in upstreams in virtual time, so that a
change of the policy is judged over many days without processes or sockets:

    python -m tanagerpath.benchmarks.workload_replay --fleet few-fast --days 8

Submissions pass the decision on their admission (`--admission`). A refused one returns
after the time that the refusal names, at most four times, as long as it can still have
a value for its caller, which counts from its first attempt.
"""

import argparse
import concurrent.futures
import functools
import statistics

import attrs

from tanagerpath.benchmarks.workload_day import ReplayDay
from tanagerpath.benchmarks.workload_kinds import FLEETS
from tanagerpath.benchmarks.workload_outcomes import DayResult, DayTerms, QueueResult
from tanagerpath.core.workloads.admission import AdmissionMode

__all__ = [
    "DayResult",
    "DayTerms",
    "QueueResult",
    "replay_day",
    "replay_with_hindsight",
]


def replay_day(
    fleet_name: str,
    seed: int,
    burst: bool = True,
    load: float = 1.0,
    backlog_s: float = 0.0,
    admission: str = "unlimited",
    filled: int = 0,
    slow_share: float = 0.0,
) -> DayResult:
    """Play one day.

    Parameters
    ----------
    fleet_name : str
        A name in `FLEETS`.
    seed : int
        Seed of everything that is drawn.
    burst, load, backlog_s, admission : bool, float, float, str
        See `DayTerms`.
    filled, slow_share : int, float
        See `DayTerms`.

    Returns
    -------
    DayResult
        What the day earned.
    """
    terms = DayTerms(
        burst=burst,
        load=load,
        backlog_s=backlog_s,
        admission=admission,
        filled=filled,
        slow_share=slow_share,
    )
    return ReplayDay(FLEETS[fleet_name], seed, terms).play()


def replay_with_hindsight(
    fleet_name: str, seed: int, terms: DayTerms
) -> tuple[DayResult, DayResult]:
    """Play a day twice, the second time without what earned nothing in the first.

    The difference is about what the best decisions on admission could gain.

    Parameters
    ----------
    fleet_name, seed, terms : str, int, DayTerms
        The day.

    Returns
    -------
    tuple of DayResult
        Results without and with hindsight; what is left out counts as refused.
    """
    first = ReplayDay(FLEETS[fleet_name], seed, terms)
    result = first.play()
    second = ReplayDay(FLEETS[fleet_name], seed, terms, first.list_worthless())
    return result, second.play()


def _print_mean(fleet_name: str, results: list[DayResult]) -> None:
    def mean(read):
        return statistics.mean(read(one) for one in results)

    queues = sorted(results[0].by_queue)
    shares = " ".join(
        f"{queue} {mean(lambda one, q=queue: one.by_queue[q].share):.3f}"
        for queue in queues
    )
    print(
        f"{fleet_name}: whole {mean(lambda one: one.whole):.3f}"
        f" windows {mean(lambda one: one.worst_windows):.3f}"
        f" kind {mean(lambda one: one.worst_kind):.3f} ({shares})"
        f" wasted {mean(lambda one: one.wasted_cores_s):.0f} core s"
        f" starts {mean(lambda one: one.starts):.0f}"
        f" stops {mean(lambda one: one.stops):.0f}"
        f" late starts {mean(lambda one: one.late_starts):.3f}"
        f" worthless {mean(lambda one: one.worthless_cores_s / one.used_cores_s):.3f}"
        f" refusals {mean(lambda one: one.refusals):.1f}"
    )
    for queue in queues:
        found = [one.by_queue[queue] for one in results]
        numbers = " ".join(
            f"{name.replace('_', ' ')}"
            f" {statistics.mean(getattr(one, name) for one in found):.1f}"
            for name in ("on_time", "late", "failed", "refused")
        )
        print(f"  {queue}: {numbers}")


def main() -> None:
    """Play the days that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--fleet", choices=sorted(FLEETS), action="append")
    parser.add_argument("--days", type=int, default=8)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--load", type=float, default=1.0, help="multiple of rates")
    parser.add_argument("--calm", action="store_true", help="days without a burst")
    parser.add_argument(
        "--backlog",
        type=float,
        default=0.0,
        help="seconds of arrivals of all but urgent work that wait at the begin",
    )
    parser.add_argument(
        "--admission", choices=[*AdmissionMode], default=AdmissionMode.UNLIMITED
    )
    parser.add_argument(
        "--hindsight",
        action="store_true",
        help="play each day again without what earned nothing",
    )
    parser.add_argument("--filled", type=int, default=0, help="gangs at the start")
    parser.add_argument("--slow", type=float, default=0.0, help="share of upstreams")
    options = parser.parse_args()
    terms = DayTerms(
        burst=not options.calm,
        load=options.load,
        backlog_s=options.backlog,
        admission=str(options.admission),
        filled=options.filled,
        slow_share=options.slow,
    )
    seeds = range(options.seed, options.seed + options.days)
    with concurrent.futures.ProcessPoolExecutor(options.processes) as pool:
        for fleet_name in options.fleet or sorted(FLEETS):
            if options.hindsight:
                play = functools.partial(replay_with_hindsight, fleet_name, terms=terms)
                first, second = zip(*pool.map(play, seeds), strict=True)
                _print_mean(fleet_name, list(first))
                _print_mean(f"{fleet_name} with hindsight", list(second))
                continue
            play = functools.partial(replay_day, fleet_name, **attrs.asdict(terms))
            _print_mean(fleet_name, list(pool.map(play, seeds)))


if __name__ == "__main__":
    main()

"""Replays seeded days of the users' kinds of workload on the leader's decisions.

The dispatcher and its policy run against stand-in upstreams in virtual time, so that a
change of the policy is judged over many days without processes or sockets:

    python -m tanagerpath.benchmarks.workload_replay --fleet few-fast --days 8
"""

import argparse
import concurrent.futures
import random
import statistics

import attrs

from tanagerpath.benchmarks.workload_fleet import ORGANISATIONS, ReplayRig
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec

__all__ = ["DayResult", "WorkloadKind", "replay_day"]

DAY_S = 34.0
FINISH_S = 30.0
WINDOW_S = 2.0
WORST_WINDOWS = 2
RACK_SIZE = 8
# A workload counts as late up to this many times its objective.
LATE_MULTIPLE = 3.0
BASE_SHARE = 0.3
MAX_SIZE_FACTOR = 4.0
BURST_BEGIN_S = 8.0
BURST_END_S = 14.0
NEW_LEADER_S = 16.0


@attrs.frozen(kw_only=True)
class WorkloadKind:
    """One kind of workload that callers submit.

    Attributes
    ----------
    queue : str
        Queue of the rig that it goes to.
    rate_per_s : float
        Mean submissions in a second.
    width, work_s, work_spread : float
        Mean number of tasks, mean seconds of one task, and the spread of its logarithm.
    width_max, work_max_s : float
        Upper bounds of both.
    cpu_millicores, memory_mb : int
        What a task takes.
    accelerators : tuple of int
        Accelerators of a task, drawn with equal chance.
    gang, same_rack, checkpointing, cancelled, pinned : float
        Shares of workloads that are so.
    declared_spread : float
        Spread of the logarithm of the declared over the true run time.
    failing : float
        Share of runs that fail.
    credit, late_credit : float
        What a workload of mean size earns in time and late.
    factor, margin_s : float
        Objective in multiples of the work, and what is added.
    burst : float
        Multiple of the rate during the burst.
    """

    queue: str
    rate_per_s: float
    width: float
    width_max: int
    work_s: float
    work_spread: float
    work_max_s: float
    cpu_millicores: int
    memory_mb: int
    accelerators: tuple[int, ...]
    gang: float = 0.0
    same_rack: float = 0.0
    checkpointing: float = 0.0
    cancelled: float = 0.0
    pinned: float = 0.0
    declared_spread: float = 0.5
    failing: float = 0.02
    credit: float = 1.0
    late_credit: float = 0.5
    factor: float = 3.0
    margin_s: float = 1.0
    burst: float = 1.0

    @property
    def mean_cores_s(self) -> float:
        """Core seconds of a workload of mean size."""
        mean = Resources(
            self.cpu_millicores,
            0,
            round(statistics.mean(self.accelerators)),
        )
        return self.width * self.work_s * mean.weighted_cores


@attrs.frozen(kw_only=True)
class Fleet:
    """Upstreams of a day and the kinds of workload that it carries."""

    speeds: tuple[float, ...]
    capacity: Resources
    kinds: tuple[WorkloadKind, ...]
    checkpoint_interval_s: float
    restore_s: float


@attrs.define
class _Submission:
    """A workload of the day and what becomes of it."""

    kind: WorkloadKind
    at_s: float
    work_s: float
    credit: float
    cancel_at_s: float | None
    spec: StepSpec
    organisation: str
    ended_s: float | None = None

    @property
    def objective_s(self) -> float:
        return self.kind.factor * self.work_s + self.kind.margin_s

    @property
    def earned(self) -> float:
        if self.ended_s is None:
            return 0.0
        took_s = self.ended_s - self.at_s
        if took_s <= self.objective_s:
            return self.credit
        if took_s <= LATE_MULTIPLE * self.objective_s:
            return self.credit * self.kind.late_credit / self.kind.credit
        return 0.0


@attrs.frozen(kw_only=True)
class DayResult:
    """Shares of the credit that a day earned.

    Attributes
    ----------
    whole, worst_windows, worst_kind : float
        Share over the day, its worst windows and its worst kind of workload.
    by_queue : dict of str to float
        Share by queue.
    wasted_cores_s : float
        Core seconds of work that was thrown away.
    stops : int
        Runs that were stopped to make room.
    """

    whole: float
    worst_windows: float
    worst_kind: float
    by_queue: dict[str, float]
    wasted_cores_s: float
    stops: int


def _find_share(submissions: list[_Submission]) -> float:
    owed = sum(one.credit for one in submissions)
    return sum(one.earned for one in submissions) / owed if owed else 1.0


FEW_FAST = Fleet(
    speeds=(0.7, 0.7, 1.7),
    capacity=Resources(128_000, 524_288, 8),
    checkpoint_interval_s=0.5,
    restore_s=0.25,
    kinds=(
        WorkloadKind(
            queue="urgent",
            rate_per_s=1.19,
            width=3.0,
            width_max=21,
            work_s=2.5,
            work_spread=0.5,
            work_max_s=8.0,
            cpu_millicores=15_000,
            memory_mb=61_000,
            accelerators=(1, 2, 4, 8, 8),
            gang=1.0,
            same_rack=0.8,
            declared_spread=0.9,
            credit=4.0,
            late_credit=0.8,
            factor=1.5,
            margin_s=0.25,
            burst=2.3,
        ),
        WorkloadKind(
            queue="batch",
            rate_per_s=0.251,
            width=5.0,
            width_max=30,
            work_s=11.0,
            work_spread=0.3,
            work_max_s=11.0,
            cpu_millicores=52_000,
            memory_mb=210_000,
            accelerators=(1, 2, 4, 8, 8),
            gang=1.0,
            same_rack=0.6,
            checkpointing=0.45,
            cancelled=0.05,
            pinned=0.15,
            declared_spread=0.9,
            credit=3.0,
            late_credit=1.5,
        ),
        WorkloadKind(
            queue="scan",
            rate_per_s=0.369,
            width=16.0,
            width_max=94,
            work_s=6.1,
            work_spread=0.3,
            work_max_s=11.0,
            cpu_millicores=11_000,
            memory_mb=59_000,
            accelerators=(1,),
            checkpointing=0.45,
            cancelled=0.15,
            pinned=0.06,
            margin_s=3.0,
        ),
    ),
)
FEW_SLOW = Fleet(
    speeds=(0.55, 1.2, 1.2, 1.2),
    capacity=Resources(64_000, 262_144, 8),
    checkpoint_interval_s=2.0,
    restore_s=0.6,
    kinds=(
        attrs.evolve(
            FEW_FAST.kinds[0], rate_per_s=1.2, cpu_millicores=7_500, memory_mb=31_000
        ),
        attrs.evolve(
            FEW_FAST.kinds[1],
            rate_per_s=0.343,
            width=4.0,
            width_max=24,
            cpu_millicores=26_000,
            memory_mb=140_000,
            declared_spread=0.5,
            late_credit=0.3,
        ),
        attrs.evolve(
            FEW_FAST.kinds[2],
            rate_per_s=0.531,
            width=12.0,
            width_max=72,
            cpu_millicores=5_600,
            memory_mb=23_000,
            failing=0.05,
            late_credit=0.1,
            burst=1.8,
        ),
    ),
)
FLEETS = {"few-fast": FEW_FAST, "few-slow": FEW_SLOW}


class _Day:
    """Draws the submissions of a day and plays them on a rig."""

    def __init__(self, fleet: Fleet, seed: int, burst: bool, load: float) -> None:
        self._random = random.Random(seed)
        self._fleet = fleet
        self._burst = burst
        self._load = load
        speeds = [fleet.speeds[number % len(fleet.speeds)] for number in range(24)]
        self._random.shuffle(speeds)
        self._rig = ReplayRig(
            seed,
            speeds,
            fleet.capacity,
            RACK_SIZE,
            fleet.checkpoint_interval_s,
            fleet.restore_s,
        )
        self._submissions: dict[str, _Submission] = {}

    def _draw_arrivals(self, kind: WorkloadKind) -> list[float]:
        at_s, found = 0.0, []
        while True:
            is_burst = self._burst and BURST_BEGIN_S <= at_s < BURST_END_S
            rate = self._load * kind.rate_per_s * (kind.burst if is_burst else 1.0)
            at_s += self._random.expovariate(rate)
            if at_s >= DAY_S:
                return found
            found.append(at_s)

    def _draw(self, kind: WorkloadKind, at_s: float) -> _Submission:
        draw = self._random
        width = draw.lognormvariate(0.0, 0.8) * kind.width / 1.38
        count = min(max(round(width), 1), kind.width_max)
        work_s = draw.lognormvariate(0.0, kind.work_spread) * kind.work_s
        work_s = min(work_s, kind.work_max_s)
        needs = Resources(
            kind.cpu_millicores, kind.memory_mb, draw.choice(kind.accelerators)
        )
        # A gang never needs more than half of a rack-bound fleet can offer.
        is_gang = draw.random() < kind.gang
        if is_gang:
            count = min(count, RACK_SIZE // 2 * max(8 // needs.accelerators, 1))
            count = min(count, self._count_room(needs) // 2)
        cores_s = count * work_s * needs.weighted_cores
        size = BASE_SHARE + (1 - BASE_SHARE) * cores_s / kind.mean_cores_s
        declared = draw.lognormvariate(0.0, kind.declared_spread)
        is_pinned = draw.random() < kind.pinned
        spec = StepSpec(
            count=count,
            needs=needs,
            declared_run_s=work_s * declared,
            checkpointing=draw.random() < kind.checkpointing,
            gang=is_gang,
            same_rack=is_gang and draw.random() < kind.same_rack,
            preferred_rack=f"r{draw.randrange(3)}" if is_pinned else "",
        )
        is_cancelled = draw.random() < kind.cancelled
        return _Submission(
            kind,
            at_s,
            work_s,
            kind.credit * min(size, MAX_SIZE_FACTOR),
            at_s + draw.uniform(1.0, 15.0) if is_cancelled else None,
            spec,
            draw.choice(ORGANISATIONS),
        )

    def _count_room(self, needs: Resources) -> int:
        return 24 * needs.count_in(self._fleet.capacity, 100)

    def play(self) -> DayResult:
        """Play the day and return its shares."""
        todo = [
            self._draw(kind, at_s)
            for kind in self._fleet.kinds
            for at_s in self._draw_arrivals(kind)
        ]
        todo.sort(key=lambda one: one.at_s)
        for number, one in enumerate(todo):
            self._submissions[f"{number:04d}"] = one
        rig = self._rig
        begin_s = rig.now_s
        events = [(one.at_s, "submit", key) for key, one in self._submissions.items()]
        events += [
            (one.cancel_at_s, "cancel", key)
            for key, one in self._submissions.items()
            if one.cancel_at_s is not None
        ]
        events.append((NEW_LEADER_S, "lead", ""))
        for at_s, action, key in sorted(events):
            rig.run(begin_s + at_s - rig.now_s)
            if action == "lead":
                rig.lead(rig.term + 1)
                continue
            one = self._submissions[key]
            if action == "cancel":
                rig.cancel(key)
            else:
                rig.fail_share[key] = one.kind.failing
                rig.submit(
                    key,
                    one.spec,
                    queue=one.kind.queue,
                    work_s=one.work_s,
                    organisation=one.organisation,
                )
        rig.run(FINISH_S)
        return self._judge(begin_s)

    def _judge(self, begin_s: float) -> DayResult:
        for key, one in self._submissions.items():
            record = self._rig.state.workloads.get(key)
            if record is not None and str(record.state) == "completed":
                one.ended_s = record.ended_at_unix_s - begin_s
        owed = [one for one in self._submissions.values() if one.cancel_at_s is None]
        windows = {}
        for one in owed:
            windows.setdefault(int(one.at_s / WINDOW_S), []).append(one)
        shares = sorted(_find_share(window) for window in windows.values())
        queues = {one.kind.queue for one in owed}
        by_queue = {
            queue: _find_share([one for one in owed if one.kind.queue == queue])
            for queue in queues
        }
        return DayResult(
            whole=_find_share(owed),
            worst_windows=statistics.mean(shares[:WORST_WINDOWS]),
            worst_kind=min(by_queue.values()),
            by_queue=by_queue,
            wasted_cores_s=self._rig.wasted_cores_s,
            stops=self._rig.stops,
        )


def replay_day(
    fleet_name: str, seed: int, burst: bool = True, load: float = 1.0
) -> DayResult:
    """Play one day.

    Parameters
    ----------
    fleet_name : str
        A name in `FLEETS`.
    seed : int
        Seed of everything that is drawn.
    burst : bool
        Whether many callers come at once for some seconds.
    load : float
        Multiple of all rates.

    Returns
    -------
    DayResult
        What the day earned.
    """
    return _Day(FLEETS[fleet_name], seed, burst, load).play()


def _print_mean(fleet_name: str, results: list[DayResult]) -> None:
    def mean(read):
        return statistics.mean(read(one) for one in results)

    queues = sorted(results[0].by_queue)
    shares = " ".join(
        f"{queue} {mean(lambda one, q=queue: one.by_queue.get(q, 1.0)):.3f}"
        for queue in queues
    )
    print(
        f"{fleet_name}: whole {mean(lambda one: one.whole):.3f}"
        f" windows {mean(lambda one: one.worst_windows):.3f}"
        f" kind {mean(lambda one: one.worst_kind):.3f} ({shares})"
        f" wasted {mean(lambda one: one.wasted_cores_s):.0f} core s"
        f" stops {mean(lambda one: one.stops):.0f}"
    )


def main() -> None:
    """Play the days that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--fleet", choices=sorted(FLEETS), action="append")
    parser.add_argument("--days", type=int, default=8)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--load", type=float, default=1.0, help="multiple of rates")
    parser.add_argument("--calm", action="store_true", help="days without a burst")
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.days)
    with concurrent.futures.ProcessPoolExecutor(options.processes) as pool:
        for fleet_name in options.fleet or sorted(FLEETS):
            names = [fleet_name] * len(seeds)
            bursts = [not options.calm] * len(seeds)
            loads = [options.load] * len(seeds)
            results = pool.map(replay_day, names, seeds, bursts, loads)
            _print_mean(fleet_name, list(results))


if __name__ == "__main__":
    main()

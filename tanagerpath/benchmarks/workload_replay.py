"""Replays seeded days of the users' kinds of workload on the leader's decisions.

The dispatcher and its policy run against stand-in upstreams in virtual time, so that a
change of the policy is judged over many days without processes or sockets:

    python -m tanagerpath.benchmarks.workload_replay --fleet few-fast --days 8
"""

import argparse
import concurrent.futures
import math
import random
import statistics

import attrs

from tanagerpath.benchmarks.workload_fleet import ReplayRig
from tanagerpath.benchmarks.workload_kinds import FLEETS, Fleet, WorkloadKind
from tanagerpath.core.workloads.policy import HARD_DEADLINE_FACTOR
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec

__all__ = ["DayResult", "Difficulties", "replay_day"]

DAY_S = 34.0
FINISH_S = 30.0
WINDOW_S = 2.0
WORST_WINDOWS = 2
RACK_SIZE = 8
# Corrects the mean of a logarithmic normal distribution of spread WIDTH_SPREAD.
WIDTH_SPREAD = 0.8
WIDTH_MEAN = math.exp(WIDTH_SPREAD**2 / 2)
CANCEL_AFTER_S = (1.0, 15.0)
BASE_SHARE = 0.3
MAX_SIZE_FACTOR = 4.0
BURST_BEGIN_S = 8.0
BURST_END_S = 14.0
NEW_LEADER_S = 16.0
FILL_S = 1.0
LATE_START_S = 1.0
# Workloads of the last kind for each gang of the kind before it in a filled fleet.
FILL_SCANS_PER_GANG = 1.25
SLOW_FACTOR = 7.0
SLOW_FOR_S = (6.0, 14.0)


@attrs.frozen(kw_only=True)
class Difficulties:
    """What makes a day harder.

    Attributes
    ----------
    filled : int
        Gangs of the second kind that arrive in the first second, with somewhat more
        workloads of the third kind.
    slow_share : float
        Share of the upstreams that become slow by `SLOW_FACTOR` for some seconds.
    """

    filled: int = 0
    slow_share: float = 0.0


NO_DIFFICULTIES = Difficulties()


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
        if took_s <= HARD_DEADLINE_FACTOR * self.objective_s:
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
    starts, stops : int
        Runs that were started, and runs that were stopped to make room.
    late_starts : float
        Share of the urgent workloads whose first task started more than a second
        after their submission.
    unfinished : int
        Workloads that have not ended some time after the day.
    """

    whole: float
    worst_windows: float
    worst_kind: float
    by_queue: dict[str, float]
    wasted_cores_s: float
    starts: int
    stops: int
    late_starts: float
    unfinished: int


def _find_share(submissions: list[_Submission]) -> float:
    owed = sum(one.credit for one in submissions)
    return sum(one.earned for one in submissions) / owed if owed else 1.0


class _Day:
    """Draws the submissions of a day and plays them on a rig."""

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        burst: bool,
        load: float,
        difficulties: Difficulties,
    ) -> None:
        self._random = random.Random(seed)
        self._difficulties = difficulties
        self._difficulty_random = random.Random(f"difficulties {seed}")
        self._fleet = fleet
        self._burst = burst
        self._load = load
        speeds = [
            fleet.speeds[number % len(fleet.speeds)]
            for number in range(fleet.upstreams)
        ]
        self._random.shuffle(speeds)
        self._rig = ReplayRig(
            seed,
            speeds,
            fleet.capacity,
            RACK_SIZE,
            fleet.checkpoint_interval_s,
            fleet.restore_s,
            fleet.organisations,
        )
        self._submissions: dict[str, _Submission] = {}

    def _draw_arrivals(self, kind: WorkloadKind) -> list[float]:
        at_s, found = 0.0, []
        while True:
            at_s += self._random.expovariate(self._find_rate(kind, at_s))
            if at_s >= DAY_S:
                return found
            found.append(at_s)

    def _find_rate(self, kind: WorkloadKind, at_s: float) -> float:
        """Return the submissions of a kind in a second at a time of the day."""
        fleet = self._fleet
        is_burst = self._burst and BURST_BEGIN_S <= at_s < BURST_END_S
        wave = 1.0 + fleet.swing * math.sin(2 * math.pi * at_s / fleet.period_s)
        burst = kind.burst if is_burst else 1.0
        return self._load * kind.rate_per_s * burst * wave

    def _draw(self, kind: WorkloadKind, at_s: float) -> _Submission:
        draw = self._random
        width = draw.lognormvariate(0.0, WIDTH_SPREAD) * kind.width / WIDTH_MEAN
        count = min(max(round(width), 1), kind.width_max)
        work_s = draw.lognormvariate(0.0, kind.work_spread) * kind.work_s
        declared_s = min(work_s, kind.work_max_s)
        has_tail = kind.tail_share > 0.0 and draw.random() < kind.tail_share
        work_s = min(work_s * (kind.tail_factor if has_tail else 1.0), kind.work_max_s)
        needs = Resources(
            kind.cpu_millicores, kind.memory_mb, draw.choice(kind.accelerators)
        )
        is_gang = draw.random() < kind.gang
        if is_gang:
            # Gangs that no healthy fleet has room for are not part of these days.
            count = min(count, self._count_room(needs) // 2)
        cores_s = count * work_s * needs.weighted_cores
        size = BASE_SHARE + (1 - BASE_SHARE) * cores_s / kind.mean_cores_s
        declared = draw.lognormvariate(0.0, kind.declared_spread)
        is_pinned = draw.random() < kind.pinned
        rack = f"r{draw.randrange(self._fleet.upstreams // RACK_SIZE)}"
        spec = StepSpec(
            count=count,
            needs=needs,
            declared_run_s=declared_s * declared,
            checkpointing=draw.random() < kind.checkpointing,
            gang=is_gang,
            same_rack=is_gang and draw.random() < kind.same_rack,
            preferred_rack=rack if is_pinned else "",
        )
        is_cancelled = draw.random() < kind.cancelled
        return _Submission(
            kind,
            at_s,
            work_s,
            kind.credit * min(size, MAX_SIZE_FACTOR),
            at_s + draw.uniform(*CANCEL_AFTER_S) if is_cancelled else None,
            spec,
            draw.choice(self._rig.organisations),
        )

    def _count_room(self, needs: Resources) -> int:
        """Return how many tasks a rack holds when it is empty."""
        on_one = self._fleet.capacity.accelerators // needs.accelerators
        return RACK_SIZE * needs.count_in(self._fleet.capacity, on_one)

    def _draw_filling(self) -> list[_Submission]:
        """Draw the workloads that fill the fleet in the first second."""
        _, gang, scan = self._fleet.kinds
        gangs = self._difficulties.filled
        scans = round(FILL_SCANS_PER_GANG * gangs)
        return [
            self._draw(kind, self._difficulty_random.uniform(0.0, FILL_S))
            for kind in [gang] * gangs + [scan] * scans
        ]

    def _draw_slow(self) -> list[tuple[float, str, str]]:
        """Draw the times at which upstreams become slow and recover."""
        draw, names = self._difficulty_random, sorted(self._rig.upstreams)
        events = []
        for name in draw.sample(
            names, round(self._difficulties.slow_share * len(names))
        ):
            from_s = draw.uniform(0.0, DAY_S)
            events.append((from_s, "slow", name))
            events.append((from_s + draw.uniform(*SLOW_FOR_S), "recover", name))
        return [event for event in events if event[0] < DAY_S]

    def play(self) -> DayResult:
        """Play the day and return its shares."""
        todo = [
            self._draw(kind, at_s)
            for kind in self._fleet.kinds
            for at_s in self._draw_arrivals(kind)
        ]
        todo += self._draw_filling()
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
        events += self._draw_slow()
        for at_s, action, key in sorted(events):
            rig.run(begin_s + at_s - rig.now_s)
            if action == "lead":
                rig.start_term(rig.term + 1)
                continue
            if action in ("slow", "recover"):
                factor = SLOW_FACTOR if action == "recover" else 1 / SLOW_FACTOR
                rig.upstreams[key].speed *= factor
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
            starts=len(self._rig.starts),
            stops=self._rig.stops,
            late_starts=self._find_late_starts(begin_s),
            unfinished=sum(
                record.final_state is None
                for record in self._rig.state.workloads.values()
            ),
        )

    def _find_late_starts(self, begin_s: float) -> float:
        """Return the share of the urgent workloads that started late."""
        urgent = self._fleet.kinds[0]
        waits = [
            self._rig.first_starts_s.get(key, math.inf) - begin_s - one.at_s
            for key, one in self._submissions.items()
            if one.kind is urgent
        ]
        late = sum(wait_s > LATE_START_S for wait_s in waits)
        return late / len(waits) if waits else 0.0


def replay_day(
    fleet_name: str,
    seed: int,
    burst: bool = True,
    load: float = 1.0,
    difficulties: Difficulties = NO_DIFFICULTIES,
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
    difficulties : Difficulties
        What makes the day harder.

    Returns
    -------
    DayResult
        What the day earned.
    """
    return _Day(FLEETS[fleet_name], seed, burst, load, difficulties).play()


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
        f" starts {mean(lambda one: one.starts):.0f}"
        f" stops {mean(lambda one: one.stops):.0f}"
        f" late starts {mean(lambda one: one.late_starts):.3f}"
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
    parser.add_argument("--filled", type=int, default=0, help="gangs at the start")
    parser.add_argument("--slow", type=float, default=0.0, help="share of upstreams")
    options = parser.parse_args()
    difficulties = Difficulties(filled=options.filled, slow_share=options.slow)
    seeds = range(options.seed, options.seed + options.days)
    with concurrent.futures.ProcessPoolExecutor(options.processes) as pool:
        for fleet_name in options.fleet or sorted(FLEETS):
            names = [fleet_name] * len(seeds)
            bursts = [not options.calm] * len(seeds)
            loads = [options.load] * len(seeds)
            hard = [difficulties] * len(seeds)
            results = pool.map(replay_day, names, seeds, bursts, loads, hard)
            _print_mean(fleet_name, list(results))


if __name__ == "__main__":
    main()

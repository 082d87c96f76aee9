"""A seeded day of workloads that is played in virtual time."""

import heapq
import math
import random
import statistics

from tanagerpath.benchmarks.workload_fleet import ReplayRig
from tanagerpath.benchmarks.workload_kinds import Fleet, WorkloadKind
from tanagerpath.benchmarks.workload_outcomes import (
    DayResult,
    DayTerms,
    Submission,
    find_share,
    judge_queue,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec

__all__ = ["ReplayDay"]

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
MAX_RETURNS = 4


class ReplayDay:
    """Draws the submissions of a day and plays them on a rig."""

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        terms: DayTerms,
        left_out: frozenset[str] = frozenset(),
    ) -> None:
        self._random = random.Random(seed)
        self._left_out = left_out
        self._hardness_random = random.Random(f"hardness {seed}")
        self._fleet = fleet
        self._terms = terms
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
            terms.admission,
        )
        self._submissions: dict[str, Submission] = {}
        self._refusals = 0

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
        is_burst = self._terms.burst and BURST_BEGIN_S <= at_s < BURST_END_S
        wave = 1.0 + fleet.swing * math.sin(2 * math.pi * at_s / fleet.period_s)
        burst = kind.burst if is_burst else 1.0
        return self._terms.load * kind.rate_per_s * burst * wave

    def _draw(self, kind: WorkloadKind, at_s: float) -> Submission:
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
        return Submission(
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

    def _draw_filling(self) -> list[Submission]:
        """Draw the workloads that fill the fleet in the first second."""
        _, gang, scan = self._fleet.kinds
        gangs = self._terms.filled
        scans = round(FILL_SCANS_PER_GANG * gangs)
        return [
            self._draw(kind, self._hardness_random.uniform(0.0, FILL_S))
            for kind in [gang] * gangs + [scan] * scans
        ]

    def _draw_slow(self) -> list[tuple[float, str, str]]:
        """Draw the times at which upstreams become slow and recover."""
        draw, names = self._hardness_random, sorted(self._rig.upstreams)
        events = []
        for name in draw.sample(names, round(self._terms.slow_share * len(names))):
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
        todo += [
            self._draw(kind, 0.0)
            for kind in self._fleet.kinds[1:]
            for _ in range(round(self._terms.backlog_s * self._find_mean_rate(kind)))
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
        events += self._draw_slow()
        heapq.heapify(events)
        while events:
            at_s, action, key = heapq.heappop(events)
            rig.run(begin_s + at_s - rig.now_s)
            if action == "lead":
                rig.start_term(rig.term + 1)
            elif action in ("slow", "recover"):
                factor = SLOW_FACTOR if action == "recover" else 1 / SLOW_FACTOR
                rig.upstreams[key].speed *= factor
            elif action == "cancel":
                if key in rig.state.workloads:
                    rig.cancel(key)
            else:
                self._submit(key, begin_s, events)
        rig.run(FINISH_S)
        return self._judge(begin_s)

    def _submit(
        self, key: str, begin_s: float, events: list[tuple[float, str, str]]
    ) -> None:
        """Submit a workload; a refused one returns while that can be of use."""
        rig, one = self._rig, self._submissions[key]
        if key in self._left_out:
            one.is_refused = True
            return
        rig.fail_share[key] = one.kind.failing
        rig.work[key] = one.work_s
        return_s = rig.offer(key, one.spec, one.kind.queue, one.organisation)
        one.is_refused = return_s is not None
        if return_s is None:
            return
        self._refusals += 1
        return_s -= begin_s
        if one.returns < MAX_RETURNS and return_s < one.useful_until_s:
            one.returns += 1
            heapq.heappush(events, (return_s, "submit", key))

    def list_worthless(self) -> frozenset[str]:
        """Return the workloads that earned nothing, once the day is played."""
        return frozenset(
            key
            for key, one in self._submissions.items()
            if one.cancel_at_s is None and not one.earned
        )

    def _find_mean_rate(self, kind: WorkloadKind) -> float:
        return self._terms.load * kind.rate_per_s

    def _judge(self, begin_s: float) -> DayResult:
        for key, one in self._submissions.items():
            record = self._rig.state.workloads.get(key)
            if record is not None and str(record.state) == "completed":
                one.ended_s = record.ended_at_unix_s - begin_s
        owed = [one for one in self._submissions.values() if one.cancel_at_s is None]
        windows = {}
        for one in owed:
            windows.setdefault(int(one.at_s / WINDOW_S), []).append(one)
        shares = sorted(find_share(window) for window in windows.values())
        queues = {one.kind.queue for one in owed}
        by_queue = {
            queue: judge_queue([one for one in owed if one.kind.queue == queue])
            for queue in queues
        }
        return DayResult(
            whole=find_share(owed),
            worst_windows=statistics.mean(shares[:WORST_WINDOWS]),
            worst_kind=min(one.share for one in by_queue.values()),
            by_queue=by_queue,
            wasted_cores_s=self._rig.wasted_cores_s,
            starts=len(self._rig.starts),
            stops=self._rig.stops,
            late_starts=self._find_late_starts(begin_s),
            unfinished=sum(
                record.final_state is None
                for record in self._rig.state.workloads.values()
            ),
            worthless_cores_s=sum(
                self._rig.used_cores_s[key]
                for key, one in self._submissions.items()
                if one.cancel_at_s is None and not one.earned
            ),
            used_cores_s=self._rig.used_cores_s.total(),
            refusals=self._refusals,
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

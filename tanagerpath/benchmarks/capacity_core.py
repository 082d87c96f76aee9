"""Cost of the coordinator: ticks, renewal replies, whole jobs and gangs."""

import random

from tanagerpath.benchmarks.capacity_load import (
    BUSY_LOAD,
    QUEUED_PER_UPSTREAM,
    RUNNING_PER_UPSTREAM,
    LeaderLoop,
    measure_reachable_bytes,
    time_calls,
)
from tanagerpath.benchmarks.slopes import LineSpec, Probe
from tanagerpath.core.coordination import Event, Ticked

__all__ = ["CoordinatorProbe", "GangProbe"]

FLEET_SIZES = (25, 250, 2500)
SAMPLES = 20


class CoordinatorProbe(Probe):
    """Ticks, renewal replies, whole jobs and memory of the coordinator."""

    specs = (
        LineSpec("coordinator.tick_idle", "s", "upstream", "no job"),
        LineSpec("coordinator.tick_busy", "s", "upstream", BUSY_LOAD),
        LineSpec("coordinator.reply_alone", "s", "upstream", BUSY_LOAD),
        LineSpec(
            "coordinator.replies_of_a_round",
            "s",
            "upstream",
            f"{BUSY_LOAD}; one reply of each upstream, all in one call",
        ),
        LineSpec(
            "coordinator.job", "s", "upstream", f"{BUSY_LOAD}; job of 2, 1 member"
        ),
        LineSpec("coordinator.memory_sessions", "B", "upstream", "no job"),
        LineSpec(
            "coordinator.memory_attempts",
            "B",
            "running attempt",
            "attempts of 1 member, beyond the idle fleet and the state",
        ),
        LineSpec(
            "coordinator.memory_queue",
            "B",
            "queued job",
            "jobs of 6 in 20 equivalence classes, beyond running work and state",
        ),
    )

    def __init__(self, sizes: tuple[int, ...] = FLEET_SIZES, seed: int = 1) -> None:
        self.sizes = sizes
        self._random = random.Random(seed)

    def prepare(self, size: int) -> None:
        """Fill a fleet and note the memory at each step."""
        self._idle = LeaderLoop(size)
        loop = LeaderLoop(size)
        sessions = self._measure_memory(loop)
        self._running = loop.submit(size * RUNNING_PER_UPSTREAM)
        attempts = self._measure_memory(loop)
        # Below the size that gets reservations, which would keep the timed jobs out.
        loop.submit(size * QUEUED_PER_UPSTREAM, 6)
        queue = self._measure_memory(loop)
        self._loop = loop
        # Values are scaled so that a slope over upstreams is one for each object.
        self._memory = {
            "coordinator.memory_sessions": sessions,
            "coordinator.memory_attempts": (attempts - sessions) / RUNNING_PER_UPSTREAM,
            "coordinator.memory_queue": (queue - attempts) / QUEUED_PER_UPSTREAM,
        }

    def _measure_memory(self, loop: LeaderLoop) -> float:
        return float(measure_reachable_bytes(loop.coordinator, [loop.state]))

    def measure(self) -> dict[str, float]:
        """See `Probe`."""
        return {
            "coordinator.tick_idle": self._time_tick(self._idle),
            "coordinator.tick_busy": self._time_tick(self._loop),
            "coordinator.reply_alone": self._time_replies_alone(),
            "coordinator.replies_of_a_round": self._time_round(),
            "coordinator.job": self._time_jobs(),
            **self._memory,
        }

    def _time_tick(self, loop: LeaderLoop) -> float:
        return time_calls(lambda: loop.handle([Ticked()]), SAMPLES)

    def _begin_round(self) -> list[Event]:
        """Let a second pass and return the replies to all renewals."""
        self._loop.now_s += 1.0
        return self._loop.answer(self._loop.handle([Ticked()]))

    def _time_replies_alone(self) -> float:
        replies = self._begin_round()
        chosen = iter(replies[:SAMPLES])
        count = min(SAMPLES, len(replies))
        elapsed_s = time_calls(lambda: self._loop.handle([next(chosen)]), count)
        self._loop.feed(replies[SAMPLES:])
        return elapsed_s

    def _time_round(self) -> float:
        replies = self._begin_round()
        return time_calls(lambda: self._loop.handle(replies), 1)

    def _time_jobs(self) -> float:
        """Time jobs that each take the place of one that ended before."""
        elapsed_s = 0.0
        for _ in range(SAMPLES):
            place = self._random.randrange(len(self._running))
            self._loop.finish(self._running[place])
            elapsed_s += time_calls(self._run_job, 1)
            (self._running[place],) = self._loop.submit(1, expected_run_s=60.0)
        return elapsed_s / SAMPLES

    def _run_job(self) -> None:
        (job_id,) = self._loop.submit(1, expected_run_s=60.0)
        self._loop.finish(job_id)


class GangProbe(Probe):
    """Renewal replies and ticks of one gang that spans whole racks."""

    specs = (
        LineSpec("gang.reply", "s", "member", "one gang; one reply in one call"),
        LineSpec("gang.tick", "s", "member", "one gang, nothing else"),
        LineSpec("gang.memory", "B", "member", "attempt beyond fleet and state"),
        LineSpec("gang.job", "s", "member", "one whole gang job, nothing else"),
    )

    # Fewer upstreams could not hold the guarantees; ShortPlanProbe measures that.
    def __init__(self, sizes: tuple[int, ...] = (16, 64, 128)) -> None:
        self.sizes = sizes

    def prepare(self, size: int) -> None:
        """Start one gang on all upstreams."""
        self._loop = LeaderLoop(size, zones=1)
        before = measure_reachable_bytes(self._loop.coordinator, [self._loop.state])
        self._size = size
        (self._job_id,) = self._loop.submit(1, size * 8)
        after = measure_reachable_bytes(self._loop.coordinator, [self._loop.state])
        if len(self._loop.coordinator.attempts) != 1:
            raise RuntimeError(f"the gang of {size} members does not run")
        self._memory = float(after - before)

    def measure(self) -> dict[str, float]:
        """See `Probe`."""
        self._loop.now_s += 1.0
        replies = iter(self._loop.answer(self._loop.handle([Ticked()])))
        count = min(SAMPLES, self._loop.count_upstreams())
        reply_s = time_calls(lambda: self._loop.handle([next(replies)]), count)
        tick_s = time_calls(lambda: self._loop.handle([Ticked()]), SAMPLES)
        self._loop.feed(list(replies))
        return {
            "gang.reply": reply_s,
            "gang.tick": tick_s,
            "gang.memory": self._memory,
            "gang.job": self._time_job(),
        }

    def _time_job(self) -> float:
        """Time a gang that takes the place of the one before."""
        self._loop.finish(self._job_id)
        elapsed_s = time_calls(self._run_job, 1)
        (self._job_id,) = self._loop.submit(1, self._size * 8)
        return elapsed_s

    def _run_job(self) -> None:
        (job_id,) = self._loop.submit(1, self._size * 8)
        self._loop.finish(job_id)

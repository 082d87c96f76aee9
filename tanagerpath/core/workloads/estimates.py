"""Estimates of run times, learned from the progress of runs.

The logarithm of a task's time is taken as the work of its step minus the speed of its
upstream. Both are kept with a variance, and each measured run moves the less certain
one further. Callers' declarations are far off, so what a queue's earlier work took
counts as well, each by how well it has foretold the work so far.
"""

import math

import attrs

from tanagerpath.core.workloads.learned import (
    LearnedFleet,
    LearnedQueue,
    LearnedSpeed,
    Predictor,
)

__all__ = ["RunEstimates"]

SHORTEST_RUN_S = 0.05
# Variances of logarithms: of a speed that nothing is known of, and of the work of one
# task about that of its step.
UNKNOWN_SPEED_VARIANCE = 0.2
TASK_VARIANCE = 0.05
# A speed is known from this variance on.
KNOWN_SPEED_VARIANCE = 0.1
# Speeds change, so that their variance grows again with time.
SPEED_DRIFT_PER_S = 0.004
# Variances of a declaration and of a queue's mean before anything was measured.
FIRST_DECLARATION_VARIANCE = 0.8
FIRST_MEAN_VARIANCE = 4.0
# Weight of these first variances, in measured steps.
FIRST_WEIGHT = 2.0
# A single run may not move an estimate by more than this.
MAX_DEVIATION = 2.0

StepKey = tuple[str, int]


@attrs.define
class _Estimate:
    """A logarithm and its variance."""

    log: float
    variance: float


def _foretell(history: LearnedQueue, declared: float) -> _Estimate:
    """Return the work of a new step from its declared logarithm."""
    by_declaration = 1 / history.declaration.variance
    by_mean = 1 / history.mean.variance
    weight = by_declaration + by_mean
    log = (
        (declared + history.declaration.bias) * by_declaration
        + history.mean.bias * by_mean
    ) / weight
    return _Estimate(log, 1 / weight)


class RunEstimates:
    """Speeds of upstreams and work of steps, as logarithms."""

    def __init__(self) -> None:
        self._speeds: dict[str, _Estimate] = {}
        self._speed_read_s: dict[str, float] = {}
        self._work: dict[StepKey, _Estimate] = {}
        self._queues: dict[str, LearnedQueue] = {}
        self._changed_speeds: set[str] = set()
        self._changed_queues: set[str] = set()

    @classmethod
    def from_learned(cls, learned: LearnedFleet, now_s: float) -> "RunEstimates":
        """Build the estimates of a new leader from what earlier ones have learned.

        Parameters
        ----------
        learned : LearnedFleet
            All that is recorded.
        now_s : float
            Begin of the term on the leader's steady clock.
        """
        estimates = cls()
        for speed in learned.speeds:
            estimates._speeds[speed.upstream_id] = _Estimate(speed.log, speed.variance)
            estimates._speed_read_s[speed.upstream_id] = now_s
        estimates._queues = {history.queue: history for history in learned.queues}
        return estimates

    def take_changes(self) -> LearnedFleet:
        """Return what was learned since the last call, for the log."""
        speeds = tuple(
            LearnedSpeed(name, self._speeds[name].log, self._speeds[name].variance)
            for name in sorted(self._changed_speeds)
            if name in self._speeds
        )
        queues = tuple(self._queues[name] for name in sorted(self._changed_queues))
        self._changed_speeds.clear()
        self._changed_queues.clear()
        return LearnedFleet(speeds, queues)

    def observe(
        self,
        upstream_ids: tuple[str, ...],
        step: StepKey,
        queue: str,
        declared_s: float,
        run_s: float,
        now_s: float,
    ) -> None:
        """Learn from a run.

        Parameters
        ----------
        upstream_ids : tuple of str
            Where it ran; a gang goes at the speed of its slowest member.
        step : tuple of (str, int)
            Workload and step.
        queue : str
            Queue of the workload.
        declared_s : float
            Seconds that the caller declared.
        run_s : float
            Seconds that the whole task takes, as measured or as extrapolated.
        now_s : float
            Instant on the steady clock.
        """
        is_new = step not in self._work
        work = self._find_work(step, queue, declared_s)
        slowest = min(upstream_ids, key=self.find_speed)
        speed = self._find_speed(slowest, now_s)
        measured = math.log(max(run_s, SHORTEST_RUN_S))
        deviation = measured - (work.log - speed.log)
        deviation = min(max(deviation, -MAX_DEVIATION), MAX_DEVIATION)
        total = work.variance + speed.variance + TASK_VARIANCE
        work_gain, speed_gain = work.variance / total, speed.variance / total
        work.log += work_gain * deviation
        work.variance *= 1 - work_gain
        speed.log -= speed_gain * deviation
        speed.variance *= 1 - speed_gain
        self._work[step] = work
        self._note_speed(slowest, speed, now_s)
        self._raise_members(upstream_ids, speed, now_s)
        if is_new:
            self._learn_queue(queue, declared_s, work.log)

    def _raise_members(
        self, upstream_ids: tuple[str, ...], slowest: _Estimate, now_s: float
    ) -> None:
        """Members of a gang are at least as fast as its slowest one."""
        for upstream_id in upstream_ids:
            speed = self._find_speed(upstream_id, now_s)
            if speed.log < slowest.log:
                speed.log = slowest.log
                self._note_speed(upstream_id, speed, now_s)

    def _note_speed(self, upstream_id: str, speed: _Estimate, now_s: float) -> None:
        self._speeds[upstream_id] = speed
        self._speed_read_s[upstream_id] = now_s
        self._changed_speeds.add(upstream_id)

    def _learn_queue(self, queue: str, declared_s: float, log: float) -> None:
        history = self._find_history(queue, declared_s)
        declared = math.log(max(declared_s, SHORTEST_RUN_S))
        self._queues[queue] = LearnedQueue(
            queue, history.declaration.learn(log - declared), history.mean.learn(log)
        )
        self._changed_queues.add(queue)

    def _find_history(self, queue: str, declared_s: float) -> LearnedQueue:
        held = self._queues.get(queue)
        if held is not None:
            return held
        declared = math.log(max(declared_s, SHORTEST_RUN_S))
        return LearnedQueue(
            queue,
            Predictor(FIRST_DECLARATION_VARIANCE, 0.0, FIRST_WEIGHT),
            Predictor(FIRST_MEAN_VARIANCE, declared, FIRST_WEIGHT),
        )

    def _find_work(self, step: StepKey, queue: str, declared_s: float) -> _Estimate:
        held = self._work.get(step)
        if held is not None:
            return held
        declared = math.log(max(declared_s, SHORTEST_RUN_S))
        return _foretell(self._find_history(queue, declared_s), declared)

    def _find_speed(self, upstream_id: str, now_s: float) -> _Estimate:
        held = self._speeds.get(upstream_id)
        if held is None:
            return _Estimate(0.0, UNKNOWN_SPEED_VARIANCE)
        age_s = now_s - self._speed_read_s[upstream_id]
        variance = held.variance + SPEED_DRIFT_PER_S * max(age_s, 0.0)
        return _Estimate(held.log, min(variance, UNKNOWN_SPEED_VARIANCE))

    def predict_work_s(self, step: StepKey, queue: str, declared_s: float) -> float:
        """Return the seconds that a task of a step takes at speed 1."""
        return math.exp(self._find_work(step, queue, declared_s).log)

    def find_speed(self, upstream_id: str) -> float:
        """Return the speed of an upstream; 1 if nothing is known of it."""
        held = self._speeds.get(upstream_id)
        return 1.0 if held is None else math.exp(held.log)

    def is_speed_known(self, upstream_id: str) -> bool:
        """Return whether runs have told enough of the speed of an upstream."""
        held = self._speeds.get(upstream_id)
        return held is not None and held.variance < KNOWN_SPEED_VARIANCE

    def forget_workload(self, workload_id: str, steps: int) -> None:
        """Forget the work of an ended workload."""
        for step in range(steps):
            self._work.pop((workload_id, step), None)

    def forget_upstream(self, upstream_id: str) -> None:
        """Forget the speed of an upstream that is gone."""
        self._speeds.pop(upstream_id, None)
        self._speed_read_s.pop(upstream_id, None)

"""Estimates of run times, learned from the progress of runs.

The logarithm of a run time is modelled as the work of the step minus the speed of the
upstream, each with a variance; a measured run corrects the less certain one more.
Declared run times are far off, so the prior of a new step combines them with the mean
of its queue, each weighted by how well it has predicted work so far.

Measured run times fix only the difference of work and speed: a common error of all
speeds is also one of all work. Objectives are therefore predicted for the mean speed of
the fleet.
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

MIN_RUN_S = 0.05
# Variances of logarithms: of an unmeasured speed, and of the work of one task around
# that of its step.
UNKNOWN_SPEED_VARIANCE = 0.2
TASK_VARIANCE = 0.05
# A speed counts as known below this variance.
KNOWN_SPEED_VARIANCE = 0.1
# Speeds change, so their variance grows with the time since the last measurement.
SPEED_DRIFT_PER_S = 0.004
# Prior variances of the errors of declarations and of the mean of a queue.
PRIOR_DECLARATION_VARIANCE = 0.8
PRIOR_MEAN_VARIANCE = 4.0
# Weight of these priors, in measured steps.
PRIOR_WEIGHT = 2.0
# Deviations of a single run are clipped to this, so that an outlier does little harm.
MAX_DEVIATION = 2.0
# Upstreams of speed 1 that the mean speed starts with: the few that are measured first
# are the preferred ones, and no sample of the fleet.
PRIOR_MEAN_SPEED_WEIGHT = 20.0
# A run that takes longer than predicted by this many standard deviations, and by at
# least this logarithm (a factor of 3), is a straggler or on an upstream that has become
# slow. Only a second such run in a row of another step tells the upstream's share.
OUTLIER_SIGMAS = 2.5
MIN_OUTLIER = 1.1
# Until then the upstream ranks behind its equals, and its next run counts more.
DOUBT_LOG = 0.25
DOUBT_VARIANCE = 0.1

EstimateKey = tuple[str, int]


@attrs.define
class _Estimate:
    """Mean and variance of a logarithm."""

    log: float
    variance: float


def _predict_work(history: LearnedQueue, declared: float) -> _Estimate:
    """Return the prior of the work of a step from its declared logarithm."""
    by_declaration = 1 / history.declaration.variance
    by_mean = 1 / history.mean.variance
    weight = by_declaration + by_mean
    log = (
        (declared + history.declaration.bias) * by_declaration
        + history.mean.bias * by_mean
    ) / weight
    return _Estimate(log, 1 / weight)


class RunEstimates:
    """Estimated speeds of upstreams and work of steps, as logarithms."""

    def __init__(self) -> None:
        self._speeds: dict[str, _Estimate] = {}
        self._speed_log_sum = 0.0
        self._speed_updated_s: dict[str, float] = {}
        self._work: dict[EstimateKey, _Estimate] = {}
        self._queues: dict[str, LearnedQueue] = {}
        # Step of the last run by upstream that took far longer than predicted.
        self._outliers: dict[str, EstimateKey] = {}
        self._changed_speeds: set[str] = set()
        self._changed_queues: set[str] = set()

    @classmethod
    def from_learned(cls, learned: LearnedFleet, now_s: float) -> "RunEstimates":
        """Restore the estimates of earlier leaders at the start of a term.

        Parameters
        ----------
        learned : LearnedFleet
            Recorded estimates.
        now_s : float
            Start of the term on the leader's monotonic clock.
        """
        estimates = cls()
        for speed in learned.speeds:
            estimates._speeds[speed.upstream_id] = _Estimate(speed.log, speed.variance)
            estimates._speed_log_sum += speed.log
            estimates._speed_updated_s[speed.upstream_id] = now_s
        estimates._queues = {history.queue: history for history in learned.queues}
        return estimates

    def take_changes(self) -> LearnedFleet:
        """Return the estimates that changed since the last call, to be recorded."""
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
        step: EstimateKey,
        queue: str,
        declared_s: float,
        run_s: float,
        now_s: float,
    ) -> None:
        """Update the estimates from a measured run.

        Parameters
        ----------
        upstream_ids : tuple of str
            Upstreams of the run; a gang runs at the speed of its slowest member.
        step : tuple of (str, int)
            Workload and step.
        queue : str
            Queue of the workload.
        declared_s : float
            Run time that the caller declared.
        run_s : float
            Run time of the whole task, measured or extrapolated.
        now_s : float
            Time on the monotonic clock.
        """
        is_new = step not in self._work
        work = self._find_work(step, queue, declared_s)
        slowest = min(upstream_ids, key=self.find_speed)
        speed = self._find_speed(slowest, now_s)
        measured = math.log(max(run_s, MIN_RUN_S))
        deviation = measured - (work.log - speed.log)
        deviation = min(max(deviation, -MAX_DEVIATION), MAX_DEVIATION)
        total = work.variance + speed.variance + TASK_VARIANCE
        if self._is_first_outlier(slowest, step, deviation, total):
            self._widen(slowest, step, work, speed, now_s)
            return
        work_gain, speed_gain = work.variance / total, speed.variance / total
        work.log += work_gain * deviation
        work.variance *= 1 - work_gain
        speed.log -= speed_gain * deviation
        speed.variance *= 1 - speed_gain
        self._work[step] = work
        self._store_speed(slowest, speed, now_s)
        self._raise_member_speeds(upstream_ids, speed, now_s)
        if is_new:
            self._learn_queue(queue, declared_s, work.log)

    def _is_first_outlier(
        self, upstream_id: str, step: EstimateKey, deviation: float, variance: float
    ) -> bool:
        """Return whether a run is an outlier that no other run there confirms."""
        if deviation < max(MIN_OUTLIER, OUTLIER_SIGMAS * math.sqrt(variance)):
            self._outliers.pop(upstream_id, None)
            return False
        earlier = self._outliers.setdefault(upstream_id, step)
        return earlier == step

    def _widen(
        self,
        upstream_id: str,
        step: EstimateKey,
        work: _Estimate,
        speed: _Estimate,
        now_s: float,
    ) -> None:
        """Make the estimates of a step and an upstream less certain.

        Tasks of a step may run several times as long as the others, which says little
        about their upstream, and about the other tasks.
        """
        work.variance += DOUBT_VARIANCE
        self._work[step] = work
        speed.log -= DOUBT_LOG
        speed.variance += DOUBT_VARIANCE
        self._store_speed(upstream_id, speed, now_s)

    def _raise_member_speeds(
        self, upstream_ids: tuple[str, ...], slowest: _Estimate, now_s: float
    ) -> None:
        """Raise estimates of gang members, none of which is slower than `slowest`."""
        for upstream_id in upstream_ids:
            speed = self._find_speed(upstream_id, now_s)
            if speed.log < slowest.log:
                speed.log = slowest.log
                self._store_speed(upstream_id, speed, now_s)

    @property
    def _mean_speed_log(self) -> float:
        weight = PRIOR_MEAN_SPEED_WEIGHT + len(self._speeds)
        return self._speed_log_sum / weight

    def _store_speed(self, upstream_id: str, speed: _Estimate, now_s: float) -> None:
        held = self._speeds.get(upstream_id)
        self._speed_log_sum += speed.log - (held.log if held is not None else 0.0)
        self._speeds[upstream_id] = speed
        self._speed_updated_s[upstream_id] = now_s
        self._changed_speeds.add(upstream_id)

    def _learn_queue(self, queue: str, declared_s: float, log: float) -> None:
        history = self._find_history(queue, declared_s)
        declared = math.log(max(declared_s, MIN_RUN_S))
        self._queues[queue] = LearnedQueue(
            queue, history.declaration.learn(log - declared), history.mean.learn(log)
        )
        self._changed_queues.add(queue)

    def _find_history(self, queue: str, declared_s: float) -> LearnedQueue:
        held = self._queues.get(queue)
        if held is not None:
            return held
        declared = math.log(max(declared_s, MIN_RUN_S))
        return LearnedQueue(
            queue,
            Predictor(PRIOR_DECLARATION_VARIANCE, 0.0, PRIOR_WEIGHT),
            Predictor(PRIOR_MEAN_VARIANCE, declared, PRIOR_WEIGHT),
        )

    def _find_work(self, step: EstimateKey, queue: str, declared_s: float) -> _Estimate:
        held = self._work.get(step)
        if held is not None:
            return held
        declared = math.log(max(declared_s, MIN_RUN_S))
        return _predict_work(self._find_history(queue, declared_s), declared)

    def _find_speed(self, upstream_id: str, now_s: float) -> _Estimate:
        held = self._speeds.get(upstream_id)
        if held is None:
            return _Estimate(0.0, UNKNOWN_SPEED_VARIANCE)
        age_s = now_s - self._speed_updated_s[upstream_id]
        variance = held.variance + SPEED_DRIFT_PER_S * max(age_s, 0.0)
        return _Estimate(held.log, min(variance, UNKNOWN_SPEED_VARIANCE))

    def predict_work_s(self, step: EstimateKey, queue: str, declared_s: float) -> float:
        """Return the predicted run time of a task of a step at speed 1."""
        return math.exp(self._find_work(step, queue, declared_s).log)

    def predict_mean_run_s(
        self, step: EstimateKey, queue: str, declared_s: float
    ) -> float:
        """Return the predicted run time of a task at the mean speed of the fleet."""
        work = self._find_work(step, queue, declared_s)
        return math.exp(work.log - self._mean_speed_log)

    def find_speed(self, upstream_id: str) -> float:
        """Return the speed of an upstream; 1 if it was never measured."""
        held = self._speeds.get(upstream_id)
        return 1.0 if held is None else math.exp(held.log)

    def is_speed_known(self, upstream_id: str) -> bool:
        """Return whether the speed of an upstream is measured well enough."""
        held = self._speeds.get(upstream_id)
        return held is not None and held.variance < KNOWN_SPEED_VARIANCE

    def forget_workload(self, workload_id: str, steps: int) -> None:
        """Delete the estimates of an ended workload."""
        for step in range(steps):
            self._work.pop((workload_id, step), None)

    def forget_upstream(self, upstream_id: str) -> None:
        """Delete the speed of a removed upstream."""
        held = self._speeds.pop(upstream_id, None)
        if held is not None:
            self._speed_log_sum -= held.log
        self._speed_updated_s.pop(upstream_id, None)
        self._outliers.pop(upstream_id, None)

"""Estimates of run times, learned from the progress of runs.

The time of a task is taken as the work of its step divided by the speed of the
upstream. Callers' declarations are far off, but by about the same factor for all tasks
of a step, so that tasks of one step on different upstreams tell their speeds apart.
"""

import math

import attrs

__all__ = ["RunEstimates"]

# Weight of a caller's declaration against one measured run.
DECLARATION_WEIGHT = 0.5
# Share of a deviation that is put down to the upstream rather than the work.
SPEED_LEARNING_RATE = 0.25
BIAS_LEARNING_RATE = 0.1
SHORTEST_RUN_S = 0.05
# A single run may change the logarithm of a speed by this much at most.
MAX_DEVIATION = 1.5

StepKey = tuple[str, int]


@attrs.define
class _Work:
    """Logarithm of the run time at speed 1, and the weight of what it rests on."""

    log_s: float
    weight: float


class RunEstimates:
    """Speeds of upstreams and work of steps, as logarithms."""

    def __init__(self) -> None:
        self._log_speeds: dict[str, float] = {}
        self._work: dict[StepKey, _Work] = {}
        self._bias: dict[str, float] = {}

    def observe(
        self,
        upstream_id: str,
        step: StepKey,
        queue: str,
        declared_s: float,
        run_s: float,
    ) -> None:
        """Learn from a run.

        Parameters
        ----------
        upstream_id : str
            Where it ran.
        step : tuple of (str, int)
            Workload and step.
        queue : str
            Queue of the workload.
        declared_s : float
            Seconds that the caller declared.
        run_s : float
            Seconds that the whole task takes, as measured or as extrapolated.
        """
        work = self._find_work(step, queue, declared_s)
        speed = self._log_speeds.get(upstream_id, 0.0)
        measured = math.log(max(run_s, SHORTEST_RUN_S))
        deviation = measured - (work.log_s - speed)
        deviation = min(max(deviation, -MAX_DEVIATION), MAX_DEVIATION)
        known = work.weight / (work.weight + 1)
        work.weight += 1
        work.log_s += deviation / work.weight
        self._log_speeds[upstream_id] = speed - SPEED_LEARNING_RATE * known * deviation
        declared = math.log(max(declared_s, SHORTEST_RUN_S))
        bias = self._bias.get(queue, 0.0)
        self._bias[queue] = bias + BIAS_LEARNING_RATE * (work.log_s - declared - bias)
        self._work[step] = work

    def _find_work(self, step: StepKey, queue: str, declared_s: float) -> _Work:
        held = self._work.get(step)
        if held is not None:
            return held
        log_s = math.log(max(declared_s, SHORTEST_RUN_S)) + self._bias.get(queue, 0.0)
        return _Work(log_s, DECLARATION_WEIGHT)

    def predict_work_s(self, step: StepKey, queue: str, declared_s: float) -> float:
        """Return the seconds that a task of a step takes at speed 1."""
        return math.exp(self._find_work(step, queue, declared_s).log_s)

    def find_speed(self, upstream_id: str) -> float:
        """Return the speed of an upstream; 1 if nothing is known of it."""
        return math.exp(self._log_speeds.get(upstream_id, 0.0))

    def forget_workload(self, workload_id: str, steps: int) -> None:
        """Forget the work of an ended workload."""
        for step in range(steps):
            self._work.pop((workload_id, step), None)

    def forget_upstream(self, upstream_id: str) -> None:
        """Forget the speed of an upstream that is gone."""
        self._log_speeds.pop(upstream_id, None)

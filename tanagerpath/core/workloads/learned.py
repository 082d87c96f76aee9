"""Learned estimates of upstreams and queues, as recorded in the log."""

import attrs

__all__ = ["LearnedFleet", "LearnedQueue", "LearnedSpeed", "Predictor"]

MIN_VARIANCE = 0.02


@attrs.frozen
class LearnedSpeed:
    """Logarithm of the speed of an upstream, and its variance."""

    upstream_id: str
    log: float
    variance: float


@attrs.frozen
class Predictor:
    """Error statistics of a predictor of the work of steps.

    Attributes
    ----------
    variance, bias : float
        Variance and mean of the logarithm of actual to predicted work.
    weight : float
        Number of steps that they are based on.
    """

    variance: float
    bias: float
    weight: float

    def learn(self, error: float) -> "Predictor":
        """Return the statistics updated with one more error."""
        weight = self.weight + 1
        deviation = error - self.bias
        variance = self.variance + (deviation * deviation - self.variance) / weight
        return Predictor(
            max(variance, MIN_VARIANCE), self.bias + deviation / weight, weight
        )


@attrs.frozen
class LearnedQueue:
    """Errors of declarations in a queue, and the mean work of its steps."""

    queue: str
    declaration: Predictor
    mean: Predictor


@attrs.frozen
class LearnedFleet:
    """Estimates that changed since the last record, or all of them in a snapshot."""

    speeds: tuple[LearnedSpeed, ...] = ()
    queues: tuple[LearnedQueue, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.speeds or self.queues)

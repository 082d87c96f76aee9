"""What a leader has learned of upstreams and queues, as the log keeps it."""

import attrs

__all__ = ["LearnedFleet", "LearnedQueue", "LearnedSpeed", "Predictor"]

MIN_VARIANCE = 0.02


@attrs.frozen
class LearnedSpeed:
    """Speed of an upstream as a logarithm, and the variance of it."""

    upstream_id: str
    log: float
    variance: float


@attrs.frozen
class Predictor:
    """How well something has foretold the work of steps.

    Attributes
    ----------
    variance, bias : float
        Of the difference between the logarithms of the work and of what was foretold.
    weight : float
        Steps that they rest on.
    """

    variance: float
    bias: float
    weight: float

    def learn(self, error: float) -> "Predictor":
        """Return what one more difference makes of it."""
        weight = self.weight + 1
        deviation = error - self.bias
        variance = self.variance + (deviation * deviation - self.variance) / weight
        return Predictor(
            max(variance, MIN_VARIANCE), self.bias + deviation / weight, weight
        )


@attrs.frozen
class LearnedQueue:
    """Work of a queue's earlier steps, and how far declarations were off."""

    queue: str
    declaration: Predictor
    mean: Predictor


@attrs.frozen
class LearnedFleet:
    """What was learned since it was last recorded, or all of it in a snapshot."""

    speeds: tuple[LearnedSpeed, ...] = ()
    queues: tuple[LearnedQueue, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.speeds or self.queues)

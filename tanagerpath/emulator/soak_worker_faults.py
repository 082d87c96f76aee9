"""Faults between control processes and workers; no input or output."""

import abc
import random

import attrs

__all__ = ["WORKER_FAULTS", "WorkerFault", "WorkerFaultStep"]

FAULT_MIN_S = 1.0
FAULT_MAX_S = 15.0
DELAY_MIN_S = 2.0
DELAY_MAX_S = 12.0
# Share of the orders or replies that a fault of single ones affects.
AFFECTED_SHARE = 0.5


class WorkerFault(abc.ABC):
    """Says what happens to the exchanges with a worker, which goes on running.

    `blocks_heartbeats` says whether its heartbeats are lost as well.
    """

    name = ""
    blocks_heartbeats = False

    def is_delivered(self) -> bool:
        """Whether the worker gets an order at all."""
        return True

    def draw_delay_s(self, source: random.Random) -> float:
        """Return after how many seconds an order is carried out, without a reply."""
        return 0.0

    @abc.abstractmethod
    def loses_reply(self, source: random.Random) -> bool:
        """Whether a reply is lost."""


class Silence(WorkerFault):
    """The worker gets nothing and sends nothing."""

    name = "silence"
    blocks_heartbeats = True

    def is_delivered(self) -> bool:
        """Return False."""
        return False

    def loses_reply(self, source: random.Random) -> bool:
        """Return True."""
        return True


class OrdersCut(Silence):
    """The worker gets no orders and replies to none, while its heartbeats arrive."""

    name = "orders cut"
    blocks_heartbeats = False


class LostReplies(WorkerFault):
    """Orders are carried out, and single replies are lost."""

    name = "lost replies"

    def loses_reply(self, source: random.Random) -> bool:
        """Draw whether the reply is lost."""
        return source.random() < AFFECTED_SHARE


class LateOrders(WorkerFault):
    """Single orders are carried out late, after newer ones."""

    name = "late orders"

    def draw_delay_s(self, source: random.Random) -> float:
        """Draw the delay of an order."""
        if source.random() >= AFFECTED_SHARE:
            return 0.0
        return source.uniform(DELAY_MIN_S, DELAY_MAX_S)

    def loses_reply(self, source: random.Random) -> bool:
        """Return False; only orders that are late get no reply."""
        return False


WORKER_FAULTS: tuple[WorkerFault, ...] = (
    Silence(),
    OrdersCut(),
    LostReplies(),
    LateOrders(),
)


@attrs.frozen
class WorkerFaultStep:
    """One fault of some workers.

    Attributes
    ----------
    fault : WorkerFault
        What happens.
    worker_ids : tuple of str
        Where it happens.
    pause_s : float
        Seconds after the begin of the step before it.
    duration_s : float
        Seconds from the begin of the fault to its end.
    """

    fault: WorkerFault
    worker_ids: tuple[str, ...]
    pause_s: float
    duration_s: float

    @classmethod
    def from_source(
        cls,
        source: random.Random,
        worker_ids: tuple[str, ...],
        max_affected: int,
        max_pause_s: float,
    ) -> "WorkerFaultStep":
        """Draw a step.

        Parameters
        ----------
        source : random.Random
            The same state gives the same step.
        worker_ids : tuple of str
            All workers.
        max_affected : int
            Most workers that the step affects.
        max_pause_s : float
            Longest pause in seconds.
        """
        fault = source.choice(WORKER_FAULTS)
        affected = tuple(source.sample(worker_ids, source.randint(1, max_affected)))
        pause_s = source.uniform(0.0, max_pause_s)
        return cls(fault, affected, pause_s, source.uniform(FAULT_MIN_S, FAULT_MAX_S))

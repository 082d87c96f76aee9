"""Base class of the invariants of the workload check."""

import abc
from collections.abc import Iterator
from typing import ClassVar

import attrs

from tanagerpath.benchmarks.workload_check_events import (
    CheckEvent,
    RunEnded,
    RunStarted,
)
from tanagerpath.benchmarks.workload_check_history import History
from tanagerpath.benchmarks.workload_check_upstreams import Fleet
from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.specs import StepSpec, TaskId

__all__ = ["Rule", "Violation", "is_step_done"]


@attrs.frozen(kw_only=True)
class Violation:
    """A broken rule.

    Attributes
    ----------
    rule : str
        Name of the rule.
    at_s : float
        Virtual instant.
    subject : str
        Task or workload.
    detail : str
        What happened.
    is_misdirected : bool
        Whether the start was an order for an earlier incarnation, carried out by a
        later one with its identity.
    """

    rule: str
    at_s: float
    subject: str
    detail: str
    is_misdirected: bool = False


class Rule(abc.ABC):
    """An invariant.

    Parameters
    ----------
    history : History
        All events so far.
    fleet : Fleet
        The upstreams at this instant.
    """

    name: ClassVar[str]
    is_counted: ClassVar[bool] = True

    def __init__(self, history: History, fleet: Fleet) -> None:
        self._history = history
        self._fleet = fleet

    @abc.abstractmethod
    def check(self, event: CheckEvent) -> Iterator[Violation]:
        """Return the violations that an event shows."""

    def _report(
        self, event: CheckEvent, subject: str, detail: str, start: RunStarted
    ) -> Violation:
        """Return a violation by a start."""
        return Violation(
            rule=self.name,
            at_s=event.at_s,
            subject=subject,
            detail=detail,
            is_misdirected=start.is_misdirected,
        )

    def _find_step(self, task: TaskId) -> StepSpec:
        return self._fleet.find_step(task)


def is_step_done(history: History, first: TaskId, fleet: Fleet) -> bool:
    """Return whether all tasks of a step, or one member of its gang, ended as done.

    Parameters
    ----------
    history : History
        All events so far.
    first : TaskId
        First task of the step.
    fleet : Fleet
        Knows the steps.
    """
    step = fleet.find_step(first)
    done = [
        any(
            end.outcome is RunOutcome.DONE
            for end in history.select(attrs.evolve(first, index=index), RunEnded)
        )
        for index in range(step.count)
    ]
    return any(done) if step.gang else all(done)

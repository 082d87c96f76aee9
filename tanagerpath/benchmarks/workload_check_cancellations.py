"""Cancellations of the workload check that overtake their submissions."""

from collections.abc import Callable, Iterator
from typing import Any

import attrs

from tanagerpath.benchmarks.workload_check_callers import (
    Caller,
    ControlClient,
    Scenario,
)
from tanagerpath.benchmarks.workload_check_events import (
    CancellationAcknowledged,
    CheckEvent,
    StartRecorded,
    name_task,
)
from tanagerpath.benchmarks.workload_check_invariants import Rule, Violation

__all__ = ["OvertakingCallers", "StartAfterCancellation"]

MEAN_PAUSE_S = 1.0
# Longest time for which an entry is frozen, and for which it sends a request again.
MAX_FREEZE_S = 8.0
REQUEST_LIMIT_S = 3.0
MAX_PATIENCE_S = 1.0


class StartAfterCancellation(Rule):
    """No start is recorded once the cancellation of its workload is acknowledged."""

    name = "start after cancellation"

    def __init__(self, *parts: Any) -> None:
        super().__init__(*parts)
        self._cancelled: dict[str, CancellationAcknowledged] = {}

    def check(self, event: CheckEvent) -> Iterator[Violation]:
        """Check each recorded start; see the base class."""
        if isinstance(event, CancellationAcknowledged):
            self._cancelled.setdefault(event.workload_id, event)
        if not isinstance(event, StartRecorded):
            return
        cancelled = self._cancelled.get(event.task.workload_id)
        if cancelled is not None:
            yield Violation(
                rule=self.name,
                at_s=event.at_s,
                subject=name_task(event.task),
                detail=f"{event.describe()}; {cancelled.describe()} at "
                f"{cancelled.at_s:.3f}",
            )


@attrs.define(eq=False)
class OvertakingCallers(Scenario):
    """Callers that reach a frozen entry, and cancel their workload at another one.

    Attributes
    ----------
    make_caller : callable
        Returns the next caller, which uses the client.
    """

    make_caller: Callable[[ControlClient], Caller]
    _has_ended: bool = attrs.field(default=False, init=False)

    def begin(self) -> None:
        """Begin with the first caller, and plan the next ones."""
        if self._has_ended:
            return
        caller = self.make_caller(self.client)
        group, source = self.client.group, self.client.random
        frozen_s = source.uniform(0.0, MAX_FREEZE_S)
        until_s = group.now_s + frozen_s + REQUEST_LIMIT_S
        group.schedule(frozen_s, lambda: caller.submit_once(until_s))
        group.schedule(source.uniform(0.0, MAX_PATIENCE_S), caller.cancel)
        group.schedule(source.expovariate(1 / MEAN_PAUSE_S), self.begin)

    def end(self) -> None:
        """Begin with no more callers."""
        self._has_ended = True

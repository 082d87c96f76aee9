"""All invariants of the workload check, applied to the events as they happen."""

from collections.abc import Iterator

from tanagerpath.benchmarks.workload_check_cancellations import (
    StartAfterCancellation,
)
from tanagerpath.benchmarks.workload_check_evacuations import (
    OrderUndone,
    StartInEvacuatedZone,
)
from tanagerpath.benchmarks.workload_check_events import (
    CheckEvent,
    StepAborted,
    WorkloadLeftOpen,
    WorkloadLost,
    WorkloadShown,
)
from tanagerpath.benchmarks.workload_check_history import History
from tanagerpath.benchmarks.workload_check_invariants import (
    Rule,
    Violation,
    is_step_done,
)
from tanagerpath.benchmarks.workload_check_starts import (
    GangStartAfterDone,
    RunsAtOnce,
    StartAfterDone,
    StartAfterFailures,
    StartBeforeDependencies,
    StartOverCapacity,
    StrictStartAfterDone,
)
from tanagerpath.benchmarks.workload_check_upstreams import Fleet
from tanagerpath.core.workloads.records import WorkloadState
from tanagerpath.core.workloads.specs import TaskId

__all__ = ["RULES", "Rulebook"]


class CompletedBeforeDone(Rule):
    """A workload that is shown as completed has an end as done of every task."""

    name = "completed before done"

    def check(self, event: CheckEvent) -> Iterator[Violation]:
        """Check each state that a caller is told; see the base class."""
        if not isinstance(event, WorkloadShown):
            return
        if event.state != WorkloadState.COMPLETED:
            return
        spec = self._fleet.specs[event.workload_id]
        for step in range(len(spec.steps)):
            first = TaskId(event.workload_id, 0, step, 0)
            if not is_step_done(self._history, first, self._fleet):
                yield Violation(
                    rule=self.name,
                    at_s=event.at_s,
                    subject=event.workload_id,
                    detail=f"step {step} is not done",
                )


class AcceptedIsLost(Rule):
    """A workload that was accepted stays known."""

    name = "accepted workload lost"

    def check(self, event: CheckEvent) -> Iterator[Violation]:
        """Check each answer to a caller; see the base class."""
        if isinstance(event, WorkloadLost):
            yield Violation(
                rule=self.name,
                at_s=event.at_s,
                subject=event.workload_id,
                detail=event.describe(),
            )


class AcceptedIsOpen(Rule):
    """A workload that was accepted has a final state once the faults are over."""

    name = "accepted workload unfinished"

    def check(self, event: CheckEvent) -> Iterator[Violation]:
        """Check what the check found at its end; see the base class."""
        if isinstance(event, WorkloadLeftOpen):
            yield Violation(
                rule=self.name,
                at_s=event.at_s,
                subject=event.workload_id,
                detail=event.describe(),
            )


class StepEnds(Rule):
    """Each step of a node ends."""

    name = "endless step"

    def check(self, event: CheckEvent) -> Iterator[Violation]:
        """Check each aborted step; see the base class."""
        if isinstance(event, StepAborted):
            yield Violation(
                rule=self.name,
                at_s=event.at_s,
                subject=event.vm_id,
                detail=event.describe(),
            )


RULES: tuple[type[Rule], ...] = (
    RunsAtOnce,
    StartAfterDone,
    StrictStartAfterDone,
    GangStartAfterDone,
    StartOverCapacity,
    StartBeforeDependencies,
    StartAfterFailures,
    CompletedBeforeDone,
    AcceptedIsLost,
    AcceptedIsOpen,
    StepEnds,
    StartInEvacuatedZone,
    OrderUndone,
    StartAfterCancellation,
)


class Rulebook:
    """Applies all rules to each event and keeps the first violation of each subject.

    Parameters
    ----------
    history : History
        The events.
    fleet : Fleet
        The upstreams.
    """

    def __init__(self, history: History, fleet: Fleet) -> None:
        self._rules = [rule(history, fleet) for rule in RULES]
        self._known: set[tuple[str, str]] = set()
        self.violations: list[Violation] = []
        self.strict_violations: list[Violation] = []
        history.listeners.append(self._check)

    def _check(self, event: CheckEvent) -> None:
        for rule in self._rules:
            for violation in rule.check(event):
                self._keep(rule, violation)

    def _keep(self, rule: Rule, violation: Violation) -> None:
        key = (rule.name, violation.subject)
        if key in self._known:
            return
        self._known.add(key)
        kept = self.violations if rule.is_counted else self.strict_violations
        kept.append(violation)

"""Invariants of the workload check about the starts of runs."""

from collections.abc import Iterator

import attrs

from tanagerpath.benchmarks.workload_check_events import (
    CheckEvent,
    EndAcknowledged,
    EndListed,
    RunEnded,
    RunStarted,
    StartRecorded,
    TaskEvent,
    name_task,
)
from tanagerpath.benchmarks.workload_check_invariants import (
    Rule,
    Violation,
    is_step_done,
)
from tanagerpath.benchmarks.workload_check_workloads import MAX_ATTEMPTS
from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.specs import TaskId

__all__ = [
    "GangStartAfterDone",
    "RunsAtOnce",
    "StartAfterDone",
    "StartAfterFailures",
    "StartBeforeDependencies",
    "StartOverCapacity",
    "StrictStartAfterDone",
]


class RunsAtOnce(Rule):
    """A task never runs twice at the same time on upstreams that are up."""

    name = "runs twice at once"

    def check(self, event: CheckEvent) -> Iterator[Violation]:
        """Check each start; see the base class."""
        if not isinstance(event, RunStarted):
            return
        upstreams = self._fleet.list_runs_of(event.task)
        if len(upstreams) > 1:
            names = sorted(upstream.record.incarnation for upstream in upstreams)
            detail = f"{event.describe()}; it runs on {', '.join(names)}"
            yield self._report(event, name_task(event.task), detail, event)


class StartAfterDone(Rule):
    """A task never starts after an end as done that is acknowledged then or later.

    An end does not count if the lease of its upstream expired before it was
    acknowledged, whether anything ran there or not.
    """

    name = "start after done"

    def check(self, event: CheckEvent) -> Iterator[Violation]:
        """Check each start, and each acknowledgement; see the base class."""
        match event:
            case RunStarted():
                for known in self._list_acknowledged(event.task):
                    yield from self._compare(event, known.end, event)
            case EndAcknowledged(end=end) if self._counts(event):
                for start in self._list_starts(end):
                    yield from self._compare(event, end, start)

    def _list_acknowledged(self, task: TaskId) -> list[EndAcknowledged]:
        events = self._history.select(task, EndAcknowledged)
        return [event for event in events if self._counts(event)]

    def _list_starts(self, end: RunEnded) -> list[RunStarted]:
        starts = self._history.select(end.task, RunStarted)
        return [start for start in starts if start.order > end.order]

    def _counts(self, event: EndAcknowledged) -> bool:
        return event.end.outcome is RunOutcome.DONE and not self._excuses(event)

    def _excuses(self, event: EndAcknowledged) -> bool:
        return event.is_lease_expired

    def _compare(
        self, event: TaskEvent, end: RunEnded, start: RunStarted
    ) -> Iterator[Violation]:
        """Report a start after an end."""
        when = "then" if event is start else "later"
        detail = (
            f"{start.describe()} at {start.at_s:.3f} after {end.describe()} at "
            f"{end.at_s:.3f}, acknowledged {when}"
        )
        yield self._report(event, name_task(end.task), detail, start)


class StrictStartAfterDone(StartAfterDone):
    """As `StartAfterDone`, but the lease of an idle upstream can't expire."""

    name = "strict start after done"
    is_counted = False

    def _excuses(self, event: EndAcknowledged) -> bool:
        return event.is_busy_lease_expired

    def _compare(
        self, event: TaskEvent, end: RunEnded, start: RunStarted
    ) -> Iterator[Violation]:
        known = "listed before" if self._was_listed(end, start) else "listed after"
        for violation in super()._compare(event, end, start):
            detail = f"{known} the start was recorded: {violation.detail}"
            yield attrs.evolve(violation, rule=f"{self.name}, {known}", detail=detail)

    def _was_listed(self, end: RunEnded, start: RunStarted) -> bool:
        """Return whether a leader read an end before the log held a later start."""
        recorded = next(
            record.order
            for record in self._history.select(start.task, StartRecorded)
            if record.run == start.run
        )
        return any(
            (listed.run, listed.incarnation) == (end.run, end.incarnation)
            and listed.order < recorded
            for listed in self._history.select(end.task, EndListed)
        )


class GangStartAfterDone(StartAfterDone):
    """No member of a gang starts a later run after an acknowledged done of another."""

    name = "gang start after done"

    def _list_acknowledged(self, task: TaskId) -> list[EndAcknowledged]:
        return [
            event
            for other in self._list_others(task)
            for event in super(GangStartAfterDone, self)._list_acknowledged(other)
        ]

    def _list_starts(self, end: RunEnded) -> list[RunStarted]:
        return [
            start
            for other in self._list_others(end.task)
            for start in self._history.select(other, RunStarted)
            if start.order > end.order
        ]

    def _list_others(self, task: TaskId) -> list[TaskId]:
        step = self._find_step(task)
        if not step.gang:
            return []
        members = (attrs.evolve(task, index=index) for index in range(step.count))
        return [member for member in members if member != task]

    def _compare(
        self, event: TaskEvent, end: RunEnded, start: RunStarted
    ) -> Iterator[Violation]:
        if start.run > end.run:
            yield from super()._compare(event, end, start)


class StartOverCapacity(Rule):
    """No start brings an upstream over its capacity; what still stops counts."""

    name = "start over capacity"

    def check(self, event: CheckEvent) -> Iterator[Violation]:
        """Check each start; see the base class."""
        if not isinstance(event, RunStarted):
            return
        upstream = self._fleet.incarnations[event.incarnation]
        if not upstream.used.fits(upstream.record.capacity):
            detail = f"{event.describe()}; {upstream.used.accelerators} accelerators"
            yield self._report(event, name_task(event.task), detail, event)


class StartBeforeDependencies(Rule):
    """No task starts before all tasks of the steps that it depends on are done."""

    name = "start before dependencies"

    def check(self, event: CheckEvent) -> Iterator[Violation]:
        """Check each start; see the base class."""
        if not isinstance(event, RunStarted):
            return
        for earlier in self._find_step(event.task).depends_on:
            if not self._is_done(event.task, earlier):
                detail = f"{event.describe()}; step {earlier} is not done"
                yield self._report(event, name_task(event.task), detail, event)

    def _is_done(self, task: TaskId, step: int) -> bool:
        return is_step_done(
            self._history, attrs.evolve(task, step=step, index=0), self._fleet
        )


class StartAfterFailures(Rule):
    """No task or gang starts after all its attempts ended as failed.

    Their ends count if they are acknowledged then or later.
    """

    name = "start after failures"

    def check(self, event: CheckEvent) -> Iterator[Violation]:
        """Check each start, and each acknowledgement; see the base class."""
        match event:
            case RunStarted():
                yield from self._check_start(event, event)
            case EndAcknowledged(end=end) if end.outcome is RunOutcome.FAILED:
                for member in self._list_members(event.task):
                    for start in self._history.select(member, RunStarted):
                        if start.order > end.order:
                            yield from self._check_start(event, start)

    def _check_start(self, event: TaskEvent, start: RunStarted) -> Iterator[Violation]:
        failed = {
            known.run
            for member in self._list_members(start.task)
            for known in self._history.select(member, EndAcknowledged)
            if known.end.outcome is RunOutcome.FAILED
            and not known.is_lease_expired
            and known.end.order < start.order
        }
        if len(failed) >= MAX_ATTEMPTS:
            detail = f"{start.describe()}; runs {sorted(failed)} failed"
            yield self._report(event, name_task(start.task), detail, start)

    def _list_members(self, task: TaskId) -> list[TaskId]:
        step = self._find_step(task)
        if not step.gang:
            return [task]
        return [attrs.evolve(task, index=index) for index in range(step.count)]

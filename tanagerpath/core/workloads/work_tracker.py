"""Waiting work of all pools during a term, kept up to date between decisions."""

import itertools
import math
from collections.abc import Iterator

import attrs

from tanagerpath.core.workloads.admission import Outlook, OutlookSource
from tanagerpath.core.workloads.configuration import Queue
from tanagerpath.core.workloads.coverage import count_needed
from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.pool_capacity import PoolCapacity
from tanagerpath.core.workloads.records import WorkloadRecord
from tanagerpath.core.workloads.refusals import MAX_REFUSALS
from tanagerpath.core.workloads.work_ahead import (
    QueueError,
    WorkItem,
    make_item,
)

__all__ = ["WorkTracker"]

# Capacity and errors of estimates change slowly, and reading them takes as long as a
# decision.
FIGURES_AGE_S = 0.5
# Items without a change that are computed again with a decision, as estimates change.
REFRESHED_ITEMS = 2
# Most changed items that a decision computes again. The others keep their figures, or
# do not count yet, until the next decisions: a new leader with thousands of workloads
# must not delay its callers.
MAX_COMPUTED_ITEMS = 20


@attrs.define
class _PoolFigures:
    """Capacity of a pool, and until when it holds."""

    capacity: PoolCapacity
    until_s: float


class WorkTracker(OutlookSource):
    """Tracks the waiting work of each unfinished workload.

    Nothing is tracked before the first question, so that a policy which asks nothing
    costs nothing.

    Parameters
    ----------
    context : DispatchContext
        State of the term, read only.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._is_active = False
        self._changed: dict[str, None] = {}
        # The least recently computed item of a pool is its first.
        self._items: dict[str, dict[str, WorkItem]] = {}
        self._pools: dict[str, str] = {}
        self._covered: frozenset[str] = frozenset()
        self._figures: dict[str, _PoolFigures] = {}
        self._errors: dict[str, QueueError] = {}
        self._errors_until_s = -math.inf

    def note_changed(self, workload_id: str) -> None:
        """Compute the work of a workload again before the next decision."""
        if self._is_active:
            self._changed[workload_id] = None

    def find_outlook(self, pool: str) -> Outlook:
        """Return the outlook of a pool now; see `OutlookSource`."""
        self._update()
        context = self._context
        refusals = context.state.refusals
        items = self._items.get(pool, {})
        self._refresh_oldest(items)
        waiting = tuple(item for item in items.values() if item.size_cores_s > 0.0)
        return Outlook(
            waiting=waiting,
            capacity=self.find_capacity(pool),
            errors=self._find_errors(waiting),
            refusals=refusals.list_records(),
            can_remember=refusals.count_at(context.now.unix_s) < MAX_REFUSALS,
        )

    def find_capacity(self, pool: str) -> PoolCapacity:
        """Return the capacity of a pool, at most `FIGURES_AGE_S` old."""
        context = self._context
        held = self._figures.get(pool)
        if held is None or context.now_s >= held.until_s:
            sessions = [
                session
                for session in context.sessions.values()
                if session.record.pool == pool
            ]
            capacity = PoolCapacity.from_sessions(sessions, context.estimates)
            held = _PoolFigures(capacity, context.now_s + FIGURES_AGE_S)
            self._figures[pool] = held
        return held.capacity

    def make_item(
        self, record: WorkloadRecord, queue: Queue, is_covered: bool, arrival_s: float
    ) -> WorkItem:
        """Return the waiting work of a workload."""
        capacity = self.find_capacity(queue.pool)
        return make_item(
            record, queue, self._context.estimates, capacity, arrival_s, is_covered
        )

    def would_cover(self, record: WorkloadRecord, queue: Queue) -> bool:
        """Return whether a guarantee has room for a new workload.

        The needs of workloads that wait for the same guarantee are left out, so this
        errs towards the workload.
        """
        if queue.priority > 0:
            return False
        context = self._context
        organisations = context.state.configuration.organisations
        free = sum(
            one.guaranteed.accelerators
            for one in organisations
            if one.name == record.organisation
        )
        free -= sum(map(count_needed, self._list_covered(record.organisation)))
        return count_needed(record) <= free

    def _list_covered(self, organisation: str) -> Iterator[WorkloadRecord]:
        for workload_id in self._context.coverage.covered:
            record = self._context.state.workloads.get(workload_id)
            if record is None or record.final_state is not None:
                continue
            if record.organisation == organisation:
                yield record

    def _update(self) -> None:
        """Compute the items of all changed workloads again."""
        context = self._context
        if not self._is_active:
            self._is_active = True
            for record in context.backlog.list_records():
                self._changed[record.workload_id] = None
        covered = context.coverage.covered
        if covered is not self._covered:
            self._changed.update(dict.fromkeys(covered ^ self._covered))
            self._covered = covered
        for workload_id in list(itertools.islice(self._changed, MAX_COMPUTED_ITEMS)):
            del self._changed[workload_id]
            self._compute(workload_id)

    def _refresh_oldest(self, items: dict[str, WorkItem]) -> None:
        for workload_id in list(itertools.islice(items, REFRESHED_ITEMS)):
            self._compute(workload_id)

    def _compute(self, workload_id: str) -> None:
        context = self._context
        pool = self._pools.pop(workload_id, "")
        earlier = self._items.get(pool, {}).pop(workload_id, None)
        record = context.state.workloads.get(workload_id)
        if record is None or record.final_state is not None:
            return
        queue = context.state.find_queue(record.queue)
        if queue is None:
            return
        if earlier is not None:
            arrival_s = earlier.arrival_s
        else:
            age_s = max(context.now.unix_s - record.accepted_at_unix_s, 0.0)
            arrival_s = context.now_s - age_s
        is_covered = workload_id in self._covered
        item = self.make_item(record, queue, is_covered, arrival_s)
        self._pools[workload_id] = queue.pool
        self._items.setdefault(queue.pool, {})[workload_id] = item

    def _find_errors(self, waiting: tuple[WorkItem, ...]) -> dict[str, QueueError]:
        """Return the errors of all queues that are measured or have waiting work."""
        now_s = self._context.now_s
        if now_s >= self._errors_until_s:
            self._errors = {
                history.queue: QueueError.from_learned(history)
                for history in self._context.state.learned.queues
            }
            self._errors_until_s = now_s + FIGURES_AGE_S
        for queue in {item.queue for item in waiting}:
            if queue not in self._errors:
                self._errors[queue] = QueueError.from_learned(None)
        return self._errors

"""Stand-in workers of the soak: their rules and their state, without input or output.

A worker runs tasks under a lease on its own clock, refuses orders with an outdated
fencing token and lists the ends of its runs until they are acknowledged.
"""

import math

import attrs

from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.orders import (
    EndedRun,
    HoldReply,
    HoldRequest,
    OrderDone,
    OrderRefused,
    PaceRequest,
    Refusal,
    RunningTask,
    StartRequest,
    StopRequest,
)
from tanagerpath.core.workloads.specs import TaskId
from tanagerpath.emulator.soak_run_events import (
    EndAcknowledged,
    LeaseExpired,
    RunEnded,
    RunEvent,
    RunStarted,
)
from tanagerpath.emulator.soak_workloads import TaskWork, read_work

__all__ = [
    "GANG_TIMEOUT_S",
    "MAX_LEASE_S",
    "Fleet",
    "Worker",
    "WorkerClock",
    "WorkerOrder",
    "WorkerReply",
]

MS_PER_S = 1000
# A longer lease is shortened to this one.
MAX_LEASE_S = 10.0
# Longest wait of a gang member for the others.
GANG_TIMEOUT_S = 3.0
STOP_S = 0.2
MAX_LISTED_ENDS = 500
COMPLETED_PERCENT = 100

WorkerOrder = StartRequest | StopRequest | HoldRequest | PaceRequest
WorkerReply = OrderDone | OrderRefused | HoldReply


@attrs.frozen
class WorkerClock:
    """Monotonic clock of a worker.

    Attributes
    ----------
    born_s : float
        Instant at which it shows 0, on the clock of the soak.
    rate : float
        Seconds that it counts in a second.
    """

    born_s: float
    rate: float

    def read_ms(self, now_s: float) -> int:
        """Return what the clock shows."""
        return int((now_s - self.born_s) * self.rate * MS_PER_S)

    def find_instant_s(self, clock_ms: int) -> float:
        """Return when the clock shows a number of milliseconds."""
        return self.born_s + clock_ms / MS_PER_S / self.rate


@attrs.define(eq=False)
class _Gang:
    """One run of a gang over all workers.

    Its work begins once all members have begun, and ends for all at `done_s`.
    """

    size: int
    members: set[TaskId] = attrs.Factory(set)
    done_s: float = math.inf
    broken_s: float = math.inf

    def join(self, task: TaskId, work: TaskWork, now_s: float) -> None:
        """Add a member; the last one begins the work."""
        self.members.add(task)
        is_whole = len(self.members) == self.size
        if is_whole and math.isinf(self.done_s) and math.isinf(self.broken_s):
            self.done_s = now_s + work.run_s

    def break_up(self, now_s: float) -> None:
        """End the work, as a member is gone."""
        self.done_s = math.inf
        self.broken_s = min(self.broken_s, now_s)


@attrs.define(eq=False)
class _Run:
    task: TaskId
    run: int
    work: TaskWork
    began_s: float
    gang: _Gang | None
    stops_s: float = math.inf

    def find_end(self) -> tuple[float, RunOutcome]:
        """Return when and how the run ends if its worker keeps a lease."""
        ends_s, outcome = self._find_own_end()
        if self.stops_s < ends_s:
            return self.stops_s, RunOutcome.STOPPED
        return ends_s, outcome

    def _find_own_end(self) -> tuple[float, RunOutcome]:
        gang = self.gang
        if gang is None:
            return self.began_s + self.work.run_s, RunOutcome.DONE
        if math.isfinite(gang.done_s):
            return max(gang.done_s, self.began_s), RunOutcome.DONE
        if math.isfinite(gang.broken_s):
            return max(gang.broken_s, self.began_s), RunOutcome.BROKEN
        return self.began_s + GANG_TIMEOUT_S, RunOutcome.ALONE

    def find_percent(self, now_s: float) -> int:
        """Return the share of the work that is done."""
        ends_s, outcome = self._find_own_end()
        if outcome is not RunOutcome.DONE:
            return 0
        left = (ends_s - now_s) / self.work.run_s
        return int(min(max(1 - left, 0), 1) * COMPLETED_PERCENT)


class Worker:
    """One worker.

    Parameters
    ----------
    worker_id : str
        Its identity.
    born_unix_ms : int
        Its start in UTC milliseconds.
    clock : WorkerClock
        Its monotonic clock.
    gangs : dict
        Gangs by step and run, shared with the other workers.
    """

    def __init__(
        self,
        worker_id: str,
        born_unix_ms: int,
        clock: WorkerClock,
        gangs: dict[object, _Gang],
    ) -> None:
        self.worker_id = worker_id
        self.born_unix_ms = born_unix_ms
        self.clock = clock
        self._gangs = gangs
        self._runs: dict[tuple[TaskId, int], _Run] = {}
        # Highest run of each task that ended or was stopped here.
        self._barred: dict[TaskId, int] = {}
        self._ends: list[EndedRun] = []
        self._end_count = 0
        self._token = 0
        self._lease_until_ms = 0
        self._lease_is_open = False
        self._events: list[RunEvent] = []

    def take_events(self) -> list[RunEvent]:
        """Return what has happened since the last call."""
        events, self._events = self._events, []
        return events

    def has_listed_ends(self) -> bool:
        """Whether an end is not acknowledged."""
        return bool(self._ends)

    def find_next_event_s(self) -> float:
        """Return when the next run ends or the lease expires."""
        ends = [run.find_end()[0] for run in self._runs.values()]
        return min([*ends, self._find_lease_expiry_s()])

    def play_next_event(self) -> None:
        """End the runs that end next, or let the lease expire."""
        at_s = self.find_next_event_s()
        for run in tuple(self._runs.values()):
            ends_s, outcome = run.find_end()
            if ends_s <= at_s:
                self._end(run, outcome, at_s)
        if self._find_lease_expiry_s() <= at_s:
            self._expire(at_s)

    def handle(self, order: WorkerOrder, now_s: float) -> WorkerReply:
        """Carry out an order; all events until now must have been played."""
        clock_ms = self.clock.read_ms(now_s)
        if order.fencing_token < self._token:
            return OrderRefused(Refusal.FENCED, clock_ms)
        self._token = order.fencing_token
        match order:
            case StartRequest():
                return self._start(order, now_s)
            case StopRequest():
                self._stop(order, now_s)
            case HoldRequest():
                self._renew(order, now_s)
                return self.list_runs(now_s)
        return OrderDone(clock_ms, self.born_unix_ms)

    def list_runs(self, now_s: float) -> HoldReply:
        """Return the runs in progress and the ends that are not acknowledged."""
        running = [
            RunningTask(run.task, run.run, "", run.find_percent(now_s))
            for run in self._runs.values()
        ]
        return HoldReply(
            clock_ms=self.clock.read_ms(now_s),
            born_unix_ms=self.born_unix_ms,
            running=tuple(running),
            ended=tuple(self._ends[:MAX_LISTED_ENDS]),
        )

    def _find_lease_expiry_s(self) -> float:
        if not self._lease_is_open:
            return math.inf
        return self.clock.find_instant_s(self._lease_until_ms)

    def _extend_lease(self, until_ms: int, now_s: float) -> None:
        clock_ms = self.clock.read_ms(now_s)
        until_ms = min(until_ms, clock_ms + int(MAX_LEASE_S * MS_PER_S))
        self._lease_until_ms = max(self._lease_until_ms, until_ms)
        self._lease_is_open = self._lease_until_ms > clock_ms

    def _start(self, order: StartRequest, now_s: float) -> WorkerReply:
        clock_ms = self.clock.read_ms(now_s)
        self._extend_lease(order.lease_until_ms, now_s)
        if (order.task, order.run) in self._runs:
            return OrderDone(clock_ms, self.born_unix_ms)
        if order.lease_until_ms <= clock_ms:
            return OrderRefused(Refusal.EXPIRED, clock_ms)
        if order.run <= self._barred.get(order.task, 0):
            return OrderRefused(Refusal.SUPERSEDED, clock_ms)
        self._begin(order, now_s)
        return OrderDone(clock_ms, self.born_unix_ms)

    def _begin(self, order: StartRequest, now_s: float) -> None:
        work = read_work(order.payload, order.task.step)
        gang = None
        if work.gang_size:
            key = order.task.step_key, order.run
            gang = self._gangs.setdefault(key, _Gang(work.gang_size))
            gang.join(order.task, work, now_s)
        run = _Run(order.task, order.run, work, now_s, gang)
        self._runs[order.task, order.run] = run
        self._events.append(
            RunStarted(
                self.worker_id, order.task, order.run, order.fencing_token, now_s
            )
        )

    def _stop(self, order: StopRequest, now_s: float) -> None:
        self._bar(order.task, order.run)
        run = self._runs.get((order.task, order.run))
        if run is not None:
            run.stops_s = min(run.stops_s, now_s + STOP_S)

    def _renew(self, order: HoldRequest, now_s: float) -> None:
        if order.lease_until_ms is not None:
            self._extend_lease(order.lease_until_ms, now_s)
        for end in self._ends:
            if end.number <= order.end_cursor:
                self._events.append(
                    EndAcknowledged(
                        self.worker_id, end.number, order.fencing_token, now_s
                    )
                )
        self._ends = [end for end in self._ends if end.number > order.end_cursor]

    def _expire(self, at_s: float) -> None:
        self._lease_is_open = False
        self._events.append(LeaseExpired(self.worker_id, not self._runs, at_s))
        for run in tuple(self._runs.values()):
            self._end(run, RunOutcome.LAPSED, at_s)

    def _end(self, run: _Run, outcome: RunOutcome, at_s: float) -> None:
        del self._runs[run.task, run.run]
        self._bar(run.task, run.run)
        if run.gang is not None and outcome is not RunOutcome.DONE:
            run.gang.break_up(at_s)
        self._end_count += 1
        self._ends.append(EndedRun(self._end_count, run.task, run.run, outcome))
        self._events.append(
            RunEnded(self.worker_id, self._end_count, run.task, run.run, outcome, at_s)
        )

    def _bar(self, task: TaskId, run: int) -> None:
        self._barred[task] = max(run, self._barred.get(task, 0))


class Fleet:
    """All workers, in the order of what happens to them.

    Parameters
    ----------
    clocks : dict of str to WorkerClock
        Clock of each worker by its identity.
    born_unix_ms : int
        Start of all workers in UTC milliseconds.
    """

    def __init__(self, clocks: dict[str, WorkerClock], born_unix_ms: int) -> None:
        gangs: dict[object, _Gang] = {}
        self._workers = {
            worker_id: Worker(worker_id, born_unix_ms, clock, gangs)
            for worker_id, clock in clocks.items()
        }

    def find_next_event_s(self) -> float:
        """Return when the next run ends or the next lease expires."""
        return min(one.find_next_event_s() for one in self._workers.values())

    def advance(self, now_s: float) -> list[RunEvent]:
        """Play what was due until now; return it in its order."""
        events = []
        while self._workers:
            worker = min(self._workers.values(), key=Worker.find_next_event_s)
            if worker.find_next_event_s() > now_s:
                break
            worker.play_next_event()
            events += worker.take_events()
        return events

    def handle(
        self, worker_id: str, order: WorkerOrder, now_s: float
    ) -> tuple[WorkerReply, list[RunEvent]]:
        """Let a worker carry out an order; return its reply and what happened."""
        worker = self._workers[worker_id]
        reply = worker.handle(order, now_s)
        return reply, worker.take_events()

    def list_runs(self, worker_id: str, now_s: float) -> HoldReply:
        """Return the lists of a worker."""
        return self._workers[worker_id].list_runs(now_s)

    def has_listed_ends(self, worker_id: str) -> bool:
        """Whether a worker has an end that is not acknowledged."""
        return self._workers[worker_id].has_listed_ends()

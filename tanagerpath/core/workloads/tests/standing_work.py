"""Finds workloads that stand still beside free capacity, as callers would see it."""

from collections.abc import Iterable

import attrs

from tanagerpath.core.workloads.records import WorkloadRecord
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec, TaskId
from tanagerpath.core.workloads.state import FleetState
from tanagerpath.core.workloads.tests.fake_upstream import FakeUpstream

# Seconds for which a workload may have nothing running beside free capacity.
MAX_STANDING_S = 3.0
# The capacity counts as free if it holds the work this many times.
SPARE_FACTOR = 2
# Share of the accelerators of a pool in use from which work may have to wait.
BUSY_SHARE = 0.5


@attrs.frozen(kw_only=True)
class StandingWorkload:
    """A workload that has stood still for too long.

    Attributes
    ----------
    workload_id, queue : str
        The workload and its queue.
    step : int
        The first step that may begin.
    since_s : float
        Time from which nothing of it has run beside free capacity.
    """

    workload_id: str
    queue: str
    step: int
    since_s: float


class StandingWork:
    """Tracks since when each workload has had nothing running beside free capacity.

    Parameters
    ----------
    state : FleetState
        Workloads and queues.
    """

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._since_s: dict[str, float] = {}
        self.found: dict[str, StandingWorkload] = {}

    def check(self, upstreams: Iterable[FakeUpstream], now_s: float) -> None:
        """Look at all workloads; `found` gets those that have stood for too long."""
        upstreams = tuple(upstreams)
        running = {
            run.task.workload_id for one in upstreams for run in one.runs.values()
        }
        for workload_id, record in self._state.workloads.items():
            step = None
            if workload_id not in running and record.final_state is None:
                step = self._find_startable(record, upstreams, now_s)
            if step is None:
                self._since_s.pop(workload_id, None)
                continue
            since_s = self._since_s.setdefault(workload_id, now_s)
            if now_s - since_s > MAX_STANDING_S:
                self.found.setdefault(
                    workload_id,
                    StandingWorkload(
                        workload_id=workload_id,
                        queue=record.queue,
                        step=step,
                        since_s=since_s,
                    ),
                )

    def _find_startable(
        self, record: WorkloadRecord, upstreams: tuple[FakeUpstream, ...], now_s: float
    ) -> int | None:
        """Return the first step that may begin and would fit; None if there is none."""
        queue = self._state.find_queue(record.queue)
        pool = [
            one
            for one in upstreams
            if one.record.pool == queue.pool and _is_available(one)
        ]
        if _find_share_in_use(pool) >= BUSY_SHARE:
            return None
        for number, spec in enumerate(record.spec.steps):
            if self._is_waiting(record, number, spec) and _fits(spec, pool):
                return number
        return None

    def _is_waiting(self, record: WorkloadRecord, number: int, spec: StepSpec) -> bool:
        if record.is_step_done(0, number) or not record.may_begin(0, number):
            return False
        return any(
            not record.find_task(TaskId(record.workload_id, 0, number, index)).done
            for index in range(spec.count)
        )


def _is_available(upstream: FakeUpstream) -> bool:
    """Return whether an upstream would carry out a start."""
    is_broken = upstream.unreachable or upstream.fails_all or upstream.stalls
    return not (is_broken or upstream.refusal or upstream.record.draining)


def _find_share_in_use(pool: list[FakeUpstream]) -> float:
    used = sum(one.used.accelerators for one in pool)
    return used / max(sum(one.record.capacity.accelerators for one in pool), 1)


def _fits(spec: StepSpec, pool: list[FakeUpstream]) -> bool:
    """Return whether a task, or a whole gang, fits `SPARE_FACTOR` times."""
    wanted = SPARE_FACTOR * (spec.count if spec.gang else 1)
    limit = spec.max_per_upstream or wanted
    fitting = 0
    for one in pool:
        if spec.required_label and spec.required_label not in one.record.labels:
            continue
        free: Resources = one.record.capacity - one.used
        fitting += spec.reserved.count_in(free, limit)
    return fitting >= wanted

"""Model of the work that ranks before a workload, by the scarce resource of its pool.

All figures are bounds: the start that it predicts is the earliest possible one. It
leaves out running work, future arrivals and fragmentation; see
docs/design/admission.md.
"""

import math
import operator
from collections import Counter
from collections.abc import Iterable, Iterator

import attrs

from tanagerpath.core.workloads.configuration import Queue
from tanagerpath.core.workloads.estimates import RunEstimates
from tanagerpath.core.workloads.learned import LearnedQueue
from tanagerpath.core.workloads.policy import HARD_DEADLINE_FACTOR
from tanagerpath.core.workloads.pool_capacity import Demand, PoolCapacity
from tanagerpath.core.workloads.records import WorkloadRecord
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec, WorkloadSpec

__all__ = [
    "Forecast",
    "QueueError",
    "WorkItem",
    "forecast_start",
    "make_item",
    "sum_ahead_s",
]

# Standard deviations between an estimate and its bound.
BOUND_DEVIATIONS = 2.0
# Variance of the common error of the estimates of a queue that no number of measured
# steps removes, such as a change of what its callers submit.
MIN_COMMON_VARIANCE = 0.01
# Variances of a queue without a measured step. The bounds are then off by a factor of
# three for any amount of work ahead, and by seven for a single workload.
UNMEASURED_INDIVIDUAL_VARIANCE = 0.65
UNMEASURED_COMMON_VARIANCE = 0.35


@attrs.frozen(kw_only=True)
class QueueError:
    """Variances of the logarithm of the work that is estimated for steps of a queue.

    Attributes
    ----------
    individual : float
        Variance of the work of one step around its estimate.
    common : float
        Variance of the error that all estimates of the queue share.
    """

    individual: float
    common: float

    @classmethod
    def from_learned(cls, learned: LearnedQueue | None) -> "QueueError":
        """Return the errors of a queue, None if it was never measured."""
        if learned is None:
            return cls(
                individual=UNMEASURED_INDIVIDUAL_VARIANCE,
                common=UNMEASURED_COMMON_VARIANCE,
            )
        declaration, mean = learned.declaration.variance, learned.mean.variance
        variance = 1.0 / (1.0 / declaration + 1.0 / mean)
        common = variance / learned.declaration.weight + MIN_COMMON_VARIANCE
        return cls(individual=variance, common=common)

    def find_bound_factor(self, workloads: int) -> float:
        """Return the quotient of an upper bound and the estimate of a sum of work.

        Parameters
        ----------
        workloads : int
            Number of workloads of similar size in the sum.
        """
        variance = self.common + self.individual / max(workloads, 1)
        return math.exp(BOUND_DEVIATIONS * math.sqrt(variance))


@attrs.frozen(kw_only=True, eq=False)
class WorkItem:
    """Waiting work of one workload.

    Attributes
    ----------
    workload_id, queue, organisation : str
        What it is and whose.
    priority : int
        Priority of its queue.
    is_covered : bool
        Whether a guarantee covers it.
    demand : Demand
        Work of its tasks that could start now and do not run.
    size_cores_s : float
        Same in core seconds, with accelerators counted as cores.
    needs : Resources
        Needs of each task of the first step that waits.
    leftover : Resources
        What the largest upstream has left when as many of its tasks run there as fit.
    upstreams_at_once : int
        Upstreams that its smallest step needs at the same time; 1 without a gang.
    arrival_s : float
        Time of its acceptance on the leader's monotonic clock.
    objective_s : float
        Seconds after the arrival within which it is on time; 0 for none.
    critical_path_s : float
        Seconds of the longest chain of its remaining steps at speed 1.
    rank_class : int
        Covered work ranks before all other, which ranks by priority.
    """

    workload_id: str
    queue: str
    organisation: str
    priority: int
    is_covered: bool = False
    demand: Demand = attrs.Factory(Demand)
    size_cores_s: float = 0.0
    needs: Resources = Resources()
    leftover: Resources = Resources()
    upstreams_at_once: int = 1
    arrival_s: float
    objective_s: float
    critical_path_s: float
    # Stored, as a decision reads it from hundreds of items.
    rank_class: int = attrs.field(init=False)

    @rank_class.default
    def _find_rank_class(self) -> int:
        return -1 if self.is_covered else self.priority

    def find_latest_start_s(self, fastest: float = 1.0, factor: float = 1.0) -> float:
        """Return the time from which a start is too late for any value.

        Parameters
        ----------
        fastest : float
            Speed of the fastest upstream.
        factor : float
            Quotient of the true and the estimated run time. The objective is a
            multiple of the run time, so it grows with it.
        """
        if self.objective_s <= 0.0:
            return math.inf
        slack_s = HARD_DEADLINE_FACTOR * self.objective_s
        slack_s -= self.critical_path_s / fastest
        return self.arrival_s + slack_s * factor

    def find_rank(self, now_s: float) -> tuple[int, bool, float, float]:
        """Return the sort key of waiting work, in the order of `DeadlinePolicy`."""
        objective_s = self.objective_s
        end_s = max(now_s - self.arrival_s, 0.0) + self.critical_path_s
        is_late = end_s > objective_s
        scaled_size = 0.0
        if not is_late and objective_s > 0.0:
            scaled_size = (1.0 - end_s / objective_s) * self.size_cores_s
        return self.rank_class, is_late, scaled_size, self.arrival_s + objective_s


@attrs.frozen(kw_only=True)
class Forecast:
    """Lower bounds of what a workload waits for.

    Attributes
    ----------
    start_in_s : float
        Seconds until it can begin.
    ahead_s : float
        Seconds that all work ahead of it takes.
    fair_ahead_s : float
        Seconds that the work ahead of its own organisation takes at an equal share of
        the pool; infinite if no other organisation has work ahead.
    workloads_ahead : int
        Number of workloads ahead.
    organisations_ahead : int
        Number of organisations with work ahead, its own included.
    """

    start_in_s: float = 0.0
    ahead_s: float = 0.0
    fair_ahead_s: float = math.inf
    workloads_ahead: int = 0
    organisations_ahead: int = 1


def _invert(rate: float) -> float:
    return 1.0 / rate if rate > 0.0 else 0.0


class _WorkSum:
    """Sum of demands and the time that a pool takes for it.

    It adds up plain numbers, as a decision adds up hundreds of demands.
    """

    def __init__(self, rates: Demand) -> None:
        self.count = 0
        self.time_s = 0.0
        self._cores = self._memory_mb = self._accelerators = self._upstreams = 0.0
        self._s_per_core = _invert(rates.cores)
        self._s_per_mb = _invert(rates.memory_mb)
        self._s_per_accelerator = _invert(rates.accelerators)
        self._s_per_upstream = _invert(rates.upstreams)

    def add(self, demand: Demand, factor: float) -> None:
        """Add a multiple of a demand."""
        self._cores += demand.cores * factor
        self._memory_mb += demand.memory_mb * factor
        self._accelerators += demand.accelerators * factor
        self._upstreams += demand.upstreams * factor
        self.count += 1
        self.time_s = max(
            self._cores * self._s_per_core,
            self._memory_mb * self._s_per_mb,
            self._accelerators * self._s_per_accelerator,
            self._upstreams * self._s_per_upstream,
        )


def sum_ahead_s(
    item: WorkItem, others: Iterable[WorkItem], capacity: PoolCapacity
) -> float:
    """Return an upper bound of `Forecast.start_in_s`, found without ranks."""
    own_class = item.rank_class
    cores = memory_mb = accelerators = upstreams = 0.0
    for other in others:
        if other.rank_class <= own_class:
            demand = other.demand
            cores += demand.cores
            memory_mb += demand.memory_mb
            accelerators += demand.accelerators
            upstreams += demand.upstreams
    ahead = Demand(cores, memory_mb, accelerators, upstreams)
    return ahead.find_time_s(capacity.rates)


def _list_ahead(
    item: WorkItem, others: Iterable[WorkItem], now_s: float, since_s: float
) -> list[WorkItem]:
    """Return the work that ranks before an item, in the order of its ranks.

    Work beside which the item fits on a full upstream does not hold it up, nor does a
    gang that waits until more upstreams are free than the item needs.
    """
    own_class = item.rank_class
    own_rank = item.find_rank(now_s)
    ahead = []
    for other in others:
        other_class = other.rank_class
        if other_class > own_class or other.workload_id == item.workload_id:
            continue
        if other_class == own_class and other.arrival_s > since_s:
            continue
        if item.needs.fits(other.leftover):
            continue
        if item.upstreams_at_once < other.upstreams_at_once:
            continue
        rank = other.find_rank(now_s)
        if rank < own_rank:
            ahead.append((rank, other))
    ahead.sort(key=operator.itemgetter(0))
    return [other for _, other in ahead]


def forecast_start(
    item: WorkItem,
    others: Iterable[WorkItem],
    capacity: PoolCapacity,
    errors: dict[str, QueueError],
    now_s: float,
    since_s: float = math.inf,
) -> Forecast:
    """Return when a workload can begin at the earliest.

    Parameters
    ----------
    item : WorkItem
        The workload.
    others : iterable of WorkItem
        Waiting work of its pool.
    capacity : PoolCapacity
        Upstreams of the pool.
    errors : dict of str to QueueError
        Errors of the estimates by queue, for all queues of `others`.
    now_s : float
        Time on the leader's monotonic clock.
    since_s : float
        Time after which work of the same priority does not count: that of the first
        refusal of the workload.
    """
    ahead = _list_ahead(item, others, now_s, since_s)
    counts = Counter(other.queue for other in ahead)
    factors = {
        queue: 1.0 / errors[queue].find_bound_factor(count)
        for queue, count in counts.items()
    }
    total, own = _WorkSum(capacity.rates), _WorkSum(capacity.rates)
    organisations = {item.organisation}
    for other in ahead:
        if now_s + total.time_s > other.find_latest_start_s(capacity.fastest):
            continue
        factor = factors[other.queue]
        total.add(other.demand, factor)
        organisations.add(other.organisation)
        if other.organisation == item.organisation:
            own.add(other.demand, factor)
    fair_s = math.inf
    if len(organisations) > 1:
        fair_s = own.time_s * len(organisations)
    return Forecast(
        start_in_s=min(total.time_s, fair_s),
        ahead_s=total.time_s,
        fair_ahead_s=fair_s,
        workloads_ahead=total.count,
        organisations_ahead=len(organisations),
    )


def _find_chain_s(spec: WorkloadSpec, works_s: list[float]) -> float:
    """Return the seconds of the longest chain of steps that take so long."""
    ends_s: list[float] = []
    for step, work_s in zip(spec.steps, works_s, strict=True):
        begin_s = max((ends_s[one] for one in step.depends_on), default=0.0)
        ends_s.append(begin_s + work_s)
    return max(ends_s, default=0.0)


def make_item(
    record: WorkloadRecord,
    queue: Queue,
    estimates: RunEstimates,
    capacity: PoolCapacity,
    arrival_s: float,
    is_covered: bool = False,
) -> WorkItem:
    """Return the waiting work of a workload.

    Of each step that may begin, the tasks that are neither done nor running count.
    Repeated and long-running work counts as none.
    """
    spec = record.spec
    works_s = [
        estimates.predict_work_s(
            (spec.workload_id, number), queue.name, step.declared_run_s
        )
        for number, step in enumerate(spec.steps)
    ]
    whole_s = left_s = _find_chain_s(spec, works_s)
    if record.done_by_step:
        left_works_s = [
            0.0 if record.is_step_done(0, number) else work_s
            for number, work_s in enumerate(works_s)
        ]
        left_s = _find_chain_s(spec, left_works_s)
    demand, size_cores_s = Demand(), 0.0
    leftover = Resources()
    waiting = list(_list_waiting(record, works_s))
    for step, tasks, work_s in waiting:
        demand = demand + capacity.measure(step, tasks, work_s)
        size_cores_s += tasks * work_s * step.needs.weighted_cores
        leftover = leftover.find_maximum(capacity.find_leftover(step.reserved))
    return WorkItem(
        workload_id=spec.workload_id,
        queue=queue.name,
        organisation=record.organisation,
        priority=queue.priority,
        is_covered=is_covered,
        demand=demand,
        size_cores_s=size_cores_s,
        needs=waiting[0][0].reserved if waiting else Resources(),
        leftover=leftover,
        upstreams_at_once=min(
            (capacity.count_at_once(step) for step, _, _ in waiting), default=1
        ),
        arrival_s=arrival_s,
        objective_s=queue.objective_factor * whole_s + queue.objective_margin_s,
        critical_path_s=left_s,
    )


def _list_waiting(
    record: WorkloadRecord, works_s: list[float]
) -> Iterator[tuple[StepSpec, int, float]]:
    """Return steps that may begin, the tasks that wait, and the work of each.

    The record counts the open runs of all steps together; they are taken from the
    first steps that may begin.
    """
    if record.spec.repeat_count:
        return
    running = record.open_count
    for number, step in enumerate(record.spec.steps):
        left = step.count - record.done_by_step.get((0, number), 0)
        if step.long_running or left <= 0 or not record.may_begin(0, number):
            continue
        waiting = max(left - running, 0)
        running = max(running - left, 0)
        if waiting:
            yield step, waiting, works_s[number]

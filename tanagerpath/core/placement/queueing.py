"""Queue of waiting jobs, in the order in which they are tried."""

import bisect
import heapq
import math

import attrs

from tanagerpath.core.model import JobClass
from tanagerpath.core.placement.config import SchedulerConfig
from tanagerpath.core.placement.estimates import RunTimeEstimator
from tanagerpath.core.placement.scheduler import PendingJob

__all__ = ["EquivalenceClass", "JobQueue", "QueuePass", "Rank"]

URGENT_TIER = 0
CLAIM_TIER = 1
PROMOTED_TIER = 2
ORDINARY_TIER = 3

Rank = tuple[int, float, str]


@attrs.frozen(cache_hash=True)
class EquivalenceClass:
    """Properties that waiting jobs share: if one can't start, none can."""

    organisation: str
    service: str
    job_class: JobClass
    accelerators: int
    cores: int
    memory_bytes: int
    idempotent: bool
    checkpointable: bool
    guaranteed: bool
    has_deadline: bool
    declared_bucket: int

    @classmethod
    def from_job(cls, job: PendingJob) -> "EquivalenceClass":
        """Return the class of a job; declared times are split by powers of four."""
        request = job.request
        declared_s = max(request.expected_run_s, 1.0)
        return cls(
            organisation=request.organisation,
            service=request.service,
            job_class=request.job_class,
            accelerators=request.accelerators,
            cores=request.cores,
            memory_bytes=request.memory_bytes,
            idempotent=request.idempotent,
            checkpointable=request.checkpointable,
            guaranteed=request.guaranteed,
            has_deadline=job.deadline_s is not None,
            declared_bucket=int(math.log(declared_s, 4.0)),
        )


@attrs.define
class JobQueue:
    """Waiting jobs by equivalence class.

    Jobs are ordered by tier: urgent, guarantee claims, promoted (close to a deadline or
    older than `promote_after_s`), ordinary. Ordinary jobs are ordered by their instant
    of acceptance plus a share of their estimated run time; because that sum is fixed, a
    later job overtakes only within a bounded time and no job starves.
    """

    _config: SchedulerConfig
    _estimator: RunTimeEstimator
    jobs: dict[str, PendingJob] = attrs.field(factory=dict)
    _keys_by_class: dict[EquivalenceClass, list[tuple[float, float, str]]] = (
        attrs.field(factory=dict)
    )
    _class_by_job: dict[str, EquivalenceClass] = attrs.field(factory=dict)

    def add(self, job: PendingJob) -> None:
        """Queue a job; a job of the same id is replaced."""
        self.remove(job.job_id)
        equivalence_class = EquivalenceClass.from_job(job)
        self.jobs[job.job_id] = job
        self._class_by_job[job.job_id] = equivalence_class
        bisect.insort(
            self._keys_by_class.setdefault(equivalence_class, []), _make_sort_key(job)
        )

    def remove(self, job_id: str) -> PendingJob | None:
        """Remove a job from the queue and return it."""
        job = self.jobs.pop(job_id, None)
        if job is None:
            return None
        equivalence_class = self._class_by_job.pop(job_id)
        keys = self._keys_by_class[equivalence_class]
        del keys[bisect.bisect_left(keys, _make_sort_key(job))]
        if not keys:
            del self._keys_by_class[equivalence_class]
        return job

    def find_rank(self, job: PendingJob, now_s: float) -> Rank:
        """Return the rank of a job; the job with the smallest rank is tried first."""
        request = job.request
        if request.job_class is JobClass.URGENT:
            return (URGENT_TIER, job.accepted_at_s, job.job_id)
        if request.guaranteed:
            return (CLAIM_TIER, job.accepted_at_s, job.job_id)
        estimate_s = self._estimator.estimate_run_s(request)
        if self.is_due(job, now_s):
            return (PROMOTED_TIER, self._find_latest_start_s(job), job.job_id)
        if self.is_aged(job, now_s):
            return (PROMOTED_TIER, job.accepted_at_s, job.job_id)
        penalty_s = self._config.short_job_weight * estimate_s
        if request.job_class is JobClass.BATCH:
            penalty_s += self._config.batch_penalty_s
        return (ORDINARY_TIER, job.accepted_at_s + penalty_s, job.job_id)

    def is_due(self, job: PendingJob, now_s: float) -> bool:
        """Whether a job, waiting or not, is close to its deadline."""
        if job.deadline_s is None or job.deadline_s <= now_s:
            return False
        return self._find_latest_start_s(job) <= now_s

    def is_aged(self, job: PendingJob, now_s: float) -> bool:
        """Whether a job, waiting or not, is old enough to be promoted."""
        return now_s - job.accepted_at_s > self._config.promote_after_s

    def _find_latest_start_s(self, job: PendingJob) -> float:
        """Return the last instant at which a job with a deadline should start."""
        estimate_s = self._estimator.estimate_run_s(job.request)
        return job.deadline_s - estimate_s - self._config.deadline_margin_s

    def count_ahead(self, job: PendingJob, now_s: float) -> int:
        """Return how many waiting jobs have a smaller rank."""
        rank = self.find_rank(job, now_s)
        others = self.jobs.values()
        return sum(self.find_rank(other, now_s) < rank for other in others)

    def find_wake_up_s(self, now_s: float) -> float | None:
        """Return the next instant at which the first job of a class is promoted."""
        instants = []
        for keys in self._keys_by_class.values():
            job = self.jobs[keys[0][2]]
            instants.append(job.accepted_at_s + self._config.promote_after_s)
            if job.deadline_s is not None:
                instants.append(self._find_latest_start_s(job))
        # Slightly later, because `is_aged` compares strictly with the limit.
        later = [at_s + 0.001 for at_s in instants if at_s > now_s]
        return min(later, default=None)

    def start_pass(self, now_s: float) -> "QueuePass":
        """Return an iteration over the waiting jobs in order of rank."""
        return QueuePass.from_queue(self, now_s)

    def list_sort_keys(
        self, equivalence_class: EquivalenceClass
    ) -> list[tuple[float, float, str]]:
        """Return the keys by which the jobs inside a class are sorted."""
        return self._keys_by_class.get(equivalence_class, [])

    def list_classes(self) -> list[EquivalenceClass]:
        """Return all classes that have jobs."""
        return list(self._keys_by_class)


@attrs.define
class QueuePass:
    """One pass over the queue; after a job that can't start, its class is skipped.

    The cost of a pass grows with the number of classes and of started jobs, not with
    the number of waiting jobs.
    """

    _queue: JobQueue
    _now_s: float
    _heap: list[tuple[Rank, int, EquivalenceClass]] = attrs.field(factory=list)

    @classmethod
    def from_queue(cls, queue: JobQueue, now_s: float) -> "QueuePass":
        """Start a pass with the first job of each class."""
        made = cls(queue, now_s)
        for equivalence_class in queue.list_classes():
            made._push(equivalence_class, 0)
        return made

    def pop(self) -> tuple[PendingJob, EquivalenceClass, int] | None:
        """Return the next job, its class and its index there, or None at the end."""
        if not self._heap:
            return None
        rank, index, equivalence_class = heapq.heappop(self._heap)
        return self._queue.jobs[rank[2]], equivalence_class, index

    def resume(self, equivalence_class: EquivalenceClass, index: int) -> None:
        """Continue in a class with the job that is now at `index`."""
        self._push(equivalence_class, index)

    def _push(self, equivalence_class: EquivalenceClass, index: int) -> None:
        keys = self._queue.list_sort_keys(equivalence_class)
        if index < len(keys):
            job = self._queue.jobs[keys[index][2]]
            rank = self._queue.find_rank(job, self._now_s)
            heapq.heappush(self._heap, (rank, index, equivalence_class))


def _make_sort_key(job: PendingJob) -> tuple[float, float, str]:
    deadline_s = math.inf if job.deadline_s is None else job.deadline_s
    return (deadline_s, job.accepted_at_s, job.job_id)

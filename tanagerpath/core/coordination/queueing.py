"""Jobs on their way into the scheduler."""

import collections

from returns.pipeline import is_successful

from tanagerpath.core.coordination.conclusions import ConclusionTerms
from tanagerpath.core.coordination.failures import DeadlinePassed
from tanagerpath.core.coordination.messages import (
    CountEvent,
    Effect,
    Instant,
    Propose,
)
from tanagerpath.core.coordination.registers import AttemptRegister, RetryQueue
from tanagerpath.core.model import JobState
from tanagerpath.core.placement import PendingJob, Scheduler
from tanagerpath.core.state import JobRecord, RequestCancel, SystemState

__all__ = ["JobQueue"]

DEADLINE_CHECK_INTERVAL_S = 1.0


class JobQueue:
    """Submits accepted jobs, lets failed ones wait and refuses late ones.

    Parameters
    ----------
    state : SystemState
        Replicated state.
    scheduler : Scheduler
        Takes the jobs.
    terms : ConclusionTerms
        How refused jobs end.
    now : Instant
        Instant of taking over.
    """

    def __init__(
        self,
        state: SystemState,
        scheduler: Scheduler,
        terms: ConclusionTerms,
        now: Instant,
    ) -> None:
        self._state = state
        self._scheduler = scheduler
        self._terms = terms
        self._taken_job_ids: set[str] = set()
        self._failed_starts: collections.Counter[str] = collections.Counter()
        self._refuted_starts: collections.Counter[str] = collections.Counter()
        self._retries = RetryQueue()
        self._check_deadlines_at_s = now.now_s

    def make_pending(self, record: JobRecord, now: Instant) -> PendingJob:
        """Describe a job with its instants on the scheduler's clock."""
        offset_s = now.now_s - now.unix_s
        deadline = record.request.deadline_unix_s
        return PendingJob(
            job_id=record.job_id,
            request=record.request,
            accepted_at_s=record.accepted_at_unix_s + offset_s,
            deadline_s=None if deadline is None else deadline + offset_s,
        )

    def take(self, record: JobRecord, now: Instant) -> list[Effect]:
        """Submit a newly accepted job; a second time has no effect.

        Two entries may have had the same job accepted at the same time.
        """
        if record.state is not JobState.ACCEPTED:
            return []
        if record.job_id in self._taken_job_ids:
            return []
        return self._submit(record, now)

    def note_running(self, job_id: str) -> None:
        """Note a job that an earlier leader has started."""
        self._taken_job_ids.add(job_id)

    def count_failed_start(self, job_id: str, refuted: bool) -> None:
        """Count an attempt that ended without a start.

        Parameters
        ----------
        job_id : str
            The job.
        refuted : bool
            Whether its members were told to start and refused; else they could not be
            reserved, which says nothing about the job.
        """
        self._failed_starts[job_id] += 1
        self._refuted_starts[job_id] += int(refuted)

    def find_refuted_starts(self, job_id: str) -> int:
        """Return the recorded attempts that ended without a start."""
        return self._refuted_starts[job_id]

    def retry(self, job_id: str, now: Instant) -> None:
        """Queue a job again after a pause that grows with its failed starts."""
        self._retries.add(job_id, self._failed_starts[job_id], now.now_s)

    def is_pausing(self, job_id: str) -> bool:
        """Tell whether a job waits for its next try."""
        return job_id in self._retries

    def forget(self, job_id: str) -> None:
        """Forget a job that has ended."""
        self._scheduler.withdraw(job_id)
        self._taken_job_ids.discard(job_id)
        self._failed_starts.pop(job_id, None)
        self._refuted_starts.pop(job_id, None)

    def tick(self, attempts: AttemptRegister, now: Instant) -> list[Effect]:
        """Submit jobs whose pause is over and refuse jobs that are too late."""
        effects: list[Effect] = []
        for job_id in self._retries.take_due(now.now_s):
            record = self._state.jobs.get(job_id)
            if record is not None and record.state is JobState.ACCEPTED:
                effects += self._submit(record, now)
        if now.now_s >= self._check_deadlines_at_s:
            self._check_deadlines_at_s = now.now_s + DEADLINE_CHECK_INTERVAL_S
            effects += self._refuse_late(attempts, now)
        return effects

    def _submit(self, record: JobRecord, now: Instant) -> list[Effect]:
        self._taken_job_ids.add(record.job_id)
        if record.cancel_requested:
            # The request was committed just before the end of the attempt that it was
            # to stop, so it ends the job only now.
            expires_at_unix_s = now.unix_s + self._terms.job_retention_s
            return [Propose(RequestCancel((record.job_id,), expires_at_unix_s))]
        result = self._scheduler.submit(self.make_pending(record, now), now.now_s)
        if is_successful(result):
            return []
        finish = self._terms.refuse(record, result.failure(), now)
        return [Propose(finish), CountEvent(result.failure().type_name)]

    def _refuse_late(self, attempts: AttemptRegister, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for record in self._state.list_open_jobs():
            deadline = record.request.deadline_unix_s
            if deadline is None or now.unix_s < deadline:
                continue
            if record.assignment is not None or record.job_id in attempts.by_job:
                continue
            self._scheduler.withdraw(record.job_id)
            refusal = DeadlinePassed(not_run=not record.may_have_run)
            effects.append(Propose(self._terms.refuse(record, refusal, now)))
        return effects

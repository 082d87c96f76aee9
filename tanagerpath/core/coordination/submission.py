"""Submission of jobs to the scheduler."""

import collections

from returns.pipeline import is_successful

from tanagerpath.core.coordination.conclusions import ConclusionConfig
from tanagerpath.core.coordination.failures import DeadlinePassed
from tanagerpath.core.coordination.messages import (
    CountEvent,
    Effect,
    Instant,
    Propose,
)
from tanagerpath.core.coordination.registry import AttemptRegistry, RetryQueue
from tanagerpath.core.model import JobState
from tanagerpath.core.placement import PendingJob, Scheduler
from tanagerpath.core.state import JobRecord, RequestCancel, SystemState

__all__ = ["JobSubmitter"]

DEADLINE_CHECK_INTERVAL_S = 1.0


class JobSubmitter:
    """Submits accepted jobs, delays retries and refuses jobs past their deadline.

    Parameters
    ----------
    state : SystemState
        Replicated state.
    scheduler : Scheduler
        Receives the jobs.
    config : ConclusionConfig
        Limits that govern how refused jobs end.
    now : Instant
        Time at which this leader took over.
    """

    def __init__(
        self,
        state: SystemState,
        scheduler: Scheduler,
        config: ConclusionConfig,
        now: Instant,
    ) -> None:
        self._state = state
        self._scheduler = scheduler
        self._config = config
        self._submitted_job_ids: set[str] = set()
        self._failed_starts: collections.Counter[str] = collections.Counter()
        self._refuted_starts: collections.Counter[str] = collections.Counter()
        self._retries = RetryQueue()
        self._check_deadlines_at_s = now.now_s

    def make_pending_job(self, record: JobRecord, now: Instant) -> PendingJob:
        """Convert a job record, with its times on the scheduler's clock."""
        offset_s = now.now_s - now.unix_s
        deadline = record.request.deadline_unix_s
        return PendingJob(
            job_id=record.job_id,
            request=record.request,
            accepted_at_s=record.accepted_at_unix_s + offset_s,
            deadline_s=None if deadline is None else deadline + offset_s,
        )

    def submit(self, record: JobRecord, now: Instant) -> list[Effect]:
        """Submit a newly accepted job; idempotent.

        Two entries may accept the same job at the same time.
        """
        if record.state is not JobState.ACCEPTED:
            return []
        if record.job_id in self._submitted_job_ids:
            return []
        return self._submit_to_scheduler(record, now)

    def mark_submitted(self, job_id: str) -> None:
        """Mark a job that an earlier leader started as submitted."""
        self._submitted_job_ids.add(job_id)

    def count_failed_start(self, job_id: str, refuted: bool) -> None:
        """Count an attempt that ended without a start.

        Parameters
        ----------
        job_id : str
            The job.
        refuted : bool
            Whether the start was recorded and no member started. False if the
            reservation failed, which says nothing about the job.
        """
        self._failed_starts[job_id] += 1
        self._refuted_starts[job_id] += int(refuted)

    def find_refuted_starts(self, job_id: str) -> int:
        """Return the number of recorded attempts that ended without a start."""
        return self._refuted_starts[job_id]

    def retry(self, job_id: str, now: Instant) -> None:
        """Queue a job again after a delay that grows with its failed starts."""
        self._retries.add(job_id, self._failed_starts[job_id], now.now_s)

    def is_in_backoff(self, job_id: str) -> bool:
        """Tell whether a job waits for its retry delay."""
        return job_id in self._retries

    def remove(self, job_id: str) -> None:
        """Remove a job that has ended."""
        self._scheduler.withdraw(job_id)
        self._submitted_job_ids.discard(job_id)
        self._failed_starts.pop(job_id, None)
        self._refuted_starts.pop(job_id, None)

    def tick(self, attempts: AttemptRegistry, now: Instant) -> list[Effect]:
        """Submit jobs due for a retry and refuse jobs past their deadline."""
        effects: list[Effect] = []
        for job_id in self._retries.pop_due(now.now_s):
            record = self._state.jobs.get(job_id)
            if record is not None and record.state is JobState.ACCEPTED:
                effects += self._submit_to_scheduler(record, now)
        if now.now_s >= self._check_deadlines_at_s:
            self._check_deadlines_at_s = now.now_s + DEADLINE_CHECK_INTERVAL_S
            effects += self._refuse_past_deadline(attempts, now)
        return effects

    def _submit_to_scheduler(self, record: JobRecord, now: Instant) -> list[Effect]:
        self._submitted_job_ids.add(record.job_id)
        if record.cancel_requested:
            # The request was committed after the attempt's end was proposed, so it only
            # marked the job; a second one ends it.
            expires_at_unix_s = now.unix_s + self._config.job_retention_s
            return [Propose(RequestCancel((record.job_id,), expires_at_unix_s))]
        result = self._scheduler.submit(self.make_pending_job(record, now), now.now_s)
        if is_successful(result):
            return []
        finish = self._config.refuse(record, result.failure(), now)
        return [Propose(finish), CountEvent(result.failure().type_name)]

    def _refuse_past_deadline(
        self, attempts: AttemptRegistry, now: Instant
    ) -> list[Effect]:
        effects: list[Effect] = []
        for record in self._state.list_open_jobs():
            deadline = record.request.deadline_unix_s
            if deadline is None or now.unix_s < deadline:
                continue
            if record.assignment is not None or record.job_id in attempts.by_job:
                continue
            self._scheduler.withdraw(record.job_id)
            refusal = DeadlinePassed(not_run=not record.may_have_run)
            effects.append(Propose(self._config.refuse(record, refusal, now)))
        return effects

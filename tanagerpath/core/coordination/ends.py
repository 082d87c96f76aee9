"""Ends of attempts: conclusion, release of accelerators and the next try."""

from tanagerpath.core.coordination import failures
from tanagerpath.core.coordination.attempts import Attempt, AttemptPhase
from tanagerpath.core.coordination.conclusions import ConclusionTerms, conclude
from tanagerpath.core.coordination.messages import (
    Effect,
    Instant,
    JobPeriod,
    Propose,
    RecordPeriod,
    Respond,
)
from tanagerpath.core.coordination.queueing import JobQueue
from tanagerpath.core.coordination.registers import AttemptRegister
from tanagerpath.core.model import JobState
from tanagerpath.core.placement import Scheduler
from tanagerpath.core.protocol.upstreams import ReportReply
from tanagerpath.core.state import SystemState

__all__ = ["AttemptEnds"]


class AttemptEnds:
    """Concludes attempts that are answered or stopped, and lets their jobs go on.

    Parameters
    ----------
    state : SystemState
        Replicated state.
    scheduler : Scheduler
        Told when accelerators are free again.
    attempts : AttemptRegister
        Attempts in progress.
    queue : JobQueue
        Takes jobs that are tried again.
    terms : ConclusionTerms
        Limits that govern how jobs end.
    """

    def __init__(
        self,
        state: SystemState,
        scheduler: Scheduler,
        attempts: AttemptRegister,
        queue: JobQueue,
        terms: ConclusionTerms,
    ) -> None:
        self._state = state
        self._scheduler = scheduler
        self._attempts = attempts
        self._queue = queue
        self._terms = terms

    def advance(self, attempt: Attempt, now: Instant) -> list[Effect]:
        """Conclude an attempt that is answered or stopped everywhere."""
        if attempt.phase is AttemptPhase.CONCLUDING:
            return []
        if attempt.is_answered and attempt.recorded:
            return self._conclude(attempt, now)
        if attempt.phase is AttemptPhase.STOPPING and attempt.all_gone:
            if attempt.recorded:
                return self._conclude(attempt, now)
            if not attempt.record_proposed:
                return self._drop_unrecorded(attempt, now)
        return []

    def take_conclusion(self, job_id: str, now: Instant) -> list[Effect]:
        """Follow a committed command that ended an attempt or a job."""
        record = self._state.jobs.get(job_id)
        if record is None:
            return []
        effects: list[Effect] = []
        attempt = self._attempts.find(job_id)
        if attempt is not None and attempt.phase is AttemptPhase.CONCLUDING:
            effects += self._release(attempt, now)
        if record.state is JobState.ACCEPTED and job_id not in self._attempts.by_job:
            self._queue.retry(job_id, now)
        if record.state.is_final:
            self._queue.forget(job_id)
            elapsed_s = now.unix_s - record.accepted_at_unix_s
            effects.append(
                RecordPeriod.from_request(
                    JobPeriod.COMPLETION, record.request, elapsed_s
                )
            )
        return effects

    def _release(self, attempt: Attempt, now: Instant) -> list[Effect]:
        self._attempts.remove(attempt)
        self._scheduler.record_finished(attempt.job_id, now.now_s)
        return [Respond(token, ReportReply(True)) for token in attempt.report_tokens]

    def _drop_unrecorded(self, attempt: Attempt, now: Instant) -> list[Effect]:
        """Forget an attempt of which no start was ever sent."""
        effects = self._release(attempt, now)
        job_id = attempt.job_id
        self._queue.count_failed_start(job_id, refuted=False)
        record = self._state.jobs.get(job_id)
        if record is not None and record.state is JobState.ACCEPTED:
            self._queue.retry(job_id, now)
        return effects

    def _conclude(self, attempt: Attempt, now: Instant) -> list[Effect]:
        record = self._state.jobs.get(attempt.job_id)
        if record is None:
            return self._release(attempt, now)
        preempted = isinstance(attempt.reason, failures.JobPreempted)
        if attempt.all_refuted and not attempt.is_answered and not preempted:
            self._queue.count_failed_start(attempt.job_id, refuted=True)
        attempt.phase = AttemptPhase.CONCLUDING
        document = self._state.documents.get(record.request.service)
        command = conclude(
            attempt,
            record,
            document.document if document else None,
            self._queue.find_refuted_starts(attempt.job_id),
            self._terms,
            now,
        )
        return [Propose(command)]

"""End of attempts: conclusion, release of accelerators and retry."""

from tanagerpath.core.coordination import failures
from tanagerpath.core.coordination.attempts import Attempt, AttemptPhase
from tanagerpath.core.coordination.conclusions import ConclusionConfig, conclude
from tanagerpath.core.coordination.messages import (
    Effect,
    Instant,
    JobPeriod,
    Propose,
    RecordPeriod,
    Respond,
)
from tanagerpath.core.coordination.registry import AttemptRegistry
from tanagerpath.core.coordination.submission import JobSubmitter
from tanagerpath.core.model import JobState
from tanagerpath.core.placement import Scheduler
from tanagerpath.core.protocol.upstreams import ReportReply
from tanagerpath.core.state import SystemState

__all__ = ["AttemptFinalizer"]


class AttemptFinalizer:
    """Concludes answered or stopped attempts and retries or ends their jobs.

    Parameters
    ----------
    state : SystemState
        Replicated state.
    scheduler : Scheduler
        Notified when accelerators are free again.
    attempts : AttemptRegistry
        Attempts in progress.
    submitter : JobSubmitter
        Receives jobs to retry.
    config : ConclusionConfig
        Limits that govern how jobs end.
    """

    def __init__(
        self,
        state: SystemState,
        scheduler: Scheduler,
        attempts: AttemptRegistry,
        submitter: JobSubmitter,
        config: ConclusionConfig,
    ) -> None:
        self._state = state
        self._scheduler = scheduler
        self._attempts = attempts
        self._submitter = submitter
        self._config = config

    def finalize_if_done(self, attempt: Attempt, now: Instant) -> list[Effect]:
        """Conclude an attempt that is answered or whose members have all stopped."""
        if attempt.phase is AttemptPhase.CONCLUDING:
            return []
        if attempt.is_answered and attempt.recorded:
            return self._conclude(attempt, now)
        if attempt.phase is AttemptPhase.STOPPING and attempt.all_released:
            if attempt.recorded:
                return self._conclude(attempt, now)
            if not attempt.record_proposed:
                return self._discard_unrecorded(attempt, now)
        return []

    def handle_concluded(self, job_id: str, now: Instant) -> list[Effect]:
        """Process a committed command that ended an attempt or a job."""
        record = self._state.jobs.get(job_id)
        if record is None:
            return []
        effects: list[Effect] = []
        attempt = self._attempts.find(job_id)
        if attempt is not None and attempt.phase is AttemptPhase.CONCLUDING:
            effects += self._release(attempt, now)
        if record.state is JobState.ACCEPTED and job_id not in self._attempts.by_job:
            self._submitter.retry(job_id, now)
        if record.state.is_final:
            self._submitter.remove(job_id)
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

    def _discard_unrecorded(self, attempt: Attempt, now: Instant) -> list[Effect]:
        """Discard an attempt whose start was never recorded."""
        effects = self._release(attempt, now)
        job_id = attempt.job_id
        self._submitter.count_failed_start(job_id, refuted=False)
        record = self._state.jobs.get(job_id)
        if record is not None and record.state is JobState.ACCEPTED:
            self._submitter.retry(job_id, now)
        return effects

    def _conclude(self, attempt: Attempt, now: Instant) -> list[Effect]:
        record = self._state.jobs.get(attempt.job_id)
        if record is None:
            return self._release(attempt, now)
        preempted = isinstance(attempt.reason, failures.JobPreempted)
        if attempt.all_refuted and not attempt.is_answered and not preempted:
            self._submitter.count_failed_start(attempt.job_id, refuted=True)
        attempt.phase = AttemptPhase.CONCLUDING
        document = self._state.documents.get(record.request.service)
        command = conclude(
            attempt,
            record,
            document.document if document else None,
            self._submitter.find_refuted_starts(attempt.job_id),
            self._config,
            now,
        )
        return [Propose(command)]

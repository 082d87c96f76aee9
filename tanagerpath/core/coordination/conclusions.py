"""Decides what follows the end of an attempt."""

import attrs

from tanagerpath.core.coordination import failures
from tanagerpath.core.coordination.attempts import Attempt
from tanagerpath.core.coordination.messages import Instant
from tanagerpath.core.model import JobState, ServiceDocument
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.state import (
    Command,
    EndAttempt,
    FinishJob,
    JobRecord,
    RecordCheckpoint,
    RecordStartRefuted,
)
from tanagerpath.core.state.failures import AnswerTooLarge
from tanagerpath.errors import Failure

__all__ = ["ConclusionConfig", "conclude"]

DEFAULT_MAX_ATTEMPTS = 4


@attrs.frozen
class ConclusionConfig:
    """Limits that govern how jobs end.

    Attributes
    ----------
    job_retention_s : float
        Time for which the record of an ended job is kept.
    max_unstarted_attempts : int
        Recorded attempts that may end without a start before the job is refused.
    """

    job_retention_s: float = 86_400.0
    max_unstarted_attempts: int = 6

    def refuse(self, record: JobRecord, reason: Failure, now: Instant) -> FinishJob:
        """End a job without a recorded attempt."""
        error = ErrorBody.from_failure(reason)
        not_run = reason.not_run and not record.may_have_run
        state = JobState.REFUSED_NOT_RUN if not_run else JobState.FAILED
        return FinishJob(
            job_id=record.job_id,
            attempt=None,
            state=state,
            expires_at_unix_s=now.unix_s + self.job_retention_s,
            error=attrs.evolve(error, not_run=not_run),
        )


def conclude(
    attempt: Attempt,
    record: JobRecord,
    document: ServiceDocument | None,
    unstarted: int,
    config: ConclusionConfig,
    now: Instant,
) -> Command:
    """Decide what follows an attempt that has ended on all members.

    Parameters
    ----------
    attempt : Attempt
        Answered, or stopped with all members released.
    record : JobRecord
        The job in the replicated state.
    document : ServiceDocument or None
        Declaration of the service.
    unstarted : int
        Attempts of the job that this leader saw end without a start.
    config : ConclusionConfig
        Limits.
    now : Instant
        Current time.

    Returns
    -------
    Command
        The command that ends the attempt, and perhaps the job.
    """
    expires_at_unix_s = now.unix_s + config.job_retention_s
    if attempt.is_answered:
        return _finish_answered(attempt, document, expires_at_unix_s)
    never_ran = attempt.all_refuted and not record.ran_before
    last = attempt.reason.message if attempt.reason else "stopped"

    def finish(state: JobState, reason: Failure) -> FinishJob:
        error = attrs.evolve(ErrorBody.from_failure(reason), not_run=never_ran)
        return FinishJob(
            attempt.job_id,
            attempt.attempt_id,
            state,
            expires_at_unix_s,
            error=error,
        )

    if record.cancel_requested or isinstance(attempt.reason, failures.JobCancelled):
        return finish(JobState.CANCELLED, failures.JobCancelled())
    if attempt.all_refuted:
        if unstarted < config.max_unstarted_attempts:
            return RecordStartRefuted(attempt.job_id, attempt.attempt_id)
        state = JobState.REFUSED_NOT_RUN if never_ran else JobState.FAILED
        return finish(
            state, failures.StartFailedEverywhere(attempts=unstarted, last=last)
        )
    if not record.request.idempotent:
        if isinstance(attempt.reason, failures.MemberFailed):
            return finish(JobState.FAILED, attempt.reason)
        return finish(JobState.UNKNOWN, failures.OutcomeUnknown(last=last))
    return _end_idempotent(attempt, record, document, finish)


def _finish_answered(
    attempt: Attempt, document: ServiceDocument | None, expires_at_unix_s: float
) -> FinishJob:
    answer_bytes = len((attempt.answer or "").encode())
    if document is not None and answer_bytes > document.max_answer_bytes:
        reason = AnswerTooLarge(
            answer_bytes=answer_bytes, max_answer_bytes=document.max_answer_bytes
        )
        return FinishJob(
            attempt.job_id,
            attempt.attempt_id,
            JobState.FAILED,
            expires_at_unix_s,
            error=ErrorBody.from_failure(reason),
        )
    return FinishJob(
        attempt.job_id,
        attempt.attempt_id,
        JobState.ANSWERED,
        expires_at_unix_s,
        answer=attempt.answer,
        answer_sha256=attempt.answer_sha256,
    )


def _end_idempotent(attempt, record, document, finish) -> Command:
    if isinstance(attempt.reason, failures.JobPreempted):
        if attempt.all_checkpointed:
            names = tuple(member.checkpoint for member in attempt.members)
            return RecordCheckpoint(attempt.job_id, attempt.attempt_id, names)
        return EndAttempt(attempt.job_id, attempt.attempt_id, counts=False)
    attempts = record.counted_attempts + 1
    limit = document.max_attempts if document else DEFAULT_MAX_ATTEMPTS
    if attempts < limit:
        return EndAttempt(attempt.job_id, attempt.attempt_id, counts=True)
    last = attempt.reason.message if attempt.reason else "stopped"
    return finish(
        JobState.FAILED, failures.AttemptsExhausted(attempts=attempts, last=last)
    )

"""Registry of attempts in progress, and queue of jobs that wait for a retry."""

import attrs

from tanagerpath.core.coordination.attempts import Attempt

__all__ = ["AttemptRegistry", "RetryQueue"]

RETRY_BACKOFF_BASE_S = 0.1
RETRY_BACKOFF_MAX_S = 5.0
MAX_BACKOFF_DOUBLINGS = 10


class AttemptRegistry:
    """Attempts in progress by job and by upstream."""

    def __init__(self) -> None:
        self._by_job: dict[str, Attempt] = {}
        self._jobs_by_upstream: dict[str, dict[str, None]] = {}

    @property
    def by_job(self) -> dict[str, Attempt]:
        """Attempts by job id; callers must not modify the dict."""
        return self._by_job

    def add(self, attempt: Attempt) -> None:
        """Add an attempt."""
        self._by_job[attempt.job_id] = attempt
        for upstream_id in attempt.assignment.upstream_ids:
            jobs = self._jobs_by_upstream.setdefault(upstream_id, {})
            jobs[attempt.job_id] = None

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt."""
        del self._by_job[attempt.job_id]
        for upstream_id in set(attempt.assignment.upstream_ids):
            jobs = self._jobs_by_upstream[upstream_id]
            del jobs[attempt.job_id]
            if not jobs:
                del self._jobs_by_upstream[upstream_id]

    def find(self, job_id: str) -> Attempt | None:
        """Return the attempt of a job, or None."""
        return self._by_job.get(job_id)

    def list_all(self) -> list[Attempt]:
        """Return all attempts."""
        return list(self._by_job.values())

    def list_upstreams(self) -> list[str]:
        """Return the upstreams with at least one attempt."""
        return list(self._jobs_by_upstream)

    def list_on_upstream(self, upstream_id: str) -> list[Attempt]:
        """Return the attempts with a member on an upstream."""
        jobs = self._jobs_by_upstream.get(upstream_id, ())
        return [self._by_job[job_id] for job_id in jobs]


@attrs.frozen
class _Retry:
    due_at_s: float
    job_id: str


class RetryQueue:
    """Jobs that wait for an exponential backoff before they are queued again."""

    def __init__(self) -> None:
        self._retries: list[_Retry] = []

    def __contains__(self, job_id: str) -> bool:
        return any(retry.job_id == job_id for retry in self._retries)

    def add(self, job_id: str, failed_starts: int, now_s: float) -> None:
        """Schedule the retry of a job.

        Parameters
        ----------
        job_id : str
            The job.
        failed_starts : int
            Attempts that ended without a start; each doubles the delay.
        now_s : float
            Current time.
        """
        doublings = min(failed_starts, MAX_BACKOFF_DOUBLINGS)
        delay_s = min(RETRY_BACKOFF_BASE_S * 2**doublings, RETRY_BACKOFF_MAX_S)
        self._retries.append(_Retry(now_s + delay_s, job_id))

    def pop_due(self, now_s: float) -> list[str]:
        """Remove and return the jobs whose delay is over."""
        due = [retry.job_id for retry in self._retries if retry.due_at_s <= now_s]
        if due:
            self._retries = [r for r in self._retries if r.due_at_s > now_s]
        return due

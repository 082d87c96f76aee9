"""Health of upstreams and jobs, judged by failed starts."""

import attrs

from tanagerpath.core.placement.config import SchedulerConfig

__all__ = ["HealthTracker"]


@attrs.define
class _UpstreamHealth:
    failed_jobs: dict[str, float] = attrs.field(factory=dict)
    paused_until_s: float = 0.0
    quarantined: bool = False
    probes: int = 0
    next_probe_s: float = 0.0


@attrs.define
class _JobHealth:
    failed_upstreams: dict[str, float] = attrs.field(factory=dict)
    suspect: bool = False
    backoff_until_s: float = 0.0


@attrs.define
class HealthTracker:
    """Counts failed starts by upstream and by job.

    An upstream is paused after each failure and quarantined once enough distinct
    jobs failed on it; a healthy probe ends the quarantine. A job that failed on
    enough distinct upstreams is a suspect: its failures no longer count against any
    upstream, and its retries back off exponentially.
    """

    _config: SchedulerConfig
    _upstreams: dict[str, _UpstreamHealth] = attrs.field(factory=dict)
    _jobs: dict[str, _JobHealth] = attrs.field(factory=dict)

    def record_failure(self, job_id: str, upstream_id: str, now_s: float) -> bool:
        """Count a failed start; return whether any quarantine changed."""
        self._expire_job_failures(now_s)
        job = self._jobs.setdefault(job_id, _JobHealth())
        job.failed_upstreams[upstream_id] = now_s
        if len(job.failed_upstreams) >= self._config.upstreams_to_suspect_job:
            return self._mark_suspect(job_id, job, now_s)
        upstream = self._upstreams.setdefault(upstream_id, _UpstreamHealth())
        upstream.failed_jobs[job_id] = now_s
        return self._pause(upstream, now_s)

    def record_success(self, job_id: str, upstream_id: str) -> bool:
        """Clear the failures of an upstream after a success; return if there were any.

        A success does not end a quarantine: the job may have started before it.
        """
        self._jobs.pop(job_id, None)
        upstream = self._upstreams.get(upstream_id)
        if upstream is None or upstream.quarantined:
            return False
        del self._upstreams[upstream_id]
        return True

    def record_probe(self, upstream_id: str, healthy: bool, now_s: float) -> bool:
        """Record a probe; return whether a quarantine ended."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is None or not upstream.quarantined:
            return False
        if healthy:
            del self._upstreams[upstream_id]
            return True
        upstream.probes += 1
        interval_s = self._config.probe_interval_s * 2.0 ** min(upstream.probes, 16)
        limit_s = self._config.max_probe_interval_s
        upstream.next_probe_s = now_s + min(interval_s, limit_s)
        return False

    def forget_upstream(self, upstream_id: str) -> None:
        """Drop the state of an upstream."""
        self._upstreams.pop(upstream_id, None)

    def forget_job(self, job_id: str) -> None:
        """Drop the state of a job."""
        self._jobs.pop(job_id, None)

    def is_quarantined(self, upstream_id: str) -> bool:
        """Whether the upstream gets no work until a probe succeeds."""
        upstream = self._upstreams.get(upstream_id)
        return upstream is not None and upstream.quarantined

    def has_failures(self, upstream_id: str) -> bool:
        """Whether starts failed on the upstream since its last success."""
        return upstream_id in self._upstreams

    def is_paused(self, upstream_id: str, now_s: float) -> bool:
        """Whether the upstream is quarantined or in a pause after a failure."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return False
        return upstream.quarantined or upstream.paused_until_s > now_s

    def is_job_backing_off(self, job_id: str, now_s: float) -> bool:
        """Whether a suspect job has to wait before its next start."""
        job = self._jobs.get(job_id)
        return job is not None and job.backoff_until_s > now_s

    def is_job_suspect(self, job_id: str) -> bool:
        """Whether a job failed on enough distinct upstreams to be suspect."""
        job = self._jobs.get(job_id)
        return job is not None and job.suspect

    def list_avoided_upstreams(self, job_id: str, now_s: float) -> tuple[str, ...]:
        """Return the upstreams that a job avoids because it failed there recently.

        The time is bounded: a fleet may have too few upstreams to make a job a suspect,
        and a job that avoided all of them for ever would never end.
        """
        job = self._jobs.get(job_id)
        if job is None or job.suspect:
            return ()
        horizon_s = now_s - self._config.avoid_failed_upstream_s
        failed = job.failed_upstreams.items()
        return tuple(name for name, failed_s in failed if failed_s > horizon_s)

    def list_probe_candidates(self, now_s: float) -> tuple[str, ...]:
        """Return quarantined upstreams that are due for a probe."""
        return tuple(
            name
            for name, upstream in self._upstreams.items()
            if upstream.quarantined and upstream.next_probe_s <= now_s
        )

    def find_wake_up_s(self, now_s: float) -> float | None:
        """Return the next instant at which a pause ends or a probe is due."""
        instants = [
            upstream.next_probe_s if upstream.quarantined else upstream.paused_until_s
            for upstream in self._upstreams.values()
        ]
        instants += [job.backoff_until_s for job in self._jobs.values()]
        avoid_s = self._config.avoid_failed_upstream_s
        for job in self._jobs.values():
            if not job.suspect:
                instants += [at_s + avoid_s for at_s in job.failed_upstreams.values()]
        return min((at_s for at_s in instants if at_s > now_s), default=None)

    def _pause(self, upstream: _UpstreamHealth, now_s: float) -> bool:
        failures = len(upstream.failed_jobs)
        pause_s = self._config.initial_backoff_s * 2.0 ** min(failures - 1, 16)
        upstream.paused_until_s = now_s + min(pause_s, self._config.max_backoff_s)
        if upstream.quarantined or failures < self._config.failures_to_quarantine:
            return False
        upstream.quarantined = True
        upstream.probes = 0
        upstream.next_probe_s = now_s + self._config.probe_interval_s
        return True

    def _mark_suspect(self, job_id: str, job: _JobHealth, now_s: float) -> bool:
        job.suspect = True
        tries = len(job.failed_upstreams) - self._config.upstreams_to_suspect_job
        pause_s = self._config.initial_backoff_s * 2.0 ** min(tries + 1, 16)
        job.backoff_until_s = now_s + min(pause_s, self._config.max_backoff_s)
        changed = False
        for upstream_id in job.failed_upstreams:
            upstream = self._upstreams.get(upstream_id)
            if upstream is not None:
                changed |= self._retract_failure(upstream_id, upstream, job_id)
        return changed

    def _retract_failure(
        self, upstream_id: str, upstream: _UpstreamHealth, job_id: str
    ) -> bool:
        upstream.failed_jobs.pop(job_id, None)
        if not upstream.failed_jobs:
            del self._upstreams[upstream_id]
            return upstream.quarantined
        if len(upstream.failed_jobs) >= self._config.failures_to_quarantine:
            return False
        was_quarantined = upstream.quarantined
        upstream.quarantined = False
        return was_quarantined

    def _expire_job_failures(self, now_s: float) -> None:
        horizon_s = now_s - self._config.failure_retention_s
        for job_id in [
            job_id
            for job_id, job in self._jobs.items()
            if max(job.failed_upstreams.values()) < horizon_s
        ]:
            del self._jobs[job_id]

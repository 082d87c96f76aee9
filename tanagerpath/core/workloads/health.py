"""Quarantine of upstreams on which runs fail or stall."""

import attrs

__all__ = ["HealthTerms", "UpstreamHealth"]


@attrs.frozen(kw_only=True)
class HealthTerms:
    """Settings of the quarantine of upstreams.

    Attributes
    ----------
    failures_to_quarantine : int
        Workloads with consecutive failures after which an upstream gets no new runs.
    quarantine_s : float
        Seconds until a single task may probe the upstream.
    """

    failures_to_quarantine: int = 2
    quarantine_s: float = 4.0


@attrs.define(eq=False)
class UpstreamHealth:
    """Failures on one upstream since its last success.

    A task that fails everywhere must not quarantine each upstream that it runs on, so
    only failures of different workloads count.
    """

    terms: HealthTerms
    failed_workloads: dict[str, int] = attrs.Factory(dict)
    quarantined_until_s: float = 0.0

    def note_success(self) -> None:
        """Record a successful run."""
        self.failed_workloads.clear()
        self.quarantined_until_s = 0.0

    def note_failure(self, workload_id: str, now_s: float) -> bool:
        """Record a failed or stalled run; return whether a quarantine starts."""
        count = self.failed_workloads.get(workload_id, 0) + 1
        self.failed_workloads[workload_id] = count
        if len(self.failed_workloads) < self.terms.failures_to_quarantine:
            return False
        began = self.quarantined_until_s <= now_s
        self.quarantined_until_s = now_s + self.terms.quarantine_s
        return began

    @property
    def is_suspect(self) -> bool:
        """Whether a run has failed here since the last success."""
        return bool(self.failed_workloads)

    def is_quarantined(self, now_s: float) -> bool:
        """Return whether the upstream gets no new runs."""
        return now_s < self.quarantined_until_s

    @property
    def is_on_probation(self) -> bool:
        """Whether it was quarantined and no run has succeeded since."""
        return self.quarantined_until_s > 0.0

"""Which upstreams fail or stall what they are given."""

import attrs

__all__ = ["HealthTerms", "UpstreamHealth"]


@attrs.frozen(kw_only=True)
class HealthTerms:
    """When an upstream is left alone.

    Attributes
    ----------
    failures_to_quarantine : int
        Failures of different workloads in a row after which nothing new goes there.
    quarantine_s : float
        Seconds until a single task may try it again.
    """

    failures_to_quarantine: int = 2
    quarantine_s: float = 4.0


@attrs.define(eq=False)
class UpstreamHealth:
    """Ends of runs on one upstream since its last success.

    A task that fails everywhere must not condemn the upstreams that it has visited, so
    only failures of different workloads count.
    """

    terms: HealthTerms
    failed_workloads: dict[str, int] = attrs.Factory(dict)
    quarantined_until_s: float = 0.0
    proven: bool = False

    def note_success(self) -> None:
        """Note that a run ended as done."""
        self.failed_workloads.clear()
        self.quarantined_until_s = 0.0
        self.proven = True

    def note_failure(self, workload_id: str, now_s: float) -> bool:
        """Note a failed or stalled run; return whether a quarantine begins."""
        count = self.failed_workloads.get(workload_id, 0) + 1
        self.failed_workloads[workload_id] = count
        if len(self.failed_workloads) < self.terms.failures_to_quarantine:
            return False
        began = self.quarantined_until_s <= now_s
        self.quarantined_until_s = now_s + self.terms.quarantine_s
        return began

    @property
    def is_suspect(self) -> bool:
        """Whether a run failed here since the last success."""
        return bool(self.failed_workloads)

    def is_quarantined(self, now_s: float) -> bool:
        """Return whether nothing new may go there."""
        return now_s < self.quarantined_until_s

    @property
    def is_on_probation(self) -> bool:
        """Whether it was in quarantine and has not succeeded since."""
        return self.quarantined_until_s > 0.0

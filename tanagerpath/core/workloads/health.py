"""Quarantine of upstreams on which runs fail or stall."""

import math

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

    Attributes
    ----------
    terms : HealthTerms
        Settings.
    failed_workloads : dict of str to int
        Number of failed runs by workload.
    quarantined_until_s : float
        End of the last quarantine, 0 if there was none since the last success.
    last_success_s : float
        Time of the last success, minus infinity for none.
    fails_sound_work : bool
        Whether work that has failed here was done on another upstream afterwards.
    """

    terms: HealthTerms
    failed_workloads: dict[str, int] = attrs.Factory(dict)
    quarantined_until_s: float = 0.0
    last_success_s: float = -math.inf
    fails_sound_work: bool = False

    def note_success(self, now_s: float) -> None:
        """Record a successful run."""
        self.failed_workloads.clear()
        self.quarantined_until_s = 0.0
        self.last_success_s = now_s
        self.fails_sound_work = False

    def note_failure(self, workload_id: str, now_s: float) -> bool:
        """Record a failed or stalled run; return whether a quarantine starts."""
        count = self.failed_workloads.get(workload_id, 0) + 1
        self.failed_workloads[workload_id] = count
        if len(self.failed_workloads) < self.terms.failures_to_quarantine:
            return False
        began = not self.is_quarantined(now_s)
        self.quarantined_until_s = now_s + self.terms.quarantine_s
        return began

    def discount_failures(self, workload_id: str) -> bool:
        """Forget the failures of a workload that fails everywhere.

        The quarantine ends if the other failures do not call for it.

        Returns
        -------
        bool
            False if nothing has changed, as on an upstream that fails sound work too.
        """
        if self.fails_sound_work or workload_id not in self.failed_workloads:
            return False
        del self.failed_workloads[workload_id]
        if len(self.failed_workloads) < self.terms.failures_to_quarantine:
            self.quarantined_until_s = 0.0
        return True

    @property
    def is_suspect(self) -> bool:
        """Whether a run has failed here since the last success."""
        return bool(self.failed_workloads)

    def is_quarantined(self, now_s: float) -> bool:
        """Return whether only overdue work may use it, or none."""
        return now_s < self.quarantined_until_s

    def is_excluded(self, now_s: float) -> bool:
        """Return whether it gets no new runs at all.

        While the failures may be the fault of the work, an upstream in quarantine is
        the last resort of work that has waited for too long.
        """
        return self.fails_sound_work and self.is_quarantined(now_s)

    @property
    def is_on_probation(self) -> bool:
        """Whether it was quarantined and no run has succeeded since."""
        return self.quarantined_until_s > 0.0

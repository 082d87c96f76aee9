"""Configuration of the scheduling policies."""

import attrs

__all__ = ["SchedulerConfig"]


@attrs.frozen
class SchedulerConfig:
    """Bounds and weights of the scheduling policies.

    Attributes
    ----------
    reclaim_grace_s : float
        Time that borrowed work gets for a checkpoint before a guarantee claim.
    urgent_grace_s : float
        Time that work gets for a checkpoint before an urgent job.
    spare_runs_wanted, spare_runs_required : int
        Spare runs of the largest guaranteed shape that the plan tries to keep, and
        that a new document must leave room for.
    reservations : int
        Large waiting jobs that hold a dated reservation at the same time.
    reservation_accelerators : int
        Smallest job that gets a reservation.
    large_loss_share : float
        A large job may make others lose this share of the accelerator seconds that
        it has waited.
    short_job_weight : float
        Seconds of age that a job loses for each second of estimated run time.
    batch_handicap_s : float
        Seconds of age that a batch job loses.
    promote_after_s : float
        Age at which any job counts as pressing.
    patient_margin_s : float
        A patient job counts as close to its deadline this long before the last
        instant at which it could start in time.
    failures_to_quarantine : int
        Distinct jobs whose starts failed before an upstream is quarantined.
    upstreams_to_suspect_job : int
        Distinct upstreams on which a job failed before the job itself is suspect.
    avoid_failed_upstream_s : float
        Time for which a job avoids an upstream on which it failed.
    back_off_s, back_off_limit_s : float
        First and longest pause after a failed start.
    probe_interval_s, probe_interval_limit_s : float
        First and longest time between probes of a quarantined upstream.
    failure_memory_s : float
        Time after which the failures of a job are forgotten.
    """

    reclaim_grace_s: float = 2.0
    urgent_grace_s: float = 0.5
    spare_runs_wanted: int = 2
    spare_runs_required: int = 1
    reservations: int = 6
    reservation_accelerators: int = 8
    large_loss_share: float = 0.1
    short_job_weight: float = 0.2
    batch_handicap_s: float = 600.0
    promote_after_s: float = 4 * 3600.0
    patient_margin_s: float = 60.0
    failures_to_quarantine: int = 3
    upstreams_to_suspect_job: int = 3
    avoid_failed_upstream_s: float = 5.0
    back_off_s: float = 2.0
    back_off_limit_s: float = 60.0
    probe_interval_s: float = 10.0
    probe_interval_limit_s: float = 600.0
    failure_memory_s: float = 3600.0

"""Configuration of the scheduling policies."""

import attrs

__all__ = ["SchedulerConfig"]


@attrs.frozen
class SchedulerConfig:
    """Bounds and weights of the scheduling policies.

    Attributes
    ----------
    reclaim_grace_s : float
        Time for a checkpoint when a guarantee claim or a large job preempts a job.
    urgent_grace_s : float
        Time for a checkpoint when an urgent job preempts a job.
    spare_runs_wanted, spare_runs_required : int
        Spare runs of the largest guaranteed shape that the plan tries to keep, and
        that must still fit for new guarantees to be accepted.
    max_reservations : int
        Reservations for large waiting jobs at the same time.
    min_reservation_accelerators : int
        Size from which a job counts as large and may get a reservation.
    max_large_job_loss_ratio : float
        Upper bound on the work lost by preempting for a large job, as a ratio of
        the accelerator seconds that the job has waited.
    max_preemptions_for_large_jobs : int
        Preemptions after which a job is no longer preempted for large jobs.
    short_job_weight : float
        Seconds by which a job is ranked later for each second of estimated run time.
        Any positive value raised the 99th percentile of completion in the replay.
    batch_penalty_s : float
        Seconds by which a batch job is ranked later.
    promote_after_s : float
        Age at which any job is promoted over ordinary jobs.
    deadline_margin_s : float
        A job is promoted this long before the latest start that meets its deadline.
    failures_to_quarantine : int
        Distinct jobs whose starts failed before an upstream is quarantined.
    upstreams_to_suspect_job : int
        Distinct upstreams on which a job failed before it is a suspect.
    avoid_failed_upstream_s : float
        Time for which a job avoids an upstream on which it failed.
    initial_backoff_s, max_backoff_s : float
        First and longest delay after a failed start.
    probe_interval_s, max_probe_interval_s : float
        First and longest time between probes of a quarantined upstream.
    failure_retention_s : float
        Time after which the failures of a job are dropped.
    """

    reclaim_grace_s: float = 2.0
    urgent_grace_s: float = 0.5
    spare_runs_wanted: int = 2
    spare_runs_required: int = 1
    max_reservations: int = 6
    min_reservation_accelerators: int = 8
    max_large_job_loss_ratio: float = 0.1
    max_preemptions_for_large_jobs: int = 2
    short_job_weight: float = 0.0
    batch_penalty_s: float = 600.0
    promote_after_s: float = 4 * 3600.0
    deadline_margin_s: float = 60.0
    failures_to_quarantine: int = 3
    upstreams_to_suspect_job: int = 3
    avoid_failed_upstream_s: float = 5.0
    initial_backoff_s: float = 2.0
    max_backoff_s: float = 60.0
    probe_interval_s: float = 10.0
    max_probe_interval_s: float = 600.0
    failure_retention_s: float = 3600.0

"""Shared state of the guarantee policy."""

import attrs

from tanagerpath.core.model import JobClass, JobRequest
from tanagerpath.core.placement.config import SchedulerConfig
from tanagerpath.core.placement.estimates import RunTimeEstimator
from tanagerpath.core.placement.guarantees import GuaranteePlan
from tanagerpath.core.placement.health import HealthTracker
from tanagerpath.core.placement.holds import HoldTable
from tanagerpath.core.placement.occupancy import HeldJob, Occupancy
from tanagerpath.core.placement.queueing import JobQueue
from tanagerpath.core.placement.reservations import ReservationTable
from tanagerpath.core.placement.scheduler import PendingJob

__all__ = ["PolicyContext"]


@attrs.define
class PolicyContext:
    """State of one scheduler; owned by the task that calls it.

    `progress_s` is the run time that preempted jobs have saved in checkpoints, and
    `preemptions` counts the preemptions of each job.
    `is_changed` tells whether there was an event since the last pass; `next_pass_s` is
    the instant at which the next pass is due without one.
    """

    config: SchedulerConfig
    occupancy: Occupancy
    estimator: RunTimeEstimator
    health: HealthTracker
    plan: GuaranteePlan
    queue: JobQueue
    holds: HoldTable
    reservations: ReservationTable
    quotas: dict[str, int] = attrs.field(factory=dict)
    progress_s: dict[str, float] = attrs.field(factory=dict)
    preemptions: dict[str, int] = attrs.field(factory=dict)
    now_s: float = 0.0
    is_changed: bool = True
    next_pass_s: float = 0.0

    @classmethod
    def from_config(cls, config: SchedulerConfig) -> "PolicyContext":
        """Make an empty context."""
        occupancy = Occupancy()
        estimator = RunTimeEstimator()
        health = HealthTracker(config)
        return cls(
            config=config,
            occupancy=occupancy,
            estimator=estimator,
            health=health,
            plan=GuaranteePlan(
                config, occupancy, health.is_quarantined, health.has_failures
            ),
            queue=JobQueue(config, estimator),
            holds=HoldTable(),
            reservations=ReservationTable(),
        )

    def forget_job(self, job_id: str) -> None:
        """Drop the saved progress and the preemption count of a job."""
        self.progress_s.pop(job_id, None)
        self.preemptions.pop(job_id, None)

    def is_excluded(self, upstream_id: str, request: JobRequest) -> bool:
        """Whether failed starts exclude an upstream for a request.

        Urgent jobs ignore the pauses of a few seconds: one failing job would otherwise
        pause a small fleet for longer than urgent work may wait.
        """
        if request.job_class is JobClass.URGENT:
            return self.health.is_quarantined(upstream_id)
        return self.health.is_paused(upstream_id, self.now_s)

    def is_available(self, upstream_id: str) -> bool:
        """Whether an upstream is usable and not in quarantine."""
        state = self.occupancy.states.get(upstream_id)
        if state is None or not state.is_usable:
            return False
        return not self.health.is_quarantined(upstream_id)

    def count_quota_left(self, organisation: str) -> int:
        """Return how many more accelerators an organisation may take now."""
        used = self.occupancy.usage.get(organisation, 0)
        used += self.holds.count_held(organisation)
        return self.quotas.get(organisation, 0) - used

    def estimate_end_s(self, held: HeldJob) -> float:
        """Return the estimated instant at which a placed job ends."""
        begun_s = held.placed_at_s if held.started_at_s is None else held.started_at_s
        elapsed_s = max(self.now_s - begun_s, 0.0)
        elapsed_s += self.progress_s.get(held.job.job_id, 0.0)
        request = held.job.request
        return self.now_s + self.estimator.estimate_remaining_s(request, elapsed_s)

    def estimate_end_if_placed_s(self, job: PendingJob) -> float:
        """Return the estimated instant at which a waiting job would end."""
        saved_s = self.progress_s.get(job.job_id, 0.0)
        remaining_s = self.estimator.estimate_remaining_s(job.request, saved_s)
        return self.now_s + remaining_s

    def leaves_quota_for_claims(self, job: PendingJob, accelerators: int) -> bool:
        """Whether enough quota is left for an organisation's guarantee claims.

        Claims can preempt its preemptible jobs; other jobs must leave quota for them.
        """
        request = job.request
        if request.preemptible:
            return True
        organisation = request.organisation
        non_preemptible = (
            self.occupancy.non_preemptible_usage.get(organisation, 0) + accelerators
        )
        non_preemptible += self.plan.count_unclaimed(organisation)
        return non_preemptible <= self.quotas.get(organisation, 0)

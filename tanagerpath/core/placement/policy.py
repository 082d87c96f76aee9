"""Scheduling policy with guarantees."""

import math
from collections.abc import Mapping
from typing import Self

import attrs
from returns.result import Failure as Fail
from returns.result import Result, Success

from tanagerpath.core.model import Assignment, GuaranteedShape, UpstreamCapacity
from tanagerpath.core.placement.config import SchedulerConfig
from tanagerpath.core.placement.context import PolicyContext
from tanagerpath.core.placement.decisions import (
    HOLD_TIMEOUT_S,
    PLAN_REVIEW_INTERVAL_S,
    RESERVATION_REVIEW_INTERVAL_S,
    DecisionPass,
)
from tanagerpath.core.placement.explanations import explain_job
from tanagerpath.core.placement.occupancy import HeldJob
from tanagerpath.core.placement.scheduler import (
    Decision,
    GuaranteeCannotBeMet,
    ImpossibleShape,
    PendingJob,
    QuotaTooSmall,
    Scheduler,
    UpstreamCondition,
)
from tanagerpath.errors import Failure

__all__ = ["GuaranteeScheduler"]


@attrs.define
class GuaranteeScheduler(Scheduler):
    """Keeps all guaranteed shapes reclaimable and lends them while unclaimed.

    The policy's design note is `docs/policy.md`.
    """

    _context: PolicyContext

    @classmethod
    def from_config(cls, config: SchedulerConfig) -> Self:
        """Make the policy without upstreams, jobs or guarantees."""
        return cls(PolicyContext.from_config(config))

    def update_upstream(
        self, capacity: UpstreamCapacity, condition: UpstreamCondition, now_s: float
    ) -> None:
        """See `Scheduler`."""
        context = self._context
        context.now_s = now_s
        state = context.occupancy.states.get(capacity.upstream_id)
        if state is not None and (state.capacity, state.condition) == (
            capacity,
            condition,
        ):
            return
        context.occupancy.update_upstream(capacity, condition)
        context.reservations.remove_on(capacity.upstream_id)
        context.plan.is_stale = True
        context.is_changed = True

    def remove_upstream(self, upstream_id: str) -> None:
        """See `Scheduler`."""
        context = self._context
        context.occupancy.remove_upstream(upstream_id)
        context.health.forget_upstream(upstream_id)
        context.reservations.remove_on(upstream_id)
        context.plan.is_stale = True
        context.is_changed = True

    def update_guarantees(
        self,
        guarantees: Mapping[str, tuple[GuaranteedShape, ...]],
        quotas: Mapping[str, int],
    ) -> None:
        """See `Scheduler`."""
        self._context.quotas = dict(quotas)
        self._context.plan.update_demands(guarantees)
        self._context.is_changed = True

    def check_guarantees(
        self, guarantees: Mapping[str, tuple[GuaranteedShape, ...]]
    ) -> Result[None, GuaranteeCannotBeMet]:
        """See `Scheduler`."""
        return self._context.plan.check(guarantees)

    def list_unmet_guarantees(self) -> tuple[GuaranteeCannotBeMet, ...]:
        """See `Scheduler`."""
        return self._context.plan.list_unmet()

    def submit(self, job: PendingJob, now_s: float) -> Result[None, Failure]:
        """See `Scheduler`."""
        context = self._context
        request = job.request
        topology = context.occupancy.topology
        if not topology.could_hold(request):
            return Fail(ImpossibleShape(accelerators=request.accelerators))
        quota = context.quotas.get(request.organisation, 0)
        if topology.count_required(request.accelerators) > quota:
            return Fail(QuotaTooSmall.from_request(request, quota))
        context.queue.add(job)
        context.is_changed = True
        return Success(None)

    def withdraw(self, job_id: str) -> None:
        """See `Scheduler`."""
        context = self._context
        removed = context.queue.remove(job_id) or context.holds.remove(job_id)
        if removed is None:
            return
        context.is_changed = True
        context.plan.release(job_id)
        context.reservations.forget(job_id)
        context.health.forget_job(job_id)
        context.forget_job(job_id)

    def restore(
        self, job: PendingJob, assignment: Assignment, started_at_s: float
    ) -> None:
        """See `Scheduler`."""
        context = self._context
        context.queue.remove(job.job_id)
        held = HeldJob(job, assignment, started_at_s, started_at_s)
        context.occupancy.hold(held)
        context.plan.is_stale = True
        context.is_changed = True

    def record_started(self, job_id: str, now_s: float) -> None:
        """See `Scheduler`."""
        held = self._context.occupancy.jobs.get(job_id)
        if held is not None:
            held.started_at_s = now_s

    def record_finished(self, job_id: str, now_s: float) -> None:
        """See `Scheduler`."""
        context = self._context
        context.now_s = now_s
        held = context.occupancy.release(job_id)
        context.plan.release(job_id)
        context.is_changed = True
        if held is not None:
            self._record_run_time(held, now_s)

    def record_start_failure(self, job_id: str, upstream_id: str, now_s: float) -> None:
        """See `Scheduler`."""
        context = self._context
        context.now_s = now_s
        held = context.occupancy.jobs.get(job_id)
        if held is not None:
            held.failed = True
        context.health.record_failure(job_id, upstream_id, now_s)
        context.plan.is_stale = True
        context.is_changed = True

    def record_start_success(self, job_id: str, upstream_id: str, now_s: float) -> None:
        """See `Scheduler`."""
        if self._context.health.record_success(job_id, upstream_id):
            self._context.is_changed = True

    def list_probe_candidates(self, now_s: float) -> tuple[str, ...]:
        """See `Scheduler`."""
        return self._context.health.list_probe_candidates(now_s)

    def record_probe(self, upstream_id: str, healthy: bool, now_s: float) -> None:
        """See `Scheduler`."""
        self._context.now_s = now_s
        if self._context.health.record_probe(upstream_id, healthy, now_s):
            self._context.plan.is_stale = True
            self._context.is_changed = True

    def decide(self, now_s: float) -> list[Decision]:
        """See `Scheduler`.

        Does nothing if neither an event nor the time could change a decision.
        """
        context = self._context
        context.now_s = now_s
        if not context.is_changed and now_s < context.next_pass_s:
            return []
        context.is_changed = False
        context.plan.refresh()
        decisions = DecisionPass.from_context(context).run()
        wake_up_s = self.find_wake_up_s(now_s)
        context.next_pass_s = math.inf if wake_up_s is None else wake_up_s
        return decisions

    def find_wake_up_s(self, now_s: float) -> float | None:
        """See `Scheduler`."""
        context = self._context
        instants = [
            context.health.find_wake_up_s(now_s),
            context.queue.find_wake_up_s(now_s),
        ]
        instants += [
            hold.created_at_s + HOLD_TIMEOUT_S for hold in context.holds.holds.values()
        ]
        if context.reservations.searched_at_s:
            # One pass when all reviews are due, instead of one for each.
            last_s = max(context.reservations.searched_at_s.values())
            instants.append(last_s + RESERVATION_REVIEW_INTERVAL_S)
        if context.reservations.plan_reviewed_at_s:
            last_s = max(context.reservations.plan_reviewed_at_s.values())
            instants.append(last_s + PLAN_REVIEW_INTERVAL_S)
        later = [at_s for at_s in instants if at_s is not None and at_s > now_s]
        return min(later, default=None)

    def explain(self, job_id: str, now_s: float) -> str:
        """See `Scheduler`."""
        self._context.now_s = now_s
        self._context.plan.refresh()
        return explain_job(self._context, job_id)

    def _record_run_time(self, held: HeldJob, now_s: float) -> None:
        """Record the run time of a job, or the progress of a preempted one."""
        context = self._context
        job_id = held.job.job_id
        if held.failed or held.started_at_s is None:
            return
        run_s = now_s - held.started_at_s + context.progress_s.pop(job_id, 0.0)
        if not held.preempting:
            context.estimator.observe(held.job.request, run_s)
            context.forget_job(job_id)
        elif held.job.request.checkpointable:
            context.progress_s[job_id] = run_s

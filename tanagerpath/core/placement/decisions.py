"""One scheduling pass over all holds and waiting jobs."""

import enum
import math

import attrs

from tanagerpath.core.model import Assignment, JobClass
from tanagerpath.core.placement.context import PolicyContext
from tanagerpath.core.placement.geometry import (
    MAX_SINGLE_UPSTREAM,
    measure_longest_run,
)
from tanagerpath.core.placement.guarantees import PlannedRun
from tanagerpath.core.placement.holds import Hold
from tanagerpath.core.placement.occupancy import HeldJob
from tanagerpath.core.placement.preemption import (
    PreemptionPlan,
    PreemptionSearch,
    make_claim_assignment,
)
from tanagerpath.core.placement.reservation_search import EarliestRunSearch
from tanagerpath.core.placement.scheduler import (
    Decision,
    PendingJob,
    PlaceJob,
    PreemptJob,
)
from tanagerpath.core.placement.search import PlacementSearch

__all__ = [
    "HOLD_TIMEOUT_S",
    "PLAN_REVIEW_INTERVAL_S",
    "RESERVATION_REVIEW_INTERVAL_S",
    "DecisionPass",
]

# Longer than any checkpoint grace plus lease; the job of an older hold is queued again.
HOLD_TIMEOUT_S = 10.0
RESERVATION_REVIEW_INTERVAL_S = 60.0
PLAN_REVIEW_INTERVAL_S = 5.0
# Repacking the plan takes milliseconds, so few jobs may trigger it in one pass.
MAX_PLAN_REVIEWS = 2


class Outcome(enum.Enum):
    """Result of trying one waiting job; a blocked job blocks the rest of its class."""

    SCHEDULED = enum.auto()
    SKIPPED = enum.auto()
    BLOCKED = enum.auto()


@attrs.define
class DecisionPass:
    """Computes the decisions of one call of `decide`."""

    _context: PolicyContext
    _decisions: list[Decision] = attrs.field(factory=list)
    _quota_available_at_s: dict[str, float] = attrs.field(factory=dict)
    _exhausted_sizes: set[int] = attrs.field(factory=set)
    _large_jobs_tried: int = 0
    _plan_reviews: int = 0
    _reservation_candidates: set[str] = attrs.field(factory=set)
    _reservation_search: EarliestRunSearch = attrs.field()

    @_reservation_search.default
    def _make_reservation_search(self) -> EarliestRunSearch:
        return EarliestRunSearch(self._context)

    @classmethod
    def from_context(cls, context: PolicyContext) -> "DecisionPass":
        """Prepare a pass at the current instant of the context."""
        return cls(context)

    def run(self) -> list[Decision]:
        """Return the decisions."""
        self._resolve_holds()
        waiting = self._context.queue.start_pass(self._context.now_s)
        while (entry := waiting.pop()) is not None:
            job, equivalence_class, index = entry
            outcome = self._try_job(job)
            if outcome is Outcome.SCHEDULED:
                waiting.resume(equivalence_class, index)
            elif outcome is Outcome.SKIPPED:
                waiting.resume(equivalence_class, index + 1)
        return self._decisions

    def _resolve_holds(self) -> None:
        context = self._context
        for hold in list(context.holds.holds.values()):
            if not all(map(context.is_available, hold.assignment.upstream_ids)):
                self._cancel_hold(hold)
            elif self._is_ready(hold):
                context.holds.remove(hold.job.job_id)
                self._place(hold.job, hold.assignment)
            elif context.now_s - hold.created_at_s > HOLD_TIMEOUT_S:
                self._cancel_hold(hold)

    def _is_ready(self, hold: Hold) -> bool:
        context = self._context
        if not context.holds.is_cleared(hold, context.occupancy):
            return False
        organisation = hold.job.request.organisation
        used = context.occupancy.usage.get(organisation, 0)
        return used + hold.assignment.accelerators <= context.quotas.get(
            organisation, 0
        )

    def _cancel_hold(self, hold: Hold) -> None:
        job_id = hold.job.job_id
        self._context.holds.remove(job_id)
        self._context.plan.release(job_id)
        self._context.plan.refresh()
        self._context.queue.add(hold.job)

    def _try_job(self, job: PendingJob) -> Outcome:
        context = self._context
        if context.health.is_job_backing_off(job.job_id, context.now_s):
            return Outcome.SKIPPED
        if context.plan.covers(job.request) and self._claim(job):
            return Outcome.SCHEDULED
        if self._delays_quota_waiter(job):
            return Outcome.BLOCKED
        if self._has_quota(job):
            search = PlacementSearch.from_job(context, job, self._exhausted_sizes)
            assignment = search.find_free()
            if assignment is not None:
                self._place(job, assignment)
                return Outcome.SCHEDULED
            if not job.request.preemptible and self._place_by_repacking(job):
                return Outcome.SCHEDULED
            return self._preempt_or_reserve(job)
        if job.request.job_class is JobClass.URGENT and self._preempt_for_urgent(job):
            return Outcome.SCHEDULED
        if self._is_large(job) and self._preempt_for_large(job):
            return Outcome.SCHEDULED
        return Outcome.BLOCKED

    def _place_by_repacking(self, job: PendingJob) -> bool:
        """Place a non-preemptible job on planned runs that can be moved elsewhere.

        Planned and spare runs may leave too few adjacent accelerators, although
        another packing would leave enough.
        """
        context = self._context
        reviewed_at_s = context.reservations.plan_reviewed_at_s
        last_s = reviewed_at_s.get(job.job_id, -math.inf)
        recent = context.now_s - last_s < PLAN_REVIEW_INTERVAL_S
        if recent or self._plan_reviews >= MAX_PLAN_REVIEWS:
            return False
        self._plan_reviews += 1
        reviewed_at_s[job.job_id] = context.now_s
        if self._has_room_outside_plan(job):
            # The job waits for that room; repacking the plan too would fragment both.
            return False
        search = PlacementSearch.from_job(context, job, set(), avoid_planned=False)
        wanted = search.find_free()
        if wanted is None or not context.plan.repack_around(wanted):
            return False
        # The new plan may still need cores or memory on the same upstreams.
        assignment = PlacementSearch.from_job(context, job, set()).find_free()
        if assignment is None:
            return False
        self._place(job, assignment)
        return True

    def _has_room_outside_plan(self, job: PendingJob) -> bool:
        """Whether a job fits outside all planned runs once the jobs there end."""
        context = self._context
        size = job.request.accelerators
        topology = context.occupancy.topology
        for window in topology.list_windows(size):
            if not all(map(context.is_available, window)):
                continue
            outside = [
                context.occupancy.states[name].all_mask
                & ~context.plan.masks.get(name, 0)
                for name in window
            ]
            if size <= MAX_SINGLE_UPSTREAM:
                if measure_longest_run(outside[0]) >= size:
                    return True
            elif not any(context.plan.masks.get(name, 0) for name in window):
                return True
        return False

    def _is_large(self, job: PendingJob) -> bool:
        least = self._context.config.min_reservation_accelerators
        return job.request.accelerators >= least

    def _preempt_or_reserve(self, job: PendingJob) -> Outcome:
        if job.request.job_class is JobClass.URGENT and self._preempt_for_urgent(job):
            return Outcome.SCHEDULED
        if not self._is_large(job):
            return Outcome.BLOCKED
        if self._preempt_for_large(job):
            return Outcome.SCHEDULED
        self._reserve(job)
        return Outcome.BLOCKED

    def _claim(self, job: PendingJob) -> bool:
        """Claim a planned run of the job's organisation, preempting jobs if needed."""
        plan = self._context.plan
        runs = plan.list_claimable(job.request)
        choices = runs + plan.list_exchangeable(runs)
        found = self._choose_claim(choices, job)
        if found is None and any(
            plan.relocate(run, job.request, self._context.holds.masks) for run in runs
        ):
            found = self._choose_claim(runs, job)
        if found is None:
            return False
        run, preemption = found
        plan.claim(run, runs, job.job_id)
        self._apply_preemption(job, preemption, self._context.config.reclaim_grace_s)
        return True

    def _choose_claim(
        self, runs: list[PlannedRun], job: PendingJob
    ) -> tuple[PlannedRun, PreemptionPlan] | None:
        search = PreemptionSearch.from_claim(self._context, job)
        choices = {
            make_claim_assignment(run, job.request.accelerators): run for run in runs
        }
        preemption = search.choose(choices)
        if preemption is None:
            return None
        return choices[preemption.assignment], preemption

    def _preempt_for_urgent(self, job: PendingJob) -> bool:
        """Preempt jobs for an urgent job."""
        if not self._context.leaves_quota_for_claims(job, job.request.accelerators):
            return False
        preemption = PreemptionSearch.from_urgent(self._context, job).find_cheapest()
        if preemption is None:
            return False
        self._apply_preemption(job, preemption, self._context.config.urgent_grace_s)
        return True

    def _preempt_for_large(self, job: PendingJob) -> bool:
        """Preempt smaller jobs if the loss is small against the large job's wait."""
        context = self._context
        self._large_jobs_tried += 1
        if self._large_jobs_tried > context.config.max_reservations:
            return False
        tried_at_s = context.reservations.preemption_searched_at_s.get(
            job.job_id, -math.inf
        )
        if context.now_s - tried_at_s < RESERVATION_REVIEW_INTERVAL_S:
            return False
        context.reservations.preemption_searched_at_s[job.job_id] = context.now_s
        if not context.leaves_quota_for_claims(job, job.request.accelerators):
            return False
        preemption = PreemptionSearch.from_large(context, job).find_cheapest()
        if preemption is None:
            return False
        waited_s = context.now_s - job.accepted_at_s
        budget_s = (
            context.config.max_large_job_loss_ratio
            * waited_s
            * job.request.accelerators
        )
        if preemption.loss_s > budget_s:
            return False
        self._apply_preemption(job, preemption, context.config.reclaim_grace_s)
        return True

    def _apply_preemption(
        self, job: PendingJob, preemption: PreemptionPlan, grace_s: float
    ) -> None:
        context = self._context
        left = context.count_quota_left(job.request.organisation)
        # The quota may still be used by jobs that are already being preempted.
        if not preemption.victims and left >= preemption.assignment.accelerators:
            self._place(job, preemption.assignment)
            return
        context.queue.remove(job.job_id)
        context.reservations.forget(job.job_id)
        context.holds.add(Hold(job, preemption.assignment, context.now_s))
        for job_id in preemption.victims:
            self._preempt(context.occupancy.jobs[job_id], grace_s)

    def _preempt(self, held: HeldJob, grace_s: float) -> None:
        """Preempt a job, without grace if it can't save a checkpoint."""
        if held.preempting:
            return
        held.preempting = True
        counts = self._context.preemptions
        counts[held.job.job_id] = counts.get(held.job.job_id, 0) + 1
        grace_s = grace_s if held.job.request.checkpointable else 0.0
        deadline_s = self._context.now_s + grace_s
        self._decisions.append(PreemptJob(held.job.job_id, deadline_s))

    def _place(self, job: PendingJob, assignment: Assignment) -> None:
        context = self._context
        context.queue.remove(job.job_id)
        context.reservations.forget(job.job_id)
        context.occupancy.hold(HeldJob(job, assignment, context.now_s))
        self._decisions.append(PlaceJob(job.job_id, assignment))

    def _has_quota(self, job: PendingJob) -> bool:
        """Whether the quota suffices; if it is used up, record that the job waits."""
        context = self._context
        organisation = job.request.organisation
        needed = context.occupancy.topology.count_required(job.request.accelerators)
        if not context.leaves_quota_for_claims(job, needed):
            return False
        if context.count_quota_left(organisation) < needed:
            self._record_quota_waiter(job, needed)
            return False
        return True

    def _delays_quota_waiter(self, job: PendingJob) -> bool:
        """Whether a job would delay an earlier one that waits for the same quota."""
        available_at_s = self._quota_available_at_s.get(job.request.organisation)
        if available_at_s is None or job.request.job_class is JobClass.URGENT:
            return False
        return self._context.estimate_end_if_placed_s(job) > available_at_s

    def _record_quota_waiter(self, job: PendingJob, needed: int) -> None:
        context = self._context
        organisation = job.request.organisation
        if organisation in self._quota_available_at_s:
            return
        ends = sorted(
            (context.estimate_end_s(held), held.assignment.accelerators)
            for held in context.occupancy.jobs.values()
            if held.job.request.organisation == organisation
        )
        left = context.count_quota_left(organisation)
        available_at_s = context.now_s
        for end_s, accelerators in ends:
            if left >= needed:
                break
            left += accelerators
            available_at_s = end_s
        self._quota_available_at_s[organisation] = available_at_s

    def _reserve(self, job: PendingJob) -> None:
        """Reserve a run for a large waiting job, or look for an earlier one."""
        context = self._context
        table = context.reservations
        if len(self._reservation_candidates) >= context.config.max_reservations:
            table.remove(job.job_id)
            return
        self._reservation_candidates.add(job.job_id)
        present = table.by_job.get(job.job_id)
        if present is None and len(table.by_job) >= context.config.max_reservations:
            self._drop_lower_ranked_reservation()
        searched_at_s = table.searched_at_s.get(job.job_id, -math.inf)
        if context.now_s - searched_at_s < RESERVATION_REVIEW_INTERVAL_S:
            return
        table.searched_at_s[job.job_id] = context.now_s
        found = self._reservation_search.find(job)
        if found is None:
            table.remove(job.job_id)
        elif (
            present is None
            or found.available_at_s
            < present.available_at_s - RESERVATION_REVIEW_INTERVAL_S
        ):
            table.set(found)
        elif present.available_at_s <= context.now_s:
            # The run is overdue: it stays closed to jobs that would end after now.
            table.set(attrs.evolve(found, available_at_s=context.now_s))

    def _drop_lower_ranked_reservation(self) -> None:
        """Drop a reservation of a job that ranks after those tried so far."""
        table = self._context.reservations
        for job_id in table.by_job:
            if job_id not in self._reservation_candidates:
                table.remove(job_id)
                return

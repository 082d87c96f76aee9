"""One pass of decisions over all holds and waiting jobs."""

import enum
import math

import attrs

from tanagerpath.core.model import Assignment, JobClass
from tanagerpath.core.placement.context import PolicyContext
from tanagerpath.core.placement.dating import EarliestRunSearch
from tanagerpath.core.placement.geometry import (
    MAX_SINGLE_UPSTREAM,
    measure_longest_run,
)
from tanagerpath.core.placement.guarantees import PlannedRun
from tanagerpath.core.placement.holds import Hold
from tanagerpath.core.placement.occupancy import HeldJob
from tanagerpath.core.placement.scheduler import (
    Decision,
    PendingJob,
    PlaceJob,
    PreemptJob,
)
from tanagerpath.core.placement.search import PlacementSearch
from tanagerpath.core.placement.takeover import Takeover, TakeoverSearch, carve_run

__all__ = ["HOLD_TIMEOUT_S", "PLAN_REVIEW_S", "RESERVATION_REVIEW_S", "DecisionPass"]

# Longer than any checkpoint grace plus lease; a hold that old is searched for anew.
HOLD_TIMEOUT_S = 10.0
RESERVATION_REVIEW_S = 60.0
PLAN_REVIEW_S = 5.0
# Packing the plan anew takes milliseconds; few jobs may ask for it in one pass.
MAX_PLAN_REVIEWS = 2


class Outcome(enum.Enum):
    """What came of trying one waiting job."""

    TAKEN = enum.auto()
    SKIPPED = enum.auto()
    BLOCKED = enum.auto()


@attrs.define
class DecisionPass:
    """Makes the decisions of one call of `decide`."""

    _context: PolicyContext
    _decisions: list[Decision] = attrs.field(factory=list)
    _quota_dates_s: dict[str, float] = attrs.field(factory=dict)
    _exhausted: set[int] = attrs.field(factory=set)
    _large_tried: int = 0
    _plan_reviews: int = 0
    _reserving: set[str] = attrs.field(factory=set)
    _dating: EarliestRunSearch = attrs.field()

    @_dating.default
    def _make_dating(self) -> EarliestRunSearch:
        return EarliestRunSearch(self._context)

    @classmethod
    def from_context(cls, context: PolicyContext) -> "DecisionPass":
        """Prepare a pass at the context's present instant."""
        return cls(context)

    def run(self) -> list[Decision]:
        """Return the decisions."""
        self._settle_holds()
        waiting = self._context.queue.start_pass(self._context.now_s)
        while (entry := waiting.pop()) is not None:
            job, lane, index = entry
            outcome = self._try(job)
            if outcome is Outcome.TAKEN:
                waiting.go_on(lane, index)
            elif outcome is Outcome.SKIPPED:
                waiting.go_on(lane, index + 1)
        return self._decisions

    def _settle_holds(self) -> None:
        context = self._context
        for hold in list(context.holds.holds.values()):
            if not all(map(context.is_open, hold.assignment.upstream_ids)):
                self._drop(hold)
            elif self._is_ready(hold):
                context.holds.remove(hold.job.job_id)
                self._place(hold.job, hold.assignment)
            elif context.now_s - hold.made_at_s > HOLD_TIMEOUT_S:
                self._drop(hold)

    def _is_ready(self, hold: Hold) -> bool:
        context = self._context
        if not context.holds.is_cleared(hold, context.occupancy):
            return False
        organisation = hold.job.request.organisation
        used = context.occupancy.usage.get(organisation, 0)
        return used + hold.assignment.accelerators <= context.quotas.get(
            organisation, 0
        )

    def _drop(self, hold: Hold) -> None:
        job_id = hold.job.job_id
        self._context.holds.remove(job_id)
        self._context.plan.release(job_id)
        self._context.plan.refresh()
        self._context.queue.add(hold.job)

    def _try(self, job: PendingJob) -> Outcome:
        context = self._context
        if context.health.is_job_held(job.job_id, context.now_s):
            return Outcome.SKIPPED
        if context.plan.covers(job.request) and self._claim(job):
            return Outcome.TAKEN
        if self._gives_way(job):
            return Outcome.BLOCKED
        if self._has_quota(job):
            search = PlacementSearch.from_job(context, job, self._exhausted)
            assignment = search.find_free()
            if assignment is not None:
                self._place(job, assignment)
                return Outcome.TAKEN
            if not job.request.preemptible and self._place_in_plan(job):
                return Outcome.TAKEN
            return self._wait_for_room(job)
        if job.request.job_class is JobClass.URGENT and self._take_over(job):
            return Outcome.TAKEN
        if self._is_large(job) and self._clear_for_large(job):
            return Outcome.TAKEN
        return Outcome.BLOCKED

    def _place_in_plan(self, job: PendingJob) -> bool:
        """Place work that can't be preempted where the planned runs can move away.

        Planned and spare runs may lie so that no adjacent accelerators are left
        beside them, although another plan would leave some.
        """
        context = self._context
        reviewed_at_s = context.reservations.plan_reviewed_at_s
        last_s = reviewed_at_s.get(job.job_id, -math.inf)
        recent = context.now_s - last_s < PLAN_REVIEW_S
        if recent or self._plan_reviews >= MAX_PLAN_REVIEWS:
            return False
        self._plan_reviews += 1
        reviewed_at_s[job.job_id] = context.now_s
        if self._has_place_beside_plan(job):
            # It waits for that place; moving the plan for it too would scatter both.
            return False
        search = PlacementSearch.from_job(context, job, set(), beside_plan=False)
        wanted = search.find_free()
        if wanted is None or not context.plan.make_way(wanted):
            return False
        # The new plan may still need cores or memory of the same upstreams.
        assignment = PlacementSearch.from_job(context, job, set()).find_free()
        if assignment is None:
            return False
        self._place(job, assignment)
        return True

    def _has_place_beside_plan(self, job: PendingJob) -> bool:
        """Whether some usable accelerators for a job lie outside all planned runs."""
        context = self._context
        size = job.request.accelerators
        topology = context.occupancy.topology
        for window in topology.list_windows(size):
            if not all(map(context.is_open, window)):
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
        least = self._context.config.reservation_accelerators
        return job.request.accelerators >= least

    def _wait_for_room(self, job: PendingJob) -> Outcome:
        if job.request.job_class is JobClass.URGENT and self._take_over(job):
            return Outcome.TAKEN
        if not self._is_large(job):
            return Outcome.BLOCKED
        if self._clear_for_large(job):
            return Outcome.TAKEN
        self._reserve(job)
        return Outcome.BLOCKED

    def _claim(self, job: PendingJob) -> bool:
        """Take a planned run of the job's organisation, clearing it if need be."""
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
        run, takeover = found
        plan.claim(run, runs, job.job_id)
        self._apply(job, takeover, self._context.config.reclaim_grace_s)
        return True

    def _choose_claim(
        self, runs: list[PlannedRun], job: PendingJob
    ) -> tuple[PlannedRun, Takeover] | None:
        search = TakeoverSearch.from_claim(self._context, job)
        choices = {carve_run(run, job.request.accelerators): run for run in runs}
        takeover = search.choose(choices)
        if takeover is None:
            return None
        return choices[takeover.assignment], takeover

    def _take_over(self, job: PendingJob) -> bool:
        """Take accelerators from preemptible work for an urgent job."""
        if not self._context.leaves_claims_quota(job, job.request.accelerators):
            return False
        takeover = TakeoverSearch.from_urgent(self._context, job).find_cheapest()
        if takeover is None:
            return False
        self._apply(job, takeover, self._context.config.urgent_grace_s)
        return True

    def _clear_for_large(self, job: PendingJob) -> bool:
        """Stop smaller work for a large job if that loses little beside its wait."""
        context = self._context
        self._large_tried += 1
        if self._large_tried > context.config.reservations:
            return False
        tried_at_s = context.reservations.cleared_at_s.get(job.job_id, -math.inf)
        if context.now_s - tried_at_s < RESERVATION_REVIEW_S:
            return False
        context.reservations.cleared_at_s[job.job_id] = context.now_s
        if not context.leaves_claims_quota(job, job.request.accelerators):
            return False
        takeover = TakeoverSearch.from_large(context, job).find_cheapest()
        if takeover is None:
            return False
        waited_s = context.now_s - job.accepted_at_s
        budget_s = context.config.large_loss_share * waited_s * job.request.accelerators
        if takeover.loss_s > budget_s:
            return False
        self._apply(job, takeover, context.config.reclaim_grace_s)
        return True

    def _apply(self, job: PendingJob, takeover: Takeover, grace_s: float) -> None:
        context = self._context
        left = context.count_quota_left(job.request.organisation)
        # Quota may also be awaited from jobs that were asked to leave before.
        if not takeover.victims and left >= takeover.assignment.accelerators:
            self._place(job, takeover.assignment)
            return
        context.queue.remove(job.job_id)
        context.reservations.forget(job.job_id)
        context.holds.add(Hold(job, takeover.assignment, context.now_s))
        for job_id in takeover.victims:
            self._preempt(context.occupancy.jobs[job_id], grace_s)

    def _preempt(self, held: HeldJob, grace_s: float) -> None:
        """Ask a job to leave; one that can't save a checkpoint is stopped at once."""
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
        """Whether the quota suffices; if not, later jobs have to give way."""
        context = self._context
        organisation = job.request.organisation
        needed = context.occupancy.topology.count_held(job.request.accelerators)
        if not context.leaves_claims_quota(job, needed):
            return False
        if context.count_quota_left(organisation) < needed:
            self._block_on_quota(job, needed)
            return False
        return True

    def _gives_way(self, job: PendingJob) -> bool:
        """Whether a job would delay an earlier one that waits for the same quota."""
        date_s = self._quota_dates_s.get(job.request.organisation)
        if date_s is None or job.request.job_class is JobClass.URGENT:
            return False
        return self._context.estimate_end_if_placed_s(job) > date_s

    def _block_on_quota(self, job: PendingJob, needed: int) -> None:
        context = self._context
        organisation = job.request.organisation
        if organisation in self._quota_dates_s:
            return
        ends = sorted(
            (context.estimate_end_s(held), held.assignment.accelerators)
            for held in context.occupancy.jobs.values()
            if held.job.request.organisation == organisation
        )
        left = context.count_quota_left(organisation)
        date_s = context.now_s
        for end_s, accelerators in ends:
            if left >= needed:
                break
            left += accelerators
            date_s = end_s
        self._quota_dates_s[organisation] = date_s

    def _reserve(self, job: PendingJob) -> None:
        """Give a large waiting job a dated reservation, or look for a better one."""
        context = self._context
        table = context.reservations
        if len(self._reserving) >= context.config.reservations:
            table.remove(job.job_id)
            return
        self._reserving.add(job.job_id)
        present = table.by_job.get(job.job_id)
        if present is None and len(table.by_job) >= context.config.reservations:
            self._displace()
        searched_at_s = table.searched_at_s.get(job.job_id, -math.inf)
        if context.now_s - searched_at_s < RESERVATION_REVIEW_S:
            return
        table.searched_at_s[job.job_id] = context.now_s
        found = self._dating.find(job)
        if found is None:
            table.remove(job.job_id)
        elif present is None or found.date_s < present.date_s - RESERVATION_REVIEW_S:
            table.set(found)
        elif present.date_s <= context.now_s:
            # The run is late: it stays closed to all that would end after now.
            table.set(attrs.evolve(found, date_s=context.now_s))

    def _displace(self) -> None:
        """Take the reservation of a job that ranks after those tried so far."""
        table = self._context.reservations
        for job_id in table.by_job:
            if job_id not in self._reserving:
                table.remove(job_id)
                return

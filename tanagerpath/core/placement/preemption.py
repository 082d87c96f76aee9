"""Search for the jobs to preempt for a claim, an urgent or a large job."""

from collections.abc import Iterable

import attrs

from tanagerpath.core.model import (
    UPSTREAMS_PER_RACK,
    AcceleratorRun,
    Assignment,
    JobClass,
)
from tanagerpath.core.placement.context import PolicyContext
from tanagerpath.core.placement.geometry import (
    MAX_SINGLE_RACK,
    MAX_SINGLE_UPSTREAM,
    make_mask,
)
from tanagerpath.core.placement.guarantees import PlannedRun
from tanagerpath.core.placement.occupancy import HeldJob, UpstreamState
from tanagerpath.core.placement.scheduler import PendingJob

__all__ = ["PreemptionPlan", "PreemptionSearch", "make_claim_assignment"]

# Work lost when a job resumes from a checkpoint, in seconds for each accelerator.
CHECKPOINT_LOSS_S = 10.0
# A non-idempotent job can stop only once its checkpoint is recorded, which may fail.
NOT_IDEMPOTENT_PENALTY_S = 3600.0
# A claim preempts an urgent job only if there is no other run.
URGENT_PENALTY_S = 36000.0
# Urgent and large jobs avoid runs that may be claimed, where there is a choice.
PLANNED_RUN_PENALTY_S = 600.0
# Feasible runs compared in one search; bounds its cost.
MAX_COMPARED = 64


@attrs.frozen
class PreemptionPlan:
    """A run for a job and the jobs to preempt for it.

    Attributes
    ----------
    assignment : Assignment
        The run.
    victims : tuple of str
        Jobs that hold it, or whose quota, cores or memory the job needs.
    loss_s : float
        Accelerator seconds of work that are lost, plus penalties.
    """

    assignment: Assignment
    victims: tuple[str, ...]
    loss_s: float


@attrs.define
class PreemptionSearch:
    """Search for the run whose preemptions lose the least work."""

    _context: PolicyContext
    _job: PendingJob
    _protects_urgent: bool
    _uses_planned: bool
    _victims_smaller_than: int | None = None

    @classmethod
    def from_claim(cls, context: PolicyContext, job: PendingJob) -> "PreemptionSearch":
        """Prepare the search for a guarantee claim inside its planned runs."""
        return cls(context, job, protects_urgent=False, uses_planned=True)

    @classmethod
    def from_urgent(cls, context: PolicyContext, job: PendingJob) -> "PreemptionSearch":
        """Prepare the search for an urgent job anywhere."""
        return cls(
            context,
            job,
            protects_urgent=True,
            uses_planned=job.request.preemptible,
        )

    @classmethod
    def from_large(cls, context: PolicyContext, job: PendingJob) -> "PreemptionSearch":
        """Prepare the search for a large job, which may preempt only smaller jobs."""
        return cls(
            context,
            job,
            protects_urgent=True,
            uses_planned=job.request.preemptible,
            victims_smaller_than=job.request.accelerators,
        )

    def evaluate(self, assignment: Assignment) -> PreemptionPlan | None:
        """Return the preemptions for a run, or None if it can't be reclaimed."""
        victims: dict[str, None] = {}
        for run in assignment.runs:
            state = self._context.occupancy.states[run.upstream_id]
            found = self._find_victims(state, make_mask(run.first, run.count))
            if found is None:
                return None
            victims.update(dict.fromkeys(found))
        extra = self._find_quota_victims(assignment.accelerators, victims)
        if extra is None:
            return None
        victims.update(dict.fromkeys(extra))
        jobs = self._context.occupancy.jobs
        loss_s = sum(self._find_loss_s(jobs[name]) for name in victims)
        if self._protects_urgent:
            loss_s += (
                PLANNED_RUN_PENALTY_S
                * self._context.plan.count_unclaimed_overlaps(assignment)
            )
        return PreemptionPlan(assignment, tuple(victims), loss_s)

    def find_cheapest(self) -> PreemptionPlan | None:
        """Return the cheapest run anywhere, or None."""
        return self.choose(self._list_runs())

    def choose(self, assignments: Iterable[Assignment]) -> PreemptionPlan | None:
        """Return the cheapest of several runs, or None."""
        best: PreemptionPlan | None = None
        compared = 0
        for assignment in assignments:
            found = self.evaluate(assignment)
            if found is None:
                continue
            if best is None or found.loss_s < best.loss_s:
                best = found
            compared += 1
            if best.loss_s <= 0.0 or compared >= MAX_COMPARED:
                break
        return best

    def _list_runs(self) -> Iterable[Assignment]:
        topology = self._context.occupancy.topology
        size = self._job.request.accelerators
        failed = self._context.health.list_avoided_upstreams(
            self._job.job_id, self._context.now_s
        )
        for window in topology.list_windows(size):
            if any(name in failed or self._is_excluded(name) for name in window):
                continue
            if size > MAX_SINGLE_UPSTREAM:
                yield topology.make_gang_assignment(window)
                continue
            last = topology.capacities[window[0]].accelerators - size
            for first in range(last + 1):
                yield Assignment((AcceleratorRun(window[0], first, size),))

    def _is_excluded(self, upstream_id: str) -> bool:
        return self._context.is_excluded(upstream_id, self._job.request)

    def _find_victims(self, state: UpstreamState, mask: int) -> list[str] | None:
        """Return the jobs to preempt on these accelerators, or None."""
        name = state.capacity.upstream_id
        if not self._context.is_available(name) or mask & ~state.all_mask:
            return None
        if mask & (self._context.holds.masks.get(name, 0) | state.non_preemptible_mask):
            return None
        if not self._uses_planned and mask & self._context.plan.masks.get(name, 0):
            return None
        victims = [job_id for job_id, held in state.masks.items() if held & mask]
        jobs = self._context.occupancy.jobs
        if not all(self._may_preempt(jobs[name]) for name in victims):
            return None
        return self._add_room(state, victims)

    def _add_room(self, state: UpstreamState, victims: list[str]) -> list[str] | None:
        """Add victims on the upstream until cores, memory and slots suffice."""
        jobs = self._context.occupancy.jobs
        others = [
            jobs[name]
            for name in state.masks
            if name not in victims and self._may_preempt(jobs[name])
        ]
        others.sort(key=self._find_loss_s)
        while not self._has_room_without(state, victims):
            if not others:
                return None
            victims.append(others.pop(0).job.job_id)
        return victims

    def _has_room_without(self, state: UpstreamState, victims: list[str]) -> bool:
        jobs = self._context.occupancy.jobs
        victim_requests = [jobs[name].job.request for name in victims]
        request = self._job.request
        capacity = state.capacity
        if capacity.services and request.service not in capacity.services:
            return False
        if len(state.masks) - len(victim_requests) >= capacity.slots:
            return False
        cores = state.cores_used - sum(each.cores for each in victim_requests)
        if cores + request.cores > capacity.cores:
            return False
        memory = state.memory_used - sum(each.memory_bytes for each in victim_requests)
        return memory + request.memory_bytes <= capacity.memory_bytes

    def _find_quota_victims(
        self, accelerators: int, victims: Iterable[str]
    ) -> list[str] | None:
        """Return further jobs of the same organisation to preempt for its quota."""
        organisation = self._job.request.organisation
        jobs = self._context.occupancy.jobs
        left = self._context.count_quota_left(organisation) - accelerators
        if left >= 0:
            return []
        own = [
            held
            for held in jobs.values()
            if held.job.request.organisation == organisation
        ]
        preempted = {held.job.job_id for held in own if held.preempting}.union(victims)
        left += sum(
            held.assignment.accelerators for held in own if held.job.job_id in preempted
        )
        extra = []
        for held in sorted(own, key=self._find_loss_s):
            if left >= 0:
                break
            if held.job.job_id not in preempted and self._may_preempt(held):
                extra.append(held.job.job_id)
                left += held.assignment.accelerators
        return extra if left >= 0 else None

    def _may_preempt(self, held: HeldJob) -> bool:
        if not held.job.request.preemptible:
            return False
        if self._protects_urgent and _is_urgent(held):
            return False
        if self._victims_smaller_than is None or held.preempting:
            return True
        if held.job.request.accelerators >= self._victims_smaller_than:
            return False
        stops = self._context.preemptions.get(held.job.job_id, 0)
        if stops >= self._context.config.max_preemptions_for_large_jobs:
            return False
        queue = self._context.queue
        if queue.is_due(held.job, self._context.now_s):
            return False
        # An aged job without checkpoints was delayed enough and would lose its work.
        return held.job.request.checkpointable or not queue.is_aged(
            held.job, self._context.now_s
        )

    def _find_loss_s(self, held: HeldJob) -> float:
        """Return the accelerator seconds lost by preempting a job, with penalties."""
        if held.preempting:
            return 0.0
        request = held.job.request
        loss_s = max(self._context.now_s - held.placed_at_s, 1.0)
        if request.checkpointable:
            loss_s = min(loss_s, CHECKPOINT_LOSS_S)
        if not request.idempotent:
            loss_s += NOT_IDEMPOTENT_PENALTY_S
        if _is_urgent(held):
            loss_s += URGENT_PENALTY_S
        # Where there is a choice, no job is preempted repeatedly.
        loss_s *= 1 + self._context.preemptions.get(held.job.job_id, 0)
        return loss_s * held.assignment.accelerators


def make_claim_assignment(run: PlannedRun, accelerators: int) -> Assignment:
    """Return the part of a planned run for a claim of this size."""
    parts = run.assignment.runs
    if accelerators <= MAX_SINGLE_UPSTREAM:
        first = parts[0]
        return Assignment(
            (AcceleratorRun(first.upstream_id, first.first, accelerators),)
        )
    found = 0
    taken = 0
    step = UPSTREAMS_PER_RACK if accelerators > MAX_SINGLE_RACK else 1
    while found < accelerators:
        found += sum(part.count for part in parts[taken : taken + step])
        taken += step
    return Assignment(parts[:taken])


def _is_urgent(held: HeldJob) -> bool:
    return held.job.request.job_class is JobClass.URGENT

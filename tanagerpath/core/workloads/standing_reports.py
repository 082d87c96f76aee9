"""Log lines and metrics on workloads that stand still."""

import math
from collections import Counter
from collections.abc import Callable

import attrs

from tanagerpath.core.workloads.dispatch_context import DispatchContext, QueuedEnd
from tanagerpath.core.workloads.events import ReportStanding
from tanagerpath.core.workloads.plan_history import PlanHistory
from tanagerpath.core.workloads.policy import FleetView, PreemptionHistory
from tanagerpath.core.workloads.standing_workloads import (
    StandingFinder,
    StandingWorkload,
)
from tanagerpath.core.workloads.wait_figures import FleetExaminer
from tanagerpath.core.workloads.wait_reasons import WaitReason

__all__ = ["StandingReporter"]

# Between two searches; a change of a reason is reported with the next one.
SEARCH_INTERVAL_S = 1.0
# A workload that has stood still for less is not reported.
MIN_STANDING_S = 2.0
# A workload whose reason does not change is reported this often.
REPORT_INTERVAL_S = 5.0
MAX_LINES_PER_SEARCH = 10


@attrs.frozen(kw_only=True)
class _LastReport:
    """What the last line on a workload said.

    Attributes
    ----------
    found : WaitReason
        Reason before the upstreams were examined.
    reason : WaitReason
        Reason in the line.
    at_s, next_s : float
        Time of the line, and of the next one with the same reason.
    """

    found: WaitReason
    reason: WaitReason
    at_s: float
    next_s: float


class StandingReporter:
    """Reports which workloads stand still, and why.

    The upstreams are examined only for the few workloads that get a line.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    preemption : PreemptionHistory
        Open claims.
    plans : PlanHistory
        Last plans.
    view_fleet : callable
        Returns the input of the policy.
    """

    def __init__(
        self,
        context: DispatchContext,
        preemption: PreemptionHistory,
        plans: PlanHistory,
        view_fleet: Callable[[], FleetView],
    ) -> None:
        self._context = context
        self._preemption = preemption
        self._view_fleet = view_fleet
        self._finder = StandingFinder(context, preemption, plans)
        self._reports: dict[str, _LastReport] = {}
        self._next_search_s = context.now_s
        self._are_metrics_set = False

    def note_end(self, queued: QueuedEnd) -> None:
        """Note the recorded end of a run, before the run is forgotten."""
        self._finder.note_end(queued)

    def advance(self) -> None:
        """Report the workloads that stand still, if a report is due."""
        now_s = self._context.now_s
        if now_s < self._next_search_s:
            return
        self._next_search_s = now_s + SEARCH_INTERVAL_S
        standing = self._finder.list_standing(MIN_STANDING_S)
        self._forget_others(standing)
        due = [one for one in standing if self._is_due(one)]
        chosen = self._choose(due)
        if chosen:
            self._report(chosen, len(due) - len(chosen))
        self._set_metrics(standing)

    def _forget_others(self, standing: list[StandingWorkload]) -> None:
        self._reports = {
            one.workload_id: self._reports[one.workload_id]
            for one in standing
            if one.workload_id in self._reports
        }

    def _is_due(self, standing: StandingWorkload) -> bool:
        last = self._reports.get(standing.workload_id)
        if last is None or last.found is not standing.reason:
            return True
        return self._context.now_s >= last.next_s

    def _choose(self, due: list[StandingWorkload]) -> list[StandingWorkload]:
        """Return the workloads that get a line.

        Reasons take turns, so that one that many have does not hide the others.
        """
        turns: Counter[WaitReason] = Counter()
        ranked = []
        for standing in sorted(due, key=self._rank):
            ranked.append((turns[standing.reason], standing))
            turns[standing.reason] += 1
        ranked.sort(key=lambda entry: entry[0])
        return [standing for _, standing in ranked[:MAX_LINES_PER_SEARCH]]

    def _rank(self, standing: StandingWorkload) -> tuple[float, float]:
        """Return the sort key of a due workload: the longest without a line first."""
        last = self._reports.get(standing.workload_id)
        return last.at_s if last else -math.inf, standing.since_s

    def _report(self, chosen: list[StandingWorkload], left_out: int) -> None:
        """Write a line on each of some workloads."""
        examiner = FleetExaminer(
            self._context, self._preemption.open_claims.values(), self._view_fleet()
        )
        now_s = self._context.now_s
        for standing in chosen:
            reason, figures = _examine(standing, examiner)
            self._reports[standing.workload_id] = _LastReport(
                found=standing.reason,
                reason=reason,
                at_s=now_s,
                next_s=now_s + REPORT_INTERVAL_S,
            )
            self._log(standing, reason, figures, left_out)

    def _log(
        self,
        standing: StandingWorkload,
        reason: WaitReason,
        figures: dict[str, int],
        left_out: int,
    ) -> None:
        record, now_s = standing.record, self._context.now_s
        self._context.log_decision(
            "work waits",
            workload=record.workload_id,
            step=standing.step_key.step,
            occurrence=standing.step_key.occurrence,
            queue=record.queue,
            organisation=record.organisation,
            tasks=standing.tasks,
            gang=standing.spec.gang,
            waited_s=round(now_s - standing.arrival_s, 3),
            standing_s=round(now_s - standing.since_s, 3),
            reason=str(reason),
            **self._describe_plans(standing),
            **_describe_open_run(standing),
            **figures,
            left_out=left_out,
        )

    def _describe_plans(self, standing: StandingWorkload) -> dict[str, float | bool]:
        """Return how long ago a plan has tried to place a unit."""
        if standing.unit is None:
            return {}
        fields: dict[str, float | bool] = {"covered": standing.unit.is_guaranteed}
        if standing.last_try is not None:
            age_s = self._context.now_s - standing.last_try.at_s
            fields["tried_age_s"] = round(age_s, 3)
        return fields

    def _set_metrics(self, standing: list[StandingWorkload]) -> None:
        if not standing and not self._are_metrics_set:
            return
        self._are_metrics_set = bool(standing)
        counts = Counter(self._find_known_reason(one) for one in standing)
        longest_s = max(
            (self._context.now_s - one.since_s for one in standing), default=0.0
        )
        self._context.add_effect(ReportStanding(dict(counts), round(longest_s, 3)))

    def _find_known_reason(self, standing: StandingWorkload) -> WaitReason:
        """Return the reason, with what was found when it was last examined."""
        last = self._reports.get(standing.workload_id)
        if last is not None and last.found is standing.reason:
            return last.reason
        return standing.reason


def _examine(
    standing: StandingWorkload, examiner: FleetExaminer
) -> tuple[WaitReason, dict[str, int]]:
    """Return the reason and the figures for a line."""
    if standing.unit is None:
        return standing.reason, {}
    reservations = standing.last_try.reservations if standing.last_try else []
    figures = examiner.examine(standing.unit, reservations)
    reason = standing.reason
    if reason is WaitReason.NOT_PLACED:
        reason = figures.find_reason(standing.spec.same_rack)
    return reason, figures.list_fields()


def _describe_open_run(standing: StandingWorkload) -> dict[str, object]:
    """Return the run that a workload waits for."""
    open_run = standing.open_run
    if open_run is None:
        return {}
    return {
        "run_upstream": open_run.upstream_id,
        "run_state": str(open_run.state),
        "run_phase": open_run.phase,
        "run_lease_s": round(open_run.lease_s, 3),
    }

"""Log lines on urgent work that waits, and on its start."""

import attrs

from tanagerpath.core.workloads.coverage import count_needed
from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.policy import PlanUnit
from tanagerpath.core.workloads.records import WorkloadRecord
from tanagerpath.core.workloads.runs import RunPhase
from tanagerpath.core.workloads.specs import StepKey

__all__ = ["WaitReporter"]

# A unit whose situation does not change is reported this often.
REPORT_INTERVAL_S = 1.0


@attrs.define
class _LastReport:
    """What the last line on a unit said, and when the next one is due."""

    is_covered: bool
    reason: str
    next_s: float


class WaitReporter:
    """Reports why urgent units wait, and how long they have waited once they start.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._reports: dict[StepKey, _LastReport] = {}

    def report_coverage(self, changed: frozenset[str]) -> None:
        """Log the workloads that have gained or lost the cover of a guarantee."""
        context = self._context
        for workload_id in sorted(changed):
            record = context.state.workloads[workload_id]
            context.log_decision(
                "guarantee coverage changed",
                workload=workload_id,
                organisation=record.organisation,
                covered=workload_id in context.coverage.covered,
                age_s=round(context.now.unix_s - record.accepted_at_unix_s, 3),
                state=str(record.state),
                **self._describe_share(record),
            )

    def _describe_share(self, record: WorkloadRecord) -> dict[str, int]:
        """Return, in accelerators, the need of a workload and its guarantee."""
        share = self._context.coverage.find_share(record.organisation)
        return {
            "accelerators_needed": count_needed(record),
            "accelerators_guaranteed": share.guaranteed,
            "accelerators_covered": share.covered,
            "accelerators_requested": share.requested,
        }

    def report_waits(self, reasons: dict[StepKey, tuple[PlanUnit, str]]) -> None:
        """Log the urgent units that wait, and forget the others.

        Parameters
        ----------
        reasons : dict of StepKey to (PlanUnit, str)
            All waiting units, and why each waits.
        """
        for step_key in [one for one in self._reports if one not in reasons]:
            del self._reports[step_key]
        for unit, reason in reasons.values():
            if unit.queue.priority == 0:
                self._report_wait(unit, reason)

    def _report_wait(self, unit: PlanUnit, reason: str) -> None:
        context = self._context
        last = self._reports.get(unit.step_key)
        is_same = last is not None and (last.is_covered, last.reason) == (
            unit.is_guaranteed,
            reason,
        )
        if is_same and context.now_s < last.next_s:
            return
        self._reports[unit.step_key] = _LastReport(
            unit.is_guaranteed, reason, context.now_s + REPORT_INTERVAL_S
        )
        context.log_decision(
            "urgent work waits",
            workload=unit.record.workload_id,
            step=unit.step,
            organisation=unit.record.organisation,
            reason=reason,
            covered=unit.is_guaranteed,
            tasks=len(unit.indexes),
            waited_s=round(context.now_s - unit.arrival_s, 3),
            covered_s=self._find_covered_s(unit),
            bound_s=context.terms.guaranteed_start_s,
            **self._describe_share(unit.record),
            **self._describe_fleet(unit),
        )

    def _describe_fleet(self, unit: PlanUnit) -> dict[str, object]:
        """Return what keeps the upstreams of a unit from running it."""
        context = self._context
        sessions = [
            session
            for session in context.sessions.values()
            if session.record.pool == unit.queue.pool
        ]
        health = [context.find_health(one.upstream_id) for one in sessions]
        stopping = [
            context.now_s - view.entered_s
            for session in sessions
            for view in session.runs.values()
            if view.phase is RunPhase.STOPPING
        ]
        return {
            "upstreams": len(sessions),
            "usable": sum(one.is_usable for one in sessions),
            "evacuated": sum(one.evacuated_at_s is not None for one in sessions),
            "quarantined": sum(one.is_quarantined(context.now_s) for one in health),
            "on_probation": sum(one.is_on_probation for one in health),
            "refusing": sum(context.now_s < one.refused_until_s for one in sessions),
            "stopping": len(stopping),
            "longest_stopping_s": round(max(stopping, default=0.0), 3),
        }

    def report_start(self, unit: PlanUnit) -> None:
        """Log that all waiting tasks of an urgent unit were placed.

        Only the first start of the first step can be late. Later ones also wait for
        runs that end early and for earlier steps. The bound counts from the moment at
        which the guarantee covers the work: an organisation that asks for more than its
        guarantee has no promise for the rest.
        """
        if unit.queue.priority > 0:
            return
        context = self._context
        waited_s = context.now_s - unit.arrival_s
        runs_before = max(
            unit.record.find_task(unit.make_task_id(index)).last_run
            for index in unit.indexes
        )
        is_first = unit.step == 0 and not runs_before
        covered_s = self._find_covered_s(unit)
        is_beyond = covered_s > context.terms.guaranteed_start_s
        is_late = unit.is_guaranteed and is_first and is_beyond
        context.log_decision(
            "guaranteed work began late" if is_late else "urgent work began",
            workload=unit.record.workload_id,
            step=unit.step,
            organisation=unit.record.organisation,
            covered=unit.is_guaranteed,
            tasks=len(unit.indexes),
            runs_before=runs_before,
            waited_s=round(waited_s, 3),
            covered_s=covered_s,
            bound_s=context.terms.guaranteed_start_s,
        )

    def _find_covered_s(self, unit: PlanUnit) -> float:
        """Return for how many seconds of its wait a guarantee has covered a unit."""
        context = self._context
        covered_s = context.coverage.find_covered_s(
            unit.record.workload_id, context.now_s
        )
        return round(min(covered_s, context.now_s - unit.arrival_s), 3)

"""Decisions of a leader on submitted workloads, with their log lines and counters."""

from tanagerpath.core.coordination import Instant
from tanagerpath.core.workloads.admission import (
    AdmissionPolicy,
    AdmissionRequest,
    Admitted,
    Refused,
    make_admission_policy,
)
from tanagerpath.core.workloads.configuration import Queue
from tanagerpath.core.workloads.containment import PROCESS_ERRORS
from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.events import AdmissionDecided
from tanagerpath.core.workloads.records import WorkloadRecord
from tanagerpath.core.workloads.specs import WorkloadSpec
from tanagerpath.core.workloads.work_tracker import WorkTracker

__all__ = ["AdmissionControl"]


class AdmissionControl:
    """Asks the policy about new workloads and reports what it decides.

    Parameters
    ----------
    context : DispatchContext
        State of the term.
    policy : AdmissionPolicy
        The policy.
    tracker : WorkTracker
        Provides the work of the workloads.
    """

    def __init__(
        self, context: DispatchContext, policy: AdmissionPolicy, tracker: WorkTracker
    ) -> None:
        self._context = context
        self._policy = policy
        self._tracker = tracker

    @classmethod
    def from_context(cls, context: DispatchContext) -> "AdmissionControl":
        """Build the control of a new leader, with the policy of its settings."""
        tracker = WorkTracker(context)
        policy = make_admission_policy(context.terms.admission, tracker)
        return cls(context, policy, tracker)

    def note_changed(self, workload_id: str) -> None:
        """Note that a workload was accepted, has ended, or that a run has."""
        self._tracker.note_changed(workload_id)

    def decide(
        self, spec: WorkloadSpec, queue: Queue, organisation: str, now: Instant
    ) -> Admitted | Refused:
        """Decide on a workload that is neither stored nor proposed.

        An unexpected error in the decision must not cost the caller the workload.
        """
        decision = Admitted()
        if self._policy.examines_work:
            try:
                decision = self._examine(spec, queue, organisation, now)
            except PROCESS_ERRORS:
                raise
            except Exception as error:
                self._context.log_error(
                    "admission", error, workload=spec.workload_id, queue=queue.name
                )
        outcome = "refused" if isinstance(decision, Refused) else "admitted"
        self._context.add_effect(AdmissionDecided(queue.name, organisation, outcome))
        return decision

    def _examine(
        self, spec: WorkloadSpec, queue: Queue, organisation: str, now: Instant
    ) -> Admitted | Refused:
        record = WorkloadRecord(spec, queue.name, organisation, now.unix_s)
        is_covered = self._tracker.would_cover(record, queue)
        request = AdmissionRequest(
            item=self._tracker.make_item(record, queue, is_covered, now.now_s),
            pool=queue.pool,
            is_exempt=bool(spec.repeat_count)
            or any(step.long_running for step in spec.steps),
            earlier=self._context.state.refusals.find(organisation, spec.workload_id),
            now_s=now.now_s,
            now_unix_s=now.unix_s,
        )
        decision = self._policy.decide(request)
        self._log(request, decision)
        return decision

    def _log(self, request: AdmissionRequest, decision: Admitted | Refused) -> None:
        """Log a refusal, and an acceptance that the work ahead put in question."""
        if not decision.figures:
            return
        item = request.item
        fields = {
            "workload": item.workload_id,
            "queue": item.queue,
            "organisation": item.organisation,
            "refusals_before": request.earlier.count if request.earlier else 0,
            **decision.figures,
        }
        if isinstance(decision, Refused):
            self._context.log_decision(
                "workload refused", reason=decision.reason, **fields
            )
        else:
            self._context.log_decision("workload has to wait", **fields)

"""Job life cycle on the leader."""

import itertools

import attrs
from returns.pipeline import is_successful
from returns.result import Result, Success

from tanagerpath.core.coordination import failures
from tanagerpath.core.coordination.attempts import Attempt, AttemptPhase
from tanagerpath.core.coordination.conclusions import ConclusionConfig
from tanagerpath.core.coordination.driver import AttemptConfig, AttemptDriver
from tanagerpath.core.coordination.finalizer import AttemptFinalizer
from tanagerpath.core.coordination.fleet import Fleet
from tanagerpath.core.coordination.messages import (
    CommandApplied,
    CountEvent,
    Effect,
    Event,
    Instant,
    JobPeriod,
    LeaveArrived,
    Propose,
    RecordPeriod,
    ReportArrived,
    Respond,
    Ticked,
    UpstreamCallFailed,
    UpstreamReplied,
)
from tanagerpath.core.coordination.orphans import is_report_obsolete
from tanagerpath.core.coordination.reconciliation import TaskReconciler
from tanagerpath.core.coordination.registry import AttemptRegistry
from tanagerpath.core.coordination.sessions import LeaseConfig
from tanagerpath.core.coordination.submission import JobSubmitter
from tanagerpath.core.model import AttemptId, ServiceDocument
from tanagerpath.core.placement import (
    GuaranteeCannotBeMet,
    PlaceJob,
    PreemptJob,
    Scheduler,
)
from tanagerpath.core.protocol import upstreams as protocol
from tanagerpath.core.state import (
    AcceptJob,
    ApplyDocument,
    ExpireJobs,
    JobRecord,
    RecordStart,
    RegisterUpstream,
    RemoveUpstream,
    RequestCancel,
    SystemState,
)
from tanagerpath.errors import Failure

__all__ = ["Coordinator", "CoordinatorConfig"]

EXPIRE_INTERVAL_S = 60.0


@attrs.frozen
class CoordinatorConfig:
    """Timeouts and limits of the coordinator."""

    leases: LeaseConfig = attrs.field(factory=LeaseConfig)
    attempts: AttemptConfig = attrs.field(factory=AttemptConfig)
    conclusions: ConclusionConfig = attrs.field(factory=ConclusionConfig)


class Coordinator:
    """Runs accepted jobs to completion; one instance for each leader term.

    It reads the replicated state and changes it only by proposing commands. A new
    leader rebuilds all volatile state from the replicated state and the upstreams.

    Parameters
    ----------
    config : CoordinatorConfig
        Timeouts and limits.
    state : SystemState
        Replicated state, changed by its owner between calls.
    scheduler : Scheduler
        Scheduling policy without any jobs or upstreams yet.
    term : int
        Term of the leader.
    now : Instant
        Time at which this leader took over.
    """

    def __init__(
        self,
        config: CoordinatorConfig,
        state: SystemState,
        scheduler: Scheduler,
        term: int,
        now: Instant,
    ) -> None:
        self._config = config
        self._state = state
        self._scheduler = scheduler
        self._term = term
        self._counter = itertools.count(1)
        self._fleet = Fleet(
            state.upstreams.values(), scheduler, config.leases, term, now
        )
        self._driver = AttemptDriver(term, self._fleet, scheduler, config.attempts)
        self._attempts = AttemptRegistry()
        self._submitter = JobSubmitter(state, scheduler, config.conclusions, now)
        self._finalizer = AttemptFinalizer(
            state, scheduler, self._attempts, self._submitter, config.conclusions
        )
        self._reconciler = TaskReconciler(
            term, self._attempts, self._driver, self._finalizer
        )
        self._expire_at_s = now.now_s
        self._effects: list[Effect] = []
        self._update_guarantees()
        self._take_over_jobs(now)

    @classmethod
    def from_state(
        cls,
        config: CoordinatorConfig,
        state: SystemState,
        scheduler: Scheduler,
        term: int,
        now: Instant,
    ) -> "Coordinator":
        """Build the coordinator of a new leader from the replicated state."""
        return cls(config, state, scheduler, term, now)

    def handle(self, events: list[Event], now: Instant) -> list[Effect]:
        """Process events in order and return the resulting effects.

        Parameters
        ----------
        events : list of Event
            Events since the last call.
        now : Instant
            One reading of the clocks for all events.

        Returns
        -------
        list of Effect
            Effects to carry out in order.
        """
        for event in events:
            self._handle_event(event, now)
        if now.has_lease:
            self._decide(now)
        effects = self._effects
        self._effects = []
        return effects

    def check_document(self, document: ServiceDocument) -> Result[None, Failure]:
        """Check that all guarantees could be met with this document in force."""
        merged = self._state.merge_guarantees(document)
        if not any(merged.values()):
            return Success(None)
        return self._scheduler.check_guarantees(merged)

    def explain(self, job_id: str, now: Instant) -> str:
        """Explain in one or two sentences why a job waits or where it runs."""
        attempt = self._attempts.find(job_id)
        if attempt is not None:
            return attempt.describe()
        if self._submitter.is_in_backoff(job_id):
            return "The job waits for a short time after a failed attempt."
        return self._scheduler.explain(job_id, now.now_s)

    @property
    def fleet(self) -> Fleet:
        """Sessions of all upstreams; read only for status."""
        return self._fleet

    @property
    def attempts(self) -> dict[str, Attempt]:
        """Attempts in progress by job id; read only for status."""
        return self._attempts.by_job

    def list_unmet_guarantees(self) -> tuple[GuaranteeCannotBeMet, ...]:
        """Return the guarantees that cannot be met now."""
        return self._scheduler.list_unmet_guarantees()

    def _handle_event(self, event: Event, now: Instant) -> None:
        match event:
            case Ticked():
                self._tick(now)
            case CommandApplied(command, result):
                self._handle_command(command, result, now)
            case UpstreamReplied():
                self._handle_reply(event, now)
            case UpstreamCallFailed():
                self._handle_call_failure(event)
            case ReportArrived(token, report):
                self._handle_report(token, report, now)
            case LeaveArrived(token, notice):
                self._handle_leave(token, notice, now)

    # Takeover

    def _take_over_jobs(self, now: Instant) -> None:
        for record in self._state.list_open_jobs():
            if record.assignment is None:
                self._effects += self._submitter.submit(record, now)
            else:
                self._resume(record, now)

    def _resume(self, record: JobRecord, now: Instant) -> None:
        """Resend the start requests: they are idempotent and report what runs."""
        pending = self._submitter.make_pending_job(record, now)
        self._scheduler.restore(pending, record.assignment, now.now_s)
        attempt = Attempt.from_assignment(
            record.job_id, record.request, record.attempt, record.assignment, 0.0
        )
        attempt.checkpoints = record.checkpoints
        self._submitter.mark_submitted(record.job_id)
        self._attempts.add(attempt)
        self._effects += self._driver.start(attempt, now)
        leases = self._config.leases
        # Upstreams may take up to a lease duration to answer a new leader.
        attempt.deadline_s = now.now_s + leases.lease_s + leases.clock_margin_s
        if record.cancel_requested:
            self._stop(attempt, failures.JobCancelled(), now)

    def _update_guarantees(self) -> None:
        self._scheduler.update_guarantees(
            self._state.merge_guarantees(), self._state.merge_quotas()
        )

    # Time

    def _tick(self, now: Instant) -> None:
        self._effects += self._fleet.renew_due_leases(now)
        for attempt in self._list_attempts_to_tick(now):
            self._effects += self._driver.tick(attempt, now)
            self._effects += self._finalizer.finalize_if_done(attempt, now)
        self._effects += self._submitter.tick(self._attempts, now)
        self._probe_upstreams(now)
        if now.now_s >= self._expire_at_s:
            self._expire_at_s = now.now_s + EXPIRE_INTERVAL_S
            if self._state.has_expired_jobs(now.unix_s):
                self._effects.append(Propose(ExpireJobs(now.unix_s)))

    def _list_attempts_to_tick(self, now: Instant) -> list[Attempt]:
        """Return the attempts that may change as time passes.

        Time alone changes a running attempt only when a member's lease expires. One
        check of each upstream avoids a scan of every member of every gang on each tick.
        """
        lost: set[str] = set()
        for upstream_id in self._attempts.list_upstreams():
            if self._fleet.has_lease_expired(upstream_id, now):
                lost.update(
                    a.job_id for a in self._attempts.list_on_upstream(upstream_id)
                )
        return [
            attempt
            for attempt in self._attempts.list_all()
            if attempt.phase is not AttemptPhase.RUNNING or attempt.job_id in lost
        ]

    def _probe_upstreams(self, now: Instant) -> None:
        for upstream_id in self._scheduler.list_probe_candidates(now.now_s):
            session = self._fleet.find(upstream_id)
            if session is not None:
                request = protocol.ProbeRequest(self._term)
                self._effects.append(session.make_call(request))

    def _decide(self, now: Instant) -> None:
        for decision in self._scheduler.decide(now.now_s):
            match decision:
                case PlaceJob():
                    self._place(decision, now)
                case PreemptJob(job_id, deadline_s):
                    self._preempt(job_id, deadline_s, now)

    def _place(self, decision: PlaceJob, now: Instant) -> None:
        record = self._state.jobs[decision.job_id]
        attempt = Attempt.from_assignment(
            record.job_id,
            record.request,
            AttemptId(self._term, next(self._counter)),
            decision.assignment,
            now.now_s,
        )
        attempt.checkpoints = record.checkpoints
        self._attempts.add(attempt)
        self._effects += self._driver.reserve(attempt, now)

    def _preempt(self, job_id: str, deadline_s: float, now: Instant) -> None:
        attempt = self._attempts.find(job_id)
        if attempt is None:
            return
        if attempt.phase is AttemptPhase.RUNNING:
            self._effects += self._driver.preempt(attempt, deadline_s, now)
        else:
            self._stop(attempt, failures.JobPreempted(), now)

    # Commands

    def _handle_command(
        self, command: object, result: Result[object, Failure], now: Instant
    ) -> None:
        match command:
            case AcceptJob(job_id):
                self._handle_accepted(job_id, result, now)
            case ApplyDocument() if is_successful(result):
                self._update_guarantees()
            case RegisterUpstream(announcement):
                self._fleet.register(announcement, now)
            case RemoveUpstream(upstream_id):
                # It may have registered again under a new incarnation.
                if upstream_id not in self._state.upstreams:
                    self._fleet.remove(upstream_id)
            case RecordStart(job_id, attempt_id):
                self._handle_start_recorded(job_id, attempt_id, result, now)
            case RequestCancel(job_ids):
                for job_id in job_ids:
                    self._handle_cancel(job_id, now)
            case ExpireJobs():
                pass
            case _ if hasattr(command, "job_id"):
                self._effects += self._finalizer.handle_concluded(command.job_id, now)

    def _handle_accepted(
        self, job_id: str, result: Result[object, Failure], now: Instant
    ) -> None:
        record = self._state.jobs.get(job_id)
        if is_successful(result) and record is not None:
            self._effects += self._submitter.submit(record, now)

    def _handle_start_recorded(
        self,
        job_id: str,
        attempt_id: AttemptId,
        result: Result[object, Failure],
        now: Instant,
    ) -> None:
        attempt = self._attempts.find(job_id)
        if attempt is None or attempt.attempt_id != attempt_id:
            return
        if is_successful(result):
            record = self._state.jobs[job_id]
            elapsed_s = now.unix_s - record.accepted_at_unix_s
            self._effects.append(
                RecordPeriod.from_request(JobPeriod.WAITING, record.request, elapsed_s)
            )
            self._effects += self._driver.start(attempt, now)
            self._effects += self._finalizer.finalize_if_done(attempt, now)
        else:
            attempt.record_proposed = False
            self._stop(attempt, result.failure(), now)

    def _handle_cancel(self, job_id: str, now: Instant) -> None:
        self._scheduler.withdraw(job_id)
        attempt = self._attempts.find(job_id)
        if attempt is not None:
            self._stop(attempt, failures.JobCancelled(), now)

    def _stop(self, attempt: Attempt, reason: Failure, now: Instant) -> None:
        self._effects += self._driver.stop(attempt, reason, now)
        self._effects += self._finalizer.finalize_if_done(attempt, now)

    # Upstreams

    def _handle_reply(self, event: UpstreamReplied, now: Instant) -> None:
        session = self._fleet.find(event.upstream_id, event.incarnation)
        if session is None:
            return
        match event.reply:
            case protocol.RenewReply(incarnation=incarnation) if (
                incarnation != session.announcement.incarnation
            ):
                actual = self._fleet.correct_incarnation(session, incarnation)
                self._effects.append(Propose(RegisterUpstream(actual)))
            case protocol.RenewReply():
                requested_at_s = session.renewal_sent_at_s
                if session.replied_at_s is None:
                    self._effects += self._reconciler.mark_replaced_members_lost(
                        session, now
                    )
                self._effects += self._fleet.handle_reply(session, event.reply, now)
                self._effects += self._reconciler.reconcile(
                    session, event.reply, requested_at_s, now
                )
            case protocol.ProbeReply(healthy):
                self._scheduler.record_probe(event.upstream_id, healthy, now.now_s)
            case _:
                self._handle_member_reply(event, now)

    def _handle_member_reply(self, event: UpstreamReplied, now: Instant) -> None:
        request = event.request
        attempt = self._attempts.find(request.job_id)
        if attempt is None or attempt.attempt_id != request.attempt:
            return
        member = attempt.members[request.rank]
        was_starting = attempt.phase is AttemptPhase.STARTING
        self._effects += self._driver.handle_reply(attempt, member, event.reply, now)
        self._handle_started(attempt, was_starting, now)
        self._effects += self._finalizer.finalize_if_done(attempt, now)

    def _handle_started(
        self, attempt: Attempt, was_starting: bool, now: Instant
    ) -> None:
        if was_starting and attempt.phase is AttemptPhase.RUNNING:
            self._scheduler.record_started(attempt.job_id, now.now_s)
            elapsed_s = now.now_s - attempt.recorded_at_s
            self._effects.append(
                RecordPeriod.from_request(JobPeriod.START, attempt.request, elapsed_s)
            )

    def _handle_call_failure(self, event: UpstreamCallFailed) -> None:
        session = self._fleet.find(event.upstream_id, event.incarnation)
        if session is not None and isinstance(event.request, protocol.RenewRequest):
            self._fleet.mark_renewal_failed(session)
        self._effects.append(CountEvent(event.failure.type_name))

    def _handle_leave(
        self, token: int, notice: protocol.LeaveNotice, now: Instant
    ) -> None:
        session = self._fleet.find(notice.upstream_id, notice.incarnation)
        if session is None:
            self._effects.append(Respond(token, protocol.LeaveReply(drained=True)))
            return
        self._fleet.mark_leaving(notice.upstream_id, now)
        drained = not self._attempts.list_on_upstream(notice.upstream_id)
        if drained:
            removal = RemoveUpstream(notice.upstream_id, notice.incarnation)
            self._effects.append(Propose(removal))
        self._effects.append(Respond(token, protocol.LeaveReply(drained)))

    # Reports

    def _handle_report(
        self, token: int, report: protocol.TaskReport, now: Instant
    ) -> None:
        status = report.status
        attempt = self._attempts.find(status.job_id)
        if attempt is None or attempt.attempt_id != status.attempt:
            self._answer_unmatched_report(token, report)
            return
        known_rank = 0 <= status.rank < len(attempt.members)
        member = attempt.members[status.rank] if known_rank else None
        if member is None or member.run.upstream_id != report.upstream_id:
            self._effects.append(CountEvent("crossed_report"))
            self._effects.append(Respond(token, protocol.ReportReply(False)))
            return
        was_starting = attempt.phase is AttemptPhase.STARTING
        self._effects += self._driver.handle_report(attempt, member, report, now)
        self._handle_started(attempt, was_starting, now)
        self._effects += self._finalizer.finalize_if_done(attempt, now)
        if attempt.phase is AttemptPhase.CONCLUDING:
            attempt.report_tokens.append(token)
        else:
            self._effects.append(Respond(token, protocol.ReportReply(False)))

    def _answer_unmatched_report(self, token: int, report: protocol.TaskReport) -> None:
        obsolete = is_report_obsolete(
            report, self._state.jobs.get(report.status.job_id)
        )
        name = "late_report" if obsolete else "crossed_report"
        self._effects.append(CountEvent(name))
        self._effects.append(Respond(token, protocol.ReportReply(obsolete)))

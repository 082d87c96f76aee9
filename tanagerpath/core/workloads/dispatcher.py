"""Decisions of the leader on workloads: which runs start, stop and are recorded."""

from collections.abc import Callable
from typing import Any

from tanagerpath.core.coordination import (
    Effect,
    Instant,
    JobPeriod,
    Propose,
    RecordPeriod,
    Ticked,
    UpstreamCallFailed,
    UpstreamReplied,
)
from tanagerpath.core.workloads import commands
from tanagerpath.core.workloads.admission_control import AdmissionControl
from tanagerpath.core.workloads.advice import TicketCache
from tanagerpath.core.workloads.commands import RunOutcome, RunStart
from tanagerpath.core.workloads.containment import PROCESS_ERRORS
from tanagerpath.core.workloads.dispatch_context import (
    DispatchContext,
    DispatchTerms,
    QueuedEnd,
)
from tanagerpath.core.workloads.events import CommandRecorded, CommandRejected
from tanagerpath.core.workloads.orders import (
    AdviceRequest,
    HoldReply,
    OrderDone,
    OrderRefused,
    Refusal,
    UpkeepRequest,
    VmListRequest,
    WrongIncarnation,
)
from tanagerpath.core.workloads.pacing import PaceController
from tanagerpath.core.workloads.plan_schedule import PlanSchedule
from tanagerpath.core.workloads.planner import StartPlanner
from tanagerpath.core.workloads.policy import (
    WorkloadPolicy,
)
from tanagerpath.core.workloads.preemption import Preemption
from tanagerpath.core.workloads.records import WorkloadState
from tanagerpath.core.workloads.registry import UpstreamRegistry
from tanagerpath.core.workloads.run_driver import RunDriver
from tanagerpath.core.workloads.run_supervisor import RunSupervisor
from tanagerpath.core.workloads.runs import RunPhase, StopCause
from tanagerpath.core.workloads.sessions import UpstreamSession
from tanagerpath.core.workloads.standing_reports import StandingReporter
from tanagerpath.core.workloads.state import Applied, FleetState
from tanagerpath.core.workloads.upkeep import UpkeepController
from tanagerpath.core.workloads.vm_watch import VmWatch
from tanagerpath.errors import Failure

__all__ = ["Dispatcher"]

SILENCE_CHECK_INTERVAL_S = 5.0


class Dispatcher:
    """Decides on runs during one term of a leader.

    Parameters
    ----------
    context : DispatchContext
        State of the term.
    policy : WorkloadPolicy
        Chooses upstreams for tasks, and runs to preempt.
    """

    def __init__(self, context: DispatchContext, policy: WorkloadPolicy) -> None:
        self._context = context
        self.registry = UpstreamRegistry(context)
        self.admission = AdmissionControl.from_context(context)
        self._driver = RunDriver(context)
        self._preemption = Preemption(context, self._driver)
        self._pace_controller = PaceController(context, self._driver)
        self._advice = TicketCache(context)
        self._schedule = PlanSchedule(context)
        self._planner = StartPlanner(
            context, self._schedule, policy, self._preemption, self._advice
        )
        self._standing_reporter = StandingReporter(
            context,
            self._preemption.history,
            self._planner.history,
            self._planner.view_fleet,
        )
        self._supervisor = RunSupervisor(
            context, self._driver, self._planner.view_fleet
        )
        self._upkeep = UpkeepController(context, self._driver, f"leader-{context.term}")
        self._vm_watch = VmWatch(context)
        # By the type of the request: an upstream may have any identity.
        self._services = {
            AdviceRequest: self._advice,
            UpkeepRequest: self._upkeep,
            VmListRequest: self._vm_watch,
        }
        self._pending_record: commands.RecordRuns | None = None
        self._pending_ends: list[QueuedEnd] = []
        self._next_silence_check_s = context.now_s + SILENCE_CHECK_INTERVAL_S
        self._must_drive_all = True

    @classmethod
    def from_state(
        cls,
        terms: DispatchTerms,
        state: FleetState,
        policy: WorkloadPolicy,
        term: int,
        now: Instant,
    ) -> "Dispatcher":
        """Build the dispatcher of a new leader from the replicated state."""
        return cls(DispatchContext(terms, state, term, now), policy)

    @property
    def context(self) -> DispatchContext:
        """State of the term; callers only read it."""
        return self._context

    def handle(self, events: list[object], now: Instant) -> list[Effect]:
        """Handle events and return the resulting effects.

        Parameters
        ----------
        events : list
            `Ticked`, `CommandRecorded`, `CommandRejected`, `UpstreamReplied` and
            `UpstreamCallFailed`, in order of arrival.
        now : Instant
            Reading of the clocks.

        Returns
        -------
        list of Effect
            Effects to carry out in order.
        """
        self._context.advance(now)
        for event in events:
            self._handle_event(event)
        if now.has_lease:
            self._drive()
        return self._context.take_effects()

    def _handle_event(self, event: object) -> None:
        match event:
            case Ticked():
                self._must_drive_all = True
            case CommandRecorded(command, applied):
                self._handle_committed(command, applied)
            case CommandRejected(command):
                self._handle_rejection(command)
            case UpstreamReplied() | UpstreamCallFailed() if (
                type(event.request) in self._services
            ):
                self._handle_service_event(event)
            case UpstreamReplied() | UpstreamCallFailed():
                session = self._context.find_session(
                    event.upstream_id, event.incarnation
                )
                if session is not None and not session.is_faulted:
                    self._handle_upstream_event(session, event)

    def _handle_service_event(
        self, event: UpstreamReplied | UpstreamCallFailed
    ) -> None:
        service = self._services[type(event.request)]
        try:
            if isinstance(event, UpstreamReplied):
                service.handle_reply(event.request, event.reply)
            else:
                service.handle_failure(event.request, event.failure.message)
        except PROCESS_ERRORS:
            raise
        except Exception as error:
            request_type = type(event.request).__name__
            self._context.log_error("service", error, request=request_type)

    def _handle_upstream_event(
        self, session: UpstreamSession, event: UpstreamReplied | UpstreamCallFailed
    ) -> None:
        try:
            if isinstance(event, UpstreamReplied):
                self._handle_reply(session, event.request, event.reply)
            else:
                self._handle_call_failure(session, event.request, event.failure)
        except PROCESS_ERRORS:
            raise
        except Exception as error:
            self._set_aside(session, error, request=type(event.request).__name__)

    def _set_aside(
        self, session: UpstreamSession, error: Exception, **fields: Any
    ) -> None:
        """Stop driving an upstream after an error, as its state may be inconsistent."""
        self._context.log_error(
            "upstream",
            error,
            upstream=session.upstream_id,
            incarnation=session.record.incarnation,
            runs=len(session.runs),
            **fields,
        )
        self.registry.set_aside(session)

    def _handle_call_failure(
        self, session: UpstreamSession, request: object, failure: Failure
    ) -> None:
        self._context.touch(session)
        if isinstance(failure, WrongIncarnation):
            self.registry.mark_replaced(session)
        else:
            self._driver.handle_failure(session, request)

    def _handle_reply(
        self, session: UpstreamSession, request: object, reply: object
    ) -> None:
        self._context.touch(session)
        if isinstance(
            reply, HoldReply | OrderDone
        ) and not self.registry.is_same_incarnation(session, reply.born_unix_ms):
            self.registry.mark_superseded(session)
            return
        if isinstance(reply, OrderRefused) and reply.refusal is Refusal.NO_TICKET:
            task = request.task
            self._advice.drop_ticket(task.workload_id, task.occurrence, task.step)
        self._driver.handle_reply(session, request, reply)

    # Committed commands

    def _handle_committed(
        self, command: commands.WorkloadCommand, applied: Applied
    ) -> None:
        context = self._context
        match command:
            case commands.RecordRuns():
                self._handle_recorded_runs(command, applied)
            case commands.AcceptWorkload(spec=spec) if applied.changed:
                context.backlog.add(spec.workload_id)
                self.admission.note_changed(spec.workload_id)
                self._schedule.note_accepted()
            case commands.RegisterUpstream(record) if applied.changed:
                self.registry.note_registered(record)
            case commands.WithdrawUpstream(upstream_id, incarnation):
                self.registry.note_withdrawn(upstream_id, incarnation)
            case commands.PutConfiguration() if applied.changed:
                context.must_plan = True
            case commands.SetEvacuation(zone=zone) if applied.changed:
                self.registry.note_evacuation(zone)
        for workload_id in applied.ended_ids:
            self._handle_workload_end(workload_id)

    def _handle_recorded_runs(
        self, command: commands.RecordRuns, applied: Applied
    ) -> None:
        context = self._context
        for task in (one.task for one in (*command.starts, *command.ends)):
            self.admission.note_changed(task.workload_id)
        if command is not self._pending_record:
            return
        self._pending_record = None
        ended, self._pending_ends = self._pending_ends, []
        for queued in ended:
            session = queued.session
            self._standing_reporter.note_end(queued)
            context.close_run(queued)
            session.recorded_end = max(session.recorded_end, queued.number)
            self._acknowledge_ends(session)
            self._handle_run_end(queued)
        self._handle_starts(command.starts, set(applied.starts))

    def _acknowledge_ends(self, session: UpstreamSession) -> None:
        """Acknowledge all ends to an upstream once each of them is recorded."""
        if self._context.has_unrecorded_ends(session):
            return
        session.recorded_end = session.listed_end
        session.next_hold_s = self._context.now_s

    def _handle_starts(
        self, starts: tuple[RunStart, ...], recorded: set[RunStart]
    ) -> None:
        for start in starts:
            self._context.backlog.planned.discard(start.task)
            if start in recorded:
                self._order_start(start)
            else:
                self._drop_unrecorded_start(start)
        for start in starts:
            if start not in recorded:
                self._preemption.stop_gang(
                    start.task,
                    start.run,
                    "a member was not recorded",
                    StopCause.GANG_MEMBER_LOST,
                )

    def _order_start(self, start: RunStart) -> None:
        context = self._context
        session = context.find_session(start.upstream_id, start.incarnation)
        view = session.runs.get((start.task, start.run)) if session else None
        if view is None:
            return
        view.began_s = context.now_s
        view.enter(RunPhase.ORDERED, context.now_s)
        context.touch(session)
        record = context.state.workloads[start.task.workload_id]
        if start.task.index == 0 and start.run == 1:
            waited_s = context.now.unix_s - record.accepted_at_unix_s
            context.add_effect(
                RecordPeriod(
                    JobPeriod.WAITING, record.organisation, record.queue, waited_s
                )
            )
        if record.final_state is not None:
            self._driver.stop(
                session, view, str(record.final_state), StopCause.WORKLOAD_ENDED
            )
        elif context.is_listed_as_done(start.task):
            self._driver.stop(
                session, view, "an earlier run is done", StopCause.ALREADY_DONE
            )

    def _drop_unrecorded_start(self, start: RunStart) -> None:
        context = self._context
        session = context.find_session(start.upstream_id, start.incarnation)
        if session is not None:
            context.run_index.remove(session, (start.task, start.run))
        context.must_plan = True

    def _handle_run_end(self, queued: QueuedEnd) -> None:
        """Stop the runs that the end of another one makes useless.

        These are the other members of a gang if one of them did not end as done, and
        later runs of a task if an earlier one turns out to have completed it.
        """
        end = queued.end
        if queued.is_late and end.outcome is RunOutcome.DONE:
            self._preemption.stop_other_runs(end.task, end.run)
        if end.outcome is not RunOutcome.DONE:
            reason = f"a member ended as {end.outcome}"
            self._preemption.stop_gang(
                end.task, end.run, reason, StopCause.GANG_MEMBER_LOST
            )

    def _handle_workload_end(self, workload_id: str) -> None:
        context = self._context
        record = context.state.workloads[workload_id]
        context.backlog.remove(workload_id)
        self.admission.note_changed(workload_id)
        self._advice.forget(workload_id)
        self._preemption.forget(workload_id)
        context.start_backoff.forget(workload_id)
        context.closed_unlisted.pop(workload_id, None)
        context.must_plan = True
        context.log_decision(
            "workload ended",
            workload=workload_id,
            queue=record.queue,
            organisation=record.organisation,
            state=str(record.final_state),
            age_s=round(context.now.unix_s - record.accepted_at_unix_s, 3),
            tasks=len(record.tasks),
        )
        age_s = context.now.unix_s - record.accepted_at_unix_s
        context.add_effect(
            RecordPeriod(JobPeriod.COMPLETION, record.organisation, record.queue, age_s)
        )
        if record.final_state is not WorkloadState.COMPLETED:
            for session, view in context.run_index.list_runs(workload_id):
                self._driver.stop(
                    session, view, str(record.final_state), StopCause.WORKLOAD_ENDED
                )

    def _handle_rejection(self, command: commands.WorkloadCommand) -> None:
        """Undo the starts of a rejected command and queue its ends again."""
        if command is not self._pending_record:
            return
        self._pending_record = None
        ended, self._pending_ends = self._pending_ends, []
        for queued in ended:
            self._context.requeue_end(queued)
        self._handle_starts(command.starts, set())

    # Periodic work

    def _drive(self) -> None:
        context = self._context
        self._drive_upstreams(self._list_due())
        for part in (
            self._upkeep.advance,
            self._vm_watch.advance,
            self._propose_removals,
        ):
            self._run_part(part)
        self.registry.reopen_faulted()
        if self._pending_record is None:
            self._record(self._planner.plan())
            # The stops of this plan must not wait for the next event.
            self._drive_upstreams(context.take_touched())
        self.registry.drop_departed()
        self._run_part(self._standing_reporter.advance)

    def _run_part(self, part: Callable[[], None]) -> None:
        """Run a part of the decisions that the others do not need."""
        try:
            part()
        except PROCESS_ERRORS:
            raise
        except Exception as error:
            self._context.log_error(part.__qualname__, error)

    def _list_due(self) -> tuple[UpstreamSession, ...]:
        """Return the sessions on which an order may be due.

        Deadlines of all sessions are checked with each tick. Between two ticks only
        sessions that have changed are checked, so that the cost of a reply does not
        grow with the number of upstreams.
        """
        touched = self._context.take_touched()
        if not self._must_drive_all:
            return touched
        self._must_drive_all = False
        return tuple(self._context.sessions.values())

    def _drive_upstreams(self, sessions: tuple[UpstreamSession, ...]) -> None:
        for session in sessions:
            try:
                self._drive_upstream(session)
            except PROCESS_ERRORS:
                raise
            except Exception as error:
                self._set_aside(session, error)

    def _drive_upstream(self, session: UpstreamSession) -> None:
        if session.is_faulted:
            self._driver.drive(session)
            return
        self._supervisor.evacuate_draining(session)
        self._supervisor.stop_stalled(session)
        self._driver.drive(session)
        self._pace_controller.adjust(session)

    def _propose_removals(self) -> None:
        context = self._context
        if context.now_s < self._next_silence_check_s:
            return
        self._next_silence_check_s = context.now_s + SILENCE_CHECK_INTERVAL_S
        for command in self.registry.list_silent_withdrawals():
            context.add_effect(Propose(command))
        expired = context.now.unix_s - context.terms.retention_s
        if any(
            record.final_state is not None
            and not record.open_count
            and record.ended_at_unix_s < expired
            for record in context.state.workloads.values()
        ):
            context.add_effect(Propose(commands.ExpireWorkloads(expired)))

    def _record(self, starts: tuple[RunStart, ...]) -> None:
        """Propose all queued ends and the starts in one command."""
        context = self._context
        if not starts and not context.ends:
            return
        self._pending_ends, context.ends = context.ends, []
        command = commands.RecordRuns(
            starts=starts,
            ends=tuple(queued.end for queued in self._pending_ends),
            at_unix_s=context.now.unix_s,
            learned=context.estimates.take_changes(),
        )
        self._pending_record = command
        context.add_effect(Propose(command))

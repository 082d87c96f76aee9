"""The leader's decisions on workloads: what starts, what stops, what is recorded."""

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
from tanagerpath.core.workloads.advice import ADVICE_ID, TicketCache
from tanagerpath.core.workloads.commands import RunOutcome, RunStart
from tanagerpath.core.workloads.dispatch_context import (
    DispatchContext,
    DispatchTerms,
    QueuedEnd,
    describe_task,
)
from tanagerpath.core.workloads.events import CommandRecorded, CommandRejected
from tanagerpath.core.workloads.orders import (
    HoldReply,
    OrderRefused,
    Refusal,
    WrongIncarnation,
)
from tanagerpath.core.workloads.pacing import PaceController
from tanagerpath.core.workloads.policy import (
    FleetView,
    Placement,
    PlanUnit,
    WorkloadPolicy,
)
from tanagerpath.core.workloads.preemption import Preemption
from tanagerpath.core.workloads.records import WorkloadState
from tanagerpath.core.workloads.registry import UpstreamRegistry
from tanagerpath.core.workloads.run_driver import RunDriver
from tanagerpath.core.workloads.sessions import (
    RunPhase,
    RunView,
    StopCause,
    UpstreamSession,
)
from tanagerpath.core.workloads.specs import StepPlace, TaskId
from tanagerpath.core.workloads.state import Applied, FleetState
from tanagerpath.core.workloads.upkeep import PLATFORM_ID, UpkeepController

__all__ = ["Dispatcher"]

# A draining upstream is left early if its runs would take this many times as long.
DRAIN_PATIENCE = 2.0
# Before an upstream ends, a last checkpoint is taken from what can save one.
DRAIN_SAVE_S = 0.6
SILENCE_CHECK_INTERVAL_S = 5.0
# Progress is told in steps of a hundredth, and a prediction may be far too short.
STALL_SHARE = 0.15


class Dispatcher:
    """Decides for one term of a leader.

    Parameters
    ----------
    context : DispatchContext
        State of the term.
    policy : WorkloadPolicy
        Chooses places and what makes room.
    """

    def __init__(self, context: DispatchContext, policy: WorkloadPolicy) -> None:
        self._context = context
        self._policy = policy
        self.registry = UpstreamRegistry(context)
        self._driver = RunDriver(context)
        self._preemption = Preemption(context, self._driver)
        self._pace_keeper = PaceController(context, self._driver)
        self._advice = TicketCache(context)
        self._upkeep = UpkeepController(context, self._driver, f"leader-{context.term}")
        self._services = {ADVICE_ID: self._advice, PLATFORM_ID: self._upkeep}
        self._recording: commands.RecordRuns | None = None
        self._recorded_ends: list[QueuedEnd] = []
        self._next_plan_s = 0.0
        self._resting_until_s = 0.0
        self._next_silence_check_s = context.now_s + SILENCE_CHECK_INTERVAL_S

    @classmethod
    def from_state(
        cls,
        terms: DispatchTerms,
        state: FleetState,
        policy: WorkloadPolicy,
        term: int,
        now: Instant,
    ) -> "Dispatcher":
        """Build the decisions of a new leader on the replicated state."""
        return cls(DispatchContext(terms, state, term, now), policy)

    @property
    def context(self) -> DispatchContext:
        """State of the term; to be read only."""
        return self._context

    def handle(self, events: list[object], now: Instant) -> list[Effect]:
        """Take what has happened and return what is to be done.

        Parameters
        ----------
        events : list
            `Ticked`, `CommandRecorded`, `CommandRejected`, `UpstreamReplied` and
            `UpstreamCallFailed` in the order of their arrival.
        now : Instant
            Reading of the clocks.

        Returns
        -------
        list of Effect
            To be carried out in order.
        """
        self._context.now = now
        for event in events:
            self._take(event)
        if now.has_lease:
            self._drive()
        return self._context.take_effects()

    def _take(self, event: object) -> None:
        match event:
            case Ticked():
                pass
            case CommandRecorded(command, applied):
                self._follow(command, applied)
            case CommandRejected(command):
                self._take_rejection(command)
            case UpstreamReplied(upstream_id, _, request, reply) if (
                upstream_id in self._services
            ):
                self._services[upstream_id].handle_reply(request, reply)
            case UpstreamCallFailed(upstream_id, _, request, failure) if (
                upstream_id in self._services
            ):
                self._services[upstream_id].handle_failure(request, failure.message)
            case UpstreamReplied(upstream_id, incarnation, request, reply):
                session = self._context.find_session(upstream_id, incarnation)
                if session is not None:
                    self._take_reply(session, request, reply)
            case UpstreamCallFailed(upstream_id, incarnation, request, failure):
                session = self._context.find_session(upstream_id, incarnation)
                if session is None:
                    return
                if isinstance(failure, WrongIncarnation):
                    self.registry.mark_replaced(session)
                else:
                    self._driver.take_failure(session, request)

    def _take_reply(
        self, session: UpstreamSession, request: object, reply: object
    ) -> None:
        if isinstance(reply, HoldReply) and not self.registry.is_same_incarnation(
            session, reply.born_unix_ms
        ):
            self.registry.mark_superseded(session)
            return
        if isinstance(reply, OrderRefused) and reply.refusal is Refusal.NO_TICKET:
            task = request.task
            self._advice.drop_ticket(task.workload_id, task.occurrence, task.step)
        self._driver.take_reply(session, request, reply)

    # Committed commands

    def _follow(self, command: commands.WorkloadCommand, applied: Applied) -> None:
        context = self._context
        match command:
            case commands.RecordRuns():
                self._follow_runs(command, applied)
            case commands.AcceptWorkload(spec=spec) if applied.changed:
                context.backlog.add(spec.workload_id)
                context.must_plan = True
            case commands.RegisterUpstream(record) if applied.changed:
                self.registry.note_registered(record)
            case commands.WithdrawUpstream(upstream_id, incarnation):
                self.registry.note_withdrawn(upstream_id, incarnation)
            case commands.PutConfiguration() if applied.changed:
                context.must_plan = True
        for workload_id in applied.ended_ids:
            self._follow_end(workload_id)

    def _follow_runs(self, command: commands.RecordRuns, applied: Applied) -> None:
        context = self._context
        if command is not self._recording:
            return
        self._recording = None
        ended, self._recorded_ends = self._recorded_ends, []
        for queued in ended:
            session = queued.session
            context.close_run(session, (queued.end.task, queued.end.run))
            session.recorded_end = max(session.recorded_end, queued.number)
            self._release_ends(session)
            self._follow_run_end(queued)
        self._follow_starts(command.starts, set(applied.starts))

    def _release_ends(self, session: UpstreamSession) -> None:
        """Let an upstream forget all ends once none of them waits to be recorded."""
        if any(self._context.is_ending(key) for key in session.runs):
            return
        session.recorded_end = session.listed_end
        session.next_hold_s = self._context.now_s

    def _follow_starts(
        self, starts: tuple[RunStart, ...], recorded: set[RunStart]
    ) -> None:
        for start in starts:
            self._context.backlog.planned.discard(start.task)
            if start in recorded:
                self._order_start(start)
            else:
                self._take_back(start)
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
        record = context.state.workloads[start.task.workload_id]
        if start.task.index == 0 and start.run == 1:
            waited_s = context.now.unix_s - record.accepted_at_unix_s
            context.act(
                RecordPeriod(
                    JobPeriod.WAITING, record.organisation, record.queue, waited_s
                )
            )
        if record.final_state is not None:
            self._driver.stop(
                session, view, str(record.final_state), StopCause.WORKLOAD_ENDED
            )

    def _take_back(self, start: RunStart) -> None:
        context = self._context
        session = context.find_session(start.upstream_id, start.incarnation)
        if session is not None:
            session.remove_run((start.task, start.run))
        context.must_plan = True

    def _follow_run_end(self, queued: QueuedEnd) -> None:
        """Stop the rest of a gang that has lost a member."""
        end = queued.end
        if end.outcome is not RunOutcome.DONE:
            reason = f"a member ended as {end.outcome}"
            self._preemption.stop_gang(
                end.task, end.run, reason, StopCause.GANG_MEMBER_LOST
            )

    def _follow_end(self, workload_id: str) -> None:
        context = self._context
        record = context.state.workloads[workload_id]
        context.backlog.remove(workload_id)
        self._advice.forget(workload_id)
        self._preemption.forget(workload_id)
        context.refusals.forget(workload_id)
        context.must_plan = True
        context.note(
            "workload ended",
            workload=workload_id,
            queue=record.queue,
            organisation=record.organisation,
            state=str(record.final_state),
            age_s=round(context.now.unix_s - record.accepted_at_unix_s, 3),
            tasks=len(record.tasks),
        )
        age_s = context.now.unix_s - record.accepted_at_unix_s
        context.act(
            RecordPeriod(JobPeriod.COMPLETION, record.organisation, record.queue, age_s)
        )
        if record.final_state is not WorkloadState.COMPLETED:
            for session, view in self._preemption.find_views(workload_id):
                self._driver.stop(
                    session, view, str(record.final_state), StopCause.WORKLOAD_ENDED
                )

    def _take_rejection(self, command: commands.WorkloadCommand) -> None:
        """Take everything back that a command carried."""
        if command is not self._recording:
            return
        self._recording = None
        ended, self._recorded_ends = self._recorded_ends, []
        for queued in ended:
            self._context.reopen_end(queued)
        self._follow_starts(command.starts, set())

    # Driving

    def _drive(self) -> None:
        context = self._context
        self._leave_draining()
        self._stop_stalled()
        for session in tuple(context.sessions.values()):
            self._driver.drive(session)
        self._pace_keeper.adjust()
        self._upkeep.advance()
        self._forget_silent()
        if self._recording is None:
            self._record(self._plan())
        self.registry.drop_departed()

    def _leave_draining(self) -> None:
        """Move runs away that would be cut off by the end of their upstream."""
        context = self._context
        for session in context.sessions.values():
            if session.remaining_until_s is None or session.departed_at_s is not None:
                continue
            remaining_s = session.remaining_until_s - context.now_s
            fleet = self._view_fleet()
            for view in tuple(session.runs.values()):
                if view.phase is not RunPhase.RUNNING:
                    continue
                left_s = fleet.predict_remaining_s(view, session)
                if view.spec.checkpointing:
                    must_leave = remaining_s < DRAIN_SAVE_S and left_s > remaining_s
                else:
                    must_leave = left_s > DRAIN_PATIENCE * max(remaining_s, 0.0)
                if must_leave:
                    self._driver.stop(
                        session, view, "its upstream leaves", StopCause.UPSTREAM_LEAVES
                    )

    def _stop_stalled(self) -> None:
        context = self._context
        for session in context.sessions.values():
            if not session.reachable or not session.synced:
                continue
            for view in tuple(session.runs.values()):
                if self._is_stalled(session, view):
                    self._take_stall(session, view)

    def _is_stalled(self, session: UpstreamSession, view: RunView) -> bool:
        if view.phase is not RunPhase.RUNNING or view.spec.long_running:
            return False
        may_stand_still = view.spec.fills and (
            view.pace == 0 or self._context.now_s < view.pace_uncertain_until_s
        )
        if may_stand_still or view.percent >= 100:
            return False
        # Only a list that arrived after the bound shows that there is no progress.
        silent_s = session.last_contact_s - view.progress_s
        if silent_s <= self._context.terms.stall_s:
            return False
        return silent_s > STALL_SHARE * self._view_fleet().predict_total_s(
            view, session
        )

    def _take_stall(self, session: UpstreamSession, view: RunView) -> None:
        context = self._context
        workload_id = view.task.workload_id
        context.backlog.failed_on.setdefault(workload_id, set()).add(
            session.upstream_id
        )
        if not view.spec.gang:
            context.find_health(session.upstream_id).note_failure(
                workload_id, context.now_s
            )
        self._driver.stop(session, view, "no progress", StopCause.NO_PROGRESS)

    def _forget_silent(self) -> None:
        context = self._context
        if context.now_s < self._next_silence_check_s:
            return
        self._next_silence_check_s = context.now_s + SILENCE_CHECK_INTERVAL_S
        for command in self.registry.list_silent_withdrawals():
            context.act(Propose(command))
        expired = context.now.unix_s - context.terms.retention_s
        if any(
            record.final_state is not None and record.ended_at_unix_s < expired
            for record in context.state.workloads.values()
        ):
            context.act(Propose(commands.ExpireWorkloads(expired)))

    # Planning

    def _plan(self) -> tuple[RunStart, ...]:
        context = self._context
        if context.now_s < self._resting_until_s:
            return ()
        if not context.must_plan and context.now_s < self._next_plan_s:
            return ()
        context.must_plan = False
        self._next_plan_s = context.now_s + context.terms.plan_interval_s
        for session in context.sessions.values():
            context.find_health(session.upstream_id)
        units = self._advice.attach_tickets(self._list_units())
        self._preemption.close_lapsed(units)
        if not units:
            return ()
        pairs = len(units) * len(context.sessions)
        self._resting_until_s = context.now_s + context.terms.plan_cost_s * pairs
        plan = self._policy.plan(units, self._view_fleet())
        self._preemption.execute(plan)
        runs: dict[StepPlace, int] = {}
        return tuple(self._start(one, runs) for one in plan.placements)

    def _list_units(self) -> list[PlanUnit]:
        """Return what waits, without steps that pause after refused starts."""
        context = self._context
        return [
            unit
            for unit in context.backlog.list_units(context.now.unix_s)
            if not context.refusals.is_paused(unit.place, context.now_s)
        ]

    def _view_fleet(self) -> FleetView:
        context = self._context
        return FleetView(
            now_s=context.now_s,
            unix_s=context.now.unix_s,
            sessions=tuple(context.sessions.values()),
            health=context.health,
            estimates=context.estimates,
            remote_factor=context.terms.remote_factor,
            checkpoint_interval_s=context.terms.checkpoint_interval_s,
            preemption=self._preemption.history,
        )

    def _start(self, placement: Placement, runs: dict[StepPlace, int]) -> RunStart:
        context = self._context
        unit, session = placement.unit, placement.session
        task = unit.make_task_id(placement.index)
        run = self._choose_run(unit, task, runs)
        held = unit.record.find_task(task)
        view = RunView(
            task,
            run,
            unit.spec,
            unit.queue.name,
            unit.queue.priority,
            RunPhase.PROPOSED,
            context.now_s,
            checkpoint=self._find_checkpoint(unit, held.checkpoint),
            ticket=(unit.tickets or {}).get(session.upstream_id, ""),
        )
        session.add_run(view)
        context.backlog.planned.add(task)
        context.note(
            "task placed",
            task=describe_task(task),
            run=run,
            upstream=session.upstream_id,
            heard_age_s=round(context.now_s - session.last_contact_s, 3),
            speed=round(context.estimates.find_speed(session.upstream_id), 2),
            waited_s=round(context.now.unix_s - unit.arrival_unix_s, 3),
            objective_s=round(unit.objective_s, 2),
            guaranteed=unit.is_guaranteed,
            failures=unit.record.count_failures(task),
        )
        record = session.record
        return RunStart(task, run, record.upstream_id, record.incarnation)

    def _choose_run(
        self, unit: PlanUnit, task: TaskId, runs: dict[StepPlace, int]
    ) -> int:
        """Return the number of a new run; all members of a gang share one."""
        if not unit.spec.gang:
            return unit.record.find_task(task).last_run + 1
        place = unit.place
        if place not in runs:
            runs[place] = 1 + max(
                unit.record.find_task(unit.make_task_id(index)).last_run
                for index in range(unit.spec.count)
            )
        return runs[place]

    def _find_checkpoint(self, unit: PlanUnit, own: str) -> str:
        """Return the checkpoint to resume from; a gang shares one of its members'."""
        if not unit.spec.checkpointing:
            return ""
        if not unit.spec.gang:
            return own
        saved = (
            unit.record.find_task(unit.make_task_id(index)).checkpoint
            for index in range(unit.spec.count)
        )
        return next((checkpoint for checkpoint in saved if checkpoint), "")

    def _record(self, starts: tuple[RunStart, ...]) -> None:
        """Propose all ends and starts of this step in one command."""
        context = self._context
        if not starts and not context.ends:
            return
        self._recorded_ends, context.ends = context.ends, []
        command = commands.RecordRuns(
            starts=starts,
            ends=tuple(queued.end for queued in self._recorded_ends),
            at_unix_s=context.now.unix_s,
            learned=context.estimates.take_changes(),
        )
        self._recording = command
        context.act(Propose(command))

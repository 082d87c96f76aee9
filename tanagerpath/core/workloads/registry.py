"""Which upstreams there are, from their heartbeats and from the state."""

from tanagerpath.core.workloads.commands import (
    RegisterUpstream,
    RunOutcome,
    UpstreamRecord,
    WithdrawUpstream,
    WorkloadCommand,
)
from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.records import OpenRun, WorkloadRecord
from tanagerpath.core.workloads.requests import UpstreamReport, WithdrawalReport
from tanagerpath.core.workloads.sessions import (
    LATE_ORDER_S,
    RunKey,
    RunPhase,
    RunView,
    UpstreamSession,
)
from tanagerpath.core.workloads.specs import TaskId

__all__ = ["UpstreamRegistry"]


class UpstreamRegistry:
    """Sessions of all upstreams, and the commands that heartbeats ask for.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        # Incarnations that said farewell; a delayed heartbeat must not bring one back.
        self._withdrawn: set[str] = set()
        # Starts that departed upstreams may yet carry out under their old identity.
        self._unanswered: dict[str, dict[RunKey, float]] = {}
        for record in context.state.upstreams.values():
            self._open(record)
        for workload in context.state.workloads.values():
            self._adopt_runs(workload)

    def _open(self, record: UpstreamRecord) -> UpstreamSession:
        context = self._context
        lapse_s = context.now_s + context.terms.leases.stretch(
            context.terms.leases.lease_s
        )
        session = UpstreamSession(
            record, lapse_s, heard_s=context.now_s, opened_s=context.now_s
        )
        context.sessions[record.upstream_id] = session
        context.must_plan = True
        return session

    def _adopt_runs(self, workload: WorkloadRecord) -> None:
        """Take over the open runs of a workload from the state."""
        for task_id, task in workload.tasks.items():
            for held in task.open_runs:
                self._adopt(workload, task_id, held, task.checkpoint)

    def _adopt(
        self,
        workload: WorkloadRecord,
        task_id: TaskId,
        held: OpenRun,
        checkpoint: str,
    ) -> None:
        context = self._context
        queue = context.state.find_queue(workload.queue)
        view = RunView(
            task_id,
            held.run,
            workload.spec.steps[task_id.step],
            workload.queue,
            queue.priority if queue else 0,
            RunPhase.INHERITED,
            context.now_s,
            checkpoint=checkpoint,
            pace_doubted_until_s=context.now_s + LATE_ORDER_S,
        )
        session = context.find_session(held.upstream_id, held.incarnation)
        if session is None:
            session = self._open_departed(held)
        session.add_run(view)
        if workload.final_state is not None:
            view.enter(RunPhase.STOPPING, context.now_s)

    def _open_departed(self, held: OpenRun) -> UpstreamSession:
        """Keep a place for the runs of an incarnation that the state has forgotten."""
        name = f"{held.upstream_id}/{held.incarnation}"
        session = self._context.sessions.get(name)
        if session is None:
            record = UpstreamRecord(
                upstream_id=name, incarnation=held.incarnation, pool="", address=""
            )
            session = self._open(record)
            session.left_at_s = self._context.now_s
        return session

    # Heartbeats

    def take_report(self, report: UpstreamReport) -> list[WorkloadCommand]:
        """Take a heartbeat; return the commands that it makes necessary."""
        context = self._context
        record = report.record
        if self._is_outdated(record):
            context.log_decision(
                "heartbeat ignored",
                upstream=record.upstream_id,
                incarnation=record.incarnation,
                address=record.address,
            )
            return []
        session = context.find_session(record.upstream_id, record.incarnation)
        if session is not None and report.sequence <= session.heartbeat_sequence:
            return []
        if session is not None:
            self._note_heartbeat(session, report)
            if session.record == record:
                return []
        commands: list[WorkloadCommand] = [
            WithdrawUpstream(other.upstream_id, other.incarnation)
            for other in context.state.upstreams.values()
            if other.address == record.address
            and other.upstream_id != record.upstream_id
        ]
        return [*commands, RegisterUpstream(record)]

    def _is_outdated(self, record: UpstreamRecord) -> bool:
        if record.incarnation in self._withdrawn:
            return True
        for other in self._context.state.upstreams.values():
            is_same = other.upstream_id == record.upstream_id
            if not is_same and other.address != record.address:
                continue
            if other.born_unix_ms > record.born_unix_ms:
                return True
        return False

    def _note_heartbeat(self, session: UpstreamSession, report: UpstreamReport) -> None:
        now_s = self._context.now_s
        session.heartbeat_sequence = report.sequence
        session.heard_s = now_s
        if report.remaining_s is not None:
            session.remaining_until_s = now_s + report.remaining_s

    def take_withdrawal(self, report: WithdrawalReport) -> list[WorkloadCommand]:
        """Take the farewell of an upstream."""
        record = self._context.state.upstreams.get(report.upstream_id)
        if record is None:
            return []
        self._withdrawn.add(record.incarnation)
        return [WithdrawUpstream(record.upstream_id, record.incarnation)]

    # Committed changes

    def note_registered(self, record: UpstreamRecord) -> None:
        """Follow a committed announcement."""
        context = self._context
        session = context.sessions.get(record.upstream_id)
        if session is not None and session.record.incarnation != record.incarnation:
            self._replace(session)
            session = None
        if session is None:
            self._open(record).barred = self._list_barred(record.upstream_id)
        else:
            session.record = record
        context.must_plan = True
        context.log_decision(
            "upstream registered",
            upstream=record.upstream_id,
            incarnation=record.incarnation,
            address=record.address,
            draining=record.draining,
            rack=record.rack,
            capacity=record.capacity.accelerators,
        )

    def _list_barred(self, upstream_id: str) -> dict[RunKey, float]:
        """Return the runs that a new incarnation has to be kept from starting.

        It has the identity of the earlier one and remembers nothing, so that it would
        carry a delayed order out.
        """
        now_s = self._context.now_s
        ordered = self._unanswered.pop(upstream_id, {})
        return {
            key: now_s
            for key, ordered_s in ordered.items()
            if ordered_s >= now_s - LATE_ORDER_S
        }

    def _remember_unanswered(self, session: UpstreamSession) -> None:
        held = self._unanswered.setdefault(session.upstream_id, {})
        held.update(session.unanswered)
        held.update(session.barred)

    def _replace(self, session: UpstreamSession) -> None:
        """Keep the runs of a replaced incarnation until their ends are recorded."""
        context = self._context
        del context.sessions[session.upstream_id]
        context.health.pop(session.upstream_id, None)
        self._remember_unanswered(session)
        if session.runs:
            # The new incarnation answers at the address, so the old one runs nothing.
            session.left_at_s = context.now_s - context.terms.leave_delay_s
            name = f"{session.upstream_id}/{session.record.incarnation}"
            context.sessions[name] = session

    def note_withdrawn(self, upstream_id: str, incarnation: str) -> None:
        """Follow a committed farewell."""
        context = self._context
        session = context.find_session(upstream_id, incarnation)
        if session is None:
            return
        session.left_at_s = context.now_s
        context.must_plan = True
        context.log_decision(
            "upstream left",
            upstream=upstream_id,
            incarnation=incarnation,
            runs=len(session.runs),
        )

    def drop_departed(self) -> None:
        """Forget sessions of departed upstreams once their runs are recorded."""
        context = self._context
        departed = [
            name
            for name, session in context.sessions.items()
            if session.left_at_s is not None and not session.runs
        ]
        for name in departed:
            session = context.sessions.pop(name)
            if session.unanswered or session.barred:
                self._remember_unanswered(session)
            if session.upstream_id not in context.sessions:
                context.health.pop(session.upstream_id, None)
                context.estimates.forget_upstream(session.upstream_id)

    def note_incarnation(self, session: UpstreamSession, born_unix_ms: int) -> bool:
        """Check the birth that an upstream tells in its lists.

        Returns
        -------
        bool
            False if the lists belong to another incarnation.
        """
        known = session.record.born_unix_ms
        return not (born_unix_ms and known and born_unix_ms != known)

    def mark_reborn(self, session: UpstreamSession) -> None:
        """Note that a later incarnation answers under the identity of a session."""
        if session.left_at_s is None:
            session.left_at_s = self._context.now_s
            session.awaits_successor = True

    def mark_replaced(self, session: UpstreamSession) -> None:
        """Note that an upstream of another identity answers at an address."""
        if session.left_at_s is None:
            session.left_at_s = self._context.now_s
            for view in session.runs.values():
                if view.phase is not RunPhase.PROPOSED:
                    self._context.queue_end(session, view, RunOutcome.LOST)

    def find_silent(self) -> list[WorkloadCommand]:
        """Return the commands that forget upstreams that have long been silent."""
        context = self._context
        limit_s = context.now_s - context.terms.silent_after_s
        return [
            WithdrawUpstream(session.upstream_id, session.record.incarnation)
            for session in context.sessions.values()
            if session.heard_s < limit_s
            and not session.runs
            and session.left_at_s is None
        ]

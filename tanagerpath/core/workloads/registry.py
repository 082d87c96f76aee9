"""Registry of upstreams, from their heartbeats and the replicated state."""

from tanagerpath.core.coordination import Propose
from tanagerpath.core.workloads.commands import (
    RegisterUpstream,
    RunOutcome,
    UpstreamRecord,
    WithdrawUpstream,
    WorkloadCommand,
)
from tanagerpath.core.workloads.dispatch_context import DepartedKey, DispatchContext
from tanagerpath.core.workloads.records import OpenRun, WorkloadRecord
from tanagerpath.core.workloads.requests import UpstreamReport, WithdrawalReport
from tanagerpath.core.workloads.runs import RunFence, RunKey, RunPhase, RunView
from tanagerpath.core.workloads.sessions import MAX_ORDER_DELAY_S, UpstreamSession
from tanagerpath.core.workloads.specs import TaskId
from tanagerpath.core.workloads.withdrawals import LATE_HEARTBEAT_S, WithdrawalRecord

__all__ = ["UpstreamRegistry"]

MS_PER_S = 1000.0
# Clocks of upstreams and of this VM differ by less than this, even after a step.
MAX_CLOCK_ERROR_S = 86_400.0


class UpstreamRegistry:
    """Opens and closes sessions of upstreams, and turns heartbeats into commands.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        # Incarnations whose withdrawal this leader has proposed; a delayed heartbeat
        # must not register one again. Those in the log are in the state.
        self._withdrawn: set[str] = set()
        # Unanswered starts of departed upstreams, which a successor may still receive.
        self._unanswered: dict[str, dict[RunKey, float]] = {}
        self._faulted: list[UpstreamSession] = []
        for record in context.state.upstreams.values():
            self._open_session(record)
        for workload in context.state.workloads.values():
            self._adopt_runs(workload)

    def _open_session(
        self, record: UpstreamRecord, key: str | DepartedKey | None = None
    ) -> UpstreamSession:
        """Open the session of an incarnation; a registered one needs no key."""
        context = self._context
        lease_expiry_s = context.now_s + context.terms.leases.find_max_duration_s(
            context.terms.leases.lease_s
        )
        session = UpstreamSession(
            record, lease_expiry_s, last_contact_s=context.now_s, opened_s=context.now_s
        )
        self._note_zone(session)
        context.sessions[record.upstream_id if key is None else key] = session
        context.touch(session)
        context.must_plan = True
        return session

    def _note_zone(self, session: UpstreamSession) -> None:
        """Let a session follow the evacuation of its availability zone."""
        context = self._context
        if not context.state.is_evacuated(session.record.availability_zone):
            session.evacuated_at_s = None
        elif session.evacuated_at_s is None:
            session.evacuated_at_s = context.now_s

    def _adopt_runs(self, workload: WorkloadRecord) -> None:
        """Add the open runs of a workload to the sessions."""
        for task_id, task in workload.tasks.items():
            for open_run in task.open_runs:
                self._adopt_run(workload, task_id, open_run, task.checkpoint)

    def _adopt_run(
        self,
        workload: WorkloadRecord,
        task_id: TaskId,
        open_run: OpenRun,
        checkpoint: str,
    ) -> None:
        context = self._context
        queue = context.state.find_queue(workload.queue)
        view = RunView(
            task_id,
            open_run.run,
            workload.spec.steps[task_id.step],
            workload.queue,
            queue.priority if queue else 0,
            RunPhase.INHERITED,
            context.now_s,
            checkpoint=checkpoint,
            pace_uncertain_until_s=context.now_s + MAX_ORDER_DELAY_S,
            was_inherited=True,
        )
        session = context.sessions.get(open_run.upstream_id)
        if session is None:
            session = self._open_departed_session(open_run)
        elif session.record.incarnation != open_run.incarnation:
            self._mark_of_earlier_incarnation(view)
        context.run_index.add(session, view)
        # Members of a gang end by themselves when another one is done.
        is_repeated = workload.find_task(task_id).done and not view.spec.gang
        if workload.final_state is not None or is_repeated:
            view.enter(RunPhase.STOPPING, context.now_s)

    def _mark_of_earlier_incarnation(self, view: RunView) -> None:
        """Let a run be verified on a later incarnation, which may have it."""
        view.is_of_earlier_incarnation = True
        view.running_since_s = None
        if view.phase is not RunPhase.STOPPING:
            view.stop_reason = "its upstream has restarted"
        view.enter(RunPhase.STOPPING, self._context.now_s)

    def _open_departed_session(self, open_run: OpenRun) -> UpstreamSession:
        """Return a session for runs of an incarnation that is no longer registered."""
        key = DepartedKey(open_run.upstream_id, open_run.incarnation)
        session = self._context.sessions.get(key)
        if session is None:
            record = UpstreamRecord(
                upstream_id=open_run.upstream_id,
                incarnation=open_run.incarnation,
                pool="",
                address="",
            )
            session = self._open_session(record, key)
            session.departed_at_s = self._context.now_s
        return session

    # Heartbeats

    def handle_report(self, report: UpstreamReport) -> list[WorkloadCommand]:
        """Handle a heartbeat, and return the commands to propose."""
        context = self._context
        record = report.record
        session = context.find_session(record.upstream_id, record.incarnation)
        if self._is_outdated(record) or self._contradicts(record):
            context.log_decision(
                "heartbeat ignored",
                upstream=record.upstream_id,
                incarnation=record.incarnation,
                address=record.address,
                draining=record.draining,
            )
            return []
        if session is not None and report.sequence <= session.heartbeat_sequence:
            return []
        if session is not None:
            self._note_heartbeat(session, report)
            if session.record == record:
                return []
        self._verify_others(record)
        current = context.state.upstreams.get(record.upstream_id)
        is_trusted = current is None or not self._is_born_later(current)
        return [RegisterUpstream(record, checks_birth=is_trusted)]

    def _contradicts(self, record: UpstreamRecord) -> bool:
        """Return whether a heartbeat can't follow those of the same incarnation.

        An incarnation keeps its address and does not return from draining. A delayed
        heartbeat may say otherwise: sequence numbers are not in the log, so that a new
        leader does not know them.
        """
        current = self._context.state.upstreams.get(record.upstream_id)
        if current is None or not record.born_unix_ms:
            return False
        if current.incarnation != record.incarnation:
            return False
        is_moved = current.address != record.address
        return is_moved or (current.draining and not record.draining)

    def _verify_others(self, record: UpstreamRecord) -> None:
        """Ask the upstreams that a heartbeat seems to have replaced at its address.

        A heartbeat takes nothing away from an upstream that still replies there; from
        one that was replaced, the reply is `WrongIncarnation`.
        """
        context = self._context
        for other in context.state.upstreams.values():
            if other.address != record.address:
                continue
            session = context.find_session(other.upstream_id, other.incarnation)
            if session is not None and other.upstream_id != record.upstream_id:
                session.request_list(context.now_s)
                context.touch(session)

    def _is_outdated(self, record: UpstreamRecord) -> bool:
        if self._has_left(record) or self._is_born_later(record):
            return True
        for other in self._context.state.upstreams.values():
            is_same = other.upstream_id == record.upstream_id
            if not is_same and other.address != record.address:
                continue
            if self._is_born_later(other):
                continue
            if other.born_unix_ms > record.born_unix_ms:
                return True
        return False

    def _has_left(self, record: UpstreamRecord) -> bool:
        """Return whether an incarnation has withdrawn."""
        if record.incarnation in self._withdrawn:
            return True
        return self._context.state.withdrawals.contains(
            record.upstream_id, record.incarnation, self._context.now.unix_s
        )

    def _is_born_later(self, record: UpstreamRecord) -> bool:
        """Return whether a birth is so far ahead that no clock error explains it.

        Such a record would outdate all heartbeats of the upstream for good.
        """
        latest_unix_s = self._context.now.unix_s + MAX_CLOCK_ERROR_S
        return record.born_unix_ms > latest_unix_s * MS_PER_S

    def _note_heartbeat(self, session: UpstreamSession, report: UpstreamReport) -> None:
        now_s = self._context.now_s
        session.heartbeat_sequence = report.sequence
        session.last_contact_s = now_s
        if report.remaining_s is not None:
            session.remaining_until_s = now_s + report.remaining_s

    def handle_withdrawal(self, report: WithdrawalReport) -> list[WorkloadCommand]:
        """Handle a withdrawal, and return the commands to propose.

        It names no incarnation, and a process that was frozen may send it on late. An
        incarnation reports that it drains before it withdraws, so one that has not is
        a later one. It is asked at once, in case its reports were lost.
        """
        context = self._context
        record = context.state.upstreams.get(report.upstream_id)
        if record is None:
            return []
        session = context.find_session(record.upstream_id, record.incarnation)
        if session is not None:
            session.request_list(context.now_s)
            context.touch(session)
        if not record.draining:
            context.log_decision(
                "withdrawal ignored",
                upstream=record.upstream_id,
                incarnation=record.incarnation,
                reason="this incarnation has not announced its end",
            )
            return []
        self._withdrawn.add(record.incarnation)
        now_unix_s = context.now.unix_s
        withdrawn = WithdrawalRecord(
            upstream_id=record.upstream_id,
            incarnation=record.incarnation,
            withdrawn_at_unix_s=now_unix_s,
            refused_until_unix_s=now_unix_s + LATE_HEARTBEAT_S,
        )
        return [WithdrawUpstream(record.upstream_id, record.incarnation, withdrawn)]

    # Committed commands

    def note_registered(self, record: UpstreamRecord) -> None:
        """Apply a committed registration."""
        context = self._context
        session = context.sessions.get(record.upstream_id)
        if session is not None and session.record.incarnation != record.incarnation:
            self._replace_session(session)
            session = None
        if session is None:
            session = self._open_session(record)
            self._fence_delayed_starts(session)
            self._take_over_runs(session)
        else:
            session.record = record
            self._note_zone(session)
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

    def _fence_delayed_starts(self, session: UpstreamSession) -> None:
        """Keep delayed starts of earlier incarnations from taking effect on a new one.

        It has their identity but not their state, so it would carry out a delayed
        order. The next incarnation has to be kept from it too.
        """
        now_s = self._context.now_s
        ordered = self._unanswered.pop(session.upstream_id, {})
        session.unanswered_starts = {
            key: ordered_s
            for key, ordered_s in ordered.items()
            if ordered_s >= now_s - MAX_ORDER_DELAY_S
        }
        session.fenced_runs = {
            key: RunFence(now_s) for key in session.unanswered_starts
        }

    def _remember_unanswered(self, session: UpstreamSession) -> None:
        unanswered = self._unanswered.setdefault(session.upstream_id, {})
        unanswered.update(session.unanswered_starts)

    def _replace_session(self, session: UpstreamSession) -> None:
        """Keep the session of a replaced incarnation until its runs are ended."""
        context = self._context
        context.remove_session(session.upstream_id)
        context.health.pop(session.upstream_id, None)
        self._remember_unanswered(session)
        for view in tuple(session.runs.values()):
            if view.phase is RunPhase.PROPOSED:
                # Its start follows in the log and names an outdated incarnation.
                context.run_index.remove(session, view.key)
        if session.runs:
            session.departed_at_s = context.now_s
            key = DepartedKey(session.upstream_id, session.record.incarnation)
            context.sessions[key] = session

    def _take_over_runs(self, successor: UpstreamSession) -> None:
        """Move the open runs of earlier incarnations to the latest one.

        An incarnation that has ended runs nothing, but the latest one may have carried
        out a repeated or delayed start. Only its lists show that such a run is over.
        """
        context = self._context
        for key, session in tuple(context.sessions.items()):
            if not isinstance(key, DepartedKey):
                continue
            if key.upstream_id != successor.upstream_id:
                continue
            for view in tuple(session.runs.values()):
                if context.is_ending(view.key):
                    continue
                context.run_index.remove(session, view.key)
                if key.incarnation != successor.record.incarnation:
                    self._mark_of_earlier_incarnation(view)
                context.run_index.add(successor, view)

    def note_withdrawn(self, upstream_id: str, incarnation: str) -> None:
        """Apply a committed withdrawal."""
        context = self._context
        session = context.find_session(upstream_id, incarnation)
        if session is None:
            return
        if session.departed_at_s is None:
            session.departed_at_s = context.now_s
        context.touch(session)
        context.must_plan = True
        context.log_decision(
            "upstream left",
            upstream=upstream_id,
            incarnation=incarnation,
            runs=len(session.runs),
        )

    def note_evacuation(self, zone: str) -> None:
        """Apply a committed order on the evacuation of an availability zone."""
        context = self._context
        sessions = [
            session
            for session in context.sessions.values()
            if session.record.availability_zone == zone
        ]
        for session in sessions:
            self._note_zone(session)
            context.touch(session)
        context.must_plan = True
        record = context.state.find_evacuation(zone)
        context.log_decision(
            "zone evacuated" if record.is_evacuated else "zone evacuation withdrawn",
            zone=zone,
            revision=record.revision,
            upstreams=len(sessions),
            runs=sum(len(session.runs) for session in sessions),
        )

    def drop_departed(self) -> None:
        """Delete sessions of departed upstreams once they have no runs left."""
        context = self._context
        departed = [
            key
            for key, session in context.sessions.items()
            if session.departed_at_s is not None and not session.runs
        ]
        for key in departed:
            session = context.remove_session(key)
            if session.unanswered_starts:
                self._remember_unanswered(session)
            if session.upstream_id not in context.sessions:
                context.health.pop(session.upstream_id, None)
                context.estimates.forget_upstream(session.upstream_id)

    def set_aside(self, session: UpstreamSession) -> None:
        """Keep a session from all decisions until its lease has expired."""
        if not session.is_faulted:
            self._faulted.append(session)
        session.is_faulted = True
        self._context.must_plan = True

    def reopen_faulted(self) -> None:
        """Replace the sessions that were set aside once nothing runs on them."""
        context = self._context
        for session in tuple(self._faulted):
            if session.departed_at_s is not None:
                self._faulted.remove(session)
                continue
            lease_expiry_s = session.find_lease_expiry_s(context.terms.leases)
            if session.runs or context.now_s < lease_expiry_s:
                continue
            self._faulted.remove(session)
            if context.sessions.get(session.upstream_id) is not session:
                continue
            context.remove_session(session.upstream_id)
            self._remember_unanswered(session)
            self._open_session(session.record)
            context.list_round.begin(context.now_s)
            context.log_decision(
                "upstream used again after an error", upstream=session.upstream_id
            )

    def is_same_incarnation(self, session: UpstreamSession, born_unix_ms: int) -> bool:
        """Return whether a birth time, if known, is that of the session's record."""
        known = session.record.born_unix_ms
        return not (born_unix_ms and known and born_unix_ms != known)

    def mark_superseded(self, session: UpstreamSession) -> None:
        """Mark a session whose identity a later incarnation has taken over."""
        if session.is_superseded:
            return
        now_s, leases = self._context.now_s, self._context.terms.leases
        session.departed_at_s = now_s
        session.is_superseded = True
        # The later incarnation may have taken an order of this moment.
        session.inherited_lease_expiry_s = max(
            session.inherited_lease_expiry_s,
            now_s + leases.find_max_duration_s(leases.lease_s),
        )

    def mark_replaced(self, session: UpstreamSession) -> None:
        """End the runs of a session at whose address another upstream replies."""
        context = self._context
        if not session.is_replaced:
            session.is_replaced = True
            session.departed_at_s = context.now_s
            for view in session.runs.values():
                if view.phase is not RunPhase.PROPOSED:
                    context.queue_end(session, view, RunOutcome.LOST)
            command = WithdrawUpstream(session.upstream_id, session.record.incarnation)
            context.add_effect(Propose(command))

    def list_silent_withdrawals(self) -> list[WorkloadCommand]:
        """Return the commands that withdraw silent upstreams without runs."""
        context = self._context
        limit_s = context.now_s - context.terms.silent_after_s
        return [
            WithdrawUpstream(session.upstream_id, session.record.incarnation)
            for session in context.sessions.values()
            if session.last_contact_s < limit_s
            and not session.runs
            and session.departed_at_s is None
        ]

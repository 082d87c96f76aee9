"""Drives attempts through reservation, start, run and stop."""

import attrs

from tanagerpath.core.coordination import failures
from tanagerpath.core.coordination.attempts import (
    Attempt,
    AttemptPhase,
    Member,
    is_answer_whole,
)
from tanagerpath.core.coordination.fleet import Fleet
from tanagerpath.core.coordination.messages import (
    CountEvent,
    Effect,
    Instant,
    Propose,
)
from tanagerpath.core.placement import Scheduler
from tanagerpath.core.protocol import upstreams as protocol
from tanagerpath.core.protocol.upstreams import TaskPhase
from tanagerpath.core.state import RecordStart
from tanagerpath.errors import Failure

__all__ = ["AttemptDriver", "AttemptTerms"]

RESEND_INTERVAL_S = 0.5
MAX_BAD_REPORTS = 5
BLAMELESS_REFUSALS = frozenset({"leaving", "stale_term", "other_incarnation"})


@attrs.frozen
class AttemptTerms:
    """Durations that govern attempts, in seconds.

    Attributes
    ----------
    reserve_timeout_s : float
        Time for all members to reserve.
    reservation_lapse_s : float
        Time after which an upstream drops a reservation by itself.
    start_timeout_s : float
        Time for all members to start, from the recorded start.
    """

    reserve_timeout_s: float = 1.5
    reservation_lapse_s: float = 3.0
    start_timeout_s: float = 2.0


class AttemptDriver:
    """Moves attempts forward; decides nothing about what follows their end.

    Parameters
    ----------
    term : int
        Term of the leader.
    fleet : Fleet
        Sessions and leases of the upstreams.
    scheduler : Scheduler
        Told about starts that failed or went well.
    terms : AttemptTerms
        Durations.
    """

    def __init__(
        self, term: int, fleet: Fleet, scheduler: Scheduler, terms: AttemptTerms
    ) -> None:
        self._term = term
        self._fleet = fleet
        self._scheduler = scheduler
        self._terms = terms

    def reserve(self, attempt: Attempt, now: Instant) -> list[Effect]:
        """Ask all members' upstreams to hold their accelerators."""
        attempt.deadline_s = now.now_s + self._terms.reserve_timeout_s
        return self._call_members(attempt, now)

    def start(self, attempt: Attempt, now: Instant) -> list[Effect]:
        """Send the starts of an attempt whose start is in the log."""
        attempt.record_proposed = True
        attempt.recorded = True
        attempt.recorded_at_s = now.now_s
        if attempt.phase is AttemptPhase.STOPPING:
            return []
        attempt.starts_sent = True
        attempt.phase = AttemptPhase.STARTING
        attempt.deadline_s = now.now_s + self._terms.start_timeout_s
        return self._call_members(attempt, now)

    def checkpoint(
        self, attempt: Attempt, deadline_s: float, now: Instant
    ) -> list[Effect]:
        """Take the accelerators of a running attempt back."""
        if not attempt.request.checkpointable:
            return self.stop(attempt, failures.JobPreempted(), now)
        attempt.phase = AttemptPhase.CHECKPOINTING
        attempt.deadline_s = deadline_s
        return self._call_members(attempt, now)

    def stop(self, attempt: Attempt, reason: Failure, now: Instant) -> list[Effect]:
        """End all members; the first reason stays."""
        if attempt.phase in (AttemptPhase.STOPPING, AttemptPhase.CONCLUDING):
            return []
        attempt.phase = AttemptPhase.STOPPING
        attempt.reason = reason
        attempt.deadline_s = now.now_s + self._terms.reservation_lapse_s
        return self._call_members(attempt, now)

    def tick(self, attempt: Attempt, now: Instant) -> list[Effect]:
        """Send unanswered requests again and enforce deadlines and leases."""
        effects = self._enforce_leases(attempt, now)
        if now.now_s >= attempt.deadline_s:
            effects += self._pass_deadline(attempt, now)
        return effects + self._call_members(attempt, now, only_due=True)

    def _pass_deadline(self, attempt: Attempt, now: Instant) -> list[Effect]:
        match attempt.phase:
            case AttemptPhase.RESERVING | AttemptPhase.STARTING:
                for member in self._list_unanswered(attempt):
                    self._count_start_failure(attempt, member, now)
                return self.stop(attempt, failures.StartTimedOut(), now)
            case AttemptPhase.CHECKPOINTING:
                return self.stop(attempt, failures.JobPreempted(), now)
            case AttemptPhase.STOPPING if not attempt.starts_sent:
                # No start was sent, and the reservations have lapsed by now.
                for member in attempt.members:
                    member.gone = True
        return []

    def _list_unanswered(self, attempt: Attempt) -> list[Member]:
        if attempt.phase is AttemptPhase.RESERVING:
            return [m for m in attempt.members if not m.reserved]
        return [m for m in attempt.members if m.started_at_s is None]

    def _enforce_leases(self, attempt: Attempt, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for member in attempt.members:
            stopping = attempt.phase is AttemptPhase.STOPPING
            finished = member.phase is TaskPhase.FINISHED
            if member.gone or (finished and not stopping):
                continue
            if not attempt.starts_sent and not stopping:
                continue
            upstream_id = member.run.upstream_id
            if self._fleet.has_lease_ended(upstream_id, now):
                effects += self.lose_member(attempt, member, now)
            elif self._fleet.has_lease_run_out(upstream_id, now):
                # The clock margin is the time in which the other members stop.
                effects += self._stop_for_lost(attempt, member, now)
        return effects

    def lose_member(
        self, attempt: Attempt, member: Member, now: Instant
    ) -> list[Effect]:
        """Note that a member is certainly gone, without a word on what it did."""
        if member.phase is not TaskPhase.FINISHED:
            member.phase = TaskPhase.STOPPED
        member.gone = True
        return self._stop_for_lost(attempt, member, now)

    def _stop_for_lost(
        self, attempt: Attempt, member: Member, now: Instant
    ) -> list[Effect]:
        if attempt.is_answered:
            return []
        reason = failures.MemberLost(
            upstream_id=member.run.upstream_id, rank=member.rank
        )
        return self.stop(attempt, reason, now)

    def _call_members(
        self, attempt: Attempt, now: Instant, only_due: bool = False
    ) -> list[Effect]:
        effects: list[Effect] = []
        for member in attempt.members:
            if only_due and member.next_call_at_s > now.now_s:
                continue
            session = self._fleet.find(member.run.upstream_id)
            if session is None:
                continue
            incarnation = session.announcement.incarnation
            request = self._find_request(attempt, member, incarnation, now)
            if request is None:
                continue
            if attempt.phase is AttemptPhase.RESERVING:
                member.incarnation = incarnation
            member.next_call_at_s = now.now_s + RESEND_INTERVAL_S
            effects.append(session.call(request))
        return effects

    def _find_request(
        self, attempt: Attempt, member: Member, incarnation: str, now: Instant
    ) -> object | None:
        match attempt.phase:
            case AttemptPhase.RESERVING if not member.reserved:
                lapse_s = self._terms.reservation_lapse_s
                return attempt.make_reserve(member, self._term, lapse_s, incarnation)
            case AttemptPhase.STARTING if member.started_at_s is None:
                return attempt.make_start(member, self._term)
            case AttemptPhase.CHECKPOINTING if not member.checkpoint:
                within_s = max(0.0, attempt.deadline_s - now.now_s)
                return attempt.make_checkpoint(member, self._term, within_s)
            case AttemptPhase.STOPPING if not member.gone:
                return attempt.make_stop(member, self._term)
        return None

    def take_reply(
        self, attempt: Attempt, member: Member, reply: object, now: Instant
    ) -> list[Effect]:
        """Note the reply of a member's upstream."""
        match reply:
            case protocol.ReserveReply():
                return self._take_reserve_reply(attempt, member, reply, now)
            case protocol.StartReply():
                return self._take_start_reply(attempt, member, reply, now)
            case protocol.CheckpointReply(saved, checkpoint):
                return self._take_checkpoint(attempt, member, saved, checkpoint, now)
            case protocol.StopReply():
                self._take_stop_reply(attempt, member, reply)
        return []

    def _take_reserve_reply(
        self,
        attempt: Attempt,
        member: Member,
        reply: protocol.ReserveReply,
        now: Instant,
    ) -> list[Effect]:
        if attempt.phase is not AttemptPhase.RESERVING:
            return []
        if not reply.reserved:
            if reply.reason not in BLAMELESS_REFUSALS:
                self._count_start_failure(attempt, member, now)
            reason = self._describe_member(member, TaskPhase.ABSENT, reply.reason)
            return self.stop(attempt, reason, now)
        member.reserved = True
        if not attempt.all_reserved:
            return []
        attempt.phase = AttemptPhase.RECORDING
        # The reservations lapse; a start that is recorded later could not work.
        attempt.deadline_s = now.now_s + self._terms.reservation_lapse_s
        attempt.record_proposed = True
        return [
            Propose(RecordStart(attempt.job_id, attempt.attempt_id, attempt.assignment))
        ]

    def _take_start_reply(
        self,
        attempt: Attempt,
        member: Member,
        reply: protocol.StartReply,
        now: Instant,
    ) -> list[Effect]:
        if attempt.phase is not AttemptPhase.STARTING:
            return []
        if reply.phase in (TaskPhase.RUNNING, TaskPhase.FINISHED):
            member.started_at_s = now.now_s
            if member.phase is not TaskPhase.FINISHED:
                member.phase = reply.phase
            self._note_started(attempt)
            return []
        self._count_start_failure(attempt, member, now)
        reason = self._describe_member(member, reply.phase, reply.reason)
        return self.stop(attempt, reason, now)

    def _note_started(self, attempt: Attempt) -> None:
        if attempt.phase is AttemptPhase.STARTING and attempt.all_started:
            attempt.phase = AttemptPhase.RUNNING

    def _take_checkpoint(
        self,
        attempt: Attempt,
        member: Member,
        saved: bool,
        checkpoint: str,
        now: Instant,
    ) -> list[Effect]:
        if attempt.phase is not AttemptPhase.CHECKPOINTING or not saved:
            return []
        member.checkpoint = checkpoint
        if not attempt.all_checkpointed:
            return []
        return self.stop(attempt, failures.JobPreempted(), now)

    def _take_stop_reply(
        self, attempt: Attempt, member: Member, reply: protocol.StopReply
    ) -> None:
        if attempt.phase is not AttemptPhase.STOPPING or not reply.stopped:
            return
        member.gone = True
        if not reply.ever_started and reply.incarnation_covers_attempt:
            member.refuted = True

    def take_report(
        self,
        attempt: Attempt,
        member: Member,
        report: protocol.TaskReport,
        now: Instant,
    ) -> list[Effect]:
        """Note the end of a member."""
        if attempt.phase is AttemptPhase.CONCLUDING:
            return []
        phase = report.status.phase
        if phase is TaskPhase.FINISHED:
            return self._take_finish(attempt, member, report, now)
        if phase not in (TaskPhase.FAILED, TaskPhase.FAILED_TO_START):
            return []
        member.phase = phase
        self._count_start_failure(attempt, member, now)
        reason = self._describe_member(member, phase, report.detail)
        return self.stop(attempt, reason, now)

    def _take_finish(
        self,
        attempt: Attempt,
        member: Member,
        report: protocol.TaskReport,
        now: Instant,
    ) -> list[Effect]:
        if member.rank == 0 and not is_answer_whole(report):
            member.bad_reports += 1
            effects: list[Effect] = [CountEvent("bad_report")]
            if member.bad_reports >= MAX_BAD_REPORTS:
                reason = self._describe_member(
                    member, TaskPhase.FAILED, "answer is not whole"
                )
                effects += self.stop(attempt, reason, now)
            return effects
        member.phase = TaskPhase.FINISHED
        if member.started_at_s is None:
            # The report overtook the reply to the start.
            member.started_at_s = now.now_s
        self._note_started(attempt)
        if member.rank == 0:
            attempt.answer = report.answer
            attempt.answer_sha256 = report.answer_sha256
        upstream_id = member.run.upstream_id
        self._scheduler.record_start_success(attempt.job_id, upstream_id, now.now_s)
        return []

    def compare_tasks(
        self,
        attempt: Attempt,
        member: Member,
        phase: TaskPhase,
        asked_at_s: float,
        now: Instant,
    ) -> list[Effect]:
        """Compare what an upstream holds with what this leader assumes.

        Parameters
        ----------
        attempt, member
            The member on that upstream.
        phase : TaskPhase
            Phase in the upstream's list; ABSENT if it is not listed.
        asked_at_s : float
            Instant at which the list was asked for.
        now : Instant
            Now.
        """
        watched = (AttemptPhase.RUNNING, AttemptPhase.CHECKPOINTING)
        if attempt.phase not in watched or member.phase is TaskPhase.FINISHED:
            return []
        if member.started_at_s is None or asked_at_s <= member.started_at_s:
            return []
        if phase in (TaskPhase.ABSENT, TaskPhase.STOPPED):
            return self.lose_member(attempt, member, now)
        return []

    def _count_start_failure(
        self, attempt: Attempt, member: Member, now: Instant
    ) -> None:
        upstream_id = member.run.upstream_id
        self._scheduler.record_start_failure(attempt.job_id, upstream_id, now.now_s)

    def _describe_member(
        self, member: Member, phase: TaskPhase, detail: str
    ) -> failures.MemberFailed:
        return failures.MemberFailed(
            upstream_id=member.run.upstream_id,
            rank=member.rank,
            phase=phase,
            detail=detail,
        )

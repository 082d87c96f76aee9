"""Advances attempts through reservation, start, run and stop."""

import attrs

from tanagerpath.core.coordination import failures
from tanagerpath.core.coordination.attempts import (
    Attempt,
    AttemptPhase,
    Member,
    is_answer_intact,
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

__all__ = ["AttemptConfig", "AttemptDriver"]

RESEND_INTERVAL_S = 0.5
MAX_BAD_REPORTS = 5
UNCOUNTED_REFUSAL_REASONS = frozenset({"leaving", "stale_term", "other_incarnation"})


@attrs.frozen
class AttemptConfig:
    """Timeouts of attempts, in seconds.

    Attributes
    ----------
    reserve_timeout_s : float
        Time for all members to reserve their accelerators.
    reservation_lapse_s : float
        Time after which an upstream drops an unused reservation.
    start_timeout_s : float
        Time for all members to start after the start is recorded.
    """

    reserve_timeout_s: float = 1.5
    reservation_lapse_s: float = 3.0
    start_timeout_s: float = 2.0


class AttemptDriver:
    """Advances attempts; `AttemptFinalizer` decides what follows their end.

    Parameters
    ----------
    term : int
        Term of the leader.
    fleet : Fleet
        Sessions and leases of the upstreams.
    scheduler : Scheduler
        Notified about starts that failed or succeeded.
    config : AttemptConfig
        Timeouts.
    """

    def __init__(
        self, term: int, fleet: Fleet, scheduler: Scheduler, config: AttemptConfig
    ) -> None:
        self._term = term
        self._fleet = fleet
        self._scheduler = scheduler
        self._config = config

    def reserve(self, attempt: Attempt, now: Instant) -> list[Effect]:
        """Request the reservations of all members."""
        attempt.deadline_s = now.now_s + self._config.reserve_timeout_s
        return self._call_members(attempt, now)

    def start(self, attempt: Attempt, now: Instant) -> list[Effect]:
        """Send the start requests of an attempt whose start is committed."""
        attempt.record_proposed = True
        attempt.recorded = True
        attempt.recorded_at_s = now.now_s
        if attempt.phase is AttemptPhase.STOPPING:
            return []
        attempt.starts_sent = True
        attempt.phase = AttemptPhase.STARTING
        attempt.deadline_s = now.now_s + self._config.start_timeout_s
        return self._call_members(attempt, now)

    def preempt(
        self, attempt: Attempt, deadline_s: float, now: Instant
    ) -> list[Effect]:
        """Stop a running attempt, after a checkpoint if it can be checkpointed."""
        if not attempt.request.checkpointable:
            return self.stop(attempt, failures.JobPreempted(), now)
        attempt.phase = AttemptPhase.CHECKPOINTING
        attempt.deadline_s = deadline_s
        return self._call_members(attempt, now)

    def stop(self, attempt: Attempt, reason: Failure, now: Instant) -> list[Effect]:
        """Stop all members; the first reason is kept."""
        if attempt.phase in (AttemptPhase.STOPPING, AttemptPhase.CONCLUDING):
            return []
        attempt.phase = AttemptPhase.STOPPING
        attempt.reason = reason
        attempt.deadline_s = now.now_s + self._config.reservation_lapse_s
        return self._call_members(attempt, now)

    def tick(self, attempt: Attempt, now: Instant) -> list[Effect]:
        """Resend unanswered requests and enforce deadlines and leases."""
        effects = self._enforce_leases(attempt, now)
        if now.now_s >= attempt.deadline_s:
            effects += self._handle_deadline(attempt, now)
        return effects + self._call_members(attempt, now, only_due=True)

    def _handle_deadline(self, attempt: Attempt, now: Instant) -> list[Effect]:
        match attempt.phase:
            case AttemptPhase.RESERVING | AttemptPhase.STARTING:
                for member in self._list_unanswered(attempt):
                    self._count_start_failure(attempt, member, now)
                return self.stop(attempt, failures.StartTimedOut(), now)
            case AttemptPhase.CHECKPOINTING:
                return self.stop(attempt, failures.JobPreempted(), now)
            case AttemptPhase.STOPPING if not attempt.starts_sent:
                # No start request was sent, and the reservations have lapsed.
                for member in attempt.members:
                    member.released = True
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
            if member.released or (finished and not stopping):
                continue
            if not attempt.starts_sent and not stopping:
                continue
            upstream_id = member.run.upstream_id
            if self._fleet.is_past_clock_margin(upstream_id, now):
                effects += self.mark_member_lost(attempt, member, now)
            elif self._fleet.has_lease_expired(upstream_id, now):
                # The other members have to stop within the clock margin.
                effects += self._stop_after_loss(attempt, member, now)
        return effects

    def mark_member_lost(
        self, attempt: Attempt, member: Member, now: Instant
    ) -> list[Effect]:
        """Release a member that can no longer run and whose outcome is unknown."""
        if member.phase is not TaskPhase.FINISHED:
            member.phase = TaskPhase.STOPPED
        member.released = True
        return self._stop_after_loss(attempt, member, now)

    def _stop_after_loss(
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
            request = self._make_request(attempt, member, incarnation, now)
            if request is None:
                continue
            if attempt.phase is AttemptPhase.RESERVING:
                member.incarnation = incarnation
            member.next_call_at_s = now.now_s + RESEND_INTERVAL_S
            effects.append(session.make_call(request))
        return effects

    def _make_request(
        self, attempt: Attempt, member: Member, incarnation: str, now: Instant
    ) -> object | None:
        match attempt.phase:
            case AttemptPhase.RESERVING if not member.reserved:
                lapse_s = self._config.reservation_lapse_s
                return attempt.make_reserve_request(
                    member, self._term, lapse_s, incarnation
                )
            case AttemptPhase.STARTING if member.started_at_s is None:
                return attempt.make_start_request(member, self._term)
            case AttemptPhase.CHECKPOINTING if not member.checkpoint:
                within_s = max(0.0, attempt.deadline_s - now.now_s)
                return attempt.make_checkpoint_request(member, self._term, within_s)
            case AttemptPhase.STOPPING if not member.released:
                return attempt.make_stop_request(member, self._term)
        return None

    def handle_reply(
        self, attempt: Attempt, member: Member, reply: object, now: Instant
    ) -> list[Effect]:
        """Process the reply of a member's upstream."""
        match reply:
            case protocol.ReserveReply():
                return self._handle_reserve_reply(attempt, member, reply, now)
            case protocol.StartReply():
                return self._handle_start_reply(attempt, member, reply, now)
            case protocol.CheckpointReply(saved, checkpoint):
                return self._handle_checkpoint_reply(
                    attempt, member, saved, checkpoint, now
                )
            case protocol.StopReply():
                self._handle_stop_reply(attempt, member, reply)
        return []

    def _handle_reserve_reply(
        self,
        attempt: Attempt,
        member: Member,
        reply: protocol.ReserveReply,
        now: Instant,
    ) -> list[Effect]:
        if attempt.phase is not AttemptPhase.RESERVING:
            return []
        if not reply.reserved:
            if reply.reason not in UNCOUNTED_REFUSAL_REASONS:
                self._count_start_failure(attempt, member, now)
            reason = self._describe_member(member, TaskPhase.ABSENT, reply.reason)
            return self.stop(attempt, reason, now)
        member.reserved = True
        if not attempt.all_reserved:
            return []
        attempt.phase = AttemptPhase.RECORDING
        # A start recorded after the reservations have lapsed could not succeed.
        attempt.deadline_s = now.now_s + self._config.reservation_lapse_s
        attempt.record_proposed = True
        return [
            Propose(RecordStart(attempt.job_id, attempt.attempt_id, attempt.assignment))
        ]

    def _handle_start_reply(
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
            self._mark_running_if_all_started(attempt)
            return []
        self._count_start_failure(attempt, member, now)
        reason = self._describe_member(member, reply.phase, reply.reason)
        return self.stop(attempt, reason, now)

    def _mark_running_if_all_started(self, attempt: Attempt) -> None:
        if attempt.phase is AttemptPhase.STARTING and attempt.all_started:
            attempt.phase = AttemptPhase.RUNNING

    def _handle_checkpoint_reply(
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

    def _handle_stop_reply(
        self, attempt: Attempt, member: Member, reply: protocol.StopReply
    ) -> None:
        if attempt.phase is not AttemptPhase.STOPPING or not reply.stopped:
            return
        member.released = True
        if not reply.ever_started and reply.incarnation_covers_attempt:
            member.refuted = True

    def handle_report(
        self,
        attempt: Attempt,
        member: Member,
        report: protocol.TaskReport,
        now: Instant,
    ) -> list[Effect]:
        """Process a report about the end of a member."""
        if attempt.phase is AttemptPhase.CONCLUDING:
            return []
        phase = report.status.phase
        if phase is TaskPhase.FINISHED:
            return self._handle_finish(attempt, member, report, now)
        if phase not in (TaskPhase.FAILED, TaskPhase.FAILED_TO_START):
            return []
        member.phase = phase
        self._count_start_failure(attempt, member, now)
        reason = self._describe_member(member, phase, report.detail)
        return self.stop(attempt, reason, now)

    def _handle_finish(
        self,
        attempt: Attempt,
        member: Member,
        report: protocol.TaskReport,
        now: Instant,
    ) -> list[Effect]:
        if member.rank == 0 and not is_answer_intact(report):
            member.bad_reports += 1
            effects: list[Effect] = [CountEvent("bad_report")]
            if member.bad_reports >= MAX_BAD_REPORTS:
                reason = self._describe_member(
                    member, TaskPhase.FAILED, "answer is missing or corrupt"
                )
                effects += self.stop(attempt, reason, now)
            return effects
        member.phase = TaskPhase.FINISHED
        if member.started_at_s is None:
            # The report arrived before the reply to the start request.
            member.started_at_s = now.now_s
        self._mark_running_if_all_started(attempt)
        if member.rank == 0:
            attempt.answer = report.answer
            attempt.answer_sha256 = report.answer_sha256
        upstream_id = member.run.upstream_id
        self._scheduler.record_start_success(attempt.job_id, upstream_id, now.now_s)
        return []

    def reconcile_task(
        self,
        attempt: Attempt,
        member: Member,
        phase: TaskPhase,
        requested_at_s: float,
        now: Instant,
    ) -> list[Effect]:
        """Reconcile a member with the task list of its upstream.

        Parameters
        ----------
        attempt, member
            A member on that upstream.
        phase : TaskPhase
            Phase in the upstream's list; ABSENT if it is not listed.
        requested_at_s : float
            Time at which the list was requested.
        now : Instant
            Current time.
        """
        watched = (AttemptPhase.RUNNING, AttemptPhase.CHECKPOINTING)
        if attempt.phase not in watched or member.phase is TaskPhase.FINISHED:
            return []
        if member.started_at_s is None or requested_at_s <= member.started_at_s:
            return []
        if phase in (TaskPhase.ABSENT, TaskPhase.STOPPED):
            return self.mark_member_lost(attempt, member, now)
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

"""Reconciliation of attempts with the tasks that an upstream lists."""

from tanagerpath.core.coordination.attempts import Attempt
from tanagerpath.core.coordination.driver import AttemptDriver
from tanagerpath.core.coordination.finalizer import AttemptFinalizer
from tanagerpath.core.coordination.messages import Effect, Instant
from tanagerpath.core.coordination.orphans import list_orphaned_tasks
from tanagerpath.core.coordination.registry import AttemptRegistry
from tanagerpath.core.coordination.sessions import UpstreamSession
from tanagerpath.core.model import AttemptId
from tanagerpath.core.protocol.upstreams import RenewReply, StopRequest, TaskPhase

__all__ = ["TaskReconciler"]

TaskKey = tuple[str, AttemptId, int]


class TaskReconciler:
    """Finds lost members and orphaned tasks in the replies to lease renewals.

    Parameters
    ----------
    term : int
        Term of the leader.
    attempts : AttemptRegistry
        Attempts in progress.
    driver : AttemptDriver
        Handles the loss of members.
    finalizer : AttemptFinalizer
        Concludes attempts that have ended.
    """

    def __init__(
        self,
        term: int,
        attempts: AttemptRegistry,
        driver: AttemptDriver,
        finalizer: AttemptFinalizer,
    ) -> None:
        self._term = term
        self._attempts = attempts
        self._driver = driver
        self._finalizer = finalizer

    def mark_replaced_members_lost(
        self, session: UpstreamSession, now: Instant
    ) -> list[Effect]:
        """Mark members reserved by earlier incarnations of an upstream as lost."""
        upstream_id = session.upstream_id
        incarnation = session.announcement.incarnation
        effects: list[Effect] = []
        for attempt in self._attempts.list_on_upstream(upstream_id):
            for member in attempt.list_replaced_members(upstream_id, incarnation):
                effects += self._driver.mark_member_lost(attempt, member, now)
            effects += self._finalizer.finalize_if_done(attempt, now)
        return effects

    def reconcile(
        self,
        session: UpstreamSession,
        reply: RenewReply,
        requested_at_s: float,
        now: Instant,
    ) -> list[Effect]:
        """Compare the attempts on an upstream with the tasks that it lists.

        Parameters
        ----------
        session : UpstreamSession
            Session of the upstream.
        reply : RenewReply
            Reply with the list of tasks.
        requested_at_s : float
            Time at which the list was requested.
        now : Instant
            Current time.
        """
        upstream_id = session.upstream_id
        phases = {(t.job_id, t.attempt, t.rank): t.phase for t in reply.tasks}
        effects: list[Effect] = []
        for attempt in self._attempts.list_on_upstream(upstream_id):
            effects += self._reconcile_attempt(
                attempt, upstream_id, phases, requested_at_s, now
            )
            effects += self._finalizer.finalize_if_done(attempt, now)
        return effects + self._stop_orphaned_tasks(session, reply)

    def _reconcile_attempt(
        self,
        attempt: Attempt,
        upstream_id: str,
        phases: dict[TaskKey, TaskPhase],
        requested_at_s: float,
        now: Instant,
    ) -> list[Effect]:
        effects: list[Effect] = []
        for member in attempt.members:
            if member.run.upstream_id != upstream_id:
                continue
            key = (attempt.job_id, attempt.attempt_id, member.rank)
            phase = phases.get(key, TaskPhase.ABSENT)
            effects += self._driver.reconcile_task(
                attempt, member, phase, requested_at_s, now
            )
        return effects

    def _stop_orphaned_tasks(
        self, session: UpstreamSession, reply: RenewReply
    ) -> list[Effect]:
        return [
            session.make_call(
                StopRequest(self._term, task.job_id, task.attempt, task.rank)
            )
            for task in list_orphaned_tasks(reply, self._attempts)
        ]

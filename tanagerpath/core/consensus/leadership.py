"""Leadership: heartbeats, lease, check-quorum, proposals and hand-over."""

import math

from tanagerpath.core.consensus.context import ReplicaContext
from tanagerpath.core.consensus.events import CommandProposed, EntryKind, LogEntry, Role
from tanagerpath.core.consensus.membership import Membership
from tanagerpath.core.consensus.messages import TimeoutNow
from tanagerpath.core.consensus.replication import Replicator

__all__ = ["Leadership"]


class Leadership:
    """What a replica does while it leads.

    Parameters
    ----------
    context : ReplicaContext
        Shared state of the replica.
    replicator : Replicator
        Progress of the other members.
    """

    def __init__(self, context: ReplicaContext, replicator: Replicator) -> None:
        self._context = context
        self._replicator = replicator
        self._first_index = 0
        self._next_heartbeat_s = math.inf
        self._clear_transfer()

    def _clear_transfer(self) -> None:
        self._transfer_target: str | None = None
        self._transfer_deadline_s = math.inf
        self._handed_over = False

    @property
    def next_heartbeat_s(self) -> float:
        """Instant of the next heartbeat."""
        return self._next_heartbeat_s

    def start(self) -> None:
        """Take the lead in the current term with an empty entry."""
        context = self._context
        context.role = Role.LEADER
        context.leader_id = context.replica_id
        self._clear_transfer()
        self._replicator.start()
        self._first_index = context.log.last_index + 1
        self._append(EntryKind.NO_OPERATION)
        self._next_heartbeat_s = context.now_s
        self.tick()

    def _append(
        self, kind: EntryKind, payload: str = "", membership: Membership | None = None
    ) -> int:
        context = self._context
        index = context.log.last_index + 1
        context.append((LogEntry(index, context.term, kind, payload, membership),))
        return index

    @property
    def has_committed(self) -> bool:
        """Whether an entry of the own term is committed."""
        return self._context.commit_index >= self._first_index

    def has_lease(self, now_s: float) -> bool:
        """Return whether no other replica can lead at `now_s`.

        The lease is not given again once the hand-over was sent, because the target may
        then be elected in spite of heartbeats that others have just answered.
        """
        context = self._context
        if context.role is not Role.LEADER or self._handed_over:
            return False
        if not self.has_committed:
            return False
        voters = context.membership.voters
        if voters == (context.replica_id,):
            return True
        confirmed_s = self._replicator.find_quorum_contact_s(count_start=False)
        return now_s < confirmed_s + context.config.lease_duration_s

    def propose(self, event: CommandProposed) -> None:
        """Append a command, unless another replica is to lead or the disk is full."""
        storage_lost = self._context.journal.storage_lost
        if self._transfer_target is not None or storage_lost:
            self._context.reject_proposal(event.proposal_id)
            return
        index = self._append(EntryKind.COMMAND, event.payload)
        self._context.proposals[index] = event.proposal_id
        self._replicator.replicate_all()

    def append_empty(self) -> None:
        """Append an entry that changes nothing, to see who stores it."""
        self._append(EntryKind.NO_OPERATION)
        self._replicator.replicate_all()

    def change_membership(self, membership: Membership) -> None:
        """Append a membership, which is in force at once."""
        self._append(EntryKind.MEMBERSHIP, membership=membership)
        self._replicator.follow_membership()
        self._replicator.replicate_all()

    def tick(self) -> None:
        """Send heartbeats, or step down if no quorum answers."""
        context = self._context
        timeout_s = context.config.election_timeout_max_s
        if self._find_silence_s() > timeout_s:
            context.become_follower(context.term, None)
            return
        if context.journal.storage_lost:
            self.give_up()
        self._check_transfer()
        if context.role is Role.LEADER and context.now_s >= self._next_heartbeat_s:
            self._next_heartbeat_s = context.now_s + context.config.heartbeat_interval_s
            self._replicator.send_heartbeats()
            self._send_hand_over()

    def _find_silence_s(self) -> float:
        contact_s = self._replicator.find_quorum_contact_s(count_start=True)
        return self._context.now_s - contact_s

    def request_transfer(self) -> None:
        """Choose the most advanced voter that answers as the next leader."""
        context = self._context
        candidates = [
            (self._replicator.progress[voter].match_index, voter)
            for voter in context.membership.voters
            if self._answers(voter)
        ]
        if not candidates or self._transfer_target is not None:
            return
        self._transfer_target = max(candidates)[1]
        timeout_s = context.config.election_timeout_max_s
        self._transfer_deadline_s = context.now_s + timeout_s
        self._send_hand_over()

    def give_up(self) -> None:
        """Hand over because the own disk takes no writes.

        The lead is kept while the other voters that answer are no quorum: none of them
        could be elected, and an election would only delay the first commit once the
        disk takes writes again.
        """
        context = self._context
        others = [
            voter
            for voter in context.membership.voters
            if voter != context.replica_id and self._answers(voter)
        ]
        if context.membership.has_quorum(others):
            self.request_transfer()

    def _answers(self, voter: str) -> bool:
        progress = self._replicator.progress.get(voter)
        recent_s = self._context.now_s - self._context.config.election_timeout_min_s
        return progress is not None and progress.acknowledged_s >= recent_s

    def _send_hand_over(self) -> None:
        target = self._transfer_target
        progress = self._replicator.progress.get(target or "")
        if target is None or progress is None:
            return
        if progress.match_index == self._context.log.last_index:
            self._handed_over = True
            self._context.send(target, TimeoutNow(self._context.term))

    def _check_transfer(self) -> None:
        context = self._context
        if context.now_s < self._transfer_deadline_s:
            return
        if self._handed_over or context.journal.storage_lost:
            context.become_follower(context.term, None)
        self._clear_transfer()

    def record_progress(self) -> None:
        """Commit what a quorum holds, and go on with a hand-over."""
        self._replicator.advance_commit()
        self._send_hand_over()

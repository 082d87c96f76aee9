"""Leader: heartbeats, lease, quorum check, proposals and leadership transfer."""

import math

from tanagerpath.core.consensus.context import ReplicaContext
from tanagerpath.core.consensus.events import CommandProposed, EntryKind, LogEntry, Role
from tanagerpath.core.consensus.membership import Membership
from tanagerpath.core.consensus.messages import TimeoutNow
from tanagerpath.core.consensus.replication import Replicator

__all__ = ["Leadership"]


class Leadership:
    """Behaviour of a replica while it is the leader.

    Parameters
    ----------
    context : ReplicaContext
        Shared state of the replica.
    replicator : Replicator
        Replicates the log to the other members.
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
        self._timeout_now_sent = False

    @property
    def next_heartbeat_s(self) -> float:
        """Time of the next heartbeat."""
        return self._next_heartbeat_s

    def start(self) -> None:
        """Become leader of the current term and append a no-op entry."""
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
    def has_committed_in_term(self) -> bool:
        """Whether an entry of the current term is committed."""
        return self._context.commit_index >= self._first_index

    def has_lease(self, now_s: float) -> bool:
        """Return whether no other replica can lead at `now_s`.

        There is no lease once `TimeoutNow` was sent, because the target may then be
        elected although others have just replied to heartbeats.
        """
        context = self._context
        if context.role is not Role.LEADER or self._timeout_now_sent:
            return False
        if not self.has_committed_in_term:
            return False
        voters = context.membership.voters
        if voters == (context.replica_id,):
            return True
        confirmed_s = self._replicator.find_quorum_contact_s(count_start=False)
        return now_s < confirmed_s + context.config.lease_duration_s

    def propose(self, event: CommandProposed) -> None:
        """Append a command, unless a transfer is under way or storage is lost."""
        storage_lost = self._context.journal.storage_lost
        if self._transfer_target is not None or storage_lost:
            self._context.reject_proposal(event.proposal_id)
            return
        index = self._append(EntryKind.COMMAND, event.payload)
        self._context.proposals[index] = event.proposal_id
        self._replicator.replicate_all()

    def append_no_operation(self) -> None:
        """Append a no-op entry, to learn which members store it."""
        self._append(EntryKind.NO_OPERATION)
        self._replicator.replicate_all()

    def change_membership(self, membership: Membership) -> None:
        """Append a membership, which takes effect at once."""
        self._append(EntryKind.MEMBERSHIP, membership=membership)
        self._replicator.track_members()
        self._replicator.replicate_all()

    def tick(self) -> None:
        """Send due heartbeats, or step down if no quorum replies."""
        context = self._context
        timeout_s = context.config.election_timeout_max_s
        if self._find_silence_s() > timeout_s:
            context.become_follower(context.term, None)
            return
        if context.journal.storage_lost:
            self.transfer_after_storage_loss()
        self._check_transfer()
        if context.role is Role.LEADER and context.now_s >= self._next_heartbeat_s:
            self._next_heartbeat_s = context.now_s + context.config.heartbeat_interval_s
            self._replicator.send_heartbeats()
            self._send_timeout_now()

    def _find_silence_s(self) -> float:
        contact_s = self._replicator.find_quorum_contact_s(count_start=True)
        return self._context.now_s - contact_s

    def request_transfer(self) -> None:
        """Start a transfer to the responsive voter with the longest matching log."""
        context = self._context
        candidates = [
            (self._replicator.progress[voter].match_index, voter)
            for voter in context.membership.voters
            if self._is_responsive(voter)
        ]
        if not candidates or self._transfer_target is not None:
            return
        self._transfer_target = max(candidates)[1]
        timeout_s = context.config.election_timeout_max_s
        self._transfer_deadline_s = context.now_s + timeout_s
        self._send_timeout_now()

    def transfer_after_storage_loss(self) -> None:
        """Transfer leadership because the local disk rejects writes.

        Leadership is kept while the other responsive voters are no quorum: none of them
        could be elected, and an election would only delay the first commit after the
        disk accepts writes again.
        """
        context = self._context
        others = [
            voter
            for voter in context.membership.voters
            if voter != context.replica_id and self._is_responsive(voter)
        ]
        if context.membership.has_quorum(others):
            self.request_transfer()

    def _is_responsive(self, voter: str) -> bool:
        progress = self._replicator.progress.get(voter)
        recent_s = self._context.now_s - self._context.config.election_timeout_min_s
        return progress is not None and progress.acknowledged_s >= recent_s

    def _send_timeout_now(self) -> None:
        target = self._transfer_target
        progress = self._replicator.progress.get(target or "")
        if target is None or progress is None:
            return
        if progress.match_index == self._context.log.last_index:
            self._timeout_now_sent = True
            self._context.send(target, TimeoutNow(self._context.term))

    def _check_transfer(self) -> None:
        context = self._context
        if context.now_s < self._transfer_deadline_s:
            return
        if self._timeout_now_sent or context.journal.storage_lost:
            context.become_follower(context.term, None)
        self._clear_transfer()

    def record_progress(self) -> None:
        """Advance the commit index and continue a leadership transfer."""
        self._replicator.advance_commit()
        self._send_timeout_now()

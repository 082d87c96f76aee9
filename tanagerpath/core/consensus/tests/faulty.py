"""Replicas with one deliberate fault each."""

import math
import random

import attrs

from tanagerpath.core.consensus.changes import Change, MembershipChanges
from tanagerpath.core.consensus.context import ReplicaContext
from tanagerpath.core.consensus.elections import Elections
from tanagerpath.core.consensus.follower import Follower
from tanagerpath.core.consensus.journal import Journal
from tanagerpath.core.consensus.leadership import Leadership
from tanagerpath.core.consensus.membership import MemberRole
from tanagerpath.core.consensus.membership_reports import ChangeReason
from tanagerpath.core.consensus.replica import Replica
from tanagerpath.core.consensus.replication import Replicator
from tanagerpath.core.consensus.snapshot_transfer import SnapshotAssembly


class _UnsyncedSendJournal(Journal):
    def take_sendable_messages(self):
        messages = [queued.message for queued in self._queued_messages]
        self._queued_messages = []
        return messages


class _UnsyncedSendContext(ReplicaContext):
    journal_class = _UnsyncedSendJournal


class SendsBeforeSync(Replica):
    """Sends votes before the term and the vote are on disk."""

    context_class = _UnsyncedSendContext


class _UnsyncedCountJournal(Journal):
    synced_index = property(lambda self: self._last_index, lambda self, value: None)


class _UnsyncedCountContext(ReplicaContext):
    journal_class = _UnsyncedCountJournal


class CountsUnsyncedEntries(Replica):
    """Counts and acknowledges entries before they are on disk."""

    context_class = _UnsyncedCountContext


class _NoLeaderContactContext(ReplicaContext):
    def has_recent_leader_contact(self):
        return False


class VotesUnderLease(Replica):
    """Votes although it heard from a leader recently."""

    context_class = _NoLeaderContactContext


class VotesRightAfterStart(Replica):
    """Votes right after a restart, when it may just have replied to a leader."""

    def _start(self):
        super()._start()
        self._context.last_leader_contact_s = -math.inf


class _ReceiptTimeReplicator(Replicator):
    def handle_append_reply(self, sender, reply):
        reply = attrs.evolve(reply, sent_s=self._context.now_s)
        super().handle_append_reply(sender, reply)


class MeasuresLeaseFromReceipt(Replica):
    """Measures the lease from the reply instead of from the heartbeat."""

    replicator_class = _ReceiptTimeReplicator


class _LeaseKeepingLeadership(Leadership):
    def _send_timeout_now(self):
        super()._send_timeout_now()
        self._timeout_now_sent = False


class KeepsLeaseDuringTransfer(Replica):
    """Keeps the lease after it asked another replica to start an election."""

    leadership_class = _LeaseKeepingLeadership


class _UncheckedLogElections(Elections):
    def _is_up_to_date(self, request):
        return True


class VotesForShortLogs(Replica):
    """Votes for candidates whose log is behind."""

    elections_class = _UncheckedLogElections


class _RepeatedVoteElections(Elections):
    def handle_vote_request(self, sender, request):
        context = self._context
        if not request.pre_vote and request.term == context.term:
            context.voted_for = None
        super().handle_vote_request(sender, request)


class VotesTwice(Replica):
    """Votes for several candidates in one term."""

    elections_class = _RepeatedVoteElections


class _OldTermReplicator(Replicator):
    def _is_from_current_term(self, index):
        return True


class CountsOlderTerms(Replica):
    """Commits entries of older terms by counting replicas."""

    replicator_class = _OldTermReplicator


class _UncheckedTermFollower(Follower):
    def handle_append(self, sender, request):
        held_term = self._context.log.find_term(request.prev_index)
        if held_term is not None:
            request = attrs.evolve(request, prev_term=held_term)
        super().handle_append(sender, request)


class SkipsTermOfPreviousEntry(Replica):
    """Appends after an entry of a different term."""

    follower_class = _UncheckedTermFollower


class _ArrivalOrderAssembly(SnapshotAssembly):
    def add(self, chunk):
        self._texts.append(chunk.text)
        self.received_chars += len(chunk.text)
        self.is_complete = chunk.complete


class _ArrivalOrderFollower(Follower):
    assembly_class = _ArrivalOrderAssembly


class JoinsChunksAsTheyArrive(Replica):
    """Puts the chunks of a snapshot together in the order of their arrival."""

    follower_class = _ArrivalOrderFollower


class _CommitAllFollower(Follower):
    def handle_append(self, sender, request):
        last_index = self._context.log.last_index + len(request.entries)
        request = attrs.evolve(
            request, commit_index=max(request.commit_index, last_index)
        )
        super().handle_append(sender, request)


class CommitsWhatItReceives(Replica):
    """Treats all entries that a leader has sent as committed."""

    follower_class = _CommitAllFollower


class _RewindingContext(ReplicaContext):
    def commit_to(self, index):
        self.commit_index = min(self.commit_index, index)
        super().commit_to(index)


class FollowsLowerCommitIndex(Replica):
    """Adopts a commit index that is lower than its own."""

    context_class = _RewindingContext


class _SwappingChanges(MembershipChanges):
    def _add(self, member):
        membership = self._context.membership
        for older in membership.find_on_vm(member.vm_id):
            if older.replica_id != member.replica_id:
                membership = membership.retire(older.replica_id)
        return membership.with_member(attrs.evolve(member, role=MemberRole.VOTER))


class SwapsVoters(Replica):
    """Replaces one voter by another in a single change."""

    changes_class = _SwappingChanges


class _SecondVoterChanges(MembershipChanges):
    def _add(self, member):
        voter = attrs.evolve(member, role=MemberRole.VOTER)
        return self._context.membership.with_member(voter)


class KeepsBothVotersOfVm(Replica):
    """Adds the new identity of a VM as a voter but keeps the old one."""

    changes_class = _SecondVoterChanges


class _SingleVoterChanges(MembershipChanges):
    def _may_drop_voter(self, voter):
        rest = self._context.membership.without(voter)
        return rest.has_quorum([self._context.replica_id])


class ShrinksToOneVoter(Replica):
    """Demotes voters until it is a quorum alone."""

    changes_class = _SingleVoterChanges


class _ShrinkingChanges(MembershipChanges):
    def _shrink(self):
        for voter in self._context.membership.voters:
            if self._is_unreachable(voter) and self._may_drop_voter(voter):
                membership = self._context.membership
                changed = membership.with_role(voter, MemberRole.LEARNER)
                return Change(changed, ChangeReason.VOTER_AWAY, voter)
        return None


class ShrinksBelowTolerance(Replica):
    """Demotes each unreachable voter, whatever the tolerance."""

    changes_class = _ShrinkingChanges


class KeepsIdentityOfVm(Replica):
    """Draws the same identity again after its disk was emptied."""

    @classmethod
    def from_config(cls, config, restored, random):
        return super().from_config(config, restored, _RepeatedRandom(config.vm_id))


class _RepeatedRandom(random.Random):
    """Returns the same bits for the same VM; other numbers are random."""

    def __init__(self, seed):
        super().__init__(seed)
        self._vm_id = seed

    def getrandbits(self, count):
        return random.Random(self._vm_id).getrandbits(count)

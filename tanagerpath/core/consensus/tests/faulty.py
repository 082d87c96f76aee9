"""Replicas with one deliberate fault each."""

import math
import random

import attrs

from tanagerpath.core.consensus.changes import Change, MembershipChanges
from tanagerpath.core.consensus.context import ReplicaContext
from tanagerpath.core.consensus.elections import Elections
from tanagerpath.core.consensus.following import Following
from tanagerpath.core.consensus.journal import Journal
from tanagerpath.core.consensus.leadership import Leadership
from tanagerpath.core.consensus.membership import MemberRole
from tanagerpath.core.consensus.notes import ChangeReason
from tanagerpath.core.consensus.replica import Replica
from tanagerpath.core.consensus.replication import Replicator


class _UngatedJournal(Journal):
    def take_released(self):
        released = [held.message for held in self._held]
        self._held = []
        return released


class _UngatedContext(ReplicaContext):
    journal_class = _UngatedJournal


class SendsBeforeSync(Replica):
    """Votes leave before the term and the vote are on disk."""

    context_class = _UngatedContext


class _EagerJournal(Journal):
    synced_index = property(lambda self: self._last_index, lambda self, value: None)


class _EagerContext(ReplicaContext):
    journal_class = _EagerJournal


class CountsUnsyncedEntries(Replica):
    """Entries count and are acknowledged before they are on disk."""

    context_class = _EagerContext


class _ForgetfulContext(ReplicaContext):
    def is_sticky(self):
        return False


class VotesUnderLease(Replica):
    """Votes although a leader was heard a moment ago."""

    context_class = _ForgetfulContext


class VotesRightAfterStart(Replica):
    """Votes right after a restart, when it may just have answered a leader."""

    def _start(self):
        super()._start()
        self._context.last_leader_contact_s = -math.inf


class _ReceiptReplicator(Replicator):
    def handle_append_reply(self, sender, reply):
        reply = attrs.evolve(reply, sent_s=self._context.now_s)
        super().handle_append_reply(sender, reply)


class MeasuresLeaseFromReceipt(Replica):
    """The lease starts when a reply arrives, not when the heartbeat was sent."""

    replicator_class = _ReceiptReplicator


class _KeepingLeadership(Leadership):
    def _send_hand_over(self):
        super()._send_hand_over()
        self._handed_over = False


class KeepsLeaseInHandOver(Replica):
    """Keeps the lease after it told another replica to stand."""

    leadership_class = _KeepingLeadership


class _CarelessElections(Elections):
    def _is_up_to_date(self, request):
        return True


class VotesForShortLogs(Replica):
    """Votes for candidates whose log is behind."""

    elections_class = _CarelessElections


class _VotingAgainElections(Elections):
    def handle_vote_request(self, sender, request):
        context = self._context
        if not request.pre_vote and request.term == context.term:
            context.voted_for = None
        super().handle_vote_request(sender, request)


class VotesTwice(Replica):
    """Forgets whom it voted for in the term."""

    elections_class = _VotingAgainElections


class _CountingReplicator(Replicator):
    def _may_count(self, index):
        return True


class CountsOlderTerms(Replica):
    """Commits entries of older terms by counting."""

    replicator_class = _CountingReplicator


class _TrustingFollowing(Following):
    def handle_append(self, sender, request):
        held_term = self._context.log.find_term(request.prev_index)
        if held_term is not None:
            request = attrs.evolve(request, prev_term=held_term)
        super().handle_append(sender, request)


class SkipsTermOfPreviousEntry(Replica):
    """Appends after an entry of another term."""

    following_class = _TrustingFollowing


class _CommitsAllFollowing(Following):
    def handle_append(self, sender, request):
        whole = self._context.log.last_index + len(request.entries)
        request = attrs.evolve(request, commit_index=max(request.commit_index, whole))
        super().handle_append(sender, request)


class CommitsWhatItReceives(Replica):
    """Takes all that a leader has sent as committed."""

    following_class = _CommitsAllFollowing


class _RewindingContext(ReplicaContext):
    def commit_to(self, index):
        self.commit_index = min(self.commit_index, index)
        super().commit_to(index)


class FollowsLowerCommitIndex(Replica):
    """Takes over a commit index that is lower than its own."""

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
    """Adds the new identity of a VM as a voter beside the old one."""

    changes_class = _SecondVoterChanges


class _LoneChanges(MembershipChanges):
    def _may_lose(self, voter):
        rest = self._context.membership.without(voter)
        return rest.has_quorum([self._context.replica_id])


class ShrinksToOneVoter(Replica):
    """Demotes voters until it can decide alone."""

    changes_class = _LoneChanges


class _ShrinkingChanges(MembershipChanges):
    def _shrink(self):
        for voter in self._context.membership.voters:
            if self._is_away(voter) and self._may_lose(voter):
                membership = self._context.membership
                changed = membership.with_role(voter, MemberRole.LEARNER)
                return Change(changed, ChangeReason.VOTER_AWAY, voter)
        return None


class ShrinksBelowTolerance(Replica):
    """Takes the vote from each voter that is away, whatever the tolerance."""

    changes_class = _ShrinkingChanges


class KeepsIdentityOfVm(Replica):
    """Draws the same identity again after its disk was emptied."""

    @classmethod
    def from_config(cls, config, restored, random):
        return super().from_config(config, restored, _RepeatedRandom(config.vm_id))


class _RepeatedRandom(random.Random):
    """Source of the same bits for the same VM, and of other numbers as usual."""

    def __init__(self, seed):
        super().__init__(seed)
        self._vm_id = seed

    def getrandbits(self, count):
        return random.Random(self._vm_id).getrandbits(count)

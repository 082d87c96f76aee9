"""Membership changes that a leader makes by itself."""

import attrs

from tanagerpath.core.consensus.context import ReplicaContext
from tanagerpath.core.consensus.leadership import Leadership
from tanagerpath.core.consensus.membership import (
    Member,
    MemberRole,
    Membership,
    find_quorum_size,
)
from tanagerpath.core.consensus.messages import JoinRequest
from tanagerpath.core.consensus.notes import (
    ChangeReason,
    MembershipProposed,
    PromotionDelay,
    PromotionDelayed,
)
from tanagerpath.core.consensus.replication import Replicator

__all__ = ["MIN_VOTERS", "MembershipChanges"]

# One voter alone would lose acknowledged entries with its disk.
MIN_VOTERS = 2
CHALLENGE_BITS = 64
# Only configured VMs ask; more open challenges than this are left over from lost ones.
MAX_CHALLENGES = 64


@attrs.frozen
class _Challenge:
    """Random text that a joining replica has to repeat before `expires_s`."""

    text: str
    expires_s: float

    def is_met(self, request: JoinRequest, now_s: float) -> bool:
        """Return whether a request repeats the challenge in time."""
        return request.challenge == self.text and now_s < self.expires_s


@attrs.frozen
class _Change:
    """Next membership, and why and for which member it differs from that in force."""

    membership: Membership
    reason: ChangeReason
    replica_id: str


class MembershipChanges:
    """Admits, promotes, demotes and removes members, one voter at a time.

    A change needs the lease, an entry of the own term that is committed, and no other
    change that is not committed yet. Two quorums of consecutive memberships therefore
    always have a voter in common.

    Parameters
    ----------
    context : ReplicaContext
        Shared state of the replica.
    leadership : Leadership
        Appends the changes.
    replicator : Replicator
        Progress of the members.
    """

    def __init__(
        self, context: ReplicaContext, leadership: Leadership, replicator: Replicator
    ) -> None:
        self._context = context
        self._leadership = leadership
        self._replicator = replicator
        self._joining: dict[str, Member] = {}
        self._challenges: dict[str, _Challenge] = {}
        self._delays: dict[str, PromotionDelay] = {}

    def request_join(self, request: JoinRequest) -> str:
        """Note a replica that asks to be a member.

        Returns
        -------
        str
            Challenge that the replica has to repeat, empty if none is needed.
        """
        if not self._needs_change(request):
            return ""
        if not request.challenge:
            return self._issue_challenge(request.replica_id)
        issued = self._challenges.get(request.replica_id)
        if issued is not None and issued.is_met(request, self._context.now_s):
            self._joining[request.vm_id] = Member(
                request.replica_id, request.vm_id, request.address, MemberRole.LEARNER
            )
        # A wrong challenge gets no new one: copies of requests would multiply.
        return ""

    def _needs_change(self, request: JoinRequest) -> bool:
        context = self._context
        if request.replica_id in context.membership.retired:
            return False
        if request.vm_id == context.config.vm_id:
            return False
        known = context.membership.find(request.replica_id)
        return known is None or known.address != request.address

    def _issue_challenge(self, replica_id: str) -> str:
        context = self._context
        issued = self._challenges.get(replica_id)
        if issued is None or context.now_s >= issued.expires_s:
            if len(self._challenges) >= MAX_CHALLENGES:
                self._challenges.clear()
            text = f"{context.random.getrandbits(CHALLENGE_BITS):016x}"
            expires_s = context.now_s + context.config.empty_report_validity_s
            issued = _Challenge(text, expires_s)
            self._challenges[replica_id] = issued
        return issued.text

    def tick(self) -> None:
        """Append the next change that is due, if one may be made now."""
        if self._find_obstacle() is None:
            change = (
                self._admit()
                or self._promote()
                or self._retire_older()
                or self._demote()
                or self._remove()
            )
            if change is not None:
                self._propose(change)
        self._report_delays()

    def _propose(self, change: _Change) -> None:
        context = self._context
        membership = change.membership
        self._leadership.change_membership(membership)
        context.act(
            MembershipProposed(
                context.log.membership_index,
                change.reason,
                change.replica_id,
                membership.voters,
                membership.learners,
            )
        )

    def _find_obstacle(self) -> PromotionDelay | None:
        """Return why no change may be made now, if there is a reason."""
        context = self._context
        if context.log.membership_index > context.commit_index:
            return PromotionDelay.CHANGE_NOT_COMMITTED
        if not self._leadership.has_lease(context.now_s):
            return PromotionDelay.NO_LEASE
        return None

    def _report_delays(self) -> None:
        """Report why each learner waits, if the reason is new."""
        context = self._context
        delays = {
            replica_id: self._find_delay(replica_id)
            for replica_id in context.membership.learners
        }
        for replica_id, delay in delays.items():
            if delay is None or self._delays.get(replica_id) is delay:
                continue
            progress = self._replicator.progress.get(replica_id)
            match_index = progress.match_index if progress else 0
            context.act(
                PromotionDelayed(replica_id, delay, match_index, context.commit_index)
            )
        self._delays = {
            replica_id: delay
            for replica_id, delay in delays.items()
            if delay is not None
        }

    def _admit(self) -> _Change | None:
        while self._joining:
            member = self._joining.popitem()[1]
            changed = self._add(member)
            if changed is not None and changed != self._context.membership:
                return _Change(changed, ChangeReason.JOINED, member.replica_id)
        return None

    def _add(self, member: Member) -> Membership | None:
        membership = self._context.membership
        if member.replica_id in membership.retired:
            return None
        known = membership.find(member.replica_id)
        if known is not None:
            member = Member(member.replica_id, member.vm_id, member.address, known.role)
        for older in membership.find_on_vm(member.vm_id):
            if older.replica_id != member.replica_id:
                membership = self._retire(membership, older)
        return membership.with_member(member)

    def _retire(self, membership: Membership, older: Member) -> Membership:
        if older.role is MemberRole.LEARNER or self._may_lose(older.replica_id):
            return membership.retire(older.replica_id)
        return membership

    def _may_lose(self, voter: str) -> bool:
        """Return whether the other voters suffice and a quorum of them answers."""
        rest = self._context.membership.without(voter)
        active = [other for other in rest.voters if self._is_active(other)]
        return len(rest.voters) >= MIN_VOTERS and rest.has_quorum(active)

    def _is_active(self, replica_id: str) -> bool:
        context = self._context
        if replica_id == context.replica_id:
            return True
        silence_s = context.now_s - self._replicator.find_contact_s(replica_id)
        return silence_s < context.config.election_timeout_min_s

    def _promote(self) -> _Change | None:
        membership = self._context.membership
        for replica_id in membership.learners:
            if self._find_delay(replica_id) is None:
                changed = membership.with_role(replica_id, MemberRole.VOTER)
                return _Change(changed, ChangeReason.PROMOTED, replica_id)
        return None

    def _find_delay(self, replica_id: str) -> PromotionDelay | None:
        """Return why a learner gets no vote now, None if it may get one."""
        context = self._context
        membership = context.membership
        progress = self._replicator.progress.get(replica_id)
        member = membership.find(replica_id)
        if progress is None or member is None:
            return PromotionDelay.NOT_TRACKED
        if len(membership.voters) >= context.config.max_voters:
            return PromotionDelay.NO_PLACE
        if len(membership.find_on_vm(member.vm_id)) > 1:
            return PromotionDelay.OLDER_IDENTITY
        if not self._is_active(replica_id):
            return PromotionDelay.SILENT
        if not self._replicator.has_caught_up(replica_id):
            return PromotionDelay.LAGS
        return self._find_obstacle()

    def _retire_older(self) -> _Change | None:
        """Retire a voter whose newer identity had to wait as a learner."""
        membership = self._context.membership
        for member in membership.members:
            on_vm = membership.find_on_vm(member.vm_id)
            is_older = len(on_vm) > 1 and member.role is MemberRole.VOTER
            if is_older and self._may_lose(member.replica_id):
                changed = membership.retire(member.replica_id)
                reason = ChangeReason.REPLACED_IDENTITY
                return _Change(changed, reason, member.replica_id)
        return None

    def _is_away(self, replica_id: str) -> bool:
        context = self._context
        if replica_id == context.replica_id:
            return False
        silence_s = context.now_s - self._replicator.find_contact_s(replica_id)
        return silence_s > context.config.replace_voter_after_s

    def _demote(self) -> _Change | None:
        """Take the vote from a voter that is away; it stays as a learner.

        Only if the quorum gets smaller once all that are away have lost their vote.
        From three voters to two it would not, and the loss of one further disk would
        leave no quorum even after the first voter is back.
        """
        membership = self._context.membership
        away = [voter for voter in membership.voters if self._is_away(voter)]
        remaining = len(membership.voters) - len(away)
        if find_quorum_size(remaining) >= find_quorum_size(len(membership.voters)):
            return None
        for voter in away:
            if self._may_lose(voter):
                changed = membership.with_role(voter, MemberRole.LEARNER)
                return _Change(changed, ChangeReason.VOTER_AWAY, voter)
        return None

    def _remove(self) -> _Change | None:
        """Remove a learner that is away and whose VM is not configured any more."""
        membership = self._context.membership
        for member in membership.members:
            gone = member.vm_id not in self._context.config.vms
            is_learner = member.role is MemberRole.LEARNER
            if gone and is_learner and self._is_away(member.replica_id):
                changed = membership.without(member.replica_id)
                return _Change(changed, ChangeReason.LEARNER_GONE, member.replica_id)
        return None

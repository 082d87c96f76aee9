"""Automatic membership changes of the leader."""

import attrs

from tanagerpath.core.consensus.context import ReplicaContext
from tanagerpath.core.consensus.joining import PendingJoins
from tanagerpath.core.consensus.leadership import Leadership
from tanagerpath.core.consensus.membership import (
    Member,
    MemberRole,
    Membership,
    find_quorum_size,
)
from tanagerpath.core.consensus.membership_reports import (
    ChangeReason,
    MembershipProposed,
    PromotionDelay,
    PromotionDelayed,
)
from tanagerpath.core.consensus.messages import JoinRequest
from tanagerpath.core.consensus.replication import Replicator
from tanagerpath.core.consensus.voters import VoterPlan

__all__ = ["MIN_VOTERS", "Change", "MembershipChanges"]

# One voter alone would lose acknowledged entries with its disk.
MIN_VOTERS = 2
# A join request, its repetition with the leader's challenge, and one in reserve.
JOIN_GRACE_INTERVALS = 3


@attrs.frozen
class Change:
    """Next membership, the reason for it and the member that it concerns."""

    membership: Membership
    reason: ChangeReason
    replica_id: str


class MembershipChanges:
    """Admits, promotes, demotes and removes members, one voter at a time.

    A change requires the lease, a committed entry of the current term and no other
    uncommitted change. Any two quorums of consecutive memberships therefore share a
    voter.

    Parameters
    ----------
    context : ReplicaContext
        Shared state of the replica.
    leadership : Leadership
        Appends the membership entries.
    replicator : Replicator
        Tracks the progress of the members.
    """

    def __init__(
        self, context: ReplicaContext, leadership: Leadership, replicator: Replicator
    ) -> None:
        self._context = context
        self._leadership = leadership
        self._replicator = replicator
        self._joins = PendingJoins(context)
        self._delays: dict[str, PromotionDelay] = {}

    def handle_join_request(self, request: JoinRequest) -> str:
        """Handle a join request; see `PendingJoins`."""
        return self._joins.handle_join_request(request)

    def tick(self) -> None:
        """Append the next due change if one is allowed now."""
        if self._find_change_delay() is None:
            change = (
                self._admit()
                or self._retire_older()
                or self._demote()
                or self._promote()
                or self._shrink()
                or self._remove()
            )
            if change is not None:
                self._propose(change)
        self._report_delays()

    def _propose(self, change: Change) -> None:
        context = self._context
        membership = change.membership
        self._leadership.change_membership(membership)
        context.add_action(
            MembershipProposed(
                context.log.membership_index,
                change.reason,
                change.replica_id,
                membership.voters,
                membership.learners,
            )
        )

    def _find_change_delay(self) -> PromotionDelay | None:
        """Return why no change is allowed now, None if one is."""
        context = self._context
        if context.log.membership_index > context.commit_index:
            return PromotionDelay.CHANGE_NOT_COMMITTED
        if not self._leadership.has_lease(context.now_s):
            return PromotionDelay.NO_LEASE
        return None

    def _report_delays(self) -> None:
        """Report why learners are not promoted; each new reason once."""
        context = self._context
        delays = {
            replica_id: self._find_delay(replica_id)
            for replica_id in context.membership.learners
        }
        for replica_id, delay in delays.items():
            if self._delays.get(replica_id) is delay:
                continue
            progress = self._replicator.progress.get(replica_id)
            match_index = progress.match_index if progress else 0
            waited_s = context.now_s - progress.tracked_s if progress else 0.0
            context.add_action(
                PromotionDelayed(
                    replica_id, delay, match_index, context.commit_index, waited_s
                )
            )
        self._delays = delays

    def _find_delay(self, replica_id: str) -> PromotionDelay:
        ineligibility = self._find_ineligibility(replica_id)
        return ineligibility or self._find_change_delay() or PromotionDelay.NO_PLACE

    def _admit(self) -> Change | None:
        while (member := self._joins.take_member()) is not None:
            changed = self._add(member)
            if changed is not None and changed != self._context.membership:
                return Change(changed, ChangeReason.JOINED, member.replica_id)
        return None

    def _add(self, member: Member) -> Membership | None:
        membership = self._context.membership
        if member.replica_id in membership.retired:
            return None
        known = membership.find(member.replica_id)
        if known is not None:
            member = attrs.evolve(member, role=known.role)
        for older in membership.find_on_vm(member.vm_id):
            if older.replica_id != member.replica_id:
                membership = self._retire(membership, older)
        return membership.with_member(member)

    def _retire(self, membership: Membership, older: Member) -> Membership:
        if older.role is MemberRole.LEARNER or self._may_drop_voter(older.replica_id):
            return membership.retire(older.replica_id)
        return membership

    def _may_drop_voter(self, voter: str) -> bool:
        """Return whether enough voters remain and a quorum of them is active."""
        rest = self._context.membership.without(voter)
        return len(rest.voters) >= MIN_VOTERS and rest.has_quorum(self._list_active())

    def _list_active(self) -> frozenset[str]:
        members = self._context.membership.members
        return frozenset(
            member.replica_id for member in members if self._is_active(member)
        )

    def _is_active(self, member: Member) -> bool:
        context = self._context
        silence_s = self._find_silence_s(member.replica_id)
        return silence_s < context.config.election_timeout_min_s

    def _make_plan(self) -> VoterPlan:
        context = self._context
        membership = context.membership
        return VoterPlan(
            membership=membership,
            target=context.config.find_voter_target(membership),
            leader_id=context.replica_id,
            unreachable=frozenset(filter(self._is_unreachable, membership.voters)),
            active=self._list_active(),
            candidates=frozenset(
                learner
                for learner in membership.learners
                if self._find_ineligibility(learner) is None
            ),
        )

    def _promote(self) -> Change | None:
        plan = self._make_plan()
        have_stored = filter(self._replicator.has_stored_recently, plan.candidates)
        replica_id = plan.choose_promotion_of(have_stored)
        if replica_id is None:
            self._probe_storage(plan)
            return None
        changed = self._context.membership.with_role(replica_id, MemberRole.VOTER)
        if not changed.has_quorum(self._list_active()):
            return None
        return Change(changed, ChangeReason.PROMOTED, replica_id)

    def _probe_storage(self, plan: VoterPlan) -> None:
        """Write an entry if a learner could be promoted once it has stored one.

        When nothing was written for a while, a learner with a full disk appears caught
        up, and the next commit would need its vote.
        """
        hold_log = filter(self._replicator.holds_whole_log, plan.candidates)
        if plan.choose_promotion_of(hold_log) is not None:
            self._leadership.append_no_operation()

    def _find_ineligibility(self, replica_id: str) -> PromotionDelay | None:
        """Return why a learner is not eligible to vote, None if it is."""
        membership = self._context.membership
        member = membership.find(replica_id)
        if member is None or replica_id not in self._replicator.progress:
            return PromotionDelay.NOT_TRACKED
        if len(membership.find_on_vm(member.vm_id)) > 1:
            return PromotionDelay.OLDER_IDENTITY
        if not self._is_active(member):
            return PromotionDelay.SILENT
        if not self._has_caught_up(replica_id):
            return PromotionDelay.LAGS
        return None

    def _has_caught_up(self, replica_id: str) -> bool:
        """Return whether a learner holds enough of the log to get a vote.

        In place of a missing voter, it is enough that it holds what the log held at its
        admission. Until then one more lost disk may leave no quorum, and how long a
        round of replication takes depends on the load of the leader.
        """
        if self._lacks_voter():
            return self._replicator.has_reached_target(replica_id)
        return self._replicator.has_caught_up(replica_id)

    def is_replacing_voter(self) -> bool:
        """Return whether a learner is catching up to replace a missing voter."""
        learners = self._context.membership.learners
        return self._lacks_voter() and not self._list_active().isdisjoint(learners)

    def _lacks_voter(self) -> bool:
        """Return whether fewer members vote than the tolerated losses require."""
        context = self._context
        if context.config.tolerated_losses is None:
            return False
        membership = context.membership
        target = context.config.find_voter_target(membership)
        return len(membership.voters) < target

    def _retire_older(self) -> Change | None:
        """Retire a voter whose VM has a newer identity as a learner."""
        membership = self._context.membership
        for member in membership.members:
            on_vm = membership.find_on_vm(member.vm_id)
            is_older = len(on_vm) > 1 and member.role is MemberRole.VOTER
            if is_older and self._may_drop_voter(member.replica_id):
                changed = membership.retire(member.replica_id)
                reason = ChangeReason.REPLACED_IDENTITY
                return Change(changed, reason, member.replica_id)
        return None

    def _is_unreachable(self, replica_id: str) -> bool:
        """Return whether a voter has been silent for so long that it is replaced.

        False right after an election: the VM may have restarted with an empty disk and
        ask to join. Its lost identity is then retired before others get a vote.
        """
        config = self._context.config
        leadership_age_s = self._context.now_s - self._replicator.started_s
        if leadership_age_s < JOIN_GRACE_INTERVALS * config.join_interval_s:
            return False
        return self._find_silence_s(replica_id) > config.replace_voter_after_s

    def _find_silence_s(self, replica_id: str) -> float:
        context = self._context
        if replica_id == context.replica_id:
            return 0.0
        return context.now_s - self._replicator.find_contact_s(replica_id)

    def _demote(self) -> Change | None:
        """Demote the voter that another member has replaced."""
        plan = self._make_plan()
        voter = plan.choose_demotion()
        if voter is None or not self._may_drop_voter(voter):
            return None
        reason = ChangeReason.VOTER_AWAY
        if voter in plan.active:
            reason = ChangeReason.SPREAD
        changed = self._context.membership.with_role(voter, MemberRole.LEARNER)
        return Change(changed, reason, voter)

    def _shrink(self) -> Change | None:
        """Demote an unreachable voter that no learner can replace.

        Only without a tolerance, and if the demotion of all unreachable voters makes
        the quorum smaller. From three voters to two it does not, and the loss of one
        further disk would leave no quorum even after the first voter returns. With a
        tolerance, fewer voters would tolerate the loss of fewer disks.
        """
        membership = self._context.membership
        if self._context.config.tolerated_losses is not None:
            return None
        unreachable = [
            voter for voter in membership.voters if self._is_unreachable(voter)
        ]
        remaining = len(membership.voters) - len(unreachable)
        if find_quorum_size(remaining) >= find_quorum_size(len(membership.voters)):
            return None
        for voter in unreachable:
            if self._may_drop_voter(voter):
                changed = membership.with_role(voter, MemberRole.LEARNER)
                return Change(changed, ChangeReason.VOTER_AWAY, voter)
        return None

    def _remove(self) -> Change | None:
        """Remove a silent learner that the settings do not name."""
        membership = self._context.membership
        config = self._context.config
        for member in membership.members:
            is_configured = member.vm_id in config.vms
            is_learner = member.role is MemberRole.LEARNER
            silence_s = self._find_silence_s(member.replica_id)
            is_gone = silence_s > config.remove_learner_after_s
            if is_learner and is_gone and not is_configured:
                changed = membership.without(member.replica_id)
                return Change(changed, ChangeReason.LEARNER_GONE, member.replica_id)
        return None

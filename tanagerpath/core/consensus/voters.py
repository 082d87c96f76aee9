"""Which members vote: how many, and spread over which fault domains."""

import collections

import attrs

from tanagerpath.core.consensus.membership import Membership

__all__ = ["LossTolerance", "VoterPlan"]

# One voter alone would lose acknowledged entries with its disk.
MIN_TOLERATED_VMS = 1


@attrs.frozen(kw_only=True)
class LossTolerance:
    """Losses at the same time after which the other voters still are a quorum.

    Attributes
    ----------
    vms : int
        Any VMs, with their disks; at least one is tolerated.
    fault_domains : int
        Whole fault domains.
    """

    vms: int = MIN_TOLERATED_VMS
    fault_domains: int = 0

    def find_voter_count(self, domain_count: int) -> int:
        """Return the fewest voters that bear the losses.

        Parameters
        ----------
        domain_count : int
            Fault domains with members. If they are too few to lose `fault_domains` of
            them, the loss of VMs alone decides.
        """
        losses = max(MIN_TOLERATED_VMS, self.vms, self.fault_domains)
        count = 2 * losses + 1
        if domain_count <= 2 * self.fault_domains:
            return count
        while self._find_most_lost(count, domain_count) > (count - 1) // 2:
            count += 2
        return count

    def _find_most_lost(self, count: int, domain_count: int) -> int:
        """Return how many evenly spread voters the fullest domains hold."""
        each, further = divmod(count, domain_count)
        return self.fault_domains * each + min(self.fault_domains, further)


@attrs.frozen(kw_only=True)
class VoterPlan:
    """Chooses the next member to get or to lose a vote.

    The number of voters passes the target by one while a voter is replaced: its
    successor gets a vote first. Until then the disk of the replaced voter counts, so
    that the group bears the loss of as many disks as before.

    Attributes
    ----------
    membership : Membership
        Members in force.
    target : int
        Number of voters aimed for.
    leader_id : str
        Leader, which keeps its vote.
    away : frozenset of str
        Voters that were silent for so long that they are to be replaced.
    active : frozenset of str
        Members that have answered lately.
    candidates : frozenset of str
        Learners that may vote now.
    """

    membership: Membership
    target: int
    leader_id: str
    away: frozenset[str]
    active: frozenset[str]
    candidates: frozenset[str]

    def choose_promotion(self) -> str | None:
        """Return the learner that gets a vote, from the domain with fewest voters."""
        voters = self.membership.voters
        if not self.candidates or len(voters) > self.target:
            return None
        best = min(self.candidates, key=lambda one: (self._count_beside(one), one))
        if len(voters) < self.target or self.away or self._improves_spread(best):
            return best
        return None

    def choose_demotion(self) -> str | None:
        """Return the voter that is one too many, preferably one that is away."""
        voters = self.membership.voters
        others = [voter for voter in voters if voter != self.leader_id]
        if not others or len(voters) <= self.target:
            return None
        return max(others, key=self._rate_demotion)

    def _rate_demotion(self, voter: str) -> tuple[bool, bool, int, str]:
        is_silent = voter not in self.active
        return voter in self.away, is_silent, self._count_beside(voter), voter

    def _improves_spread(self, candidate: str) -> bool:
        """Return whether another voter could leave a fuller domain for the candidate.

        Only while all voters answer: a change is not worth a risk.
        """
        voters = set(self.membership.voters)
        if not voters <= self.active | {self.leader_id}:
            return False
        aimed = self._count_beside(candidate) + 1
        others = voters - {self.leader_id}
        return any(self._count_beside(voter) > aimed for voter in others)

    def _count_beside(self, replica_id: str) -> int:
        """Return how many voters that are not away share the domain of a member."""
        return self._domain_counts[self._find_domain(replica_id)]

    @property
    def _domain_counts(self) -> collections.Counter[str]:
        kept = set(self.membership.voters) - self.away
        return collections.Counter(map(self._find_domain, kept))

    def _find_domain(self, replica_id: str) -> str:
        member = self.membership.find(replica_id)
        return member.fault_domain if member else ""

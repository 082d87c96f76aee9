"""Number of voters and their spread over fault domains."""

import collections
from collections.abc import Iterable

import attrs

from tanagerpath.core.consensus.membership import Membership

__all__ = ["LossTolerance", "VoterPlan"]

# One voter alone would lose acknowledged entries with its disk.
MIN_TOLERATED_VMS = 1


@attrs.frozen(kw_only=True)
class LossTolerance:
    """Simultaneous losses after which the remaining voters are still a quorum.

    Attributes
    ----------
    vms : int
        Arbitrary VMs with their disks; at least one is tolerated.
    fault_domains : int
        Whole fault domains.
    """

    vms: int = MIN_TOLERATED_VMS
    fault_domains: int = 0

    def find_voter_count(self, domain_count: int) -> int:
        """Return the smallest number of voters that tolerates the losses.

        Parameters
        ----------
        domain_count : int
            Fault domains with members. If they are too few to lose `fault_domains` of
            them, only the loss of VMs counts.
        """
        losses = max(MIN_TOLERATED_VMS, self.vms, self.fault_domains)
        count = 2 * losses + 1
        if domain_count <= 2 * self.fault_domains:
            return count
        while self._find_max_lost(count, domain_count) > (count - 1) // 2:
            count += 2
        return count

    def _find_max_lost(self, count: int, domain_count: int) -> int:
        """Return how many evenly spread voters the largest domains hold."""
        per_domain, remainder = divmod(count, domain_count)
        return self.fault_domains * per_domain + min(self.fault_domains, remainder)


@attrs.frozen(kw_only=True)
class VoterPlan:
    """Chooses the next member to promote or to demote.

    The number of voters exceeds the target by one while a voter is replaced: its
    successor is promoted first. Until then the disk of the replaced voter counts, so
    that the group tolerates the loss of as many disks as before.

    Attributes
    ----------
    membership : Membership
        Current membership.
    target : int
        Desired number of voters.
    leader_id : str
        Leader, which is never demoted.
    unreachable : frozenset of str
        Voters that have been silent for so long that they are replaced.
    active : frozenset of str
        Members that have answered recently.
    candidates : frozenset of str
        Learners that are eligible to vote.
    """

    membership: Membership
    target: int
    leader_id: str
    unreachable: frozenset[str]
    active: frozenset[str]
    candidates: frozenset[str]

    def choose_promotion(self) -> str | None:
        """Return the learner to promote, from the domain with the fewest voters."""
        voters = self.membership.voters
        if not self.candidates or len(voters) > self.target:
            return None
        best = min(
            self.candidates,
            key=lambda learner: (self._count_domain_voters(learner), learner),
        )
        if len(voters) < self.target or self.unreachable or self._improves_spread(best):
            return best
        return None

    def choose_promotion_of(self, candidates: Iterable[str]) -> str | None:
        """Return the learner to promote if only some of the candidates could be."""
        return attrs.evolve(self, candidates=frozenset(candidates)).choose_promotion()

    def choose_demotion(self) -> str | None:
        """Return the voter to demote if there are too many, unreachable ones first."""
        voters = self.membership.voters
        others = [voter for voter in voters if voter != self.leader_id]
        if not others or len(voters) <= self.target:
            return None
        return max(others, key=self._make_demotion_key)

    def _make_demotion_key(self, voter: str) -> tuple[bool, bool, int, str]:
        is_silent = voter not in self.active
        return (
            voter in self.unreachable,
            is_silent,
            self._count_domain_voters(voter),
            voter,
        )

    def _improves_spread(self, candidate: str) -> bool:
        """Return whether another domain has two more voters than the candidate's.

        Only while all voters answer: a better spread is not worth a risk.
        """
        voters = set(self.membership.voters)
        if not voters <= self.active | {self.leader_id}:
            return False
        new_count = self._count_domain_voters(candidate) + 1
        others = voters - {self.leader_id}
        return any(self._count_domain_voters(voter) > new_count for voter in others)

    def _count_domain_voters(self, replica_id: str) -> int:
        """Return how many reachable voters share the domain of a member."""
        return self._domain_counts[self._find_domain(replica_id)]

    @property
    def _domain_counts(self) -> collections.Counter[str]:
        kept = set(self.membership.voters) - self.unreachable
        return collections.Counter(map(self._find_domain, kept))

    def _find_domain(self, replica_id: str) -> str:
        member = self.membership.find(replica_id)
        return member.fault_domain if member else ""

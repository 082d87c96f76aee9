"""Members of a replication group."""

import enum
from collections.abc import Iterable

import attrs

__all__ = ["Member", "MemberRole", "Membership"]

# Delayed join requests of replaced identities are refused. None is expected to arrive
# after this many further replacements.
MAX_RETIRED = 64


class MemberRole(enum.StrEnum):
    """Whether a member counts for quorums."""

    VOTER = "voter"
    LEARNER = "learner"


def find_quorum_size(voters: int) -> int:
    """Return the quorum size of a number of voters."""
    return voters // 2 + 1


@attrs.frozen
class Member:
    """One replica of the group.

    Attributes
    ----------
    replica_id : str
        "<vm_id>.<random hex>".
    vm_id : str
        VM that the replica runs on.
    address : str
        "ip:port" at which it receives messages.
    role : MemberRole
        Voter or learner.
    fault_domain : str
        Name shared by members that may fail together; empty if unknown.
    """

    replica_id: str
    vm_id: str
    address: str
    role: MemberRole
    fault_domain: str = ""


@attrs.frozen
class Membership:
    """Members of the group, effective from one log entry on.

    Attributes
    ----------
    group_id : str
        Random identity of the group, drawn by its founder.
    members : tuple of Member
        Voters and learners.
    retired : tuple of str
        Replica identities that a newer identity of the same VM replaced.
    """

    group_id: str = ""
    members: tuple[Member, ...] = ()
    retired: tuple[str, ...] = ()

    @property
    def voters(self) -> tuple[str, ...]:
        """Identities of all voters."""
        return tuple(
            member.replica_id
            for member in self.members
            if member.role is MemberRole.VOTER
        )

    @property
    def learners(self) -> tuple[str, ...]:
        """Identities of all members without a vote."""
        return tuple(
            member.replica_id
            for member in self.members
            if member.role is MemberRole.LEARNER
        )

    @property
    def quorum(self) -> int:
        """Number of voters in a quorum."""
        return find_quorum_size(len(self.voters))

    def find(self, replica_id: str) -> Member | None:
        """Return the member with an identity, None if there is none."""
        for member in self.members:
            if member.replica_id == replica_id:
                return member
        return None

    def find_on_vm(self, vm_id: str) -> tuple[Member, ...]:
        """Return all members on a VM."""
        return tuple(member for member in self.members if member.vm_id == vm_id)

    def is_voter(self, replica_id: str) -> bool:
        """Return whether the replica counts for quorums."""
        member = self.find(replica_id)
        return member is not None and member.role is MemberRole.VOTER

    def has_quorum(self, replica_ids: Iterable[str]) -> bool:
        """Return whether these replicas contain a quorum of the voters."""
        present = set(replica_ids)
        count = sum(1 for voter in self.voters if voter in present)
        return bool(self.voters) and count >= self.quorum

    def with_member(self, member: Member) -> "Membership":
        """Return a membership with a member added or replaced."""
        others = tuple(
            known for known in self.members if known.replica_id != member.replica_id
        )
        members = sorted((*others, member), key=lambda known: known.replica_id)
        return attrs.evolve(self, members=tuple(members))

    def with_role(self, replica_id: str, role: MemberRole) -> "Membership":
        """Return a membership in which a member has another role."""
        member = self.find(replica_id)
        if member is None:
            return self
        return self.with_member(attrs.evolve(member, role=role))

    def without(self, replica_id: str) -> "Membership":
        """Return a membership without a member, which may join again."""
        members = tuple(
            member for member in self.members if member.replica_id != replica_id
        )
        return attrs.evolve(self, members=members)

    def retire(self, replica_id: str) -> "Membership":
        """Return a membership without a member, which may never join again."""
        retired = (*self.retired, replica_id)[-MAX_RETIRED:]
        return attrs.evolve(self.without(replica_id), retired=retired)

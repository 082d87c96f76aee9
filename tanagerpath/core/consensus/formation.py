"""Founding of a new group and joining of an existing one."""

import attrs

from tanagerpath.core.consensus.context import FOUNDING_TERM, ReplicaContext
from tanagerpath.core.consensus.events import EntryKind, LogEntry
from tanagerpath.core.consensus.membership import Member, MemberRole, Membership
from tanagerpath.core.consensus.messages import (
    FoundingProposal,
    JoinReply,
    JoinRequest,
)

__all__ = ["Formation"]

GROUP_ID_BITS = 64
# Enough to reach the leader or its next successors.
MAX_MEMBER_ADDRESSES = 4


@attrs.frozen
class _Report:
    """Last reply of a configured VM to a join request of this replica."""

    replica_id: str
    address: str
    fault_domain: str
    formed: bool
    received_s: float


class Formation:
    """Asks configured VMs for a group; if all are empty, the lowest VM id founds one.

    Only replies to this replica's own requests count, so a report of an empty directory
    from before this replica existed is never used.

    Parameters
    ----------
    context : ReplicaContext
        Shared state of the replica.
    """

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self._reports: dict[str, _Report] = {}
        self._next_request_s = 0.0
        self._member_addresses: list[str] = []
        self._relays: set[str] = set()

    @property
    def next_request_s(self) -> float:
        """Time of the next join request."""
        return self._next_request_s

    def tick(self) -> None:
        """Send join requests while there is no leader, and found a group if due."""
        context = self._context
        if context.now_s < self._next_request_s:
            return
        interval_s = context.config.join_interval_s
        self._next_request_s = context.now_s + interval_s
        if not self._lacks_leader():
            return
        if not context.formed and self._may_found():
            self._found()
        self._request_join()

    def _lacks_leader(self) -> bool:
        context = self._context
        if context.pristine and context.leader_id is None:
            return True
        silence_s = context.now_s - context.last_leader_contact_s
        return silence_s > 2 * context.config.election_timeout_max_s

    def _request_join(self) -> None:
        context = self._context
        named = context.config.vms.values()
        for address in dict.fromkeys((*named, *self._member_addresses)):
            if address != context.config.address:
                context.send_to_address(address, self._make_request())

    def record_member_address(self, address: str) -> None:
        """Record the address of a member that knows an earlier identity of this VM.

        Join requests go there too: all VMs in the settings may have lost their disks.
        """
        if address and address not in self._member_addresses:
            self._member_addresses = [*self._member_addresses, address][
                -MAX_MEMBER_ADDRESSES:
            ]

    def _make_request(self, challenge: str = "") -> JoinRequest:
        config = self._context.config
        return JoinRequest(
            self._context.replica_id,
            config.vm_id,
            config.address,
            challenge,
            config.fault_domain,
        )

    def _may_found(self) -> bool:
        context = self._context
        config = context.config
        if not config.may_found or not context.pristine:
            return False
        others = set(config.vms) - self._relays - {config.vm_id}
        if any(vm_id < config.vm_id for vm_id in others):
            return False
        return all(self._is_empty(vm_id) for vm_id in others)

    def _is_empty(self, vm_id: str) -> bool:
        report = self._reports.get(vm_id)
        if report is None or report.formed:
            return False
        age_s = self._context.now_s - report.received_s
        return age_s < self._context.config.empty_report_validity_s

    def _found(self) -> None:
        context = self._context
        group_id = f"{context.random.getrandbits(GROUP_ID_BITS):016x}"
        membership = self._assign_voters(Membership(group_id, self._list_founders()))
        self._store(LogEntry(1, FOUNDING_TERM, EntryKind.MEMBERSHIP, "", membership))
        for member in membership.members:
            if member.replica_id != context.replica_id:
                self._propose(member.replica_id)

    def _list_founders(self) -> tuple[Member, ...]:
        context = self._context
        config = context.config
        role = MemberRole.LEARNER
        founders = [
            Member(report.replica_id, vm_id, report.address, role, report.fault_domain)
            for vm_id, report in self._reports.items()
            if vm_id in config.vms and vm_id != config.vm_id
        ]
        own = Member(
            context.replica_id, config.vm_id, config.address, role, config.fault_domain
        )
        return tuple(sorted((own, *founders), key=lambda member: member.vm_id))

    def _assign_voters(self, membership: Membership) -> Membership:
        target = self._context.config.find_voter_target(membership)
        for member in membership.members[:target]:
            membership = membership.with_role(member.replica_id, MemberRole.VOTER)
        return membership

    def _store(self, entry: LogEntry) -> None:
        context = self._context
        context.enter_term(max(context.term, FOUNDING_TERM))
        context.append((entry,))
        context.journal.record_hard_state()
        context.restart_election_timeout()

    def _propose(self, receiver: str) -> None:
        """Send the founding entry; it leaves after the local copy is synced."""
        founding = self._context.log.read(1, 1)
        if founding:
            self._context.send(receiver, FoundingProposal(founding[0]))

    def handle_request(
        self, request: JoinRequest, group_id: str, challenge: str
    ) -> None:
        """Reply to a join request with whether this replica belongs to a group.

        A founding member that has not stored the founding entry receives it again.
        """
        context = self._context
        reply = JoinReply(
            context.replica_id,
            context.config.vm_id,
            context.config.address,
            context.formed,
            challenge,
            context.config.fault_domain,
        )
        context.send(request.replica_id, reply, request.address)
        if not group_id and context.membership.find(request.replica_id) is not None:
            self._propose(request.replica_id)

    def handle_reply(self, reply: JoinReply) -> None:
        """Record the report of a configured VM."""
        if not reply.holds_replica:
            # A VM never gets a disk later, so this report does not expire.
            self._relays.add(reply.vm_id)
            return
        self._reports[reply.vm_id] = _Report(
            reply.replica_id,
            reply.address,
            reply.fault_domain,
            reply.formed,
            self._context.now_s,
        )
        if reply.challenge:
            request = self._make_request(reply.challenge)
            self._context.send_to_address(reply.address, request)

    def handle_proposal(self, proposal: FoundingProposal) -> None:
        """Store the founding entry if the log is empty."""
        context = self._context
        membership = proposal.entry.membership
        if context.formed or not context.pristine or membership is None:
            return
        if context.log.last_index == 0 and membership.find(context.replica_id):
            self._store(proposal.entry)

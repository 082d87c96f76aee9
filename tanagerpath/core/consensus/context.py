"""State shared by the parts of one replica."""

import random

from tanagerpath.core.consensus.config import ReplicaConfig, RestoredState
from tanagerpath.core.consensus.events import (
    Action,
    CommittedEntry,
    DeliverCommitted,
    LogEntry,
    NotLeader,
    ProposalRejected,
    ProposalUncertain,
    ReportRole,
    RequestSnapshot,
    RestoreSnapshot,
    Role,
    SendMessage,
    Snapshot,
)
from tanagerpath.core.consensus.journal import Journal
from tanagerpath.core.consensus.log import ReplicatedLog
from tanagerpath.core.consensus.membership import Membership
from tanagerpath.core.consensus.membership_reports import (
    MembershipCommitted,
    VoteChanged,
)
from tanagerpath.core.consensus.messages import ReplicaMessage

__all__ = ["FOUNDING_TERM", "ReplicaContext"]

# Term of the founding entry; the first election uses the next term.
FOUNDING_TERM = 1
IDENTITY_BITS = 64
# Far more than a group has members; limits how many identities of lost disks are kept.
MAX_REPORTED_ADDRESSES = 64


class ReplicaContext:
    """Term, vote, log and role of a replica, and the actions of the current step.

    Parameters
    ----------
    config : ReplicaConfig
        Settings.
    restored : RestoredState
        Content of the data directory.
    random_source : random.Random
        Source of the identity and of election timeouts.
    """

    journal_class = Journal

    def __init__(
        self,
        config: ReplicaConfig,
        restored: RestoredState,
        random_source: random.Random,
    ) -> None:
        self.config = config
        self.random = random_source
        self.log = ReplicatedLog(restored.snapshot, restored.entries)
        self.journal = self.journal_class(self.log.last_index)
        self.term = restored.term
        self.voted_for = restored.voted_for
        self.role = Role.LEARNER
        self.leader_id: str | None = None
        # Whether the last election of this replica was a transfer of leadership.
        self.was_transferred = False
        self.group_id = self.log.membership.group_id
        self.commit_index = self.log.base_index
        self.now_s = 0.0
        self.last_leader_contact_s = 0.0
        self.last_leader_id: str | None = None
        self.election_deadline_s = 0.0
        self.proposals: dict[int, int] = {}
        self._reported_addresses: dict[str, str] = {}
        self._requested_snapshot_index = 0
        # Characters of the commands since the last requested snapshot.
        self._applied_chars = 0
        self._actions: list[Action] = []
        self._last_role_report: ReportRole | None = None
        self.replica_id = restored.replica_id or self._create_identity()
        self._reported_is_voter = self.is_voter

    def _create_identity(self) -> str:
        replica_id = (
            f"{self.config.vm_id}.{self.random.getrandbits(IDENTITY_BITS):016x}"
        )
        self.journal.record_identity(replica_id)
        return replica_id

    @property
    def membership(self) -> Membership:
        """Current membership, committed or not."""
        return self.log.membership

    @property
    def formed(self) -> bool:
        """Whether this replica holds a membership of a group."""
        return bool(self.log.membership.members)

    @property
    def pristine(self) -> bool:
        """Whether this replica has done nothing beyond storing the founding entry.

        Such a replica may still follow another group, as if the founding proposal had
        never arrived.
        """
        return (
            self.term <= FOUNDING_TERM
            and self.voted_for is None
            and self.log.snapshot is None
            and self.log.last_index <= 1
        )

    @property
    def is_voter(self) -> bool:
        """Whether this replica counts for quorums."""
        return self.membership.is_voter(self.replica_id)

    def has_recent_leader_contact(self) -> bool:
        """Return whether a leader's lease may still rely on this replica."""
        expires_s = self.last_leader_contact_s + self.config.election_timeout_min_s
        return self.now_s < expires_s

    def record_leader_contact(self, leader_id: str | None = None) -> None:
        """Record contact with a leader and restart the election timeout."""
        self.last_leader_contact_s = self.now_s
        self.last_leader_id = leader_id
        self.restart_election_timeout()

    def restart_election_timeout(self) -> None:
        """Draw a random deadline for the next election."""
        self.election_deadline_s = self.now_s + self.random.uniform(
            self.config.election_timeout_min_s, self.config.election_timeout_max_s
        )

    def enter_term(self, term: int, voted_for: str | None = None) -> None:
        """Store a higher term, or a vote in the current one."""
        if term > self.term:
            self.journal.drop_queued_messages()
        if (term, voted_for) != (self.term, self.voted_for):
            self.term = term
            self.voted_for = voted_for
            self.journal.record_hard_state()

    def become_follower(self, term: int, leader_id: str | None) -> None:
        """Follow `leader_id` in `term`, or wait for a leader if it is None."""
        if term > self.term:
            self.enter_term(term)
        if self.role is Role.LEADER:
            self._fail_proposals()
            self.restart_election_timeout()
        self.role = Role.FOLLOWER if self.is_voter else Role.LEARNER
        self.leader_id = leader_id

    def _fail_proposals(self) -> None:
        for proposal_id in self.proposals.values():
            self.add_action(ProposalRejected(proposal_id, ProposalUncertain()))
        self.proposals.clear()

    def reject_proposal(self, proposal_id: int) -> None:
        """Reject a proposal because this replica cannot append it."""
        known = None if self.leader_id == self.replica_id else self.leader_id
        self.add_action(ProposalRejected(proposal_id, NotLeader(leader_id=known)))

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries to the log and to the write of this step."""
        self.log.append(entries)
        self.journal.record_entries(entries)
        self._apply_membership()

    def truncate_from(self, index: int) -> None:
        """Remove entries from `index` on that conflict with the leader's log."""
        self.log.truncate_from(index)
        self.journal.record_truncation(index)
        self._apply_membership()

    def _apply_membership(self) -> None:
        if self.formed:
            self.group_id = self.log.membership.group_id
        if self.role in (Role.FOLLOWER, Role.LEARNER):
            self.role = Role.FOLLOWER if self.is_voter else Role.LEARNER

    def commit_to(self, index: int) -> None:
        """Advance the commit index and deliver the newly committed entries."""
        index = min(index, self.log.last_index)
        if index <= self.commit_index:
            return
        entries = self.log.read(self.commit_index + 1, index)
        self.commit_index = index
        if self.role is Role.LEADER:
            self._report_committed(entries)
        self.add_action(
            DeliverCommitted(
                tuple(
                    CommittedEntry(entry, self.proposals.pop(entry.index, None))
                    for entry in entries
                )
            )
        )
        self._applied_chars += sum(len(entry.payload) for entry in entries)
        self._request_snapshot()

    def _report_committed(self, entries: tuple[LogEntry, ...]) -> None:
        for entry in entries:
            membership = entry.membership
            if membership is not None:
                self.add_action(
                    MembershipCommitted(
                        entry.index, membership.voters, membership.learners
                    )
                )

    def _request_snapshot(self) -> None:
        snapshot_index = self.log.snapshot.last_index if self.log.snapshot else 0
        since = max(snapshot_index, self._requested_snapshot_index)
        is_long = self.commit_index - since >= self.config.snapshot_after_entries
        if is_long or self._applied_chars >= self._find_snapshot_chars():
            self._requested_snapshot_index = self.commit_index
            self._applied_chars = 0
            self.add_action(RequestSnapshot(self.commit_index))

    def _find_snapshot_chars(self) -> int:
        """Return the characters of commands that are worth a new snapshot.

        A large state is not written again for a small part of its size.
        """
        snapshot = self.log.snapshot
        state_chars = len(snapshot.payload) if snapshot else 0
        return max(self.config.snapshot_after_chars, state_chars)

    def store_own_snapshot(self, last_index: int, payload: str) -> None:
        """Store a snapshot that the local state machine provided."""
        snapshot_index = self.log.snapshot.last_index if self.log.snapshot else 0
        last_term = self.log.find_term(last_index)
        if last_term is None or not snapshot_index < last_index <= self.commit_index:
            return
        membership = self.log.find_membership(last_index)
        snapshot = Snapshot(last_index, last_term, membership, payload)
        self.log.compact(
            snapshot, self.config.retained_entries, self.config.retained_chars
        )
        self.journal.record_snapshot(snapshot)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log and the state by the leader's snapshot."""
        self.journal.record_truncation(1)
        self.journal.record_snapshot(snapshot)
        self.log.reset(snapshot)
        self.commit_index = snapshot.last_index
        self._apply_membership()
        self.add_action(RestoreSnapshot(snapshot))

    def add_action(self, action: Action) -> None:
        """Add an action to the result of the current step."""
        self._actions.append(action)

    def send(self, receiver: str, message: ReplicaMessage, address: str = "") -> None:
        """Send a message once the term, the vote and the identity are synced."""
        address = address or self.find_address(receiver)
        self._queue_message(receiver, message, address, self.group_id)

    def send_to_address(self, address: str, message: ReplicaMessage) -> None:
        """Send a message to the replica at an address, whatever its identity.

        A pristine replica sends no group identity, because it may still join any group.
        """
        group_id = "" if self.pristine else self.group_id
        self._queue_message("", message, address, group_id)

    def _queue_message(
        self, receiver: str, message: ReplicaMessage, address: str, group_id: str
    ) -> None:
        own_address = self.config.address
        self.journal.queue_message(
            SendMessage(
                receiver, message, address, self.replica_id, group_id, own_address
            )
        )

    def record_address(self, replica_id: str, address: str) -> None:
        """Record the address of a replica that may not be a known member.

        A replica whose log is short or empty has to reply to a leader or candidate that
        neither its log nor its settings name.
        """
        if not address or self._reported_addresses.get(replica_id) == address:
            return
        if len(self._reported_addresses) >= MAX_REPORTED_ADDRESSES:
            self._reported_addresses.clear()
        self._reported_addresses[replica_id] = address

    def find_address(self, replica_id: str) -> str:
        """Return the "ip:port" of a replica, empty if it is not known.

        It comes from the log, from the messages of the replica or from the settings.
        """
        member = self.membership.find(replica_id)
        if member is not None:
            return member.address
        if replica_id in self._reported_addresses:
            return self._reported_addresses[replica_id]
        return self.config.vms.get(replica_id.rpartition(".")[0], "")

    def take_actions(self) -> list[Action]:
        """Return and clear the actions of the current step, with the write first."""
        self._report_changes()
        actions, self._actions = self._actions, []
        write = self.journal.take_write(self.term, self.voted_for)
        if write is not None:
            actions.insert(0, write)
        return actions + self.journal.take_sendable_messages()

    def _report_changes(self) -> None:
        report = ReportRole(self.role, self.term, self.leader_id)
        if report != self._last_role_report:
            self._last_role_report = report
            self.add_action(report)
        if self.is_voter != self._reported_is_voter:
            self._reported_is_voter = self.is_voter
            self.add_action(VoteChanged(self.is_voter, self.log.membership_index))

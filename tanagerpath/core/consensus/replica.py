"""Replica of a replicated log: dispatches events to its parts."""

import math
import random

from tanagerpath.core.consensus.changes import MembershipChanges
from tanagerpath.core.consensus.config import ReplicaConfig, RestoredState
from tanagerpath.core.consensus.context import ReplicaContext
from tanagerpath.core.consensus.elections import Elections
from tanagerpath.core.consensus.events import (
    Action,
    CommandProposed,
    Event,
    MessageReceived,
    RestoreSnapshot,
    Role,
    SnapshotProvided,
    StepDownRequested,
    StorageLost,
    StorageSynced,
    Tick,
    TransferRequested,
)
from tanagerpath.core.consensus.follower import Follower
from tanagerpath.core.consensus.formation import Formation
from tanagerpath.core.consensus.leadership import Leadership
from tanagerpath.core.consensus.membership import Membership
from tanagerpath.core.consensus.messages import (
    AppendReply,
    AppendRequest,
    FoundingProposal,
    JoinReply,
    JoinRequest,
    ReplicaNotice,
    SnapshotChunk,
    SnapshotChunkReply,
    StaleTerm,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from tanagerpath.core.consensus.replication import Replicator
from tanagerpath.core.consensus.voters import LossTolerance

__all__ = ["Replica"]


class Replica:
    """A member of a replication group, without input or output.

    The owner calls `step` with one event at a time and executes the returned actions in
    order. It sends a `Tick` no later than `find_wake_up_s`.

    Parameters
    ----------
    context : ReplicaContext
        State of the replica.
    """

    # Tests replace these classes by ones with a deliberate fault.
    context_class = ReplicaContext
    elections_class = Elections
    follower_class = Follower
    replicator_class = Replicator
    leadership_class = Leadership
    changes_class = MembershipChanges

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self._started = False
        self._elections = self.elections_class(context)
        self._follower = self.follower_class(context)
        self._formation = Formation(context)
        self._replicator = self.replicator_class(context)
        self._leadership = self.leadership_class(context, self._replicator)
        self._changes = self.changes_class(context, self._leadership, self._replicator)
        self._events = {
            Tick: self._handle_tick,
            MessageReceived: self._handle_message,
            CommandProposed: self._handle_proposal,
            StorageSynced: self._handle_sync,
            StorageLost: self._handle_storage_loss,
            SnapshotProvided: self._handle_snapshot,
            TransferRequested: self._handle_transfer,
            StepDownRequested: self._handle_step_down,
        }
        self._messages = {
            VoteRequest: self._elections.handle_vote_request,
            VoteReply: self._elections.handle_vote_reply,
            AppendRequest: self._follower.handle_append,
            AppendReply: self._handle_append_reply,
            SnapshotChunk: self._follower.handle_chunk,
            SnapshotChunkReply: self._handle_chunk_reply,
            StaleTerm: self._handle_stale_term,
            TimeoutNow: self._elections.handle_timeout_now,
        }

    @classmethod
    def from_config(
        cls,
        config: ReplicaConfig,
        restored: RestoredState,
        random: random.Random,
    ) -> "Replica":
        """Build a replica from the content of its data directory.

        Parameters
        ----------
        config : ReplicaConfig
            Settings.
        restored : RestoredState
            Content of the data directory.
        random : random.Random
            Source of the replica's identity, the group's identity and the election
            timeouts. Production code seeds it from the operating system, because two
            replicas must never draw the same identity.
        """
        return cls(cls.context_class(config, restored, random))

    @property
    def replica_id(self) -> str:
        """Identity of this replica."""
        return self._context.replica_id

    @property
    def role(self) -> Role:
        """Current role of this replica."""
        return self._context.role

    @property
    def term(self) -> int:
        """Current term."""
        return self._context.term

    @property
    def leader_id(self) -> str | None:
        """Identity of the leader, None if it is not known."""
        return self._context.leader_id

    @property
    def was_transferred(self) -> bool:
        """Whether its last election was a transfer of leadership."""
        return self._context.was_transferred

    @property
    def group_id(self) -> str:
        """Identity of the group, empty before one is founded or joined."""
        return self._context.group_id

    @property
    def membership(self) -> Membership:
        """Current membership."""
        return self._context.membership

    @property
    def voters(self) -> tuple[str, ...]:
        """Identities of the current voters."""
        return self._context.membership.voters

    @property
    def tolerated_losses(self) -> LossTolerance | None:
        """Simultaneous losses that determine the number of voters."""
        return self._context.config.tolerated_losses

    @property
    def commit_index(self) -> int:
        """Last index known to be committed."""
        return self._context.commit_index

    @property
    def last_index(self) -> int:
        """Last index of the log, committed or not."""
        return self._context.log.last_index

    def find_address(self, replica_id: str) -> str:
        """Return the "ip:port" of a replica, empty if it is not known."""
        return self._context.find_address(replica_id)

    @property
    def peer_addresses(self) -> frozenset[str]:
        """Addresses of all other members and configured VMs."""
        context = self._context
        members = {member.address for member in context.membership.members}
        known = members | set(context.config.vms.values())
        return frozenset(known - {context.config.address})

    def has_lease(self, now_s: float) -> bool:
        """Return whether this replica holds the leader lease at `now_s`."""
        return self._leadership.has_lease(now_s)

    def is_replacing_voter(self) -> bool:
        """Return whether this leader brings a learner up to replace a missing voter."""
        return self.role is Role.LEADER and self._changes.is_replacing_voter()

    def find_wake_up_s(self) -> float:
        """Return the time at which the next `Tick` is due."""
        context = self._context
        if not self._started:
            return -math.inf
        if context.role is Role.LEADER:
            return self._leadership.next_heartbeat_s
        if context.is_voter:
            return min(context.election_deadline_s, self._formation.next_request_s)
        return self._formation.next_request_s

    def step(self, event: Event, now_s: float) -> list[Action]:
        """Handle one event and return the resulting actions.

        Parameters
        ----------
        event : Event
            Event to handle.
        now_s : float
            Monotonic clock of the process in seconds, read after the event was
            received. An earlier time would let this replica vote while a leader's
            lease still relies on its reply.

        Returns
        -------
        list of Action
            Actions in execution order.
        """
        self._context.now_s = now_s
        if not self._started:
            self._start()
        self._events[type(event)](event)
        if self._elections.has_won():
            self._leadership.start()
        return self._context.take_actions()

    def _start(self) -> None:
        context = self._context
        self._started = True
        context.record_leader_contact()
        context.become_follower(context.term, None)
        if context.log.snapshot is not None:
            context.add_action(RestoreSnapshot(context.log.snapshot))

    def _handle_tick(self, event: Tick) -> None:
        if self._context.role is Role.LEADER:
            self._leadership.tick()
            self._changes.tick()
        else:
            self._elections.tick()
            self._formation.tick()

    def _handle_proposal(self, event: CommandProposed) -> None:
        if self._context.role is Role.LEADER:
            self._leadership.propose(event)
        else:
            self._context.reject_proposal(event.proposal_id)

    def _handle_sync(self, event: StorageSynced) -> None:
        self._context.journal.record_sync(event.sequence)
        if self._context.role is Role.LEADER:
            self._leadership.record_progress()
        else:
            self._follower.record_sync()

    def _handle_storage_loss(self, event: StorageLost) -> None:
        self._context.journal.record_storage_loss()
        if self._context.role is Role.LEADER:
            self._leadership.transfer_after_storage_loss()
        else:
            self._elections.cancel_candidacy()

    def _handle_snapshot(self, event: SnapshotProvided) -> None:
        self._context.store_own_snapshot(event.last_index, event.payload)

    def _handle_transfer(self, event: TransferRequested) -> None:
        if self._context.role is Role.LEADER:
            self._leadership.request_transfer()

    def _handle_step_down(self, event: StepDownRequested) -> None:
        context = self._context
        if context.role is Role.LEADER:
            context.become_follower(context.term, None)

    def _handle_message(self, event: MessageReceived) -> None:
        message = event.message
        self._context.record_address(event.sender, event.sender_address)
        if isinstance(message, ReplicaNotice):
            return  # replicas learn addresses from the log and from join requests
        if isinstance(message, JoinRequest):
            self._handle_join(event, message)
        elif event.receiver != self._context.replica_id:
            # Addressed to an earlier identity of this VM; its group can be joined.
            self._formation.record_member_address(event.sender_address)
        elif isinstance(message, JoinReply):
            self._formation.handle_reply(message)
        elif isinstance(message, FoundingProposal):
            self._formation.handle_proposal(message)
        elif self._accept_group(event):
            self._messages[type(message)](event.sender, message)

    def _accept_group(self, event: MessageReceived) -> bool:
        context = self._context
        if event.group_id == context.group_id:
            return context.formed or self._is_from_leader(event)
        if not event.group_id or not self._is_from_leader(event):
            return False
        if context.formed and not context.pristine:
            return False
        if context.formed:
            context.truncate_from(1)
        context.group_id = event.group_id
        return True

    def _is_from_leader(self, event: MessageReceived) -> bool:
        return isinstance(event.message, (AppendRequest, SnapshotChunk))

    def _handle_join(self, event: MessageReceived, request: JoinRequest) -> None:
        context = self._context
        if event.group_id not in ("", context.group_id):
            return
        challenge = ""
        if context.role is Role.LEADER:
            challenge = self._changes.handle_join_request(request)
        elif context.leader_id is not None and event.sender == request.replica_id:
            context.send(context.leader_id, request)
        self._formation.handle_request(request, event.group_id, challenge)

    def _handle_append_reply(self, sender: str, reply: AppendReply) -> None:
        if self._check_term(reply.term):
            self._replicator.handle_append_reply(sender, reply)
            self._leadership.record_progress()

    def _handle_chunk_reply(self, sender: str, reply: SnapshotChunkReply) -> None:
        if self._check_term(reply.term):
            self._replicator.handle_chunk_reply(sender, reply)

    def _handle_stale_term(self, sender: str, refusal: StaleTerm) -> None:
        self._check_term(refusal.term)

    def _check_term(self, term: int) -> bool:
        """Step down in a higher term; return whether this replica leads in `term`."""
        context = self._context
        if term > context.term:
            context.become_follower(term, None)
        return context.role is Role.LEADER and term == context.term

"""Base class of nodes with replicated state, without input or output."""

import abc

from tanagerpath.core import consensus
from tanagerpath.core.control.codec import StateCodec
from tanagerpath.core.control.lateness import LatenessMonitor
from tanagerpath.core.control.messages import (
    ControlAction,
    ControlEvent,
    LeaderLate,
    LeadershipTransferRequested,
    SendReply,
)
from tanagerpath.core.control.proposals import OpenProposal, ProposalRegistry
from tanagerpath.core.coordination import Instant
from tanagerpath.core.protocol.leadership import NotLeaderReply

__all__ = ["ReplicatedNode"]

# Time between two transfers of a late leader. A leader that is late from its load must
# not pass the leadership on and on.
LATE_TRANSFER_INTERVAL_S = 10.0


class ReplicatedNode(abc.ABC):
    """Replica, proposals and leader terms; subclasses hold the state.

    The owner calls `handle` with the events that arrived, then `decide`, and carries
    out the actions that each returns, in order. It calls `handle` again no later than
    `find_wake_up_s`. As decisions may take long, the owner may handle further events
    before them; `step` does both at one time.

    Parameters
    ----------
    replica : Replica
        The replica.
    codec : StateCodec
        Encoding of log payloads.
    tick_interval_s : float
        Seconds between two checks of deadlines by the leader.
    """

    def __init__(
        self, replica: consensus.Replica, codec: StateCodec, tick_interval_s: float
    ) -> None:
        self._replica = replica
        self._codec = codec
        self._tick_interval_s = tick_interval_s
        self._proposals = ProposalRegistry()
        self._transfer_tokens: list[int] = []
        self._led_term: int | None = None
        self._lateness = LatenessMonitor()
        self._next_late_transfer_s = 0.0
        self._next_tick_s = 0.0
        self._now_s = 0.0
        self._now_unix_s = 0.0
        self._actions: list[ControlAction] = []

    @property
    def replica(self) -> consensus.Replica:
        """The replica; read only for its status."""
        return self._replica

    @property
    def led_term(self) -> int | None:
        """Term in which this node decides, None while it does not."""
        return self._led_term

    @property
    def is_deciding(self) -> bool:
        """Whether this node leads and has begun its term."""
        return self._led_term is not None

    @property
    def must_decide(self) -> bool:
        """Whether `decide` may have something to decide on."""
        return True

    def find_wake_up_s(self) -> float:
        """Return the time at which `handle` is due without an event."""
        return min(self._replica.find_wake_up_s(), self._next_tick_s)

    def step(
        self, events: list[ControlEvent], now_s: float, now_unix_s: float
    ) -> list[ControlAction]:
        """Process events, decide, and return the resulting actions.

        Parameters are those of `handle`.
        """
        actions = self.handle(events, now_s, now_unix_s)
        return actions + self.decide(now_s, now_unix_s)

    def handle(
        self, events: list[ControlEvent], now_s: float, now_unix_s: float
    ) -> list[ControlAction]:
        """Process events without a decision of the leader.

        Returns messages to other replicas, writes and replies, which must not wait for
        decisions.

        Parameters
        ----------
        events : list of ControlEvent
            Events in the order of their arrival; may be empty.
        now_s : float
            Seconds on the monotonic clock, read after the events were received.
        now_unix_s : float
            UTC seconds.

        Returns
        -------
        list of ControlAction
            Actions to carry out in order.
        """
        self._set_time(now_s, now_unix_s)
        for event in events:
            self._handle_event(event)
        if now_s >= self._replica.find_wake_up_s():
            self._step_replica(consensus.Tick())
        self._update_leadership()
        if now_s >= self._next_tick_s:
            self._transfer_if_late()
            self._next_tick_s = now_s + self._tick_interval_s
            self._tick()
        return self._take_actions()

    def decide(self, now_s: float, now_unix_s: float) -> list[ControlAction]:
        """Make the decisions that follow from the events handled so far.

        Parameters
        ----------
        now_s : float
            Seconds on the monotonic clock; the lease must hold at this time.
        now_unix_s : float
            UTC seconds.

        Returns
        -------
        list of ControlAction
            Actions to carry out in order.
        """
        self._set_time(now_s, now_unix_s)
        self._decide()
        return self._take_actions()

    def _set_time(self, now_s: float, now_unix_s: float) -> None:
        self._now_s = now_s
        self._now_unix_s = now_unix_s

    def _take_actions(self) -> list[ControlAction]:
        actions, self._actions = self._actions, []
        return actions

    def _transfer_if_late(self) -> None:
        """Transfer leadership if this process is too slow to lead."""
        if self._led_term is None:
            return
        now_s = self._now_s
        self._lateness.note_tick(self._next_tick_s, now_s)
        if now_s < self._next_late_transfer_s or not self._lateness.is_late(now_s):
            return
        if self._replica.is_replacing_voter():
            return  # the next leader would send the log or the snapshot from the start
        self._next_late_transfer_s = now_s + LATE_TRANSFER_INTERVAL_S
        lateness_s = self._lateness.find_lateness_s()
        self._actions.append(LeaderLate(self._led_term, lateness_s))
        self._step_replica(consensus.TransferRequested())

    def _note_term_began(self) -> None:
        self._lateness.reset(self._now_s)
        self._next_late_transfer_s = 0.0
        if self._replica.was_transferred:
            self._next_late_transfer_s = self._now_s + LATE_TRANSFER_INTERVAL_S

    def _read_instant(self) -> Instant:
        has_lease = self._replica.has_lease(self._now_s)
        return Instant(self._now_s, self._now_unix_s, has_lease)

    def _handle_event(self, event: ControlEvent) -> None:
        match event:
            case (
                consensus.MessageReceived()
                | consensus.StorageSynced()
                | consensus.StorageLost()
            ):
                self._step_replica(event)
            case LeadershipTransferRequested(token):
                if self._replica.voters == (self._replica.replica_id,):
                    self._answer(token, None)
                    return
                self._transfer_tokens.append(token)
                self._step_replica(consensus.TransferRequested())
            case _:
                self._handle_other_event(event)

    def _answer(self, token: int, reply: object | None) -> None:
        self._actions.append(SendReply(token, reply))

    def _make_not_leader_reply(self) -> NotLeaderReply:
        leader_id = self._replica.leader_id
        if leader_id is None or leader_id == self._replica.replica_id:
            return NotLeaderReply()
        address = self._replica.find_address(leader_id)
        return NotLeaderReply(leader_id.rpartition(".")[0], address)

    # Log

    def _propose(self, proposal: OpenProposal) -> None:
        proposal_id = self._proposals.add(proposal)
        payload = self._codec.encode_command(proposal.command)
        self._step_replica(consensus.CommandProposed(proposal_id, payload))

    def _step_replica(self, event: consensus.Event) -> None:
        for action in self._replica.step(event, self._now_s):
            self._handle_action(action)

    def _handle_action(self, action: consensus.Action) -> None:
        match action:
            case consensus.DeliverCommitted(entries):
                for committed in entries:
                    self._apply(committed)
            case consensus.RestoreSnapshot(snapshot):
                self._restore(self._codec.decode_snapshot(snapshot.payload))
            case consensus.RequestSnapshot():
                index, state = self._take_snapshot()
                payload = self._codec.encode_snapshot(state)
                self._step_replica(consensus.SnapshotProvided(index, payload))
            case consensus.ProposalRejected(proposal_id, failure):
                proposal = self._proposals.pop(proposal_id)
                if proposal is not None:
                    self._actions += proposal.reject(failure)
                    self._handle_rejected(proposal)
            case _:
                self._actions.append(action)

    def _apply(self, committed: consensus.CommittedEntry) -> None:
        entry = committed.entry
        if entry.kind is not consensus.EntryKind.COMMAND:
            self._skip(entry.index)
            return
        proposal = self._proposals.pop(committed.proposal_id)
        if proposal is not None:
            command = proposal.command
        else:
            command = self._codec.decode_command(entry.payload)
        self._apply_command(entry.index, command, proposal)

    # Leadership

    def _update_leadership(self) -> None:
        leads = self._replica.role is consensus.Role.LEADER
        led_term = self._led_term
        if led_term is not None and (not leads or led_term != self._replica.term):
            self._end_term()
            self._led_term = None
        now = self._read_instant()
        if leads and self._led_term is None and now.has_lease:
            self._begin_term(self._replica.term, now)
            self._led_term = self._replica.term
            self._note_term_began()
        if not leads and self._replica.leader_id is not None:
            for token in self._transfer_tokens:
                self._answer(token, None)
            self._transfer_tokens = []

    def _handle_rejected(self, proposal: OpenProposal) -> None:
        """Process a rejected proposal; does nothing by default."""
        return None

    # Implemented by subclasses

    @abc.abstractmethod
    def _handle_other_event(self, event: ControlEvent) -> None:
        """Process an event that does not concern the replica."""

    @abc.abstractmethod
    def _apply_command(
        self, index: int, command: object, proposal: OpenProposal | None
    ) -> None:
        """Apply a committed command and answer the exchanges that wait for it."""

    @abc.abstractmethod
    def _skip(self, index: int) -> None:
        """Process a committed entry without a command."""

    @abc.abstractmethod
    def _restore(self, snapshot: object) -> None:
        """Replace the state by a decoded snapshot."""

    @abc.abstractmethod
    def _take_snapshot(self) -> tuple[int, object]:
        """Return the last applied index and the state to encode."""

    @abc.abstractmethod
    def _begin_term(self, term: int, now: Instant) -> None:
        """Begin a term as leader."""

    @abc.abstractmethod
    def _end_term(self) -> None:
        """End the term; answer the exchanges that wait for a decision."""

    @abc.abstractmethod
    def _tick(self) -> None:
        """Process the passage of time."""

    @abc.abstractmethod
    def _decide(self) -> None:
        """Make the decisions that follow from the events handled so far."""

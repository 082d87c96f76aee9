"""All decisions of a control process, without input or output."""

import collections
import random
from collections.abc import Callable

import attrs

from tanagerpath.core import consensus
from tanagerpath.core.control.codec import StateCodec
from tanagerpath.core.control.feeds import FeedDesk
from tanagerpath.core.control.messages import (
    AnswerRequest,
    ControlAction,
    ControlEvent,
    HandOverRequested,
    RequestArrived,
)
from tanagerpath.core.control.proposals import Proposal, ProposalRegister
from tanagerpath.core.control.requests import RequestDesk
from tanagerpath.core.control.status import describe_status
from tanagerpath.core.coordination import (
    CallUpstream,
    CommandApplied,
    Coordinator,
    CoordinatorConfig,
    CountEvent,
    Effect,
    Event,
    Instant,
    Propose,
    RecordPeriod,
    Respond,
    Ticked,
    UpstreamCallFailed,
    UpstreamReplied,
)
from tanagerpath.core.placement import Scheduler
from tanagerpath.core.protocol import internal
from tanagerpath.core.state import SystemState

__all__ = ["ControlNode", "ControlNodeConfig", "SchedulerFactory"]

SchedulerFactory = Callable[[], Scheduler]


@attrs.frozen
class ControlNodeConfig:
    """Settings of a control node.

    Attributes
    ----------
    replica : ReplicaConfig
        Settings of the replica.
    coordinator : CoordinatorConfig
        Settings of the leader's decisions.
    tick_interval_s : float
        Seconds between two looks of the leader at its deadlines.
    feed_hold_s : float
        Seconds for which a poll of an entry is held.
    max_proposals : int
        Commands that may be on their way through the log.
    job_retention_s : float
        Seconds for which an ended job is remembered.
    """

    replica: consensus.ReplicaConfig
    coordinator: CoordinatorConfig = attrs.field(factory=CoordinatorConfig)
    tick_interval_s: float = 0.05
    feed_hold_s: float = 0.5
    max_proposals: int = 4096
    job_retention_s: float = 86_400.0


@attrs.define
class _LeaderTerm:
    """What exists only while this node leads."""

    term: int
    coordinator: Coordinator
    desk: RequestDesk
    events: list[Event] = attrs.field(factory=list)


class ControlNode:
    """Replica, replicated state and, on the leader, all decisions.

    The owner calls `step` with what has arrived and carries out the returned actions
    in their order. It calls it again no later than `find_wake_up_s`.

    Parameters
    ----------
    config : ControlNodeConfig
        Settings.
    replica : Replica
        The replica.
    codec : StateCodec
        Encoding of log payloads.
    make_scheduler : SchedulerFactory
        Builds the scheduling policy of a new leader.
    """

    def __init__(
        self,
        config: ControlNodeConfig,
        replica: consensus.Replica,
        codec: StateCodec,
        make_scheduler: SchedulerFactory,
    ) -> None:
        self._config = config
        self._replica = replica
        self._codec = codec
        self._make_scheduler = make_scheduler
        self._state = SystemState()
        self._leader_term: _LeaderTerm | None = None
        self._feeds = FeedDesk(config.feed_hold_s)
        self._proposals = ProposalRegister()
        self._hand_overs: list[int] = []
        self._event_counts: collections.Counter[str] = collections.Counter()
        self._next_tick_s = 0.0
        self._now_s = 0.0
        self._now_unix_s = 0.0
        self._actions: list[ControlAction] = []

    @classmethod
    def from_config(
        cls,
        config: ControlNodeConfig,
        restored: consensus.RestoredState,
        source: random.Random,
        codec: StateCodec,
        make_scheduler: SchedulerFactory,
    ) -> "ControlNode":
        """Build a node on what its data directory holds.

        Parameters
        ----------
        config : ControlNodeConfig
            Settings.
        restored : RestoredState
            Content of the data directory.
        source : random.Random
            Source of the identity and of election timeouts.
        codec : StateCodec
            Encoding of log payloads.
        make_scheduler : SchedulerFactory
            Builds the scheduling policy of a new leader.
        """
        replica = consensus.Replica.from_config(config.replica, restored, source)
        return cls(config, replica, codec, make_scheduler)

    @property
    def replica(self) -> consensus.Replica:
        """The replica; for its status only."""
        return self._replica

    @property
    def state(self) -> SystemState:
        """The replicated state; to be read only."""
        return self._state

    @property
    def is_deciding(self) -> bool:
        """Whether this node leads and has taken over the decisions."""
        return self._leader_term is not None

    def find_wake_up_s(self) -> float:
        """Return the instant at which `step` is due without an event."""
        replica_s = self._replica.find_wake_up_s()
        return min(replica_s, self._next_tick_s, self._feeds.find_wake_up_s())

    def step(
        self, events: list[ControlEvent], now_s: float, now_unix_s: float
    ) -> list[ControlAction]:
        """Take what has arrived and return what is to be done.

        Parameters
        ----------
        events : list of ControlEvent
            Events in the order of their arrival; may be empty.
        now_s : float
            Seconds on the monotonic clock, read after the events were taken.
        now_unix_s : float
            UTC seconds.

        Returns
        -------
        list of ControlAction
            To be carried out in order.
        """
        self._now_s = now_s
        self._now_unix_s = now_unix_s
        for event in events:
            self._take(event)
        if now_s >= self._replica.find_wake_up_s():
            self._step_replica(consensus.Tick())
        self._update_leadership()
        self._tick()
        self._coordinate()
        now = self._read_instant()
        self._actions += self._feeds.release(self._state, now_s, now.has_lease)
        actions, self._actions = self._actions, []
        return actions

    def _read_instant(self) -> Instant:
        has_lease = self._replica.has_lease(self._now_s)
        return Instant(self._now_s, self._now_unix_s, has_lease)

    def _tick(self) -> None:
        if self._now_s < self._next_tick_s:
            return
        self._next_tick_s = self._now_s + self._config.tick_interval_s
        if self._leader_term is not None:
            self._leader_term.events.append(Ticked())

    # Events

    def _take(self, event: ControlEvent) -> None:
        match event:
            case consensus.MessageReceived() | consensus.StorageSynced():
                self._step_replica(event)
            case RequestArrived():
                self._take_request(event)
            case UpstreamReplied() | UpstreamCallFailed():
                if self._leader_term is not None:
                    self._leader_term.events.append(event)
            case HandOverRequested(token):
                if self._replica.voters == (self._replica.replica_id,):
                    self._answer(token, None)
                    return
                self._hand_overs.append(token)
                self._step_replica(consensus.TransferRequested())

    def _take_request(self, arrived: RequestArrived) -> None:
        now = self._read_instant()
        leader_term = self._leader_term
        if leader_term is None or not now.has_lease:
            self._answer(arrived.token, self._make_not_leader())
            return
        match arrived.request:
            case internal.FeedRequest() as request:
                self._feeds.hold(arrived.token, request, now.now_s)
            case internal.StatusRequest():
                self._answer(arrived.token, self._describe_status(leader_term))
            case _:
                self._follow_request(leader_term, arrived, now)

    def _follow_request(
        self, leader_term: _LeaderTerm, arrived: RequestArrived, now: Instant
    ) -> None:
        followed = leader_term.desk.take(arrived, len(self._proposals), now)
        self._actions += leader_term.desk.take_answers()
        if isinstance(followed, Proposal):
            self._propose(followed)
        elif followed is not None:
            leader_term.events.append(followed)

    def _answer(self, token: int, reply: internal.InternalReply | None) -> None:
        self._actions.append(AnswerRequest(token, reply))

    def _describe_status(self, leader_term: _LeaderTerm) -> internal.StatusReply:
        return describe_status(
            self._replica, self._state, leader_term.coordinator, self._event_counts
        )

    def _make_not_leader(self) -> internal.NotLeaderReply:
        leader_id = self._replica.leader_id
        if leader_id is None or leader_id == self._replica.replica_id:
            return internal.NotLeaderReply()
        address = self._replica.find_address(leader_id) or ""
        return internal.NotLeaderReply(leader_id.rpartition(".")[0], address)

    # Log

    def _propose(self, proposal: Proposal) -> None:
        number = self._proposals.add(proposal)
        payload = self._codec.encode_command(proposal.command)
        self._step_replica(consensus.CommandProposed(number, payload))

    def _step_replica(self, event: consensus.Event) -> None:
        for action in self._replica.step(event, self._now_s):
            self._take_action(action)

    def _take_action(self, action: consensus.Action) -> None:
        match action:
            case consensus.DeliverCommitted(entries):
                for committed in entries:
                    self._apply(committed)
            case consensus.RestoreSnapshot(snapshot):
                restored = self._codec.decode_snapshot(snapshot.payload)
                self._state = SystemState.from_snapshot(restored)
            case consensus.RequestSnapshot():
                self._provide_snapshot()
            case consensus.ProposalRejected(number, failure):
                proposal = self._proposals.take(number)
                if proposal is not None:
                    self._actions += proposal.reject(failure)
            case _:
                self._actions.append(action)

    def _provide_snapshot(self) -> None:
        payload = self._codec.encode_snapshot(self._state.make_snapshot())
        index = self._state.applied_index
        self._step_replica(consensus.SnapshotProvided(index, payload))

    def _apply(self, committed: consensus.CommittedEntry) -> None:
        entry = committed.entry
        if entry.kind is not consensus.EntryKind.COMMAND:
            self._state.skip(entry.index)
            return
        proposal = self._proposals.take(committed.proposal_id)
        if proposal is not None:
            command = proposal.command
        else:
            command = self._codec.decode_command(entry.payload)
        result = self._state.apply(entry.index, command)
        if self._leader_term is not None:
            self._leader_term.events.append(CommandApplied(command, result))
        if proposal is not None:
            self._actions += proposal.answer(result, self._state)

    # Leadership

    def _update_leadership(self) -> None:
        leads = self._replica.role is consensus.Role.LEADER
        held = self._leader_term
        if held is not None and (not leads or held.term != self._replica.term):
            self._end_term(held)
        now = self._read_instant()
        if leads and self._leader_term is None and now.has_lease:
            self._begin_term(now)
        if not leads and self._replica.leader_id is not None:
            for token in self._hand_overs:
                self._answer(token, None)
            self._hand_overs = []

    def _begin_term(self, now: Instant) -> None:
        term = self._replica.term
        coordinator = Coordinator.from_state(
            self._config.coordinator, self._state, self._make_scheduler(), term, now
        )
        desk = RequestDesk(self._state, coordinator, self._config.max_proposals)
        self._leader_term = _LeaderTerm(term, coordinator, desk)

    def _end_term(self, leader_term: _LeaderTerm) -> None:
        leader_term.desk.drop_waiting()
        self._actions += leader_term.desk.take_answers()
        self._leader_term = None

    # Decisions

    def _coordinate(self) -> None:
        """Run the coordinator until it has nothing more to say.

        A group with a single voter commits at once, so effects may bring new events.
        """
        leader_term = self._leader_term
        while leader_term is not None and leader_term.events:
            events, leader_term.events = leader_term.events, []
            now = self._read_instant()
            for effect in leader_term.coordinator.handle(events, now):
                self._take_effect(leader_term, effect)
            self._collect_cancels(leader_term, now)

    def _collect_cancels(self, leader_term: _LeaderTerm, now: Instant) -> None:
        retention_s = self._config.job_retention_s
        proposal = leader_term.desk.collect_cancels(now, retention_s)
        if proposal is not None:
            self._propose(proposal)

    def _take_effect(self, leader_term: _LeaderTerm, effect: Effect) -> None:
        match effect:
            case Propose(command):
                self._propose(Proposal(command))
            case Respond(token, reply):
                leader_term.desk.respond(token, reply)
                self._actions += leader_term.desk.take_answers()
            case CallUpstream() | RecordPeriod():
                self._actions.append(effect)
            case CountEvent(name):
                self._event_counts[name] += 1
                self._actions.append(effect)

"""Control node of the job log, without input or output."""

import collections
import random
from collections.abc import Callable

import attrs

from tanagerpath.core import consensus
from tanagerpath.core.control.codec import StateCodec
from tanagerpath.core.control.feeds import LongPollQueue
from tanagerpath.core.control.messages import ControlEvent, RequestArrived
from tanagerpath.core.control.proposals import Proposal
from tanagerpath.core.control.replicated import ReplicatedNode
from tanagerpath.core.control.requests import RequestHandler
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
        Settings of the coordinator.
    tick_interval_s : float
        Seconds between two checks of deadlines by the leader.
    feed_hold_s : float
        Seconds for which a poll of an entry is held.
    max_proposals : int
        Maximum number of proposals that are not committed yet.
    job_retention_s : float
        Seconds for which the record of an ended job is kept.
    """

    replica: consensus.ReplicaConfig
    coordinator: CoordinatorConfig = attrs.field(factory=CoordinatorConfig)
    tick_interval_s: float = 0.05
    feed_hold_s: float = 0.5
    max_proposals: int = 4096
    job_retention_s: float = 86_400.0


@attrs.define
class _LeaderTerm:
    """State that exists only while this node leads."""

    coordinator: Coordinator
    request_handler: RequestHandler
    events: list[Event] = attrs.field(factory=list)


class ControlNode(ReplicatedNode):
    """Replica, replicated state and, on the leader, the coordinator.

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
        super().__init__(replica, codec, config.tick_interval_s)
        self._config = config
        self._make_scheduler = make_scheduler
        self._state = SystemState()
        self._leader_term: _LeaderTerm | None = None
        self._long_polls = LongPollQueue(config.feed_hold_s)
        self._event_counts: collections.Counter[str] = collections.Counter()

    @classmethod
    def from_config(
        cls,
        config: ControlNodeConfig,
        restored: consensus.RestoredState,
        source: random.Random,
        codec: StateCodec,
        make_scheduler: SchedulerFactory,
    ) -> "ControlNode":
        """Build a node from the content of its data directory.

        Parameters
        ----------
        config : ControlNodeConfig
            Settings.
        restored : RestoredState
            Content of the data directory.
        source : random.Random
            Random source of the identity and of election timeouts.
        codec : StateCodec
            Encoding of log payloads.
        make_scheduler : SchedulerFactory
            Builds the scheduling policy of a new leader.
        """
        replica = consensus.Replica.from_config(config.replica, restored, source)
        return cls(config, replica, codec, make_scheduler)

    @property
    def state(self) -> SystemState:
        """The replicated state; callers must not modify it."""
        return self._state

    def find_wake_up_s(self) -> float:
        """Return the time at which `step` is due without an event."""
        return min(super().find_wake_up_s(), self._long_polls.find_wake_up_s())

    def _tick(self) -> None:
        if self._leader_term is not None:
            self._leader_term.events.append(Ticked())

    def _decide(self) -> None:
        self._run_coordinator()
        now = self._read_instant()
        self._actions += self._long_polls.answer_due(
            self._state, self._now_s, now.has_lease
        )

    # Events

    def _handle_other_event(self, event: ControlEvent) -> None:
        match event:
            case RequestArrived():
                self._handle_request(event)
            case UpstreamReplied() | UpstreamCallFailed():
                if self._leader_term is not None:
                    self._leader_term.events.append(event)

    def _handle_request(self, arrived: RequestArrived) -> None:
        now = self._read_instant()
        leader_term = self._leader_term
        if leader_term is None or not now.has_lease:
            self._answer(arrived.token, self._make_not_leader_reply())
            return
        match arrived.request:
            case internal.FeedRequest() as request:
                self._long_polls.add(arrived.token, request, now.now_s)
            case internal.StatusRequest():
                self._answer(arrived.token, self._describe_status(leader_term))
            case _:
                self._delegate_request(leader_term, arrived, now)

    def _delegate_request(
        self, leader_term: _LeaderTerm, arrived: RequestArrived, now: Instant
    ) -> None:
        outcome = leader_term.request_handler.handle(arrived, len(self._proposals), now)
        self._actions += leader_term.request_handler.pop_answers()
        if isinstance(outcome, Proposal):
            self._propose(outcome)
        elif outcome is not None:
            leader_term.events.append(outcome)

    def _describe_status(self, leader_term: _LeaderTerm) -> internal.StatusReply:
        return describe_status(
            self._replica, self._state, leader_term.coordinator, self._event_counts
        )

    # State

    def _restore(self, snapshot: object) -> None:
        self._state = SystemState.from_snapshot(snapshot)

    def _take_snapshot(self) -> tuple[int, object]:
        return self._state.applied_index, self._state.make_snapshot()

    def _skip(self, index: int) -> None:
        self._state.skip(index)

    def _apply_command(
        self, index: int, command: object, proposal: Proposal | None
    ) -> None:
        result = self._state.apply(index, command)
        if self._leader_term is not None:
            self._leader_term.events.append(CommandApplied(command, result))
        if proposal is not None:
            self._actions += proposal.answer(result, self._state)

    # Leadership

    def _begin_term(self, term: int, now: Instant) -> None:
        coordinator = Coordinator.from_state(
            self._config.coordinator, self._state, self._make_scheduler(), term, now
        )
        request_handler = RequestHandler(
            self._state, coordinator, self._config.max_proposals
        )
        self._leader_term = _LeaderTerm(coordinator, request_handler)

    def _end_term(self) -> None:
        self._leader_term.request_handler.reject_waiting()
        self._actions += self._leader_term.request_handler.pop_answers()
        self._leader_term = None

    # Decisions

    def _run_coordinator(self) -> None:
        """Run the coordinator until no events are left.

        A group with a single voter commits at once, so effects may bring new events.
        """
        leader_term = self._leader_term
        while leader_term is not None and leader_term.events:
            events, leader_term.events = leader_term.events, []
            now = self._read_instant()
            for effect in leader_term.coordinator.handle(events, now):
                self._handle_effect(leader_term, effect)
            self._collect_cancels(leader_term, now)

    def _collect_cancels(self, leader_term: _LeaderTerm, now: Instant) -> None:
        retention_s = self._config.job_retention_s
        proposal = leader_term.request_handler.collect_cancels(now, retention_s)
        if proposal is not None:
            self._propose(proposal)

    def _handle_effect(self, leader_term: _LeaderTerm, effect: Effect) -> None:
        match effect:
            case Propose(command):
                self._propose(Proposal(command))
            case Respond(token, reply):
                leader_term.request_handler.respond(token, reply)
                self._actions += leader_term.request_handler.pop_answers()
            case CallUpstream() | RecordPeriod():
                self._actions.append(effect)
            case CountEvent(name):
                self._event_counts[name] += 1
                self._actions.append(effect)

"""Replicated node that decides on workloads, without input or output."""

from collections import Counter
from collections.abc import Callable

import attrs

from tanagerpath.core import consensus
from tanagerpath.core.control import (
    ControlEvent,
    ReplicatedNode,
    RequestArrived,
    StateCodec,
)
from tanagerpath.core.control.proposals import OpenProposal
from tanagerpath.core.coordination import (
    CountEvent,
    Effect,
    Instant,
    Propose,
    Ticked,
    UpstreamCallFailed,
    UpstreamReplied,
)
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.workloads.commands import SetEvacuation
from tanagerpath.core.workloads.containment import PROCESS_ERRORS, describe_error
from tanagerpath.core.workloads.dispatch_context import DispatchTerms
from tanagerpath.core.workloads.dispatcher import Dispatcher
from tanagerpath.core.workloads.events import (
    CommandRecorded,
    CommandRejected,
    LogDecision,
    ReportEvacuation,
    ReportStanding,
)
from tanagerpath.core.workloads.failures import RequestFault
from tanagerpath.core.workloads.policy import WorkloadPolicy
from tanagerpath.core.workloads.request_handler import (
    WorkloadProposal,
    WorkloadRequestHandler,
)
from tanagerpath.core.workloads.state import FleetState

__all__ = ["PolicyFactory", "WorkloadNode", "WorkloadNodeConfig"]

PolicyFactory = Callable[[], WorkloadPolicy]


@attrs.frozen(kw_only=True)
class WorkloadNodeConfig:
    """Settings of a node.

    Attributes
    ----------
    replica : ReplicaConfig
        Settings of the replica.
    dispatch : DispatchTerms
        Settings of the leader's decisions.
    tick_interval_s : float
        Seconds between two checks of the leader's deadlines.
    """

    replica: consensus.ReplicaConfig
    dispatch: DispatchTerms = DispatchTerms()
    tick_interval_s: float = 0.1


@attrs.define
class _LeaderTerm:
    """State that exists only while this node leads.

    Attributes
    ----------
    dispatcher, request_handler : Dispatcher, WorkloadRequestHandler
        What decides.
    events : list of object
        Events for the dispatcher.
    rejections : list of CommandRejected
        Events for the next step. A rejected command is proposed again, and would be
        rejected again for as long as the time of the step does not pass.
    """

    dispatcher: Dispatcher
    request_handler: WorkloadRequestHandler
    events: list[object] = attrs.field(factory=list)
    rejections: list[CommandRejected] = attrs.field(factory=list)


def _count_types(events: list[object]) -> dict[str, int]:
    return dict(Counter(type(event).__name__ for event in events))


class WorkloadNode(ReplicatedNode):
    """Replica and replicated state; on the leader, all decisions on workloads.

    Parameters
    ----------
    config : WorkloadNodeConfig
        Settings.
    replica : Replica
        The replica.
    codec : StateCodec
        Encoding of log payloads.
    make_policy : PolicyFactory
        Builds the placement policy of a new leader.
    """

    def __init__(
        self,
        config: WorkloadNodeConfig,
        replica: consensus.Replica,
        codec: StateCodec,
        make_policy: PolicyFactory,
    ) -> None:
        super().__init__(replica, codec, config.tick_interval_s)
        self._config = config
        self._make_policy = make_policy
        self._state = FleetState()
        self._leader_term: _LeaderTerm | None = None
        self._must_step_down = False

    @property
    def state(self) -> FleetState:
        """The replicated state; callers only read it."""
        return self._state

    @property
    def must_decide(self) -> bool:
        """Whether events wait for the dispatcher, or an error ended the term."""
        if self._must_step_down:
            return True
        leader_term = self._leader_term
        return leader_term is not None and bool(
            leader_term.events or leader_term.rejections
        )

    def find_wake_up_s(self) -> float:
        """Return the instant at which `handle` is due; only a leader has deadlines."""
        if not self.is_deciding:
            return self._replica.find_wake_up_s()
        return super().find_wake_up_s()

    def _tick(self) -> None:
        if self._leader_term is not None:
            self._leader_term.events.append(Ticked())

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
        try:
            reply, proposals = leader_term.request_handler.handle(arrived, now)
        except PROCESS_ERRORS:
            raise
        except Exception as error:
            request_type = type(arrived.request).__name__
            self._log_error("request", error, request=request_type)
            reply = ErrorBody.from_failure(RequestFault(error=type(error).__name__))
            proposals = []
        if reply is not None:
            self._answer(arrived.token, reply)
        for proposal in proposals:
            self._propose(proposal)

    # State

    def _restore(self, snapshot: object) -> None:
        self._state = FleetState.from_snapshot(snapshot)
        for zone in self._state.evacuations:
            self._report_evacuation(zone)

    def _take_snapshot(self) -> tuple[int, object]:
        return self._state.applied_index, self._state.make_snapshot()

    def _skip(self, index: int) -> None:
        self._state.skip(index)

    def _apply_command(
        self, index: int, command: object, proposal: OpenProposal | None
    ) -> None:
        try:
            applied = self._state.apply(index, command)
        except PROCESS_ERRORS:
            raise
        except Exception as error:
            self._handle_failed_command(index, command, proposal, error)
            return
        if self._leader_term is not None:
            self._leader_term.events.append(CommandRecorded(command, applied))
            self._leader_term.request_handler.note_decided(command)
        if isinstance(command, SetEvacuation) and applied.changed:
            self._report_evacuation(command.zone)
        if proposal is not None:
            self._actions += proposal.answer(applied, self._state)

    def _report_evacuation(self, zone: str) -> None:
        is_evacuated = self._state.is_evacuated(zone)
        self._actions.append(ReportEvacuation(zone, is_evacuated))

    def _handle_failed_command(
        self,
        index: int,
        command: object,
        proposal: OpenProposal | None,
        error: Exception,
    ) -> None:
        """Pass over an entry that can't be applied.

        Every replica passes over it, since `FleetState.apply` is deterministic. Ending
        the process would end all replicas, again after each restart.
        """
        self._log_error("entry", error, index=index, command=type(command).__name__)
        if proposal is not None:
            self._actions += proposal.reject(consensus.ProposalUncertain())
        if self._leader_term is not None:
            # The dispatcher can't tell which part of the command took effect.
            self._must_step_down = True

    def _handle_rejected(self, proposal: OpenProposal) -> None:
        if self._leader_term is not None:
            self._leader_term.rejections.append(CommandRejected(proposal.command))
            self._leader_term.request_handler.note_decided(proposal.command)

    def _log_error(self, part: str, error: Exception, **fields: object) -> None:
        line = describe_error(part, error, term=self._led_term, **fields)
        self._actions += [line, CountEvent(line.name)]

    # Leadership

    def _begin_term(self, term: int, now: Instant) -> None:
        try:
            dispatcher = Dispatcher.from_state(
                self._config.dispatch, self._state, self._make_policy(), term, now
            )
        except PROCESS_ERRORS:
            raise
        except Exception as error:
            self._log_error("begin of the term", error)
            self._must_step_down = True
            return
        request_handler = WorkloadRequestHandler(
            self._state, dispatcher, self._config.replica.address, self._list_addresses
        )
        self._leader_term = _LeaderTerm(dispatcher, request_handler, [Ticked()])
        self._actions.append(
            LogDecision(
                "leadership taken",
                {
                    "term": term,
                    "workloads": len(self._state.workloads),
                    "upstreams": len(self._state.upstreams),
                    "applied_index": self._state.applied_index,
                },
            )
        )

    def _end_term(self) -> None:
        self._leader_term = None
        self._actions.append(LogDecision("leadership ended", {"term": self._led_term}))
        self._actions.append(ReportStanding({}))

    def _list_addresses(self) -> tuple[str, ...]:
        members = self._replica.membership.members
        return tuple(sorted(member.address for member in members))

    # Decisions

    def _decide(self) -> None:
        """Run the dispatcher until no events are left.

        A group with a single voter commits at once, so effects may cause new events.
        """
        leader_term = self._leader_term
        if leader_term is not None:
            leader_term.events += leader_term.rejections
            leader_term.rejections = []
        while leader_term is not None and leader_term.events:
            if self._must_step_down:
                break
            events, leader_term.events = leader_term.events, []
            try:
                effects = leader_term.dispatcher.handle(events, self._read_instant())
            except PROCESS_ERRORS:
                raise
            except Exception as error:
                self._log_error("decision", error, events=_count_types(events))
                self._must_step_down = True
                break
            for effect in effects:
                self._handle_effect(effect)
        if self._must_step_down:
            self._step_down()

    def _step_down(self) -> None:
        """End the term after an error; the next leader begins with the state."""
        self._must_step_down = False
        self._leader_term = None
        self._step_replica(consensus.StepDownRequested())

    def _handle_effect(self, effect: Effect) -> None:
        match effect:
            case Propose(command):
                self._propose(WorkloadProposal(command))
            case _:
                self._actions.append(effect)

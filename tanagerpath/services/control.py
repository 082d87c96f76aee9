"""The control process: the replicated log and, on the leader, all decisions."""

import itertools

import anyio

from tanagerpath.codecs.state import (
    decode_command,
    decode_snapshot,
    encode_command,
    encode_snapshot,
)
from tanagerpath.core import consensus
from tanagerpath.core.coordination import (
    CallUpstream,
    CommandApplied,
    Coordinator,
    CountEvent,
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
from tanagerpath.observability.logs import get_logger
from tanagerpath.observability.metrics import MetricsRegistry
from tanagerpath.runtime import Clock, Mailbox, Task
from tanagerpath.services.control_config import make_coordinator_config, make_scheduler
from tanagerpath.services.control_messages import (
    ConsensusArrived,
    HandOver,
    RequestArrived,
)
from tanagerpath.services.control_status import describe_status
from tanagerpath.services.feeds import FeedDesk
from tanagerpath.services.links import LinkSet
from tanagerpath.services.peers import PeerSet
from tanagerpath.services.requests import Proposal, RequestDesk
from tanagerpath.settings import ControlSettings

__all__ = ["ControlTask"]

FEED_HOLD_S = 0.5
MAX_WAITING_MESSAGES = 16_384


class ControlTask(Task):
    """Owns the replica, the replicated state and the leader's decisions.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the process.
    replica : Replica
        This process's replica of the log.
    storage : Mailbox
        Mailbox of the storage task; takes `PersistState`.
    peers : PeerSet
        Connections to the other control processes.
    mailbox : Mailbox
        Receives everything that this task handles.
    clock : Clock
        Source of instants.
    """

    def __init__(
        self,
        settings: ControlSettings,
        replica: consensus.Replica,
        storage: Mailbox,
        peers: PeerSet,
        mailbox: Mailbox,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._storage = storage
        self._peers = peers
        self._clock = clock
        self._log = get_logger("control")
        self._metrics = MetricsRegistry()
        self._state = SystemState()
        self._coordinator: Coordinator | None = None
        self._desk: RequestDesk | None = None
        self._feeds = FeedDesk(FEED_HOLD_S)
        self._links: LinkSet | None = None
        self._proposals: dict[int, Proposal] = {}
        self._proposal_ids = itertools.count(1)
        self._events: list = []
        self._next_tick_s = 0.0
        self._hand_overs: list[HandOver] = []
        self.mailbox = mailbox

    @property
    def metrics(self) -> MetricsRegistry:
        """Metrics of this process; read by the metrics route."""
        return self._metrics

    async def run(self) -> None:
        """Handle messages and time until cancelled."""
        async with anyio.create_task_group() as links:
            self._links = LinkSet(
                links,
                self.mailbox,
                self._settings.upstream_connections,
                self._settings.exchange_timeout_s,
            )
            while True:
                message = await self.mailbox.receive(self._find_wake_up_s())
                waiting = [] if message is None else [message]
                waiting += self.mailbox.take_waiting()
                self._run_once(waiting)

    def _find_wake_up_s(self) -> float:
        instants = [self._replica.find_wake_up_s(), self._next_tick_s]
        feed_s = self._feeds.find_wake_up_s()
        if feed_s is not None:
            instants.append(feed_s)
        return min(instants)

    def _run_once(self, messages: list) -> None:
        for message in messages:
            self._take(message)
        now_s = self._clock.read_s()
        if now_s >= self._replica.find_wake_up_s():
            self._step(consensus.Tick())
        self._peers.retain(self._replica.peer_addresses)
        self._update_leadership()
        if now_s >= self._next_tick_s:
            self._next_tick_s = now_s + self._settings.tick_interval_s
            self._events.append(Ticked())
        self._coordinate()
        now = self._read_instant()
        self._feeds.release(self._state, now.now_s, now.has_lease)

    def _read_instant(self) -> Instant:
        now_s = self._clock.read_s()
        return Instant(now_s, self._clock.read_unix_s(), self._replica.has_lease(now_s))

    # Messages

    def _take(self, message: object) -> None:
        match message:
            case ConsensusArrived(messages):
                for received in messages:
                    self._step(received)
            case consensus.StorageSynced():
                self._step(message)
            case RequestArrived():
                self._take_request(message)
            case UpstreamReplied() | UpstreamCallFailed():
                self._events.append(message)
            case HandOver():
                self._hand_overs.append(message)
                self._step(consensus.TransferRequested())

    def _take_request(self, arrived: RequestArrived) -> None:
        now = self._read_instant()
        if self._desk is None or not now.has_lease:
            arrived.reply.send(self._make_not_leader())
            return
        match arrived.request:
            case internal.FeedRequest() as request:
                self._feeds.hold(request, arrived.reply, now.now_s)
            case internal.StatusRequest():
                status = describe_status(
                    self._replica, self._state, self._coordinator, self._metrics
                )
                arrived.reply.send(status)
            case request:
                self._desk.open_proposals = len(self._proposals)
                followed = self._desk.take(request, arrived.reply, now)
                if isinstance(followed, Proposal):
                    self._propose(followed)
                elif followed is not None:
                    self._events.append(followed)

    def _make_not_leader(self) -> internal.NotLeaderReply:
        leader_id = self._replica.leader_id
        if leader_id is None or leader_id == self._replica.replica_id:
            return internal.NotLeaderReply()
        return internal.NotLeaderReply(
            leader_id.rpartition(".")[0], self._replica.find_address(leader_id) or ""
        )

    # Log

    def _propose(self, proposal: Proposal) -> None:
        proposal_id = next(self._proposal_ids)
        self._proposals[proposal_id] = proposal
        payload = encode_command(proposal.command)
        self._step(consensus.CommandProposed(proposal_id, payload))

    def _step(self, event: consensus.Event) -> None:
        for action in self._replica.step(event, self._clock.read_s()):
            self._carry_out(action)

    def _carry_out(self, action: consensus.Action) -> None:
        match action:
            case consensus.SendMessage():
                self._peers.send(action)
            case consensus.PersistState():
                self._storage.post(action)
            case consensus.DeliverCommitted(entries):
                for committed in entries:
                    self._apply(committed)
            case consensus.RestoreSnapshot(snapshot):
                restored = decode_snapshot(snapshot.payload).unwrap()
                self._state = SystemState.from_snapshot(restored)
            case consensus.RequestSnapshot():
                self._provide_snapshot()
            case consensus.ReportRole(role, term, leader_id):
                self._log.info(
                    "role changed", role=str(role), term=term, leader=leader_id
                )
            case consensus.ProposalRejected(proposal_id, failure):
                proposal = self._proposals.pop(proposal_id, None)
                if proposal is not None:
                    proposal.fail(failure)

    def _provide_snapshot(self) -> None:
        payload = encode_snapshot(self._state.make_snapshot())
        index = self._state.applied_index
        self._step(consensus.SnapshotProvided(index, payload))

    def _apply(self, committed: consensus.CommittedEntry) -> None:
        entry = committed.entry
        if entry.kind is not consensus.EntryKind.COMMAND:
            self._state.skip(entry.index)
            return
        proposal = self._proposals.pop(committed.proposal_id, None)
        if proposal is not None:
            command = proposal.command
        else:
            command = decode_command(entry.payload).unwrap()
        result = self._state.apply(entry.index, command)
        if self._coordinator is not None:
            self._events.append(CommandApplied(command, result))
        if proposal is not None:
            proposal.answer(result, self._state)

    # Leadership

    def _update_leadership(self) -> None:
        leads = self._replica.role is consensus.Role.LEADER
        now = self._read_instant()
        if leads and self._coordinator is None and now.has_lease:
            self._begin_term(now)
        elif not leads and self._coordinator is not None:
            self._end_term()
        if not leads and self._replica.leader_id is not None:
            self._answer_hand_overs()

    def _begin_term(self, now: Instant) -> None:
        scheduler: Scheduler = make_scheduler(self._settings)
        self._coordinator = Coordinator.from_state(
            make_coordinator_config(self._settings),
            self._state,
            scheduler,
            self._replica.term,
            now,
        )
        self._desk = RequestDesk(
            self._state, self._coordinator, self._settings.max_proposals_in_flight
        )
        self._events = []
        self._log.info("leading", term=self._replica.term)

    def _end_term(self) -> None:
        self._desk.drop_waiting()
        self._coordinator = None
        self._desk = None
        self._events = []
        self._feeds.release(self._state, float("inf"), has_lease=False)
        self._log.info("not leading", term=self._replica.term)

    def _answer_hand_overs(self) -> None:
        for hand_over in self._hand_overs:
            hand_over.reply.send(None)
        self._hand_overs = []

    # Decisions

    def _coordinate(self) -> None:
        """Run the coordinator until it has nothing more to say.

        A single-voter group commits at once, so effects may bring new events.
        """
        while self._coordinator is not None and self._events:
            events, self._events = self._events, []
            now = self._read_instant()
            for effect in self._coordinator.handle(events, now):
                self._carry_out_effect(effect)
            self._collect_cancels(now)

    def _collect_cancels(self, now: Instant) -> None:
        proposal = self._desk.collect_cancels(now, self._settings.job_retention_s)
        if proposal is not None:
            self._propose(proposal)

    def _carry_out_effect(self, effect: object) -> None:
        match effect:
            case Propose(command):
                self._propose(Proposal(command))
            case CallUpstream():
                self._links.call(effect)
            case Respond(token, reply):
                self._desk.respond(token, reply)
            case RecordPeriod(period, organisation, job_class, elapsed_s):
                self._metrics.observe(
                    str(period), elapsed_s, organisation, str(job_class)
                )
            case CountEvent(name):
                self._metrics.count("events", type=name)

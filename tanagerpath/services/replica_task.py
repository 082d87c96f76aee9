"""Task that owns a replicated node and executes its actions."""

import abc
import itertools
from typing import Any

import anyio
from anyio.abc import TaskGroup

from tanagerpath.core import consensus
from tanagerpath.core.control import (
    ControlAction,
    ControlEvent,
    LeaderLate,
    LeadershipTransferRequested,
    ReplicatedNode,
    RequestArrived,
    SendReply,
)
from tanagerpath.core.coordination import CallUpstream, CountEvent
from tanagerpath.observability.logs import get_logger
from tanagerpath.observability.metrics import MetricsRegistry
from tanagerpath.runtime import Clock, Mailbox, Reply, Task
from tanagerpath.services.control_messages import (
    AskLeader,
    ConsensusArrived,
    ResponseTimedOut,
    TransferLeadership,
)
from tanagerpath.services.leased_calls import LeasedCalls
from tanagerpath.services.links import LinkSet
from tanagerpath.services.membership_log import log_membership_report
from tanagerpath.services.peers import PeerSet
from tanagerpath.services.pending_responses import PendingResponses

__all__ = ["ReplicaTask"]

# Without a message for so long, other tasks have sent and written what they were given.
QUIET_S = 0.001
# Decisions wait for at most this long while messages keep coming.
MAX_DECISION_DELAY_S = 0.02


def _expects_reply(received: consensus.MessageReceived) -> bool:
    """Whether a commit waits for the reply.

    Replies to heartbeats use exchanges of their own, so that a leader that can send
    but can't be reached notices it and steps down.
    """
    message = received.message
    return isinstance(message, consensus.AppendRequest) and bool(message.entries)


class ReplicaTask(Task):
    """Steps a node with messages and the time, and executes the returned actions.

    Decisions of a leader may take long. Messages to other replicas, writes and replies
    leave before them, and messages that arrive meanwhile are handled first.

    Parameters
    ----------
    node : ReplicatedNode
        Makes all decisions.
    mailbox : Mailbox
        Receives all messages to this task.
    storage : Mailbox
        Mailbox of the storage task; receives `PersistState`.
    peers : PeerSet
        Connections to the other control processes.
    clock : Clock
        Source of the current time.
    """

    def __init__(
        self,
        node: ReplicatedNode,
        mailbox: Mailbox,
        storage: Mailbox,
        peers: PeerSet,
        clock: Clock,
    ) -> None:
        self._node = node
        self._mailbox = mailbox
        self._storage = storage
        self._peers = peers
        self._clock = clock
        self._log = get_logger("control")
        self._metrics = MetricsRegistry()
        self._pending_responses = PendingResponses()
        self._replies: dict[int, Reply] = {}
        self._tokens = itertools.count(1)
        self._links: LinkSet | None = None
        self._leased_calls = LeasedCalls()

    @property
    def metrics(self) -> MetricsRegistry:
        """Metrics of this task, shown by the metrics route."""
        return self._metrics

    @abc.abstractmethod
    def _make_links(self, tasks: TaskGroup) -> LinkSet:
        """Create the links to upstreams."""

    async def run(self) -> None:
        """Handle messages and timeouts until cancelled."""
        async with anyio.create_task_group() as links:
            self._links = self._make_links(links)
            while True:
                self._handle(await self._receive(self._find_deadline_s()))
                await self._handle_until_quiet()
                self._decide()

    async def _receive(self, until_s: float) -> list:
        """Return the waiting messages, or none once the deadline has passed."""
        message = await self._mailbox.receive(until_s)
        first = [] if message is None else [message]
        return first + self._mailbox.take_waiting()

    async def _handle_until_quiet(self) -> None:
        """Handle the messages that must not wait for the next decisions."""
        decide_at_s = self._clock.read_s() + MAX_DECISION_DELAY_S
        while self._node.must_decide and self._clock.read_s() < decide_at_s:
            messages = await self._receive(anyio.current_time() + QUIET_S)
            if not messages:
                return
            self._handle(messages)

    def _find_deadline_s(self) -> float:
        """Return the wake-up time of the node on the clock of the event loop."""
        remaining_s = self._node.find_wake_up_s() - self._clock.read_s()
        return anyio.current_time() + remaining_s

    def _handle(self, messages: list) -> None:
        events = [event for message in messages for event in self._translate(message)]
        # The clock is read after the messages were taken from the mailbox.
        now_s = self._clock.read_s()
        self._execute_all(self._node.handle(events, now_s, self._clock.read_unix_s()))

    def _decide(self) -> None:
        # The lease must hold when the decisions begin.
        now_s = self._clock.read_s()
        self._execute_all(self._node.decide(now_s, self._clock.read_unix_s()))

    def _execute_all(self, actions: list[ControlAction]) -> None:
        self._leased_calls.enter_term(self._node.led_term)
        for action in actions:
            self._execute(action)
        self._send_leased_calls()
        self._pending_responses.flush()
        self._peers.retain(self._node.replica.peer_addresses)

    def _send_leased_calls(self) -> None:
        """Send the orders of the leader's decisions if the lease still holds."""
        if not self._leased_calls:
            return
        if self._node.replica.has_lease(self._clock.read_s()):
            for call in self._leased_calls.take():
                self._links.call(call)

    def _translate(self, message: object) -> list[ControlEvent]:
        match message:
            case ConsensusArrived(messages, reply):
                if any(map(_expects_reply, messages)):
                    self._pending_responses.open(messages[0].sender, reply)
                else:
                    reply.send(())
                return list(messages)
            case ResponseTimedOut(sender, reply):
                self._pending_responses.close(sender, reply)
                return []
            case AskLeader(request, reply):
                return [RequestArrived(self._register_reply(reply), request)]
            case TransferLeadership(reply):
                return [LeadershipTransferRequested(self._register_reply(reply))]
        return [message]

    def _register_reply(self, reply: Reply) -> int:
        token = next(self._tokens)
        self._replies[token] = reply
        return token

    def _execute(self, action: ControlAction) -> None:
        match action:
            case consensus.SendMessage():
                if not self._pending_responses.add(action):
                    self._peers.send(action)
            case consensus.PersistState():
                self._storage.post(action)
            case SendReply(token, reply):
                self._replies.pop(token).send(self._complete_reply(reply))
            case CallUpstream():
                self._leased_calls.add(action)
            case CountEvent(name):
                self._metrics.count("events", type=name)
            case consensus.ReportRole(role, term, leader_id):
                self._log.info(
                    "role changed", role=str(role), term=term, leader=leader_id
                )
            case LeaderLate(term, lateness_s):
                self._log.warning(
                    "leader is late, leadership is transferred",
                    term=term,
                    lateness_s=round(lateness_s, 3),
                )
            case (
                consensus.MembershipProposed()
                | consensus.MembershipCommitted()
                | consensus.PromotionDelayed()
                | consensus.LearnerCaughtUp()
                | consensus.VoteChanged()
            ):
                log_membership_report(self._log, action)
            case _:
                self._execute_node_action(action)

    def _complete_reply(self, reply: Any) -> Any:
        """Return the reply, completed with data of this task."""
        return reply

    @abc.abstractmethod
    def _execute_node_action(self, action: ControlAction) -> None:
        """Execute an action that is specific to the kind of node."""

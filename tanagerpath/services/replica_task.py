"""Task that owns a replicated node and carries its actions out."""

import abc
import itertools
from typing import Any

import anyio
from anyio.abc import TaskGroup

from tanagerpath.core import consensus
from tanagerpath.core.control import (
    ControlAction,
    ControlEvent,
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
    HandOver,
    ReturnPathClosed,
)
from tanagerpath.services.links import LinkSet
from tanagerpath.services.membership_log import log_membership_note
from tanagerpath.services.peers import PeerSet
from tanagerpath.services.return_paths import ReturnPaths

__all__ = ["ReplicaTask"]


def _expects_answer(received: consensus.MessageReceived) -> bool:
    """Whether a commit waits for the answer.

    Answers to heartbeats go as exchanges of their own: a leader that can send but can't
    be reached by others has to notice it and step down.
    """
    message = received.message
    return isinstance(message, consensus.AppendRequest) and bool(message.entries)


class ReplicaTask(Task):
    """Feeds a node with messages and time, and does what it returns.

    Parameters
    ----------
    node : ReplicatedNode
        All decisions.
    mailbox : Mailbox
        Receives everything that this task handles.
    storage : Mailbox
        Mailbox of the storage task; takes `PersistState`.
    peers : PeerSet
        Connections to the other control processes.
    clock : Clock
        Source of instants.
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
        self._return_paths = ReturnPaths()
        self._replies: dict[int, Reply] = {}
        self._tokens = itertools.count(1)
        self._links: LinkSet | None = None

    @property
    def metrics(self) -> MetricsRegistry:
        """Metrics of this process; read by the metrics route."""
        return self._metrics

    @abc.abstractmethod
    def _make_links(self, tasks: TaskGroup) -> LinkSet:
        """Return the connections to upstreams."""

    async def run(self) -> None:
        """Handle messages and time until cancelled."""
        async with anyio.create_task_group() as links:
            self._links = self._make_links(links)
            while True:
                message = await self._mailbox.receive(self._find_deadline_s())
                waiting = [] if message is None else [message]
                waiting += self._mailbox.take_waiting()
                self._step(waiting)

    def _find_deadline_s(self) -> float:
        """Return the node's next instant on the clock of the event loop."""
        left_s = self._node.find_wake_up_s() - self._clock.read_s()
        return anyio.current_time() + left_s

    def _step(self, messages: list) -> None:
        events = [event for message in messages for event in self._translate(message)]
        # The clock is read after the messages were taken.
        now_s = self._clock.read_s()
        for action in self._node.step(events, now_s, self._clock.read_unix_s()):
            self._carry_out(action)
        self._return_paths.flush()
        self._peers.retain(self._node.replica.peer_addresses)

    def _translate(self, message: object) -> list[ControlEvent]:
        match message:
            case ConsensusArrived(messages, reply):
                if any(map(_expects_answer, messages)):
                    self._return_paths.open(messages[0].sender, reply)
                else:
                    reply.send(())
                return list(messages)
            case ReturnPathClosed(sender, reply):
                self._return_paths.close(sender, reply)
                return []
            case AskLeader(request, reply):
                return [RequestArrived(self._keep(reply), request)]
            case HandOver(reply):
                return [LeadershipTransferRequested(self._keep(reply))]
        return [message]

    def _keep(self, reply: Reply) -> int:
        token = next(self._tokens)
        self._replies[token] = reply
        return token

    def _carry_out(self, action: ControlAction) -> None:
        match action:
            case consensus.SendMessage():
                if not self._return_paths.take(action):
                    self._peers.send(action)
            case consensus.PersistState():
                self._storage.post(action)
            case SendReply(token, reply):
                self._replies.pop(token).send(self._complete(reply))
            case CallUpstream():
                self._links.call(action)
            case CountEvent(name):
                self._metrics.count("events", type=name)
            case consensus.ReportRole(role, term, leader_id):
                self._log.info(
                    "role changed", role=str(role), term=term, leader=leader_id
                )
            case (
                consensus.MembershipProposed()
                | consensus.MembershipCommitted()
                | consensus.PromotionDelayed()
                | consensus.VoteChanged()
            ):
                log_membership_note(self._log, action)
            case _:
                self._take_note(action)

    def _complete(self, reply: Any) -> Any:
        """Return a reply with what only this task knows."""
        return reply

    @abc.abstractmethod
    def _take_note(self, action: ControlAction) -> None:
        """Carry an action out that only one kind of node returns."""

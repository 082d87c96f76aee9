"""Task that owns the control node of gang jobs."""

from typing import Any

import attrs
from anyio.abc import TaskGroup

from tanagerpath.core.control import ControlAction, ControlNode
from tanagerpath.core.coordination import RecordPeriod
from tanagerpath.core.protocol.internal import StatusReply
from tanagerpath.runtime import Clock, Mailbox
from tanagerpath.services.links import JsonUpstreamCodec, LinkSet
from tanagerpath.services.peers import PeerSet
from tanagerpath.services.replica_task import ReplicaTask

__all__ = ["ControlTask"]


class ControlTask(ReplicaTask):
    """Steps a control node with messages and the time, and executes its actions.

    Parameters
    ----------
    node : ControlNode
        Makes all decisions.
    mailbox : Mailbox
        Receives all messages to this task.
    storage : Mailbox
        Mailbox of the storage task; receives `PersistState`.
    peers : PeerSet
        Connections to the other control processes.
    max_connections : int
        Maximum number of connections to each upstream.
    exchange_timeout_s : float
        Timeout of one exchange with an upstream.
    clock : Clock
        Source of the current time.
    """

    def __init__(
        self,
        node: ControlNode,
        mailbox: Mailbox,
        storage: Mailbox,
        peers: PeerSet,
        max_connections: int,
        exchange_timeout_s: float,
        clock: Clock,
    ) -> None:
        super().__init__(node, mailbox, storage, peers, clock)
        self._max_connections = max_connections
        self._exchange_timeout_s = exchange_timeout_s

    def _make_links(self, tasks: TaskGroup) -> LinkSet:
        return LinkSet(
            tasks,
            self._mailbox,
            JsonUpstreamCodec(),
            self._max_connections,
            self._exchange_timeout_s,
        )

    def _complete_reply(self, reply: Any) -> Any:
        if not isinstance(reply, StatusReply):
            return reply
        return attrs.evolve(reply, times=self._metrics.list_times())

    def _execute_node_action(self, action: ControlAction) -> None:
        match action:
            case RecordPeriod(period, organisation, job_class, elapsed_s):
                self._metrics.observe(
                    str(period), elapsed_s, organisation, str(job_class)
                )

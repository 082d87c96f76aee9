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
    """Feeds a control node with messages and time, and does what it returns.

    Parameters
    ----------
    node : ControlNode
        All decisions.
    mailbox : Mailbox
        Receives everything that this task handles.
    storage : Mailbox
        Mailbox of the storage task; takes `PersistState`.
    peers : PeerSet
        Connections to the other control processes.
    max_connections : int
        Connections to each upstream.
    exchange_timeout_s : float
        Time for one exchange with an upstream.
    clock : Clock
        Source of instants.
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

    def _complete(self, reply: Any) -> Any:
        if not isinstance(reply, StatusReply):
            return reply
        return attrs.evolve(reply, times=self._metrics.list_times())

    def _take_note(self, action: ControlAction) -> None:
        match action:
            case RecordPeriod(period, organisation, job_class, elapsed_s):
                self._metrics.observe(
                    str(period), elapsed_s, organisation, str(job_class)
                )

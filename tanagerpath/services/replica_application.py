"""Life cycle shared by all control processes with a replica."""

import abc
import pathlib
import random

import anyio
from anyio.abc import TaskGroup

from tanagerpath.core.consensus import RestoredState
from tanagerpath.core.control import ReplicatedNode
from tanagerpath.observability.logs import get_logger
from tanagerpath.observability.metrics import MetricsRegistry
from tanagerpath.runtime import (
    Application,
    Clock,
    DirectoryOpener,
    Mailbox,
    OpenedDirectory,
    Reply,
    StorageTask,
    SystemClock,
)
from tanagerpath.runtime.server import HttpServer, bind_listener
from tanagerpath.services.client_limits import ClientLimitTerms, ProcessGuards
from tanagerpath.services.control_messages import TransferLeadership
from tanagerpath.services.leader_link import LeaderProtocol
from tanagerpath.services.peers import PeerSet
from tanagerpath.services.replica_routes import ReplicaRoutes
from tanagerpath.services.replica_task import ReplicaTask

__all__ = ["ReplicaApplication"]

MAX_WAITING_MESSAGES = 16_384


class ReplicaApplication(Application):
    """All tasks of a control process.

    Parameters
    ----------
    listen : str
        "ip:port" for other tanagerpath processes.
    data_dir : pathlib.Path
        Directory of the replicated log and its snapshots.
    availability_zone : str
        Availability zone of the process.
    drain_timeout_s : float
        Longest wait of a graceful stop for the leadership transfer.
    protocol : LeaderProtocol
        Requests that entries send.
    clock : Clock, optional
        Source of the current time.
    limits : ClientLimitTerms, optional
        Size of the process, from which the limits for its clients follow.
    """

    def __init__(
        self,
        listen: str,
        data_dir: pathlib.Path,
        availability_zone: str,
        drain_timeout_s: float,
        protocol: LeaderProtocol,
        clock: Clock | None = None,
        limits: ClientLimitTerms | None = None,
    ) -> None:
        super().__init__()
        self._listen = listen
        self._data_dir = data_dir
        self._availability_zone = availability_zone
        self._drain_timeout_s = drain_timeout_s
        self._protocol = protocol
        self._clock = clock or SystemClock()
        self._log = get_logger("control")
        self._mailbox: Mailbox = Mailbox("control", MAX_WAITING_MESSAGES)
        self._opened: OpenedDirectory | None = None
        self._server: HttpServer | None = None
        self._client_metrics = MetricsRegistry()
        self._guards = ProcessGuards(
            limits or ClientLimitTerms(), self._log, self._client_metrics
        )

    @abc.abstractmethod
    def _make_node(
        self, restored: RestoredState, source: random.Random
    ) -> ReplicatedNode:
        """Build the node from the state in the data directory."""

    @abc.abstractmethod
    def _make_task(
        self, node: ReplicatedNode, storage: Mailbox, peers: PeerSet
    ) -> ReplicaTask:
        """Build the task that owns the node."""

    async def prepare(self) -> None:
        """Open the data directory, retrying until its disk is available."""
        self._opened = await DirectoryOpener(self._data_dir, self._log).open()

    async def start(self, tasks: TaskGroup) -> None:
        """Bind the socket and start all tasks."""
        restored, files = self._opened.restored, self._opened.files
        # Two replicas must never draw the same ID.
        node = self._make_node(restored, random.SystemRandom())
        metrics = MetricsRegistry()
        storage = StorageTask(files, self._data_dir, self._mailbox, metrics=metrics)
        control = self._make_task(node, storage.mailbox, PeerSet(tasks, self._mailbox))
        routes = ReplicaRoutes(
            self._mailbox,
            self._protocol,
            (control.metrics, metrics, self._client_metrics),
        )
        self._server = HttpServer(
            bind_listener(self._listen),
            [
                *routes.list_replica_routes(),
                *self._guards.queue_large_requests(
                    routes.list_leader_routes(), "internal"
                ),
            ],
            guard=self._guards.make_internal(),
        )
        tasks.start_soon(storage.run)
        tasks.start_soon(control.run)
        tasks.start_soon(self._server.run)
        self._log.info(
            "started",
            address=self._server.address,
            availability_zone=self._availability_zone,
            replica=node.replica.replica_id,
            log_index=node.replica.last_index,
        )

    async def drain(self) -> None:
        """Transfer leadership, then finish the requests in flight."""
        self._log.info("handing over")
        transferred: Reply[None] = Reply()
        self._mailbox.post(TransferLeadership(transferred))
        await transferred.receive(anyio.current_time() + self._drain_timeout_s)
        await self._server.stop()
        self._log.info("stopped")

"""Control process of workloads on a VM without a disk."""

from collections.abc import Sequence

import anyio
from anyio.abc import TaskGroup
from returns.pipeline import is_successful
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import BaseRoute, Route

from tanagerpath.codecs import encode_json
from tanagerpath.codecs.replication import decode_batch, encode_batch
from tanagerpath.core.admission import SearchingRoute
from tanagerpath.core.consensus import MessageReceived, Relay, SendMessage
from tanagerpath.core.protocol.leadership import NotLeaderReply
from tanagerpath.core.workloads.requests import LeaderQuery, LeaderReply
from tanagerpath.observability.logs import get_logger
from tanagerpath.observability.metrics import MetricsRegistry
from tanagerpath.runtime import Application, Mailbox, Task
from tanagerpath.runtime.client import HttpClient
from tanagerpath.runtime.server import HttpServerGroup
from tanagerpath.services.adapters import (
    ControlAdapter,
    RemoteLeaderClient,
    SettingsSource,
)
from tanagerpath.services.client_limits import ClientLimitTerms, ProcessGuards
from tanagerpath.services.leader_link import LeaderLink
from tanagerpath.services.peers import CONSENSUS_PATH
from tanagerpath.services.settings_watch import SettingsWatch
from tanagerpath.services.workload_protocol import WORKLOAD_PROTOCOL, make_leader_link
from tanagerpath.settings import WorkloadRelaySettings

__all__ = ["JoinForwarder", "RelayRoutes", "WorkloadRelayApplication"]

# Join requests are retried; more than these are duplicates.
MAX_WAITING_REQUESTS = 64
LEADER_TIMEOUT_S = 1.0


class JoinForwarder(Task):
    """Searches for the leader on request, and forwards join requests to it.

    Parameters
    ----------
    relay : Relay
        Decides which messages are forwarded.
    link : LeaderLink
        Connections to the leader.
    route : SearchingRoute
        Receives the control processes that the leader names.
    exchange_timeout_s : float
        Timeout of an exchange with the leader.
    """

    def __init__(
        self,
        relay: Relay,
        link: LeaderLink,
        route: SearchingRoute,
        exchange_timeout_s: float,
    ) -> None:
        self._relay = relay
        self._link = link
        self._route = route
        self._exchange_timeout_s = exchange_timeout_s
        self.mailbox: Mailbox[tuple[MessageReceived, ...]] = Mailbox(
            "join forwarder", MAX_WAITING_REQUESTS
        )

    async def run(self) -> None:
        """Forward until cancelled."""
        while True:
            batches = [await self.mailbox.receive(), *self.mailbox.take_waiting()]
            leader_address = await self._find_leader()
            if leader_address is None:
                continue
            messages = [
                message
                for batch in batches
                for received in batch or ()
                if (message := self._relay.forward(received, leader_address))
            ]
            if messages:
                await self._send(leader_address, messages)

    async def _find_leader(self) -> str | None:
        deadline_s = anyio.current_time() + LEADER_TIMEOUT_S
        result = await self._link.call(LeaderQuery(), deadline_s)
        reply = result.unwrap() if is_successful(result) else None
        if not isinstance(reply, LeaderReply):
            return None
        self._route.replace_members(reply.control_addresses)
        return reply.leader_address

    async def _send(self, address: str, messages: Sequence[SendMessage]) -> None:
        client = HttpClient(address, max_connections=1)
        try:
            await client.exchange(
                "POST",
                CONSENSUS_PATH,
                encode_batch(messages),
                timeout_s=self._exchange_timeout_s,
            )
        finally:
            with anyio.CancelScope(shield=True):
                await client.close()


class RelayRoutes:
    """HTTP routes of a control process without a replica for other processes.

    Parameters
    ----------
    relay : Relay
        Answers join requests.
    forwarder : Mailbox
        Mailbox of the `JoinForwarder`.
    route : SearchingRoute
        Knows the leader.
    metrics : MetricsRegistry
        Metrics of the process.
    """

    def __init__(
        self,
        relay: Relay,
        forwarder: Mailbox[tuple[MessageReceived, ...]],
        route: SearchingRoute,
        metrics: MetricsRegistry,
    ) -> None:
        self._relay = relay
        self._forwarder = forwarder
        self._route = route
        self._metrics = metrics

    def list_routes(self) -> list[BaseRoute]:
        """Return all routes."""
        return [
            Route(CONSENSUS_PATH, self._handle_consensus, methods=["POST"]),
            Route(WORKLOAD_PROTOCOL.path, self._redirect_to_leader, methods=["POST"]),
            Route("/healthz", self._show_health, methods=["GET"]),
            Route("/metrics", self._show_metrics, methods=["GET"]),
        ]

    async def _handle_consensus(self, request: Request) -> Response:
        batch = decode_batch(await request.body())
        if not is_successful(batch):
            return PlainTextResponse(batch.failure().message + "\n", 400)
        received = tuple(batch.unwrap())
        for message in received:
            address = self._relay.find_replica(message)
            if address is not None:
                self._route.add_member(address)
        answers = [
            answer for message in received if (answer := self._relay.answer(message))
        ]
        if not answers:
            return Response(status_code=204)
        self._forwarder.post(received)
        return Response(encode_batch(answers), media_type="application/json")

    async def _redirect_to_leader(self, request: Request) -> Response:
        await request.body()
        address = self._route.leader_address
        if address is None:
            self._forwarder.post(())
        reply = NotLeaderReply(leader_address=address or "")
        text = encode_json(reply, WORKLOAD_PROTOCOL.reply_type)
        return Response(text, media_type="application/json")

    async def _show_health(self, request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def _show_metrics(self, request: Request) -> Response:
        return PlainTextResponse(self._metrics.render())


class WorkloadRelayApplication(Application):
    """All tasks of a control process without a replica.

    It serves operators and upstreams, and forwards their calls to the leader.

    Parameters
    ----------
    settings : WorkloadRelaySettings
        Settings of the process.
    adapter : ControlAdapter
        Translates the calls of operators and upstreams.
    source : SettingsSource
        Source of the settings that may change.
    """

    def __init__(
        self,
        settings: WorkloadRelaySettings,
        adapter: ControlAdapter,
        source: SettingsSource,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._adapter = adapter
        self._log = get_logger("control")
        self._metrics = MetricsRegistry()
        self._route = SearchingRoute(self._list_others(settings.seeds))
        self._link = make_leader_link(self._route, settings.exchange_timeout_s)
        self._watch = SettingsWatch(source, self._replace_seeds, self._log)
        vm_id = settings.listen.rpartition(":")[0]
        self._relay = Relay(vm_id, settings.listen)
        self._forwarder = JoinForwarder(
            self._relay, self._link, self._route, settings.exchange_timeout_s
        )
        self._servers = HttpServerGroup()

    @classmethod
    def from_settings(
        cls,
        settings: WorkloadRelaySettings,
        adapter: ControlAdapter,
        source: SettingsSource,
    ) -> "WorkloadRelayApplication":
        """Build the application of a process."""
        return cls(settings, adapter, source)

    def _list_others(self, seeds: tuple[str, ...]) -> tuple[str, ...]:
        """Return the seeds without this process, which never leads."""
        return tuple(seed for seed in seeds if seed != self._settings.listen)

    def _replace_seeds(self, seeds: tuple[str, ...]) -> None:
        self._route.replace_seeds(self._list_others(seeds))

    async def start(self, tasks: TaskGroup) -> None:
        """Bind the sockets and start all tasks."""
        settings = self._settings
        routes = RelayRoutes(
            self._relay, self._forwarder.mailbox, self._route, self._metrics
        )
        leader = RemoteLeaderClient(self._link)
        guards = ProcessGuards(
            ClientLimitTerms.from_settings(settings), self._log, self._metrics
        )
        listed = {
            settings.listen: (routes.list_routes(), guards.make_internal()),
            settings.public_listen: (
                guards.queue_large_requests(
                    self._adapter.list_routes(leader), "operators"
                ),
                guards.make_operators(self._adapter.list_body_rules()),
            ),
        }
        for address, (address_routes, guard) in listed.items():
            self._servers.start(tasks, address, address_routes, guard)
        tasks.start_soon(self._link.run)
        tasks.start_soon(self._forwarder.run)
        tasks.start_soon(self._watch.run)
        self._log.info(
            "started without a replica",
            address=settings.listen,
            availability_zone=settings.availability_zone,
            seeds=list(settings.seeds),
        )

    async def reload(self) -> None:
        """Reload the settings."""
        self._watch.reload("SIGHUP")

    async def drain(self) -> None:
        """Finish the requests in flight."""
        self._servers.close_keepalive_connections()
        await self._servers.stop(self._settings.drain_timeout_s)
        self._log.info("stopped")

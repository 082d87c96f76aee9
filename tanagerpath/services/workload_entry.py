"""Entry process of workloads."""

import anyio
from anyio.abc import TaskGroup
from returns.pipeline import is_successful
from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from tanagerpath.core.admission import SearchingRoute
from tanagerpath.core.workloads.requests import LeaderQuery, LeaderReply
from tanagerpath.observability.decisions import DecisionLog
from tanagerpath.observability.logs import get_logger
from tanagerpath.observability.metrics import MetricsRegistry
from tanagerpath.runtime import Application, Task
from tanagerpath.runtime.server import HttpServerGroup
from tanagerpath.services.adapters import (
    EntryAdapter,
    RemoteLeaderClient,
    SettingsSource,
)
from tanagerpath.services.client_limits import (
    CallerGuard,
    ClientLimitTerms,
    ProcessGuards,
)
from tanagerpath.services.measured_leader import MeasuredLeaderClient
from tanagerpath.services.settings_watch import SettingsWatch
from tanagerpath.services.workload_protocol import make_leader_link
from tanagerpath.settings import WorkloadEntrySettings

__all__ = ["LeaderProbe", "WorkloadEntryApplication"]

PROBE_INTERVAL_S = 1.5
PROBE_TIMEOUT_S = 1.5
# An entry without a reply for this long is not ready, so gets no new connections.
MAX_PROBE_AGE_S = 5.0


class LeaderProbe(Task):
    """Probes the leader, which names the control processes and limits of callers.

    Parameters
    ----------
    leader : MeasuredLeaderClient
        Sends the probes, and is told which leader was found.
    route : SearchingRoute
        Receives the control processes.
    metrics : MetricsRegistry
        Counts lost and regained leaders.
    callers : CallerGuard, optional
        Receives the limits of the current configuration.
    """

    def __init__(
        self,
        leader: MeasuredLeaderClient,
        route: SearchingRoute,
        metrics: MetricsRegistry,
        callers: CallerGuard | None = None,
    ) -> None:
        self._leader = leader
        self._route = route
        self._callers = callers
        self._metrics = metrics
        self._log = get_logger("entry")
        self._found_s = float("-inf")
        self._is_lost = True

    @property
    def is_fresh(self) -> bool:
        """Whether the leader replied within the last `MAX_PROBE_AGE_S`."""
        return anyio.current_time() - self._found_s < MAX_PROBE_AGE_S

    async def run(self) -> None:
        """Probe at intervals until cancelled."""
        while True:
            await self._probe()
            await anyio.sleep(PROBE_INTERVAL_S)

    async def _probe(self) -> None:
        result = await self._leader.ask(LeaderQuery(), PROBE_TIMEOUT_S)
        if is_successful(result) and isinstance(result.unwrap(), LeaderReply):
            self._handle_leader_found(result.unwrap())
        elif not self._is_lost:
            self._is_lost = True
            self._metrics.count("leader_changes", event="lost")
            reason = "an unexpected reply"
            if not is_successful(result):
                reason = result.failure().message
            self._log.warning("leader lost", reason=reason)

    def _handle_leader_found(self, reply: LeaderReply) -> None:
        self._found_s = anyio.current_time()
        self._route.replace_members(reply.control_addresses)
        if self._callers is not None:
            self._callers.apply(reply.caller_limits)
        self._leader.note_leader(reply)
        if self._is_lost:
            self._is_lost = False
            self._metrics.count("leader_changes", event="found")
            self._log.info(
                "leader found",
                leader=reply.leader_address,
                control_processes=list(reply.control_addresses),
            )


class WorkloadEntryApplication(Application):
    """All tasks of an entry process of workloads.

    Parameters
    ----------
    settings : WorkloadEntrySettings
        Settings of the process.
    adapter : EntryAdapter
        Translates the calls of callers.
    source : SettingsSource
        Source of the settings that may change.
    metrics : MetricsRegistry
        Metrics of the process.
    """

    def __init__(
        self,
        settings: WorkloadEntrySettings,
        adapter: EntryAdapter,
        source: SettingsSource,
        metrics: MetricsRegistry,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._adapter = adapter
        self._metrics = metrics
        self._log = get_logger("entry")
        self._route = SearchingRoute(settings.seeds)
        self._link = make_leader_link(self._route, settings.exchange_timeout_s)
        self._leader = MeasuredLeaderClient(
            RemoteLeaderClient(self._link), DecisionLog(self._log, metrics), metrics
        )
        self._guards = ProcessGuards(
            ClientLimitTerms.from_settings(settings), self._log, metrics
        )
        self._callers = self._guards.make_callers()
        self._probe = LeaderProbe(self._leader, self._route, metrics, self._callers)
        self._watch = SettingsWatch(source, self._route.replace_seeds, self._log)
        self._draining = False
        self._servers = HttpServerGroup()

    @classmethod
    def from_settings(
        cls,
        settings: WorkloadEntrySettings,
        adapter: EntryAdapter,
        source: SettingsSource,
        metrics: MetricsRegistry,
    ) -> "WorkloadEntryApplication":
        """Build the application of a process."""
        return cls(settings, adapter, source, metrics)

    def _is_ready(self) -> bool:
        return not self._draining and self._probe.is_fresh

    async def _show_metrics(self, request: Request) -> PlainTextResponse:
        return PlainTextResponse(self._metrics.render())

    async def start(self, tasks: TaskGroup) -> None:
        """Bind the sockets and start all tasks."""
        settings = self._settings
        routes = {
            settings.public_listen: (
                self._guards.queue_large_requests(
                    self._adapter.list_routes(self._leader), "callers"
                ),
                self._callers.guard,
            ),
            settings.readiness_listen: (
                self._adapter.list_readiness_routes(self._is_ready),
                self._guards.make_probe(),
            ),
            settings.listen: (
                [Route("/metrics", self._show_metrics, methods=["GET"])],
                self._guards.make_metrics(),
            ),
        }
        for address, (listed, guard) in routes.items():
            self._servers.start(tasks, address, listed, guard)
        tasks.start_soon(self._link.run)
        tasks.start_soon(self._probe.run)
        tasks.start_soon(self._watch.run)
        self._log.info(
            "started",
            address=settings.public_listen,
            availability_zone=settings.availability_zone,
            seeds=list(settings.seeds),
        )

    async def reload(self) -> None:
        """Reload the settings."""
        self._watch.reload("SIGHUP")

    async def drain(self) -> None:
        """Fail the readiness check, then finish the requests in flight."""
        self._log.info("draining")
        self._draining = True
        self._servers.close_keepalive_connections()
        await anyio.sleep(self._settings.drain_notice_s)
        await self._servers.stop(self._settings.drain_timeout_s)
        self._log.info("stopped")

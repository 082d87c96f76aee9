"""Control process of workloads with a replica."""

import functools
import random

import anyio
from anyio.abc import TaskGroup

from tanagerpath.codecs.state import JsonFleetCodec
from tanagerpath.core.admission import SearchingRoute
from tanagerpath.core.consensus import (
    LossTolerance,
    Replica,
    ReplicaConfig,
    RestoredState,
)
from tanagerpath.core.control import ControlAction, ReplicatedNode
from tanagerpath.core.coordination import RecordPeriod
from tanagerpath.core.workloads import (
    AdmissionDecided,
    DeadlinePolicy,
    DeadlineTerms,
    DispatchTerms,
    LeaseTerms,
    LogDecision,
    ReportEvacuation,
    ReportStanding,
    WaitReason,
    WorkloadNode,
    WorkloadNodeConfig,
)
from tanagerpath.observability.decisions import DecisionLog
from tanagerpath.runtime import Clock, Mailbox
from tanagerpath.runtime.server import HttpServer, bind_listener
from tanagerpath.services.adapters import (
    ControlAdapter,
    LocalLeaderClient,
    RemoteLeaderClient,
    SettingsSource,
)
from tanagerpath.services.client_limits import ClientLimitTerms
from tanagerpath.services.links import LinkSet, UpstreamCodec
from tanagerpath.services.peers import PeerSet
from tanagerpath.services.replica_application import ReplicaApplication
from tanagerpath.services.replica_notices import ReplicaNotifier
from tanagerpath.services.replica_task import ReplicaTask
from tanagerpath.services.settings_watch import SettingsWatch
from tanagerpath.services.workload_protocol import WORKLOAD_PROTOCOL, make_leader_link
from tanagerpath.settings import WorkloadControlSettings

__all__ = ["WorkloadControlApplication", "WorkloadControlTask", "make_node_config"]

# A renewal must reach the upstream before the longest lease that it accepts expires.
LEASE_FRACTION = 0.95
# An unanswered start is stopped after half of the time that gang members wait.
START_TIMEOUT_FRACTION = 0.5
# Ended workloads are shown somewhat longer than the guaranteed time.
RETENTION_MARGIN_S = 30.0


def make_node_config(settings: WorkloadControlSettings) -> WorkloadNodeConfig:
    """Return the configuration of the workload node."""
    addresses = dict.fromkeys((*settings.seeds, settings.listen))
    vms = {address.rpartition(":")[0]: address for address in addresses}
    replica = ReplicaConfig(
        vm_id=settings.listen.rpartition(":")[0],
        address=settings.listen,
        vms=vms,
        may_found=settings.may_found and settings.listen in settings.seeds,
        heartbeat_interval_s=settings.heartbeat_interval_s,
        election_timeout_min_s=settings.election_timeout_min_s,
        election_timeout_max_s=settings.election_timeout_max_s,
        lease_duration_s=settings.lease_duration_s,
        replace_voter_after_s=settings.replace_voter_after_s,
        snapshot_after_entries=settings.snapshot_every_entries,
        fault_domain=settings.fault_domain,
        tolerated_losses=LossTolerance(
            vms=settings.tolerated_vms,
            fault_domains=settings.tolerated_fault_domains,
        ),
    )
    dispatch = DispatchTerms(
        leases=LeaseTerms(lease_s=settings.max_lease_s * LEASE_FRACTION),
        start_timeout_s=settings.gang_timeout_s * START_TIMEOUT_FRACTION,
        stop_timeout_s=settings.stop_timeout_s,
        remote_factor=settings.remote_factor,
        checkpoint_interval_s=settings.checkpoint_interval_s,
        interference_s=settings.interference_s,
        guaranteed_start_s=settings.guaranteed_start_s,
        evacuation_s=settings.evacuation_s,
        availability_zones=settings.availability_zones,
        admission=settings.admission,
        retention_s=settings.status_retention_s + RETENTION_MARGIN_S,
        advice_address=settings.advice_address,
        platform_address=settings.platform_address,
    )
    return WorkloadNodeConfig(replica=replica, dispatch=dispatch)


class WorkloadControlTask(ReplicaTask):
    """Steps the workload node with messages and the time, and executes its actions.

    Parameters
    ----------
    node : WorkloadNode
        Makes all decisions.
    mailbox : Mailbox
        Receives all messages to this task.
    storage : Mailbox
        Mailbox of the storage task; receives `PersistState`.
    peers : PeerSet
        Connections to the other control processes.
    codec : UpstreamCodec
        Wire encoding of calls to upstreams.
    max_connections : int
        Maximum number of connections to each upstream.
    exchange_timeout_s : float
        Timeout of a call that has none of its own.
    clock : Clock
        Source of the current time.
    """

    def __init__(
        self,
        node: WorkloadNode,
        mailbox: Mailbox,
        storage: Mailbox,
        peers: PeerSet,
        codec: UpstreamCodec,
        max_connections: int,
        exchange_timeout_s: float,
        clock: Clock,
    ) -> None:
        super().__init__(node, mailbox, storage, peers, clock)
        self._codec = codec
        self._max_connections = max_connections
        self._exchange_timeout_s = exchange_timeout_s
        self._decisions = DecisionLog(self._log, self._metrics)
        self._task_decisions = DecisionLog(self._log, self._metrics)
        self._faults = DecisionLog(self._log, self._metrics)

    def _make_links(self, tasks: TaskGroup) -> LinkSet:
        return LinkSet(
            tasks,
            self._mailbox,
            self._codec,
            self._max_connections,
            self._exchange_timeout_s,
        )

    def _execute_node_action(self, action: ControlAction) -> None:
        match action:
            case LogDecision(name, fields, is_fault=True):
                self._faults.write(name, fields, is_error=True)
            case LogDecision(name, fields, is_about_task):
                log = self._task_decisions if is_about_task else self._decisions
                log.write(name, fields)
            case ReportEvacuation(zone, is_evacuated):
                self._metrics.set_gauge(
                    "zone_evacuated", int(is_evacuated), availability_zone=zone
                )
            case ReportStanding(counts, longest_s):
                self._report_standing(counts, longest_s)
            case AdmissionDecided(queue, organisation, outcome):
                self._metrics.count(
                    "admissions",
                    outcome=outcome,
                    queue=queue,
                    organisation=organisation,
                )
            case RecordPeriod(period, organisation, queue, elapsed_s):
                self._metrics.observe(str(period), elapsed_s, organisation, str(queue))

    def _report_standing(self, counts: dict[WaitReason, int], longest_s: float) -> None:
        """Set the gauges of all reasons, so that none keeps an earlier value."""
        for reason in WaitReason:
            self._metrics.set_gauge(
                "standing_workloads", counts.get(reason, 0), reason=str(reason)
            )
        self._metrics.set_gauge("longest_standing_seconds", longest_s)


class WorkloadControlApplication(ReplicaApplication):
    """All tasks of a control process of workloads.

    Parameters
    ----------
    settings : WorkloadControlSettings
        Settings of the process.
    adapter : ControlAdapter
        Translates the calls of operators and upstreams.
    codec : UpstreamCodec
        Wire encoding of calls to upstreams.
    source : SettingsSource
        Source of the settings that may change.
    clock : Clock, optional
        Source of the current time.
    """

    def __init__(
        self,
        settings: WorkloadControlSettings,
        adapter: ControlAdapter,
        codec: UpstreamCodec,
        source: SettingsSource,
        clock: Clock | None = None,
    ) -> None:
        super().__init__(
            settings.listen,
            settings.data_dir,
            settings.availability_zone,
            settings.drain_timeout_s,
            WORKLOAD_PROTOCOL,
            clock,
            ClientLimitTerms.from_settings(settings),
        )
        self._settings = settings
        self._adapter = adapter
        self._codec = codec
        self._route = SearchingRoute(settings.seeds)
        self._link = make_leader_link(self._route, settings.exchange_timeout_s)
        self._watch = SettingsWatch(source, self._route.replace_seeds, self._log)
        self._notifier = ReplicaNotifier(
            settings.listen, self._route, settings.exchange_timeout_s
        )
        self._public: HttpServer | None = None

    @classmethod
    def from_settings(
        cls,
        settings: WorkloadControlSettings,
        adapter: ControlAdapter,
        codec: UpstreamCodec,
        source: SettingsSource,
    ) -> "WorkloadControlApplication":
        """Build the application of a process."""
        return cls(settings, adapter, codec, source)

    def _make_node(
        self, restored: RestoredState, source: random.Random
    ) -> ReplicatedNode:
        config = make_node_config(self._settings)
        replica = Replica.from_config(config.replica, restored, source)
        make_policy = functools.partial(DeadlinePolicy.from_config, DeadlineTerms())
        return WorkloadNode(config, replica, JsonFleetCodec(), make_policy)

    def _make_task(
        self, node: ReplicatedNode, storage: Mailbox, peers: PeerSet
    ) -> ReplicaTask:
        return WorkloadControlTask(
            node,
            self._mailbox,
            storage,
            peers,
            self._codec,
            self._settings.upstream_connections,
            self._settings.exchange_timeout_s,
            self._clock,
        )

    async def start(self, tasks: TaskGroup) -> None:
        """Start the replica, then serve operators and upstreams."""
        await super().start(tasks)
        leader = LocalLeaderClient(self._mailbox, RemoteLeaderClient(self._link))
        self._public = HttpServer(
            bind_listener(self._settings.public_listen),
            self._guards.queue_large_requests(
                self._adapter.list_routes(leader), "operators"
            ),
            guard=self._guards.make_operators(self._adapter.list_body_rules()),
        )
        tasks.start_soon(self._link.run)
        tasks.start_soon(self._watch.run)
        tasks.start_soon(self._notifier.run)
        tasks.start_soon(self._public.run)

    async def reload(self) -> None:
        """Reload the settings."""
        self._watch.reload("SIGHUP")

    async def drain(self) -> None:
        """Transfer leadership, then finish the requests in flight."""
        self._public.close_keepalive_connections()
        with anyio.move_on_after(self._settings.drain_timeout_s * 2):
            await super().drain()
        await self._public.stop()

"""A whole deployment on loopback: real processes, and what can be done to them."""

import contextlib
import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

import anyio
import attrs
from returns.pipeline import is_successful

from tanagerpath.codecs import encode_json
from tanagerpath.core.model import GuaranteedShape, OrganisationTerms, ServiceDocument
from tanagerpath.core.protocol.callers import DocumentReply
from tanagerpath.core.protocol.internal import StatusReply
from tanagerpath.emulator.caller import CallerClient
from tanagerpath.emulator.deployment import SERVICE, Deployment, UpstreamGroup
from tanagerpath.emulator.faults import Faults
from tanagerpath.emulator.journal import Journal, JournalLine
from tanagerpath.emulator.processes import ProcessTable
from tanagerpath.runtime.client import HttpClient

__all__ = ["Cluster", "ClusterNotReady", "make_document"]

READY_LIMIT_S = 15.0
POLL_INTERVAL_S = 0.05


class ClusterNotReady(Exception):
    """The deployment did not reach a state in time."""


def make_document(revision: int, owner: str = "crew") -> ServiceDocument:
    """Return a revision of the document of the service."""
    return ServiceDocument(
        service=SERVICE,
        revision=revision,
        owner=owner,
        organisations=(
            OrganisationTerms("red", 48, (GuaranteedShape(16),)),
            OrganisationTerms("blue", 48),
        ),
    )


def find_vm(replica_id: str) -> str:
    """Return the VM of a replica, whose id is "<vm>.<random text>"."""
    return replica_id.rpartition(".")[0]


class Cluster:
    """Starts, harms and watches the processes of a deployment.

    Parameters
    ----------
    deployment : Deployment
        What to run.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.caller = CallerClient(deployment.entry_addresses)
        deployment.journals.mkdir(parents=True)
        self.processes = ProcessTable(deployment.folder)
        self._kills = Journal(deployment.journals / "kills.journal")

    @classmethod
    @contextlib.asynccontextmanager
    async def open(cls, deployment: Deployment) -> AsyncIterator["Cluster"]:
        """Run a deployment; end all its processes on the way out."""
        cluster = cls(deployment)
        try:
            yield cluster
        finally:
            cluster.processes.kill_all()
            with anyio.CancelScope(shield=True):
                await cluster.caller.close()

    def start_servers(self) -> None:
        """Start all control and entry processes."""
        for vm_id in self.deployment.control_ids:
            self.processes.start(self.deployment.plan_control(vm_id))
        for vm_id in self.deployment.entry_ids:
            self.processes.start(self.deployment.plan_entry(vm_id))

    def start_upstreams(self) -> None:
        """Start all groups of stand-in upstreams."""
        for group in self.deployment.groups:
            self.processes.start(self.deployment.plan_upstreams(group))

    async def start_all(self) -> None:
        """Start everything, apply the first document and wait until all is ready."""
        self.start_servers()
        self.start_upstreams()
        await self.wait_for("entries", self.are_entries_ready)
        await self.wait_for("upstreams", self.are_upstreams_usable)
        await self.wait_for("document", self._apply_first)

    async def wait_for(
        self,
        what: str,
        condition: Callable[[], Awaitable[bool]],
        limit_s: float = READY_LIMIT_S,
    ) -> float:
        """Wait until a condition holds; return the seconds that it took.

        Raises
        ------
        ClusterNotReady
            If the condition does not hold within `limit_s` seconds.
        """
        began_s = anyio.current_time()
        while anyio.current_time() < began_s + limit_s:
            if await condition():
                return anyio.current_time() - began_s
            await anyio.sleep(POLL_INTERVAL_S)
        raise ClusterNotReady(f"{what}: not ready within {limit_s} s")

    async def are_entries_ready(self) -> bool:
        """Whether the readiness probe of every entry passes."""
        for _ in self.deployment.entry_ids:
            if not await self.caller.is_ready():
                return False
            self.caller.move_on()
        return True

    async def is_healthy(self, vm_id: str) -> bool:
        """Whether the process of a VM answers."""
        client = HttpClient(self.deployment.listen[vm_id])
        result = await client.exchange("GET", "/healthz")
        await client.close()
        return is_successful(result) and result.unwrap().status == 200

    async def are_upstreams_usable(self) -> bool:
        """Whether the leader counts every upstream as usable."""
        status = await self.read_status()
        if status is None:
            return False
        expected = sum(group.count for group in self.deployment.groups)
        usable = [u for u in status.upstreams if u.condition == "usable"]
        return len(usable) == expected

    async def _apply_first(self) -> bool:
        outcome = await self.caller.apply(make_document(1))
        return isinstance(outcome.value, DocumentReply)

    async def read_status(self) -> StatusReply | None:
        """Return the status that an entry gives, or None if it has none now."""
        outcome = await self.caller.read_status()
        if isinstance(outcome.value, StatusReply):
            return outcome.value
        self.caller.move_on()
        return None

    async def find_leader(self) -> str:
        """Return the VM of the leader."""
        found: list[str] = []

        async def ask() -> bool:
            status = await self.read_status()
            if status is not None and status.leader_id:
                found.append(find_vm(status.leader_id))
            return bool(found)

        await self.wait_for("leader", ask)
        return found[0]

    async def find_followers(self) -> list[str]:
        """Return the other control VMs."""
        leader_id = await self.find_leader()
        return [vm_id for vm_id in self.deployment.control_ids if vm_id != leader_id]

    async def is_idle(self) -> bool:
        """Whether no job waits or runs and no accelerator is held."""
        status = await self.read_status()
        if status is None:
            return False
        held = sum(upstream.held for upstream in status.upstreams)
        return status.queued_jobs + status.running_jobs + held == 0

    def restart(self, name: str) -> None:
        """Start a process that has ended again, with the same data directory."""
        if name in self.deployment.control_ids:
            self.processes.start(self.deployment.plan_control(name))
        elif name in self.deployment.entry_ids:
            self.processes.start(self.deployment.plan_entry(name))
        else:
            self.processes.start(self.deployment.plan_upstreams(self.find_group(name)))

    def kill_upstreams(self, name: str) -> None:
        """Kill a group of upstreams and note it in the journals."""
        self.processes.kill(name)
        for upstream_id in self.find_group(name).upstream_ids:
            self._kills.append(JournalLine(time.time(), upstream_id, "killed"))

    def find_group(self, name: str) -> UpstreamGroup:
        """Return the group of upstreams with a name."""
        return next(g for g in self.deployment.groups if g.name == name)

    def find_upstream_addresses(self, name: str) -> Mapping[str, str]:
        """Return the addresses on which the upstreams of a group listen, by id."""
        addresses: dict[str, str] = {}
        for text in self.processes.find_log(name).read_text().splitlines():
            if text.startswith('{"ready"'):
                addresses = json.loads(text)["upstreams"]
        return addresses

    async def set_faults(self, upstream_id: str, faults: Faults) -> None:
        """Set the faults of one stand-in upstream."""
        await self._post(upstream_id, "/emulator/v1/faults", faults)

    async def set_all_faults(self, faults: Faults) -> None:
        """Set the faults of all stand-in upstreams."""
        for group in self.deployment.groups:
            for upstream_id in group.upstream_ids:
                await self.set_faults(upstream_id, faults)

    async def leave(self, upstream_id: str) -> None:
        """Make one stand-in upstream leave."""
        await self._post(upstream_id, "/emulator/v1/leave", None)

    async def _post(self, upstream_id: str, path: str, message: object) -> None:
        group = next(g for g in self.deployment.groups if upstream_id in g.upstream_ids)
        client = HttpClient(self.find_upstream_addresses(group.name)[upstream_id])
        body = encode_json(message).encode() if attrs.has(type(message)) else b""
        result = await client.exchange("POST", path, body)
        await client.close()
        if not is_successful(result) or result.unwrap().status != 200:
            raise ClusterNotReady(f"{upstream_id} did not take {path}")

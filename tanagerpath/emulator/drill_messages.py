"""Cases of the fault drill in which messages and connections go wrong."""

import pathlib

import anyio
import attrs
from anyio.abc import TaskGroup

from tanagerpath.codecs import encode_json
from tanagerpath.core.model import JobClass, OrganisationTerms, ServiceDocument
from tanagerpath.core.protocol.callers import DocumentReply, DocumentRequest, JobReply
from tanagerpath.emulator.addresses import find_free_addresses
from tanagerpath.emulator.caller import CallerClient
from tanagerpath.emulator.cluster import Cluster, make_document
from tanagerpath.emulator.deployment import (
    SERVICE,
    Deployment,
    UpstreamGroup,
)
from tanagerpath.emulator.drill_case import DrillCase
from tanagerpath.emulator.faults import Faults, ReportFaultKind
from tanagerpath.emulator.load_plan import CHECK, JobKind, LoadReport
from tanagerpath.emulator.proxy import ProxyMode, SilentProxy
from tanagerpath.runtime.client import HttpClient

__all__ = ["MESSAGE_CASES"]

BEGIN_AFTER_S = 1.5
SILENT_S = 9.0
CUT_OFF_S = 6.0
IN_FORCE_BOUND_S = 5.0
CANCELLED_JOBS = 150
ROUNDS = 8
LOST_ANSWER_TIMEOUT_S = 0.002
WAVE = JobKind("wave", JobClass.BATCH, 1.0, accelerators=8, run_ms=500)
SMALL = (
    CHECK,
    JobKind("once", JobClass.STANDARD, 10.0, run_ms=50, idempotent=False),
)


async def open_proxy(target: str, tasks: TaskGroup) -> SilentProxy:
    """Run a proxy to an address."""
    proxy = await SilentProxy.from_target(target)
    tasks.start_soon(proxy.run)
    return proxy


class SilentUpstreamConnections(DrillCase):
    """The connections that the leader keeps to an upstream go silent, twice."""

    name = "silent_upstream_connections"

    async def plan(self, folder: pathlib.Path, tasks: TaskGroup) -> Deployment:
        """Put a proxy between the leader and one upstream."""
        deployment = Deployment.from_folder(folder)
        listen = find_free_addresses(1)[0]
        self.proxy = await open_proxy(listen, tasks)
        first, second = deployment.groups
        second = attrs.evolve(second, count=second.count - 1)
        last = UpstreamGroup("uc", 8, 1, "b", 3, listen, self.proxy.address)
        return attrs.evolve(deployment, groups=(first, second, last))

    async def disturb(self, cluster: Cluster) -> None:
        """Silence the open connections."""
        for _ in range(2):
            await anyio.sleep(BEGIN_AFTER_S)
            self.expect(self.proxy.open_links > 0, "no connection to silence")
            self.proxy.set_mode(ProxyMode.SILENCE_OPEN)


class SilentUpstream(SilentUpstreamConnections):
    """One upstream cannot be reached for longer than its lease plus margin."""

    name = "silent_upstream"
    may_end_unknown = True
    job_limit_s = 40.0
    limit_s = 90.0

    async def disturb(self, cluster: Cluster) -> None:
        """Silence everything for a while."""
        await anyio.sleep(BEGIN_AFTER_S)
        self.proxy.set_mode(ProxyMode.SILENT)
        await anyio.sleep(SILENT_S)
        self.proxy.set_mode(ProxyMode.PASS)
        took_s = await cluster.wait_for("u8", cluster.are_upstreams_usable)
        self.measured["usable_again_s"] = round(took_s, 3)


class SilentControlConnections(DrillCase):
    """All connections to control processes, of entries and of peers, go silent."""

    name = "silent_control_connections"

    async def plan(self, folder: pathlib.Path, tasks: TaskGroup) -> Deployment:
        """Put a proxy in front of each control process."""
        deployment = Deployment.from_folder(folder)
        self.proxies: dict[str, SilentProxy] = {}
        for vm_id, address in deployment.control_addresses.items():
            self.proxies[vm_id] = await open_proxy(address, tasks)
        known = {vm_id: proxy.address for vm_id, proxy in self.proxies.items()}
        return attrs.evolve(deployment, control_addresses=known)

    async def disturb(self, cluster: Cluster) -> None:
        """Silence the open connections, twice."""
        for _ in range(2):
            await anyio.sleep(BEGIN_AFTER_S)
            for proxy in self.proxies.values():
                proxy.set_mode(ProxyMode.SILENCE_OPEN)


class LeaderCutOff(SilentControlConnections):
    """Nothing reaches the leader any more, while what it sends arrives."""

    name = "leader_cut_off"

    async def disturb(self, cluster: Cluster) -> None:
        """Cut the leader off and let it come back."""
        await anyio.sleep(BEGIN_AFTER_S)
        leader_id = await cluster.find_leader()
        self.proxies[leader_id].set_mode(ProxyMode.SILENT)
        began_s = anyio.current_time()

        async def has_next_leader() -> bool:
            return await cluster.find_leader() != leader_id

        await cluster.wait_for("next leader", has_next_leader)
        took_s = anyio.current_time() - began_s
        self.measured["new_leader_s"] = round(took_s, 3)
        await anyio.sleep(CUT_OFF_S)
        self.proxies[leader_id].set_mode(ProxyMode.PASS)


class OperatorsRace(DrillCase):
    """Operators race with equal revisions and send again after lost answers."""

    name = "operators_race"

    async def disturb(self, cluster: Cluster) -> None:
        """Let three operators change the document at the same time, many times."""
        addresses = cluster.deployment.entry_addresses
        operators = [CallerClient(addresses, number) for number in range(3)]
        for revision in range(2, ROUNDS + 2):
            await self._race(operators, revision)
            await self._lose_answer(cluster, revision)
        last = make_document(ROUNDS + 2)
        terms = (*last.organisations, OrganisationTerms("green", 8))
        last = attrs.evolve(last, organisations=terms)
        await self._expect_in_force(operators, last)
        for operator in operators:
            await operator.close()

    async def _race(self, operators: list[CallerClient], revision: int) -> None:
        outcomes: dict[int, object] = {}

        async def apply(number: int) -> None:
            document = make_document(revision, owner=f"crew-{number}")
            outcomes[number] = await operators[number].apply(document)

        async with anyio.create_task_group() as tasks:
            for number in range(len(operators)):
                tasks.start_soon(apply, number)
        winners = [n for n, o in outcomes.items() if isinstance(o.value, DocumentReply)]
        self.expect(len(winners) == 1, f"revision {revision}: winners {winners}")
        for number, outcome in outcomes.items():
            if number not in winners:
                self._expect_conflict(outcome, revision)
        self._winner = f"crew-{winners[0]}" if winners else ""

    def _expect_conflict(self, outcome, revision: int) -> None:
        error = outcome.error
        named = error is not None and error.type == "RevisionConflict"
        self.expect(
            named and error.current_revision == revision,
            f"revision {revision}: {outcome} is no conflict",
        )

    async def _lose_answer(self, cluster: Cluster, revision: int) -> None:
        """Send the winning document twice; the first answer is not waited for."""
        document = make_document(revision, owner=self._winner)
        hasty = HttpClient(cluster.deployment.entry_addresses[0])
        path = f"/v1/services/{SERVICE}/document"
        body = encode_json(DocumentRequest(document)).encode()
        await hasty.exchange("PUT", path, body, timeout_s=LOST_ANSWER_TIMEOUT_S)
        await hasty.close()
        again = await cluster.caller.apply(document)
        same = isinstance(again.value, DocumentReply)
        self.expect(
            same and again.value.document == document,
            f"revision {revision} sent again: {again}",
        )

    async def _expect_in_force(
        self, operators: list[CallerClient], document: ServiceDocument
    ) -> None:
        """Expect every entry to admit a new organisation within the bound."""
        outcome = await operators[0].apply(document)
        self.expect(isinstance(outcome.value, DocumentReply), f"refused: {outcome}")
        began_s = anyio.current_time()
        for number, operator in enumerate(operators):
            job = CHECK.make_job("green", SERVICE, f"green-{number}")
            while anyio.current_time() < began_s + 2 * IN_FORCE_BOUND_S:
                if isinstance((await operator.submit(job, 0.0)).value, JobReply):
                    break
                await anyio.sleep(0.02)
        took_s = anyio.current_time() - began_s
        self.expect_within("in_force_s", took_s, IN_FORCE_BOUND_S)


class CancelWave(DrillCase):
    """Many jobs are submitted and cancelled at once while others go on."""

    name = "cancel_wave"
    mix = SMALL

    async def disturb(self, cluster: Cluster) -> None:
        """Submit jobs and cancel all of them at the same time."""
        await anyio.sleep(BEGIN_AFTER_S)
        addresses = cluster.deployment.entry_addresses
        callers = [CallerClient(addresses, number) for number in range(12)]
        self.ends: dict[str, int] = {}
        async with anyio.create_task_group() as tasks:
            for number, caller in enumerate(callers):
                tasks.start_soon(self._submit_and_cancel, caller, number)
        for caller in callers:
            await caller.close()
        self.measured |= {f"wave_{state}": n for state, n in self.ends.items()}
        total = sum(self.ends.values())
        self.expect(total == CANCELLED_JOBS, f"{total} of the wave's jobs ended")
        known = self.ends.keys() <= {"cancelled", "answered"}
        self.expect(known, f"ends of the wave: {self.ends}")

    async def _submit_and_cancel(self, caller: CallerClient, number: int) -> None:
        keys = [f"wave-{n}" for n in range(number, CANCELLED_JOBS, 12)]
        job_ids: list[str] = []
        for key in keys:
            outcome = await caller.submit(WAVE.make_job("blue", SERVICE, key), 0.0)
            if isinstance(outcome.value, JobReply):
                job_ids.append(outcome.value.job_id)
        for job_id in job_ids:
            await caller.cancel(job_id)
        for job_id in job_ids:
            await self._await_end(caller, job_id)

    async def _await_end(self, caller: CallerClient, job_id: str) -> None:
        limit_s = anyio.current_time() + self.job_limit_s
        while anyio.current_time() < limit_s:
            reply = (await caller.poll(job_id, 1.0)).value
            if isinstance(reply, JobReply) and reply.state.is_final:
                state = reply.state.value
                self.ends[state] = self.ends.get(state, 0) + 1
                return
            await anyio.sleep(0.05)


class ReportFaultCase(DrillCase):
    """The first delivery of each report goes wrong in one way."""

    mix = SMALL
    jobs = 80
    kind = ReportFaultKind.NONE

    async def prepare(self, cluster: Cluster) -> None:
        """Set the fault on all upstreams."""
        await cluster.set_all_faults(Faults(reports=self.kind))

    async def disturb(self, cluster: Cluster) -> None:
        """Leave the faults in force during the load."""
        return None

    async def check(self, cluster: Cluster, report: LoadReport) -> None:
        """Expect that the jobs did run, so that the fault had something to bend."""
        lines = self.read_journals(cluster)
        finished = sum(line.event == "finished" for line in lines)
        self.expect(finished >= self.jobs, f"only {finished} tasks finished")


class ReportsLate(ReportFaultCase):
    """Reports arrive late."""

    name = "reports_late"
    kind = ReportFaultKind.LATE


class ReportsDoubled(ReportFaultCase):
    """Reports arrive twice."""

    name = "reports_doubled"
    kind = ReportFaultKind.DOUBLED


class ReportsCut(ReportFaultCase):
    """Answers arrive cut at first."""

    name = "reports_cut"
    kind = ReportFaultKind.CUT


class ReportsWrongDigest(ReportFaultCase):
    """Answers arrive with a wrong digest at first."""

    name = "reports_wrong_digest"
    kind = ReportFaultKind.WRONG_DIGEST


class ReportsCrossedAnswer(ReportFaultCase):
    """Reports carry the answer of another job at first."""

    name = "reports_crossed_answer"
    kind = ReportFaultKind.CROSSED_ANSWER


class ReportsCrossedJob(ReportFaultCase):
    """Reports name another job at first."""

    name = "reports_crossed_job"
    kind = ReportFaultKind.CROSSED_JOB


MESSAGE_CASES: tuple[type[DrillCase], ...] = (
    SilentUpstreamConnections,
    SilentUpstream,
    SilentControlConnections,
    LeaderCutOff,
    OperatorsRace,
    CancelWave,
    ReportsLate,
    ReportsDoubled,
    ReportsCut,
    ReportsWrongDigest,
    ReportsCrossedAnswer,
    ReportsCrossedJob,
)

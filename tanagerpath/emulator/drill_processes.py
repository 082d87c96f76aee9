"""Cases of the fault drill in which processes die, freeze, restart or leave."""

import pathlib
import shutil
import time

import anyio
import attrs
from anyio.abc import TaskGroup

from tanagerpath.core.model import JobClass
from tanagerpath.core.protocol.callers import DocumentReply
from tanagerpath.emulator.cluster import Cluster, make_document
from tanagerpath.emulator.deployment import SERVICE, Deployment
from tanagerpath.emulator.drill_case import DrillCase
from tanagerpath.emulator.faults import Faults
from tanagerpath.emulator.load_plan import CHECK, JobKind, LoadReport

__all__ = ["PROCESS_CASES"]

BEGIN_AFTER_S = 1.5
# The design page states about 2 s for a killed leader and 3 s for one that is cut off.
NEW_LEADER_BOUND_S = 3.0
LEAVE_BOUND_S = 2.0
FROZEN_S = 4.0
CATCH_UP_S = 0.5
CHANGES = 500
# In the other cases a process that starts slowly must not count as lost for good.
REPLACE_VOTER_AFTER_S = 3.0
GANGS = (
    CHECK,
    JobKind("gang", JobClass.STANDARD, 2.0, accelerators=16, run_ms=3000),
)
# Work that is never preempted, so that each stop is a cut. It fits beside the planned
# and spare runs of the document, which it may not use: into 16 of 64 accelerators.
STEADY = (
    JobKind("check", JobClass.URGENT, 10.0, idempotent=False),
    JobKind("pair", JobClass.STANDARD, 2.0, 2, run_ms=500, idempotent=False),
)
STEADY_GANGS = (
    CHECK,
    JobKind("gang", JobClass.STANDARD, 0.3, 16, run_ms=3000, idempotent=False),
)


class LeaderKilled(DrillCase):
    """The leader is killed and starts again with its data directory."""

    name = "leader_killed"

    async def disturb(self, cluster: Cluster) -> None:
        """Kill the leader, wait for the next one, start the first one again."""
        await anyio.sleep(BEGIN_AFTER_S)
        await replace_leader(self, cluster, "new_leader_s")


async def replace_leader(case: DrillCase, cluster: Cluster, name: str) -> None:
    """Kill the leader, note how long the next one takes, restart the first one."""
    leader_id = await cluster.find_leader()
    began_s = anyio.current_time()
    cluster.processes.kill(leader_id)
    await cluster.find_leader()
    case.expect_within(name, anyio.current_time() - began_s, NEW_LEADER_BOUND_S)
    cluster.restart(leader_id)


class TwoLosses(DrillCase):
    """The next leader dies right after the first one was repaired."""

    name = "two_losses"

    async def disturb(self, cluster: Cluster) -> None:
        """Kill two leaders in a row."""
        await anyio.sleep(BEGIN_AFTER_S)
        await replace_leader(self, cluster, "new_leader_s")
        await anyio.sleep(1.0)
        await replace_leader(self, cluster, "second_new_leader_s")


class LeaderFrozen(DrillCase):
    """The leader is frozen past its lease and resumes while another one leads."""

    name = "leader_frozen"

    async def disturb(self, cluster: Cluster) -> None:
        """Freeze and resume the leader."""
        await anyio.sleep(BEGIN_AFTER_S)
        leader_id = await cluster.find_leader()
        began_s = anyio.current_time()
        cluster.processes.freeze(leader_id)
        next_id = await cluster.find_leader()
        self.expect(next_id != leader_id, "a frozen leader still answers")
        took_s = anyio.current_time() - began_s
        self.expect_within("new_leader_s", took_s, NEW_LEADER_BOUND_S)
        await anyio.sleep(FROZEN_S)
        cluster.processes.resume(leader_id)


class EntryKilled(DrillCase):
    """An entry is killed with requests in flight."""

    name = "entry_killed"

    async def disturb(self, cluster: Cluster) -> None:
        """Kill an entry and start it again."""
        await anyio.sleep(BEGIN_AFTER_S)
        cluster.processes.kill("e1")
        await anyio.sleep(2.0)
        cluster.restart("e1")


class FollowerEmptied(DrillCase):
    """A follower loses its disk; it must become a voter again by itself."""

    name = "follower_emptied"
    limit_s = 90.0

    async def plan(self, folder: pathlib.Path, tasks: TaskGroup) -> Deployment:
        """Let a lost voter be replaced sooner than after the default of 60 s."""
        deployment = Deployment.from_folder(folder)
        return attrs.evolve(deployment, replace_voter_after_s=REPLACE_VOTER_AFTER_S)

    async def disturb(self, cluster: Cluster) -> None:
        """Empty a follower; once it votes again, kill the leader."""
        await anyio.sleep(BEGIN_AFTER_S)
        follower_id = (await cluster.find_followers())[0]
        before = (await self._read_voters(cluster)) or ()
        cluster.processes.kill(follower_id)
        shutil.rmtree(cluster.deployment.find_data_dir(follower_id))
        cluster.restart(follower_id)

        async def has_new_voter() -> bool:
            voters = await self._read_voters(cluster)
            return voters is not None and len(voters) == 3 and voters != before

        took_s = await cluster.wait_for("third voter", has_new_voter, 30.0)
        self.measured["third_voter_s"] = round(took_s, 3)
        await replace_leader(self, cluster, "new_leader_s")

    async def _read_voters(self, cluster: Cluster) -> tuple[str, ...] | None:
        status = await cluster.read_status()
        return None if status is None else tuple(sorted(status.voters))


class UpstreamKilledMidGang(DrillCase):
    """Four upstreams die while gangs run on them."""

    name = "upstream_killed_mid_gang"
    mix = GANGS
    jobs = 100
    job_limit_s = 40.0
    limit_s = 90.0

    async def disturb(self, cluster: Cluster) -> None:
        """Kill a process of upstreams and start it again."""
        await anyio.sleep(2.5)
        cluster.kill_upstreams("ub")
        await anyio.sleep(1.0)
        cluster.restart("ub")


class FailingUpstream(DrillCase):
    """An upstream fails all starts and recovers later."""

    name = "failing_upstream"

    async def prepare(self, cluster: Cluster) -> None:
        """Make all starts of one upstream fail."""
        await cluster.set_faults("u1", Faults(fail_starts=True))

    async def disturb(self, cluster: Cluster) -> None:
        """Leave the upstream broken during the load."""
        return None

    async def check(self, cluster: Cluster, report: LoadReport) -> None:
        """Expect few starts there, and recovery once it works."""
        lines = self.read_journals(cluster)
        failed = sum(line.event == "failed_to_start" for line in lines)
        self.measured["failed_starts"] = failed
        self.expect(failed > 0, "the failing upstream was never tried")
        await cluster.set_faults("u1", Faults())
        took_s = await cluster.wait_for("u1", cluster.are_upstreams_usable, 30.0)
        self.measured["recovery_s"] = round(took_s, 3)


class UpstreamDraining(DrillCase):
    """An upstream leaves: nothing new after 2 s, and nothing that runs is cut."""

    name = "upstream_draining"
    mix = STEADY

    async def disturb(self, cluster: Cluster) -> None:
        """Make an upstream leave."""
        await anyio.sleep(BEGIN_AFTER_S)
        self._left_unix_s = time.time()
        await cluster.leave("u1")

    async def check(self, cluster: Cluster, report: LoadReport) -> None:
        """Look for late starts and cut tasks on the upstream."""
        lines = [x for x in self.read_journals(cluster) if x.upstream_id == "u1"]
        bound_s = self._left_unix_s + LEAVE_BOUND_S
        late = [x for x in lines if x.event == "started" and x.unix_s > bound_s]
        cut = [x for x in lines if x.event in ("stopped", "lease_ended")]
        self.expect(not late, f"{len(late)} starts after the upstream had left")
        self.expect(not cut, f"{len(cut)} tasks of the leaving upstream were cut")


class RollingRestart(DrillCase):
    """Every process restarts gracefully, one after the other; nothing is cut."""

    name = "rolling_restart"
    mix = STEADY
    jobs = 600
    limit_s = 120.0

    async def disturb(self, cluster: Cluster) -> None:
        """Restart entries, followers, the leader and the upstreams."""
        await anyio.sleep(BEGIN_AFTER_S)
        for vm_id in cluster.deployment.entry_ids:
            await self._restart(cluster, vm_id)
        followers = await cluster.find_followers()
        leader_id = await cluster.find_leader()
        for vm_id in [*followers, leader_id]:
            await self._restart(cluster, vm_id)
            await cluster.find_leader()
        for group in cluster.deployment.groups:
            await self._restart(cluster, group.name)

    async def _restart(self, cluster: Cluster, name: str) -> None:
        status = await cluster.processes.stop(name)
        self.expect(status == 0, f"{name} ended with status {status}")
        cluster.restart(name)
        if name in cluster.deployment.listen:
            await cluster.wait_for(name, lambda: cluster.is_healthy(name))
            # A replica answers before it has caught up.
            await anyio.sleep(CATCH_UP_S)
        await cluster.wait_for("entries", cluster.are_entries_ready)
        await cluster.wait_for("upstreams", cluster.are_upstreams_usable)

    async def check(self, cluster: Cluster, report: LoadReport) -> None:
        """Look for cut exchanges and cut tasks."""
        self.expect(report.cut == 0, f"{report.cut} exchanges were cut")
        lines = self.read_journals(cluster)
        cut = sum(line.event in ("stopped", "lease_ended") for line in lines)
        self.expect(cut == 0, f"{cut} tasks were cut")


class GangsAcrossRestarts(DrillCase):
    """Gangs that may not be preempted go on being placed while upstreams restart."""

    name = "gangs_across_restarts"
    mix = STEADY_GANGS

    async def disturb(self, cluster: Cluster) -> None:
        """Restart both groups of upstreams gracefully."""
        await anyio.sleep(BEGIN_AFTER_S)
        for group in cluster.deployment.groups:
            await cluster.processes.stop(group.name)
            cluster.restart(group.name)
            await cluster.wait_for("upstreams", cluster.are_upstreams_usable)


class RestartAfterChanges(DrillCase):
    """All control processes die after hundreds of changes and come back."""

    name = "restart_after_500_changes"
    limit_s = 120.0
    rate_per_s = 10.0

    async def disturb(self, cluster: Cluster) -> None:
        """Apply documents, kill all control processes, start them again."""
        began_s = anyio.current_time()
        for revision in range(2, CHANGES + 2):
            outcome = await cluster.caller.apply(make_document(revision))
            if not isinstance(outcome.value, DocumentReply):
                self.faults.append(f"revision {revision} was refused: {outcome}")
                return
        self.measured["changes_s"] = round(anyio.current_time() - began_s, 3)
        for vm_id in cluster.deployment.control_ids:
            cluster.processes.kill(vm_id)
        for vm_id in cluster.deployment.control_ids:
            cluster.restart(vm_id)
        began_s = anyio.current_time()
        await cluster.find_leader()
        self.measured["restart_s"] = round(anyio.current_time() - began_s, 3)
        outcome = await cluster.caller.read_document(SERVICE)
        reply = outcome.value
        found = reply.document.revision if isinstance(reply, DocumentReply) else None
        self.expect(found == CHANGES + 1, f"revision {found} after the restart")


PROCESS_CASES: tuple[type[DrillCase], ...] = (
    LeaderKilled,
    TwoLosses,
    LeaderFrozen,
    EntryKilled,
    FollowerEmptied,
    UpstreamKilledMidGang,
    FailingUpstream,
    UpstreamDraining,
    RollingRestart,
    GangsAcrossRestarts,
    RestartAfterChanges,
)

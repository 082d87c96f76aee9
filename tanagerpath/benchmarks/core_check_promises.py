"""Promises of the whole core, judged by what happens outside it.

The judge sees what upstreams ran, and what callers, operators and entries were told.
Of the control nodes it reads only the documents in force and the leader's lease.
"""

import hashlib
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from tanagerpath.benchmarks.core_check_runs import RunLedger
from tanagerpath.benchmarks.core_check_world import Party, World
from tanagerpath.benchmarks.invariant import could_reclaim_all
from tanagerpath.core.consensus.invariants import InvariantMonitor
from tanagerpath.core.model import JobRequest, JobState, ServiceDocument
from tanagerpath.core.placement import UpstreamCondition
from tanagerpath.core.protocol import internal
from tanagerpath.core.protocol.callers import DocumentReply, JobReply
from tanagerpath.core.protocol.upstreams import ReserveRequest
from tanagerpath.emulator.scripts import verify_answer
from tanagerpath.emulator.tasks_table import MemberEvent

__all__ = ["PromiseBroken", "Promises"]

# The bound of an entry's staleness, on the slowest clock that the check draws.
FRESHNESS_LIMIT_S = 3.0 * 1.01


@attrs.frozen
class PromiseBroken:
    """A promise that the core has broken.

    Attributes
    ----------
    promise : int
        Number of the promise; 0 for the end of the run after all faults.
    at_s : float
        Virtual instant.
    detail : str
        What was seen.
    """

    promise: int
    at_s: float
    detail: str


class _GroupMonitor(InvariantMonitor):
    """Consensus invariants for nodes, whose snapshots hold the encoded state."""

    def _check_restored(self, vm: Any, action: Any) -> None:
        self._positions[vm.vm_id, vm.starts] = action.snapshot.last_index

    def _check_leases(self, vm: Any) -> None:
        """Check the steps of holders only, as a lease begins with a step."""
        if vm.has_lease:
            super()._check_leases(vm)


@attrs.define
class _Group:
    """What the consensus invariants read of the world."""

    world: World
    vms: Mapping[str, Any] = attrs.field(factory=dict)

    @property
    def now_s(self) -> float:
        return self.world.now_s

    def has_lease(self, vm: Any) -> bool:
        return vm.has_lease


@attrs.frozen
class _Acceptance:
    service: str
    revision: int
    at_s: float


class Promises:
    """Sees everything that leaves the core and keeps the broken promises.

    Parameters
    ----------
    world : World
        Gives the instants and takes the trace.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._group = _Group(world)
        self.monitor = _GroupMonitor(self._group)
        self.broken: list[PromiseBroken] = []
        self.runs = RunLedger(world, self.report)
        self.statuses_met = 0
        self._final: dict[str, JobReply] = {}
        self._contents: dict[tuple[str, int], ServiceDocument] = {}
        self._newest: dict[str, int] = {}
        self._acceptances: list[_Acceptance] = []
        self._views: dict[tuple[str, int, str], int] = {}
        self._terms: set[tuple[str, int]] = set()
        self._node_indices: dict[tuple[str, int], int] = {}

    def watch(self, controls: Iterable[Any]) -> None:
        """Name the control VMs whose leases and logs are checked."""
        self._group.vms = {vm.vm_id: vm for vm in controls}

    def report(self, promise: int, detail: str) -> None:
        """Note a broken promise."""
        self._world.note(f"BROKEN {promise}: {detail}")
        self.broken.append(PromiseBroken(promise, self._world.now_s, detail))

    # Upstreams

    def note_reserved(self, upstream: Party, request: ReserveRequest) -> None:
        """Note which accelerators a member holds."""
        self.runs.note_reserved(upstream.name, request)

    def note_member_event(self, upstream: Party, event: MemberEvent) -> None:
        """Take what an upstream says about a member."""
        self.runs.note_event(upstream, event)

    def note_upstream_crash(self, upstream: Party) -> None:
        """Note that all members on an upstream have ended."""
        self.runs.note_crash(upstream)

    def note_upstream_thaw(self, upstream: Party) -> None:
        """Check what goes on to run on an upstream that was frozen."""
        self.runs.note_thaw(upstream)

    # Callers

    def note_submitted(self, job_id: str, job: JobRequest) -> None:
        """Note a job before it is sent for the first time."""
        self.runs.jobs[job_id] = job

    def note_not_run(self, job_id: str, source: str) -> None:
        """Note that a caller was told that its job did not and will not run."""
        self._world.note(f"{job_id[:6]} told not run: {source}")
        self.runs.note_not_run(job_id, source)

    def note_forgotten(self, job_id: str) -> None:
        """Note that a caller was told that its accepted job is unknown."""
        self.report(3, f"accepted job {job_id} is unknown")

    def note_told(self, job_id: str, reply: JobReply) -> None:
        """Check the state of a job that its caller was told."""
        job = self.runs.jobs[job_id]
        if (reply.job_id, reply.key) != (job_id, job.key):
            self.report(3, f"caller of {job_id} was told about {reply.job_id}")
        if not reply.state.is_final:
            return
        known = self._final.setdefault(job_id, reply)
        if known is reply:
            self._world.note(f"{job_id[:6]} told {reply.state}")
        if (known.state, known.answer) != (reply.state, reply.answer):
            self.report(3, f"{job_id} was {known.state}, is now {reply.state}")
        if reply.state is JobState.ANSWERED and not _is_own_answer(job, reply):
            self.report(3, f"answer to {job_id} is not whole or not its own")
        if reply.error is not None and reply.error.not_run:
            self.note_not_run(job_id, reply.error.type)

    # Documents

    def note_leader_answer(self, vm: Any, request: object, reply: object) -> None:
        """Check what a leader answers at the instant of the answer."""
        match request, reply:
            case internal.ApplyRequest(document), DocumentReply(content):
                self._note_accepted(document, content)
            case internal.DocumentQuery(service), DocumentReply(content):
                self._check_content(vm.name, content)
                if content.revision < self._newest.get(service, 0):
                    self.report(6, f"{vm.name} shows old {service} {content.revision}")
            case internal.StatusRequest(), internal.StatusReply():
                self._check_guarantees(vm, reply)

    def _note_accepted(
        self, document: ServiceDocument, content: ServiceDocument
    ) -> None:
        if document != content:
            self.report(6, f"{content.service} {content.revision} is not as sent")
        self._check_content("an operator", content)
        service, revision = content.service, content.revision
        if revision > self._newest.get(service, 0):
            self._newest[service] = revision
            self._acceptances.append(_Acceptance(service, revision, self._world.now_s))
            self._world.note(f"{service} {revision} accepted")

    def _check_content(self, viewer: str, document: ServiceDocument) -> None:
        key = (document.service, document.revision)
        known = self._contents.setdefault(key, document)
        if known != document:
            self.report(6, f"{viewer}: two contents of {key}")

    def _check_view(self, party: Party, document: ServiceDocument) -> None:
        self._check_content(party.name, document)
        key = (party.name, party.starts, document.service)
        if document.revision < self._views.get(key, 0):
            self.report(6, f"{key} went back to {document.revision}")
        self._views[key] = document.revision

    def check_node(self, vm: Any) -> None:
        """Check documents and consensus after a step of a control node."""
        for violation in self.monitor.violations:
            self.report(8, f"{violation.rule}: {violation.vm_id} {violation.detail}")
        self.monitor.violations.clear()
        if vm.node is None:
            return
        if vm.node.is_deciding:
            self._note_term(vm)
        key = (vm.name, vm.starts)
        index = vm.node.state.applied_index
        if self._node_indices.get(key) != index:
            self._node_indices[key] = index
            for record in vm.node.state.documents.values():
                self._check_view(vm, record.document)

    def _note_term(self, vm: Any) -> None:
        term = (vm.name, vm.replica.term)
        if term not in self._terms:
            self._terms.add(term)
            self._world.note(f"{vm.name} decides in term {vm.replica.term}")
            self.runs.note_take_over()

    def check_entry(self, entry: Any) -> None:
        """Check the documents of an entry after it has taken a feed reply in."""
        for service in self._newest:
            document = entry.view.find_document(service)
            if document is not None:
                self._check_view(entry, document)
            elif (entry.name, entry.starts, service) in self._views:
                self.report(6, f"{entry.name} lost {service}")

    def check_freshness(self, entries: Iterable[Any]) -> None:
        """Check that fresh entries hold what was accepted long enough ago."""
        limit_s = self._world.now_s - FRESHNESS_LIMIT_S
        due = {a.service: a.revision for a in self._acceptances if a.at_s < limit_s}
        for entry in entries:
            if not entry.is_up or entry.frozen:
                continue
            if not entry.view.is_fresh(entry.local_s):
                continue
            for service, revision in due.items():
                if self._find_revision(entry, service) < revision:
                    self.report(7, f"fresh {entry.name} lacks {service} {revision}")

    def is_newest(self, entry: Any) -> bool:
        """Tell whether an entry is fresh and holds all newest documents."""
        return entry.view.is_fresh(entry.local_s) and all(
            self._find_revision(entry, service) >= revision
            for service, revision in self._newest.items()
        )

    def _find_revision(self, entry: Any, service: str) -> int:
        document = entry.view.find_document(service)
        return document.revision if document else 0

    # Guarantees

    def _check_guarantees(self, vm: Any, reply: internal.StatusReply) -> None:
        if any(line.unmet_guarantees for line in reply.organisations):
            return
        self.statuses_met += 1
        usable_ids = {
            line.upstream_id
            for line in reply.upstreams
            if line.condition == str(UpstreamCondition.USABLE)
        }
        state = vm.node.state
        usable = [
            announcement.capacity
            for upstream_id, announcement in state.upstreams.items()
            if upstream_id in usable_ids
        ]
        guarantees = state.merge_guarantees()
        if not could_reclaim_all(usable, self.runs.list_held(), guarantees):
            held = [(h.upstream_id, h.first, h.count) for h in self.runs.list_held()]
            self.report(9, f"{vm.name} reports a plan; usable {usable_ids}, {held}")


def _is_own_answer(job: JobRequest, reply: JobReply) -> bool:
    if reply.answer is None:
        return False
    encoded = reply.answer.encode()
    whole = len(encoded) == reply.answer_length
    digest = hashlib.sha256(encoded).hexdigest()
    own = verify_answer(reply.answer, reply.job_id, job.payload)
    return whole and own and digest == reply.answer_sha256

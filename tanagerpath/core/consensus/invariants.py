"""Invariants that hold after every step of a simulated group."""

import attrs

from tanagerpath.core.consensus.events import (
    Action,
    DeliverCommitted,
    EntryKind,
    Event,
    LogEntry,
    PersistState,
    RestoreSnapshot,
    Role,
    SendMessage,
)
from tanagerpath.core.consensus.harness import SimulatedGroup
from tanagerpath.core.consensus.membership import Membership
from tanagerpath.core.consensus.messages import VoteReply, VoteRequest
from tanagerpath.core.consensus.simulated import DiskContent
from tanagerpath.core.consensus.simulated_vm import (
    SimulatedVm,
    StateMachine,
    StepObserver,
)
from tanagerpath.errors import Failure

__all__ = ["InvariantMonitor", "Violation"]


@attrs.frozen
class Violation:
    """Violation of an invariant by a step.

    Attributes
    ----------
    rule : str
        Name of the invariant.
    at_s : float
        Simulated time in seconds.
    vm_id : str
        VM of the replica that took the step.
    detail : str
        Observed values.
    """

    rule: str
    at_s: float
    vm_id: str
    detail: str


class InvariantMonitor(StepObserver):
    """Checks every step of a group and collects the violations.

    Parameters
    ----------
    group : SimulatedGroup
        Observed group.
    """

    def __init__(self, group: SimulatedGroup) -> None:
        self._group = group
        self.violations: list[Violation] = []
        self.checks = 0
        self._leaders: dict[int, str] = {}
        self._groups: set[str] = set()
        self._entries: dict[tuple[str, int, int], tuple[LogEntry, int | None]] = {}
        self._committed: dict[int, LogEntry] = {}
        self._commit_terms: dict[int, int] = {}
        self._digests: dict[int, str] = {}
        self._votes: dict[tuple[str, int], str] = {}
        self._lost: dict[str, DiskContent] = {}
        self._positions: dict[tuple[str, int], int] = {}

    @classmethod
    def attach(cls, group: SimulatedGroup) -> "InvariantMonitor":
        """Return a monitor that observes a group."""
        monitor = cls(group)
        group.observers.append(monitor)
        return monitor

    @property
    def committed(self) -> dict[int, LogEntry]:
        """All entries that any replica has delivered, by index."""
        return self._committed

    def record_step(self, vm: SimulatedVm, event: Event, actions: list[Action]) -> None:
        """Check a step; see the base class."""
        self.checks += 1
        for action in actions:
            if isinstance(action, PersistState):
                self._check_written(vm, action)
            elif isinstance(action, DeliverCommitted):
                self._check_delivered(vm, action)
            elif isinstance(action, RestoreSnapshot):
                self._check_restored(vm, action)
            elif isinstance(action, SendMessage):
                self._check_sent(vm, action)
        self._check_commit_index(vm)
        self._check_leader(vm)
        self._check_leases(vm)

    def record_failure(self, vm: SimulatedVm, failure: Failure) -> None:
        """Record a violation for a replica that stopped with a failure."""
        self._report("no committed entry changes", vm, failure.message)

    def record_emptied(self, vm: SimulatedVm, lost: DiskContent) -> None:
        """Record an identity that must not appear again."""
        if lost.replica_id is not None:
            self._lost[lost.replica_id] = lost

    def _report(self, rule: str, vm: SimulatedVm, detail: str) -> None:
        self.violations.append(Violation(rule, self._group.now_s, vm.vm_id, detail))

    def _check_written(self, vm: SimulatedVm, write: PersistState) -> None:
        """Check that index and term determine an entry and the one before it.

        This holds within one group: a founder that is lost before its proposal reaches
        anyone founds again, with another entry at index 1.
        """
        group_id = vm.replica.group_id if vm.replica else ""
        for entry in write.entries:
            key = (group_id, entry.index, entry.term)
            previous = vm.disk.visible.find_term(entry.index - 1)
            known, known_previous = self._entries.setdefault(key, (entry, previous))
            both_known = previous is not None and known_previous is not None
            if known != entry or (both_known and previous != known_previous):
                self._report("log matching", vm, f"{known} and {entry}")
            if entry.kind is EntryKind.MEMBERSHIP:
                self._check_membership(vm, entry)

    def _check_membership(self, vm: SimulatedVm, entry: LogEntry) -> None:
        membership = entry.membership or Membership()
        voters = set(membership.voters)
        vm_ids = [member.vm_id for member in membership.members]
        duplicates = [
            vm_id for vm_id in vm_ids if self._count_voters(membership, vm_id) > 1
        ]
        if duplicates:
            self._report("one voter on a VM", vm, f"{duplicates} at {entry.index}")
        if len(voters) < 2 <= len(self._group.vms):
            self._report("at least two voters", vm, f"{voters} at {entry.index}")
        self._check_tolerance(vm, entry)
        before = self._find_voters_before(vm, entry)
        if before is not None and len(voters ^ before) > 1:
            self._report("one voter at a time", vm, f"{before} to {voters}")

    def _check_tolerance(self, vm: SimulatedVm, entry: LogEntry) -> None:
        """Check that no voter that may return is dropped below the tolerance."""
        tolerated = vm.replica.tolerated_losses if vm.replica else None
        before = self._find_voters_before(vm, entry)
        if tolerated is None or before is None or entry.membership is None:
            return
        voters = set(entry.membership.voters)
        dropped = before - voters - set(self._lost)
        if dropped and len(voters) < 2 * tolerated.vms + 1:
            self._report("enough voters for the losses", vm, f"{dropped}: {voters}")

    def _count_voters(self, membership: Membership, vm_id: str) -> int:
        members = membership.find_on_vm(vm_id)
        return sum(membership.is_voter(member.replica_id) for member in members)

    def _find_voters_before(self, vm: SimulatedVm, entry: LogEntry) -> set[str] | None:
        content = vm.disk.visible
        found = set(content.snapshot.membership.voters) if content.snapshot else None
        for earlier in content.entries:
            if earlier.index < entry.index and earlier.membership is not None:
                found = set(earlier.membership.voters)
        return found

    def _check_delivered(self, vm: SimulatedVm, action: DeliverCommitted) -> None:
        for committed in action.entries:
            entry = committed.entry
            if entry.index not in self._committed:
                self._record_commit(vm, entry)
            elif self._committed[entry.index] != entry:
                known = self._committed[entry.index]
                self._report("no committed entry changes", vm, f"{known} and {entry}")
            self._check_position(vm, entry.index)

    def _record_commit(self, vm: SimulatedVm, entry: LogEntry) -> None:
        self._committed[entry.index] = entry
        self._commit_terms[entry.index] = vm.replica.term if vm.replica else 0
        machine = StateMachine(entry.index - 1, self._digests.get(entry.index - 1, ""))
        machine.apply(entry)
        self._digests[entry.index] = machine.digest
        self._check_durable(vm, entry)

    def _check_durable(self, vm: SimulatedVm, entry: LogEntry) -> None:
        """Check that a quorum has synced an entry, counting disks lost since."""
        contents = [other.disk.durable for other in self._group.vms.values()]
        holders = [
            content.replica_id
            for content in (*contents, *self._lost.values())
            if content.holds(entry.index, entry.term)
        ]
        if vm.replica and not vm.replica.membership.has_quorum(filter(None, holders)):
            self._report("committed is on a quorum of disks", vm, f"{entry}: {holders}")

    def _check_position(self, vm: SimulatedVm, index: int) -> None:
        key = (vm.vm_id, vm.starts)
        expected = self._positions.get(key, 0) + 1
        if index != expected:
            self._report("each entry once, in order", vm, f"{index}, not {expected}")
        self._positions[key] = index

    def _check_restored(self, vm: SimulatedVm, action: RestoreSnapshot) -> None:
        snapshot = action.snapshot
        known = self._digests.get(snapshot.last_index)
        if known != snapshot.payload:
            self._report("snapshot equals the log", vm, f"at {snapshot.last_index}")
        self._positions[vm.vm_id, vm.starts] = snapshot.last_index

    def _check_sent(self, vm: SimulatedVm, action: SendMessage) -> None:
        if action.sender in self._lost:
            self._report("lost identity is silent", vm, action.sender)
        message = action.message
        if isinstance(message, VoteReply) and message.granted and not message.pre_vote:
            self._check_vote(vm, action.sender, message.term, action.receiver)
        if isinstance(message, VoteRequest) and not message.pre_vote:
            self._check_vote(vm, action.sender, message.term, action.sender)

    def _check_vote(
        self, vm: SimulatedVm, voter: str, term: int, candidate: str
    ) -> None:
        known = self._votes.setdefault((voter, term), candidate)
        if known != candidate:
            detail = f"{voter} for {known} and {candidate} in {term}"
            self._report("one vote in a term", vm, detail)
        durable = vm.disk.durable
        if durable.term < term or (
            durable.term == term and durable.voted_for != candidate
        ):
            self._report("vote is on disk", vm, f"{voter} in {term}")

    def _check_commit_index(self, vm: SimulatedVm) -> None:
        if vm.replica is None:
            return
        position = self._positions.get((vm.vm_id, vm.starts), 0)
        if vm.replica.commit_index < position:
            detail = f"{vm.replica.commit_index} after {position}"
            self._report("commit index never goes back", vm, detail)

    def _check_leader(self, vm: SimulatedVm) -> None:
        replica = vm.replica
        if replica is None or replica.role is not Role.LEADER:
            return
        known = self._leaders.get(replica.term)
        if known == replica.replica_id:
            return
        self._leaders[replica.term] = replica.replica_id
        if known is not None:
            detail = f"{known} and {replica.replica_id} in {replica.term}"
            self._report("one leader in a term", vm, detail)
        self._groups.add(replica.group_id)
        if len(self._groups) > 1:
            self._report("one group", vm, str(self._groups))
        self._check_complete(vm, replica.term)

    def _check_complete(self, vm: SimulatedVm, term: int) -> None:
        """Check that a new leader's log holds all commits of earlier terms.

        A frozen candidate may become leader of an old term after it resumes; it lacks
        the commits of later terms and can commit nothing.
        """
        content = vm.disk.visible
        for index, entry in self._committed.items():
            if self._commit_terms[index] >= term:
                continue
            if not content.holds(index, entry.term):
                self._report("leader holds what is committed", vm, str(entry))
                return

    def _check_leases(self, vm: SimulatedVm) -> None:
        holders = [
            other.vm_id
            for other in self._group.vms.values()
            if self._group.has_lease(other)
        ]
        if len(holders) > 1:
            self._report("one lease", vm, str(holders))

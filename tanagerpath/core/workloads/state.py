"""Replicated state of workloads, upstreams and their configuration."""

from collections.abc import Iterator
from typing import Any

import attrs

from tanagerpath.core.workloads import commands
from tanagerpath.core.workloads.cancellations import (
    CancellationMemory,
    CancellationRecord,
)
from tanagerpath.core.workloads.commands import UpstreamRecord
from tanagerpath.core.workloads.configuration import Configuration, Queue
from tanagerpath.core.workloads.learned import (
    LearnedFleet,
    LearnedQueue,
    LearnedSpeed,
)
from tanagerpath.core.workloads.records import (
    EvacuationRecord,
    StoredWorkload,
    WaveRecord,
    WorkloadRecord,
    WorkloadState,
)
from tanagerpath.core.workloads.refusals import RefusalMemory, RefusalRecord
from tanagerpath.core.workloads.withdrawals import WithdrawalMemory, WithdrawalRecord

__all__ = ["Applied", "FleetSnapshot", "FleetState"]


@attrs.frozen
class Applied:
    """Result of applying a committed command.

    Attributes
    ----------
    changed : bool
        Whether the state changed; a repeated command changes nothing.
    starts : tuple of RunStart
        Starts of `RecordRuns` that were recorded.
    ended_ids : tuple of str
        Workloads that reached their final state.
    """

    changed: bool = True
    starts: tuple[commands.RunStart, ...] = ()
    ended_ids: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class FleetSnapshot:
    """Everything that `FleetState` holds, for the log's snapshot."""

    applied_index: int = 0
    configuration: Configuration | None = None
    upstreams: tuple[UpstreamRecord, ...] = ()
    workloads: tuple[StoredWorkload, ...] = ()
    waves: tuple[WaveRecord, ...] = ()
    known_queues: tuple[Queue, ...] = ()
    learned: LearnedFleet = LearnedFleet()
    evacuations: tuple[EvacuationRecord, ...] = ()
    refusals: tuple[RefusalRecord, ...] = ()
    cancellations: tuple[CancellationRecord, ...] = ()
    withdrawals: tuple[WithdrawalRecord, ...] = ()


class FleetState:
    """State machine of the replicated log; `apply` is deterministic."""

    def __init__(self) -> None:
        self.applied_index = 0
        self.configuration: Configuration | None = None
        self.upstreams: dict[str, UpstreamRecord] = {}
        self.workloads: dict[str, WorkloadRecord] = {}
        self.waves: dict[int, WaveRecord] = {}
        self.evacuations: dict[str, EvacuationRecord] = {}
        # Removed queues are kept until their accepted workloads have run to the end.
        self.known_queues: dict[str, Queue] = {}
        self.refusals = RefusalMemory()
        self.cancellations = CancellationMemory()
        self.withdrawals = WithdrawalMemory()
        self._speeds: dict[str, LearnedSpeed] = {}
        self._histories: dict[str, LearnedQueue] = {}
        self._apply_by_type: dict[type, Any] = {
            commands.PutConfiguration: self._put_configuration,
            commands.AcceptWorkload: self._accept,
            commands.RefuseWorkload: self._refuse,
            commands.CancelWorkload: self._cancel,
            commands.RecordRuns: self._record_runs,
            commands.RegisterUpstream: self._register,
            commands.WithdrawUpstream: self._withdraw,
            commands.ExpireWorkloads: self._expire,
            commands.DeclareWave: self._declare_wave,
            commands.RecordUpkeep: self._record_upkeep,
            commands.SetEvacuation: self._set_evacuation,
        }

    @classmethod
    def from_snapshot(cls, snapshot: FleetSnapshot) -> "FleetState":
        """Restore the state from a snapshot."""
        state = cls()
        state.applied_index = snapshot.applied_index
        state.configuration = snapshot.configuration
        state.upstreams = {one.upstream_id: one for one in snapshot.upstreams}
        state.workloads = {
            one.spec.workload_id: one.restore() for one in snapshot.workloads
        }
        state.waves = {one.wave: one for one in snapshot.waves}
        state.known_queues = {one.name: one for one in snapshot.known_queues}
        state.evacuations = {one.zone: one for one in snapshot.evacuations}
        state._store_learned(snapshot.learned)
        state.refusals = RefusalMemory(snapshot.refusals)
        state.cancellations = CancellationMemory(snapshot.cancellations)
        state.withdrawals = WithdrawalMemory(snapshot.withdrawals)
        return state

    def make_snapshot(self) -> FleetSnapshot:
        """Return the whole state as a snapshot."""
        return FleetSnapshot(
            applied_index=self.applied_index,
            configuration=self.configuration,
            upstreams=tuple(self.upstreams.values()),
            workloads=tuple(one.store() for one in self.workloads.values()),
            waves=tuple(self.waves.values()),
            known_queues=tuple(self.known_queues.values()),
            learned=self.learned,
            evacuations=tuple(self.evacuations.values()),
            refusals=self.refusals.list_records(),
            cancellations=self.cancellations.list_records(),
            withdrawals=self.withdrawals.list_records(),
        )

    @property
    def learned(self) -> LearnedFleet:
        """All estimates that leaders have recorded."""
        return LearnedFleet(
            tuple(self._speeds.values()), tuple(self._histories.values())
        )

    def _store_learned(self, learned: LearnedFleet) -> None:
        """Store estimates of the upstreams and queues that still exist."""
        for speed in learned.speeds:
            if speed.upstream_id in self.upstreams:
                self._speeds[speed.upstream_id] = speed
        for history in learned.queues:
            if history.queue in self.known_queues:
                self._histories[history.queue] = history

    def skip(self, index: int) -> None:
        """Advance past a log entry without a command."""
        self.applied_index = index

    def apply(self, index: int, command: commands.WorkloadCommand) -> Applied:
        """Apply a committed command."""
        self.applied_index = index
        return self._apply_by_type[type(command)](command)

    def find_queue(self, name: str) -> Queue | None:
        """Return the definition of a queue, the last one if it was removed."""
        return self.known_queues.get(name)

    def find_evacuation(self, zone: str) -> EvacuationRecord:
        """Return the last order for an availability zone, a new record for none."""
        return self.evacuations.get(zone) or EvacuationRecord(zone)

    def is_evacuated(self, zone: str) -> bool:
        """Return whether no new run may start in an availability zone."""
        return self.find_evacuation(zone).is_evacuated

    def find_unfinished_waves(self) -> Iterator[WaveRecord]:
        """Return the waves in which the upkeep of a VM has not begun, oldest first."""
        return (wave for _, wave in sorted(self.waves.items()) if wave.waiting)

    def _put_configuration(self, command: commands.PutConfiguration) -> Applied:
        configuration = command.configuration
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return Applied(changed=False)
        self.configuration = configuration
        for queue in configuration.queues:
            self.known_queues[queue.name] = queue
        self._forget_queues()
        return Applied()

    def _forget_queues(self) -> None:
        """Drop removed queues that have no unfinished workload."""
        needed = {queue.name for queue in self.configuration.queues}
        needed |= {
            record.queue
            for record in self.workloads.values()
            if record.final_state is None or record.open_count
        }
        self.known_queues = {
            name: queue for name, queue in self.known_queues.items() if name in needed
        }
        self._histories = {
            name: one for name, one in self._histories.items() if name in needed
        }

    def _accept(self, command: commands.AcceptWorkload) -> Applied:
        workload_id = command.spec.workload_id
        if workload_id in self.workloads or self._lacks_queue(command):
            return Applied(changed=False)
        owner = command.organisation
        accepted_at_s = command.accepted_at_unix_s
        for memory in (self.refusals, self.cancellations):
            if memory.find_valid(owner, workload_id, accepted_at_s) is not None:
                return Applied(changed=False)
        self.refusals.forget(owner, workload_id)
        self.cancellations.forget(owner, workload_id)
        self.workloads[workload_id] = WorkloadRecord(
            command.spec,
            command.queue,
            command.organisation,
            command.accepted_at_unix_s,
        )
        return Applied()

    def _lacks_queue(self, command: commands.AcceptWorkload) -> bool:
        """Return whether an earlier entry has removed the queue of a workload."""
        if command.configuration_version is None:
            return False
        return not self.configuration.has_queue(command.queue)

    def _refuse(self, command: commands.RefuseWorkload) -> Applied:
        """Remember a refusal, unless an earlier entry has accepted the workload."""
        if command.workload_id in self.workloads:
            return Applied(changed=False)
        refused = RefusalRecord(
            workload_id=command.workload_id,
            queue=command.queue,
            organisation=command.organisation,
            priority=command.priority,
            first_refused_unix_s=command.refused_at_unix_s,
            refused_unix_s=command.refused_at_unix_s,
            retry_at_unix_s=command.retry_at_unix_s,
            work_s=command.work_s,
        )
        return Applied(changed=self.refusals.add(refused))

    def _cancel(self, command: commands.CancelWorkload) -> Applied:
        record = self.workloads.get(command.workload_id)
        if record is None:
            return Applied(changed=self._remember_cancellation(command))
        if record.final_state is not None:
            return Applied(changed=False)
        record.end(WorkloadState.CANCELLED, command.ended_at_unix_s)
        return Applied(ended_ids=(command.workload_id,))

    def _remember_cancellation(self, command: commands.CancelWorkload) -> bool:
        """Keep a submission that is under way from being accepted later."""
        if command.if_unknown is None:
            return False
        return self.cancellations.add(command.if_unknown, command.ended_at_unix_s)

    def _record_runs(self, command: commands.RecordRuns) -> Applied:
        touched = [self._record_end(end, command.at_unix_s) for end in command.ends]
        ended_ids = tuple(dict.fromkeys(filter(None, touched)))
        starts = tuple(start for start in command.starts if self._record_start(start))
        self._store_learned(command.learned)
        return Applied(starts=starts, ended_ids=ended_ids)

    def _record_end(self, end: commands.RunEnd, at_unix_s: float) -> str:
        """Record an end; return the workload if this brought it to its final state."""
        record = self.workloads.get(end.task.workload_id)
        if record is None:
            return ""
        queue = self.find_queue(record.queue)
        failed = record.record_end(end, queue.max_attempts if queue else 1)
        if record.final_state is not None:
            return ""
        if failed:
            record.end(WorkloadState.FAILED, at_unix_s)
        elif end.outcome is commands.RunOutcome.DONE and record.is_all_done:
            record.end(WorkloadState.COMPLETED, at_unix_s)
        return record.workload_id if record.final_state is not None else ""

    def _record_start(self, start: commands.RunStart) -> bool:
        record = self.workloads.get(start.task.workload_id)
        if record is None or record.final_state is not None:
            return False
        task = record.find_task(start.task)
        if task.done or start.run <= task.last_run:
            return False
        upstream = self.upstreams.get(start.upstream_id)
        if upstream is None or upstream.incarnation != start.incarnation:
            return False
        if upstream.draining or self.is_evacuated(upstream.availability_zone):
            return False
        record.record_start(start)
        return True

    def _register(self, command: commands.RegisterUpstream) -> Applied:
        record = command.record
        current = self.upstreams.get(record.upstream_id)
        if current == record:
            return Applied(changed=False)
        is_later = current is not None and current.born_unix_ms > record.born_unix_ms
        if command.checks_birth and record.born_unix_ms and is_later:
            return Applied(changed=False)
        self.upstreams[record.upstream_id] = record
        return Applied()

    def _withdraw(self, command: commands.WithdrawUpstream) -> Applied:
        current = self.upstreams.get(command.upstream_id)
        if current is None or current.incarnation != command.incarnation:
            return Applied(changed=False)
        del self.upstreams[command.upstream_id]
        self._speeds.pop(command.upstream_id, None)
        if command.if_final is not None:
            self.withdrawals.add(command.if_final)
        return Applied()

    def _expire(self, command: commands.ExpireWorkloads) -> Applied:
        expired = [
            workload_id
            for workload_id, record in self.workloads.items()
            if record.final_state is not None
            and not record.open_count
            and record.ended_at_unix_s < command.ended_before_unix_s
        ]
        for workload_id in expired:
            del self.workloads[workload_id]
        return Applied(changed=bool(expired))

    def _declare_wave(self, command: commands.DeclareWave) -> Applied:
        if command.wave in self.waves:
            return Applied(changed=False)
        self.waves[command.wave] = WaveRecord(
            command.wave,
            command.vm_ids,
            command.vm_ids,
            command.due_at_unix_s,
            command.most_at_once,
        )
        return Applied()

    def _record_upkeep(self, command: commands.RecordUpkeep) -> Applied:
        wave = self.waves.get(command.wave)
        if wave is None or command.vm_id not in wave.waiting:
            return Applied(changed=False)
        wave.waiting = tuple(vm for vm in wave.waiting if vm != command.vm_id)
        return Applied()

    def _set_evacuation(self, command: commands.SetEvacuation) -> Applied:
        current = self.find_evacuation(command.zone)
        if current.revision != command.expected_revision:
            return Applied(changed=False)
        self.evacuations[command.zone] = EvacuationRecord(
            command.zone, command.is_evacuated, current.revision + 1
        )
        return Applied()

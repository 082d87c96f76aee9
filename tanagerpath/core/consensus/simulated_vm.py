"""Simulated VM of the in-memory group, and the base class of its observers."""

import abc
import hashlib

import attrs

from tanagerpath.core.consensus.config import ReplicaConfig
from tanagerpath.core.consensus.events import (
    Action,
    Event,
    LogEntry,
    Role,
    Snapshot,
)
from tanagerpath.core.consensus.replica import Replica
from tanagerpath.core.consensus.simulated import (
    DiskContent,
    SimulatedClock,
    SimulatedDisk,
)
from tanagerpath.errors import Failure

__all__ = ["SimulatedVm", "StateMachine", "StepObserver"]


@attrs.define
class StateMachine:
    """State machine whose state is a digest of all applied entries."""

    index: int = 0
    digest: str = ""

    def apply(self, entry: LogEntry) -> None:
        """Apply the next entry."""
        text = f"{self.digest}/{entry.index}/{entry.kind}/{entry.payload}"
        self.index = entry.index
        self.digest = hashlib.sha256(text.encode()).hexdigest()

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot."""
        self.index = snapshot.last_index
        self.digest = snapshot.payload


class SimulatedVm:
    """VM with its disk and the process that runs on it, if any."""

    def __init__(self, config: ReplicaConfig) -> None:
        self.config = config
        self.vm_id = config.vm_id
        self.address = config.address
        self.disk = SimulatedDisk()
        self.replica: Replica | None = None
        self.clock = SimulatedClock(0.0, 1.0)
        self.state_machine = StateMachine()
        self.frozen = False
        # Time in seconds that each step takes while this VM leads: events that arrive
        # meanwhile are handled in the next step, and no message leaves before the end.
        self.leader_step_s = 0.0
        self.step_ends_s = 0.0
        self.starts = 0
        self.inbox: list[Event] = []
        self.scheduled_tick_s: float | None = None

    @property
    def running(self) -> bool:
        """Whether a process runs and is not frozen."""
        return self.replica is not None and not self.frozen

    @property
    def is_busy_leader(self) -> bool:
        """Whether the replica leads and its steps take time."""
        leads = self.replica is not None and self.replica.role is Role.LEADER
        return leads and self.leader_step_s > 0

    def reset_process(self) -> None:
        """Discard what the last process held in memory, before the next one starts."""
        self.starts += 1
        self.frozen = False
        self.step_ends_s = 0.0
        self.inbox.clear()
        self.state_machine = StateMachine()
        self.scheduled_tick_s = None

    def queue_event(self, event: Event, now_s: float) -> bool:
        """Add an event to the next step of a busy leader.

        Returns
        -------
        bool
            Whether the step begins now; otherwise one is already in progress.
        """
        self.inbox.append(event)
        if self.step_ends_s > now_s:
            return False
        self.step_ends_s = now_s + self.leader_step_s
        return True

    def end_step(self) -> list[Event]:
        """End the step of a busy leader and return the events to handle in it."""
        self.step_ends_s = 0.0
        return self.take_waiting()

    def take_waiting(self) -> list[Event]:
        """Remove and return the events that wait."""
        waiting, self.inbox = self.inbox, []
        return waiting


class StepObserver(abc.ABC):
    """Receives every step of every replica."""

    @abc.abstractmethod
    def record_step(self, vm: SimulatedVm, event: Event, actions: list[Action]) -> None:
        """Record a step after its writes were queued."""

    @abc.abstractmethod
    def record_failure(self, vm: SimulatedVm, failure: Failure) -> None:
        """Record that a replica stopped with a failure."""

    @abc.abstractmethod
    def record_emptied(self, vm: SimulatedVm, lost: DiskContent) -> None:
        """Record that a disk was emptied, with its lost content."""

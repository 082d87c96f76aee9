"""Control nodes of the workload check, as processes of a simulated group."""

import random
from collections.abc import Callable
from typing import Any

import attrs

from tanagerpath.benchmarks.workload_check_events import (
    Decided,
    EndListed,
    EndRecorded,
    EvacuationRecorded,
    StartRecorded,
    StepAborted,
)
from tanagerpath.benchmarks.workload_check_history import History
from tanagerpath.codecs.state import JsonFleetCodec
from tanagerpath.core.consensus import Replica, ReplicaConfig
from tanagerpath.core.consensus.config import RestoredState
from tanagerpath.core.consensus.events import Event, Tick, TransferRequested
from tanagerpath.core.control.messages import LeadershipTransferRequested, SendReply
from tanagerpath.core.control.proposals import OpenProposal
from tanagerpath.core.coordination import CallUpstream, UpstreamReplied
from tanagerpath.core.workloads import (
    DeadlinePolicy,
    DeadlineTerms,
    DispatchTerms,
    LogDecision,
    WorkloadNode,
    WorkloadNodeConfig,
)
from tanagerpath.core.workloads.commands import RecordRuns, SetEvacuation
from tanagerpath.core.workloads.orders import HoldReply
from tanagerpath.errors import Failure, FailureError

__all__ = ["LogRecorder", "NodePorts", "NodeProcess"]

# Token of handovers; no caller waits for their replies.
TRANSFER_TOKEN = 0
MAX_STEP_PROPOSALS = 1000


class LogRecorder:
    """Records the runs and orders in each log entry when the first node applies it.

    Parameters
    ----------
    history : History
        Receives the events.
    """

    def __init__(self, history: History) -> None:
        self._history = history
        self._last_index = 0
        self._revisions: dict[str, int] = {}

    def note_applied(self, node: "ObservedNode", index: int, command: object) -> None:
        """Record what a command that a node has applied says."""
        if index <= self._last_index:
            return
        self._last_index = index
        match command:
            case RecordRuns():
                self._note_runs(node, command)
            case SetEvacuation(zone=zone):
                self._note_evacuation(node, zone)

    def _note_evacuation(self, node: "ObservedNode", zone: str) -> None:
        """Record the last order for a zone, unless it is known."""
        record = node.state.find_evacuation(zone)
        if record.revision <= self._revisions.get(zone, 0):
            return
        self._revisions[zone] = record.revision
        self._history.add(
            EvacuationRecorded,
            zone=zone,
            is_evacuated=record.is_evacuated,
            revision=record.revision,
        )

    def _note_runs(self, node: "ObservedNode", command: RecordRuns) -> None:
        for end in command.ends:
            self._history.add(
                EndRecorded, task=end.task, run=end.run, outcome=end.outcome
            )
        for start in command.starts:
            record = node.state.workloads.get(start.task.workload_id)
            if record and record.find_task(start.task).find_open(start.run):
                self._history.add(
                    StartRecorded,
                    task=start.task,
                    run=start.run,
                    incarnation=start.incarnation,
                )


class EndlessStep(Exception):
    """A step proposes more commands than any step that ends."""


@attrs.frozen(kw_only=True)
class NodeStuck(Failure):
    """A node was killed because its step did not end."""


class ObservedNode(WorkloadNode):
    """Node whose applied commands are recorded, and whose endless steps are aborted."""

    def __init__(self, recorder: LogRecorder, *parts: Any) -> None:
        super().__init__(*parts)
        self._recorder = recorder
        self._step_proposals = 0

    def step(self, events: list[Any], now_s: float, now_unix_s: float) -> list[Any]:
        """Process events; see the base class."""
        self._step_proposals = 0
        return super().step(events, now_s, now_unix_s)

    def _propose(self, proposal: OpenProposal) -> None:
        self._step_proposals += 1
        if self._step_proposals > MAX_STEP_PROPOSALS:
            raise EndlessStep
        super()._propose(proposal)

    def _apply_command(
        self, index: int, command: object, proposal: OpenProposal | None
    ) -> None:
        super()._apply_command(index, command, proposal)
        self._recorder.note_applied(self, index, command)


@attrs.frozen(kw_only=True)
class NodePorts:
    """Where the actions of a node go.

    Attributes
    ----------
    call : callable
        Carries out a call to an upstream, given the VM of the node.
    reply : callable
        Passes a reply on to the caller that waits for it.
    read_unix_s : callable
        Returns UTC seconds.
    """

    call: Callable[[str, CallUpstream], None]
    reply: Callable[[SendReply], None]
    read_unix_s: Callable[[], float]


class NodeProcess:
    """A node in the place of a replica of the group.

    Attributes that it does not have are those of its replica.

    Parameters
    ----------
    node : ObservedNode
        The node.
    vm_id : str
        Its VM.
    ports : NodePorts
        Where its actions go.
    history : History
        Receives the decisions, and the ends that are listed to a leader.
    """

    def __init__(
        self, node: ObservedNode, vm_id: str, ports: NodePorts, history: History
    ) -> None:
        self.node = node
        self.vm_id = vm_id
        self._ports = ports
        self._history = history

    @classmethod
    def from_config(
        cls,
        config: ReplicaConfig,
        restored: RestoredState,
        source: random.Random,
        *,
        terms: DispatchTerms,
        ports: NodePorts,
        history: History,
        recorder: LogRecorder,
    ) -> "NodeProcess":
        """Build the process of a VM from the content of its disk."""
        node = ObservedNode(
            recorder,
            WorkloadNodeConfig(replica=config, dispatch=terms),
            Replica.from_config(config, restored, source),
            JsonFleetCodec(),
            lambda: DeadlinePolicy.from_config(DeadlineTerms()),
        )
        return cls(node, config.vm_id, ports, history)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.node.replica, name)

    def find_wake_up_s(self) -> float:
        """Return the instant at which a step is due."""
        return self.node.find_wake_up_s()

    def step(self, event: Event, now_s: float) -> list[Any]:
        """Step the node and return the actions that concern the group."""
        if isinstance(event, UpstreamReplied) and isinstance(event.reply, HoldReply):
            self._note_listed(event)
        try:
            actions = self.node.step(
                self._translate(event), now_s, self._ports.read_unix_s()
            )
        except EndlessStep:
            term = self.node.replica.term
            self._history.add(StepAborted, vm_id=self.vm_id, term=term)
            raise FailureError(NodeStuck()) from None
        return [action for action in actions if not self._carry_out(action)]

    def _translate(self, event: Event) -> list[Any]:
        if isinstance(event, Tick):
            return []
        if isinstance(event, TransferRequested):
            return [LeadershipTransferRequested(TRANSFER_TOKEN)]
        return [event]

    def _carry_out(self, action: object) -> bool:
        """Carry out an action; return False if it concerns the group."""
        match action:
            case CallUpstream():
                self._ports.call(self.vm_id, action)
            case SendReply():
                self._ports.reply(action)
            case LogDecision(name, fields):
                self._history.add(
                    Decided,
                    vm_id=self.vm_id,
                    term=self.node.replica.term,
                    decision=name,
                    fields=fields,
                )
            case _:
                return False
        return True

    def _note_listed(self, event: UpstreamReplied) -> None:
        if not self.node.is_deciding:
            return
        reply = event.reply
        for end in reply.ended:
            self._history.add(
                EndListed,
                task=end.task,
                run=end.run,
                incarnation=f"{event.upstream_id}@{reply.born_unix_ms}",
                outcome=end.outcome,
                vm_id=self.vm_id,
                term=self.node.replica.term,
            )

"""Control nodes, upstreams and callers of the workload check, in virtual time."""

import itertools
import random
from collections.abc import Callable

import attrs

from tanagerpath.benchmarks.workload_check_callers import (
    Caller,
    ControlClient,
    HeartbeatSender,
    Scenario,
)
from tanagerpath.benchmarks.workload_check_calls import CallNetwork, NodeGroup
from tanagerpath.benchmarks.workload_check_cancellations import OvertakingCallers
from tanagerpath.benchmarks.workload_check_evacuations import EVACUATION_S
from tanagerpath.benchmarks.workload_check_events import WorkloadLeftOpen
from tanagerpath.benchmarks.workload_check_history import History
from tanagerpath.benchmarks.workload_check_nodes import (
    LogRecorder,
    NodePorts,
    NodeProcess,
)
from tanagerpath.benchmarks.workload_check_operators import EvacuationOperator
from tanagerpath.benchmarks.workload_check_queues import QueueOperator
from tanagerpath.benchmarks.workload_check_rules import Rulebook
from tanagerpath.benchmarks.workload_check_upstreams import (
    UNIX_OFFSET_S,
    Fleet,
    UpstreamTraits,
)
from tanagerpath.benchmarks.workload_check_workloads import (
    QUEUES,
    draw_workload,
    make_configuration,
)
from tanagerpath.core.consensus import LossTolerance, ReplicaConfig
from tanagerpath.core.consensus.config import RestoredState
from tanagerpath.core.consensus.events import Action, Event
from tanagerpath.core.consensus.simulated import DiskContent
from tanagerpath.core.consensus.simulated_vm import SimulatedVm, StepObserver
from tanagerpath.core.control.messages import SendReply
from tanagerpath.core.coordination import CallUpstream
from tanagerpath.core.workloads import DispatchTerms
from tanagerpath.core.workloads.requests import ConfigurationRequest
from tanagerpath.core.workloads.specs import WorkloadSpec
from tanagerpath.core.workloads.tests.fake_upstream import CAPACITY, STEP_S
from tanagerpath.errors import Failure

__all__ = ["CheckWorld", "NoLeader"]

NODE_COUNTS = (3, 5, 8)
MIN_UPSTREAMS = 6
MAX_UPSTREAMS = 12
MAX_FAULT_DOMAINS = 4
# Shares of the accelerators that the workloads need on average.
LOADS = (0.3, 0.5, 0.7)
WORK_S = (0.2, 2.0)
# Share of the workloads whose first runs fail.
FAILING_SHARE = 0.08
# Share of the seeds that have a scenario.
SCENARIO_SHARE = 0.3
# First tokens of the requests of each scenario, above those of the callers.
EVACUATION_TOKENS = 1_000_000_000
QUEUE_TOKENS = 2_000_000_000
CANCELLATION_TOKENS = 3_000_000_000
STOP_TIMEOUTS_S = (0.2, 1.0)
RESTART_S = 1.0
FIRST_LEADER_LIMIT_S = 30.0
# Small bounds, so that the log is compacted and voters are replaced in each run.
REPLICA_SETTINGS = {
    "snapshot_after_entries": 60,
    "retained_entries": 20,
    "replace_voter_after_s": 3.0,
}


class Restarter(StepObserver):
    """Starts processes again that ended by themselves.

    Parameters
    ----------
    group : NodeGroup
        The group of the processes.
    """

    def __init__(self, group: NodeGroup) -> None:
        self._group = group

    def record_step(self, vm: SimulatedVm, event: Event, actions: list[Action]) -> None:
        """Do nothing; see the base class."""

    def record_failure(self, vm: SimulatedVm, failure: Failure) -> None:
        """Plan the next start of a process; see the base class."""
        self._group.schedule(RESTART_S, lambda: self._group.start(vm.vm_id))

    def record_emptied(self, vm: SimulatedVm, lost: DiskContent) -> None:
        """Do nothing; see the base class."""


class NoLeader(Exception):
    """The group found no leader before any fault."""


class CheckWorld:
    """Everything that one seed runs.

    Parameters
    ----------
    seed : int
        Seed of all choices.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(f"workload-check-{seed}")
        source = self.random
        node_count = source.choice(NODE_COUNTS)
        self.upstream_count = source.randint(MIN_UPSTREAMS, MAX_UPSTREAMS)
        self.tolerance = LossTolerance(vms=1 if node_count < 5 else 2)
        self.history = History(self._read_clock)
        self.fleet = Fleet(self.history, self._read_clock)
        self.rulebook = Rulebook(self.history, self.fleet)
        self._recorder = LogRecorder(self.history)
        stop_timeout_s = source.choice(STOP_TIMEOUTS_S)
        self._terms = DispatchTerms(stop_timeout_s=stop_timeout_s)
        # Scenarios have draws of their own.
        operator_source = random.Random(f"workload-check-operator-{seed}")
        has_operator = operator_source.random() < SCENARIO_SHARE
        if has_operator:
            self._terms = attrs.evolve(self._terms, evacuation_s=EVACUATION_S)
        self.group: NodeGroup = NodeGroup.from_seed(
            seed,
            node_count,
            self._make_process,
            domain_count=min(node_count, MAX_FAULT_DOMAINS),
            tolerated_losses=self.tolerance,
            **REPLICA_SETTINGS,
        )
        self.group.observers.append(Restarter(self.group))
        self.network = CallNetwork(self.group, self.fleet, source)
        self.client = ControlClient(self.group, source)
        self._scenarios: list[Scenario] = []
        if has_operator:
            client = ControlClient(self.group, operator_source, EVACUATION_TOKENS)
            self._scenarios.append(
                EvacuationOperator(client, self.network, self.history)
            )
        self._draw_scenarios(seed)
        self._workload_numbers = itertools.count()
        self.callers: list[Caller] = []
        self.is_faulty = True
        self.next_empty_disk_s = 0.0
        self._load = source.choice(LOADS)
        for number in range(self.upstream_count):
            self.fleet.add(UpstreamTraits.draw(source, number, stop_timeout_s))

    def _draw_scenarios(self, seed: int) -> None:
        """Draw whether queues are removed, and whether cancellations overtake."""
        source = random.Random(f"workload-check-queues-{seed}")
        if source.random() < SCENARIO_SHARE:
            client = ControlClient(self.group, source, QUEUE_TOKENS)
            self._scenarios.append(QueueOperator(client, self._submit_to_removed))
        source = random.Random(f"workload-check-cancellations-{seed}")
        if source.random() < SCENARIO_SHARE:
            client = ControlClient(self.group, source, CANCELLATION_TOKENS)
            self._scenarios.append(
                OvertakingCallers(client, self._make_overtaking_caller)
            )

    def _read_clock(self) -> float:
        return self.group.now_s

    def _make_process(
        self, config: ReplicaConfig, restored: RestoredState, source: random.Random
    ) -> NodeProcess:
        ports = NodePorts(
            call=self._call,
            reply=self._receive,
            read_unix_s=lambda: UNIX_OFFSET_S + self.group.now_s,
        )
        return NodeProcess.from_config(
            config,
            restored,
            source,
            terms=self._terms,
            ports=ports,
            history=self.history,
            recorder=self._recorder,
        )

    def _receive(self, sent: SendReply) -> None:
        """Hand over a reply to the client that has its token."""
        self.client.receive(sent)
        for scenario in self._scenarios:
            scenario.client.receive(sent)

    def _call(self, vm_id: str, call: CallUpstream) -> None:
        self.network.call(self.group.vms[vm_id], call)

    def while_faulty(self, action: Callable[[], None]) -> Callable[[], None]:
        """Return an action that does nothing once the world heals."""

        def run() -> None:
            if self.is_faulty:
                action()

        return run

    def begin(self) -> None:
        """Start all processes, and the workloads once there is a leader."""
        self._advance()
        self.group.start_all()
        limit_s = FIRST_LEADER_LIMIT_S
        if not self.group.run_until(
            lambda: self.group.find_leader() is not None, limit_s
        ):
            raise NoLeader
        request = ConfigurationRequest(make_configuration())
        self.client.request(request, lambda reply: self._submit())
        HeartbeatSender(self.client, self.fleet, self.network).begin()
        for scenario in self._scenarios:
            scenario.begin()

    def _advance(self) -> None:
        self.fleet.advance()
        self.group.schedule(STEP_S, self._advance)

    def _submit(self) -> None:
        if not self.is_faulty:
            return
        source = self.random
        spec = self._draw_workload(source)
        queue, _, _ = source.choice(QUEUES)
        self._begin_caller(Caller(self.client, self.history, spec, queue))
        work_s = self.fleet.work[spec.workload_id]
        self.group.schedule(self._draw_pause_s(spec, work_s), self._submit)

    def _submit_to_removed(self, client: ControlClient, queue: str) -> None:
        """Submit a workload to a queue that is being removed."""
        spec = self._draw_workload(client.random)
        polled_queue, _, _ = QUEUES[-1]
        self._begin_caller(Caller(client, self.history, spec, queue, polled_queue))

    def _make_overtaking_caller(self, client: ControlClient) -> Caller:
        spec = self._draw_workload(client.random)
        queue, _, _ = QUEUES[-1]
        return Caller(client, self.history, spec, queue)

    def _draw_workload(self, source: random.Random) -> WorkloadSpec:
        """Draw a workload, its work and the number of its first runs that fail."""
        workload_id = f"w{next(self._workload_numbers)}"
        spec = draw_workload(source, workload_id, self.upstream_count)
        self.fleet.specs[workload_id] = spec
        self.fleet.work[workload_id] = source.uniform(*WORK_S)
        if source.random() < FAILING_SHARE:
            self.fleet.failures_left[workload_id] = source.randint(1, 4)
        return spec

    def _begin_caller(self, caller: Caller) -> None:
        self.callers.append(caller)
        caller.begin()

    def _draw_pause_s(self, spec: WorkloadSpec, work_s: float) -> float:
        """Draw the time to the next workload, so that the fleet can bear the load."""
        accelerators = sum(step.count * step.needs.accelerators for step in spec.steps)
        capacity = self.upstream_count * CAPACITY.accelerators
        mean_s = accelerators * work_s / (capacity * self._load)
        return self.random.expovariate(1 / mean_s)

    def heal(self) -> None:
        """End all faults and submit no more workloads."""
        self.is_faulty = False
        self.network.heal()
        self.group.heal()
        for scenario in self._scenarios:
            scenario.end()
        for upstream in self.fleet.upstreams.values():
            upstream.heal()

    @property
    def is_settled(self) -> bool:
        """Whether all accepted workloads were shown in a final state."""
        return all(
            caller.is_settled or not caller.is_accepted for caller in self.callers
        )

    def settle(self, limit_s: float) -> bool:
        """Run until all is settled; return False if the group has no leader by then.

        Without a leader, the group itself has failed, which `voter_check` looks for.
        """
        if self.group.run_until(lambda: self.is_settled, limit_s):
            return True
        if self.group.find_leader() is None:
            return False
        self._report_open()
        return True

    def _report_open(self) -> None:
        for caller in self.callers:
            if caller.is_accepted and not caller.is_settled:
                self.history.add(WorkloadLeftOpen, workload_id=caller.spec.workload_id)

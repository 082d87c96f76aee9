"""Callers and heartbeats of the workload check."""

import abc
import itertools
import math
import random
from collections.abc import Callable

import attrs

from tanagerpath.benchmarks.workload_check_calls import CallNetwork, NodeGroup
from tanagerpath.benchmarks.workload_check_events import (
    CancellationAcknowledged,
    WorkloadLost,
    WorkloadShown,
)
from tanagerpath.benchmarks.workload_check_history import History
from tanagerpath.benchmarks.workload_check_upstreams import CheckedUpstream, Fleet
from tanagerpath.benchmarks.workload_check_workloads import API_KEY, HOST
from tanagerpath.core.control.messages import RequestArrived, SendReply
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.protocol.leadership import NotLeaderReply
from tanagerpath.core.workloads import requests
from tanagerpath.core.workloads.failures import UnknownQueue, UnknownWorkload
from tanagerpath.core.workloads.records import WorkloadState
from tanagerpath.core.workloads.specs import WorkloadSpec

__all__ = [
    "Caller",
    "ControlClient",
    "HeartbeatSender",
    "Scenario",
]

REQUEST_TIMEOUT_S = 1.0
RETRY_S = 0.25
POLL_S = 1.0
HEARTBEAT_S = 0.5
MAX_LATE_HEARTBEAT_S = 6.0
CANCELLED_SHARE = 0.1
FINAL_STATES = (
    WorkloadState.COMPLETED,
    WorkloadState.FAILED,
    WorkloadState.CANCELLED,
)


class ControlClient:
    """Sends requests to control nodes until one of them decides.

    Parameters
    ----------
    group : NodeGroup
        The nodes.
    source : Random
        Source of delays and choices.
    first_token : int
        First token of its requests; heartbeats have 0.
    """

    def __init__(
        self, group: NodeGroup, source: random.Random, first_token: int = 1
    ) -> None:
        self.group = group
        self.random = source
        self._waiting: dict[int, Callable[[object], None]] = {}
        self._tokens = itertools.count(first_token)
        self._leader_id = ""

    def request(
        self,
        request: object,
        on_reply: Callable[[object], None],
        until_s: float = math.inf,
    ) -> None:
        """Send a request, again after each failure, and hand over its reply.

        Parameters
        ----------
        request : object
            The request.
        on_reply : callable
            Receives the reply.
        until_s : float
            Virtual instant after which it is not sent again.
        """
        vm_ids = list(self.group.vms)
        vm_id = self._leader_id or self.random.choice(vm_ids)
        token = next(self._tokens)

        def receive(reply: object) -> None:
            if isinstance(reply, NotLeaderReply):
                self._leader_id = reply.leader_vm_id
                self._retry(request, on_reply, until_s)
            else:
                self._leader_id = vm_id
                on_reply(reply)

        def give_up() -> None:
            if self._waiting.pop(token, None) is not None:
                self._leader_id = ""
                self._retry(request, on_reply, until_s)

        self._waiting[token] = receive
        vm = self.group.vms[vm_id]
        event = RequestArrived(token, request)
        self.group.schedule(
            self.random.uniform(0.0005, 0.004),
            lambda: self.group.deliver(vm, vm.starts, event),
        )
        self.group.schedule(REQUEST_TIMEOUT_S, give_up)

    def _retry(
        self, request: object, on_reply: Callable[[object], None], until_s: float
    ) -> None:
        delay_s = self.random.uniform(0.2, 1.0) * RETRY_S
        if self.group.now_s + delay_s < until_s:
            self.group.schedule(
                delay_s, lambda: self.request(request, on_reply, until_s)
            )

    def receive(self, sent: SendReply) -> None:
        """Hand over a reply, unless its request was given up."""
        receive = self._waiting.pop(sent.token, None)
        if receive is not None:
            delay_s = self.random.uniform(0.0005, 0.004)
            self.group.schedule(delay_s, lambda: receive(sent.reply))


@attrs.define(eq=False)
class Scenario(abc.ABC):
    """Requests beside those of the callers, in a share of the seeds.

    Attributes
    ----------
    client : ControlClient
        Sends the requests, with draws of its own.
    """

    client: ControlClient

    @abc.abstractmethod
    def begin(self) -> None:
        """Plan the next requests."""

    @abc.abstractmethod
    def end(self) -> None:
        """Begin with nothing more."""


@attrs.define(eq=False)
class Caller:
    """Submits a workload, asks for its state and may cancel it.

    Attributes
    ----------
    client : ControlClient
        Sends its requests.
    history : History
        Receives what it is told.
    spec : WorkloadSpec
        The workload.
    queue : str
        Queue that it goes to.
    polled_queue : str
        Queue by which its state is asked for, the one that it goes to if empty.
    is_accepted : bool
        Whether its acceptance was acknowledged.
    state : str
        Last state that it was told.
    """

    client: ControlClient
    history: History
    spec: WorkloadSpec
    queue: str
    polled_queue: str = ""
    is_accepted: bool = False
    state: str = ""

    @property
    def is_settled(self) -> bool:
        """Whether it was told a final state."""
        return self.state in FINAL_STATES

    def _make_call(self, queue: str) -> requests.Call:
        return requests.Call(HOST, f"/{queue}/{self.spec.workload_id}", API_KEY)

    @property
    def _polling_call(self) -> requests.Call:
        return self._make_call(self.polled_queue or self.queue)

    def begin(self) -> None:
        """Submit the workload, and plan to cancel it or not."""
        source = self.client.random
        self._submit()
        if source.random() < CANCELLED_SHARE:
            self.client.group.schedule(source.uniform(0.1, 6.0), self._cancel_accepted)

    def submit_once(self, until_s: float) -> None:
        """Submit the workload, and do not ask for its state.

        Parameters
        ----------
        until_s : float
            Virtual instant after which the submission is not sent again.
        """
        request = requests.SubmitWorkload(self._make_call(self.queue), self.spec)
        self.client.request(request, lambda reply: None, until_s)

    def cancel(self) -> None:
        """Cancel the workload."""
        request = requests.CancelWorkloadRequest(
            self._polling_call, self.spec.workload_id
        )
        self.client.request(request, self._note_cancelled)

    def _submit(self) -> None:
        request = requests.SubmitWorkload(self._make_call(self.queue), self.spec)
        self.client.request(request, self._note_submitted)

    def _note_submitted(self, reply: object) -> None:
        if isinstance(reply, ErrorBody):
            if reply.type != UnknownQueue.__name__:
                self.client.group.schedule(RETRY_S, self._submit)
            return
        self.is_accepted = True
        self._note_state(reply)

    def _cancel_accepted(self) -> None:
        if self.is_accepted and not self.is_settled:
            self.cancel()

    def _note_cancelled(self, reply: object) -> None:
        if isinstance(reply, ErrorBody) and reply.type != UnknownWorkload.__name__:
            return
        workload_id = self.spec.workload_id
        self.history.add(CancellationAcknowledged, workload_id=workload_id)

    def _poll(self) -> None:
        request = requests.WorkloadQuery(self._polling_call, self.spec.workload_id)
        self.client.request(request, self._note_state)

    def _note_state(self, reply: object) -> None:
        workload_id = self.spec.workload_id
        if isinstance(reply, ErrorBody):
            self.history.add(WorkloadLost, workload_id=workload_id)
            return
        if reply.state != self.state:
            self.state = reply.state
            self.history.add(
                WorkloadShown, workload_id=workload_id, state=str(reply.state)
            )
        if not self.is_settled:
            self.client.group.schedule(POLL_S, self._poll)


@attrs.define(eq=False)
class HeartbeatSender:
    """Sends the heartbeats of all upstreams; some arrive seconds late."""

    client: ControlClient
    fleet: Fleet
    network: CallNetwork

    def begin(self) -> None:
        """Send the heartbeats of now, and plan the next ones."""
        for upstream in tuple(self.fleet.upstreams.values()):
            if not upstream.unreachable:
                self._send(upstream)
        self.client.group.schedule(HEARTBEAT_S, self.begin)

    def _send(self, upstream: CheckedUpstream) -> None:
        upstream.sequence += 1
        report = requests.UpstreamReport(
            upstream.record,
            sequence=upstream.sequence,
            clock_ms=upstream.clock_ms,
        )
        group, source = self.client.group, self.client.random
        vm = self._choose_vm(upstream)
        if vm is None:
            return
        delay_s = source.uniform(0.0005, 0.004)
        if source.random() < self.network.conditions.late:
            delay_s += source.uniform(0.0, MAX_LATE_HEARTBEAT_S)
        # The token of heartbeats; nobody reads their replies.
        event = RequestArrived(0, report)
        group.schedule(delay_s, lambda: group.deliver(vm, vm.starts, event))

    def _choose_vm(self, upstream: CheckedUpstream) -> object | None:
        """Return the leader if it can be reached, as a relay would find it."""
        vm = self.client.group.find_leader()
        if vm is None:
            return None
        address = upstream.record.address
        reached = self.network.find_upstream(vm.vm_id, address)
        return vm if reached is upstream else None

"""Control processes of the check: the real node on a simulated disk."""

import itertools
import random

from tanagerpath.benchmarks.core_check_promises import Promises
from tanagerpath.benchmarks.core_check_world import Party, Respond, World
from tanagerpath.codecs.state import JsonStateCodec
from tanagerpath.core import consensus
from tanagerpath.core.consensus.harness import MAX_SYNC_S, MIN_SYNC_S
from tanagerpath.core.consensus.simulated import SimulatedDisk
from tanagerpath.core.control import (
    ControlAction,
    ControlEvent,
    ControlNode,
    ControlNodeConfig,
    LeadershipTransferRequested,
    RequestArrived,
    SendReply,
)
from tanagerpath.core.coordination import (
    CallUpstream,
    UpstreamCallFailed,
    UpstreamReplied,
)
from tanagerpath.core.placement import GuaranteeScheduler, SchedulerConfig
from tanagerpath.errors import Failure, FailureError

__all__ = ["ControlVm", "WatchedReplica"]

EXCHANGE_TIMEOUT_S = 1.0
MAX_WAKE_DELAY_S = 0.005
MIN_WAKE_INTERVAL_S = 0.0005


def make_scheduler() -> GuaranteeScheduler:
    """Return a fresh scheduling policy."""
    return GuaranteeScheduler.from_config(SchedulerConfig())


class WatchedReplica(consensus.Replica):
    """Replica that keeps its steps for the consensus invariants."""

    def step(self, event: consensus.Event, now_s: float) -> list[consensus.Action]:
        """Take an event; see the base class."""
        actions = super().step(event, now_s)
        self.__dict__.setdefault("watched", []).append((event, actions))
        return actions

    def take_steps(self) -> list[tuple[consensus.Event, list[consensus.Action]]]:
        """Return the steps since the last call."""
        return self.__dict__.pop("watched", [])


class ControlVm(Party):
    """One control VM: its disk, and the process that runs on it, if any.

    Parameters
    ----------
    world : World
        Where it lives.
    config : ControlNodeConfig
        Settings of the node.
    parties : dict of str to Party
        Everyone, by name and by address.
    promises : Promises
        Sees what the process answers and decides.
    """

    def __init__(
        self,
        world: World,
        config: ControlNodeConfig,
        parties: dict[str, Party],
        promises: Promises,
    ) -> None:
        super().__init__(world, config.replica.vm_id)
        self.config = config
        self.vm_id = config.replica.vm_id
        self.address = config.replica.address
        self.disk = SimulatedDisk()
        self.node: ControlNode | None = None
        self._parties = parties
        self._promises = promises
        self._tokens = itertools.count(1)
        self._open: dict[int, tuple[object, Respond]] = {}
        self._wake_at_s: float | None = None

    @property
    def replica(self) -> WatchedReplica | None:
        """Replica of the running process."""
        return None if self.node is None else self.node.replica

    @property
    def has_lease(self) -> bool:
        """Whether the process, frozen or not, holds the leader's lease."""
        return self.replica is not None and self.replica.has_lease(self.local_s)

    def start(self) -> None:
        """Start a process on what the disk holds."""
        if self.is_up:
            return
        self.begin()
        self._open.clear()
        self._wake_at_s = None
        source = random.Random(self.world.random.getrandbits(64))
        restored = self.disk.durable.restore()
        replica = WatchedReplica.from_config(self.config.replica, restored, source)
        self.node = ControlNode(self.config, replica, JsonStateCodec(), make_scheduler)
        self.world.note(f"{self.name} starts as {replica.replica_id}")
        self._step([])

    def crash(self) -> None:
        """Kill the process; unsynced writes may be lost."""
        self.end()
        self.node = None
        self.disk.crash(self.world.random)

    def empty_disk(self) -> None:
        """Kill the process and lose the disk."""
        self.crash()
        lost = self.disk.durable
        self.disk.empty()
        self._promises.monitor.record_emptied(self, lost)

    def hand_over(self) -> None:
        """Ask the process to give leadership away."""
        token = next(self._tokens)
        self._open[token] = (None, lambda reply: None)
        self.take(LeadershipTransferRequested(token))

    def serve(self, request: object, respond: Respond) -> None:
        """Take a request of an entry."""
        token = next(self._tokens)
        self._open[token] = (request, respond)
        self.take(RequestArrived(token, request))

    def take(self, event: ControlEvent) -> None:
        """Let the node take an event."""
        if self.node is not None:
            self._step([event])

    def thaw(self) -> None:
        """Go on, with the timer before or after the messages that wait."""
        if self.frozen and self.world.random.random() < 0.5:
            self.frozen = False
            self._step([])
            self.frozen = True
        super().thaw()
        if self.node is not None:
            self._step([])

    def _step(self, events: list[ControlEvent]) -> None:
        node, start = self.node, self.starts
        if node is None:
            return
        try:
            actions = node.step(events, self.local_s, self.world.unix_s)
        except FailureError as error:
            self._promises.monitor.record_failure(self, error.failure)
            self.crash()
            return
        for action in actions:
            self._carry_out(action)
        for event, watched in node.replica.take_steps():
            self._promises.monitor.record_step(self, event, watched)
        self._promises.check_node(self)
        if self.starts == start and self.is_up:
            self._plan_wake()

    def _carry_out(self, action: ControlAction) -> None:
        match action:
            case consensus.PersistState():
                if self.disk.write(action):
                    self._begin_sync()
            case consensus.SendMessage():
                self._send(action)
            case SendReply(token, reply):
                request, respond = self._open.pop(token)
                self._promises.note_leader_answer(self, request, reply)
                respond(reply)
            case CallUpstream():
                self._call(action)

    def _begin_sync(self) -> None:
        if self.disk.begin_sync():
            start = self.starts
            delay_s = self.world.random.uniform(MIN_SYNC_S, MAX_SYNC_S)
            self.world.schedule(delay_s, lambda: self._end_sync(start))

    def _end_sync(self, start: int) -> None:
        if not self.is_up or self.starts != start:
            return
        sequence = self.disk.end_sync()
        self._begin_sync()
        self.receive(lambda: self.take(consensus.StorageSynced(sequence)))

    def _send(self, action: consensus.SendMessage) -> None:
        receiver = self._parties.get(action.address)
        if receiver is None:
            return
        event = consensus.MessageReceived(
            action.sender, action.message, action.receiver, action.group_id
        )

        def deliver() -> None:
            if receiver.is_up:
                receiver.receive(lambda: receiver.take(event))

        self.world.transmit(self.name, receiver.name, deliver)

    def _call(self, call: CallUpstream) -> None:
        def finish(reply: object) -> None:
            kind = UpstreamCallFailed if isinstance(reply, Failure) else UpstreamReplied
            event = kind(call.upstream_id, call.incarnation, call.request, reply)
            self.take(event)

        upstream = self._parties[call.upstream_id]
        self.world.exchange(self, upstream, call.request, finish, EXCHANGE_TIMEOUT_S)

    def _plan_wake(self) -> None:
        wake_s = self.clock.find_real_s(self.node.find_wake_up_s())
        wake_s = max(wake_s, self.world.now_s + MIN_WAKE_INTERVAL_S)
        if self._wake_at_s is not None and self._wake_at_s <= wake_s:
            return
        self._wake_at_s = wake_s
        start = self.starts
        delay_s = wake_s - self.world.now_s
        delay_s += self.world.random.uniform(0, MAX_WAKE_DELAY_S)
        self.world.schedule(delay_s, lambda: self._wake(start, wake_s))

    def _wake(self, start: int, wake_s: float) -> None:
        if self.starts != start or self._wake_at_s != wake_s:
            return
        self._wake_at_s = None
        if self.is_up and not self.frozen:
            self._step([])

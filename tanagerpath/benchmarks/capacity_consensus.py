"""Cost of the replicated log: three replicas that exchange encoded messages."""

import collections
import random
import time

from tanagerpath.benchmarks.capacity_state import make_job_commands
from tanagerpath.benchmarks.slopes import LineSpec, Probe
from tanagerpath.codecs.replication import (
    StoredBatch,
    StoredWrite,
    decode_batch,
    encode_batch,
    encode_stored,
)
from tanagerpath.codecs.state import JsonStateCodec
from tanagerpath.core.consensus import (
    Action,
    CommandProposed,
    DeliverCommitted,
    Event,
    PersistState,
    Replica,
    ReplicaConfig,
    RequestSnapshot,
    RestoredState,
    Role,
    SendMessage,
    SnapshotProvided,
    StorageSynced,
    Tick,
)

__all__ = ["ConsensusProbe", "ReplicaGroup"]

REPLICAS = 3
FORMATION_STEPS = 400
STEP_S = 0.05
HEARTBEAT_S = 0.1
SAMPLES = 20

_CODEC = JsonStateCodec()


class ReplicaGroup:
    """Three replicas in virtual time; each message is encoded and decoded.

    Processor time is counted for each replica: its steps, the encoding of what it
    sends and stores, and the decoding of what it receives.

    Parameters
    ----------
    seed : int
        Seed of identities and election timeouts.
    """

    def __init__(self, seed: int) -> None:
        self.now_s = 10.0
        vms = {f"c{i}": f"10.0.0.{i}:7100" for i in range(REPLICAS)}
        self.replicas = {
            address: self._make_replica(vm_id, vms, seed + number)
            for number, (vm_id, address) in enumerate(vms.items())
        }
        self.processor_s: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.messages: collections.Counter[str] = collections.Counter()
        self._wire: list[tuple[str, bytes]] = []
        self.leader = self._elect()

    def _make_replica(self, vm_id: str, vms: dict[str, str], seed: int) -> Replica:
        config = ReplicaConfig(
            vm_id=vm_id,
            address=vms[vm_id],
            vms=vms,
            snapshot_after_entries=10**9,
        )
        return Replica.from_config(config, RestoredState(), random.Random(seed))

    def _elect(self) -> str:
        for _ in range(FORMATION_STEPS):
            self.now_s += STEP_S
            self.tick()
            for address, replica in self.replicas.items():
                if replica.role is Role.LEADER and replica.has_lease(self.now_s):
                    return address
        raise RuntimeError("no replica leads")

    @property
    def followers(self) -> list[str]:
        """Addresses of the other replicas."""
        return [address for address in self.replicas if address != self.leader]

    def reset(self) -> None:
        """Set all counts to zero."""
        self.processor_s.clear()
        self.sent_bytes.clear()
        self.messages.clear()

    def tick(self) -> None:
        """Tell all replicas the time and deliver what follows."""
        for address in self.replicas:
            self._step(address, [Tick()])
        self.deliver()

    def propose(self, payloads: list[str]) -> None:
        """Commit commands that arrive together."""
        events = [CommandProposed(i, text) for i, text in enumerate(payloads)]
        self._step(self.leader, events)
        self.deliver()

    def deliver(self) -> None:
        """Deliver messages until none is left."""
        while self._wire:
            address, body = self._wire.pop(0)
            begun_s = time.thread_time()
            events = decode_batch(body).unwrap()
            self.processor_s[address] += time.thread_time() - begun_s
            self._step(address, events)

    def _step(self, address: str, events: list[Event]) -> None:
        """Take events, sync once, and send what they caused, batched by receiver."""
        begun_s = time.thread_time()
        replica = self.replicas[address]
        actions = [a for event in events for a in replica.step(event, self.now_s)]
        outbox: dict[str, list[SendMessage]] = collections.defaultdict(list)
        while actions:
            actions = self._carry_out(replica, actions, outbox)
        for receiver, messages in outbox.items():
            body = encode_batch(messages)
            self.sent_bytes[address] += len(body)
            self.messages[address] += 1
            self._wire.append((receiver, body))
        self.processor_s[address] += time.thread_time() - begun_s

    def _carry_out(
        self,
        replica: Replica,
        actions: list[Action],
        outbox: dict[str, list[SendMessage]],
    ) -> list[Action]:
        writes: list[PersistState] = []
        following: list[Action] = []
        for action in actions:
            match action:
                case SendMessage() if action.address:
                    outbox[action.address].append(action)
                case PersistState():
                    writes.append(action)
                case DeliverCommitted(entries):
                    self._apply(replica, entries)
                case RequestSnapshot(last_index):
                    event = SnapshotProvided(last_index, "{}")
                    following += replica.step(event, self.now_s)
        if writes:
            stored = [StoredWrite.from_persist(w, replica.replica_id) for w in writes]
            encode_stored(StoredBatch(tuple(stored)))
            event = StorageSynced(writes[-1].sequence)
            following += replica.step(event, self.now_s)
        return following

    def _apply(self, replica: Replica, entries: tuple) -> None:
        """Decode what this replica did not propose itself, as `ControlTask` does."""
        for committed in entries:
            if committed.entry.payload and committed.proposal_id is None:
                _CODEC.decode_command(committed.entry.payload)


class ConsensusProbe(Probe):
    """Committed entries and heartbeats; sizes are entries that commit together."""

    specs = (
        LineSpec(
            "consensus.leader", "s", "entry", "3 voters; AcceptJob, 200 B payload"
        ),
        LineSpec("consensus.follower", "s", "entry", "the same, one follower"),
        LineSpec("consensus.leader_bytes", "B", "entry", "bodies to both followers"),
        LineSpec("consensus.follower_bytes", "B", "entry", "bodies of one follower"),
        LineSpec("consensus.leader_bodies", "bodies", "entry", "bodies sent"),
        LineSpec("consensus.heartbeat_leader", "s", "entry", "a heartbeat to both"),
        LineSpec("consensus.heartbeat_follower", "s", "entry", "one follower"),
        LineSpec("consensus.heartbeat_bytes", "B", "entry", "both ways, one follower"),
    )

    def __init__(self, sizes: tuple[int, ...] = (1, 16, 128), seed: int = 1) -> None:
        self.sizes = sizes
        self._seed = seed

    def prepare(self, size: int) -> None:
        """Form a group and make payloads."""
        self._group = ReplicaGroup(self._seed)
        commands = [make_job_commands(number, 1, False)[0] for number in range(size)]
        self._payloads = [_CODEC.encode_command(command) for command in commands]
        for _ in range(3):
            self._group.propose(self._payloads)

    def measure(self) -> dict[str, float]:
        """See `Probe`."""
        return self._measure_entries() | self._measure_heartbeats()

    def _measure_entries(self) -> dict[str, float]:
        group = self._group
        group.reset()
        for _ in range(SAMPLES):
            group.propose(self._payloads)
        follower = group.followers[0]
        return {
            "consensus.leader": group.processor_s[group.leader] / SAMPLES,
            "consensus.follower": group.processor_s[follower] / SAMPLES,
            "consensus.leader_bytes": group.sent_bytes[group.leader] / SAMPLES,
            "consensus.follower_bytes": group.sent_bytes[follower] / SAMPLES,
            "consensus.leader_bodies": group.messages[group.leader] / SAMPLES,
        }

    def _measure_heartbeats(self) -> dict[str, float]:
        group = self._group
        # Followers apply the last burst with the first heartbeat after it.
        group.now_s += HEARTBEAT_S
        group.tick()
        group.reset()
        for _ in range(SAMPLES):
            group.now_s += HEARTBEAT_S
            group.tick()
        follower = group.followers[0]
        to_follower = group.sent_bytes[group.leader] / len(group.followers)
        both_ways = to_follower + group.sent_bytes[follower]
        return {
            "consensus.heartbeat_leader": group.processor_s[group.leader] / SAMPLES,
            "consensus.heartbeat_follower": group.processor_s[follower] / SAMPLES,
            "consensus.heartbeat_bytes": both_ways / SAMPLES,
        }

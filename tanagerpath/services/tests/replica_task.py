"""Minimal task that owns a replica, steps it and executes its actions."""

import random

import anyio
import attrs
from returns.result import Failure as ResultFailure
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tanagerpath.codecs.replication import decode_batch
from tanagerpath.core.consensus import (
    CommandProposed,
    DeliverCommitted,
    PersistState,
    ProposalRejected,
    Replica,
    ReplicaConfig,
    RequestSnapshot,
    RestoreSnapshot,
    SendMessage,
    SnapshotProvided,
    Tick,
)
from tanagerpath.runtime import (
    Mailbox,
    Reply,
    StorageTask,
    Task,
    load_state,
    set_aside_corrupt,
)
from tanagerpath.runtime.server import HttpServer
from tanagerpath.services.peers import CONSENSUS_PATH, PeerSet


@attrs.frozen
class Propose:
    """Proposes a command; `reply` gets its index or a failure."""

    payload: str
    reply: Reply


class ReplicaTask(Task):
    """Owns a replica whose state machine is the list of all commands."""

    def __init__(self, directory, config, listener):
        restored = self._load(directory)
        self.mailbox = Mailbox("replica")
        self.replica = Replica.from_config(config, restored, random.SystemRandom())
        self.storage = StorageTask.from_directory(directory, restored, self.mailbox)
        route = Route(CONSENSUS_PATH, self._handle_batch, methods=["POST"])
        self.server = HttpServer(listener, [route])
        self.applied = []
        self._replies = {}
        self._proposals = 0

    def _load(self, directory):
        result = load_state(directory)
        if isinstance(result, ResultFailure):
            set_aside_corrupt(directory)
            result = load_state(directory)
        return result.unwrap()

    @classmethod
    def from_vm(cls, directory, vm_id, vms, listener, **settings):
        config = ReplicaConfig(vm_id=vm_id, address=vms[vm_id], vms=vms, **settings)
        return cls(directory, config, listener)

    async def _handle_batch(self, request: Request) -> Response:
        events = decode_batch(await request.body())
        if isinstance(events, ResultFailure):
            return Response(status_code=400)
        for event in events.unwrap():
            self.mailbox.post(event)
        return Response(status_code=204)

    async def run(self):
        async with anyio.create_task_group() as tasks:
            self.peers = PeerSet(tasks, self.mailbox)
            tasks.start_soon(self.storage.run)
            while True:
                event = await self.mailbox.receive(self.replica.find_wake_up_s())
                self._execute(self._translate(event))
                self.peers.retain(self.replica.peer_addresses)

    def _translate(self, event):
        if event is None:
            return Tick()
        if isinstance(event, Propose):
            self._proposals += 1
            self._replies[self._proposals] = event.reply
            return CommandProposed(self._proposals, event.payload)
        return event

    def _execute(self, event):
        for action in self.replica.step(event, anyio.current_time()):
            if isinstance(action, PersistState):
                self.storage.mailbox.post(action)
            elif isinstance(action, SendMessage):
                self.peers.send(action)
            elif isinstance(action, DeliverCommitted):
                self._apply(action)
            elif isinstance(action, ProposalRejected):
                self._replies.pop(action.proposal_id).send(action.failure)
            elif isinstance(action, RestoreSnapshot):
                self.applied = action.snapshot.payload.split("\n")
            elif isinstance(action, RequestSnapshot):
                text = "\n".join(self.applied)
                self.mailbox.post(SnapshotProvided(action.last_index, text))

    def _apply(self, action):
        for committed in action.entries:
            if committed.entry.payload:
                self.applied.append(committed.entry.payload)
            if committed.proposal_id in self._replies:
                reply = self._replies.pop(committed.proposal_id)
                reply.send(committed.entry.index)

    async def propose(self, payload, timeout_s=5.0):
        reply = Reply()
        self.mailbox.post(Propose(payload, reply))
        return await reply.receive(anyio.current_time() + timeout_s)

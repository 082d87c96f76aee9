"""Tasks that send messages to the other replicas."""

from typing import Any

import anyio
from anyio.abc import TaskGroup

from tanagerpath.codecs.replication import decode_batch, encode_batch
from tanagerpath.core.consensus import SendMessage
from tanagerpath.runtime.client import HttpClient
from tanagerpath.runtime.mailbox import Mailbox
from tanagerpath.runtime.tasks import Task
from tanagerpath.services.peer_queue import PeerQueue

__all__ = ["CONSENSUS_PATH", "PeerSet", "PeerTask", "decode_batch"]

CONSENSUS_PATH = "/internal/v1/consensus"
EXCHANGE_TIMEOUT_S = 1.0
OK_STATUS = 200
NO_CONTENT_STATUS = 204
# About 10 s of heartbeats and replies; the protocol has no use for older messages.
MAILBOX_CAPACITY = 256


class PeerTask(Task):
    """Sends messages to one address, one exchange after the other.

    Messages of a failed exchange are not sent again; the consensus protocol retries
    where necessary.

    Parameters
    ----------
    client : HttpClient
        Client of the address; closed when the task ends.
    owner : Mailbox
        Receives each `MessageReceived` of a response.
    capacity : int
        Maximum length of the queue; the oldest messages are dropped beyond it.
    timeout_s : float
        Timeout of one exchange.
    """

    def __init__(
        self,
        client: HttpClient,
        owner: Mailbox[Any],
        capacity: int = MAILBOX_CAPACITY,
        timeout_s: float = EXCHANGE_TIMEOUT_S,
    ) -> None:
        self._client = client
        self._owner = owner
        self._timeout_s = timeout_s
        self._queue = PeerQueue(capacity)
        self._posted = anyio.Event()
        self._is_sending = False
        self.dropped = 0
        self.failed_exchanges = 0

    @property
    def is_idle(self) -> bool:
        """Whether no message is queued or in flight."""
        return not self._queue and not self._is_sending

    def post(self, message: SendMessage) -> None:
        """Queue a message; drop the older half of the queue if it is full."""
        self.dropped += self._queue.add(message)
        self._posted.set()

    async def run(self) -> None:
        """Send until cancelled."""
        try:
            while True:
                await self._send_waiting()
        finally:
            with anyio.CancelScope(shield=True):
                await self._client.close()

    async def _send_waiting(self) -> None:
        messages = await self._take_messages()
        self._is_sending = True
        result = await self._client.exchange(
            "POST",
            CONSENSUS_PATH,
            encode_batch(messages),
            timeout_s=self._timeout_s,
        )
        self._is_sending = False
        reply = result.value_or(None)
        if reply is None or reply.status not in (OK_STATUS, NO_CONTENT_STATUS):
            self.failed_exchanges += 1
        elif reply.status == OK_STATUS:
            for received in decode_batch(reply.body).value_or([]):
                self._owner.post(received)

    async def _take_messages(self) -> list[SendMessage]:
        """Wait for messages and return those of the next exchange."""
        if not self._queue:
            self._posted = anyio.Event()
            await self._posted.wait()
        return self._queue.take_exchange()


class PeerSet:
    """Keeps one `PeerTask` for each address in use.

    Parameters
    ----------
    tasks : TaskGroup
        Group that runs the peer tasks.
    owner : Mailbox
        Receives each `MessageReceived` of a response.
    """

    def __init__(self, tasks: TaskGroup, owner: Mailbox[Any]) -> None:
        self._tasks = tasks
        self._owner = owner
        self._peers: dict[str, PeerTask] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}

    @property
    def addresses(self) -> frozenset[str]:
        """Addresses with an open task."""
        return frozenset(self._peers)

    def send(self, message: SendMessage) -> None:
        """Queue a message for its address; drop it if it has none."""
        if not message.address:
            return
        if message.address not in self._peers:
            self._open(message.address)
        self._peers[message.address].post(message)

    def _open(self, address: str) -> None:
        self._peers[address] = PeerTask(
            HttpClient(address, max_connections=1), self._owner
        )
        self._scopes[address] = anyio.CancelScope()
        self._tasks.start_soon(self._run, self._peers[address], self._scopes[address])

    async def _run(self, peer: PeerTask, scope: anyio.CancelScope) -> None:
        with scope:
            await peer.run()

    def retain(self, addresses: frozenset[str]) -> None:
        """Close the idle tasks of all other addresses.

        Tasks with unsent messages are kept: the reply to a join request goes to a
        replica that is not a member yet.

        Parameters
        ----------
        addresses : frozenset of str
            Addresses still in use; see `Replica.peer_addresses`.
        """
        for address in self.addresses - addresses:
            if self._peers[address].is_idle:
                self._close(address)

    def _close(self, address: str) -> None:
        del self._peers[address]
        self._scopes.pop(address).cancel()

    def close(self) -> None:
        """Close all tasks."""
        for address in self.addresses:
            self._close(address)

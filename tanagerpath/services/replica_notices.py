"""Tells control processes without a replica where replicas are."""

import anyio

from tanagerpath.codecs.replication import encode_batch
from tanagerpath.core.admission import SearchingRoute
from tanagerpath.core.consensus import ReplicaNotice, SendMessage
from tanagerpath.runtime import Task
from tanagerpath.runtime.client import HttpClient
from tanagerpath.services.peers import CONSENSUS_PATH

__all__ = ["ReplicaNotifier"]

NOTICE_INTERVAL_S = 1.0


class ReplicaNotifier(Task):
    """Tells the control processes that the settings name where this replica is.

    After a restart of everything, processes whose settings name only control processes
    without a replica would find no leader: these remember nothing, and the leader finds
    its followers in the log.

    Parameters
    ----------
    address : str
        "ip:port" at which this process takes messages.
    route : SearchingRoute
        Has the control processes that the settings name at present.
    exchange_timeout_s : float
        Time for one exchange.
    """

    def __init__(
        self, address: str, route: SearchingRoute, exchange_timeout_s: float
    ) -> None:
        self._address = address
        self._route = route
        self._exchange_timeout_s = exchange_timeout_s
        self._clients: dict[str, HttpClient] = {}

    async def run(self) -> None:
        """Send notices until cancelled."""
        try:
            while True:
                async with anyio.create_task_group() as notices:
                    for seed in self._route.seeds:
                        if seed != self._address:
                            notices.start_soon(self._send, seed)
                await anyio.sleep(NOTICE_INTERVAL_S)
        finally:
            with anyio.CancelScope(shield=True):
                for client in self._clients.values():
                    await client.close()

    async def _send(self, seed: str) -> None:
        vm_id = self._address.rpartition(":")[0]
        notice = SendMessage(
            "",
            ReplicaNotice(self._address),
            seed,
            vm_id,
            sender_address=self._address,
        )
        client = self._clients.get(seed)
        if client is None:
            client = self._clients[seed] = HttpClient(seed, max_connections=1)
        # A notice that is lost is followed by the next one.
        await client.exchange(
            "POST",
            CONSENSUS_PATH,
            encode_batch([notice]),
            timeout_s=self._exchange_timeout_s,
        )

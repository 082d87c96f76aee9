"""Task that announces a replica to control processes without one."""

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
    """Announces the address of this replica to the seeds.

    Control processes without a replica keep no state, and the leader reads the
    addresses of its followers from the log. Without notices, processes whose seeds all
    have no replica would find no leader after a restart of the whole system.

    Parameters
    ----------
    address : str
        "ip:port" at which this process receives messages.
    route : SearchingRoute
        Knows the current seeds.
    exchange_timeout_s : float
        Timeout of one exchange.
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
        # The result is ignored: a lost notice is repeated after the interval.
        await client.exchange(
            "POST",
            CONSENSUS_PATH,
            encode_batch([notice]),
            timeout_s=self._exchange_timeout_s,
        )

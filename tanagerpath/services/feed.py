"""Task of an entry process that polls the leader's feed."""

import anyio
import attrs
from returns.pipeline import is_successful

from tanagerpath.codecs import decode_json, encode_json
from tanagerpath.core.admission import LeaderRoute
from tanagerpath.core.protocol.internal import (
    FeedReply,
    FeedRequest,
    InternalReply,
    InternalRequest,
    NotLeaderReply,
)
from tanagerpath.runtime import Mailbox, Task
from tanagerpath.runtime.client import HttpClient
from tanagerpath.services.job_protocol import JOB_PROTOCOL
from tanagerpath.services.leader_link import LeaderFound

__all__ = ["FeedArrived", "FeedTask"]

SEARCH_DELAY_S = 0.05


@attrs.frozen
class FeedArrived:
    """A feed reply with the time at which its poll was sent."""

    reply: FeedReply
    asked_at_s: float


class FeedTask(Task):
    """Polls the leader and forwards each reply to the entry task.

    Parameters
    ----------
    entry_id : str
        ID of this entry.
    addresses : tuple of str
        "ip:port" of all control processes.
    timeout_s : float
        Timeout of one poll; longer than the leader holds the poll open.
    entry : Mailbox
        Receives `FeedArrived`.
    leader_link : Mailbox
        Receives `LeaderFound`.
    """

    def __init__(
        self,
        entry_id: str,
        addresses: tuple[str, ...],
        timeout_s: float,
        entry: Mailbox,
        leader_link: Mailbox,
    ) -> None:
        self._entry_id = entry_id
        self._route = LeaderRoute(addresses)
        self._timeout_s = timeout_s
        self._entry = entry
        self._leader_link = leader_link
        self._clients = {address: HttpClient(address, 1) for address in addresses}
        self._index = 0

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            if not await self._poll():
                await anyio.sleep(SEARCH_DELAY_S)

    async def _poll(self) -> bool:
        address = self._route.choose()
        client = self._clients.setdefault(address, HttpClient(address, 1))
        body = encode_json(FeedRequest(self._entry_id, self._index), InternalRequest)
        asked_at_s = anyio.current_time()
        result = await client.exchange(
            "POST", JOB_PROTOCOL.path, body.encode(), timeout_s=self._timeout_s
        )
        if not is_successful(result) or result.unwrap().status != 200:
            self._route.note_no_reply(address)
            return False
        match decode_json(result.unwrap().body, InternalReply).value_or(None):
            case FeedReply() as reply:
                self._handle_reply(address, reply, asked_at_s)
                return True
            case NotLeaderReply(leader_address=hinted):
                self._route.note_hint(address, hinted)
        return False

    def _handle_reply(self, address: str, reply: FeedReply, asked_at_s: float) -> None:
        self._route.note_leader(address)
        self._leader_link.post(LeaderFound(address))
        # Ignores a leader that has applied fewer entries than this process has seen.
        if reply.index >= self._index:
            self._index = reply.index
            self._entry.post(FeedArrived(reply, asked_at_s))

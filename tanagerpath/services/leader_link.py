"""Task that owns the connections of a process to the leader."""

from typing import Any

import anyio
import attrs
from returns.pipeline import is_successful
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.codecs import decode_json, encode_json
from tanagerpath.core.admission import (
    NoLeader,
    OutcomeUncertain,
    RetryBudget,
    Route,
)
from tanagerpath.core.consensus import ProposalUncertain
from tanagerpath.core.protocol.internal import (
    InternalReply,
    InternalRequest,
    NotLeaderReply,
)
from tanagerpath.errors import Failure
from tanagerpath.runtime import Mailbox, MailboxFull, Reply, Task
from tanagerpath.runtime.client import ConnectFailed, HttpClient

__all__ = ["JOB_PROTOCOL", "LeaderCall", "LeaderFound", "LeaderLink", "LeaderProtocol"]

MAX_WAITING_CALLS = 4096
CONNECTIONS_PER_CONTROL = 32
RETRY_PAUSE_S = 0.02
# More than one, because a silent process is known only after an exchange timeout.
MAX_SEARCHES = 3
LONGEST_SEARCH_PAUSE_S = 0.2


@attrs.frozen
class LeaderProtocol:
    """Requests that a leader takes, and where.

    Attributes
    ----------
    path : str
        Target of the exchanges.
    request_type, reply_type : union
        Messages; the replies include `NotLeaderReply`.
    """

    path: str
    request_type: Any
    reply_type: Any


JOB_PROTOCOL = LeaderProtocol("/internal/v1/request", InternalRequest, InternalReply)


@attrs.frozen
class LeaderCall:
    """Ask the leader; the reply is sent once, at the deadline at the latest.

    Attributes
    ----------
    request : object
        What to ask.
    reply : Reply
        Receives a `Result` of the leader's reply, or `NoLeader`, `OutcomeUncertain` or
        `MailboxFull`.
    deadline_s : float
        Instant on the clock of the event loop.
    """

    request: object
    reply: Reply
    deadline_s: float


@attrs.frozen
class LeaderFound:
    """The feed found the leader at this address."""

    address: str


@attrs.frozen
class _Exchange:
    """How one exchange for a call ended.

    Attributes
    ----------
    reply : object
        Reply of the leader, None if there is none.
    uncertain : Failure or None
        Why the request may have taken effect all the same.
    may_repeat : bool
        Whether the request may be sent again.
    """

    reply: object = None
    uncertain: Failure | None = None
    may_repeat: bool = True


class LeaderLink(Task):
    """Sends requests to the leader and repeats them where that is safe.

    All internal requests are idempotent: jobs by their key, workloads by their
    identity, documents by their revision, the others by their content.

    While the leader is not known, `MAX_SEARCHES` of the waiting calls look for it and
    the others wait for what these find. If each call searched, a time without a leader
    would load the control processes so much that the next election came late.

    Parameters
    ----------
    route : Route
        Which control process to ask.
    protocol : LeaderProtocol
        Requests and replies.
    exchange_timeout_s : float
        Time for one exchange.
    budget : RetryBudget
        Bounds the repeats of exchanges that ended without a reply.
    retry_pause_s : float
        Seconds between two exchanges for one request; a search for the leader takes
        longer and longer pauses.
    """

    def __init__(
        self,
        route: Route,
        protocol: LeaderProtocol,
        exchange_timeout_s: float,
        budget: RetryBudget,
        retry_pause_s: float = RETRY_PAUSE_S,
    ) -> None:
        self._route = route
        self._protocol = protocol
        self._exchange_timeout_s = exchange_timeout_s
        self._budget = budget
        self._retry_pause_s = retry_pause_s
        self._search_pause_s = retry_pause_s
        self._searches = anyio.Semaphore(MAX_SEARCHES)
        self._clients: dict[str, HttpClient] = {}
        self._leader_known = anyio.Event()
        self.mailbox: Mailbox[LeaderCall | LeaderFound] = Mailbox(
            "leader link", MAX_WAITING_CALLS
        )

    async def call(self, request: object, deadline_s: float) -> Result[Any, Failure]:
        """Ask the leader from another task.

        Parameters
        ----------
        request : object
            What to ask.
        deadline_s : float
            Instant on the clock of the event loop.

        Returns
        -------
        Result
            The leader's reply, or `NoLeader`, `OutcomeUncertain` or `MailboxFull`.
        """
        reply: Reply[Result[Any, Failure]] = Reply()
        full = self.mailbox.post(LeaderCall(request, reply, deadline_s))
        if full is not None:
            return ResultFailure(full)
        result = await reply.receive()
        return ResultFailure(NoLeader()) if result is None else result

    async def run(self) -> None:
        """Carry out calls until cancelled."""
        try:
            async with anyio.create_task_group() as calls:
                while True:
                    match await self.mailbox.receive():
                        case LeaderFound(address):
                            self._route.note_leader(address)
                            self._leader_known.set()
                        case LeaderCall() as call:
                            self._budget.note_request()
                            calls.start_soon(self._carry_out, call)
        finally:
            with anyio.CancelScope(shield=True):
                for client in self._clients.values():
                    await client.close()

    async def _carry_out(self, call: LeaderCall) -> None:
        body = encode_json(call.request, self._protocol.request_type).encode()
        uncertain: Failure | None = None
        while anyio.current_time() < call.deadline_s:
            if self._route.is_confirmed:
                ended = await self._ask_leader(call, body)
            else:
                ended = await self._search_leader(call, body)
            if ended.reply is not None:
                call.reply.send(Success(ended.reply))
                return
            uncertain = ended.uncertain or uncertain
            if not ended.may_repeat:
                break
        if uncertain is None:
            call.reply.send(ResultFailure(NoLeader()))
        else:
            failure = OutcomeUncertain(detail=uncertain.message)
            call.reply.send(ResultFailure(failure))

    async def _ask_leader(self, call: LeaderCall, body: bytes) -> _Exchange:
        ended = await self._ask_next(call, body)
        if ended.reply is None and ended.may_repeat:
            await anyio.sleep(self._retry_pause_s)
        return ended

    async def _search_leader(self, call: LeaderCall, body: bytes) -> _Exchange:
        """Look for the leader when it is this call's turn."""
        if not await self._take_search_turn(call.deadline_s):
            return _Exchange()
        try:
            if self._route.is_confirmed:
                return _Exchange()
            ended = await self._ask_next(call, body)
            if ended.reply is None and ended.may_repeat:
                await self._pause_search(call.deadline_s)
            return ended
        finally:
            self._searches.release()

    async def _take_search_turn(self, deadline_s: float) -> bool:
        with anyio.CancelScope(deadline=deadline_s):
            await self._searches.acquire()
            return True
        return False

    async def _pause_search(self, deadline_s: float) -> None:
        """Wait before the next search; a named leader is asked without delay."""
        if self._route.leader_address is not None:
            pause_s = self._retry_pause_s
        else:
            pause_s = self._search_pause_s
            self._search_pause_s = min(2 * pause_s, LONGEST_SEARCH_PAUSE_S)
        left_s = deadline_s - anyio.current_time()
        await anyio.sleep(min(pause_s, max(left_s, 0.0)))

    async def _ask_next(self, call: LeaderCall, body: bytes) -> _Exchange:
        """Send a request to the process that the route names, and note the outcome."""
        address = self._route.find_address(anyio.current_time())
        if address is None:
            await self._wait_for_leader(call.deadline_s)
            return _Exchange()
        result = await self._exchange(address, body, call.deadline_s)
        if is_successful(result):
            return self._take_reply(address, result.unwrap())
        self._route.note_silence(address, anyio.current_time())
        if isinstance(result.failure(), ConnectFailed):
            return _Exchange()
        may_repeat = self._budget.take_retry()
        return _Exchange(uncertain=result.failure(), may_repeat=may_repeat)

    def _take_reply(self, address: str, reply: object) -> _Exchange:
        if not isinstance(reply, NotLeaderReply):
            self._route.note_leader(address)
            self._search_pause_s = self._retry_pause_s
            return _Exchange(reply=reply)
        self._route.note_hint(address, reply.leader_address)
        return _Exchange(uncertain=ProposalUncertain() if reply.may_commit else None)

    async def _wait_for_leader(self, deadline_s: float) -> None:
        if self._leader_known.is_set():
            self._leader_known = anyio.Event()
        with anyio.CancelScope(deadline=deadline_s):
            await self._leader_known.wait()

    async def _exchange(
        self, address: str, body: bytes, deadline_s: float
    ) -> Result[Any, Failure]:
        client = self._clients.get(address)
        if client is None:
            client = HttpClient(address, CONNECTIONS_PER_CONTROL)
            self._clients[address] = client
        left_s = deadline_s - anyio.current_time()
        result = await client.exchange(
            "POST",
            self._protocol.path,
            body,
            timeout_s=min(self._exchange_timeout_s, left_s),
        )
        if not is_successful(result):
            return result
        reply = result.unwrap()
        if reply.status != 200:
            return ResultFailure(MailboxFull(task=address))
        return decode_json(reply.body, self._protocol.reply_type)

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
    search_request : object, optional
        Request that only asks for the leader; None where another task finds it.
    """

    path: str
    request_type: Any
    reply_type: Any
    search_request: object = None


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
    is_cut : bool
        Whether a connection ended or timed out before the reply.
    """

    reply: object = None
    uncertain: Failure | None = None
    is_cut: bool = False


class LeaderLink(Task):
    """Sends requests to the leader and repeats them where that is safe.

    All internal requests are idempotent: jobs by their key, workloads by their
    identity, documents by their revision, the others by their content.

    While the leader is not known, calls wait for tasks that look for it. If each call
    searched, a time without a leader would load the control processes so much that the
    next election came late; and calls whose deadline is near would take a leader for
    silent that had no time to answer.

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
        self._waiting = 0
        self._search_wanted = anyio.Event()
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
                if self._protocol.search_request is not None:
                    for _ in range(MAX_SEARCHES):
                        calls.start_soon(self._search)
                while True:
                    match await self.mailbox.receive():
                        case LeaderFound(address):
                            self._note_leader(address)
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
            address = self._find_address()
            if address is None:
                await self._wait_for_leader(call.deadline_s)
                continue
            left_s = call.deadline_s - anyio.current_time()
            ended = await self._ask(address, body, left_s)
            if ended.reply is not None:
                call.reply.send(Success(ended.reply))
                return
            uncertain = ended.uncertain or uncertain
            if ended.is_cut and not self._budget.take_retry():
                break
            await anyio.sleep(self._retry_pause_s)
        if uncertain is None:
            call.reply.send(ResultFailure(NoLeader()))
        else:
            failure = OutcomeUncertain(detail=uncertain.message)
            call.reply.send(ResultFailure(failure))

    def _find_address(self) -> str | None:
        """Return the process that a call may ask, None if it has to wait."""
        is_searched = self._protocol.search_request is not None
        if is_searched and not self._route.is_confirmed:
            return None
        return self._route.find_address(anyio.current_time())

    async def _ask(self, address: str, body: bytes, left_s: float) -> _Exchange:
        """Send a request to a process, and note the outcome."""
        timeout_s = min(self._exchange_timeout_s, left_s)
        result = await self._exchange(address, body, timeout_s)
        if is_successful(result):
            return self._take_reply(address, result.unwrap())
        failure = result.failure()
        is_unreachable = isinstance(failure, ConnectFailed)
        # A process that got less time than an exchange takes is not known to be silent.
        if is_unreachable or timeout_s == self._exchange_timeout_s:
            self._route.note_no_reply(address, anyio.current_time())
        return _Exchange() if is_unreachable else _Exchange(None, failure, True)

    def _take_reply(self, address: str, reply: object) -> _Exchange:
        if not isinstance(reply, NotLeaderReply):
            self._note_leader(address)
            return _Exchange(reply=reply)
        self._route.note_hint(address, reply.leader_address)
        return _Exchange(uncertain=ProposalUncertain() if reply.may_commit else None)

    def _note_leader(self, address: str) -> None:
        self._route.note_leader(address)
        self._leader_known.set()

    async def _search(self) -> None:
        """Look for the leader while calls wait for one; runs until cancelled."""
        body = encode_json(
            self._protocol.search_request, self._protocol.request_type
        ).encode()
        pause_s = self._retry_pause_s
        while True:
            if self._route.is_confirmed or not self._waiting:
                pause_s = self._retry_pause_s
                if self._search_wanted.is_set():
                    self._search_wanted = anyio.Event()
                await self._search_wanted.wait()
                continue
            address = self._route.find_address(anyio.current_time())
            if address is not None:
                await self._ask(address, body, self._exchange_timeout_s)
            if self._route.is_confirmed:
                continue
            is_named = self._route.leader_address is not None
            await anyio.sleep(self._retry_pause_s if is_named else pause_s)
            pause_s = min(2 * pause_s, LONGEST_SEARCH_PAUSE_S)

    async def _wait_for_leader(self, deadline_s: float) -> None:
        if self._leader_known.is_set():
            self._leader_known = anyio.Event()
        self._waiting += 1
        self._search_wanted.set()
        try:
            with anyio.CancelScope(deadline=deadline_s):
                await self._leader_known.wait()
        finally:
            self._waiting -= 1

    async def _exchange(
        self, address: str, body: bytes, timeout_s: float
    ) -> Result[Any, Failure]:
        client = self._clients.get(address)
        if client is None:
            client = HttpClient(address, CONNECTIONS_PER_CONTROL)
            self._clients[address] = client
        result = await client.exchange(
            "POST", self._protocol.path, body, timeout_s=timeout_s
        )
        if not is_successful(result):
            return result
        reply = result.unwrap()
        if reply.status != 200:
            return ResultFailure(MailboxFull(task=address))
        return decode_json(reply.body, self._protocol.reply_type)

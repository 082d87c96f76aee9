"""Task that owns the connections from a process to the leader."""

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
from tanagerpath.core.protocol.leadership import NotLeaderReply
from tanagerpath.errors import Failure
from tanagerpath.observability.logs import get_logger
from tanagerpath.runtime import Mailbox, MailboxFull, Reply, Task
from tanagerpath.runtime.client import ConnectFailed, HttpClient

__all__ = ["LeaderCall", "LeaderFound", "LeaderLink", "LeaderProtocol"]

MAX_WAITING_CALLS = 4096
CONNECTIONS_PER_CONTROL = 32
RETRY_DELAY_S = 0.02
# A single search would wait for the exchange timeout at each unresponsive process.
MAX_CONCURRENT_SEARCHES = 3
MAX_SEARCH_DELAY_S = 0.2


@attrs.frozen
class LeaderProtocol:
    """Requests that a leader accepts, and their path.

    Attributes
    ----------
    path : str
        Path of the requests.
    request_type, reply_type : union
        Message types; the replies include `NotLeaderReply`.
    search_request : object, optional
        Request that only asks for the leader; None if another task finds the leader.
    """

    path: str
    request_type: Any
    reply_type: Any
    search_request: object = None


@attrs.frozen
class LeaderCall:
    """Sends a request to the leader; `reply` is sent once, by the deadline.

    Attributes
    ----------
    request : object
        Message to send.
    reply : Reply
        Receives a `Result` of the leader's reply, or `NoLeader`, `OutcomeUncertain` or
        `MailboxFull`.
    deadline_s : float
        Time on the clock of the event loop.
    """

    request: object
    reply: Reply
    deadline_s: float


@attrs.frozen
class LeaderFound:
    """Reports that the feed found the leader at this address."""

    address: str


@attrs.frozen
class _ExchangeOutcome:
    """Outcome of one exchange for a call.

    Attributes
    ----------
    reply : object
        Reply of the leader, or None.
    uncertain : Failure or None
        Why the request may have taken effect without a reply.
    is_interrupted : bool
        Whether the connection closed or timed out before the reply.
    """

    reply: object = None
    uncertain: Failure | None = None
    is_interrupted: bool = False


class LeaderLink(Task):
    """Sends requests to the leader and retries them.

    Retries are safe, because all internal requests are idempotent: jobs by their key,
    workloads by their ID, documents by their revision, the others by their content.

    While the leader is unknown, calls wait for the tasks that search for it. If each
    call searched, the load on the control processes would delay the next election, and
    calls close to their deadline would mark a leader as unresponsive although it had
    no time to reply.

    Parameters
    ----------
    route : Route
        Selects the control process to ask.
    protocol : LeaderProtocol
        Requests, replies and their path.
    exchange_timeout_s : float
        Timeout of one exchange.
    budget : RetryBudget
        Limits the retries of exchanges that ended without a reply.
    retry_delay_s : float
        Delay before a request is retried; the delays of a search grow exponentially
        up to `MAX_SEARCH_DELAY_S`.
    """

    def __init__(
        self,
        route: Route,
        protocol: LeaderProtocol,
        exchange_timeout_s: float,
        budget: RetryBudget,
        retry_delay_s: float = RETRY_DELAY_S,
    ) -> None:
        self._route = route
        self._protocol = protocol
        self._exchange_timeout_s = exchange_timeout_s
        self._budget = budget
        self._retry_delay_s = retry_delay_s
        self._waiting_calls = 0
        self._search_requested = anyio.Event()
        self._clients: dict[str, HttpClient] = {}
        self._leader_known = anyio.Event()
        self._log = get_logger("leader link")
        self._last_fault: Failure | None = None
        self.mailbox: Mailbox[LeaderCall | LeaderFound] = Mailbox(
            "leader link", MAX_WAITING_CALLS
        )

    async def call(self, request: object, deadline_s: float) -> Result[Any, Failure]:
        """Send a request to the leader from another task.

        Parameters
        ----------
        request : object
            Message to send.
        deadline_s : float
            Time on the clock of the event loop.

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
        """Process calls until cancelled."""
        try:
            async with anyio.create_task_group() as calls:
                if self._protocol.search_request is not None:
                    for _ in range(MAX_CONCURRENT_SEARCHES):
                        calls.start_soon(self._search)
                while True:
                    match await self.mailbox.receive():
                        case LeaderFound(address):
                            self._note_leader(address)
                        case LeaderCall() as call:
                            self._budget.note_request()
                            calls.start_soon(self._execute_contained, call)
        finally:
            with anyio.CancelScope(shield=True):
                for client in self._clients.values():
                    await client.close()

    async def _execute_contained(self, call: LeaderCall) -> None:
        """Execute a call; an error in it must not end the task of all calls."""
        try:
            await self._execute(call)
        except Exception as error:
            failure = OutcomeUncertain(detail=repr(error))
            self._log_fault(call, failure)
            call.reply.send(ResultFailure(failure))

    def _log_fault(self, call: LeaderCall, failure: Failure) -> None:
        """Log an unexpected error, but not again while it repeats."""
        if failure != self._last_fault:
            self._log.error(
                "call to the leader failed unexpectedly",
                request=type(call.request).__name__,
                reason=failure.message,
            )
        self._last_fault = failure

    async def _execute(self, call: LeaderCall) -> None:
        body = encode_json(call.request, self._protocol.request_type).encode()
        uncertain: Failure | None = None
        while anyio.current_time() < call.deadline_s:
            address = self._find_address()
            if address is None:
                await self._wait_for_leader(call.deadline_s)
                continue
            remaining_s = call.deadline_s - anyio.current_time()
            outcome = await self._ask(address, body, remaining_s)
            if outcome.reply is not None:
                call.reply.send(Success(outcome.reply))
                return
            uncertain = outcome.uncertain or uncertain
            if outcome.is_interrupted and not self._budget.take_retry():
                break
            await anyio.sleep(self._retry_delay_s)
        if uncertain is None:
            call.reply.send(ResultFailure(NoLeader()))
        else:
            failure = OutcomeUncertain(detail=uncertain.message)
            call.reply.send(ResultFailure(failure))

    def _find_address(self) -> str | None:
        """Return the process that a call may ask, or None if it has to wait."""
        has_search = self._protocol.search_request is not None
        if has_search and not self._route.is_confirmed:
            return None
        return self._route.find_address(anyio.current_time())

    async def _ask(
        self, address: str, body: bytes, remaining_s: float
    ) -> _ExchangeOutcome:
        """Send a request to a process and record the outcome in the route."""
        timeout_s = min(self._exchange_timeout_s, remaining_s)
        result = await self._exchange(address, body, timeout_s)
        if is_successful(result):
            return self._handle_reply(address, result.unwrap())
        failure = result.failure()
        is_unreachable = isinstance(failure, ConnectFailed)
        # A process that had less than the exchange timeout may still be responsive.
        if is_unreachable or timeout_s == self._exchange_timeout_s:
            self._route.note_no_reply(address, anyio.current_time())
        return (
            _ExchangeOutcome()
            if is_unreachable
            else _ExchangeOutcome(None, failure, True)
        )

    def _handle_reply(self, address: str, reply: object) -> _ExchangeOutcome:
        if not isinstance(reply, NotLeaderReply):
            self._note_leader(address)
            return _ExchangeOutcome(reply=reply)
        self._route.note_hint(address, reply.leader_address)
        return _ExchangeOutcome(
            uncertain=ProposalUncertain() if reply.may_commit else None
        )

    def _note_leader(self, address: str) -> None:
        self._route.note_leader(address)
        self._leader_known.set()

    async def _search(self) -> None:
        """Search for the leader while calls wait for it, until cancelled."""
        body = encode_json(
            self._protocol.search_request, self._protocol.request_type
        ).encode()
        delay_s = self._retry_delay_s
        while True:
            if self._route.is_confirmed or not self._waiting_calls:
                delay_s = self._retry_delay_s
                if self._search_requested.is_set():
                    self._search_requested = anyio.Event()
                await self._search_requested.wait()
                continue
            address = self._route.find_address(anyio.current_time())
            if address is not None:
                await self._ask(address, body, self._exchange_timeout_s)
            if self._route.is_confirmed:
                continue
            is_named = self._route.leader_address is not None
            await anyio.sleep(self._retry_delay_s if is_named else delay_s)
            delay_s = min(2 * delay_s, MAX_SEARCH_DELAY_S)

    async def _wait_for_leader(self, deadline_s: float) -> None:
        if self._leader_known.is_set():
            self._leader_known = anyio.Event()
        self._waiting_calls += 1
        self._search_requested.set()
        try:
            with anyio.CancelScope(deadline=deadline_s):
                await self._leader_known.wait()
        finally:
            self._waiting_calls -= 1

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

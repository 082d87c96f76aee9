"""Tasks that own the connections to upstreams."""

import abc

import anyio
import attrs
from anyio.abc import TaskGroup
from returns.pipeline import is_successful
from returns.result import Failure as ResultFailure
from returns.result import Result

from tanagerpath.codecs import decode_json, encode_json
from tanagerpath.core.coordination import (
    CallUpstream,
    UpstreamCallFailed,
    UpstreamReplied,
)
from tanagerpath.core.protocol import upstreams as protocol
from tanagerpath.errors import Failure
from tanagerpath.observability.logs import get_logger
from tanagerpath.runtime import Mailbox, Task
from tanagerpath.runtime.budgets import ByteBudget
from tanagerpath.runtime.client import HttpClient, HttpReply, HttpRequest

__all__ = [
    "ExchangeFault",
    "JsonUpstreamCodec",
    "LinkSet",
    "UnexpectedStatus",
    "UpstreamCodec",
    "UpstreamLink",
]

MAX_WAITING_CALLS = 256
IDLE_LINK_TIMEOUT_S = 60.0
# An upstream lists its runs and at most 500 ends at a time.
MAX_REPLY_BYTES = 4 * 1024 * 1024
MAX_REPLIES_BYTES = 16 * 1024 * 1024

_ROUTES: dict[type, tuple[str, type]] = {
    protocol.RenewRequest: ("/v1/renew", protocol.RenewReply),
    protocol.ReserveRequest: ("/v1/reserve", protocol.ReserveReply),
    protocol.StartRequest: ("/v1/start", protocol.StartReply),
    protocol.StopRequest: ("/v1/stop", protocol.StopReply),
    protocol.CheckpointRequest: ("/v1/checkpoint", protocol.CheckpointReply),
    protocol.ThrottleRequest: ("/v1/throttle", protocol.ThrottleReply),
    protocol.ProbeRequest: ("/v1/probe", protocol.ProbeReply),
}


@attrs.frozen(kw_only=True)
class UnexpectedStatus(Failure):
    """An upstream replied with a status other than 200."""

    address: str
    status: int

    @property
    def message(self) -> str:
        """One line for people."""
        return f"{self.address} answered with status {self.status}, expected 200"


@attrs.frozen(kw_only=True)
class ExchangeFault(Failure):
    """An unexpected error occurred in an exchange; the request may have arrived."""

    address: str
    error: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"the exchange with {self.address} failed: {self.error}"


class UpstreamCodec(abc.ABC):
    """Wire encoding of the calls to upstreams and of their replies."""

    @abc.abstractmethod
    def encode(self, call: CallUpstream) -> HttpRequest:
        """Return the HTTP request for a call."""

    @abc.abstractmethod
    def decode(self, call: CallUpstream, reply: HttpReply) -> Result[object, Failure]:
        """Return the decoded reply, or a failure."""


class JsonUpstreamCodec(UpstreamCodec):
    """Encoding of tanagerpath's own interface for upstreams."""

    def encode(self, call: CallUpstream) -> HttpRequest:
        """Return the HTTP request for a call."""
        path, _ = _ROUTES[type(call.request)]
        return HttpRequest("POST", path, encode_json(call.request).encode())

    def decode(self, call: CallUpstream, reply: HttpReply) -> Result[object, Failure]:
        """Return the decoded reply, or a failure."""
        if reply.status != 200:
            return ResultFailure(
                UnexpectedStatus(address=call.address, status=reply.status)
            )
        _, reply_type = _ROUTES[type(call.request)]
        return decode_json(reply.body, reply_type)


class UpstreamLink(Task):
    """Owns the connections to one address of an upstream.

    Parameters
    ----------
    address : str
        "ip:port" of the upstream.
    results : Mailbox
        Receives `UpstreamReplied` and `UpstreamCallFailed`.
    codec : UpstreamCodec
        Wire encoding of calls and replies.
    max_connections : int
        Maximum number of connections to this upstream.
    timeout_s : float
        Timeout of a call that has none of its own.
    replies : ByteBudget, optional
        Size of the replies of all links.
    """

    def __init__(
        self,
        address: str,
        results: Mailbox,
        codec: UpstreamCodec,
        max_connections: int,
        timeout_s: float,
        replies: ByteBudget | None = None,
    ) -> None:
        self._client = HttpClient(address, max_connections, MAX_REPLY_BYTES, replies)
        self._results = results
        self._codec = codec
        self._timeout_s = timeout_s
        self.mailbox: Mailbox[CallUpstream] = Mailbox(
            f"upstream link {address}", MAX_WAITING_CALLS
        )
        self._limiter = anyio.Semaphore(max_connections)
        self._log = get_logger("control")
        self._last_fault: ExchangeFault | None = None

    async def run(self) -> None:
        """Process calls concurrently until none came for `IDLE_LINK_TIMEOUT_S`."""
        try:
            async with anyio.create_task_group() as calls:
                while True:
                    deadline_s = anyio.current_time() + IDLE_LINK_TIMEOUT_S
                    call = await self.mailbox.receive(deadline_s)
                    if call is None:
                        return
                    await self._limiter.acquire()
                    calls.start_soon(self._execute, call)
        finally:
            await self._client.close()

    async def _execute(self, call: CallUpstream) -> None:
        try:
            self._results.post(await self._exchange(call))
        except Exception as error:
            # An error in one exchange must not end the task of all links.
            failure = ExchangeFault(address=call.address, error=repr(error))
            self._log_fault(call, failure)
            self._results.post(self._describe_failure(call, failure))
        finally:
            self._limiter.release()

    def _log_fault(self, call: CallUpstream, failure: ExchangeFault) -> None:
        """Log an unexpected error, but not again while it repeats."""
        if failure != self._last_fault:
            self._log.error(
                "exchange failed unexpectedly",
                upstream=call.upstream_id,
                request=type(call.request).__name__,
                reason=failure.message,
            )
        self._last_fault = failure

    async def _exchange(
        self, call: CallUpstream
    ) -> UpstreamReplied | UpstreamCallFailed:
        timeout_s = self._timeout_s if call.timeout_s is None else call.timeout_s
        result = await self._client.send(self._codec.encode(call), timeout_s=timeout_s)
        if not is_successful(result):
            return self._describe_failure(call, result.failure())
        decoded = self._codec.decode(call, result.unwrap())
        if not is_successful(decoded):
            return self._describe_failure(call, decoded.failure())
        return UpstreamReplied(
            call.upstream_id, call.incarnation, call.request, decoded.unwrap()
        )

    def _describe_failure(
        self, call: CallUpstream, failure: Failure
    ) -> UpstreamCallFailed:
        return UpstreamCallFailed(
            call.upstream_id, call.incarnation, call.request, failure
        )


class LinkSet:
    """Opens an `UpstreamLink` for each upstream that is called.

    Parameters
    ----------
    tasks : TaskGroup
        Task group that runs the links.
    results : Mailbox
        Receives the results of all calls.
    codec : UpstreamCodec
        Wire encoding of calls and replies.
    max_connections : int
        Maximum number of connections to each upstream.
    timeout_s : float
        Timeout of a call that has none of its own.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        results: Mailbox,
        codec: UpstreamCodec,
        max_connections: int,
        timeout_s: float,
    ) -> None:
        self._tasks = tasks
        self._results = results
        self._codec = codec
        self._max_connections = max_connections
        self._timeout_s = timeout_s
        self._replies = ByteBudget(MAX_REPLIES_BYTES)
        self._links: dict[str, UpstreamLink] = {}

    def call(self, call: CallUpstream) -> None:
        """Queue a call at the link of its address."""
        link = self._links.get(call.address)
        if link is None:
            link = UpstreamLink(
                call.address,
                self._results,
                self._codec,
                self._max_connections,
                self._timeout_s,
                self._replies,
            )
            self._links[call.address] = link
            self._tasks.start_soon(self._run, call.address, link)
        full = link.mailbox.post(call)
        if full is not None:
            self._results.post(
                UpstreamCallFailed(
                    call.upstream_id, call.incarnation, call.request, full
                )
            )

    async def _run(self, address: str, link: UpstreamLink) -> None:
        try:
            await link.run()
        finally:
            if self._links.get(address) is link:
                del self._links[address]

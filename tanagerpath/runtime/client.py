"""HTTP client for one address that drops unresponsive connections."""

import anyio
import anyio.lowlevel
import attrs
import httpcore
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.errors import Failure
from tanagerpath.runtime.budgets import ByteBudget
from tanagerpath.runtime.http_connection import HttpConnection
from tanagerpath.runtime.http_messages import (
    BrokenReply,
    HttpReply,
    HttpRequest,
    InvalidRequest,
    OversizedReply,
    ReplyLimits,
    write_head,
)

__all__ = [
    "ConnectFailed",
    "ExchangeCut",
    "ExchangeTimedOut",
    "HttpClient",
    "HttpReply",
    "HttpRequest",
    "ReplyTooLarge",
]

# Below the 75 s after which the server closes an idle connection.
KEEPALIVE_EXPIRY_S = 60.0
MIB = 1024 * 1024
# Messages between processes may have 16 MiB.
DEFAULT_REPLY_BYTES = 32 * MIB


@attrs.frozen(kw_only=True)
class ConnectFailed(Failure):
    """The connection could not be opened, so the request was never sent."""

    not_run: bool = True
    address: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"cannot connect to {self.address}"


@attrs.frozen(kw_only=True)
class ExchangeTimedOut(Failure):
    """The reply did not arrive before the deadline; the request may have arrived."""

    address: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"no reply from {self.address} before the deadline"


@attrs.frozen(kw_only=True)
class ExchangeCut(Failure):
    """The connection ended before the reply; the request may have arrived."""

    address: str
    detail: str = ""

    @property
    def message(self) -> str:
        """One line for people."""
        return f"connection to {self.address} ended before the reply: {self.detail}"


@attrs.frozen(kw_only=True)
class ReplyTooLarge(Failure):
    """The reply exceeds the limit; the request may have arrived."""

    address: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"the reply of {self.address} exceeds the limit"


def _parse_origin(address: str) -> httpcore.Origin | None:
    """Return the origin to connect to, or None if the address is invalid."""
    try:
        origin = httpcore.URL(f"http://{address}/").origin
        port = int(address.rpartition(":")[2])
    except (TypeError, ValueError):
        return None
    return origin if origin.port == port else None


class HttpClient:
    """Exchanges requests with one address over keep-alive connections.

    A connection carries one exchange at a time. After an exchange that timed out, all
    idle connections are closed, because the cause may affect them too.

    Parameters
    ----------
    address : str
        "ip:port". Addresses are announced by other processes, so an invalid one raises
        no error here: each exchange with it ends with `ConnectFailed`.
    max_connections : int
        Maximum number of open connections.
    max_reply_bytes : int
        Largest reply.
    replies : ByteBudget, optional
        Size of all replies that are read at once, shared with other clients.
    """

    def __init__(
        self,
        address: str,
        max_connections: int = 4,
        max_reply_bytes: int = DEFAULT_REPLY_BYTES,
        replies: ByteBudget | None = None,
    ) -> None:
        self.address = address
        self._limits = ReplyLimits(max_reply_bytes, replies)
        self._origin = _parse_origin(address)
        self._slots = anyio.Semaphore(max_connections)
        self._idle: list[HttpConnection] = []

    async def exchange(
        self, method: str, path: str, body: bytes = b"", *, timeout_s: float = 1.0
    ) -> Result[HttpReply, Failure]:
        """Send a JSON body and wait for the whole reply; see `send`."""
        return await self.send(HttpRequest(method, path, body), timeout_s=timeout_s)

    async def send(
        self, request: HttpRequest, *, timeout_s: float = 1.0
    ) -> Result[HttpReply, Failure]:
        """Send one request and wait for its whole reply.

        Parameters
        ----------
        request : HttpRequest
            The request.
        timeout_s : float
            Timeout of the exchange, including the wait for a connection.

        Returns
        -------
        Result
            `HttpReply`, or `ConnectFailed`, `ExchangeTimedOut`, `ExchangeCut` or
            `ReplyTooLarge`.
        """
        if self._origin is None:
            return ResultFailure(ConnectFailed(address=self.address))
        deadline_s = anyio.current_time() + timeout_s
        try:
            await self._acquire_slot(deadline_s)
            try:
                return await self._exchange_once(request, deadline_s)
            finally:
                self._slots.release()
        except TimeoutError:
            self._close_idle()
            return ResultFailure(ExchangeTimedOut(address=self.address))

    async def _acquire_slot(self, deadline_s: float) -> None:
        try:
            self._slots.acquire_nowait()
        except anyio.WouldBlock:
            with anyio.fail_after(deadline_s - anyio.current_time()):
                await self._slots.acquire()

    async def _exchange_once(
        self, request: HttpRequest, deadline_s: float
    ) -> Result[HttpReply, Failure]:
        connection = self._take_idle() or await self._connect(deadline_s)
        if connection is None:
            return ResultFailure(ConnectFailed(address=self.address))
        try:
            head = write_head(request, self.address)
            reply = await connection.exchange(
                head, request.body, self._limits, deadline_s
            )
        except (BrokenReply, InvalidRequest) as error:
            return ResultFailure(ExchangeCut(address=self.address, detail=str(error)))
        except OversizedReply:
            return ResultFailure(ReplyTooLarge(address=self.address))
        finally:
            self._release_connection(connection)
        return Success(reply)

    def _take_idle(self) -> HttpConnection | None:
        """Return an idle connection; close expired ones and those with unread bytes."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable(KEEPALIVE_EXPIRY_S):
                return connection
            connection.abort()
        return None

    async def _connect(self, deadline_s: float) -> HttpConnection | None:
        """Return a new connection, None if the address can't be reached."""
        host = self._origin.host.decode("ascii")
        with anyio.fail_after(deadline_s - anyio.current_time()):
            # A server that was started just before begins to listen first.
            await anyio.lowlevel.checkpoint()
            try:
                return await HttpConnection.open(host, self._origin.port)
            except (OSError, UnicodeError):
                # The text of a host name may have no encoding for look-ups.
                return None

    def _release_connection(self, connection: HttpConnection) -> None:
        if connection.is_usable(KEEPALIVE_EXPIRY_S):
            self._idle.append(connection)
        else:
            connection.abort()

    def _close_idle(self) -> None:
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    async def close(self) -> None:
        """Close all idle connections; one in use closes with its exchange."""
        self._close_idle()

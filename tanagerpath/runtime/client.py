"""HTTP client for one address that drops unresponsive connections."""

import anyio
import attrs
import httpcore
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.errors import Failure
from tanagerpath.runtime.budgets import ByteBudget, ByteHolder

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
_JSON_HEADERS = [(b"content-type", b"application/json")]


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


@attrs.frozen
class HttpRequest:
    """Method, target, JSON body and additional headers of a request."""

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()


@attrs.frozen
class HttpReply:
    """Status and body of a reply."""

    status: int
    body: bytes


def _parse_origin(address: str) -> httpcore.Origin | None:
    """Return the origin to connect to, or None if the address is invalid."""
    try:
        origin = httpcore.URL(f"http://{address}/").origin
        port = int(address.rpartition(":")[2])
    except (TypeError, ValueError):
        return None
    return origin if origin.port == port else None


class _ReplyReader(ByteHolder):
    """Reads one reply within its limits.

    Parameters
    ----------
    max_bytes : int
        Size of the reply.
    budget : ByteBudget or None
        Size of all replies that are read at once.
    """

    def __init__(self, max_bytes: int, budget: ByteBudget | None) -> None:
        self._max_bytes = max_bytes
        self._budget = budget
        self._size = 0
        self._is_dropped = False

    def drop(self) -> None:
        """End the reply with the next part that arrives."""
        self._is_dropped = True

    async def read(self, reply: httpcore.Response) -> bytes | None:
        """Return the body, None if it exceeds a limit."""
        parts = []
        try:
            async for part in reply.stream:
                self._size += len(part)
                if self._is_dropped or not self._has_room(len(part)):
                    return None
                parts.append(part)
        finally:
            if self._budget is not None:
                self._budget.release(self)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _has_room(self, further: int) -> bool:
        if self._size > self._max_bytes:
            return False
        return self._budget is None or self._budget.take(self, further)


class HttpClient:
    """Exchanges requests with one address over keep-alive connections.

    A connection carries one exchange at a time. After an exchange that timed out, all
    idle connections are closed, because the cause may affect them too. Connections are
    managed here and not by a pool of the library: there is only one address, and the
    pool took about a third of the processor time of an exchange.

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
        self._max_reply_bytes = max_reply_bytes
        self._replies = replies
        self._origin = _parse_origin(address)
        self._slots = anyio.Semaphore(max_connections)
        self._idle: list[httpcore.AsyncHTTPConnection] = []

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
        try:
            with anyio.fail_after(timeout_s):
                async with self._slots:
                    return await self._exchange_once(request)
        except TimeoutError:
            await self._close_idle()
            return ResultFailure(ExchangeTimedOut(address=self.address))

    async def _exchange_once(self, request: HttpRequest) -> Result[HttpReply, Failure]:
        connection = await self._acquire_connection()
        try:
            async with connection.stream(
                request.method,
                f"http://{self.address}{request.path}",
                headers=[*_JSON_HEADERS, *request.headers],
                content=request.body,
            ) as reply:
                reader = _ReplyReader(self._max_reply_bytes, self._replies)
                body = await reader.read(reply)
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return ResultFailure(ConnectFailed(address=self.address))
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return ResultFailure(
                ExchangeCut(address=self.address, detail=type(error).__name__)
            )
        finally:
            await self._release_connection(connection)
        if body is None:
            return ResultFailure(ReplyTooLarge(address=self.address))
        return Success(HttpReply(reply.status, body))

    async def _acquire_connection(self) -> httpcore.AsyncHTTPConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection
            await connection.aclose()
        return httpcore.AsyncHTTPConnection(
            self._origin, keepalive_expiry=KEEPALIVE_EXPIRY_S
        )

    async def _release_connection(
        self, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        if connection.is_available():
            self._idle.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.aclose()

    async def _close_idle(self) -> None:
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.aclose()

    async def close(self) -> None:
        """Close all idle connections; one in use closes with its exchange."""
        await self._close_idle()

"""HTTP client of one address that replaces connections that went silent."""

import anyio
import attrs
import httpcore
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.errors import Failure

__all__ = [
    "ConnectFailed",
    "ExchangeCut",
    "ExchangeTimedOut",
    "HttpClient",
    "HttpReply",
]

_JSON_HEADERS = [(b"content-type", b"application/json")]


@attrs.frozen(kw_only=True)
class ConnectFailed(Failure):
    """No connection could be opened, so the request was never sent."""

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


@attrs.frozen
class HttpReply:
    """Status and body of a reply."""

    status: int
    body: bytes


class HttpClient:
    """Exchanges requests with one address over kept connections.

    After an exchange that timed out, all idle connections are dropped: whatever made
    one of them silent may have done so to the others.

    Parameters
    ----------
    address : str
        "ip:port".
    max_connections : int
        Most connections open at the same time.
    """

    def __init__(self, address: str, max_connections: int = 4) -> None:
        self.address = address
        self._max_connections = max_connections
        self._pool = self._open_pool()

    def _open_pool(self) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            max_connections=self._max_connections, keepalive_expiry=60.0
        )

    async def exchange(
        self, method: str, path: str, body: bytes = b"", *, timeout_s: float = 1.0
    ) -> Result[HttpReply, Failure]:
        """Send one request and wait for its whole reply.

        Parameters
        ----------
        method, path : str
            HTTP method and target.
        body : bytes
            JSON text.
        timeout_s : float
            Seconds until the exchange is given up.

        Returns
        -------
        Result
            `HttpReply`, or `ConnectFailed`, `ExchangeTimedOut` or `ExchangeCut`.
        """
        pool = self._pool
        try:
            with anyio.fail_after(timeout_s):
                reply = await pool.request(
                    method,
                    f"http://{self.address}{path}",
                    headers=_JSON_HEADERS,
                    content=body,
                )
        except TimeoutError:
            await self._drop_pool(pool)
            return ResultFailure(ExchangeTimedOut(address=self.address))
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return ResultFailure(ConnectFailed(address=self.address))
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return ResultFailure(
                ExchangeCut(address=self.address, detail=type(error).__name__)
            )
        return Success(HttpReply(reply.status, reply.content))

    async def _drop_pool(self, pool: httpcore.AsyncConnectionPool) -> None:
        if pool is not self._pool:
            return
        self._pool = self._open_pool()
        for connection in pool.connections:
            if connection.is_idle():
                await connection.aclose()

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

"""HTTP server task."""

import contextlib
import functools
import socket
from collections.abc import Awaitable, Callable, Iterator, Mapping

import anyio
import uvicorn
from anyio.abc import TaskGroup
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import BaseRoute
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from tanagerpath.runtime.bodies import BodyReader
from tanagerpath.runtime.connections import BoundedProtocol
from tanagerpath.runtime.guards import ListenerGuard
from tanagerpath.runtime.tasks import Task

__all__ = ["ErrorHandler", "HttpServer", "HttpServerGroup", "bind_listener"]

LISTEN_BACKLOG = 2048
# The event loop accepts this many connections before it handles any of them, so they
# come on top of the limit of a listener.
ACCEPT_BATCH = 32
BAD_REQUEST_STATUS = 400

ErrorHandler = Callable[[Request, Exception], Awaitable[Response]]


def bind_listener(address: str) -> socket.socket:
    """Open a listening socket.

    Parameters
    ----------
    address : str
        "ip:port"; port 0 takes any free port.

    Returns
    -------
    socket.socket
        The bound socket.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    # asyncio disables Nagle's algorithm only if the protocol number is explicit. With
    # it enabled, delayed acknowledgements added about 40 ms to every reply.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    return listener


async def _answer_disconnected_client(request: Request, error: Exception) -> Response:
    """Answer a client that disconnected within its body; nobody gets the response."""
    return Response(status_code=BAD_REQUEST_STATUS)


class _SignalFreeServer(uvicorn.Server):
    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._exit_requested = anyio.Event()

    def request_exit(self) -> None:
        """Stop accepting connections, and end `serve` after the open requests."""
        self.should_exit = True
        self._exit_requested.set()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start accepting, with a queue that is longer than a batch of the loop."""
        await super().startup(sockets)
        for listener in sockets or ():
            listener.listen(LISTEN_BACKLOG)

    async def main_loop(self) -> None:
        """Wait for the end without the ten ticks a second of the library.

        They update the date header and count requests, both of which are unused here.
        """
        await self.on_tick(0)
        await self._exit_requested.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signal handling to `Application`."""
        yield


class _CloseConnectionMiddleware:
    """Asks clients to close keep-alive connections once `closing` is set.

    A client that sends on such a connection just as it is closed cannot tell whether
    the request arrived, so the connections have to be closed before the server stops.

    Parameters
    ----------
    application : ASGIApp
        The wrapped application.
    """

    def __init__(self, application: ASGIApp) -> None:
        self._application = application
        self.closing = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        async def send_closing(message: Message) -> None:
            if message["type"] == "http.response.start" and self.closing:
                headers = [*message.get("headers", ()), (b"connection", b"close")]
                message = message | {"headers": headers}
            await send(message)

        await self._application(scope, receive, send_closing)


class HttpServer(Task):
    """Serves routes on a bound socket until asked to stop.

    Parameters
    ----------
    listener : socket.socket
        Bound socket; closed when the server stops.
    routes : list of BaseRoute
        Starlette routes.
    error_handlers : mapping of int to ErrorHandler, optional
        Handlers by status, for 404 and 405, which no route returns.
    guard : ListenerGuard, optional
        Limits for the clients.
    """

    def __init__(
        self,
        listener: socket.socket,
        routes: list[BaseRoute],
        error_handlers: Mapping[int, ErrorHandler] | None = None,
        guard: ListenerGuard | None = None,
    ) -> None:
        self._listener = listener
        guard = guard or ListenerGuard()
        handlers = {
            ClientDisconnect: _answer_disconnected_client,
            **(error_handlers or {}),
        }
        application = Starlette(routes=routes, exception_handlers=handlers)
        application.router.redirect_slashes = False
        self._application = _CloseConnectionMiddleware(BodyReader(application, guard))
        config = uvicorn.Config(
            self._application,
            log_config=None,
            access_log=False,
            lifespan="off",
            http=functools.partial(BoundedProtocol, guard),
            ws="none",
            proxy_headers=False,
            server_header=False,
            date_header=False,
            backlog=ACCEPT_BATCH,
        )
        self._server = _SignalFreeServer(config)
        self._stopped = anyio.Event()

    @property
    def address(self) -> str:
        """Bound address as "ip:port"."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    async def run(self) -> None:
        """Serve until `stop` was called and all requests in flight have finished."""
        try:
            await self._server.serve(sockets=[self._listener])
        finally:
            self._stopped.set()

    def close_keepalive_connections(self) -> None:
        """Close each connection after its next reply; new ones are still accepted."""
        self._application.closing = True

    async def stop(self) -> None:
        """Stop accepting connections, and wait for the requests in flight."""
        self._server.request_exit()
        await self._stopped.wait()


class HttpServerGroup:
    """The HTTP servers of a process, which stop together."""

    def __init__(self) -> None:
        self._servers: list[HttpServer] = []

    def start(
        self,
        tasks: TaskGroup,
        address: str,
        routes: list[BaseRoute],
        guard: ListenerGuard | None = None,
    ) -> None:
        """Bind an address and serve routes there, within the limits of the guard.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        server = HttpServer(bind_listener(address), routes, guard=guard)
        self._servers.append(server)
        tasks.start_soon(server.run)

    def close_keepalive_connections(self) -> None:
        """Close each connection after its next reply; new ones are still accepted."""
        for server in self._servers:
            server.close_keepalive_connections()

    async def stop(self, timeout_s: float) -> None:
        """Stop accepting connections, and wait for the requests in flight.

        Parameters
        ----------
        timeout_s : float
            Longest time to wait, in seconds.
        """
        with anyio.move_on_after(timeout_s):
            async with anyio.create_task_group() as stops:
                for server in self._servers:
                    stops.start_soon(server.stop)

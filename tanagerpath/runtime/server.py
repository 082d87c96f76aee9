"""HTTP server task."""

import contextlib
import socket
from collections.abc import Iterator

import anyio
import uvicorn
from starlette.applications import Starlette
from starlette.routing import BaseRoute

from tanagerpath.runtime.tasks import Task

__all__ = ["HttpServer", "bind_listener"]

LISTEN_BACKLOG = 2048


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
    # asyncio turns Nagle's algorithm off only if the protocol number is explicit; with
    # it on, delayed acknowledgements held every reply back for about 40 ms.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    return listener


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals to the application object."""
        yield


class HttpServer(Task):
    """Serves routes on a bound socket until asked to stop.

    Parameters
    ----------
    listener : socket.socket
        Bound socket; closed at the end.
    routes : list of BaseRoute
        Starlette routes.
    """

    def __init__(self, listener: socket.socket, routes: list[BaseRoute]) -> None:
        self._listener = listener
        config = uvicorn.Config(
            Starlette(routes=routes),
            log_config=None,
            access_log=False,
            lifespan="off",
            http="h11",
            ws="none",
            proxy_headers=False,
            server_header=False,
            date_header=False,
            backlog=LISTEN_BACKLOG,
            timeout_keep_alive=75,
        )
        self._server = _Server(config)
        self._ended = anyio.Event()

    @property
    def address(self) -> str:
        """Bound address as "ip:port"."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    async def run(self) -> None:
        """Serve until `stop` was called and all exchanges in flight have ended."""
        try:
            await self._server.serve(sockets=[self._listener])
        finally:
            self._ended.set()

    async def stop(self) -> None:
        """Accept nothing new, finish what is in flight, and return when done."""
        self._server.should_exit = True
        await self._ended.wait()

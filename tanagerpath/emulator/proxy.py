"""TCP proxy on loopback whose open connections can go silent, be cut or be refused."""

import contextlib
import enum

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream

from tanagerpath.runtime import Task

__all__ = ["ProxyMode", "SilentProxy"]

CHUNK_BYTES = 65_536


class ProxyMode(enum.StrEnum):
    """What happens to bytes and connections.

    `SILENCE_OPEN` freezes the connections that are open at that instant for good and
    passes new ones; `SILENT` freezes new ones too; `CUT_TO_SERVER` and `CUT_TO_CLIENT`
    drop the bytes of one direction; `REFUSE` closes each connection.
    """

    PASS = "pass"
    SILENCE_OPEN = "silence_open"
    SILENT = "silent"
    CUT_TO_SERVER = "cut_to_server"
    CUT_TO_CLIENT = "cut_to_client"
    REFUSE = "refuse"


class _Link:
    """One connection through the proxy."""

    def __init__(self, client: SocketStream) -> None:
        self.client = client
        self.frozen = False


class SilentProxy(Task):
    """Passes TCP connections on to one address.

    Parameters
    ----------
    listener : SocketListener
        Where clients connect.
    target : str
        "ip:port" of the server.
    """

    def __init__(self, listener: SocketListener, target: str) -> None:
        self._listener = listener
        self._target = target
        self._mode = ProxyMode.PASS
        self._links: set[_Link] = set()

    @classmethod
    async def from_target(cls, target: str, port: int = 0) -> "SilentProxy":
        """Return a proxy that listens on a port of 127.0.0.1, 0 for any."""
        multi = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port, reuse_port=False
        )
        return cls(multi.listeners[0], target)

    @property
    def address(self) -> str:
        """Where clients connect, as "ip:port"."""
        return f"127.0.0.1:{self._listener.extra(SocketAttribute.local_port)}"

    @property
    def open_links(self) -> int:
        """Number of open connections."""
        return len(self._links)

    def set_mode(self, mode: ProxyMode) -> None:
        """Change what happens from now on."""
        self._mode = mode
        if mode is ProxyMode.SILENCE_OPEN:
            for link in self._links:
                link.frozen = True

    async def run(self) -> None:
        """Serve until cancelled."""
        async with self._listener:
            await self._listener.serve(self._serve)

    async def _serve(self, client: SocketStream) -> None:
        link = _Link(client)
        self._links.add(link)
        try:
            async with client:
                if self._mode is not ProxyMode.REFUSE:
                    await self._join(link)
        finally:
            self._links.discard(link)

    async def _join(self, link: _Link) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            server = await anyio.connect_tcp(host, int(port))
        except OSError:
            return
        async with server, anyio.create_task_group() as pumps:
            pumps.start_soon(
                self._pump, link, link.client, server, ProxyMode.CUT_TO_SERVER, pumps
            )
            pumps.start_soon(
                self._pump, link, server, link.client, ProxyMode.CUT_TO_CLIENT, pumps
            )

    async def _pump(self, link, source, sink, cut_mode, pumps) -> None:
        broken = (anyio.EndOfStream, anyio.BrokenResourceError)
        with contextlib.suppress(*broken, anyio.ClosedResourceError):
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                if self._mode is ProxyMode.REFUSE:
                    break
                if link.frozen or self._mode is ProxyMode.SILENT:
                    link.frozen = True
                elif self._mode is not cut_mode:
                    await sink.send(chunk)
        if link.frozen:
            return  # the other side of a silent connection never learns of its end
        pumps.cancel_scope.cancel()

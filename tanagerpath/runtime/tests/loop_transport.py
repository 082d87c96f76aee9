"""A transport without a socket, and connections of the HTTP server on it."""

import asyncio

import attrs
import uvicorn

from tanagerpath.runtime.bodies import BodyReader
from tanagerpath.runtime.connections import BoundedProtocol, ListenerGuard

__all__ = ["LoopTransport", "connect"]


@attrs.define(eq=False)
class LoopTransport(asyncio.Transport):
    """Keeps what is written, and notes whether the protocol reads.

    Attributes
    ----------
    written : bytearray
        Everything that the protocol has written.
    reads : bool
        Whether the protocol takes more data.
    is_closed : bool
        Whether the protocol has closed the connection or its own half of it.
    is_aborted : bool
        Whether the protocol has closed the connection at once.
    """

    written: bytearray = attrs.Factory(bytearray)
    reads: bool = True
    is_closed: bool = False
    is_aborted: bool = False
    max_size: int = 0

    def get_extra_info(self, name, default=None):
        return default

    def write(self, data):
        self.written += data

    def write_eof(self):
        self.is_closed = True

    def pause_reading(self):
        self.reads = False

    def resume_reading(self):
        self.reads = True

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return False

    def close(self):
        self.is_closed = True

    def abort(self):
        self.is_closed = self.is_aborted = True


def connect(application, guard=None):
    """Return a new connection to an ASGI application and its transport."""
    guard = guard or ListenerGuard()
    config = uvicorn.Config(
        BodyReader(application, guard), log_config=None, lifespan="off", ws="none"
    )
    config.load()
    server_state = uvicorn.server.ServerState()
    connection = BoundedProtocol(guard, config, server_state, {})
    transport = LoopTransport()
    connection.connection_made(transport)
    return connection, transport

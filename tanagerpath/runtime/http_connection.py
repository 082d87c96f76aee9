"""Client side of a keep-alive HTTP/1.1 connection."""

import asyncio
import select

from tanagerpath.runtime.budgets import ByteHolder
from tanagerpath.runtime.http_messages import (
    BrokenReply,
    HttpReply,
    OversizedReply,
    ReplyLimits,
    ReplyParser,
)

__all__ = ["HttpConnection"]

# One read of a socket. The event loop's 256 KiB would be held for each connection
# before a limit can take effect.
RECEIVE_BYTES = 64 * 1024
# A larger body is not copied to be sent together with its head.
MAX_JOINED_BYTES = 64 * 1024


class HttpConnection(asyncio.Protocol, ByteHolder):
    """A connection that carries one exchange at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._poll: select.poll | None = None
        self._parser: ReplyParser | None = None
        self._reply: asyncio.Future[None] | None = None
        self._is_usable = False
        self._idle_since_s = 0.0

    @classmethod
    async def open(cls, host: str, port: int) -> "HttpConnection":
        """Connect to an address.

        Raises
        ------
        OSError
            If it can't be reached.
        """
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(cls, host, port)
        return connection

    def is_usable(self, max_idle_s: float) -> bool:
        """Return whether another exchange may begin, after some idle seconds at most.

        A connection with anything to read was closed by the server, or carries bytes
        that are no reply to a later request.
        """
        if not self._is_usable or self._transport.is_closing():
            return False
        idle_s = asyncio.get_running_loop().time() - self._idle_since_s
        return idle_s <= max_idle_s and not self._poll.poll(0)

    async def exchange(
        self, head: bytes, body: bytes, limits: ReplyLimits, deadline_s: float
    ) -> HttpReply:
        """Send a request and return the whole reply.

        The connection closes unless the whole reply has arrived.

        Parameters
        ----------
        head : bytes
            The request up to its body; see `write_head`.
        body : bytes
            Its body.
        limits : ReplyLimits
            Limits of the reply.
        deadline_s : float
            Time on the clock of the event loop.

        Raises
        ------
        TimeoutError
            If the reply has not arrived by the deadline.
        BrokenReply
            If the connection has ended or the reply is no HTTP.
        OversizedReply
            If the reply exceeds a limit.
        """
        if self._transport.is_closing():
            raise BrokenReply("connection closed")
        loop = asyncio.get_running_loop()
        self._is_usable = False
        self._parser = ReplyParser(limits, self)
        # Not a local variable: the traceback of its exception would refer to it.
        self._reply = loop.create_future()
        timer = loop.call_at(deadline_s, self._expire)
        try:
            self._transport.resume_reading()
            self._send(head, body)
            await self._reply
            self._idle_since_s = loop.time()
            self._is_usable = self._parser.keeps_open and self._is_all_sent()
            return HttpReply(self._parser.status, self._parser.body)
        finally:
            timer.cancel()
            self._parser.close()
            self._parser = self._reply = None
            if not self._is_usable:
                self.abort()

    def abort(self) -> None:
        """Close the connection; what is not sent yet is dropped."""
        self._is_usable = False
        self._transport.abort()

    def drop(self) -> None:
        """End the exchange, because other replies need the bytes of the budget."""
        self._fail(OversizedReply())

    def _send(self, head: bytes, body: bytes) -> None:
        if len(body) <= MAX_JOINED_BYTES:
            self._transport.write(head + body)
            return
        self._transport.write(head)
        self._transport.write(body)

    def _is_all_sent(self) -> bool:
        return self._transport.get_write_buffer_size() == 0

    def _is_waiting(self) -> bool:
        return self._reply is not None and not self._reply.done()

    def _expire(self) -> None:
        self._fail(TimeoutError())

    def _fail(self, error: Exception) -> None:
        if self._is_waiting():
            self._reply.set_exception(error)
            self._parser.close()
            self.abort()

    def _end_stream(self) -> None:
        try:
            self._parser.end_of_stream()
        except BrokenReply as error:
            self._fail(error)
            return
        self._reply.set_result(None)

    # Called by the event loop

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport of the new connection."""
        transport.max_size = RECEIVE_BYTES
        # A server at a limit may reply and close before the request.
        transport.pause_reading()
        self._transport = transport
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._is_usable = True
        self._idle_since_s = asyncio.get_running_loop().time()

    def data_received(self, data: bytes) -> None:
        """Parse a part of a reply; data without a request ends the connection."""
        if not self._is_waiting():
            self.abort()
            return
        try:
            self._parser.feed(data)
        except (BrokenReply, OversizedReply) as error:
            self._fail(error)
            return
        if self._parser.is_complete:
            self._reply.set_result(None)

    def eof_received(self) -> None:
        """End the reply; the connection closes."""
        self._is_usable = False
        if self._is_waiting():
            self._end_stream()

    def connection_lost(self, error: Exception | None) -> None:
        """End the exchange, if there is one."""
        self._is_usable = False
        if error is not None:
            self._fail(BrokenReply(type(error).__name__))
        elif self._is_waiting():
            self._end_stream()

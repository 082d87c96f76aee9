"""Requests and replies of HTTP/1.1 as bytes, without input or output."""

import re

import attrs
import httptools

from tanagerpath.runtime.budgets import ByteBudget, ByteHolder

__all__ = [
    "MAX_CHUNK_OVERHEAD_BYTES",
    "MAX_HEAD_BYTES",
    "BrokenReply",
    "HttpReply",
    "HttpRequest",
    "InvalidRequest",
    "OversizedReply",
    "ReplyLimits",
    "ReplyParser",
    "write_head",
]

# The parser has no limit of its own for heads, chunk extensions and trailers.
MAX_HEAD_BYTES = 64 * 1024
# By how much chunk lines and trailers may exceed the data of a reply.
MAX_CHUNK_OVERHEAD_BYTES = 64 * 1024
_HTTP_1_0 = "1.0"
_HTTP_1_1 = "1.1"
_FIRST_INFORMATIONAL = 100
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL = 200

# Replies to HEAD and CONNECT end differently, which the parser is not told.
_METHOD = re.compile(r"(?!(?:HEAD|CONNECT)$)[A-Z]+")
_TARGET = re.compile(r"/[\x21-\x7e]*")
_HEADER_NAME = re.compile(rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+")
# A value that contains a line break would add headers of its own.
_HEADER_VALUE = re.compile(rb"(?:[^\x00\s](?:[^\x00\r\n\f\v]*[^\x00\s])?)?")


class InvalidRequest(Exception):
    """The method, the target or a header can't be sent."""


class BrokenReply(Exception):
    """The connection ended before the whole reply, or the reply is no valid HTTP."""


class OversizedReply(Exception):
    """The reply exceeds a limit."""


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


@attrs.frozen
class ReplyLimits:
    """Limits of one reply.

    Attributes
    ----------
    max_bytes : int
        Size of the body.
    budget : ByteBudget or None
        Size of all replies that are read at once.
    """

    max_bytes: int
    budget: ByteBudget | None = None


def write_head(request: HttpRequest, address: str) -> bytes:
    """Return the bytes of a request that precede its body.

    The host is the address, unless a header names another one.

    Raises
    ------
    InvalidRequest
        If the method, the path or a header has characters that can't be sent.
    """
    if _METHOD.fullmatch(request.method) is None:
        raise InvalidRequest("method")
    if _TARGET.fullmatch(request.path) is None:
        raise InvalidRequest("target")
    headers = request.headers
    if all(name.lower() != b"host" for name, _ in headers):
        headers = ((b"host", address.encode()), *headers)
    lines = [
        f"{request.method} {request.path} HTTP/1.1\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(request.body)}".encode()
    ]
    for name, value in headers:
        if _HEADER_NAME.fullmatch(name) is None:
            raise InvalidRequest("header name")
        if _HEADER_VALUE.fullmatch(value) is None:
            raise InvalidRequest("header value")
        lines.append(name + b": " + value)
    return b"\r\n".join((*lines, b"", b""))


class ReplyParser:
    """Collects one reply from the bytes of a connection.

    The public methods whose names begin with "on" are called by the library's parser.

    Parameters
    ----------
    limits : ReplyLimits
        Limits of the reply.
    holder : ByteHolder
        Holds the bytes of the incomplete body in the budget.

    Attributes
    ----------
    status : int
        Status of the reply, once its head has arrived.
    is_complete : bool
        Whether the whole reply has arrived.
    keeps_open : bool
        Whether the connection may carry another exchange after the reply.
    """

    def __init__(self, limits: ReplyLimits, holder: ByteHolder) -> None:
        self.status = 0
        self.is_complete = False
        self.keeps_open = False
        self._limits = limits
        self._holder = holder
        self._body = bytearray()
        self._received_bytes = 0
        self._bytes_since_element = 0
        self._has_head = False
        self._has_length = False
        self._is_chunked = False
        self._fault = ""
        self._parser = httptools.HttpResponseParser(self)
        self._parser.set_dangerous_leniencies(lenient_optional_cr_before_lf=True)

    @property
    def body(self) -> bytes:
        """The body that has arrived so far."""
        return bytes(self._body)

    def feed(self, data: bytes) -> None:
        """Parse the next bytes.

        Raises
        ------
        BrokenReply
            If they are no valid reply, or little but chunk lines.
        OversizedReply
            If the body exceeds a limit.
        """
        had_bytes = len(self._body)
        self._received_bytes += len(data)
        self._bytes_since_element += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Further bytes after a whole reply don't make it invalid.
            if not self.is_complete:
                raise BrokenReply(self._fault or str(error)) from None
            self.keeps_open = False
        if not self._has_room(len(self._body) - had_bytes):
            self._body = bytearray()
            raise OversizedReply
        if self._fault:
            raise BrokenReply(self._fault)
        if self.is_complete:
            self._release()
        else:
            self._check_overhead()

    def _check_overhead(self) -> None:
        if self._bytes_since_element > MAX_HEAD_BYTES:
            raise BrokenReply("head too long")
        excess = self._received_bytes - 2 * len(self._body)
        if self._is_chunked and excess > MAX_CHUNK_OVERHEAD_BYTES:
            raise BrokenReply("chunks too small")

    def end_of_stream(self) -> None:
        """Note that no more bytes will arrive; a body without a length ends here.

        Raises
        ------
        BrokenReply
            If the reply is not complete.
        """
        if not self._has_head or self._has_length:
            raise BrokenReply("end of stream")
        self.is_complete = True
        self._release()

    def close(self) -> None:
        """Free the body and its bytes in the budget."""
        self._release()
        self._body = bytearray()
        # The library's parser refers to this object as well.
        self._parser = None

    def _release(self) -> None:
        if self._limits.budget is not None:
            self._limits.budget.release(self._holder)

    def on_message_begin(self) -> None:
        """Start a head, which may follow informational ones."""
        if self.is_complete:
            self.keeps_open = False
        else:
            self._has_length = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note how the body ends."""
        if self._has_head:
            return
        name = name.lower()
        if name == b"content-length":
            self._has_length = True
        elif name == b"transfer-encoding":
            # The parser would take a body with other encodings as it is.
            if self._has_length or value.strip().lower() != b"chunked":
                self._fault = "transfer encoding"
            self._has_length = self._is_chunked = True

    def on_headers_complete(self) -> None:
        """Note the status, unless it is an informational one."""
        if self._has_head:
            return
        self._bytes_since_element = 0
        status = self._parser.get_status_code()
        if self._parser.get_http_version() not in (_HTTP_1_1, _HTTP_1_0):
            self._fault = "version"
        elif status < _FIRST_INFORMATIONAL or status == _SWITCHING_PROTOCOLS:
            self._fault = "status"
        elif status >= _FIRST_FINAL:
            self._has_head = True
            self._received_bytes = 0
            self.status = status

    def on_chunk_header(self) -> None:
        """Note that the length of a chunk has arrived."""
        self._bytes_since_element = 0

    def on_body(self, part: bytes) -> None:
        """Add a part of the body; the limits are checked once for all that is fed."""
        if self.is_complete:
            return
        self._bytes_since_element = 0
        self._body += part

    def _has_room(self, further_bytes: int) -> bool:
        if len(self._body) > self._limits.max_bytes:
            return False
        budget = self._limits.budget
        if budget is None or not further_bytes:
            return True
        return budget.take(self._holder, further_bytes)

    def on_message_complete(self) -> None:
        """End the reply, unless it is an informational one."""
        if self._has_head and not self.is_complete:
            self.keeps_open = self._parser.should_keep_alive()
            self.is_complete = True

"""Parser of HTTP/1.1 requests, without input or output.

The time that it takes grows with the number of bytes and chunks only, whatever they
are, and one call does a bounded part of the work.
"""

import re

import attrs
import httptools

from tanagerpath.runtime.chunked_body import BodyPart, ChunkedBody, MalformedChunks
from tanagerpath.runtime.limits import MAX_HEADER_FIELDS

__all__ = ["MalformedRequest", "RequestHead", "RequestParser", "TooManyFields"]

_HTTP_1_1 = "1.1"
_FIRST_PRINTABLE = 0x21
# All after the request line goes to the library's parser, which is strict and linear.
# It would refuse methods that it doesn't know, and read the bodies of some differently.
_ANY_REQUEST_LINE = b"POST / HTTP/1.1\r\n"
_REQUEST_LINE = re.compile(
    rb"([-!#$%&'*+.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/(1\.[01])\r?\n"
)
_HEAD_END = re.compile(rb"\n\r?\n")
_MAX_HEAD_END_BYTES = 3
# The request line and the empty line at the end.
_LINES_WITHOUT_FIELD = 2


class MalformedRequest(Exception):
    """The text is no HTTP request, or its header never ends."""


class TooManyFields(Exception):
    """The header has more fields than a request may have."""


@attrs.frozen
class RequestHead:
    """A request without its body.

    Attributes
    ----------
    method, http_version : str
        As in the request line; the version without "HTTP/".
    target : bytes
        Path and query.
    headers : list of (bytes, bytes)
        Header fields with names in lower case.
    body_bytes : int or None
        Size of the body, and None if it is chunked.
    keeps_open : bool
        Whether another request may follow.
    expects_continue : bool
        Whether the client sends the body only after an informational reply.
    """

    method: str
    target: bytes
    http_version: str
    headers: list[tuple[bytes, bytes]]
    body_bytes: int | None
    keeps_open: bool
    expects_continue: bool


class _FieldCollector:
    """Collects header fields from the library's parser, which calls all methods."""

    def __init__(self) -> None:
        self.fields: list[tuple[bytes, bytes]] = []
        self.is_complete = False
        self.has_body = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a field."""
        self.fields.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Note that the header is valid."""
        self.is_complete = True

    def on_body(self, part: bytes) -> None:
        """Note that the header has ended before the text."""
        self.has_body = True


def _parse_fields(text: bytes) -> list[tuple[bytes, bytes]]:
    """Return the header fields of a text that ends with an empty line."""
    text = _ANY_REQUEST_LINE + text
    collector = _FieldCollector()
    parser = httptools.HttpRequestParser(collector)
    parser.set_dangerous_leniencies(lenient_optional_cr_before_lf=True)
    try:
        parser.feed_data(text)
    except httptools.HttpParserUpgrade as upgrade:
        # No protocol is switched to; the request is served as it is.
        if upgrade.args[0] != len(text):
            raise MalformedRequest("header ends early") from None
    except httptools.HttpParserError as error:
        raise MalformedRequest(str(error)) from None
    if not collector.is_complete or collector.has_body:
        raise MalformedRequest("header ends elsewhere")
    return collector.fields


def _list_tokens(values: list[bytes]) -> set[bytes]:
    """Return the elements of comma-separated lists in lower case."""
    return {token.strip() for value in values for token in value.lower().split(b",")}


def _find_body_bytes(values: dict[bytes, list[bytes]], http_version: str) -> int | None:
    """Return the size of the body, or None if it is chunked.

    The library's parser refuses lengths that are no number or are given twice, also
    next to a transfer coding.
    """
    codings = values.get(b"transfer-encoding")
    if codings is None:
        lengths = values.get(b"content-length")
        return int(lengths[0]) if lengths else 0
    is_chunked = len(codings) == 1 and codings[0].lower() == b"chunked"
    if not is_chunked or http_version != _HTTP_1_1:
        raise MalformedRequest("transfer coding")
    return None


def _parse_head(text: bytes) -> RequestHead:
    """Return the head of a request from its text, which ends with an empty line."""
    line = _REQUEST_LINE.match(text)
    if line is None:
        raise MalformedRequest("request line")
    if text.count(b"\n") > MAX_HEADER_FIELDS + _LINES_WITHOUT_FIELD:
        raise TooManyFields
    fields = _parse_fields(text[line.end() :])
    http_version = line[3].decode("ascii")
    is_current = http_version == _HTTP_1_1
    values: dict[bytes, list[bytes]] = {}
    for name, value in fields:
        values.setdefault(name, []).append(value)
    hosts = len(values.get(b"host", ()))
    if hosts > 1 or (is_current and not hosts):
        raise MalformedRequest("host")
    closes = b"close" in _list_tokens(values.get(b"connection", []))
    expected = _list_tokens(values.get(b"expect", []))
    return RequestHead(
        method=line[1].decode("ascii"),
        target=line[2],
        http_version=http_version,
        headers=fields,
        body_bytes=_find_body_bytes(values, http_version),
        keeps_open=is_current and not closes,
        expects_continue=is_current and b"100-continue" in expected,
    )


class _SizedBody:
    """Reads a body of known size."""

    def __init__(self, size: int) -> None:
        self._missing_bytes = size

    def read(self, buffer: bytearray) -> BodyPart | None:
        """Remove data from the start of a buffer; see `ChunkedBody.read`."""
        if self._missing_bytes and not buffer:
            return None
        data = bytes(buffer[: self._missing_bytes])
        del buffer[: len(data)]
        self._missing_bytes -= len(data)
        return BodyPart(data, not self._missing_bytes)


class RequestParser:
    """Reads the requests of a connection one after the other.

    Parameters
    ----------
    max_head_bytes : int
        Size from which a head without an end is refused.
    max_chunk_overhead_bytes : int
        By how much chunk lines and trailers of a body may exceed its data.

    Attributes
    ----------
    is_complete : bool
        Whether the request has been read to its end.
    """

    def __init__(self, max_head_bytes: int, max_chunk_overhead_bytes: int) -> None:
        self._max_head_bytes = max_head_bytes
        self._max_chunk_overhead_bytes = max_chunk_overhead_bytes
        self._buffer = bytearray()
        self._searched_bytes = 0
        self._body: _SizedBody | ChunkedBody | None = None
        self.is_complete = False

    @property
    def unread_bytes(self) -> int:
        """Number of bytes that have arrived and have not been read."""
        return len(self._buffer)

    def receive(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        self._buffer += data

    def next_event(self) -> RequestHead | BodyPart | None:
        """Return the next part of the request, a bounded one.

        Returns
        -------
        RequestHead or BodyPart or None
            None if the request is complete or if more bytes are needed. A part
            without data ends each request without a body.

        Raises
        ------
        MalformedRequest
            If the text is no request.
        TooManyFields
            If the header has too many fields.
        CostlyChunks
            If a body has far more chunk lines and trailers than data.
        """
        if self.is_complete:
            return None
        if self._body is None:
            return self._read_head()
        try:
            part = self._body.read(self._buffer)
        except MalformedChunks as error:
            raise MalformedRequest(str(error)) from None
        if part is not None and part.is_last:
            self.is_complete = True
            self._body = None
        return part

    def start_next_request(self) -> None:
        """Read the request that follows the complete one."""
        self.is_complete = False

    def clear(self) -> None:
        """Free the bytes that have not been read."""
        self._buffer.clear()
        self._searched_bytes = 0

    def _read_head(self) -> RequestHead | None:
        buffer = self._buffer
        if buffer and buffer[0] < _FIRST_PRINTABLE:
            raise MalformedRequest("request line")
        first = max(0, self._searched_bytes - _MAX_HEAD_END_BYTES)
        found = _HEAD_END.search(buffer, first)
        if found is None:
            self._searched_bytes = len(buffer)
            if len(buffer) > self._max_head_bytes:
                raise MalformedRequest("header without end")
            return None
        self._searched_bytes = 0
        text = bytes(buffer[: found.end()])
        del buffer[: found.end()]
        head = _parse_head(text)
        if head.body_bytes is None:
            self._body = ChunkedBody(self._max_chunk_overhead_bytes)
        else:
            self._body = _SizedBody(head.body_bytes)
        return head

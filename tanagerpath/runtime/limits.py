"""Limits of what the clients of a listener may send, keep open and leave unread."""

import abc

import attrs

__all__ = [
    "MAX_HEADER_FIELDS",
    "BodyRule",
    "ListenerLimits",
    "Refusal",
    "RejectionObserver",
    "RejectionReason",
    "SilentObserver",
]

KIB = 1024
MIB = 1024 * KIB
# Not below the time after which `HttpClient` drops an idle connection.
DEFAULT_IDLE_TIMEOUT_S = 75.0
# Each field takes some 200 bytes besides its text.
MAX_HEADER_FIELDS = 256
BAD_REQUEST_STATUS = 400
CONTENT_TOO_LARGE_STATUS = 413
HEADER_TOO_LARGE_STATUS = 431
UNAVAILABLE_STATUS = 503


class RejectionReason:
    """Reasons for which a request is rejected or a connection closed."""

    BODY_TOO_LARGE = "body_too_large"
    BODIES_FULL = "bodies_full"
    HANDLERS_FULL = "handlers_full"
    HEADER_TOO_LARGE = "header_too_large"
    HEADER_TIMEOUT = "header_timeout"
    BODY_TIMEOUT = "body_timeout"
    MALFORMED = "malformed"
    COSTLY_CHUNKS = "costly_chunks"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    REPLIES_FULL = "replies_full"
    REPLY_TIMEOUT = "reply_timeout"


class RejectionObserver(abc.ABC):
    """Is told of each rejected request and of each connection that a limit closed."""

    @abc.abstractmethod
    def note_rejection(self, listener: str, reason: str) -> None:
        """Record a rejection; `reason` is one of `RejectionReason`."""


class SilentObserver(RejectionObserver):
    """Ignores all rejections."""

    def note_rejection(self, listener: str, reason: str) -> None:
        """Record nothing."""


@attrs.frozen
class Refusal:
    """A reply that is sent instead of reading the rest of a request."""

    reason: str
    status: int
    text: bytes
    content_type: bytes = b"text/plain; charset=utf-8"

    def list_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the header fields of the reply, which also ends the connection."""
        headers = [
            (b"content-type", self.content_type),
            (b"content-length", str(len(self.text)).encode()),
            (b"connection", b"close"),
        ]
        if self.status == UNAVAILABLE_STATUS:
            headers.append((b"retry-after", b"1"))
        return headers


MALFORMED = Refusal(
    RejectionReason.MALFORMED, BAD_REQUEST_STATUS, b"Invalid HTTP request received."
)
COSTLY_CHUNKS = Refusal(
    RejectionReason.COSTLY_CHUNKS, BAD_REQUEST_STATUS, b"chunks too small\n"
)
HEADER_TOO_LARGE = Refusal(
    RejectionReason.HEADER_TOO_LARGE, HEADER_TOO_LARGE_STATUS, b"header too large\n"
)
BODY_TOO_LARGE = Refusal(
    RejectionReason.BODY_TOO_LARGE, CONTENT_TOO_LARGE_STATUS, b"body too large\n"
)
BODIES_FULL = Refusal(
    RejectionReason.BODIES_FULL, UNAVAILABLE_STATUS, b"too many open requests\n"
)
HANDLERS_FULL = Refusal(
    RejectionReason.HANDLERS_FULL, UNAVAILABLE_STATUS, b"too many large requests\n"
)


@attrs.frozen
class BodyRule:
    """Largest body of the requests with a method and a path prefix."""

    method: str
    prefix: str
    max_bytes: int


@attrs.frozen(kw_only=True)
class ListenerLimits:
    """Limits for the clients of one listener.

    Attributes
    ----------
    max_connections : int
        Connections that are open at once.
    max_header_bytes : int
        Size of all header fields of a request.
    max_body_bytes : int
        Size of a body that no rule covers.
    max_chunk_overhead_bytes : int
        By how much chunk lines and trailers of a body may exceed its data. Chunks of
        five bytes never do.
    body_rules : tuple of BodyRule
        Limits for kinds of requests; the first that matches applies.
    header_timeout_s : float
        Time from the first byte of a request, or from opening the connection, until
        its header is complete.
    idle_timeout_s : float
        Time without a request, or without a further byte of a body.
    write_timeout_s : float
        Time for which a client may leave a reply unread.
    """

    max_connections: int = 65_536
    max_header_bytes: int = 64 * KIB
    max_body_bytes: int = 64 * MIB
    max_chunk_overhead_bytes: int = 64 * KIB
    body_rules: tuple[BodyRule, ...] = ()
    header_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S
    write_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S

    def find_body_limit(self, method: str, path: str) -> int:
        """Return the size that the body of a request may have."""
        for rule in self.body_rules:
            if rule.method == method and path.startswith(rule.prefix):
                return rule.max_bytes
        return self.max_body_bytes

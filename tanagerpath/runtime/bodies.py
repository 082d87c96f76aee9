"""The reader of request bodies of all listeners."""

import attrs
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from tanagerpath.runtime.guards import (
    CONNECTION_KEY,
    GuardedConnection,
    ListenerGuard,
    RequestHolder,
)
from tanagerpath.runtime.limits import BODIES_FULL, HEADER_TOO_LARGE, Refusal

__all__ = ["BodyReader"]

# Separators of a header field: ": " and the end of the line.
FIELD_OVERHEAD_BYTES = 4


@attrs.frozen
class _Head:
    """Size of a header, and what it announces of the body.

    `body_bytes` is the announced length, and None if a body has no announced length.
    """

    header_bytes: int
    body_bytes: int | None


def _read_head(scope: Scope) -> _Head:
    header_bytes, body_bytes, is_chunked = 0, 0, False
    for name, value in scope["headers"]:
        header_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if name == b"content-length":
            body_bytes = int(value)
        elif name == b"transfer-encoding":
            is_chunked = True
    return _Head(header_bytes, None if is_chunked else body_bytes)


class BodyReader:
    """Reads the body of each request within the limits before it is handled.

    A body whose announced length exceeds its limit is refused before a byte of it is
    read, another one at the byte that exceeds the limit. Handlers get the whole body
    in one message, and run only for complete requests.

    Parameters
    ----------
    application : ASGIApp
        The wrapped application.
    guard : ListenerGuard
        Limits of the listener, and the budget of the process.
    """

    def __init__(self, application: ASGIApp, guard: ListenerGuard) -> None:
        self._application = application
        self._guard = guard

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Read the body of a request, then handle it."""
        connection = scope.get("state", {}).pop(CONNECTION_KEY, None)
        head = _read_head(scope)
        if head.header_bytes > self._guard.limits.max_header_bytes:
            await self._refuse(HEADER_TOO_LARGE, connection, send)
            return
        if head.body_bytes == 0:
            await self._application(scope, receive, send)
            return
        max_bytes = self._guard.limits.find_body_limit(scope["method"], scope["path"])
        announced = head.body_bytes if self._guard.trusts_length else None
        if announced is not None and announced > max_bytes:
            await self._refuse(self._guard.body_too_large, connection, send)
            return
        holder = RequestHolder(self._guard, connection)
        try:
            body = await self._read(receive, holder, max_bytes)
            if isinstance(body, Refusal):
                await self._refuse(body, connection, send)
            elif body is not None:
                self._guard.bodies.keep(holder)
                replay = _make_replay(body, receive)
                del body
                await self._application(scope, replay, send)
        finally:
            self._guard.bodies.release(holder)

    async def _refuse(
        self, refusal: Refusal, connection: GuardedConnection | None, send: Send
    ) -> None:
        """Reply; the rest of the request is not read."""
        self._guard.note(refusal.reason)
        if connection is not None:
            connection.refuse(refusal)
            return
        start = {
            "type": "http.response.start",
            "status": refusal.status,
            "headers": refusal.list_headers(),
        }
        await send(start)
        await send({"type": "http.response.body", "body": refusal.text})

    async def _read(
        self, receive: Receive, holder: RequestHolder, max_bytes: int
    ) -> bytes | Refusal | None:
        """Return the body, a refusal, or None if the client has disconnected."""
        body = bytearray()
        while True:
            message = await receive()
            if message["type"] != "http.request":
                return None
            part = message["body"]
            if len(body) + len(part) > max_bytes:
                return self._guard.body_too_large
            is_internal = self._guard.is_internal
            if not self._guard.bodies.take(
                holder, len(part), is_privileged=is_internal
            ):
                return BODIES_FULL
            if not message["more_body"] and not body:
                return part
            body += part
            if not message["more_body"]:
                return bytes(body)


def _make_replay(body: bytes, receive: Receive) -> Receive:
    """Return a callable that returns the body once, and then receives further."""
    waiting: list[Message] = [
        {"type": "http.request", "body": body, "more_body": False}
    ]

    async def replay() -> Message:
        return waiting.pop() if waiting else await receive()

    return replay

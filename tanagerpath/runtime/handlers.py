"""Handlers of large requests, of which few run at once."""

import collections
from collections.abc import Iterable

import anyio
import attrs
from starlette.requests import Request
from starlette.routing import BaseRoute, Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from tanagerpath.runtime.limits import HANDLERS_FULL, RejectionObserver

__all__ = ["HandlerQueue", "queue_large_requests"]

# Handlers of smaller bodies run at once; there are at most as many as connections.
SMALL_BODY_BYTES = 4 * 1024
# Bodies beyond this multiple of the limit would wait for too long.
MAX_WAITING_FACTOR = 32
# Leaves the leader its time within a caller's deadline of 3 s.
MAX_WAIT_S = 1.0


@attrs.define(eq=False)
class _Waiter:
    """A request that waits for its handler to run."""

    size: int
    admitted: anyio.Event = attrs.Factory(anyio.Event)


class HandlerQueue:
    """Limits the bytes of the large bodies that a process handles at once.

    The values of a body take up to a hundred times its bytes. Requests are handled in
    the order of their arrival; a body over the limit is handled alone. A request that
    would wait for too long is refused at once.

    Parameters
    ----------
    max_bytes : int
        Size of all bodies that are handled at once.
    observer : RejectionObserver
        Is told of each request that has waited for too long.
    """

    def __init__(self, max_bytes: int, observer: RejectionObserver) -> None:
        self._max_bytes = max_bytes
        self._max_waiting_bytes = MAX_WAITING_FACTOR * max_bytes
        self._observer = observer
        self._used_bytes = 0
        self._waiting_bytes = 0
        self._waiting: collections.deque[_Waiter] = collections.deque()

    async def enter(self, size: int) -> bool:
        """Wait for room for a body; return False if there is none in time."""
        if not self._waiting and self._has_room(size):
            self._used_bytes += size
            return True
        if self._waiting and self._waiting_bytes + size > self._max_waiting_bytes:
            return False
        waiter = _Waiter(size)
        self._waiting.append(waiter)
        self._waiting_bytes += size
        try:
            with anyio.move_on_after(MAX_WAIT_S):
                await waiter.admitted.wait()
        except BaseException:
            self._give_up(waiter)
            raise
        if not waiter.admitted.is_set():
            self._give_up(waiter)
        return waiter.admitted.is_set()

    def leave(self, size: int) -> None:
        """Free the room of a body, and admit those that wait for it."""
        self._used_bytes -= size
        self._admit()

    def note_rejection(self, listener: str) -> None:
        """Record a request that found no room."""
        self._observer.note_rejection(listener, HANDLERS_FULL.reason)

    def _has_room(self, size: int) -> bool:
        return not self._used_bytes or self._used_bytes + size <= self._max_bytes

    def _give_up(self, waiter: _Waiter) -> None:
        if waiter.admitted.is_set():
            self.leave(waiter.size)
            return
        self._waiting.remove(waiter)
        self._waiting_bytes -= waiter.size
        self._admit()

    def _admit(self) -> None:
        while self._waiting and self._has_room(self._waiting[0].size):
            waiter = self._waiting.popleft()
            self._waiting_bytes -= waiter.size
            self._used_bytes += waiter.size
            waiter.admitted.set()


class _QueuedHandler:
    """Runs the handler of a route once the queue has room for the body."""

    def __init__(self, application: ASGIApp, queue: HandlerQueue, name: str) -> None:
        self._application = application
        self._queue = queue
        self._name = name

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if not _may_have_body(scope):
            await self._application(scope, receive, send)
            return
        first = await receive()
        size = len(first.get("body", b""))
        replay = _make_replay(first, receive)
        del first
        if size <= SMALL_BODY_BYTES:
            await self._application(scope, replay, send)
        elif await self._queue.enter(size):
            try:
                # Nobody would read the reply; the client may have sent it again.
                if not await Request(scope, receive).is_disconnected():
                    await self._application(scope, replay, send)
            finally:
                self._queue.leave(size)
        else:
            self._queue.note_rejection(self._name)
            await _refuse(send)


def queue_large_requests(
    routes: Iterable[BaseRoute], queue: HandlerQueue, listener: str
) -> list[BaseRoute]:
    """Let the handlers of routes wait for room in a queue; return the routes."""
    listed = list(routes)
    for route in listed:
        if isinstance(route, Route):
            route.app = _QueuedHandler(route.app, queue, listener)
    return listed


def _may_have_body(scope: Scope) -> bool:
    names = {name for name, _ in scope["headers"]}
    return b"content-length" in names or b"transfer-encoding" in names


def _make_replay(first: Message, receive: Receive) -> Receive:
    """Return a callable that returns the first message, and then receives further."""
    waiting = [first]

    async def replay() -> Message:
        return waiting.pop() if waiting else await receive()

    return replay


async def _refuse(send: Send) -> None:
    start = {
        "type": "http.response.start",
        "status": HANDLERS_FULL.status,
        "headers": HANDLERS_FULL.list_headers(),
    }
    await send(start)
    await send({"type": "http.response.body", "body": HANDLERS_FULL.text})

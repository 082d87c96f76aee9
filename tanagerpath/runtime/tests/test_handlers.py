"""Guards against large requests whose handlers fill the memory of a process."""

import anyio
import anyio.lowlevel
import testtools
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from tanagerpath.runtime import handlers
from tanagerpath.runtime.handlers import (
    MAX_WAITING_FACTOR,
    SMALL_BODY_BYTES,
    HandlerQueue,
    queue_large_requests,
)
from tanagerpath.runtime.limits import RejectionObserver, RejectionReason

MAX_BYTES = 4 * SMALL_BODY_BYTES
LARGE = 2 * SMALL_BODY_BYTES
WAIT_S = 0.05
# Of the event loop; more than a request takes until its handler runs.
TURNS = 50


class _Observer(RejectionObserver):
    def __init__(self):
        self.noted = []

    def note_rejection(self, listener, reason):
        self.noted.append((listener, reason))


async def _let_all_run():
    for _ in range(TURNS):
        await anyio.lowlevel.checkpoint()


class _Listener:
    """A route whose handlers run until they are released."""

    def __init__(self):
        self.observer = _Observer()
        self.released = anyio.Event()
        self.running = []
        self.statuses = []
        queue = HandlerQueue(MAX_BYTES, self.observer)
        route = Route("/", self._handle, methods=["POST"])
        (self._route,) = queue_large_requests([route], queue, "callers")

    async def _handle(self, request):
        self.running.append(len(await request.body()))
        await self.released.wait()
        return PlainTextResponse("done")

    async def call(self, size, is_connected=True):
        """Send a request with a body of a size."""
        messages = [{"type": "http.request", "body": b"x" * size, "more_body": False}]

        async def receive():
            if messages:
                return messages.pop()
            if is_connected:
                await anyio.sleep_forever()
            return {"type": "http.disconnect"}

        async def send(message):
            if message["type"] == "http.response.start":
                self.statuses.append((message["status"], dict(message["headers"])))

        headers = [(b"content-length", str(size).encode())]
        scope = {"type": "http", "method": "POST", "path": "/", "headers": headers}
        await self._route.app(scope, receive, send)


class TestHandlerQueue(testtools.TestCase):
    def play(self, *sizes, is_connected=True):
        """Send requests at once; return the listener while the handlers run."""

        async def main():
            listener = _Listener()
            async with anyio.create_task_group() as tasks:
                for size in sizes:
                    tasks.start_soon(listener.call, size, is_connected)
                await _let_all_run()
                listener.first = list(listener.running)
                listener.released.set()
            return listener

        return anyio.run(main)

    def test_large_requests_wait_until_others_have_ended(self):
        listener = self.play(*[LARGE] * 5)
        self.assertEqual([LARGE] * 2, listener.first)
        self.assertEqual([200] * 5, [status for status, _ in listener.statuses])

    def test_small_requests_do_not_wait(self):
        sizes = [LARGE] * 3 + [SMALL_BODY_BYTES] * 10
        listener = self.play(*sizes)
        self.assertEqual(10, listener.first.count(SMALL_BODY_BYTES))

    def test_a_request_over_the_limit_is_handled_alone(self):
        listener = self.play(2 * MAX_BYTES, LARGE)
        self.assertEqual([2 * MAX_BYTES], listener.first)
        self.assertEqual([200] * 2, [status for status, _ in listener.statuses])

    def test_a_request_that_would_wait_for_too_long_is_refused_at_once(self):
        size = MAX_BYTES
        listener = self.play(*[size] * (MAX_WAITING_FACTOR + 2))
        statuses = [status for status, _ in listener.statuses]
        self.assertEqual((503, 1), (statuses[0], statuses.count(503)))
        self.assertEqual(b"1", listener.statuses[0][1][b"retry-after"])
        reason = ("callers", RejectionReason.HANDLERS_FULL)
        self.assertEqual([reason], listener.observer.noted)

    def test_a_request_that_has_waited_for_too_long_was_not_handled(self):
        self.patch(handlers, "MAX_WAIT_S", WAIT_S)

        async def main():
            listener = _Listener()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.call, MAX_BYTES)
                await _let_all_run()
                await listener.call(LARGE)
                listener.released.set()
            await listener.call(LARGE)
            return listener

        listener = anyio.run(main)
        self.assertEqual([503, 200, 200], [one for one, _ in listener.statuses])
        self.assertEqual([MAX_BYTES, LARGE], listener.running)

    def test_requests_of_clients_that_have_left_are_not_handled(self):
        # A process that gives up an exchange sends the request again.
        listener = self.play(LARGE, LARGE, LARGE, is_connected=False)
        self.assertEqual([], listener.running)

"""Guards against request bodies that take many times their size in memory."""

import tracemalloc

import anyio
import testtools

from tanagerpath.runtime.bodies import BodyReader
from tanagerpath.runtime.connections import ListenerGuard

PART = b"ab"
PARTS = 100_000
MAX_FACTOR = 4


class TestBodyReader(testtools.TestCase):
    def test_body_in_many_parts_takes_a_few_times_its_size(self):
        """Guards against an object for each segment of a body, of 40 bytes and more."""
        scope = {"type": "http", "method": "POST", "path": "/"}
        scope["headers"] = [(b"content-length", str(PARTS * len(PART)).encode())]
        received = []

        async def list_messages():
            for number in range(PARTS):
                # Each part is an object of its own, as from a socket.
                data = bytes(bytearray(PART))
                more = number < PARTS - 1
                yield {"type": "http.request", "body": data, "more_body": more}

        async def handle(scope, receive, send):
            received.append(await receive())

        async def use():
            messages = list_messages()
            reader = BodyReader(handle, ListenerGuard())
            await reader(scope, messages.__anext__, None)

        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        anyio.run(use)
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertEqual(PART * PARTS, received[0]["body"])
        self.assertLess(peak_bytes, MAX_FACTOR * len(PART) * PARTS)

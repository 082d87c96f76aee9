"""Guards against a client whose bytes keep the event loop from all other clients.

No test measures time: they count turns of the event loop and what is done in each.
"""

import asyncio

import attrs
import testtools

from tanagerpath.runtime import connections
from tanagerpath.runtime.connections import RECEIVE_BYTES, ListenerGuard
from tanagerpath.runtime.limits import (
    ListenerLimits,
    RejectionObserver,
    RejectionReason,
)
from tanagerpath.runtime.tests.loop_transport import connect

GET = b"GET / HTTP/1.1\r\nhost: test\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nhost: test\r\ntransfer-encoding: chunked\r\n\r\n"
SMALL_CHUNK = b"1\r\nx\r\n"
LAST_CHUNK = b"0\r\n\r\n"
# As many as fit into one read of a socket.
CHUNKS = RECEIVE_BYTES // len(SMALL_CHUNK)
MAX_CHUNKS_PER_TURN = 2_000
MAX_TURNS = 1_000
MANY_CONNECTIONS = 100
TEST_TIMEOUT_S = 20.0
OK = b"HTTP/1.1 200"
FIRST_CHUNKS = 3
PIPELINED_REQUESTS = 100


class _Observer(RejectionObserver):
    def __init__(self):
        self.noted = []

    def note_rejection(self, listener, reason):
        self.noted.append(reason)


@attrs.define
class _Application:
    """Notes the size of each body, and answers a turn of the event loop later."""

    sizes: list[int] = attrs.Factory(list)

    async def __call__(self, scope, receive, send):
        message = {"body": b""}
        if scope["method"] == "POST":
            message = await receive()
        self.sizes.append(len(message["body"]))
        await asyncio.sleep(0)
        headers = [(b"content-length", b"0")]
        start = {"type": "http.response.start", "status": 200, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": b""})


async def _run_turns(is_done):
    """Run the event loop until a condition holds, and return the number of turns."""
    for turn in range(MAX_TURNS):
        if is_done():
            return turn
        await asyncio.sleep(0)
    raise AssertionError("condition does not hold")


class TestParsingTurns(testtools.TestCase):
    def test_one_read_of_small_chunks_takes_many_turns(self):
        """Guards against a read that takes a tenth of a second in one turn."""

        async def use():
            application = _Application()
            connection, transport = connect(application)
            text = CHUNKED + SMALL_CHUNK * (CHUNKS - FIRST_CHUNKS) + LAST_CHUNK
            connection.data_received(text)
            self.assertFalse(transport.reads)
            turns = await _run_turns(lambda: application.sizes)
            self.assertGreaterEqual(turns, CHUNKS // MAX_CHUNKS_PER_TURN)
            self.assertEqual([CHUNKS - FIRST_CHUNKS], application.sizes)
            self.assertTrue(transport.reads)
            await _run_turns(lambda: transport.written)
            self.assertEqual(OK, bytes(transport.written[: len(OK)]))

        asyncio.run(use())

    def test_each_turn_reads_a_bounded_number_of_chunks(self):
        async def use():
            connection, transport = connect(_Application())
            connection.data_received(CHUNKED)
            connection.data_received(SMALL_CHUNK * CHUNKS)
            self.assertLessEqual(len(connection.cycle.body), MAX_CHUNKS_PER_TURN)
            await _run_turns(lambda: transport.reads)

        asyncio.run(use())

    def test_another_connection_is_served_between_two_parts_of_a_read(self):
        async def use():
            crowd, guard = _Application(), ListenerGuard()
            for _ in range(20):
                connection, _ = connect(crowd, guard)
                connection.data_received(CHUNKED + SMALL_CHUNK * CHUNKS + LAST_CHUNK)
            connection, transport = connect(_Application(), guard)
            connection.data_received(GET)
            await _run_turns(lambda: transport.written)
            self.assertEqual(OK, bytes(transport.written[: len(OK)]))
            self.assertEqual([], crowd.sizes)
            await _run_turns(lambda: len(crowd.sizes) == 20)

        asyncio.run(use())

    def test_all_connections_together_parse_a_bounded_number_of_chunks(self):
        """Guards against turns that grow with the number of such clients."""

        async def use():
            guard = ListenerGuard()
            for _ in range(MANY_CONNECTIONS):
                connection, _ = connect(_Application(), guard)
                connection.data_received(CHUNKED + SMALL_CHUNK * CHUNKS)
            # The first part of each.
            for _ in range(3):
                await asyncio.sleep(0)
            for _ in range(MAX_TURNS):
                before = guard.bodies.used_bytes
                await asyncio.sleep(0)
                self.assertLessEqual(
                    guard.bodies.used_bytes - before, MAX_CHUNKS_PER_TURN
                )
            self.assertGreater(guard.bodies.used_bytes, MAX_TURNS)

        asyncio.run(use())

    def test_connection_that_is_lost_is_parsed_no_further(self):
        async def use():
            application = _Application()
            connection, _ = connect(application)
            connection.data_received(CHUNKED + SMALL_CHUNK * CHUNKS + LAST_CHUNK)
            connection.connection_lost(None)
            for _ in range(MAX_TURNS):
                await asyncio.sleep(0)
            self.assertEqual([], application.sizes)

        asyncio.run(use())

    def test_nothing_is_read_while_pipelined_requests_wait(self):
        """Guards against each request of a pipeline that reads 64 KiB into memory.

        Six clients that read no replies raised an entry by 300 MB.
        """

        async def use():
            application = _Application()
            connection, transport = connect(application)
            post = (
                b"POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 9\r\n\r\n123456789"
            )
            connection.data_received(post * PIPELINED_REQUESTS)
            while len(application.sizes) < PIPELINED_REQUESTS - 1:
                self.assertFalse(transport.reads)
                await asyncio.sleep(0)
            await _run_turns(lambda: len(application.sizes) == PIPELINED_REQUESTS)
            self.assertTrue(transport.reads)

        asyncio.run(use())

    def test_a_turn_starts_one_request_of_a_connection(self):
        async def use():
            application = _Application()
            connection, _ = connect(application)
            connection.data_received(GET * PIPELINED_REQUESTS)
            done = 0
            while done < PIPELINED_REQUESTS:
                await asyncio.sleep(0)
                self.assertLessEqual(len(application.sizes), done + 1)
                done = len(application.sizes)

        asyncio.run(use())


class TestRefusedConnection(testtools.TestCase):
    def test_it_is_closed_soon_though_an_earlier_reply_is_read_on(self):
        """Guards against a refused connection that stays open without a deadline."""

        async def use():
            connection, transport = connect(_Application())
            connection.data_received(b"GET /\r\n\r\n")
            connection.pause_writing()
            connection.resume_writing()
            while not transport.is_aborted:
                await asyncio.sleep(0.01)

        self.patch(connections, "REFUSAL_TIMEOUT_S", 0.01)
        asyncio.run(asyncio.wait_for(use(), TEST_TIMEOUT_S))


class TestCostlyChunks(testtools.TestCase):
    """Guards against bodies that consist of little but chunk lines and trailers."""

    def exchange(self, body, **limits):
        observer = _Observer()
        guard = ListenerGuard(limits=ListenerLimits(**limits), observer=observer)
        application = _Application()

        async def use():
            connection, transport = connect(application, guard)
            text = CHUNKED + body
            for start in range(0, len(text), RECEIVE_BYTES):
                await _run_turns(lambda: transport.reads or transport.is_closed)
                connection.data_received(text[start : start + RECEIVE_BYTES])
            await _run_turns(lambda: transport.written)
            for _ in range(3):
                await asyncio.sleep(0)
            return bytes(transport.written), transport.is_closed

        written, is_closed = asyncio.run(use())
        return written.split(b"\r\n")[0], is_closed, observer.noted, application.sizes

    def test_small_chunks_over_the_limit_are_refused(self):
        expected = b"HTTP/1.1 400 Bad Request", True, [RejectionReason.COSTLY_CHUNKS]
        for body in (
            SMALL_CHUNK * 100_000,
            (b"1;" + b"a" * 10_000 + b"\r\nx\r\n") * 100,
            b"0\r\n" + b"a:b\r\n" * 100_000,
        ):
            *shown, sizes = self.exchange(body)
            self.assertEqual((expected, []), (tuple(shown), sizes), body[:5])

    def test_small_chunks_of_an_ordinary_body_are_read(self):
        body = SMALL_CHUNK * 10_000 + LAST_CHUNK
        self.assertEqual((b"HTTP/1.1 200 OK", False, [], [10_000]), self.exchange(body))

    def test_chunks_of_five_bytes_are_never_too_small(self):
        body = b"5\r\n12345\r\n" * 100_000 + LAST_CHUNK
        found = self.exchange(body, max_chunk_overhead_bytes=100)
        self.assertEqual((b"HTTP/1.1 200 OK", False, [], [500_000]), found)

"""Guards against clients over the limits of a listener, and rejections without a trace.

Each test waits for a condition, not for a time.
"""

import contextlib
import gc
import weakref

import anyio
import testtools
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tanagerpath.runtime.connections import ListenerGuard
from tanagerpath.runtime.limits import (
    BodyRule,
    ListenerLimits,
    RejectionObserver,
    RejectionReason,
)
from tanagerpath.runtime.server import HttpServer, bind_listener

HEAD = b"POST / HTTP/1.1\r\nhost: test\r\n"
GET = b"GET / HTTP/1.1\r\nhost: test\r\n\r\n"
CLOSE = b"\r\nconnection: close\r\n\r\n"
LARGE_REPLY_BYTES = 8 * 1024 * 1024
TEST_TIMEOUT_S = 20.0
STATUS_END = len(b"HTTP/1.1 200")


class _Observer(RejectionObserver):
    def __init__(self):
        self.noted = []

    def note_rejection(self, listener, reason):
        self.noted.append(reason)


async def _echo(request: Request) -> Response:
    return Response(await request.body())


async def _answer_at_length(request: Request) -> Response:
    return Response(b"x" * LARGE_REPLY_BYTES)


async def _receive_all(client):
    """Return all that arrives until the connection is closed."""
    received = b""
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            received += await client.receive()
    return received


class TestBoundedConnections(testtools.TestCase):
    def run_client(self, use, **limits):
        """Run `use(connect)` against a server; return its result and rejections."""
        observer = _Observer()
        self.noted = observer.noted
        guard = ListenerGuard(limits=ListenerLimits(**limits), observer=observer)
        routes = [
            Route("/", _echo, methods=["POST", "GET"]),
            Route("/large", _answer_at_length, methods=["GET"]),
        ]

        async def main():
            server = HttpServer(bind_listener("127.0.0.1:0"), routes, guard=guard)
            host, _, port = server.address.rpartition(":")

            async def connect():
                while True:
                    with contextlib.suppress(OSError):
                        return await anyio.connect_tcp(host, int(port))
                    await anyio.sleep(0.01)

            with anyio.fail_after(TEST_TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(server.run)
                    result = await use(connect)
                    tasks.cancel_scope.cancel()
            return result

        return anyio.run(main), observer.noted

    def exchange(self, text, **limits):
        async def use(connect):
            async with await connect() as client:
                await client.send(text)
                return await _receive_all(client)

        reply, noted = self.run_client(use, **limits)
        return reply[:STATUS_END].decode(), noted

    def test_announced_body_over_the_limit_is_refused_without_its_bytes(self):
        text = HEAD + b"content-length: 11\r\nexpect: 100-continue\r\n\r\n"
        found = self.exchange(text, max_body_bytes=10)
        self.assertEqual(("HTTP/1.1 413", [RejectionReason.BODY_TOO_LARGE]), found)

    def test_chunked_body_is_refused_at_the_byte_that_exceeds_the_limit(self):
        text = HEAD + b"transfer-encoding: chunked\r\n\r\nb\r\n01234567890"
        found = self.exchange(text, max_body_bytes=10)
        self.assertEqual(("HTTP/1.1 413", [RejectionReason.BODY_TOO_LARGE]), found)

    def test_body_at_the_limit_of_its_kind_is_read(self):
        text = HEAD + b"connection: close\r\ncontent-length: 10\r\n\r\n0123456789"
        rules = (BodyRule("PUT", "/", 1), BodyRule("POST", "/", 10))
        found = self.exchange(text, max_body_bytes=1, body_rules=rules)
        self.assertEqual(("HTTP/1.1 200", []), found)

    def test_large_and_many_header_fields_are_refused(self):
        for fields in (b"a: " + b"b" * 2000 + b"\r\n", b"a:b\r\n" * 300):
            text = b"GET / HTTP/1.1\r\nhost: test\r\n" + fields + b"\r\n"
            found = self.exchange(text, max_header_bytes=1999)
            expected = ("HTTP/1.1 431", [RejectionReason.HEADER_TOO_LARGE])
            self.assertEqual(expected, found)

    def test_malformed_requests_are_refused(self):
        for text in (b"\x00\r\n\r\n", HEAD + b"content-length: 9" * 3 + b"\r\n\r\n"):
            found = self.exchange(text)
            self.assertEqual(("HTTP/1.1 400", [RejectionReason.MALFORMED]), found)

    def test_incomplete_requests_and_idle_connections_are_closed(self):
        timeouts = {"header_timeout_s": 0.1, "idle_timeout_s": 0.1}
        for text, status, expected in (
            (b"", "", [RejectionReason.HEADER_TIMEOUT]),
            (b"GET / HT", "", [RejectionReason.HEADER_TIMEOUT]),
            (GET + b"GET / HT", "HTTP/1.1 200", []),
            (HEAD + b"content-length: 9\r\n\r\n", "", [RejectionReason.BODY_TIMEOUT]),
            (GET, "HTTP/1.1 200", []),
        ):
            self.assertEqual((status, expected), self.exchange(text, **timeouts), text)

    def test_pipelined_requests_are_answered_in_turn(self):
        async def use(connect):
            async with await connect() as client:
                await client.send(GET * 50 + GET.replace(b"\r\n\r\n", CLOSE))
                return await _receive_all(client)

        reply, noted = self.run_client(use)
        self.assertEqual((51, []), (reply.count(b"HTTP/1.1 200"), noted))

    def test_reply_that_is_not_read_ends_its_connection(self):
        async def use(connect):
            async with await connect() as client:
                await client.send(GET.replace(b" / ", b" /large ") * 3)
                while not self.noted:
                    await anyio.sleep(0.01)

        _, noted = self.run_client(use, write_timeout_s=0.2)
        self.assertEqual([RejectionReason.REPLY_TIMEOUT], noted)

    def test_large_reply_that_is_read_arrives_whole(self):
        async def use(connect):
            async with await connect() as client:
                request = GET.replace(b" / ", b" /large ")
                await client.send(request.replace(b"\r\n\r\n", CLOSE))
                return await _receive_all(client)

        reply, noted = self.run_client(use)
        self.assertEqual((True, []), (len(reply) > LARGE_REPLY_BYTES, noted))

    def test_closed_connections_are_freed_at_once(self):
        """Guards against closed connections that wait for a full garbage collection.

        Thousands of them took 70 MB.
        """
        connections = []
        add = ListenerGuard.add

        def note_connection(guard, connection):
            connections.append(weakref.ref(connection))
            add(guard, connection)

        async def use(connect):
            for text in (b"", b"GET / HT", GET, HEAD + b"content-length: 9\r\n\r\n"):
                async with await connect() as client:
                    await client.send(text)
                    if text is GET:
                        await client.receive()
                while connections[-1]() is not None:
                    await anyio.sleep(0.01)
            return len(connections)

        self.patch(ListenerGuard, "add", note_connection)
        gc.disable()
        self.addCleanup(gc.enable)
        self.assertEqual((4, []), self.run_client(use))

    def test_new_connection_is_served_while_idle_ones_use_up_the_limit(self):
        async def use(connect):
            held = [await connect() for _ in range(8)]
            async with await connect() as client:
                await client.send(GET)
                reply = await client.receive()
            closed = await _receive_all(held[0])
            for one in held:
                await one.aclose()
            return reply[:STATUS_END], closed

        found, noted = self.run_client(use, max_connections=4)
        self.assertEqual((b"HTTP/1.1 200", b""), found)
        self.assertEqual({RejectionReason.TOO_MANY_CONNECTIONS}, set(noted))
        self.assertEqual(5, len(noted))

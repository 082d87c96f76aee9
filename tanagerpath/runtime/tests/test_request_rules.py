"""Guards against replies that break the rules of HTTP/1.1 or that a client misreads.

Each request goes through a whole server.
"""

import contextlib

import anyio
import testtools
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tanagerpath.runtime.connections import ListenerGuard
from tanagerpath.runtime.limits import RejectionObserver, RejectionReason
from tanagerpath.runtime.server import HttpServer, bind_listener

HOST = b"host: test\r\n"
CLOSE = b"connection: close\r\n"
GET = b"GET /q/a HTTP/1.1\r\n" + HOST
POST = b"POST /q/a HTTP/1.1\r\n" + HOST
LENGTH = b"content-length: 5\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
TEST_TIMEOUT_S = 20.0


class _Observer(RejectionObserver):
    def __init__(self):
        self.noted = []

    def note_rejection(self, listener, reason):
        self.noted.append(reason)


async def _echo(request: Request) -> Response:
    body = await request.body()
    path = request.path_params["name"].encode()
    query = request.url.query.encode()
    return Response(b"|".join((path, query, body)))


async def _answer_nothing(request: Request) -> Response:
    return Response(status_code=204)


async def _fail(request: Request) -> Response:
    raise OSError("fault")


ROUTES = [
    Route("/q/{name}", _echo, methods=["POST", "GET", "HEAD"]),
    Route("/empty", _answer_nothing),
    Route("/fault", _fail, methods=["POST"]),
]


def _split(reply):
    """Return the status line, the header lines and the body of a reply."""
    head, _, body = reply.partition(b"\r\n\r\n")
    line, *fields = head.split(b"\r\n")
    return line, [field.lower() for field in fields], body


class TestRequestRules(testtools.TestCase):
    def exchange(self, *parts):
        """Send each part when something has been received since the one before.

        Return all that is received until the server closes the connection.
        """
        observer = _Observer()
        self.noted = observer.noted

        async def connect(address):
            host, _, port = address.rpartition(":")
            while True:
                with contextlib.suppress(OSError):
                    return await anyio.connect_tcp(host, int(port))
                await anyio.sleep(0.01)

        async def use(address):
            received = b""
            async with await connect(address) as client:
                with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                    for part in parts:
                        await client.send(part)
                        received += await client.receive()
                    while True:
                        received += await client.receive()
            return received

        async def main():
            guard = ListenerGuard(observer=observer)
            server = HttpServer(bind_listener("127.0.0.1:0"), ROUTES, guard=guard)
            with anyio.fail_after(TEST_TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(server.run)
                    received = await use(server.address)
                    tasks.cancel_scope.cancel()
            return received

        return anyio.run(main)

    def test_connection_is_closed_as_the_client_asks(self):
        for text in (GET + CLOSE + b"\r\n", b"GET /q/a HTTP/1.0\r\n\r\n"):
            line, fields, body = _split(self.exchange(text))
            self.assertEqual((b"HTTP/1.1 200 OK", b"a||"), (line, body))
            self.assertIn(b"connection: close", fields)

    def test_requests_after_the_last_one_are_not_answered(self):
        for last in (GET + CLOSE + b"\r\n", b"GET /q/a HTTP/1.0\r\n\r\n"):
            reply = self.exchange(last + GET + b"\r\n")
            self.assertEqual(1, reply.count(b"HTTP/1.1"))

    def test_reply_to_head_has_no_body(self):
        text = GET.replace(b"GET", b"HEAD")
        reply = self.exchange(text + b"\r\n" + text + CLOSE + b"\r\n")
        self.assertEqual(2, reply.count(b"content-length: 3"))
        self.assertEqual(2, reply.count(b"HTTP/1.1 200 OK"))
        self.assertTrue(reply.endswith(b"\r\n\r\n"))
        self.assertNotIn(b"a||", reply)

    def test_reply_without_a_body_does_not_announce_one(self):
        text = b"GET /empty HTTP/1.1\r\n" + HOST + CLOSE + b"\r\n"
        line, fields, body = _split(self.exchange(text))
        self.assertEqual((b"HTTP/1.1 204 No Content", b""), (line, body))
        self.assertEqual([b"connection: close"], fields)

    def test_body_is_asked_for_if_the_client_waits(self):
        head = POST + CLOSE + LENGTH + b"Expect: 100-Continue\r\n\r\n"
        reply = self.exchange(head, b"whole")
        self.assertTrue(reply.startswith(CONTINUE))
        self.assertTrue(reply.endswith(b"a||whole"))
        old = head.replace(b"1.1", b"1.0")
        self.assertNotIn(CONTINUE, self.exchange(old + b"whole"))

    def test_body_is_the_same_however_it_is_sent(self):
        chunks = b"3;x=y\r\nwho\r\n2\r\nle\r\n0\r\nt: x\r\n\r\n"
        for text in (
            POST + CLOSE + LENGTH + b"\r\nwhole",
            POST + CLOSE + CHUNKED + b"\r\n" + chunks,
            b"POST /q/a HTTP/1.0\r\n" + LENGTH + b"\r\nwhole",
            POST + CLOSE + LENGTH + b"Upgrade: h2c\r\nConnection: upgrade\r\n\r\nwhole",
        ):
            self.assertTrue(self.exchange(text).endswith(b"\r\n\r\na||whole"), text)

    def test_path_and_query_are_separated_and_decoded(self):
        for target in (b"/q/a%20%C3%A4?x=%20", b"/q/a%20%c3%a4?x=%20"):
            text = GET.replace(b"/q/a", target) + CLOSE + b"\r\n"
            reply = self.exchange(text)
            self.assertTrue(reply.endswith("a ä|x=%20|".encode()), reply)

    def test_unknown_methods_paths_and_upgrades_are_answered(self):
        for method, path, status in (
            (b"BREW", b"/q/a", b"405"),
            (b"DELETE", b"/q/a", b"405"),
            (b"CONNECT", b"/q/a", b"405"),
            (b"GET", b"/other", b"404"),
            (b"OPTIONS", b"*", b"404"),
        ):
            text = method + b" " + path + b" HTTP/1.1\r\n" + HOST
            upgrade = b"Connection: upgrade, close\r\nUpgrade: websocket\r\n\r\n"
            for lines in (CLOSE + b"\r\n", upgrade):
                line, _, _ = _split(self.exchange(text + lines))
                self.assertEqual(status, line.split()[1], text + lines)

    def test_malformed_requests_are_answered_once_and_counted(self):
        chunked = POST + CHUNKED + b"\r\n"
        for text in (
            GET.replace(HOST, b"") + b"\r\n",
            POST + LENGTH + CHUNKED + b"\r\n0\r\n\r\n",
            chunked + b"x\r\n",
            chunked + b"1\r\nab\r\n" + GET,
        ):
            line, fields, _ = _split(self.exchange(text + GET + b"\r\n"))
            self.assertEqual(b"HTTP/1.1 400 Bad Request", line)
            self.assertIn(b"connection: close", fields)
            self.assertEqual([RejectionReason.MALFORMED], self.noted, text)

    def test_malformed_request_after_another_is_refused_in_turn(self):
        reply = self.exchange(GET + b"\r\n" + b"GET /\r\n\r\n")
        self.assertTrue(reply.startswith(b"HTTP/1.1 200"))
        self.assertEqual(1, reply.count(b"HTTP/1.1 400"))

    def test_malformed_chunks_that_arrive_later_are_refused(self):
        head = POST + CHUNKED + b"expect: 100-continue\r\n\r\n"
        reply = self.exchange(head, b"x\r\n")
        self.assertTrue(reply.startswith(CONTINUE + b"HTTP/1.1 400 "), reply)

    def test_fault_of_a_handler_is_answered(self):
        text = b"POST /fault HTTP/1.1\r\n" + HOST + LENGTH + CLOSE + b"\r\nwhole"
        line, _, _ = _split(self.exchange(text))
        self.assertEqual(b"HTTP/1.1 500 Internal Server Error", line)

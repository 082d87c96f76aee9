"""Guards against exchanges that hang on unresponsive or closed connections."""

import socket

import anyio
import httpcore
import testtools
from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from tanagerpath.runtime.budgets import ByteBudget
from tanagerpath.runtime.client import (
    ConnectFailed,
    ExchangeCut,
    ExchangeTimedOut,
    HttpClient,
    ReplyTooLarge,
)
from tanagerpath.runtime.server import HttpServer, bind_listener


async def _answer(request: Request) -> PlainTextResponse:
    await anyio.sleep(float(request.query_params.get("delay", 0)))
    return PlainTextResponse("whole")


class TestHttpClient(testtools.TestCase):
    def test_reply_arrives_whole_and_stop_waits_for_it(self):
        async def main():
            server = HttpServer(
                bind_listener("127.0.0.1:0"), [Route("/", _answer, methods=["POST"])]
            )
            client = HttpClient(server.address)
            replies = []

            async def ask():
                replies.append(await client.exchange("POST", "/?delay=0.3"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.run)
                await anyio.sleep(0.2)
                tasks.start_soon(ask)
                await anyio.sleep(0.1)
                await server.stop()
            await client.close()
            return replies[0].unwrap()

        reply = anyio.run(main)
        self.assertEqual((200, b"whole"), (reply.status, reply.body))

    def test_stopping_server_closes_keepalive_connections_with_a_reply(self):
        """Guards against requests lost on connections that a stopping server closes."""

        async def main():
            route = Route("/", _answer, methods=["POST"])
            server = HttpServer(bind_listener("127.0.0.1:0"), [route])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.run)
                await anyio.sleep(0.2)
                async with httpcore.AsyncConnectionPool() as pool:
                    headers = []
                    for _ in range(2):
                        url = f"http://{server.address}/"
                        reply = await pool.request("POST", url)
                        headers.append(dict(reply.headers).get(b"connection"))
                        server.close_keepalive_connections()
                    open_connections = len(pool.connections)
                await server.stop()
            return headers, open_connections

        self.assertEqual(([None, b"close"], 0), anyio.run(main))

    def test_failures_are_typed(self):
        async def main(behaviour):
            async def handle(stream):
                if behaviour == "cut":
                    await stream.receive()
                    await stream.aclose()
                else:
                    await anyio.sleep(5)

            async with anyio.create_task_group() as tasks:
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
                port = listener.extra(anyio.abc.SocketAttribute.local_port)
                if behaviour == "refuse":
                    await listener.aclose()
                else:
                    tasks.start_soon(listener.serve, handle)
                client = HttpClient(f"127.0.0.1:{port}")
                result = await client.exchange("POST", "/", timeout_s=0.3)
                tasks.cancel_scope.cancel()
            return result.failure()

        for behaviour, kind in [
            ("refuse", ConnectFailed),
            ("cut", ExchangeCut),
            ("silent", ExchangeTimedOut),
        ]:
            self.assertIsInstance(anyio.run(main, behaviour), kind, behaviour)


class TestNagle(testtools.TestCase):
    def test_listener_has_an_explicit_protocol_number(self):
        """Without it asyncio keeps Nagle's algorithm on: 40 ms more for each reply."""
        listener = bind_listener("127.0.0.1:0")
        self.addCleanup(listener.close)
        self.assertEqual(socket.IPPROTO_TCP, listener.proto)


class TestInvalidAddress(testtools.TestCase):
    def test_invalid_address_fails_like_an_unreachable_one(self):
        """One announced by an upstream once crashed each control process in turn."""
        for address in (
            "127.0.0.1:99999",
            "127.0.0.1:0",
            "127.0.0.1:-1",
            "nowhere",
            "nowhere:",
            "[::1:80",
            "\u00fc.example:80",
            "",
        ):
            result = anyio.run(HttpClient(address).exchange, "POST", "/")
            self.assertEqual(ConnectFailed(address=address), result.failure())


class TestLargeReplies(testtools.TestCase):
    """Guards against replies that fill the memory of the process that asked."""

    def test_reply_over_the_limit_fails_and_the_client_goes_on(self):
        async def main():
            route = Route("/", _answer, methods=["POST"])
            server = HttpServer(bind_listener("127.0.0.1:0"), [route])
            budget = ByteBudget(1024)
            small = HttpClient(server.address, max_reply_bytes=4, replies=budget)
            large = HttpClient(server.address, max_reply_bytes=5, replies=budget)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.run)
                await anyio.sleep(0.2)
                results = [await one.exchange("POST", "/") for one in (small, large)]
                results.append(await small.exchange("POST", "/"))
                await small.close()
                await large.close()
                await server.stop()
            return small.address, results, budget.used_bytes

        address, (over, within, again), used_bytes = anyio.run(main)
        self.assertEqual(ReplyTooLarge(address=address), over.failure())
        self.assertEqual(b"whole", within.unwrap().body)
        self.assertEqual(ReplyTooLarge(address=address), again.failure())
        self.assertEqual(0, used_bytes)

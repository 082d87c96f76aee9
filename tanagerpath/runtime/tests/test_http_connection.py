"""Guards against connections that are reused wrongly, and exchanges without limits."""

import gc
import os
import sys

import anyio
import attrs
import testtools

from tanagerpath.runtime import client as client_module
from tanagerpath.runtime.budgets import MIN_AGE_TO_DROP_S, ByteBudget
from tanagerpath.runtime.client import (
    ConnectFailed,
    ExchangeCut,
    ExchangeTimedOut,
    HttpClient,
    HttpReply,
    HttpRequest,
    ReplyTooLarge,
)
from tanagerpath.runtime.http_connection import HttpConnection

HEAD = b"HTTP/1.1 200 OK\r\n"
PLAIN = HEAD + b"Content-Length: 5\r\n\r\nwhole"
STALE = PLAIN.replace(b"whole", b"stale")
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
UNTIL_CLOSE = HEAD + b"\r\nwhole"
WHOLE = HttpReply(200, b"whole")
SNAPSHOT = b"s" * (16 * 1024 * 1024)


@attrs.define
class Peer:
    """A server that sends given texts.

    Attributes
    ----------
    scripts : list
        For each connection in order, the text that answers each of its requests.
    accepted, closed : int
        Connections that were opened, and closed by either side.
    requests : int
        Requests that arrived, if each fits into one segment.
    """

    scripts: list[list[bytes]]
    accepted: int = 0
    closed: int = 0
    requests: int = 0
    _changed: anyio.Event = attrs.Factory(anyio.Event)

    async def serve(self, stream):
        script = self.scripts[self.accepted]
        self.accepted += 1
        self.note()
        try:
            async with stream:
                await self.answer(stream, script)
        finally:
            self.closed += 1
            self.note()

    async def answer(self, stream, script):
        try:
            for text in script:
                await stream.receive()
                self.requests += 1
                self.note()
                await stream.send(text)
            if b"" in script:
                await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return

    def note(self):
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for(self, condition):
        with anyio.fail_after(10):
            while not condition(self):
                await self._changed.wait()


class ClientCase(testtools.TestCase):
    def run_with(self, serve, use, **options):
        """Return what `use` returns for a client of a server with the handler."""

        async def main():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                client = HttpClient(
                    f"127.0.0.1:{port}", **{"max_connections": 1, **options}
                )
                result = await use(client)
                await client.close()
                tasks.cancel_scope.cancel()
            return result

        return anyio.run(main)

    def use_peer(self, scripts, use, **options):
        async def use_with_peer(client):
            return await use(client, peer)

        peer = Peer(scripts)
        return self.run_with(peer.serve, use_with_peer, **options), peer


class TestConnections(ClientCase):
    def test_connection_serves_one_exchange_after_the_other(self):
        async def use(client, peer):
            return [(await client.exchange("POST", "/")).unwrap() for _ in range(4)]

        empty = b"HTTP/1.1 204 No Content\r\n\r\n"
        continued = b"HTTP/1.1 100 Continue\r\n\r\n" + PLAIN
        replies, peer = self.use_peer([[PLAIN, CHUNKED, empty, continued]], use)
        self.assertEqual([WHOLE, WHOLE, HttpReply(204, b""), WHOLE], replies)
        self.assertEqual((1, 4), (peer.accepted, peer.requests))

    def test_reply_until_the_end_of_the_stream_is_whole(self):
        async def use(client, peer):
            return [(await client.exchange("POST", "/")).unwrap() for _ in range(2)]

        replies, _ = self.use_peer([[UNTIL_CLOSE], [UNTIL_CLOSE]], use)
        self.assertEqual([WHOLE, WHOLE], replies)

    def test_closed_connection_is_replaced_before_the_next_exchange(self):
        # A request on a connection that the server has closed counts as cut.
        async def use(client, peer):
            first = await client.exchange("POST", "/")
            await peer.wait_for(lambda peer: peer.closed == 1)
            return first, await client.exchange("POST", "/")

        replies, _ = self.use_peer([[PLAIN], [PLAIN]], use)
        self.assertEqual([WHOLE, WHOLE], [one.unwrap() for one in replies])

    def test_connection_with_further_bytes_is_not_reused(self):
        """Guards against a stray reply that answers the next request."""

        async def use(client, peer):
            return [(await client.exchange("POST", "/")).unwrap() for _ in range(2)]

        replies, peer = self.use_peer([[PLAIN + STALE, b""], [PLAIN]], use)
        self.assertEqual([WHOLE, WHOLE], replies)
        self.assertEqual(2, peer.accepted)

    def test_connection_with_unread_bytes_is_not_reused(self):
        """Guards against a stray reply that the event loop has not read yet."""
        streams = []

        async def serve(stream):
            streams.append(stream)
            await stream.receive()
            await stream.send(PLAIN)
            await anyio.sleep_forever()

        async def use(client):
            replies = [await client.exchange("POST", "/")]
            raw = streams[0].extra(anyio.abc.SocketAttribute.raw_socket)
            os.write(raw.fileno(), STALE)
            replies.append(await client.exchange("POST", "/"))
            return [one.unwrap() for one in replies]

        self.assertEqual([WHOLE, WHOLE], self.run_with(serve, use))
        self.assertEqual(2, len(streams))

    def test_expired_connection_is_replaced(self):
        self.patch(client_module, "KEEPALIVE_EXPIRY_S", -1.0)

        async def use(client, peer):
            return [(await client.exchange("POST", "/")).unwrap() for _ in range(2)]

        replies, peer = self.use_peer([[PLAIN, STALE], [PLAIN]], use)
        self.assertEqual([WHOLE, WHOLE], replies)
        self.assertEqual(2, peer.accepted)

    def test_broken_replies_are_cuts_and_the_next_exchange_is_served(self):
        async def use(client, peer):
            results = [await client.exchange("POST", "/") for _ in range(4)]
            odd = HttpRequest("POST", "/", b"", ((b"x", b"\r\n"),))
            results.append(await client.send(odd))
            return results, await client.exchange("POST", "/")

        scripts = [[b"no HTTP\r\n\r\n"], [PLAIN[:-1]], [CHUNKED[:-2]], [PLAIN, PLAIN]]
        (results, last), peer = self.use_peer(scripts, use)
        self.assertEqual(WHOLE, results.pop(3).unwrap())
        for result in results:
            self.assertIsInstance(result.failure(), ExchangeCut)
        self.assertEqual((WHOLE, 5), (last.unwrap(), peer.requests))

    def test_cancelled_exchange_leaves_no_reply_for_the_next_one(self):
        """Guards against the reply to a cancelled request answering the next one."""

        async def use(client, peer):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client.exchange, "POST", "/")
                await peer.wait_for(lambda peer: peer.requests == 1)
                tasks.cancel_scope.cancel()
            await peer.wait_for(lambda peer: peer.closed == 1)
            return await client.exchange("POST", "/")

        result, peer = self.use_peer([[b"", STALE], [PLAIN]], use)
        self.assertEqual((WHOLE, 2), (result.unwrap(), peer.accepted))

    def test_timeout_closes_the_idle_connections_too(self):
        """Guards against an exchange that hangs for a cause already known."""

        async def use(client, peer):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client.exchange, "POST", "/")
                tasks.start_soon(client.exchange, "POST", "/")
            result = await client.exchange("POST", "/", timeout_s=0.05)
            await peer.wait_for(lambda peer: peer.closed == 2)
            return result

        scripts = [[PLAIN, b""], [PLAIN, b""]]
        result, _ = self.use_peer(scripts, use, max_connections=2)
        self.assertIsInstance(result.failure(), ExchangeTimedOut)

    def test_wait_for_a_connection_counts_towards_the_timeout(self):
        async def use(client, peer):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client.exchange, "POST", "/")
                await peer.wait_for(lambda peer: peer.requests == 1)
                result = await client.exchange("POST", "/", timeout_s=0.05)
                tasks.cancel_scope.cancel()
            # The slot of the cancelled exchange is free again.
            return result, await client.exchange("POST", "/")

        (result, last), peer = self.use_peer([[b""], [PLAIN]], use)
        self.assertIsInstance(result.failure(), ExchangeTimedOut)
        self.assertEqual((WHOLE, 2), (last.unwrap(), peer.requests))

    def test_connection_that_closes_before_the_request_is_a_cut(self):
        """Guards against a wait until the deadline for a server at its limit."""

        async def serve(stream):
            await stream.aclose()

        async def use(client):
            with anyio.fail_after(10):
                return await client.exchange("POST", "/", timeout_s=30)

        result = self.run_with(serve, use)
        self.assertIsInstance(result.failure(), ExchangeCut)

    def test_reply_that_precedes_the_request_is_read(self):
        """Guards against refusals of a server at its limit that count as cuts."""
        accepted = anyio.Event()
        opened = HttpConnection.open

        async def serve(stream):
            async with stream:
                await stream.send(PLAIN)
                accepted.set()
                await stream.receive()

        async def open_late(host, port):
            connection = await opened(host, port)
            await accepted.wait()
            await anyio.sleep(0)
            return connection

        self.patch(HttpConnection, "open", open_late)

        async def use(client):
            return await client.exchange("POST", "/", timeout_s=30)

        self.assertEqual(WHOLE, self.run_with(serve, use).unwrap())

    def test_host_without_an_encoding_cannot_be_connected_to(self):
        """Guards against an exception from the look-up of an announced address."""
        address = "a" * 70 + ".example:80"
        result = anyio.run(HttpClient(address).exchange, "POST", "/")
        self.assertEqual(ConnectFailed(address=address), result.failure())


class TestLimitsOfReplies(ClientCase):
    def test_reply_over_the_limit_closes_its_connection(self):
        async def use(client, peer):
            result = await client.exchange("POST", "/")
            await peer.wait_for(lambda peer: peer.closed == 1)
            return result, await client.exchange("POST", "/")

        for text in (PLAIN, CHUNKED, UNTIL_CLOSE):
            small = PLAIN.replace(b"5", b"4").replace(b"whole", b"whol")
            scripts = [[text, b""], [small]]
            results, _ = self.use_peer(scripts, use, max_reply_bytes=4)
            self.assertIsInstance(results[0].failure(), ReplyTooLarge)
            self.assertEqual(b"whol", results[1].unwrap().body)

    def test_incomplete_reply_ends_at_once_if_others_need_the_budget(self):
        """Guards against a silent peer that holds the budget until the deadline."""
        now_s = [0.0]
        budget = ByteBudget(8, lambda: now_s[0])
        scripts = [[PLAIN[:-1], b""], [PLAIN]]

        async def use(client, peer):
            results = []

            async def ask():
                results.append(await client.exchange("POST", "/", timeout_s=30))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                with anyio.fail_after(10):
                    while not budget.used_bytes:
                        await anyio.sleep(0)
                # Exchanges that have just begun are not dropped for each other.
                now_s[0] += MIN_AGE_TO_DROP_S
                results.append(await client.exchange("POST", "/", timeout_s=30))
                await peer.wait_for(lambda peer: peer.closed >= 1)
            return results

        (first, second), _ = self.use_peer(
            scripts, use, max_connections=2, replies=budget, max_reply_bytes=100
        )
        # The exchange that was dropped ends first.
        self.assertIsInstance(first.failure(), ReplyTooLarge)
        self.assertEqual(WHOLE, second.unwrap())
        self.assertEqual(0, budget.used_bytes)

    def test_cut_and_late_replies_free_their_bytes(self):
        budget = ByteBudget(1000)

        async def use(client, peer):
            cut = await client.exchange("POST", "/")
            late = await client.exchange("POST", "/", timeout_s=0.05)
            return cut, late

        scripts = [[PLAIN[:-1]], [PLAIN[:-1], b""]]
        (cut, late), _ = self.use_peer(scripts, use, replies=budget)
        self.assertIsInstance(cut.failure(), ExchangeCut)
        self.assertIsInstance(late.failure(), ExchangeTimedOut)
        self.assertEqual(0, budget.used_bytes)


class TestLargeRequests(ClientCase):
    def test_peer_that_reads_slowly_gets_the_whole_body(self):
        async def serve(stream):
            received = bytearray()
            while len(received) < len(SNAPSHOT):
                received += await stream.receive(32 * 1024)
                await anyio.sleep(0)
            _, _, body = received.partition(b"\r\n\r\n")
            while len(body) < len(SNAPSHOT):
                body += await stream.receive(32 * 1024)
            digits = b"%d" % (body == SNAPSHOT)
            await stream.send(HEAD + b"Content-Length: 1\r\n\r\n" + digits)

        async def use(client):
            return await client.exchange("POST", "/", SNAPSHOT, timeout_s=30)

        self.assertEqual(HttpReply(200, b"1"), self.run_with(serve, use).unwrap())

    def test_deadline_holds_and_memory_is_freed_if_the_peer_does_not_read(self):
        """Guards against snapshots that pile up for a peer that has stopped."""
        transports = []
        made = HttpConnection.connection_made

        def connection_made(connection, transport):
            transports.append(transport)
            made(connection, transport)

        self.patch(HttpConnection, "connection_made", connection_made)

        async def serve(stream):
            await anyio.sleep_forever()

        async def use(client):
            before = sys.getrefcount(SNAPSHOT)
            # Cycles of references would keep the bytes until the next collection.
            gc.disable()
            try:
                result = await client.exchange("POST", "/", SNAPSHOT, timeout_s=0.1)
                # The event loop refers to the exchange until its current callback ends.
                await anyio.sleep(0)
            finally:
                gc.enable()
            return result, sys.getrefcount(SNAPSHOT) - before

        result, references = self.run_with(serve, use)
        self.assertIsInstance(result.failure(), ExchangeTimedOut)
        self.assertEqual(0, references)
        self.assertEqual([0], [one.get_write_buffer_size() for one in transports])

    def test_early_reply_ends_the_exchange_and_its_connection(self):
        """Guards against the rest of a refused body that precedes the next request."""
        refused = PLAIN.replace(b"200", b"413")
        accepted = []

        async def serve(stream):
            accepted.append(stream)
            await stream.receive(100)
            await stream.send(refused if len(accepted) == 1 else PLAIN)
            await anyio.sleep_forever()

        async def use(client):
            first = await client.exchange("POST", "/", SNAPSHOT, timeout_s=30)
            return first, await client.exchange("POST", "/")

        first, second = self.run_with(serve, use)
        self.assertEqual(HttpReply(413, b"whole"), first.unwrap())
        self.assertEqual((WHOLE, 2), (second.unwrap(), len(accepted)))

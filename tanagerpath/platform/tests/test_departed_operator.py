"""Guards against an order that takes effect after its operator has left.

The operator may have repeated it elsewhere, and withdrawn it since.
"""

import anyio
import testtools
from returns.result import Success

from tanagerpath.core.workloads import requests
from tanagerpath.emulator.addresses import find_free_ports
from tanagerpath.platform.operator_adapter import OperatorAdapter
from tanagerpath.runtime.server import HttpServer, bind_listener
from tanagerpath.services.adapters import LeaderClient

ORDER = b"POST /evacuations/a HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n"
FOUND = requests.EvacuationReply("a", False, 4)
STORED = requests.EvacuationReply("a", True, 5)


class SlowLeader(LeaderClient):
    """Replies to the query after an exchange of its own, as over a network.

    Parameters
    ----------
    port : int
        Port of the server.
    """

    def __init__(self, port):
        self.port = port
        self.asked = []
        self.query_arrived = anyio.Event()
        self.may_reply = anyio.Event()
        self.has_replied = anyio.Event()

    async def ask(self, request, timeout_s):
        self.asked.append(type(request))
        if isinstance(request, requests.EvacuationChange):
            return Success(STORED)
        self.query_arrived.set()
        await self.may_reply.wait()
        async with await anyio.connect_tcp("127.0.0.1", self.port) as other:
            await other.send(b"GET /nothing HTTP/1.1\r\nHost: c\r\n\r\n")
            await other.receive()
        self.has_replied.set()
        return Success(FOUND)


class TestDepartedOperator(testtools.TestCase):
    def order(self, is_connected):
        """Send an order; return the types of the requests to the leader."""
        return anyio.run(self._order, is_connected)

    async def _order(self, is_connected):
        (port,) = find_free_ports(1)
        leader = SlowLeader(port)
        routes = OperatorAdapter("1", 5.0).list_routes(leader)
        server = HttpServer(bind_listener(f"127.0.0.1:{port}"), routes)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            operator = await anyio.connect_tcp("127.0.0.1", port)
            await operator.send(ORDER)
            await leader.query_arrived.wait()
            if not is_connected:
                await operator.aclose()
            leader.may_reply.set()
            await leader.has_replied.wait()
            if is_connected:
                self.assertIn(b" 200 ", await operator.receive())
                await operator.aclose()
            # The handler has ended once the server has.
            await server.stop()
            tasks.cancel_scope.cancel()
        return leader.asked

    def test_change_is_sent_for_a_connected_operator(self):
        expected = [requests.EvacuationQuery, requests.EvacuationChange]
        self.assertEqual(expected, self.order(is_connected=True))

    def test_change_is_not_sent_for_one_that_has_left(self):
        self.assertEqual([requests.EvacuationQuery], self.order(is_connected=False))

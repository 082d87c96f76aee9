"""Guards against an unexpected error in one exchange that ends a whole process.

The exchanges of a task share a task group, which an exception in one of them cancels.
"""

import anyio
import attrs
import testtools
from returns.pipeline import is_successful
from returns.result import Success
from starlette.responses import JSONResponse
from starlette.routing import Route

from tanagerpath.core.admission import OutcomeUncertain, RetryBudget, SearchingRoute
from tanagerpath.core.coordination import (
    CallUpstream,
    UpstreamCallFailed,
    UpstreamReplied,
)
from tanagerpath.runtime import Mailbox
from tanagerpath.runtime.client import HttpRequest
from tanagerpath.runtime.server import HttpServer, bind_listener
from tanagerpath.services.leader_link import LeaderLink
from tanagerpath.services.links import UpstreamCodec, UpstreamLink
from tanagerpath.services.workload_protocol import WORKLOAD_PROTOCOL


class InjectedError(Exception):
    """Raised by the tests in place of an unknown fault."""


@attrs.frozen
class OddRequest:
    """A request whose encoding or reply raises an error."""

    fails_in: str


class _FaultyCodec(UpstreamCodec):
    def encode(self, call):
        if call.request.fails_in == "encode":
            raise InjectedError("encode")
        return HttpRequest("POST", "/")

    def decode(self, call, reply):
        if call.request.fails_in == "decode":
            raise InjectedError("decode")
        return Success(reply.status)


async def _answer(request):
    return JSONResponse({})


class TestUpstreamLink(testtools.TestCase):
    def test_error_in_an_exchange_fails_this_exchange_only(self):
        anyio.run(self._exchange)

    async def _exchange(self):
        server = HttpServer(
            bind_listener("127.0.0.1:0"), [Route("/", _answer, methods=["POST"])]
        )
        results = Mailbox("results")
        link = UpstreamLink(server.address, results, _FaultyCodec(), 4, 1.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            tasks.start_soon(link.run)
            for fails_in, expected in (
                ("encode", UpstreamCallFailed),
                ("decode", UpstreamCallFailed),
                ("", UpstreamReplied),
            ):
                request = OddRequest(fails_in)
                link.mailbox.post(CallUpstream("u", "u@1", server.address, request))
                result = await results.receive(anyio.current_time() + 5.0)
                self.assertIsInstance(result, expected, fails_in)
            tasks.cancel_scope.cancel()


class TestLeaderLink(testtools.TestCase):
    def test_call_that_cannot_be_encoded_is_answered_and_the_link_goes_on(self):
        anyio.run(self._call)

    async def _call(self):
        route = SearchingRoute(("127.0.0.1:1",))
        link = LeaderLink(route, WORKLOAD_PROTOCOL, 0.2, RetryBudget(0.1))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            for _ in range(2):
                # The protocol has no such request, so that its encoding raises.
                deadline_s = anyio.current_time() + 1.0
                result = await link.call(OddRequest(""), deadline_s)
                self.assertFalse(is_successful(result))
                self.assertIsInstance(result.failure(), OutcomeUncertain)
            tasks.cancel_scope.cancel()

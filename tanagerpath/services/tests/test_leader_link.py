"""Guards against calls that overload the control processes without a leader."""

import anyio
import testtools
from returns.pipeline import is_successful
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route as HttpRoute

from tanagerpath.codecs import encode_json
from tanagerpath.core.admission import SearchingRoute
from tanagerpath.core.protocol.leadership import NotLeaderReply
from tanagerpath.core.workloads.requests import LeaderQuery, LeaderReply
from tanagerpath.runtime.server import HttpServer, bind_listener
from tanagerpath.services.workload_protocol import WORKLOAD_PROTOCOL, make_leader_link

CALLS = 60
CALL_TIMEOUT_S = 4.0
# Three concurrent searches, with delays that grow to 0.2 s.
MAX_REQUESTS_IN_2_S = 60
ANSWER_WITHIN_S = 1.0
# A stream of calls that time out while there is no leader.
STREAM_INTERVAL_S = 0.005
STREAM_TIMEOUT_S = 1.0
NO_LEADER_S = 2.5


class _Control:
    """A control process that replies as the leader once `leads` is set."""

    def __init__(self, answer_s=0.0):
        self.answer_s = answer_s
        self.leads = False
        self.requests = 0
        self.server = HttpServer(
            bind_listener("127.0.0.1:0"),
            [HttpRoute(WORKLOAD_PROTOCOL.path, self._answer, methods=["POST"])],
        )

    async def _answer(self, request: Request) -> Response:
        self.requests += 1
        await anyio.sleep(self.answer_s)
        reply = LeaderReply(self.server.address) if self.leads else NotLeaderReply()
        return Response(encode_json(reply, WORKLOAD_PROTOCOL.reply_type))


class TestSearchForTheLeader(testtools.TestCase):
    def test_waiting_calls_share_the_search_for_a_leader(self):
        async def main():
            control = _Control()
            link = make_leader_link(SearchingRoute((control.server.address,)), 0.7)
            results = []

            async def call():
                until_s = anyio.current_time() + CALL_TIMEOUT_S
                results.append(await link.call(LeaderQuery(), until_s))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(control.server.run)
                tasks.start_soon(link.run)
                await anyio.sleep(0.2)
                async with anyio.create_task_group() as calls:
                    for _ in range(CALLS):
                        calls.start_soon(call)
                    await anyio.sleep(2.0)
                    searched = control.requests
                    control.leads = True
                    found_s = anyio.current_time()
                answered_s = anyio.current_time() - found_s
                tasks.cancel_scope.cancel()
            return searched, answered_s, results

        searched, answered_s, results = anyio.run(main)
        self.assertLess(searched, MAX_REQUESTS_IN_2_S)
        self.assertLess(answered_s, ANSWER_WITHIN_S)
        self.assertEqual(CALLS, sum(map(is_successful, results)))

    def test_call_ends_at_its_deadline_while_others_search(self):
        async def main():
            control = _Control()
            link = make_leader_link(SearchingRoute((control.server.address,)), 0.7)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(control.server.run)
                tasks.start_soon(link.run)
                await anyio.sleep(0.2)
                started_s = anyio.current_time()
                for _ in range(CALLS):
                    tasks.start_soon(
                        link.call, LeaderQuery(), started_s + CALL_TIMEOUT_S
                    )
                result = await link.call(LeaderQuery(), started_s + 0.5)
                elapsed_s = anyio.current_time() - started_s
                tasks.cancel_scope.cancel()
            return result, elapsed_s

        result, elapsed_s = anyio.run(main)
        self.assertFalse(is_successful(result))
        self.assertLess(elapsed_s, 1.0)

    def test_stream_of_calls_finds_a_new_leader(self):
        """Guards against searches only by calls with too little time for a reply."""

        async def main():
            control = _Control(answer_s=0.03)
            link = make_leader_link(SearchingRoute((control.server.address,)), 0.7)
            answered = []

            async def call():
                until_s = anyio.current_time() + STREAM_TIMEOUT_S
                if is_successful(await link.call(LeaderQuery(), until_s)):
                    answered.append(anyio.current_time())

            async def stream(tasks):
                while True:
                    tasks.start_soon(call)
                    await anyio.sleep(STREAM_INTERVAL_S)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(control.server.run)
                tasks.start_soon(link.run)
                tasks.start_soon(stream, tasks)
                await anyio.sleep(NO_LEADER_S)
                control.leads = True
                await anyio.sleep(3 * ANSWER_WITHIN_S)
                answers = len(answered)
                tasks.cancel_scope.cancel()
            return answers

        self.assertGreater(anyio.run(main), 0)

    def test_unresponsive_processes_are_asked_concurrently(self):
        """Guards against searches that wait for each exchange timeout in turn."""

        async def main():
            control = _Control()
            control.leads = True
            silent = [bind_listener("127.0.0.1:0") for _ in range(2)]
            for listener in silent:
                listener.listen()
            addresses = [f"127.0.0.1:{one.getsockname()[1]}" for one in silent]
            seeds = (*addresses, control.server.address)
            link = make_leader_link(SearchingRoute(seeds), 2.0)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(control.server.run)
                tasks.start_soon(link.run)
                await anyio.sleep(0.2)
                started_s = anyio.current_time()
                result = await link.call(LeaderQuery(), started_s + CALL_TIMEOUT_S)
                elapsed_s = anyio.current_time() - started_s
                tasks.cancel_scope.cancel()
            for listener in silent:
                listener.close()
            return result, elapsed_s

        result, elapsed_s = anyio.run(main)
        self.assertTrue(is_successful(result))
        self.assertLess(elapsed_s, ANSWER_WITHIN_S)

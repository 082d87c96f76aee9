"""Guards against incomplete requests that fill the log with tracebacks."""

import logging

import anyio
import testtools
import uvicorn
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tanagerpath.runtime.server import HttpServer, bind_listener

CUT_REQUEST = b"POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 10\r\n\r\ncut"


async def _read_body(request: Request) -> Response:
    return Response(await request.body())


class _RecordCollector(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


class TestHttpServer(testtools.TestCase):
    def test_disconnect_before_the_whole_body_logs_no_traceback(self):
        async def main():
            server = HttpServer(
                bind_listener("127.0.0.1:0"), [Route("/", _read_body, methods=["POST"])]
            )
            host, _, port = server.address.rpartition(":")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.run)
                await anyio.sleep(0.2)
                async with await anyio.connect_tcp(host, int(port)) as client:
                    await client.send(CUT_REQUEST)
                    await anyio.sleep(0.1)
                await anyio.sleep(0.2)
                await server.stop()

        collector = _RecordCollector()
        logger = logging.getLogger("uvicorn.error")
        logger.addHandler(collector)
        self.addCleanup(logger.removeHandler, collector)
        anyio.run(main)
        self.assertEqual([], [one for one in collector.records if one.exc_info])

    def test_idle_server_does_not_wake_up(self):
        # Three servers a process woke it 30 times a second.
        ticks = []

        async def count_tick(server, counter):
            ticks.append(counter)
            return server.should_exit

        async def main():
            server = HttpServer(bind_listener("127.0.0.1:0"), [])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.run)
                await anyio.sleep(0.6)
                await server.stop()

        self.patch(uvicorn.Server, "on_tick", count_tick)
        anyio.run(main)
        self.assertEqual(1, len(ticks))

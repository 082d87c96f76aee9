"""Life cycle of a control process."""

import functools
import random

import anyio
from anyio.abc import TaskGroup
from returns.pipeline import is_successful
from starlette.requests import ClientDisconnect, Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import BaseRoute, Route

from tanagerpath.codecs import decode_json, encode_json
from tanagerpath.codecs.replication import encode_batch
from tanagerpath.codecs.state import JsonStateCodec
from tanagerpath.core.control import ControlNode
from tanagerpath.core.protocol.callers import ErrorBody, ErrorReply
from tanagerpath.core.protocol.internal import InternalReply, InternalRequest
from tanagerpath.observability.logs import get_logger
from tanagerpath.runtime import Application, Clock, Mailbox, Reply, SystemClock
from tanagerpath.runtime.server import HttpServer, bind_listener
from tanagerpath.runtime.storage import StorageTask, load_state, set_aside_corrupt
from tanagerpath.services.control import ControlTask
from tanagerpath.services.control_config import make_node_config, make_scheduler
from tanagerpath.services.control_messages import (
    AskLeader,
    ConsensusArrived,
    HandOver,
    ReturnPathClosed,
)
from tanagerpath.services.leader_link import INTERNAL_REQUEST_PATH
from tanagerpath.services.peers import CONSENSUS_PATH, PeerSet, decode_batch
from tanagerpath.settings import ControlSettings

__all__ = ["ControlApplication"]

REPLY_TIMEOUT_S = 5.0
# Several times a sync of the disk, and well below the heartbeat interval.
RETURN_HOLD_S = 0.02
MAX_WAITING_MESSAGES = 16_384
OVERLOADED_STATUS = 503


class ControlApplication(Application):
    """All tasks of a control process.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the process.
    clock : Clock, optional
        Source of instants.
    """

    def __init__(self, settings: ControlSettings, clock: Clock | None = None) -> None:
        super().__init__()
        self._settings = settings
        self._clock = clock or SystemClock()
        self._log = get_logger("control")
        self._mailbox: Mailbox = Mailbox("control", MAX_WAITING_MESSAGES)
        self._control: ControlTask | None = None
        self._server: HttpServer | None = None

    @classmethod
    def from_settings(cls, settings: ControlSettings) -> "ControlApplication":
        """Build the application of a process."""
        return cls(settings)

    async def start(self, tasks: TaskGroup) -> None:
        """Read the data directory, bind the socket and start all tasks."""
        directory = self._settings.data_dir
        restored = load_state(directory)
        if not is_successful(restored):
            self._log.error("data is corrupt", reason=restored.failure().message)
            set_aside_corrupt(directory)
            restored = load_state(directory)
        node = ControlNode.from_config(
            make_node_config(self._settings),
            restored.unwrap(),
            # Two replicas must never draw the same identity.
            random.SystemRandom(),
            JsonStateCodec(),
            functools.partial(make_scheduler, self._settings),
        )
        storage = StorageTask.from_directory(
            directory, restored.unwrap(), self._mailbox
        )
        self._control = ControlTask(
            node,
            self._mailbox,
            storage.mailbox,
            PeerSet(tasks, self._mailbox),
            self._settings.upstream_connections,
            self._settings.exchange_timeout_s,
            self._clock,
        )
        self._server = HttpServer(
            bind_listener(self._settings.listen), self._list_routes()
        )
        tasks.start_soon(storage.run)
        tasks.start_soon(self._control.run)
        tasks.start_soon(self._server.run)
        self._log.info(
            "started",
            address=self._server.address,
            availability_zone=self._settings.availability_zone,
            replica=node.replica.replica_id,
        )

    async def drain(self) -> None:
        """Hand leadership over, then finish the exchanges in flight."""
        self._log.info("handing over")
        handed_over: Reply[None] = Reply()
        self._mailbox.post(HandOver(handed_over))
        await handed_over.receive(anyio.current_time() + self._settings.drain_timeout_s)
        await self._server.stop()
        self._log.info("stopped")

    def _list_routes(self) -> list[BaseRoute]:
        return [
            Route(CONSENSUS_PATH, self._take_consensus, methods=["POST"]),
            Route(INTERNAL_REQUEST_PATH, self._take_request, methods=["POST"]),
            Route("/healthz", self._show_health, methods=["GET"]),
            Route("/metrics", self._show_metrics, methods=["GET"]),
        ]

    async def _take_consensus(self, request: Request) -> Response:
        try:
            body = await request.body()
        except ClientDisconnect:
            # The peer died in the middle of its request; nobody reads the reply.
            return Response(status_code=400)
        batch = decode_batch(body)
        if not is_successful(batch):
            return PlainTextResponse(batch.failure().message + "\n", 400)
        messages = tuple(batch.unwrap())
        if not messages:
            return Response(status_code=204)
        reply: Reply = Reply()
        self._mailbox.post(ConsensusArrived(messages, reply))
        answers = await reply.receive(anyio.current_time() + RETURN_HOLD_S)
        if answers is None:
            self._mailbox.post(ReturnPathClosed(messages[0].sender, reply))
        if not answers:
            return Response(status_code=204)
        return Response(encode_batch(answers), media_type="application/json")

    async def _take_request(self, request: Request) -> Response:
        decoded = decode_json(await request.body(), InternalRequest)
        if not is_successful(decoded):
            error = ErrorReply(ErrorBody.from_failure(decoded.failure()))
            return Response(encode_json(error), 400, media_type="application/json")
        reply: Reply = Reply()
        full = self._mailbox.post(AskLeader(decoded.unwrap(), reply))
        if full is not None:
            return PlainTextResponse(full.message + "\n", OVERLOADED_STATUS)
        answer = await reply.receive(anyio.current_time() + REPLY_TIMEOUT_S)
        if answer is None:
            return PlainTextResponse("no answer in time\n", OVERLOADED_STATUS)
        text = encode_json(answer, InternalReply)
        return Response(text, media_type="application/json")

    async def _show_health(self, request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def _show_metrics(self, request: Request) -> Response:
        return PlainTextResponse(self._control.metrics.render())

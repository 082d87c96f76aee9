"""HTTP routes of a control process for other tanagerpath processes."""

from collections.abc import Iterable

import anyio
from returns.pipeline import is_successful
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import BaseRoute, Route

from tanagerpath.codecs import decode_json, encode_json
from tanagerpath.codecs.replication import encode_batch
from tanagerpath.core.protocol.callers import ErrorBody, ErrorReply
from tanagerpath.observability.metrics import MetricsRegistry
from tanagerpath.runtime import Mailbox, Reply
from tanagerpath.services.control_messages import (
    AskLeader,
    ConsensusArrived,
    ResponseTimedOut,
)
from tanagerpath.services.leader_link import LeaderProtocol
from tanagerpath.services.peers import CONSENSUS_PATH, decode_batch

__all__ = ["ReplicaRoutes"]

REPLY_TIMEOUT_S = 5.0
# Several times the duration of a disk sync, and well below the heartbeat interval.
RESPONSE_HOLD_S = 0.02
OVERLOADED_STATUS = 503


class ReplicaRoutes:
    """Forwards consensus messages and requests for the leader to the owning task.

    Parameters
    ----------
    mailbox : Mailbox
        Mailbox of the task that owns the node.
    protocol : LeaderProtocol
        Requests that entries send.
    metrics : iterable of MetricsRegistry
        Metrics of the tasks of the process.
    """

    def __init__(
        self,
        mailbox: Mailbox,
        protocol: LeaderProtocol,
        metrics: Iterable[MetricsRegistry],
    ) -> None:
        self._mailbox = mailbox
        self._protocol = protocol
        self._metrics = tuple(metrics)

    def list_leader_routes(self) -> list[BaseRoute]:
        """Return the routes of requests for the leader."""
        return [Route(self._protocol.path, self._handle_request, methods=["POST"])]

    def list_replica_routes(self) -> list[BaseRoute]:
        """Return the routes of consensus messages, which must not wait, and probes."""
        return [
            Route(CONSENSUS_PATH, self._handle_consensus, methods=["POST"]),
            Route("/healthz", self._show_health, methods=["GET"]),
            Route("/metrics", self._show_metrics, methods=["GET"]),
        ]

    async def _handle_consensus(self, request: Request) -> Response:
        batch = decode_batch(await request.body())
        if not is_successful(batch):
            return PlainTextResponse(batch.failure().message + "\n", 400)
        messages = tuple(batch.unwrap())
        if not messages:
            return Response(status_code=204)
        reply: Reply = Reply()
        self._mailbox.post(ConsensusArrived(messages, reply))
        answers = await reply.receive(anyio.current_time() + RESPONSE_HOLD_S)
        if answers is None:
            self._mailbox.post(ResponseTimedOut(messages[0].sender, reply))
        if not answers:
            return Response(status_code=204)
        return Response(encode_batch(answers), media_type="application/json")

    async def _handle_request(self, request: Request) -> Response:
        decoded = decode_json(await request.body(), self._protocol.request_type)
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
        text = encode_json(answer, self._protocol.reply_type)
        return Response(text, media_type="application/json")

    async def _show_health(self, request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def _show_metrics(self, request: Request) -> Response:
        return PlainTextResponse(
            "".join(registry.render() for registry in self._metrics)
        )

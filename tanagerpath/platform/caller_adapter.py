"""HTTP interface for callers and for the load balancer."""

import re
from collections.abc import Callable

from returns.pipeline import is_successful
from starlette.requests import ClientDisconnect, Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import BaseRoute, Route

from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.workloads.requests import (
    Call,
    CancelWorkloadRequest,
    PendingCount,
    PendingQuery,
    SubmitWorkload,
    WorkloadQuery,
    WorkloadReply,
)
from tanagerpath.errors import FailureError
from tanagerpath.platform.fields import read_object
from tanagerpath.platform.statuses import make_error_response, make_json_response
from tanagerpath.platform.workloads import read_workload, write_state
from tanagerpath.services.adapters import EntryAdapter, LeaderClient

__all__ = ["CallerAdapter"]

_WORKLOAD_ID = re.compile(r"[0-9a-f]{16}")
MS_PER_S = 1000.0
# The rest of the caller's deadline is left for transmitting the reply.
LEADER_TIME_FRACTION = 0.8


class CallerAdapter(EntryAdapter):
    """The platform's interface for callers.

    Parameters
    ----------
    timeout_s : float
        Maximum timeout of a request to the leader.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s

    def list_routes(self, leader: LeaderClient) -> list[BaseRoute]:
        """Return the routes for callers."""

        async def handle(request: Request) -> Response:
            return await self._handle(request, leader)

        methods = ["GET", "POST", "DELETE"]
        return [Route("/{path:path}", handle, methods=methods)]

    def list_readiness_routes(self, is_ready: Callable[[], bool]) -> list[BaseRoute]:
        """Return the routes for the platform's load balancer."""

        async def show(request: Request) -> Response:
            ready = is_ready()
            text = "ready\n" if ready else "not ready\n"
            return PlainTextResponse(text, 200 if ready else 503)

        return [Route("/readyz", show, methods=["GET"])]

    async def _handle(self, request: Request, leader: LeaderClient) -> Response:
        try:
            message = await self._read(request)
        except FailureError as error:
            return make_error_response(error.failure)
        except ClientDisconnect:
            # The client disconnected during its request; nobody reads the reply.
            return Response(status_code=400)
        if message is None:
            return PlainTextResponse("no such path\n", 404)
        answer = await leader.ask(message, self._find_timeout_s(request))
        if not is_successful(answer):
            return make_error_response(answer.failure())
        return self._write(answer.unwrap())

    def _find_timeout_s(self, request: Request) -> float:
        text = request.headers.get("x-deadline-ms", "")
        if text.isascii() and text.isdigit():
            return min(int(text) / MS_PER_S * LEADER_TIME_FRACTION, self._timeout_s)
        return self._timeout_s

    async def _read(self, request: Request) -> object | None:
        path = request.url.path
        host = request.headers.get("host", "").partition(":")[0]
        call = Call(host, path, request.headers.get("x-api-key", ""))
        workload_id = path.rpartition("/")[2]
        if request.method == "GET" and not workload_id:
            return PendingQuery(call)
        if _WORKLOAD_ID.fullmatch(workload_id) is None:
            return None
        if request.method == "POST":
            fields = read_object(await request.body())
            return SubmitWorkload(call, read_workload(workload_id, fields))
        if request.method == "DELETE":
            return CancelWorkloadRequest(call, workload_id)
        return WorkloadQuery(call, workload_id)

    def _write(self, reply: object) -> Response:
        match reply:
            case ErrorBody():
                return make_error_response(reply)
            case WorkloadReply(_, state):
                return make_json_response({"state": write_state(state)})
            case PendingCount(count):
                return make_json_response({"pending": count})
        raise TypeError(f"no answer for {type(reply).__name__}")

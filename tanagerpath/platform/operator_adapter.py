"""HTTP interface for operators and for heartbeats of workers."""

from collections.abc import Awaitable, Callable

from returns.pipeline import is_successful
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.workloads.requests import (
    ConfigurationQuery,
    ConfigurationReply,
    ConfigurationRequest,
    ConfigurationStored,
    EvacuationChange,
    EvacuationQuery,
    EvacuationReply,
    UpstreamReportReply,
    WaveQuery,
    WaveReply,
    WaveRequest,
    WithdrawalReport,
)
from tanagerpath.errors import FailureError
from tanagerpath.platform.configuration import read_configuration
from tanagerpath.platform.fields import read_object
from tanagerpath.platform.reports import read_report
from tanagerpath.platform.statuses import make_error_response, make_json_response
from tanagerpath.runtime.limits import MIB, BodyRule
from tanagerpath.services.adapters import ControlAdapter, LeaderClient

__all__ = ["OperatorAdapter"]

# A heartbeat may have 4 MiB, a configuration thousands of queues, and a wave thousands
# of VMs.
HEARTBEAT_BYTES = 4 * MIB
CONFIGURATION_BYTES = 4 * MIB
WAVE_BYTES = MIB

_Reader = Callable[[Request], Awaitable[object]]
_Endpoint = Callable[[Request], Awaitable[Response]]


class OperatorAdapter(ControlAdapter):
    """The platform's interface for operators and workers.

    Parameters
    ----------
    public_port : str
        Port of this interface, the same on all VMs.
    timeout_s : float
        Timeout of a request to the leader.
    """

    def __init__(self, public_port: str, timeout_s: float) -> None:
        self._public_port = public_port
        self._timeout_s = timeout_s

    def list_routes(self, leader: LeaderClient) -> list[BaseRoute]:
        """Return the routes for operators and workers."""
        reads = {
            ("PUT", "/instances/{upstream_id}"): self._read_report,
            ("DELETE", "/instances/{upstream_id}"): self._read_withdrawal,
            ("PUT", "/config"): self._read_configuration,
            ("GET", "/config"): self._read_configuration_query,
            ("POST", "/wave-start"): self._read_wave,
            ("GET", "/wave-get/{wave:int}"): self._read_wave_query,
        }
        routes: list[BaseRoute] = [
            Route(path, self._make_endpoint(read, leader), methods=[method])
            for (method, path), read in reads.items()
        ]
        for method, is_evacuated in (("POST", True), ("DELETE", False)):
            endpoint = self._make_evacuation_endpoint(is_evacuated, leader)
            routes.append(Route("/evacuations/{zone}", endpoint, methods=[method]))
        return routes

    def list_body_rules(self) -> tuple[BodyRule, ...]:
        """Return the largest body of each kind of request that has one."""
        return (
            BodyRule("PUT", "/instances/", HEARTBEAT_BYTES),
            BodyRule("PUT", "/config", CONFIGURATION_BYTES),
            BodyRule("POST", "/wave-start", WAVE_BYTES),
        )

    def _make_endpoint(self, read: _Reader, leader: LeaderClient) -> _Endpoint:
        async def handle(request: Request) -> Response:
            try:
                message = await read(request)
            except FailureError as error:
                return make_error_response(error.failure)
            except ClientDisconnect:
                # The client disconnected; nobody reads the reply.
                return Response(status_code=400)
            answer = await leader.ask(message, self._timeout_s)
            if not is_successful(answer):
                return make_error_response(answer.failure())
            return self._write(answer.unwrap())

        return handle

    def _make_evacuation_endpoint(
        self, is_evacuated: bool, leader: LeaderClient
    ) -> _Endpoint:
        """Return the endpoint for an order to begin or end an evacuation.

        An operator that got no reply repeats the order elsewhere, and may order the
        opposite once that is answered. A copy that was delayed in this process must not
        take effect after that: it is dropped if the operator has disconnected since the
        revision was read, and otherwise names a revision that is outdated by then.
        """

        async def handle(request: Request) -> Response:
            zone = request.path_params["zone"]
            try:
                await request.body()
            except ClientDisconnect:
                return Response(status_code=503)
            found = await self._ask(EvacuationQuery(zone), leader)
            if not isinstance(found, EvacuationReply):
                return found
            if await request.is_disconnected():
                return Response(status_code=503)
            change = EvacuationChange(zone, is_evacuated, found.revision)
            stored = await self._ask(change, leader)
            if not isinstance(stored, EvacuationReply):
                return stored
            return make_json_response(
                {"zone": stored.zone, "evacuated": stored.is_evacuated}
            )

        return handle

    async def _ask(
        self, message: object, leader: LeaderClient
    ) -> EvacuationReply | Response:
        """Return the leader's reply about a zone, or the response for a failure."""
        answer = await leader.ask(message, self._timeout_s)
        if not is_successful(answer):
            return make_error_response(answer.failure())
        reply = answer.unwrap()
        return reply if isinstance(reply, EvacuationReply) else self._write(reply)

    async def _read_report(self, request: Request) -> object:
        fields = read_object(await request.body())
        return read_report(request.path_params["upstream_id"], fields)

    async def _read_withdrawal(self, request: Request) -> object:
        return WithdrawalReport(request.path_params["upstream_id"])

    async def _read_configuration(self, request: Request) -> object:
        body = await request.body()
        fields = read_object(body)
        return ConfigurationRequest(read_configuration(fields, body))

    async def _read_configuration_query(self, request: Request) -> object:
        return ConfigurationQuery()

    async def _read_wave(self, request: Request) -> object:
        fields = read_object(await request.body())
        return WaveRequest(
            wave=fields.read_integer("wave"),
            vm_ids=fields.read_texts("machines"),
            duration_s=float(fields.read_number("duration_s")),
            most_at_once=fields.read_integer("cap", minimum=1),
        )

    async def _read_wave_query(self, request: Request) -> object:
        return WaveQuery(request.path_params["wave"])

    def _write(self, reply: object) -> Response:
        match reply:
            case ErrorBody():
                return make_error_response(reply)
            case UpstreamReportReply(leader_address):
                # The worker sends its next heartbeats directly to the leader.
                host = leader_address.rpartition(":")[0]
                return make_json_response(
                    {"heartbeat_addr": f"{host}:{self._public_port}"}
                )
            case ConfigurationStored(version):
                return make_json_response({"version": version})
            case ConfigurationReply(_, document):
                return Response(document, media_type="application/json")
            case WaveReply(_, is_completed):
                state = "completed" if is_completed else "running"
                return make_json_response({"state": state})
        raise TypeError(f"no answer for {type(reply).__name__}")

"""The platform's wire format from the side of a worker, for the soak test."""

import json
from collections.abc import Callable
from typing import Any

from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.orders import (
    HoldReply,
    HoldRequest,
    OrderDone,
    OrderRefused,
    PaceRequest,
    Refusal,
    StartRequest,
    StopRequest,
)
from tanagerpath.core.workloads.requests import UpstreamReport
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec, WorkloadSpec
from tanagerpath.emulator.soak_interface import CarryOut
from tanagerpath.emulator.soak_worker import WorkerOrder, WorkerReply
from tanagerpath.errors import FailureError
from tanagerpath.platform.fields import Fields, read_object
from tanagerpath.platform.statuses import make_json_response
from tanagerpath.platform.workloads import read_task_id, write_task_id
from tanagerpath.runtime.client import HttpReply, HttpRequest

__all__ = [
    "make_worker_routes",
    "read_heartbeat_reply",
    "write_heartbeat",
    "write_workload",
]

MS_PER_S = 1000
MAX_WAIT_MS = 2000
_OK = 200
_MALFORMED = 400
_REFUSED = 409
_WRONG_INCARNATION = 421
_UNHEALTHY = 503
_OUTCOMES = {
    RunOutcome.DONE: "done",
    RunOutcome.STOPPED: "stopped",
    RunOutcome.LAPSED: "lapsed",
    RunOutcome.BROKEN: "broken",
    RunOutcome.ALONE: "alone",
}
_REASONS = {
    Refusal.FENCED: "fence",
    Refusal.SUPERSEDED: "old",
    Refusal.EXPIRED: "late",
}


def write_workload(workload: WorkloadSpec) -> dict[str, Any]:
    """Return the body of the request that submits a workload."""
    steps = [_write_step(step) for step in workload.steps]
    return {"spec": workload.payload, "steps": steps}


def _write_step(step: StepSpec) -> dict[str, Any]:
    values = {
        "count": step.count,
        **_write_resources(step.needs),
        "estimate_ms": round(step.declared_run_s * MS_PER_S),
        "depends_on": list(step.depends_on),
        "gang": step.gang,
    }
    # Fields that are 0, false or empty are left out on the wire.
    return {name: value for name, value in values.items() if value}


def _write_resources(resources: Resources) -> dict[str, int]:
    return {
        "cpu": resources.cpu_millicores,
        "mem_mb": resources.memory_mb,
        "gpu": resources.accelerators,
    }


def write_heartbeat(report: UpstreamReport) -> HttpRequest:
    """Return the request with a heartbeat."""
    record = report.record
    body = {
        "service": record.pool,
        "address": record.address,
        "zone": record.availability_zone,
        "version": "v1",
        "slots": 1,
        "state": "draining" if record.draining else "ready",
        "cold_remaining_ms": 0,
        "capacity": _write_resources(record.capacity),
        "labels": list(record.labels),
        "machine": record.vm_id,
        "clock_ms": report.clock_ms,
        "born": record.born_unix_ms,
        "seq": report.sequence,
    }
    text = json.dumps(body).encode()
    return HttpRequest("PUT", f"/instances/{record.upstream_id}", text)


def read_heartbeat_reply(reply: HttpReply) -> str | None:
    """Return where later heartbeats go, None if this one is not acknowledged."""
    if not 200 <= reply.status < 300:
        return None
    try:
        return read_object(reply.body).read_text("heartbeat_addr", "")
    except FailureError:
        return ""


def _read_start(fields: Fields) -> WorkerOrder:
    return StartRequest(
        task=read_task_id(fields.read_text("task")),
        run=fields.read_integer("run_id", minimum=1),
        payload=fields.read_text("spec", ""),
        lease_until_ms=fields.read_integer("deadline_ms"),
        fencing_token=fields.read_integer("fencing_token", 0),
    )


def _read_stop(fields: Fields) -> WorkerOrder:
    return StopRequest(
        task=read_task_id(fields.read_text("task")),
        run=fields.read_integer("run_id", minimum=1),
        fencing_token=fields.read_integer("fencing_token", 0),
    )


def _read_pace(fields: Fields) -> WorkerOrder:
    return PaceRequest(
        task=read_task_id(fields.read_text("task")),
        run=fields.read_integer("run_id", minimum=1),
        percent=fields.read_integer("percent"),
        fencing_token=fields.read_integer("fencing_token", 0),
    )


def _read_hold(fields: Fields) -> WorkerOrder:
    return HoldRequest(
        fencing_token=fields.read_integer("fencing_token", 0),
        end_cursor=fields.read_integer("ack_cursor"),
        lease_until_ms=fields.read_integer("deadline_ms", None),
        wait_ms=min(fields.read_integer("wait_ms", 0), MAX_WAIT_MS),
    )


_READERS: dict[str, Callable[[Fields], WorkerOrder]] = {
    "/run-start": _read_start,
    "/run-stop": _read_stop,
    "/pace": _read_pace,
    "/hold": _read_hold,
}


def _write_hold_reply(reply: HoldReply) -> dict[str, Any]:
    running = [
        [write_task_id(one.task), one.run, one.checkpoint, one.percent, one.load]
        for one in reply.running
    ]
    ended = [
        [
            one.number,
            write_task_id(one.task),
            one.run,
            _OUTCOMES[one.outcome],
            one.checkpoint,
        ]
        for one in reply.ended
    ]
    return {
        "clock_ms": reply.clock_ms,
        "born": reply.born_unix_ms,
        "running": running,
        "ended_runs": ended,
    }


def _write_reply(reply: WorkerReply, born_unix_ms: int) -> Response:
    match reply:
        case HoldReply():
            return make_json_response(_write_hold_reply(reply))
        case OrderRefused(refusal, clock_ms):
            body = {"clock_ms": clock_ms, "reason": _REASONS[refusal]}
            return make_json_response(body | {"born": born_unix_ms}, _REFUSED)
        case OrderDone(clock_ms):
            return make_json_response({"clock_ms": clock_ms, "born": born_unix_ms})
    raise TypeError(f"no response for {type(reply).__name__}")


async def _wait_for_disconnect(request: Request) -> None:
    message = await request.receive()
    while message["type"] != "http.disconnect":
        message = await request.receive()


def make_worker_routes(
    worker_id: str, born_unix_ms: int, carry_out: CarryOut
) -> list[BaseRoute]:
    """Return the routes of a worker for orders.

    Parameters
    ----------
    worker_id : str
        Its identity.
    born_unix_ms : int
        Its start in UTC milliseconds.
    carry_out : CarryOut
        Gets each order; without a reply from it, the caller gets no response.
    """

    async def serve(request: Request) -> Response:
        expected = request.headers.get("x-expected-instance", worker_id)
        if expected != worker_id:
            return Response(status_code=_WRONG_INCARNATION)
        try:
            fields = read_object(await request.body())
            order = _READERS[request.url.path](fields)
        except (FailureError, ClientDisconnect):
            return Response(status_code=_MALFORMED)
        reply = await carry_out(order)
        if reply is None:
            await _wait_for_disconnect(request)
            # Nobody gets this response.
            return Response(status_code=_UNHEALTHY)
        return _write_reply(reply, born_unix_ms)

    return [Route(path, serve, methods=["POST"]) for path in _READERS]

"""Encoding of orders to workers and other services of the platform."""

import json
import urllib.parse
from typing import Any

from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.codecs import MalformedMessage
from tanagerpath.core.coordination import CallUpstream
from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.orders import (
    AdviceReply,
    AdviceRequest,
    EndedRun,
    HoldReply,
    HoldRequest,
    OrderDone,
    OrderRefused,
    PaceRequest,
    Refusal,
    RunningTask,
    StartRequest,
    StopRequest,
    Ticket,
    UpkeepRequest,
    VmListReply,
    VmListRequest,
    VmStatus,
    WrongIncarnation,
)
from tanagerpath.errors import Failure, FailureError
from tanagerpath.platform.fields import (
    Fields,
    is_integer,
    is_number,
    is_text,
    read_object,
)
from tanagerpath.platform.workloads import read_task_id, write_task_id
from tanagerpath.runtime.client import HttpReply, HttpRequest
from tanagerpath.services.links import UnexpectedStatus, UpstreamCodec

__all__ = ["WorkerCodec"]

_OUTCOMES = {
    "done": RunOutcome.DONE,
    "failed": RunOutcome.FAILED,
    "stopped": RunOutcome.STOPPED,
    "lapsed": RunOutcome.LAPSED,
    "broken": RunOutcome.BROKEN,
    "alone": RunOutcome.ALONE,
}
_REFUSALS = {
    "fence": Refusal.FENCED,
    "old": Refusal.SUPERSEDED,
    "late": Refusal.EXPIRED,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.NO_TICKET,
    "busy": Refusal.BUSY,
    "wave": Refusal.WRONG_WAVE,
}
# A worker lists at most this many ends at a time.
_MAX_LISTED_ENDS = 500
_OK = 200
_MALFORMED = 400
_REFUSED = 409
_WRONG_INCARNATION = 421
_UNHEALTHY = (429, 503)
# Whether a VM in this state may run anything.
_VM_STATES = {"up": True, "moving": False, "upkeep": False, "down": False}


def _write_hold(request: HoldRequest) -> tuple[str, dict[str, Any]]:
    body = {
        "fencing_token": request.fencing_token,
        "ack_cursor": request.end_cursor,
        "wait_ms": request.wait_ms,
    }
    if request.lease_until_ms is not None:
        body["deadline_ms"] = request.lease_until_ms
    return "/hold", body


def _write_start(request: StartRequest) -> tuple[str, dict[str, Any]]:
    body = {
        "task": write_task_id(request.task),
        "run_id": request.run,
        "spec": request.payload,
        # End of the lease on the worker's clock, not a deadline of the task.
        "deadline_ms": request.lease_until_ms,
        "fencing_token": request.fencing_token,
    }
    if request.checkpoint:
        body["checkpoint"] = request.checkpoint
    if request.ticket:
        body["ticket"] = request.ticket
    return "/run-start", body


def _write_stop(request: StopRequest) -> tuple[str, dict[str, Any]]:
    body = {
        "task": write_task_id(request.task),
        "run_id": request.run,
        "fencing_token": request.fencing_token,
    }
    return "/run-stop", body


def _write_pace(request: PaceRequest) -> tuple[str, dict[str, Any]]:
    _, body = _write_stop(request)
    return "/pace", body | {"percent": request.percent}


def _write_advice(request: AdviceRequest) -> tuple[str, dict[str, Any]]:
    step = f"{request.workload_id}.{request.occurrence}.{request.step}"
    return "/advise", {"step": step, "workers": list(request.upstream_ids)}


def _write_upkeep(request: UpkeepRequest) -> tuple[str, dict[str, Any]]:
    return "/machine-upkeep", {"machine": request.vm_id, "wave": request.wave}


def _write_vm_list_path(request: VmListRequest) -> str:
    if not request.page_token:
        return "/machines"
    query = urllib.parse.urlencode({"page_token": request.page_token})
    return f"/machines?{query}"


_WRITERS = {
    AdviceRequest: _write_advice,
    UpkeepRequest: _write_upkeep,
    HoldRequest: _write_hold,
    StartRequest: _write_start,
    StopRequest: _write_stop,
    PaceRequest: _write_pace,
}


def _read_running_task(entry: Any) -> RunningTask:
    """Read [task, run, checkpoint, percent] and, if present, the load."""
    match entry:
        case [str(task), run, checkpoint, percent, *others]:
            load = others[0] if others else 0.0
            is_valid = is_integer(run) and is_text(checkpoint) and is_number(percent)
            if is_valid and is_number(load):
                return RunningTask(
                    read_task_id(task), run, checkpoint, int(percent), float(load)
                )
    raise _make_entry_error("running", entry)


def _read_ended_run(entry: Any) -> EndedRun:
    """Read [number, task, run, outcome, checkpoint]."""
    match entry:
        case [number, str(task), run, str(outcome), checkpoint, *_]:
            is_valid = is_integer(number) and is_integer(run) and is_text(checkpoint)
            if is_valid and outcome in _OUTCOMES:
                return EndedRun(
                    number, read_task_id(task), run, _OUTCOMES[outcome], checkpoint
                )
    raise _make_entry_error("ended_runs", entry)


def _make_entry_error(name: str, entry: Any) -> FailureError:
    return FailureError(
        MalformedMessage(
            field=name, value=repr(entry)[:80], expected="an entry of the list"
        )
    )


def _read_hold_reply(fields: Fields) -> HoldReply:
    ended = tuple(map(_read_ended_run, fields.read_list("ended_runs")))
    return HoldReply(
        clock_ms=fields.read_integer("clock_ms"),
        # Start of the worker in Unix milliseconds, which identifies the incarnation.
        born_unix_ms=fields.read_integer("born", 0),
        running=tuple(map(_read_running_task, fields.read_list("running"))),
        ended=ended,
        is_whole=len(ended) < _MAX_LISTED_ENDS,
    )


def _read_advice(fields: Fields) -> AdviceReply:
    """Read a list of [worker ID, ticket]."""
    tickets = []
    for row in fields.read_list("allowed"):
        match row:
            case [str(upstream_id), text, *_] if is_text(text):
                tickets.append(Ticket(upstream_id, text))
            case _:
                raise _make_entry_error("allowed", row)
    return AdviceReply(tuple(tickets))


def _read_vm_list(fields: Fields) -> VmListReply:
    vms = tuple(map(_read_vm, fields.read_list("machines")))
    return VmListReply(
        vms=tuple(vm for vm in vms if vm is not None),
        next_token=fields.read_text("next_token") if fields.has("next_token") else "",
        is_whole=None not in vms,
    )


def _read_vm(entry: Any) -> VmStatus | None:
    """Return what an entry says of a VM, None if it can't be read."""
    match entry:
        case {"machine": str(vm_id), "state": str(state), **others}:
            upstream_id = others.get("id") or ""
            if state in _VM_STATES and is_text(upstream_id):
                return VmStatus(
                    vm_id=vm_id, upstream_id=upstream_id, is_up=_VM_STATES[state]
                )
    return None


def _list_headers(call: CallUpstream) -> tuple[tuple[bytes, bytes], ...]:
    match call.request:
        case UpkeepRequest(holder=holder, fencing_token=token):
            return (
                (b"x-duty-holder", holder.encode()),
                (b"x-fencing-token", str(token).encode()),
            )
        case AdviceRequest() | VmListRequest():
            return ()
    return ((b"x-expected-instance", call.upstream_id.encode()),)


def _is_to_worker(call: CallUpstream) -> bool:
    return not isinstance(call.request, AdviceRequest | UpkeepRequest | VmListRequest)


class WorkerCodec(UpstreamCodec):
    """The platform's interfaces for workers, for advice and for VMs."""

    def encode(self, call: CallUpstream) -> HttpRequest:
        """Return the HTTP request for a call."""
        if isinstance(call.request, VmListRequest):
            return HttpRequest("GET", _write_vm_list_path(call.request))
        path, body = _WRITERS[type(call.request)](call.request)
        headers = _list_headers(call)
        text = json.dumps(body, separators=(",", ":")).encode()
        return HttpRequest("POST", path, text, headers)

    def decode(self, call: CallUpstream, reply: HttpReply) -> Result[object, Failure]:
        """Return the decoded reply, or a failure."""
        if reply.status == _WRONG_INCARNATION:
            return ResultFailure(WrongIncarnation(upstream_id=call.upstream_id))
        if reply.status in _UNHEALTHY and _is_to_worker(call):
            return Success(OrderRefused(Refusal.UNHEALTHY))
        is_question = isinstance(call.request, AdviceRequest | VmListRequest)
        if reply.status == _MALFORMED and not is_question:
            return Success(OrderRefused(Refusal.MALFORMED))
        if reply.status not in ((_OK,) if is_question else (_OK, _REFUSED)):
            return ResultFailure(
                UnexpectedStatus(address=call.address, status=reply.status)
            )
        try:
            if isinstance(call.request, UpkeepRequest) and reply.status == _OK:
                return Success(OrderDone())
            fields = read_object(reply.body)
            return Success(self._read(call, reply.status, fields))
        except FailureError as error:
            return ResultFailure(error.failure)

    def _read(self, call: CallUpstream, status: int, fields: Fields) -> object:
        clock_ms = fields.read_integer("clock_ms", None)
        if status == _REFUSED:
            reason = fields.read_text("reason")
            return OrderRefused(_REFUSALS.get(reason, Refusal.MALFORMED), clock_ms)
        if isinstance(call.request, HoldRequest):
            return _read_hold_reply(fields)
        if isinstance(call.request, AdviceRequest):
            return _read_advice(fields)
        if isinstance(call.request, VmListRequest):
            return _read_vm_list(fields)
        return OrderDone(clock_ms, fields.read_integer("born", 0))

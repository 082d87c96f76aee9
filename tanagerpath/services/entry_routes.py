"""HTTP routes of an entry process of gang jobs."""

import time
from typing import Any

import anyio
import attrs
from returns.pipeline import is_successful
from returns.result import Result
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import BaseRoute, Route

from tanagerpath.codecs import MalformedMessage, decode_json, encode_json
from tanagerpath.core.model import JobRequest
from tanagerpath.core.model.checks import check_document, check_job
from tanagerpath.core.protocol import callers, internal
from tanagerpath.core.protocol import upstreams as protocol
from tanagerpath.core.state import make_job_id
from tanagerpath.errors import Failure
from tanagerpath.observability.metrics import JobTime, MetricsRegistry
from tanagerpath.runtime import Mailbox, Reply
from tanagerpath.runtime.server import ErrorHandler
from tanagerpath.services.leader_link import LeaderLink
from tanagerpath.services.messages import (
    Admit,
    CheckReadiness,
    Release,
    UnwatchJob,
    WatchJob,
)
from tanagerpath.services.statuses import find_error_status, find_job_status

__all__ = ["EntryRoutes"]

LEADER_TIMEOUT_S = 5.0
# The feed reports every ended job; this limits the effect of a fault in the feed.
REQUERY_INTERVAL_S = 30.0
MAX_WAIT_MS = 3_600_000
ANSWERED_STATUS = 200


def _write(message: Any, status: int = 200) -> Response:
    return Response(encode_json(message), status, media_type="application/json")


def _refuse(failure: Failure) -> Response:
    body = callers.ErrorReply(callers.ErrorBody.from_failure(failure))
    return _write(body, find_error_status(failure.type_name))


def _read_wait_ms(request: Request) -> int | MalformedMessage:
    text = request.query_params.get("wait_ms", "0")
    # `str.isdigit` alone accepts digits such as "²", which `int` rejects.
    if text.isascii() and text.isdigit() and len(text) <= len(str(MAX_WAIT_MS)):
        wait_ms = int(text)
        if wait_ms <= MAX_WAIT_MS:
            return wait_ms
    return MalformedMessage(
        field="wait_ms",
        value=repr(text[:80]),
        expected=f"a whole number from 0 to {MAX_WAIT_MS}",
    )


def _clear_not_run_on_retry(answer: Any, submit: callers.SubmitRequest) -> Any:
    """Clear `not_run` in the reply to a retry: an earlier attempt may have run."""
    claims_not_run = isinstance(answer, (Failure, callers.ErrorBody)) and answer.not_run
    return (
        attrs.evolve(answer, not_run=False)
        if claims_not_run and submit.retry
        else answer
    )


@attrs.frozen(kw_only=True)
class UnknownPath(Failure):
    """No route has this method and path."""

    not_run: bool = True
    method: str
    path: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"no interface answers {self.method} {self.path}"


class EntryRoutes:
    """Handlers of all paths that an entry serves.

    Parameters
    ----------
    entry : Mailbox
        Mailbox of the `EntryTask`.
    leader : LeaderLink
        Connections to the leader.
    """

    def __init__(self, entry: Mailbox, leader: LeaderLink) -> None:
        self._entry = entry
        self._leader = leader
        self._metrics = MetricsRegistry()
        self._draining = False
        self._released = anyio.Event()
        self.callers_in_flight = 0

    def list_routes(self) -> list[BaseRoute]:
        """Return the Starlette routes."""
        return [
            Route("/v1/jobs", self._submit, methods=["POST"]),
            Route("/v1/jobs/{job_id}", self._show_job, methods=["GET"]),
            Route("/v1/jobs/{job_id}", self._cancel, methods=["DELETE"]),
            Route("/v1/jobs/{job_id}/answer", self._await_answer, methods=["GET"]),
            Route("/v1/jobs/{job_id}/explanation", self._explain, methods=["GET"]),
            Route("/v1/services/{service}/document", self._apply, methods=["PUT"]),
            Route("/v1/services/{service}/document", self._show, methods=["GET"]),
            Route("/v1/status", self._status, methods=["GET"]),
            Route("/v1/upstreams/announce", self._announce, methods=["POST"]),
            Route("/v1/upstreams/leave", self._leave, methods=["POST"]),
            Route("/v1/reports", self._report, methods=["POST"]),
            Route("/healthz", self._show_health, methods=["GET"]),
            Route("/readyz", self._show_readiness, methods=["GET"]),
            Route("/metrics", self._show_metrics, methods=["GET"]),
        ]

    def list_error_handlers(self) -> dict[int, ErrorHandler]:
        """Return the handlers of requests that match no route."""
        return {404: self._refuse_path, 405: self._refuse_path}

    async def _refuse_path(self, request: Request, error: Exception) -> Response:
        failure = UnknownPath(method=request.method, path=request.url.path)
        status = getattr(error, "status_code", 404)
        self._metrics.count("refusals", type=failure.type_name)
        return _write(
            callers.ErrorReply(callers.ErrorBody.from_failure(failure)), status
        )

    def fail_readiness(self) -> None:
        """Fail the readiness check, so that the load balancer sends no new callers."""
        self._draining = True

    def release_waiting_callers(self) -> None:
        """Reply to all waiting callers with the current state of their job."""
        self._released.set()

    # Callers

    async def _submit(self, request: Request) -> Response:
        self.callers_in_flight += 1
        try:
            return await self._submit_counted(request)
        finally:
            self.callers_in_flight -= 1

    async def _submit_counted(self, request: Request) -> Response:
        decoded = await self._read(request, callers.SubmitRequest)
        if not is_successful(decoded):
            return self._count_refusal(decoded.failure())
        submit = decoded.unwrap()
        checked = check_job(submit.job)
        if not is_successful(checked):
            return self._count_refusal(checked.failure())
        admitted: Reply[Failure | None] = Reply()
        self._entry.post(Admit(submit.job, admitted))
        refusal = await admitted.receive()
        if refusal is not None:
            return self._count_refusal(_clear_not_run_on_retry(refusal, submit))
        arrived_s = anyio.current_time()
        try:
            response = await self._submit_admitted(submit)
            if response.status_code == ANSWERED_STATUS:
                self._observe_answer(submit.job, anyio.current_time() - arrived_s)
            return response
        finally:
            self._entry.post(Release(submit.job.organisation))

    def _observe_answer(self, job: JobRequest, elapsed_s: float) -> None:
        self._metrics.observe(
            JobTime.ANSWER, elapsed_s, job.organisation, str(job.job_class)
        )

    async def _submit_admitted(self, submit: callers.SubmitRequest) -> Response:
        job = submit.job
        job_id = make_job_id(job.organisation, job.service, job.key)
        # Watches before the job is forwarded, so that its end is not missed.
        changed: Reply[None] = Reply()
        self._entry.post(WatchJob(job_id, changed))
        accepted = await self._ask(internal.AcceptRequest(job))
        accepted = accepted.alt(
            lambda failure: _clear_not_run_on_retry(failure, submit)
        ).map(lambda reply: _clear_not_run_on_retry(reply, submit))
        wait_s = 0.0
        if submit.wait_until_unix_s is not None:
            wait_s = submit.wait_until_unix_s - time.time()
        return await self._finish_wait(job_id, accepted, changed, wait_s)

    async def _await_answer(self, request: Request) -> Response:
        wait_ms = _read_wait_ms(request)
        if isinstance(wait_ms, Failure):
            return self._count_refusal(wait_ms)
        self.callers_in_flight += 1
        try:
            job_id = request.path_params["job_id"]
            changed: Reply[None] = Reply()
            self._entry.post(WatchJob(job_id, changed))
            found = await self._ask(internal.JobQuery(job_id))
            # Repeated polls of an open job would delay the stop.
            wait_s = 0.0 if self._draining else wait_ms / 1000
            return await self._finish_wait(job_id, found, changed, wait_s)
        finally:
            self.callers_in_flight -= 1

    async def _finish_wait(
        self,
        job_id: str,
        result: Result[Any, Failure],
        changed: Reply[None],
        wait_s: float,
    ) -> Response:
        """Wait until the job has ended or the caller's wait time is over."""
        until_s = anyio.current_time() + max(0.0, wait_s)
        try:
            while self._is_open(result) and anyio.current_time() < until_s:
                await self._await_change(changed, until_s)
                if self._released.is_set():
                    break
                self._entry.post(UnwatchJob(job_id, changed))
                changed = Reply()
                self._entry.post(WatchJob(job_id, changed))
                latest = await self._ask(internal.JobQuery(job_id))
                result = latest if is_successful(latest) else result
        finally:
            self._entry.post(UnwatchJob(job_id, changed))
        return self._write_result(result)

    async def _await_change(self, changed: Reply[None], until_s: float) -> None:
        until_s = min(until_s, anyio.current_time() + REQUERY_INTERVAL_S)
        async with anyio.create_task_group() as tasks:

            async def stop_on_release() -> None:
                await self._released.wait()
                changed.send(None)

            tasks.start_soon(stop_on_release)
            await changed.receive(until_s)
            tasks.cancel_scope.cancel()

    def _is_open(self, result: Result[Any, Failure]) -> bool:
        if not is_successful(result):
            return False
        reply = result.unwrap()
        return isinstance(reply, callers.JobReply) and not reply.state.is_final

    async def _show_job(self, request: Request) -> Response:
        query = internal.JobQuery(request.path_params["job_id"])
        return self._write_result(await self._ask(query))

    async def _cancel(self, request: Request) -> Response:
        cancel = internal.CancelRequest(request.path_params["job_id"])
        return self._write_result(await self._ask(cancel))

    async def _explain(self, request: Request) -> Response:
        explain = internal.ExplainRequest(request.path_params["job_id"])
        return self._write_result(await self._ask(explain))

    # Operators

    async def _apply(self, request: Request) -> Response:
        decoded = await self._read(request, callers.DocumentRequest)
        if not is_successful(decoded):
            return self._count_refusal(decoded.failure())
        document = decoded.unwrap().document
        service = request.path_params["service"]
        if document.service != service:
            return self._count_refusal(
                MalformedMessage(
                    field="document.service",
                    value=repr(document.service),
                    expected=f"{service!r}, the service of the path",
                )
            )
        checked = check_document(document)
        if not is_successful(checked):
            return self._count_refusal(checked.failure())
        return self._write_result(await self._ask(internal.ApplyRequest(document)))

    async def _show(self, request: Request) -> Response:
        query = internal.DocumentQuery(request.path_params["service"])
        return self._write_result(await self._ask(query))

    async def _status(self, request: Request) -> Response:
        return self._write_result(await self._ask(internal.StatusRequest()))

    # Upstreams

    async def _announce(self, request: Request) -> Response:
        return await self._forward(request, protocol.Announcement)

    async def _leave(self, request: Request) -> Response:
        return await self._forward(request, protocol.LeaveNotice)

    async def _report(self, request: Request) -> Response:
        return await self._forward(request, protocol.TaskReport)

    async def _forward(self, request: Request, kind: type) -> Response:
        decoded = await self._read(request, kind)
        if not is_successful(decoded):
            return self._count_refusal(decoded.failure())
        return self._write_result(await self._ask(decoded.unwrap()))

    # The platform

    async def _show_health(self, request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def _show_readiness(self, request: Request) -> Response:
        reply: Reply[Failure | None] = Reply()
        self._entry.post(CheckReadiness(reply))
        unready = await reply.receive()
        if self._draining or unready is not None:
            reason = "leaving" if unready is None else unready.type_name
            return PlainTextResponse(f"not ready: {reason}\n", 503)
        return PlainTextResponse("ready\n")

    async def _show_metrics(self, request: Request) -> Response:
        return PlainTextResponse(self._metrics.render())

    # Common steps

    async def _read(self, request: Request, kind: type) -> Result[Any, Failure]:
        return decode_json(await request.body(), kind)

    async def _ask(self, message: Any) -> Result[Any, Failure]:
        deadline_s = anyio.current_time() + LEADER_TIMEOUT_S
        return await self._leader.call(message, deadline_s)

    def _count_refusal(self, failure: Failure) -> Response:
        self._metrics.count("refusals", type=failure.type_name)
        return _refuse(failure)

    def _write_result(self, result: Result[Any, Failure]) -> Response:
        if not is_successful(result):
            return self._count_refusal(result.failure())
        reply = result.unwrap()
        if isinstance(reply, callers.ErrorBody):
            self._metrics.count("refusals", type=reply.type)
            status = find_error_status(reply.type)
            return _write(callers.ErrorReply(reply), status)
        if isinstance(reply, callers.JobReply):
            return _write(reply, find_job_status(reply))
        return _write(reply)

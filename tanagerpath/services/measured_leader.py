"""Metrics and log lines of the requests to the leader."""

from typing import Any

import anyio
from returns.pipeline import is_successful
from returns.result import Result

from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.workloads.requests import LeaderQuery, LeaderReply
from tanagerpath.errors import Failure
from tanagerpath.observability.decisions import DecisionLog
from tanagerpath.observability.metrics import JobTime, MetricsRegistry
from tanagerpath.services.adapters import LeaderClient

__all__ = ["MeasuredLeaderClient"]

ANSWERED = "answered"


class MeasuredLeaderClient(LeaderClient):
    """Sends requests to the leader, and logs and measures each of them.

    Parameters
    ----------
    leader : LeaderClient
        Sends the requests.
    decisions : DecisionLog
        Receives one line for each request.
    metrics : MetricsRegistry
        Counts the requests by outcome and observes their durations.
    """

    def __init__(
        self, leader: LeaderClient, decisions: DecisionLog, metrics: MetricsRegistry
    ) -> None:
        self._leader = leader
        self._decisions = decisions
        self._metrics = metrics
        self._leader_address = ""
        self._leader_seen_s = float("-inf")

    def note_leader(self, reply: LeaderReply) -> None:
        """Record the leader that a probe has found."""
        self._leader_address = reply.leader_address
        self._leader_seen_s = anyio.current_time()

    async def ask(self, request: object, timeout_s: float) -> Result[Any, Failure]:
        """Return the leader's reply; see `LeaderClient`."""
        started_s = anyio.current_time()
        result = await self._leader.ask(request, timeout_s)
        if not isinstance(request, LeaderQuery):
            self._record_request(request, result, anyio.current_time() - started_s)
        return result

    def _record_request(
        self, request: object, result: Result[Any, Failure], elapsed_s: float
    ) -> None:
        outcome, reason = _describe(result)
        kind = type(request).__name__
        self._metrics.count("requests", outcome=outcome)
        self._metrics.observe(JobTime.ANSWER, elapsed_s, "", kind)
        spec = getattr(request, "spec", None)
        workload_id = spec.workload_id if spec else getattr(request, "workload_id", "")
        seen_age_s = anyio.current_time() - self._leader_seen_s
        self._decisions.write(
            "request ended",
            {
                "workload": workload_id,
                "request": kind,
                "outcome": outcome,
                "reason": reason,
                "elapsed_s": round(elapsed_s, 3),
                "leader": self._leader_address,
                "leader_seen_age_s": round(min(seen_age_s, 9999.0), 3),
            },
        )


def _describe(result: Result[Any, Failure]) -> tuple[str, str]:
    """Return the outcome of a request, and the reason if it failed."""
    if not is_successful(result):
        failure = result.failure()
        return failure.type_name, failure.message
    reply = result.unwrap()
    if isinstance(reply, ErrorBody):
        return reply.type, reply.message
    return ANSWERED, ""

"""Requests about workloads between tanagerpath processes."""

from tanagerpath.core.admission import RetryBudget, SearchingRoute
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.protocol.leadership import NotLeaderReply
from tanagerpath.core.workloads.requests import (
    LeaderQuery,
    WorkloadRequest,
    WorkloadResponse,
)
from tanagerpath.services.leader_link import LeaderLink, LeaderProtocol

__all__ = ["WORKLOAD_PROTOCOL", "make_leader_link"]

WORKLOAD_PROTOCOL = LeaderProtocol(
    "/internal/v1/workloads",
    WorkloadRequest,
    WorkloadResponse | NotLeaderReply | ErrorBody,
    LeaderQuery(),
)
# Fraction of the requests that may be retried after an exchange without a reply.
RETRY_BUDGET_RATIO = 0.5
# Also the initial delay of a search, which asks all control processes in turn.
RETRY_DELAY_S = 0.05


def make_leader_link(route: SearchingRoute, exchange_timeout_s: float) -> LeaderLink:
    """Create the task that sends requests about workloads to the leader."""
    return LeaderLink(
        route,
        WORKLOAD_PROTOCOL,
        exchange_timeout_s,
        RetryBudget(RETRY_BUDGET_RATIO),
        RETRY_DELAY_S,
    )

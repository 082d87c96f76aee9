"""Requests about workloads between processes of the system."""

from tanagerpath.core.admission import RetryBudget, SearchingRoute
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.protocol.internal import NotLeaderReply
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
# Share of the requests that may be repeated after an exchange without a reply.
RETRY_BUDGET_RATIO = 0.5
# While there is no leader, all control processes are asked in turn this often.
RETRY_PAUSE_S = 0.05


def make_leader_link(route: SearchingRoute, exchange_timeout_s: float) -> LeaderLink:
    """Return the task that asks the leader about workloads."""
    return LeaderLink(
        route,
        WORKLOAD_PROTOCOL,
        exchange_timeout_s,
        RetryBudget(RETRY_BUDGET_RATIO),
        RETRY_PAUSE_S,
    )

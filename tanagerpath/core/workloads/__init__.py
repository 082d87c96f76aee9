"""Workloads of steps and tasks: state, decisions and messages without input or output.

A caller submits a workload, which consists of steps of tasks that depend on each
other, to a queue. The leader places tasks on upstreams, records each run before it
orders its start, and acts on the end of a run once it is recorded.
"""

from tanagerpath.core.workloads.deadline_policy import DeadlinePolicy
from tanagerpath.core.workloads.deadline_terms import DeadlineTerms
from tanagerpath.core.workloads.dispatch_context import DispatchTerms
from tanagerpath.core.workloads.dispatcher import Dispatcher
from tanagerpath.core.workloads.events import LogDecision
from tanagerpath.core.workloads.health import HealthTerms
from tanagerpath.core.workloads.node import WorkloadNode, WorkloadNodeConfig
from tanagerpath.core.workloads.sessions import LeaseTerms
from tanagerpath.core.workloads.state import FleetSnapshot, FleetState

__all__ = [
    "DeadlinePolicy",
    "DeadlineTerms",
    "DispatchTerms",
    "Dispatcher",
    "FleetSnapshot",
    "FleetState",
    "HealthTerms",
    "LeaseTerms",
    "LogDecision",
    "WorkloadNode",
    "WorkloadNodeConfig",
]

"""Workloads of steps and tasks: state, decisions and messages without input or output.

A workload is what a caller submits to a queue: steps of tasks that depend on each
other. The leader places tasks on upstreams, records each run before it orders it, and
takes an end into account once it is recorded.
"""

from tanagerpath.core.workloads.deadline_policy import DeadlinePolicy
from tanagerpath.core.workloads.deadline_terms import DeadlineTerms
from tanagerpath.core.workloads.dispatch_context import DispatchTerms
from tanagerpath.core.workloads.dispatcher import Dispatcher
from tanagerpath.core.workloads.events import NoteDecision
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
    "NoteDecision",
    "WorkloadNode",
    "WorkloadNodeConfig",
]

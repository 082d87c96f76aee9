"""Outcomes of jobs: reservation, start, leases, answers and retries."""

from tanagerpath.core.coordination.conclusions import ConclusionTerms
from tanagerpath.core.coordination.coordinator import Coordinator, CoordinatorConfig
from tanagerpath.core.coordination.driver import AttemptTerms
from tanagerpath.core.coordination.messages import (
    CallUpstream,
    CommandApplied,
    CountEvent,
    Effect,
    Event,
    Instant,
    JobPeriod,
    LeaveArrived,
    Propose,
    RecordPeriod,
    ReportArrived,
    Respond,
    Ticked,
    UpstreamCallFailed,
    UpstreamReplied,
)
from tanagerpath.core.coordination.sessions import LeaseTerms

__all__ = [
    "AttemptTerms",
    "CallUpstream",
    "CommandApplied",
    "ConclusionTerms",
    "Coordinator",
    "CoordinatorConfig",
    "CountEvent",
    "Effect",
    "Event",
    "Instant",
    "JobPeriod",
    "LeaseTerms",
    "LeaveArrived",
    "Propose",
    "RecordPeriod",
    "ReportArrived",
    "Respond",
    "Ticked",
    "UpstreamCallFailed",
    "UpstreamReplied",
]

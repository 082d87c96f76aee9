"""Life cycle of jobs: reservation, start, leases, answers and retries."""

from tanagerpath.core.coordination.conclusions import ConclusionConfig
from tanagerpath.core.coordination.coordinator import Coordinator, CoordinatorConfig
from tanagerpath.core.coordination.driver import AttemptConfig
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
from tanagerpath.core.coordination.sessions import LeaseConfig

__all__ = [
    "AttemptConfig",
    "CallUpstream",
    "CommandApplied",
    "ConclusionConfig",
    "Coordinator",
    "CoordinatorConfig",
    "CountEvent",
    "Effect",
    "Event",
    "Instant",
    "JobPeriod",
    "LeaseConfig",
    "LeaveArrived",
    "Propose",
    "RecordPeriod",
    "ReportArrived",
    "Respond",
    "Ticked",
    "UpstreamCallFailed",
    "UpstreamReplied",
]

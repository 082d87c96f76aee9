"""Placement of gangs on adjacent accelerators under organisation guarantees."""

from tanagerpath.core.placement.config import SchedulerConfig
from tanagerpath.core.placement.first_fit import (
    FirstComeFirstFitScheduler,
    FirstFitScheduler,
)
from tanagerpath.core.placement.policy import GuaranteeScheduler
from tanagerpath.core.placement.scheduler import (
    Decision,
    GuaranteeCannotBeMet,
    ImpossibleShape,
    PendingJob,
    PlaceJob,
    PreemptJob,
    QuotaTooSmall,
    Scheduler,
    UpstreamCondition,
)

__all__ = [
    "Decision",
    "FirstComeFirstFitScheduler",
    "FirstFitScheduler",
    "GuaranteeCannotBeMet",
    "GuaranteeScheduler",
    "ImpossibleShape",
    "PendingJob",
    "PlaceJob",
    "PreemptJob",
    "QuotaTooSmall",
    "Scheduler",
    "SchedulerConfig",
    "UpstreamCondition",
]

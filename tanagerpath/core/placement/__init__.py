"""Placement of gangs on adjacent accelerators under organisation guarantees."""

from tanagerpath.core.placement.scheduler import (
    Decision,
    GuaranteeCannotBeMet,
    ImpossibleShape,
    PendingJob,
    PlaceJob,
    PreemptJob,
    Scheduler,
    UpstreamCondition,
)

__all__ = [
    "Decision",
    "GuaranteeCannotBeMet",
    "ImpossibleShape",
    "PendingJob",
    "PlaceJob",
    "PreemptJob",
    "Scheduler",
    "UpstreamCondition",
]

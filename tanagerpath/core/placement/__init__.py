"""Placement of gangs on adjacent accelerators under organisation guarantees."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "config": [
            "SchedulerConfig",
        ],
        "first_fit": [
            "FirstComeFirstFitScheduler",
            "FirstFitScheduler",
        ],
        "policy": [
            "GuaranteeScheduler",
        ],
        "scheduler": [
            "Decision",
            "GuaranteeCannotBeMet",
            "ImpossibleShape",
            "PendingJob",
            "PlaceJob",
            "PreemptJob",
            "QuotaTooSmall",
            "Scheduler",
            "UpstreamCondition",
        ],
    },
)

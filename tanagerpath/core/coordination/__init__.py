"""Life cycle of jobs: reservation, start, leases, answers and retries."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "conclusions": [
            "ConclusionConfig",
        ],
        "coordinator": [
            "Coordinator",
            "CoordinatorConfig",
        ],
        "driver": [
            "AttemptConfig",
        ],
        "messages": [
            "CallUpstream",
            "CommandApplied",
            "CountEvent",
            "Effect",
            "Event",
            "Instant",
            "JobPeriod",
            "LeaveArrived",
            "Propose",
            "RecordPeriod",
            "ReportArrived",
            "Respond",
            "Ticked",
            "UpstreamCallFailed",
            "UpstreamReplied",
        ],
        "sessions": [
            "LeaseConfig",
        ],
    },
)

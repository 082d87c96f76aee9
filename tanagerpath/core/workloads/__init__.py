"""Workloads of steps and tasks: state, decisions and messages without input or output.

A caller submits a workload, which consists of steps of tasks that depend on each
other, to a queue. The leader places tasks on upstreams, records each run before it
orders its start, and acts on the end of a run once it is recorded.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "deadline_policy": [
            "DeadlinePolicy",
        ],
        "deadline_terms": [
            "DeadlineTerms",
        ],
        "dispatch_context": [
            "DispatchTerms",
        ],
        "dispatcher": [
            "Dispatcher",
        ],
        "events": [
            "AdmissionDecided",
            "LogDecision",
            "ReportEvacuation",
            "ReportStanding",
        ],
        "health": [
            "HealthTerms",
        ],
        "node": [
            "WorkloadNode",
            "WorkloadNodeConfig",
        ],
        "sessions": [
            "LeaseTerms",
        ],
        "state": [
            "FleetSnapshot",
            "FleetState",
        ],
        "wait_reasons": [
            "WaitReason",
        ],
    },
)

"""Replicated state machine: documents, upstreams and jobs."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "commands": [
            "AcceptJob",
            "ApplyDocument",
            "Command",
            "EndAttempt",
            "ExpireJobs",
            "FinishJob",
            "RecordCheckpoint",
            "RecordStart",
            "RecordStartRefuted",
            "RegisterUpstream",
            "RemoveUpstream",
            "RequestCancel",
        ],
        "records": [
            "DocumentRecord",
            "JobRecord",
            "StateSnapshot",
            "make_job_id",
        ],
        "system": [
            "SystemState",
        ],
    },
)

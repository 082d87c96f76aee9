"""Replicated state machine: documents, upstreams and jobs."""

from tanagerpath.core.state.commands import (
    AcceptJob,
    ApplyDocument,
    Command,
    EndAttempt,
    ExpireJobs,
    FinishJob,
    RecordCheckpoint,
    RecordStart,
    RecordStartRefuted,
    RegisterUpstream,
    RemoveUpstream,
    RequestCancel,
)
from tanagerpath.core.state.records import (
    DocumentRecord,
    JobRecord,
    StateSnapshot,
    make_job_id,
)
from tanagerpath.core.state.system import SystemState

__all__ = [
    "AcceptJob",
    "ApplyDocument",
    "Command",
    "DocumentRecord",
    "EndAttempt",
    "ExpireJobs",
    "FinishJob",
    "JobRecord",
    "RecordCheckpoint",
    "RecordStart",
    "RecordStartRefuted",
    "RegisterUpstream",
    "RemoveUpstream",
    "RequestCancel",
    "StateSnapshot",
    "SystemState",
    "make_job_id",
]

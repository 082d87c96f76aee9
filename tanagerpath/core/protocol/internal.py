"""Messages between entries and control processes."""

import attrs

from tanagerpath.core.model import JobRequest, JobState, ServiceDocument
from tanagerpath.core.protocol.callers import DocumentReply, ErrorBody, JobReply
from tanagerpath.core.protocol.job_times import JobTimes
from tanagerpath.core.protocol.leadership import NotLeaderReply
from tanagerpath.core.protocol.upstreams import (
    Announcement,
    AnnouncementReply,
    LeaveNotice,
    LeaveReply,
    ReportReply,
    TaskReport,
)

__all__ = [
    "AcceptRequest",
    "ApplyRequest",
    "CancelRequest",
    "DocumentQuery",
    "ExplainReply",
    "ExplainRequest",
    "FeedReply",
    "FeedRequest",
    "InternalReply",
    "InternalRequest",
    "JobChange",
    "JobQuery",
    "JobTimes",
    "NotLeaderReply",
    "OrganisationStatus",
    "StatusReply",
    "StatusRequest",
    "UpstreamStatus",
]


@attrs.frozen
class AcceptRequest:
    """An entry forwards a submitted job."""

    job: JobRequest


@attrs.frozen
class JobQuery:
    """Requests the state of a job, with its answer."""

    job_id: str


@attrs.frozen
class CancelRequest:
    """Cancels a job."""

    job_id: str


@attrs.frozen
class ApplyRequest:
    """An entry forwards a document."""

    document: ServiceDocument


@attrs.frozen
class DocumentQuery:
    """Requests the document in force of a service."""

    service: str


@attrs.frozen
class ExplainRequest:
    """Requests an explanation of why a job waits or where it runs."""

    job_id: str


@attrs.frozen
class ExplainReply:
    """Explanation of a job in one or two sentences."""

    job_id: str
    explanation: str


@attrs.frozen
class FeedRequest:
    """Long poll for committed changes after a log index.

    Attributes
    ----------
    entry_id : str
        Entry that sends the request.
    after_index : int
        Last log index that the entry has seen, 0 for none.
    """

    entry_id: str
    after_index: int


@attrs.frozen
class JobChange:
    """A job reached a final state."""

    job_id: str
    state: JobState


@attrs.frozen
class FeedReply:
    """Changes up to `index`, sent only while the leader holds its lease.

    Attributes
    ----------
    index : int
        Last applied log index; never lower than the requested one.
    complete : bool
        True if `documents` holds all documents, else only the changed ones.
    documents : tuple of ServiceDocument
        All documents, or those that changed since `after_index`.
    jobs : tuple of JobChange
        Jobs that ended since `after_index`; empty if `complete`.
    """

    index: int
    complete: bool
    documents: tuple[ServiceDocument, ...] = ()
    jobs: tuple[JobChange, ...] = ()


@attrs.frozen
class StatusRequest:
    """Requests the state of the whole system."""


@attrs.frozen
class UpstreamStatus:
    """Status of one upstream."""

    upstream_id: str
    availability_zone: str
    rack: int
    position: int
    condition: str
    accelerators: int
    held: int


@attrs.frozen
class OrganisationStatus:
    """Status of one organisation."""

    organisation: str
    quota_accelerators: int
    held_accelerators: int
    queued_jobs: int
    unmet_guarantees: int


@attrs.frozen
class StatusReply:
    """State of the whole system, as the leader reports it."""

    leader_id: str
    term: int
    log_index: int
    voters: tuple[str, ...]
    queued_jobs: int
    running_jobs: int
    upstreams: tuple[UpstreamStatus, ...] = ()
    organisations: tuple[OrganisationStatus, ...] = ()
    refusals: tuple[tuple[str, int], ...] = ()
    times: tuple[JobTimes, ...] = ()


InternalRequest = (
    AcceptRequest
    | JobQuery
    | CancelRequest
    | ApplyRequest
    | DocumentQuery
    | ExplainRequest
    | FeedRequest
    | StatusRequest
    | Announcement
    | LeaveNotice
    | TaskReport
)

InternalReply = (
    JobReply
    | DocumentReply
    | NotLeaderReply
    | ExplainReply
    | FeedReply
    | StatusReply
    | AnnouncementReply
    | LeaveReply
    | ReportReply
    | ErrorBody
)

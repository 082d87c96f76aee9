"""Messages between entries and control processes."""

import attrs

from tanagerpath.core.model import JobRequest, JobState, ServiceDocument
from tanagerpath.core.protocol.callers import DocumentReply, ErrorBody, JobReply
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
    """An entry passes on a submitted job."""

    job: JobRequest


@attrs.frozen
class JobQuery:
    """Asks for the state of a job, with its answer."""

    job_id: str


@attrs.frozen
class CancelRequest:
    """Cancels a job."""

    job_id: str


@attrs.frozen
class ApplyRequest:
    """An entry passes on a document."""

    document: ServiceDocument


@attrs.frozen
class DocumentQuery:
    """Asks for the document in force of a service."""

    service: str


@attrs.frozen
class ExplainRequest:
    """Asks why a job waits or where it runs."""

    job_id: str


@attrs.frozen
class ExplainReply:
    """Explanation of a job in one or two sentences."""

    job_id: str
    explanation: str


@attrs.frozen
class FeedRequest:
    """Asks for committed changes after an index; held open until there are some.

    Attributes
    ----------
    entry_id : str
        Who asks.
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
    """Changes up to `index`, given out under the leader's lease.

    Attributes
    ----------
    index : int
        Last applied log index; never lower than the one asked for.
    complete : bool
        True if `documents` is the whole set, else it holds only changed ones.
    documents : tuple of ServiceDocument
        Documents.
    jobs : tuple of JobChange
        Jobs that ended since `after_index`; empty if `complete`.
    """

    index: int
    complete: bool
    documents: tuple[ServiceDocument, ...] = ()
    jobs: tuple[JobChange, ...] = ()


@attrs.frozen
class StatusRequest:
    """Asks for the state of the whole system."""


@attrs.frozen
class UpstreamStatus:
    """One line of the status for an upstream."""

    upstream_id: str
    availability_zone: str
    rack: int
    position: int
    condition: str
    accelerators: int
    held: int


@attrs.frozen
class OrganisationStatus:
    """One line of the status for an organisation."""

    organisation: str
    quota_accelerators: int
    held_accelerators: int
    queued_jobs: int
    unmet_guarantees: int


@attrs.frozen
class JobTimes:
    """Quantiles of one measured time of jobs, in seconds.

    `name` is "waiting", "start" or "completion"; the leader measures them since its
    process started.
    """

    name: str
    organisation: str
    job_class: str
    count: int
    p50_s: float
    p99_s: float
    max_s: float


@attrs.frozen
class StatusReply:
    """State of the whole system as the leader sees it."""

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


@attrs.frozen
class NotLeaderReply:
    """The asked process cannot decide now.

    Attributes
    ----------
    leader_vm_id : str
        VM of the leader that it knows, empty if none.
    leader_address : str
        "ip:port" of that leader, empty if none.
    may_commit : bool
        Whether the request was appended to the log before leadership was lost, so that
        it may take effect yet.
    """

    leader_vm_id: str = ""
    leader_address: str = ""
    may_commit: bool = False


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

"""How the leader answers the requests of entries."""

import itertools

import attrs
from returns.pipeline import is_successful
from returns.result import Result

from tanagerpath.core.admission import Overloaded
from tanagerpath.core.coordination import (
    Coordinator,
    Event,
    Instant,
    LeaveArrived,
    ReportArrived,
)
from tanagerpath.core.model.checks import check_document, check_job
from tanagerpath.core.protocol import internal
from tanagerpath.core.protocol.callers import DocumentReply, ErrorBody
from tanagerpath.core.protocol.checks import check_announcement
from tanagerpath.core.protocol.upstreams import (
    Announcement,
    AnnouncementReply,
    LeaveNotice,
    TaskReport,
)
from tanagerpath.core.state import (
    AcceptJob,
    ApplyDocument,
    Command,
    JobRecord,
    RegisterUpstream,
    RequestCancel,
    SystemState,
    make_job_id,
)
from tanagerpath.core.state.failures import UnknownJob, UnknownService
from tanagerpath.errors import Failure
from tanagerpath.runtime import Reply

__all__ = ["Proposal", "RequestDesk"]

OVERLOAD_RETRY_AFTER_S = 1.0


@attrs.frozen(eq=False)
class Proposal:
    """A command to append, and who waits for its outcome.

    `job_ids` names the jobs whose state each waiting reply gets instead of the outcome
    of the command.
    """

    command: Command
    replies: tuple[Reply, ...] = ()
    job_ids: tuple[str, ...] = ()

    def answer(self, result: Result[object, Failure], state: SystemState) -> None:
        """Send the outcome to all who wait."""
        if self.job_ids:
            for job_id, reply in zip(self.job_ids, self.replies, strict=True):
                reply.send(_describe_job(state, job_id))
            return
        for reply in self.replies:
            reply.send(_describe_outcome(result))

    def fail(self, failure: Failure) -> None:
        """Tell all who wait that leadership was lost."""
        for reply in self.replies:
            reply.send(internal.NotLeaderReply())


def _describe_job(state: SystemState, job_id: str) -> object:
    record = state.jobs.get(job_id)
    if record is None:
        return ErrorBody.from_failure(UnknownJob(job_id=job_id))
    return record.make_reply()


def _describe_outcome(result: Result[object, Failure]) -> object:
    if not is_successful(result):
        return ErrorBody.from_failure(result.failure())
    match result.unwrap():
        case JobRecord() as record:
            return record.make_reply()
        case Announcement():
            return AnnouncementReply()
        case other:
            return other


class RequestDesk:
    """Answers from the state, or turns requests into proposals and events.

    One instance lives for one term of a leader.

    Parameters
    ----------
    state : SystemState
        Replicated state.
    coordinator : Coordinator
        The leader's decisions.
    max_proposals : int
        Most proposals that may be open.
    """

    def __init__(
        self, state: SystemState, coordinator: Coordinator, max_proposals: int
    ) -> None:
        self._state = state
        self._coordinator = coordinator
        self._max_proposals = max_proposals
        self._tokens = itertools.count(1)
        self._waiting: dict[int, Reply] = {}
        self._cancels: list[tuple[str, Reply]] = []
        self.open_proposals = 0

    def respond(self, token: int, reply: object) -> None:
        """Answer the exchange that a token names."""
        waiting = self._waiting.pop(token, None)
        if waiting is not None:
            waiting.send(reply)

    def drop_waiting(self) -> None:
        """Tell all exchanges that leadership was lost."""
        for reply in self._waiting.values():
            reply.send(internal.NotLeaderReply())
        self._waiting.clear()
        for _, reply in self._cancels:
            reply.send(internal.NotLeaderReply())
        self._cancels.clear()

    def take(
        self, request: internal.InternalRequest, reply: Reply, now: Instant
    ) -> Proposal | Event | None:
        """Take one request.

        Returns
        -------
        Proposal, Event or None
            What follows; None if the request was answered at once or was collected.
        """
        match request:
            case internal.AcceptRequest(job):
                return self._accept(job, reply, now)
            case internal.ApplyRequest(document):
                return self._apply(document, reply, now)
            case internal.CancelRequest(job_id):
                return self._cancel(job_id, reply)
            case internal.JobQuery(job_id):
                reply.send(_describe_job(self._state, job_id))
            case internal.DocumentQuery(service):
                reply.send(self._describe_document(service))
            case internal.ExplainRequest(job_id):
                reply.send(self._explain(job_id, now))
            case Announcement():
                return self._announce(request, reply)
            case TaskReport():
                return ReportArrived(self._keep(reply), request)
            case LeaveNotice():
                return LeaveArrived(self._keep(reply), request)
        return None

    def collect_cancels(self, now: Instant, retention_s: float) -> Proposal | None:
        """Make one command of all cancellations that came since the last call."""
        if not self._cancels:
            return None
        job_ids = tuple(job_id for job_id, _ in self._cancels)
        replies = tuple(reply for _, reply in self._cancels)
        self._cancels.clear()
        command = RequestCancel(job_ids, now.unix_s + retention_s)
        return Proposal(command, replies, job_ids)

    def _keep(self, reply: Reply) -> int:
        token = next(self._tokens)
        self._waiting[token] = reply
        return token

    def _refuse(self, reply: Reply, failure: Failure) -> None:
        reply.send(ErrorBody.from_failure(failure))

    def _refuse_if_overloaded(self, reply: Reply, now: Instant) -> bool:
        if self.open_proposals < self._max_proposals:
            return False
        overloaded = Overloaded(
            queue="the leader's log",
            limit=self._max_proposals,
            retry_at_unix_s=now.unix_s + OVERLOAD_RETRY_AFTER_S,
        )
        self._refuse(reply, overloaded)
        return True

    def _accept(self, job, reply: Reply, now: Instant) -> Proposal | None:
        checked = check_job(job)
        if not is_successful(checked):
            self._refuse(reply, checked.failure())
            return None
        job_id = make_job_id(job.organisation, job.service, job.key)
        refusal = self._state.check_accept(job_id, job)
        if refusal is not None:
            self._refuse(reply, refusal)
            return None
        if job_id in self._state.jobs:
            reply.send(_describe_job(self._state, job_id))
            return None
        if self._refuse_if_overloaded(reply, now):
            return None
        return Proposal(AcceptJob(job_id, job, now.unix_s), (reply,))

    def _apply(self, document, reply: Reply, now: Instant) -> Proposal | None:
        checked = check_document(document)
        if not is_successful(checked):
            self._refuse(reply, checked.failure())
            return None
        current = self._state.documents.get(document.service)
        revision = current.document.revision if current else 0
        if document.revision == revision + 1:
            possible = self._coordinator.check_document(document)
            if not is_successful(possible):
                self._refuse(reply, possible.failure())
                return None
        if self._refuse_if_overloaded(reply, now):
            return None
        return Proposal(ApplyDocument(document), (reply,))

    def _cancel(self, job_id: str, reply: Reply) -> None:
        record = self._state.jobs.get(job_id)
        if record is None or record.state.is_final or record.cancel_requested:
            reply.send(_describe_job(self._state, job_id))
        else:
            self._cancels.append((job_id, reply))

    def _announce(self, announcement: Announcement, reply: Reply) -> Proposal | None:
        checked = check_announcement(announcement)
        if not is_successful(checked):
            self._refuse(reply, checked.failure())
            return None
        upstream_id = announcement.capacity.upstream_id
        if self._state.upstreams.get(upstream_id) == announcement:
            reply.send(AnnouncementReply())
            return None
        return Proposal(RegisterUpstream(announcement), (reply,))

    def _describe_document(self, service: str) -> object:
        record = self._state.documents.get(service)
        if record is None:
            return ErrorBody.from_failure(UnknownService(service=service))
        return DocumentReply(record.document, record.log_index)

    def _explain(self, job_id: str, now: Instant) -> object:
        record = self._state.jobs.get(job_id)
        if record is None:
            return ErrorBody.from_failure(UnknownJob(job_id=job_id))
        if record.state.is_final:
            reason = f": {record.error.message}" if record.error else ""
            text = f"The job ended as {record.state}{reason}."
        else:
            text = self._coordinator.explain(job_id, now)
        return internal.ExplainReply(job_id, text)

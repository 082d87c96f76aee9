"""Handling of requests of entries by the leader."""

from returns.pipeline import is_successful

from tanagerpath.core.admission import Overloaded
from tanagerpath.core.control.messages import RequestArrived, SendReply
from tanagerpath.core.control.proposals import Proposal, describe_job
from tanagerpath.core.coordination import (
    Coordinator,
    Event,
    Instant,
    LeaveArrived,
    ReportArrived,
)
from tanagerpath.core.coordination.failures import DeadlinePassed
from tanagerpath.core.model import JobRequest, ServiceDocument
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
    RegisterUpstream,
    RequestCancel,
    SystemState,
    make_job_id,
)
from tanagerpath.core.state.failures import UnknownJob, UnknownService
from tanagerpath.errors import Failure

__all__ = ["RequestHandler"]

OVERLOAD_RETRY_AFTER_S = 1.0


class RequestHandler:
    """Answers requests from the state or turns them into proposals and events.

    One instance exists for each leader term.

    Parameters
    ----------
    state : SystemState
        Replicated state.
    coordinator : Coordinator
        Coordinator of the same term.
    max_proposals : int
        Maximum number of open proposals.
    """

    def __init__(
        self, state: SystemState, coordinator: Coordinator, max_proposals: int
    ) -> None:
        self._state = state
        self._coordinator = coordinator
        self._max_proposals = max_proposals
        self._waiting: set[int] = set()
        self._cancels: list[tuple[str, int]] = []
        self._answers: list[SendReply] = []

    def respond(self, token: int, reply: object) -> None:
        """Answer the exchange that a token identifies, at most once."""
        if token in self._waiting:
            self._waiting.remove(token)
            self._answer(token, reply)

    def reject_waiting(self) -> None:
        """Answer all waiting exchanges that leadership was lost."""
        for token in self._waiting:
            self._answer(token, internal.NotLeaderReply())
        for _, token in self._cancels:
            self._answer(token, internal.NotLeaderReply())
        self._waiting.clear()
        self._cancels.clear()

    def pop_answers(self) -> list[SendReply]:
        """Return and clear the answers made since the last call."""
        answers, self._answers = self._answers, []
        return answers

    def handle(
        self, arrived: RequestArrived, open_proposals: int, now: Instant
    ) -> Proposal | Event | None:
        """Process one request.

        Parameters
        ----------
        arrived : RequestArrived
            The request.
        open_proposals : int
            Number of proposals that are not committed yet.
        now : Instant
            Current time.

        Returns
        -------
        Proposal, Event or None
            What to process next; None after an answer or for a collected cancellation.
        """
        token, request = arrived.token, arrived.request
        match request:
            case internal.AcceptRequest(job):
                return self._accept(job, token, open_proposals, now)
            case internal.ApplyRequest(document):
                return self._apply(document, token, open_proposals, now)
            case internal.CancelRequest(job_id):
                return self._cancel(job_id, token)
            case internal.JobQuery(job_id):
                self._answer(token, describe_job(self._state, job_id))
            case internal.DocumentQuery(service):
                self._answer(token, self._describe_document(service))
            case internal.ExplainRequest(job_id):
                self._answer(token, self._explain(job_id, now))
            case Announcement():
                return self._announce(request, token)
            case TaskReport():
                self._waiting.add(token)
                return ReportArrived(token, request)
            case LeaveNotice():
                self._waiting.add(token)
                return LeaveArrived(token, request)
        return None

    def collect_cancels(self, now: Instant, retention_s: float) -> Proposal | None:
        """Combine all cancellations since the last call into one command."""
        if not self._cancels:
            return None
        job_ids = tuple(job_id for job_id, _ in self._cancels)
        tokens = tuple(token for _, token in self._cancels)
        self._cancels.clear()
        command = RequestCancel(job_ids, now.unix_s + retention_s)
        return Proposal(command, tokens, job_ids)

    def _answer(self, token: int, reply: object) -> None:
        self._answers.append(SendReply(token, reply))

    def _refuse(self, token: int, failure: Failure) -> None:
        self._answer(token, ErrorBody.from_failure(failure))

    def _check_overload(self, open_proposals: int, now: Instant) -> Failure | None:
        if open_proposals < self._max_proposals:
            return None
        return Overloaded(
            queue="the leader's log",
            limit=self._max_proposals,
            retry_at_unix_s=now.unix_s + OVERLOAD_RETRY_AFTER_S,
        )

    def _accept(
        self, job: JobRequest, token: int, open_proposals: int, now: Instant
    ) -> Proposal | None:
        checked = check_job(job)
        if not is_successful(checked):
            return self._refuse(token, checked.failure())
        job_id = make_job_id(job.organisation, job.service, job.key)
        refusal = self._state.check_accept(job_id, job)
        if refusal is not None:
            return self._refuse(token, refusal)
        if job_id in self._state.jobs:
            return self._answer(token, describe_job(self._state, job_id))
        if job.deadline_unix_s is not None and job.deadline_unix_s <= now.unix_s:
            return self._refuse(token, DeadlinePassed(not_run=True))
        overload = self._check_overload(open_proposals, now)
        if overload is not None:
            return self._refuse(token, overload)
        return Proposal(AcceptJob(job_id, job, now.unix_s), (token,))

    def _apply(
        self,
        document: ServiceDocument,
        token: int,
        open_proposals: int,
        now: Instant,
    ) -> Proposal | None:
        checked = check_document(document)
        if not is_successful(checked):
            return self._refuse(token, checked.failure())
        current = self._state.documents.get(document.service)
        revision = current.document.revision if current else 0
        if document.revision == revision + 1:
            possible = self._coordinator.check_document(document)
            if not is_successful(possible):
                return self._refuse(token, possible.failure())
        overload = self._check_overload(open_proposals, now)
        if overload is not None:
            return self._refuse(token, overload)
        return Proposal(ApplyDocument(document), (token,))

    def _cancel(self, job_id: str, token: int) -> None:
        record = self._state.jobs.get(job_id)
        if record is None or record.state.is_final or record.cancel_requested:
            self._answer(token, describe_job(self._state, job_id))
        else:
            self._cancels.append((job_id, token))

    def _announce(self, announcement: Announcement, token: int) -> Proposal | None:
        checked = check_announcement(announcement)
        if not is_successful(checked):
            return self._refuse(token, checked.failure())
        upstream_id = announcement.capacity.upstream_id
        if self._state.upstreams.get(upstream_id) == announcement:
            return self._answer(token, AnnouncementReply())
        return Proposal(RegisterUpstream(announcement), (token,))

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

"""The replicated state machine."""

import collections
from collections.abc import Iterable, Mapping
from types import MappingProxyType

import attrs
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.core.model import (
    GuaranteedShape,
    JobRequest,
    JobState,
    ServiceDocument,
)
from tanagerpath.core.protocol.callers import DocumentReply, ErrorBody
from tanagerpath.core.protocol.internal import FeedReply, JobChange
from tanagerpath.core.protocol.upstreams import Announcement
from tanagerpath.core.state import commands, failures
from tanagerpath.core.state.records import (
    DocumentRecord,
    FinishedChange,
    JobRecord,
    StateSnapshot,
)
from tanagerpath.errors import Failure

__all__ = ["SystemState"]

MAX_FINISHED_CHANGES = 8192


class SystemState:
    """Documents, upstreams and jobs; changes only through `apply`.

    `apply` is deterministic, so that all replicas hold the same state. It rejects every
    command that would violate an invariant, whoever proposed it: a second start of
    non-idempotent work, an answer of an old attempt, a change of an ended job.
    """

    def __init__(self) -> None:
        self.applied_index = 0
        self._documents: dict[str, DocumentRecord] = {}
        # Cached because each held poll compares it in each step of the leader.
        self._last_document_index = 0
        self._upstreams: dict[str, Announcement] = {}
        self._jobs: dict[str, JobRecord] = {}
        self._open_job_ids: dict[str, None] = {}
        self._queued_by_service: collections.Counter[str] = collections.Counter()
        self._finished: collections.deque[FinishedChange] = collections.deque(
            maxlen=MAX_FINISHED_CHANGES
        )
        self._dropped_until_index = 0

    @property
    def documents(self) -> Mapping[str, DocumentRecord]:
        """Documents in force, by service."""
        return MappingProxyType(self._documents)

    @property
    def upstreams(self) -> Mapping[str, Announcement]:
        """Known upstreams, by id."""
        return MappingProxyType(self._upstreams)

    @property
    def jobs(self) -> Mapping[str, JobRecord]:
        """All jobs whose record has not been deleted, by id."""
        return MappingProxyType(self._jobs)

    def list_open_jobs(self) -> list[JobRecord]:
        """Return the jobs that have not ended, oldest first."""
        return [self._jobs[job_id] for job_id in self._open_job_ids]

    def merge_guarantees(
        self, changed: ServiceDocument | None = None
    ) -> dict[str, tuple[GuaranteedShape, ...]]:
        """Return all guaranteed shapes by organisation, over all documents.

        Parameters
        ----------
        changed : ServiceDocument, optional
            Replaces the document in force of its service.
        """
        documents = {r.document.service: r.document for r in self._documents.values()}
        if changed is not None:
            documents[changed.service] = changed
        merged: dict[str, tuple[GuaranteedShape, ...]] = {}
        for document in documents.values():
            for terms in document.organisations:
                merged[terms.name] = merged.get(terms.name, ()) + terms.guarantees
        return merged

    def merge_quotas(self) -> dict[str, int]:
        """Return the total accelerator quota of each organisation."""
        merged: collections.Counter[str] = collections.Counter()
        for record in self._documents.values():
            for terms in record.document.organisations:
                merged[terms.name] += terms.quota_accelerators
        return dict(merged)

    def check_accept(self, job_id: str, request: JobRequest) -> Failure | None:
        """Return why a job would be refused now, or None.

        A job that is already known with the same content is not refused.
        """
        known = self._jobs.get(job_id)
        if known is not None:
            if known.request != request:
                return failures.KeyConflict(key=request.key, job_id=job_id)
            return None
        record = self._documents.get(request.service)
        if record is None:
            return failures.UnknownService(service=request.service)
        document = record.document
        if document.find_organisation(request.organisation) is None:
            return failures.UnknownOrganisation(
                service=request.service, organisation=request.organisation
            )
        payload_bytes = len(request.payload.encode())
        if payload_bytes > document.max_payload_bytes:
            return failures.PayloadTooLarge(
                payload_bytes=payload_bytes,
                max_payload_bytes=document.max_payload_bytes,
            )
        if self._queued_by_service[request.service] >= document.max_queued_jobs:
            return failures.QueueFull(
                service=request.service, max_queued_jobs=document.max_queued_jobs
            )
        return None

    def apply(self, index: int, command: commands.Command) -> Result[object, Failure]:
        """Apply one committed command.

        Parameters
        ----------
        index : int
            Log index of the command; one above the previous one.
        command : Command
            The command.

        Returns
        -------
        Result
            Result of the command, or why it had no effect.
        """
        self.applied_index = index
        match command:
            case commands.ApplyDocument():
                return self._apply_document(index, command)
            case commands.RegisterUpstream(announcement):
                self._upstreams[announcement.capacity.upstream_id] = announcement
                return Success(announcement)
            case commands.RemoveUpstream():
                return self._remove_upstream(command)
            case commands.AcceptJob():
                return self._accept_job(command)
            case commands.RequestCancel():
                return self._request_cancel(index, command)
            case commands.ExpireJobs(until_unix_s):
                return self._expire_jobs(until_unix_s)
            case commands.FinishJob():
                return self._finish_job(index, command)
        return self._apply_to_attempt(command)

    def skip(self, index: int) -> None:
        """Advance the applied index over a log entry without a command."""
        self.applied_index = index

    def _apply_document(
        self, index: int, command: commands.ApplyDocument
    ) -> Result[DocumentReply, Failure]:
        document = command.document
        current = self._documents.get(document.service)
        current_revision = current.document.revision if current else 0
        if current and current.document == document:
            return Success(DocumentReply(document, current.log_index))
        if document.revision != current_revision + 1:
            return ResultFailure(
                failures.RevisionConflict(
                    service=document.service,
                    revision=document.revision,
                    current_revision=current_revision,
                )
            )
        self._documents[document.service] = DocumentRecord(document, index)
        self._last_document_index = index
        return Success(DocumentReply(document, index))

    def _remove_upstream(
        self, command: commands.RemoveUpstream
    ) -> Result[object, Failure]:
        known = self._upstreams.get(command.upstream_id)
        if known is not None and known.incarnation == command.incarnation:
            del self._upstreams[command.upstream_id]
        return Success(None)

    def _accept_job(self, command: commands.AcceptJob) -> Result[JobRecord, Failure]:
        refusal = self.check_accept(command.job_id, command.request)
        if refusal is not None:
            return ResultFailure(refusal)
        if command.job_id not in self._jobs:
            record = JobRecord(
                command.job_id, command.request, command.accepted_at_unix_s
            )
            self._put(record)
        return Success(self._jobs[command.job_id])

    def _apply_to_attempt(
        self, command: commands.Command
    ) -> Result[JobRecord, Failure]:
        record = self._jobs.get(command.job_id)
        if record is None:
            return ResultFailure(failures.UnknownJob(job_id=command.job_id))
        if record.state.is_final:
            return ResultFailure(failures.JobAlreadyFinal(job_id=record.job_id))
        if isinstance(command, commands.RecordStart):
            return self._record_start(record, command)
        if record.assignment is None or record.attempt != command.attempt:
            return ResultFailure(failures.AttemptSuperseded(job_id=record.job_id))
        changed = attrs.evolve(record, state=JobState.ACCEPTED, assignment=None)
        match command:
            case commands.RecordStartRefuted():
                pass  # leaves ran_before as earlier attempts set it
            case commands.RecordCheckpoint(checkpoints=checkpoints):
                changed = attrs.evolve(
                    changed, checkpoints=checkpoints, ran_before=True
                )
            case commands.EndAttempt(counts=counts):
                counted = record.counted_attempts + int(counts)
                changed = attrs.evolve(
                    changed, counted_attempts=counted, ran_before=True
                )
        self._put(changed)
        return Success(changed)

    def _record_start(
        self, record: JobRecord, command: commands.RecordStart
    ) -> Result[JobRecord, Failure]:
        if record.assignment is not None:
            return ResultFailure(failures.AttemptSuperseded(job_id=record.job_id))
        if record.attempt is not None and command.attempt <= record.attempt:
            return ResultFailure(failures.AttemptSuperseded(job_id=record.job_id))
        if record.ran_before and not record.request.idempotent:
            return ResultFailure(failures.NonIdempotentRerun(job_id=record.job_id))
        changed = attrs.evolve(
            record,
            state=JobState.START_RECORDED,
            attempt=command.attempt,
            assignment=command.assignment,
            recorded_attempts=record.recorded_attempts + 1,
        )
        self._put(changed)
        return Success(changed)

    def _finish_job(
        self, index: int, command: commands.FinishJob
    ) -> Result[JobRecord, Failure]:
        record = self._jobs.get(command.job_id)
        if record is None:
            return ResultFailure(failures.UnknownJob(job_id=command.job_id))
        if record.state.is_final:
            return ResultFailure(failures.JobAlreadyFinal(job_id=record.job_id))
        current = record.attempt if record.assignment is not None else None
        if current != command.attempt:
            return ResultFailure(failures.AttemptSuperseded(job_id=record.job_id))
        self._end_job(
            index,
            attrs.evolve(
                record,
                state=command.state,
                assignment=None,
                ran_before=record.may_have_run,
                answer=command.answer,
                answer_sha256=command.answer_sha256,
                error=command.error,
                expires_at_unix_s=command.expires_at_unix_s,
            ),
        )
        return Success(self._jobs[command.job_id])

    def _request_cancel(
        self, index: int, command: commands.RequestCancel
    ) -> Result[object, Failure]:
        for job_id in command.job_ids:
            record = self._jobs.get(job_id)
            if record is None or record.state.is_final:
                continue
            if record.state is JobState.START_RECORDED:
                self._put(attrs.evolve(record, cancel_requested=True))
                continue
            error = ErrorBody(
                type="JobCancelled",
                message="cancelled by the caller",
                not_run=not record.may_have_run,
            )
            self._end_job(
                index,
                attrs.evolve(
                    record,
                    state=JobState.CANCELLED,
                    error=error,
                    expires_at_unix_s=command.expires_at_unix_s,
                ),
            )
        return Success(None)

    def _expire_jobs(self, until_unix_s: float) -> Result[int, Failure]:
        expired = [
            job_id
            for job_id, record in self._jobs.items()
            if record.expires_at_unix_s is not None
            and record.expires_at_unix_s <= until_unix_s
        ]
        for job_id in expired:
            del self._jobs[job_id]
        return Success(len(expired))

    def has_expired_jobs(self, until_unix_s: float) -> bool:
        """Tell whether `ExpireJobs` with this time would delete any record."""
        return any(
            record.expires_at_unix_s is not None
            and record.expires_at_unix_s <= until_unix_s
            for record in self._jobs.values()
        )

    def _end_job(self, index: int, record: JobRecord) -> None:
        self._put(record)
        if len(self._finished) == MAX_FINISHED_CHANGES:
            self._dropped_until_index = self._finished[0].log_index
        change = JobChange(record.job_id, record.state)
        self._finished.append(FinishedChange(index, change))

    def _put(self, record: JobRecord) -> None:
        previous = self._jobs.get(record.job_id)
        was_queued = previous is not None and previous.state is JobState.ACCEPTED
        is_queued = record.state is JobState.ACCEPTED
        self._queued_by_service[record.request.service] += int(is_queued) - int(
            was_queued
        )
        self._jobs[record.job_id] = record
        if record.state.is_final:
            self._open_job_ids.pop(record.job_id, None)
        else:
            self._open_job_ids.setdefault(record.job_id)

    def has_changes_after(self, index: int) -> bool:
        """Tell whether documents or ended jobs have changed after a log index."""
        if self._finished and self._finished[-1].log_index > index:
            return True
        return self._last_document_index > index

    def collect_changes(self, after_index: int) -> FeedReply:
        """Return the changes for an entry that has seen `after_index`.

        The reply is complete if the entry is new or missed dropped changes.
        """
        complete = after_index == 0 or after_index < self._dropped_until_index
        documents = tuple(
            record.document
            for record in self._documents.values()
            if complete or record.log_index > after_index
        )
        jobs: list[JobChange] = []
        if not complete:
            for finished in reversed(self._finished):
                if finished.log_index <= after_index:
                    break
                jobs.append(finished.change)
        return FeedReply(self.applied_index, complete, documents, tuple(jobs))

    def make_snapshot(self) -> StateSnapshot:
        """Return the complete state as one immutable value."""
        return StateSnapshot(
            applied_index=self.applied_index,
            documents=tuple(self._documents.values()),
            upstreams=tuple(self._upstreams.values()),
            jobs=tuple(self._jobs.values()),
        )

    @classmethod
    def from_snapshot(cls, snapshot: StateSnapshot) -> "SystemState":
        """Build the state from a snapshot."""
        state = cls()
        state.applied_index = snapshot.applied_index
        state._dropped_until_index = snapshot.applied_index
        state._load(snapshot.documents, snapshot.upstreams, snapshot.jobs)
        return state

    def _load(
        self,
        documents: Iterable[DocumentRecord],
        upstreams: Iterable[Announcement],
        jobs: Iterable[JobRecord],
    ) -> None:
        for document in documents:
            self._documents[document.document.service] = document
            self._last_document_index = max(
                self._last_document_index, document.log_index
            )
        for announcement in upstreams:
            self._upstreams[announcement.capacity.upstream_id] = announcement
        for record in jobs:
            self._put(record)

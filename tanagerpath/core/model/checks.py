"""Validation of a document or a job on its own."""

import math
from collections.abc import Iterator

import attrs
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.core.model.documents import (
    GuaranteedShape,
    OrganisationTerms,
    ServiceDocument,
)
from tanagerpath.core.model.jobs import JobRequest
from tanagerpath.core.model.rules import (
    Rule,
    find_violated,
    require_between,
    require_name,
    require_text,
)
from tanagerpath.errors import Failure, WrongField

__all__ = ["InvalidDocument", "InvalidJob", "check_document", "check_job"]

MAX_GANG_ACCELERATORS = 1024
MAX_KEY_CHARACTERS = 128
MAX_PAYLOAD_BYTES = 1024 * 1024
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# A gang on more than one upstream takes whole upstreams.
ACCELERATORS_PER_UPSTREAM = 8


@attrs.frozen(kw_only=True)
class InvalidDocument(WrongField):
    """A document violates a rule and is rejected as a whole."""

    @property
    def field_label(self) -> str:
        """The field as a message names it."""
        return f"document field {self.field!r}" if self.field else "document"


@attrs.frozen(kw_only=True)
class InvalidJob(WrongField):
    """A job violates a rule."""

    @property
    def field_label(self) -> str:
        """The field as a message names it."""
        return f"job field {self.field!r}"


def check_document(document: ServiceDocument) -> Result[ServiceDocument, Failure]:
    """Validate a whole document.

    Parameters
    ----------
    document : ServiceDocument
        The document.

    Returns
    -------
    Result
        The same document, or `InvalidDocument` for the first rule that it violates.
    """
    violated = find_violated(_list_document_rules(document))
    if violated is None:
        return Success(document)
    return ResultFailure(InvalidDocument(**violated.describe()))


def check_job(job: JobRequest) -> Result[JobRequest, Failure]:
    """Validate a job by itself.

    Parameters
    ----------
    job : JobRequest
        The job.

    Returns
    -------
    Result
        The same job, or `InvalidJob` for the first rule that it violates.
    """
    violated = find_violated(_list_job_rules(job))
    if violated is None:
        return Success(job)
    return ResultFailure(InvalidJob(**violated.describe()))


def _list_document_rules(document: ServiceDocument) -> Iterator[Rule]:
    yield require_name("service", document.service)
    yield require_between("revision", document.revision, 1)
    yield require_name("owner", document.owner)
    yield require_between("max_queued_jobs", document.max_queued_jobs, 1)
    yield require_between(
        "max_payload_bytes", document.max_payload_bytes, 0, MAX_PAYLOAD_BYTES
    )
    yield require_between(
        "max_answer_bytes", document.max_answer_bytes, 1, MAX_ANSWER_BYTES
    )
    yield require_between("max_attempts", document.max_attempts, 1, 100)
    seen: set[str] = set()
    for index, terms in enumerate(document.organisations):
        field = f"organisations[{index}]"
        yield from _list_terms_rules(field, terms)
        yield Rule(
            terms.name not in seen,
            f"{field}.name",
            terms.name,
            "each organisation only once",
        )
        seen.add(terms.name)


def _list_terms_rules(field: str, terms: OrganisationTerms) -> Iterator[Rule]:
    yield require_name(f"{field}.name", terms.name)
    yield require_between(f"{field}.quota_accelerators", terms.quota_accelerators, 0)
    for index, shape in enumerate(terms.guarantees):
        yield from _list_shape_rules(f"{field}.guarantees[{index}]", shape)
    total = sum(shape.accelerators * shape.count for shape in terms.guarantees)
    yield Rule(
        total <= terms.quota_accelerators,
        f"{field}.guarantees",
        total,
        f"a sum of at most quota_accelerators, which is {terms.quota_accelerators}",
    )


def _list_shape_rules(field: str, shape: GuaranteedShape) -> Iterator[Rule]:
    size = shape.accelerators
    yield require_between(f"{field}.accelerators", size, 1, MAX_GANG_ACCELERATORS)
    yield Rule(
        size <= ACCELERATORS_PER_UPSTREAM or size % ACCELERATORS_PER_UPSTREAM == 0,
        f"{field}.accelerators",
        size,
        f"a multiple of {ACCELERATORS_PER_UPSTREAM} above {ACCELERATORS_PER_UPSTREAM}",
    )
    yield require_between(f"{field}.count", shape.count, 1)
    if shape.availability_zone is not None:
        yield require_name(f"{field}.availability_zone", shape.availability_zone)


def _list_job_rules(job: JobRequest) -> Iterator[Rule]:
    yield require_name("organisation", job.organisation)
    yield require_name("service", job.service)
    yield Rule(
        1 <= len(job.key) <= MAX_KEY_CHARACTERS,
        "key",
        job.key,
        f"1 to {MAX_KEY_CHARACTERS} characters",
    )
    yield require_text("key", job.key)
    yield require_between("accelerators", job.accelerators, 1, MAX_GANG_ACCELERATORS)
    yield require_text("payload", job.payload)
    if job.deadline_unix_s is not None:
        yield Rule(
            math.isfinite(job.deadline_unix_s) and job.deadline_unix_s > 0,
            "deadline_unix_s",
            job.deadline_unix_s,
            "a finite number of UTC seconds above 0",
        )
    yield Rule(
        math.isfinite(job.expected_run_s) and job.expected_run_s > 0,
        "expected_run_s",
        job.expected_run_s,
        "a finite number of seconds above 0",
    )
    yield require_between("cores", job.cores, 0)
    yield require_between("memory_bytes", job.memory_bytes, 0)

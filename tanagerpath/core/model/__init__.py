"""Value types shared by the core: topology, jobs and documents."""

from tanagerpath.core.model.checks import (
    InvalidDocument,
    InvalidJob,
    check_document,
    check_job,
)
from tanagerpath.core.model.documents import (
    GuaranteedShape,
    OrganisationTerms,
    ServiceDocument,
)
from tanagerpath.core.model.jobs import AttemptId, JobClass, JobRequest, JobState
from tanagerpath.core.model.topology import (
    UPSTREAMS_PER_RACK,
    AcceleratorRun,
    Assignment,
    UpstreamCapacity,
    UpstreamLocation,
)

__all__ = [
    "UPSTREAMS_PER_RACK",
    "AcceleratorRun",
    "Assignment",
    "AttemptId",
    "GuaranteedShape",
    "InvalidDocument",
    "InvalidJob",
    "JobClass",
    "JobRequest",
    "JobState",
    "OrganisationTerms",
    "ServiceDocument",
    "UpstreamCapacity",
    "UpstreamLocation",
    "check_document",
    "check_job",
]

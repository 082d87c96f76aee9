"""Value types shared by the core: topology, jobs and documents."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "checks": [
            "InvalidDocument",
            "InvalidJob",
            "check_document",
            "check_job",
        ],
        "documents": [
            "GuaranteedShape",
            "OrganisationTerms",
            "ServiceDocument",
        ],
        "jobs": [
            "AttemptId",
            "JobClass",
            "JobRequest",
            "JobState",
        ],
        "topology": [
            "UPSTREAMS_PER_RACK",
            "AcceleratorRun",
            "Assignment",
            "UpstreamCapacity",
            "UpstreamLocation",
        ],
    },
)

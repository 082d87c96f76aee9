"""Service documents: one for each service, maintained by the team that owns it."""

import attrs

__all__ = ["GuaranteedShape", "OrganisationTerms", "ServiceDocument"]


@attrs.frozen
class GuaranteedShape:
    """A number of equal runs of adjacent accelerators guaranteed to an organisation.

    Attributes
    ----------
    accelerators : int
        Adjacent accelerators of each run.
    count : int
        Number of disjoint runs.
    availability_zone : str or None
        Zone in which the runs must be; None for any.
    """

    accelerators: int
    count: int = 1
    availability_zone: str | None = None


@attrs.frozen
class OrganisationTerms:
    """What one organisation may use of a service.

    Attributes
    ----------
    name : str
        Name of the organisation.
    quota_accelerators : int
        Accelerators that the organisation may hold at the same time.
    guarantees : tuple of GuaranteedShape
        Shapes that can always be claimed.
    """

    name: str
    quota_accelerators: int
    guarantees: tuple[GuaranteedShape, ...] = ()


@attrs.frozen
class ServiceDocument:
    """The declaration of a service.

    Attributes
    ----------
    service : str
        Name of the service.
    revision : int
        Number of this version, from 1; each change adds one.
    owner : str
        Team that maintains the document.
    organisations : tuple of OrganisationTerms
        Who may use the service.
    max_queued_jobs : int
        Jobs that may wait at the same time for the whole service.
    max_payload_bytes, max_answer_bytes : int
        Largest payload and answer.
    max_attempts : int
        Attempts for an idempotent job before it ends as failed.
    """

    service: str
    revision: int
    owner: str
    organisations: tuple[OrganisationTerms, ...] = ()
    max_queued_jobs: int = 10_000
    max_payload_bytes: int = 65_536
    max_answer_bytes: int = 262_144
    max_attempts: int = 4

    def find_organisation(self, name: str) -> OrganisationTerms | None:
        """Return the terms of an organisation, or None if it has none."""
        for terms in self.organisations:
            if terms.name == name:
                return terms
        return None

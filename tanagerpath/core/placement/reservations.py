"""Reservations for large jobs, around which smaller jobs are backfilled."""

import attrs

from tanagerpath.core.model import Assignment
from tanagerpath.core.placement.geometry import make_mask

__all__ = ["Reservation", "ReservationTable"]


@attrs.define
class Reservation:
    """A run that is reserved for a waiting job from an estimated instant on.

    Attributes
    ----------
    job_id : str
        The waiting job.
    assignment : Assignment
        The reserved run.
    available_at_s : float
        Estimated instant at which the run is free for the job.
    """

    job_id: str
    assignment: Assignment
    available_at_s: float


@attrs.define
class ReservationTable:
    """Reservations by job and by upstream.

    `searched_at_s`, `preemption_searched_at_s` and `plan_reviewed_at_s` are the
    instants of each waiting job's last search, successful or not, for a reservation,
    for jobs to preempt, and for another packing of the planned runs.
    """

    by_job: dict[str, Reservation] = attrs.field(factory=dict)
    searched_at_s: dict[str, float] = attrs.field(factory=dict)
    preemption_searched_at_s: dict[str, float] = attrs.field(factory=dict)
    plan_reviewed_at_s: dict[str, float] = attrs.field(factory=dict)
    _by_upstream: dict[str, list[tuple[int, Reservation]]] = attrs.field(factory=dict)

    def set(self, reservation: Reservation) -> None:
        """Add the reservation of a job or replace it."""
        self.remove(reservation.job_id)
        self.by_job[reservation.job_id] = reservation
        for run in reservation.assignment.runs:
            entries = self._by_upstream.setdefault(run.upstream_id, [])
            entries.append((make_mask(run.first, run.count), reservation))

    def remove(self, job_id: str) -> None:
        """Remove the reservation of a job."""
        reservation = self.by_job.pop(job_id, None)
        if reservation is None:
            return
        for run in reservation.assignment.runs:
            entries = self._by_upstream[run.upstream_id]
            entries[:] = [entry for entry in entries if entry[1] is not reservation]
            if not entries:
                del self._by_upstream[run.upstream_id]

    def forget(self, job_id: str) -> None:
        """Drop the state of a job that no longer waits."""
        self.remove(job_id)
        self.searched_at_s.pop(job_id, None)
        self.preemption_searched_at_s.pop(job_id, None)
        self.plan_reviewed_at_s.pop(job_id, None)

    def remove_on(self, upstream_id: str) -> None:
        """Remove all reservations that use an upstream."""
        for _, reservation in list(self._by_upstream.get(upstream_id, ())):
            self.remove(reservation.job_id)

    def find_reserved_mask(
        self, upstream_id: str, job_id: str, ends_at_s: float
    ) -> int:
        """Return the mask of accelerators reserved for others before a job ends."""
        reserved = 0
        for mask, reservation in self._by_upstream.get(upstream_id, ()):
            if reservation.job_id != job_id and ends_at_s > reservation.available_at_s:
                reserved |= mask
        return reserved

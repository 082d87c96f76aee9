"""Dated reservations for large jobs, around which smaller ones are backfilled."""

import attrs

from tanagerpath.core.model import Assignment
from tanagerpath.core.placement.geometry import make_mask

__all__ = ["Reservation", "ReservationTable"]


@attrs.define
class Reservation:
    """A run that is kept for a waiting job from a date on.

    Attributes
    ----------
    job_id : str
        The waiting job.
    assignment : Assignment
        The reserved run.
    date_s : float
        Estimated instant at which the run is free.
    """

    job_id: str
    assignment: Assignment
    date_s: float


@attrs.define
class ReservationTable:
    """Reservations by job and by upstream.

    `searched_at_s`, `cleared_at_s` and `plan_reviewed_at_s` are the instants at which a
    reservation, a run to be cleared by preemption, and another plan of the guaranteed
    runs were last searched for each waiting job, found or not.
    """

    by_job: dict[str, Reservation] = attrs.field(factory=dict)
    searched_at_s: dict[str, float] = attrs.field(factory=dict)
    cleared_at_s: dict[str, float] = attrs.field(factory=dict)
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
        """Give up the reservation of a job."""
        reservation = self.by_job.pop(job_id, None)
        if reservation is None:
            return
        for run in reservation.assignment.runs:
            entries = self._by_upstream[run.upstream_id]
            entries[:] = [entry for entry in entries if entry[1] is not reservation]
            if not entries:
                del self._by_upstream[run.upstream_id]

    def forget(self, job_id: str) -> None:
        """Drop all that is known of a job that waits no more."""
        self.remove(job_id)
        self.searched_at_s.pop(job_id, None)
        self.cleared_at_s.pop(job_id, None)
        self.plan_reviewed_at_s.pop(job_id, None)

    def remove_on(self, upstream_id: str) -> None:
        """Give up all reservations that use an upstream."""
        for _, reservation in list(self._by_upstream.get(upstream_id, ())):
            self.remove(reservation.job_id)

    def find_closed(self, upstream_id: str, job_id: str, ends_at_s: float) -> int:
        """Return the accelerators, as a mask, reserved before a job would end."""
        closed = 0
        for mask, reservation in self._by_upstream.get(upstream_id, ()):
            if reservation.job_id != job_id and ends_at_s > reservation.date_s:
                closed |= mask
        return closed

"""What the leader knows about each upstream, and its lease."""

import attrs

from tanagerpath.core.coordination.messages import CallUpstream
from tanagerpath.core.placement import UpstreamCondition
from tanagerpath.core.protocol.upstreams import (
    Announcement,
    RenewReply,
    RenewRequest,
)

__all__ = ["LeaseTerms", "UpstreamSession"]


@attrs.frozen
class LeaseTerms:
    """Durations that govern leases, in seconds.

    Attributes
    ----------
    lease_s : float
        Length of a lease.
    renew_interval_s : float
        Time between renewals.
    clock_margin_s : float
        Added to the end of a lease for clocks that run at different rates.
    silence_s : float
        An upstream that has not replied for this long gets no new work.
    """

    lease_s: float = 6.0
    renew_interval_s: float = 1.0
    clock_margin_s: float = 0.5
    silence_s: float = 2.5


@attrs.define
class UpstreamSession:
    """Volatile view of one upstream.

    `lease_expires_at_s` is the latest instant at which the upstream may still run tasks
    if it hears nothing more. It follows from the instant at which the reply arrived
    whose clock value the last renewal echoed, so a delayed renewal cannot extend it.
    """

    announcement: Announcement
    lease_expires_at_s: float
    next_renew_at_s: float
    basis_clock_ms: int = 0
    basis_received_at_s: float | None = None
    replied_at_s: float | None = None
    leaving: bool = False
    renewal_in_flight: bool = False
    renewal_sent_at_s: float = 0.0

    @property
    def upstream_id(self) -> str:
        """Id of the upstream."""
        return self.announcement.capacity.upstream_id

    def find_condition(self, now_s: float, terms: LeaseTerms) -> UpstreamCondition:
        """Tell whether new work may go to the upstream."""
        if self.replied_at_s is None or now_s - self.replied_at_s > terms.silence_s:
            return UpstreamCondition.LOST
        if self.leaving:
            return UpstreamCondition.DRAINING
        return UpstreamCondition.USABLE

    def call(self, request: object) -> CallUpstream:
        """Address a request to this incarnation of the upstream."""
        return CallUpstream(
            self.upstream_id,
            self.announcement.incarnation,
            self.announcement.address,
            request,
        )

    def renew(self, term: int, now_s: float, terms: LeaseTerms) -> CallUpstream:
        """Make the next renewal and note the lease that it may grant."""
        self.renewal_in_flight = True
        self.renewal_sent_at_s = now_s
        self.next_renew_at_s = now_s + terms.renew_interval_s
        if self.basis_received_at_s is not None:
            granted_s = self.basis_received_at_s + terms.lease_s + terms.clock_margin_s
            self.lease_expires_at_s = max(self.lease_expires_at_s, granted_s)
        return self.call(
            RenewRequest(
                term=term,
                incarnation=self.announcement.incarnation,
                basis_clock_ms=self.basis_clock_ms,
                lease_duration_ms=round(terms.lease_s * 1000),
            )
        )

    def take_reply(self, reply: RenewReply, now_s: float) -> bool:
        """Note the reply to a renewal; return True if it was the first one."""
        first = self.replied_at_s is None
        self.renewal_in_flight = False
        self.replied_at_s = now_s
        self.leaving = self.leaving or reply.leaving
        self.basis_clock_ms = reply.clock_ms
        self.basis_received_at_s = now_s
        if first:
            # The first lease is granted at once, so that work can start.
            self.next_renew_at_s = now_s
        return first

"""The leader's session with each upstream, and its lease."""

import attrs

from tanagerpath.core.coordination.messages import CallUpstream
from tanagerpath.core.placement import UpstreamCondition
from tanagerpath.core.protocol.upstreams import (
    Announcement,
    RenewReply,
    RenewRequest,
)

__all__ = ["LeaseConfig", "UpstreamSession"]


@attrs.frozen
class LeaseConfig:
    """Timing of leases, in seconds.

    Attributes
    ----------
    lease_s : float
        Duration of a lease.
    renew_interval_s : float
        Time between renewals.
    clock_margin_s : float
        Added to the lease expiry because clocks run at different rates.
    unreachable_after_s : float
        Time without a reply after which an upstream gets no new work.
    """

    lease_s: float = 6.0
    renew_interval_s: float = 1.0
    clock_margin_s: float = 0.5
    unreachable_after_s: float = 2.5


@attrs.define
class UpstreamSession:
    """Volatile state of one upstream.

    `lease_margin_ends_at_s`, the lease expiry plus the clock margin, is the latest time
    at which the upstream may still run tasks without a further renewal. It counts from
    the arrival of the reply whose clock value the last renewal echoed, so a delayed
    renewal cannot extend it.
    """

    announcement: Announcement
    lease_margin_ends_at_s: float
    next_renew_at_s: float
    basis_clock_ms: int = 0
    basis_received_at_s: float | None = None
    replied_at_s: float | None = None
    leaving: bool = False
    renewal_expires_at_s: float = 0.0
    renewal_sent_at_s: float = 0.0

    @property
    def upstream_id(self) -> str:
        """Id of the upstream."""
        return self.announcement.capacity.upstream_id

    def find_condition(self, now_s: float, config: LeaseConfig) -> UpstreamCondition:
        """Return whether the upstream is lost, draining or usable for new work."""
        if (
            self.replied_at_s is None
            or now_s - self.replied_at_s > config.unreachable_after_s
        ):
            return UpstreamCondition.LOST
        if self.leaving:
            return UpstreamCondition.DRAINING
        return UpstreamCondition.USABLE

    def make_call(self, request: object) -> CallUpstream:
        """Return a call of this incarnation of the upstream."""
        return CallUpstream(
            self.upstream_id,
            self.announcement.incarnation,
            self.announcement.address,
            request,
        )

    def begin_renewal(
        self, term: int, now_s: float, config: LeaseConfig
    ) -> CallUpstream:
        """Return the next renewal and extend the lease that it may grant."""
        # The result of the call can be lost on its way here.
        self.renewal_expires_at_s = now_s + config.unreachable_after_s
        self.renewal_sent_at_s = now_s
        self.next_renew_at_s = now_s + config.renew_interval_s
        if self.basis_received_at_s is not None:
            granted_s = (
                self.basis_received_at_s + config.lease_s + config.clock_margin_s
            )
            self.lease_margin_ends_at_s = max(self.lease_margin_ends_at_s, granted_s)
        return self.make_call(
            RenewRequest(
                term=term,
                incarnation=self.announcement.incarnation,
                basis_clock_ms=self.basis_clock_ms,
                lease_duration_ms=round(config.lease_s * 1000),
            )
        )

    def handle_reply(self, reply: RenewReply, now_s: float) -> bool:
        """Process the reply to a renewal; return True if it was the first one."""
        first = self.replied_at_s is None
        self.renewal_expires_at_s = 0.0
        self.replied_at_s = now_s
        self.leaving = self.leaving or reply.leaving
        self.basis_clock_ms = reply.clock_ms
        self.basis_received_at_s = now_s
        if first:
            # Grants the first lease at once, so that work can start.
            self.next_renew_at_s = now_s
        return first

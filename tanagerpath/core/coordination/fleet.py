"""Sessions of all upstreams on the leader."""

from collections.abc import Iterable

import attrs

from tanagerpath.core.coordination.messages import CallUpstream, Instant
from tanagerpath.core.coordination.sessions import LeaseConfig, UpstreamSession
from tanagerpath.core.placement import Scheduler, UpstreamCondition
from tanagerpath.core.protocol.upstreams import Announcement, RenewReply

__all__ = ["Fleet"]


class Fleet:
    """Keeps a session for each upstream, renews leases and updates the scheduler.

    Parameters
    ----------
    announcements : iterable of Announcement
        Upstreams in the replicated state.
    scheduler : Scheduler
        Notified of each change of an upstream's condition.
    config : LeaseConfig
        Lease timing.
    term : int
        Term of the leader.
    now : Instant
        Time at which this leader took over.
    """

    def __init__(
        self,
        announcements: Iterable[Announcement],
        scheduler: Scheduler,
        config: LeaseConfig,
        term: int,
        now: Instant,
    ) -> None:
        self._scheduler = scheduler
        self._config = config
        self._term = term
        # The previous leader may have renewed leases just before this one took over.
        self._previous_margin_end_s = now.now_s + config.lease_s + config.clock_margin_s
        self._sessions: dict[str, UpstreamSession] = {}
        self._conditions: dict[str, UpstreamCondition] = {}
        for announcement in announcements:
            self.register(announcement, now)

    @property
    def sessions(self) -> dict[str, UpstreamSession]:
        """Sessions by upstream id; callers must not modify the dict."""
        return self._sessions

    def register(self, announcement: Announcement, now: Instant) -> None:
        """Add an upstream or replace its session by one for a new incarnation.

        Announcements may arrive out of order, so only a reply to a renewal shows which
        incarnation has ended.
        """
        upstream_id = announcement.capacity.upstream_id
        known = self._sessions.get(upstream_id)
        replaced = False
        if known is not None:
            if known.announcement == announcement:
                return
            replaced = known.announcement.incarnation != announcement.incarnation
        if known is None or replaced:
            self._sessions[upstream_id] = UpstreamSession(
                announcement,
                lease_margin_ends_at_s=self._find_earlier_margin_end_s(known),
                next_renew_at_s=now.now_s,
            )
        else:
            known.announcement = announcement
        self._update_condition(upstream_id, now, force=True)

    def _find_earlier_margin_end_s(self, known: UpstreamSession | None) -> float:
        """Return the margin's end for a lease that an earlier incarnation may hold."""
        if known is None:
            return self._previous_margin_end_s
        return max(self._previous_margin_end_s, known.lease_margin_ends_at_s)

    def remove(self, upstream_id: str) -> None:
        """Remove an upstream that has left."""
        if self._sessions.pop(upstream_id, None) is not None:
            del self._conditions[upstream_id]
            self._scheduler.remove_upstream(upstream_id)

    def find(self, upstream_id: str, incarnation: str = "") -> UpstreamSession | None:
        """Return the session, None for another incarnation; "" matches any."""
        session = self._sessions.get(upstream_id)
        if session is None:
            return None
        if incarnation and session.announcement.incarnation != incarnation:
            return None
        return session

    def is_past_clock_margin(self, upstream_id: str, now: Instant) -> bool:
        """Tell whether the upstream must have stopped all its tasks by now."""
        return now.now_s >= self._find_margin_end_s(upstream_id)

    def has_lease_expired(self, upstream_id: str, now: Instant) -> bool:
        """Tell whether the lease has expired, before the clock margin is added.

        The result of a task there is lost, but its accelerators are not free yet.
        """
        margin_s = self._config.clock_margin_s
        return now.now_s >= self._find_margin_end_s(upstream_id) - margin_s

    def _find_margin_end_s(self, upstream_id: str) -> float:
        session = self._sessions.get(upstream_id)
        if session is None:
            return self._previous_margin_end_s
        return session.lease_margin_ends_at_s

    def handle_reply(
        self, session: UpstreamSession, reply: RenewReply, now: Instant
    ) -> list[CallUpstream]:
        """Process the reply to a renewal; grant the first lease at once."""
        first = session.handle_reply(reply, now.now_s)
        self._update_condition(session.upstream_id, now)
        if first and now.has_lease:
            return [session.begin_renewal(self._term, now.now_s, self._config)]
        return []

    def correct_incarnation(
        self, session: UpstreamSession, incarnation: str
    ) -> Announcement:
        """Return the announcement with the incarnation that answered a renewal.

        The announcement of an older incarnation arrived after the current one's. The
        upstream receives renewals, so it does not announce itself again.
        """
        self.mark_renewal_failed(session)
        return attrs.evolve(session.announcement, incarnation=incarnation)

    def mark_renewal_failed(self, session: UpstreamSession) -> None:
        """Mark the renewal in flight as failed."""
        session.renewal_expires_at_s = 0.0

    def mark_leaving(self, upstream_id: str, now: Instant) -> None:
        """Mark an upstream as leaving, so that it gets no new work."""
        self._sessions[upstream_id].leaving = True
        self._update_condition(upstream_id, now)

    def renew_due_leases(self, now: Instant) -> list[CallUpstream]:
        """Renew all leases that are due, if this process holds the leader lease."""
        calls: list[CallUpstream] = []
        for session in self._sessions.values():
            self._update_condition(session.upstream_id, now)
            due_at_s = max(session.next_renew_at_s, session.renewal_expires_at_s)
            if due_at_s <= now.now_s and now.has_lease:
                calls.append(session.begin_renewal(self._term, now.now_s, self._config))
        return calls

    def _update_condition(
        self, upstream_id: str, now: Instant, force: bool = False
    ) -> None:
        session = self._sessions[upstream_id]
        condition = session.find_condition(now.now_s, self._config)
        if not force and self._conditions.get(upstream_id) is condition:
            return
        self._conditions[upstream_id] = condition
        self._scheduler.update_upstream(
            session.announcement.capacity, condition, now.now_s
        )

    def find_condition(self, upstream_id: str) -> UpstreamCondition:
        """Return the condition last reported to the scheduler."""
        return self._conditions[upstream_id]

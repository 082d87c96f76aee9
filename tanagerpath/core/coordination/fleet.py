"""All upstreams as the leader sees them."""

from collections.abc import Iterable

import attrs

from tanagerpath.core.coordination.messages import CallUpstream, Instant
from tanagerpath.core.coordination.sessions import LeaseTerms, UpstreamSession
from tanagerpath.core.placement import Scheduler, UpstreamCondition
from tanagerpath.core.protocol.upstreams import Announcement, RenewReply

__all__ = ["Fleet"]


class Fleet:
    """Keeps a session for each upstream, renews leases and tells the scheduler.

    Parameters
    ----------
    announcements : iterable of Announcement
        Upstreams in the replicated state.
    scheduler : Scheduler
        Told about each change of an upstream's condition.
    terms : LeaseTerms
        Lease durations.
    term : int
        Term of the leader.
    now : Instant
        Instant at which this leader took over.
    """

    def __init__(
        self,
        announcements: Iterable[Announcement],
        scheduler: Scheduler,
        terms: LeaseTerms,
        term: int,
        now: Instant,
    ) -> None:
        self._scheduler = scheduler
        self._terms = terms
        self._term = term
        # An earlier leader may have renewed just before this one took over.
        self._inherited_until_s = now.now_s + terms.lease_s + terms.clock_margin_s
        self._sessions: dict[str, UpstreamSession] = {}
        self._conditions: dict[str, UpstreamCondition] = {}
        for announcement in announcements:
            self.register(announcement, now)

    @property
    def sessions(self) -> dict[str, UpstreamSession]:
        """Sessions by upstream id; not to be changed by the caller."""
        return self._sessions

    def register(self, announcement: Announcement, now: Instant) -> None:
        """Take in an upstream or its new incarnation.

        The announcement may be a late one, so only a reply to a renewal shows which
        incarnation is gone.
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
                lease_expires_at_s=self._find_earlier_lease_end_s(known),
                next_renew_at_s=now.now_s,
            )
        else:
            known.announcement = announcement
        self._update_condition(upstream_id, now, force=True)

    def _find_earlier_lease_end_s(self, known: UpstreamSession | None) -> float:
        """Return the end of the lease that an earlier incarnation may still hold."""
        if known is None:
            return self._inherited_until_s
        return max(self._inherited_until_s, known.lease_expires_at_s)

    def remove(self, upstream_id: str) -> None:
        """Forget an upstream that has left."""
        if self._sessions.pop(upstream_id, None) is not None:
            del self._conditions[upstream_id]
            self._scheduler.remove_upstream(upstream_id)

    def find(self, upstream_id: str, incarnation: str = "") -> UpstreamSession | None:
        """Return the session of an upstream, if it is of this incarnation."""
        session = self._sessions.get(upstream_id)
        if session is None:
            return None
        if incarnation and session.announcement.incarnation != incarnation:
            return None
        return session

    def has_lease_ended(self, upstream_id: str, now: Instant) -> bool:
        """Tell whether the upstream has certainly stopped all tasks by itself."""
        return now.now_s >= self._find_lease_end_s(upstream_id)

    def has_lease_run_out(self, upstream_id: str, now: Instant) -> bool:
        """Tell whether the lease is over but for the clock margin.

        Whatever runs there is of no use any more, but the accelerators are not free.
        """
        margin_s = self._terms.clock_margin_s
        return now.now_s >= self._find_lease_end_s(upstream_id) - margin_s

    def _find_lease_end_s(self, upstream_id: str) -> float:
        session = self._sessions.get(upstream_id)
        if session is None:
            return self._inherited_until_s
        return session.lease_expires_at_s

    def take_reply(
        self, session: UpstreamSession, reply: RenewReply, now: Instant
    ) -> list[CallUpstream]:
        """Note a renewal's reply; grants the first lease at once."""
        first = session.take_reply(reply, now.now_s)
        self._update_condition(session.upstream_id, now)
        if first and now.has_lease:
            return [session.renew(self._term, now.now_s, self._terms)]
        return []

    def correct_incarnation(
        self, session: UpstreamSession, incarnation: str
    ) -> Announcement:
        """Return the announcement of who answers a renewal in place of the known one.

        A late announcement of an older incarnation came last. The upstream sees
        renewals, so it does not announce itself again.
        """
        self.note_silence(session)
        return attrs.evolve(session.announcement, incarnation=incarnation)

    def note_silence(self, session: UpstreamSession) -> None:
        """Note that a renewal got no reply."""
        session.renewal_in_flight = False

    def mark_leaving(self, upstream_id: str, now: Instant) -> None:
        """Send nothing new to an upstream."""
        self._sessions[upstream_id].leaving = True
        self._update_condition(upstream_id, now)

    def renew_due(self, now: Instant) -> list[CallUpstream]:
        """Renew all leases that are due; nothing without the leader's lease."""
        calls: list[CallUpstream] = []
        for session in self._sessions.values():
            self._update_condition(session.upstream_id, now)
            due = session.next_renew_at_s <= now.now_s
            if due and not session.renewal_in_flight and now.has_lease:
                calls.append(session.renew(self._term, now.now_s, self._terms))
        return calls

    def _update_condition(
        self, upstream_id: str, now: Instant, force: bool = False
    ) -> None:
        session = self._sessions[upstream_id]
        condition = session.find_condition(now.now_s, self._terms)
        if not force and self._conditions.get(upstream_id) is condition:
            return
        self._conditions[upstream_id] = condition
        self._scheduler.update_upstream(
            session.announcement.capacity, condition, now.now_s
        )

    def find_condition(self, upstream_id: str) -> UpstreamCondition:
        """Return the last condition told to the scheduler."""
        return self._conditions[upstream_id]

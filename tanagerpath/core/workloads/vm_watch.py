"""Reads from the platform whether upstreams that do not reply are gone."""

import attrs

from tanagerpath.core.coordination import CallUpstream, Propose
from tanagerpath.core.workloads.commands import WithdrawUpstream
from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.orders import VmListReply, VmListRequest, VmStatus
from tanagerpath.core.workloads.sessions import UpstreamSession

__all__ = ["VmWatch"]

CALL_TIMEOUT_S = 1.0
# Silence after which an upstream with runs is looked up.
SUSPECT_AFTER_S = 0.5
# Many upstreams that fall silent one after the other are looked up together.
MIN_READ_INTERVAL_S = 0.2
FIRST_READ_INTERVAL_S = 0.5
# A partition may last for long, and the platform limits the reads of all processes.
MAX_READ_INTERVAL_S = 4.0
# A list that never ends must not be read for ever.
MAX_PAGES = 1000
# Lists in a row without a VM after which it is gone. An entry can move to a page that
# was read already while the list is read.
LISTS_WITHOUT_VM = 2


@attrs.define
class _Reading:
    """A list that is being read, and the upstreams that it is read for."""

    began_s: float
    request: VmListRequest
    call_expires_s: float
    suspects: dict[str, str]
    statuses: dict[str, VmStatus] = attrs.Factory(dict)
    pages: int = 0
    is_whole: bool = True


class VmWatch:
    """Withdraws upstreams whose VM is down, no longer listed, or has another upstream.

    Without it, the runs of an upstream that has left without a word are known to have
    ended only when their lease expires. Silence alone proves nothing: the upstream may
    be cut off and run on.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._reading: _Reading | None = None
        # Lists in a row that lack the VM of a suspect, by incarnation.
        self._lists_without: dict[str, int] = {}
        self._looked_up: dict[str, str] = {}
        self._interval_s = FIRST_READ_INTERVAL_S
        self._last_read_s = 0.0
        self._next_read_s = 0.0

    def advance(self) -> None:
        """Read the list of VMs if an upstream with runs does not reply."""
        context = self._context
        if not context.terms.platform_address:
            return
        if self._reading is not None:
            if context.now_s >= self._reading.call_expires_s:
                self._reading = None
            return
        if context.now_s < self._last_read_s + MIN_READ_INTERVAL_S:
            return
        suspects = self._list_suspects()
        if not suspects.items() <= self._looked_up.items():
            self._interval_s = FIRST_READ_INTERVAL_S
        elif not suspects or context.now_s < self._next_read_s:
            return
        self._looked_up = suspects
        self._last_read_s = context.now_s
        self._next_read_s = context.now_s + self._interval_s
        self._interval_s = min(2 * self._interval_s, MAX_READ_INTERVAL_S)
        request = VmListRequest()
        self._reading = _Reading(context.now_s, request, self._call(request), suspects)

    def _list_suspects(self) -> dict[str, str]:
        """Return the incarnation of each silent upstream with runs."""
        silent_since_s = self._context.now_s - SUSPECT_AFTER_S
        return {
            session.upstream_id: session.record.incarnation
            for session in self._context.sessions.values()
            if not session.reachable
            and session.runs
            and session.departed_at_s is None
            and session.last_contact_s <= silent_since_s
        }

    def _call(self, request: VmListRequest) -> float:
        """Send a request; return the time after which its reply counts as lost."""
        context = self._context
        address = context.terms.platform_address
        context.add_effect(CallUpstream("", "", address, request, CALL_TIMEOUT_S))
        return context.find_call_expiry_s(CALL_TIMEOUT_S)

    def handle_reply(self, request: VmListRequest, reply: VmListReply) -> None:
        """Read the next page, or act on the whole list."""
        reading = self._reading
        if reading is None or request is not reading.request:
            return
        reading.statuses.update((status.vm_id, status) for status in reply.vms)
        reading.pages += 1
        reading.is_whole = reading.is_whole and reply.is_whole
        if reply.next_token and reading.pages < MAX_PAGES:
            reading.request = VmListRequest(page_token=reply.next_token)
            reading.call_expires_s = self._call(reading.request)
            return
        self._reading = None
        reading.is_whole = reading.is_whole and not reply.next_token
        self._count_missing(reading)
        for upstream_id, incarnation in reading.suspects.items():
            session = self._context.find_session(upstream_id, incarnation)
            if session is not None:
                self._judge(session, reading)

    def handle_failure(self, request: VmListRequest, reason: str) -> None:
        """Give the list up; it is read again if it is still needed."""
        if self._reading is not None and request is self._reading.request:
            self._reading = None
        self._context.log_decision("list of VMs not read", reason=reason)

    def _count_missing(self, reading: _Reading) -> None:
        """Count the whole lists in a row that lack the VM of each suspect."""
        counts = {}
        for upstream_id, incarnation in reading.suspects.items():
            session = self._context.find_session(upstream_id, incarnation)
            if session is None or session.record.vm_id in reading.statuses:
                continue
            # A list without any VM or with odd entries says nothing about others.
            if reading.statuses and reading.is_whole and session.record.vm_id:
                counts[incarnation] = self._lists_without.get(incarnation, 0) + 1
        self._lists_without = counts

    def _is_gone(self, session: UpstreamSession, reading: _Reading) -> bool:
        """Return whether the list proves that nothing runs on an upstream any more.

        A list that was requested before the last message of the upstream proves
        nothing, and neither does a VM that is up without naming its upstream.
        """
        if session.last_contact_s >= reading.began_s or not session.record.vm_id:
            return False
        status = reading.statuses.get(session.record.vm_id)
        if status is None:
            missing = self._lists_without.get(session.record.incarnation, 0)
            return missing >= LISTS_WITHOUT_VM
        if not status.is_up:
            return True
        return status.upstream_id not in ("", session.upstream_id)

    def _judge(self, session: UpstreamSession, reading: _Reading) -> None:
        """Withdraw an upstream if it is gone."""
        context = self._context
        is_gone = self._is_gone(session, reading)
        status = reading.statuses.get(session.record.vm_id)
        context.log_decision(
            "upstream gone" if is_gone else "silent upstream looked up",
            upstream=session.upstream_id,
            incarnation=session.record.incarnation,
            vm=session.record.vm_id,
            listed=status is not None,
            vm_up=status is not None and status.is_up,
            upstream_there=status.upstream_id if status else "",
            silent_s=round(context.now_s - session.last_contact_s, 3),
            read_s=round(context.now_s - reading.began_s, 3),
            runs=len(session.runs),
        )
        if is_gone:
            incarnation = session.record.incarnation
            command = WithdrawUpstream(session.upstream_id, incarnation)
            context.add_effect(Propose(command))

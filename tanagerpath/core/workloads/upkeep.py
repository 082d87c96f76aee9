"""Upkeep (maintenance) of VMs in waves, without interrupting work if possible."""

import attrs

from tanagerpath.core.coordination import CallUpstream, Propose
from tanagerpath.core.workloads.availability import count_unavailable
from tanagerpath.core.workloads.commands import RecordUpkeep
from tanagerpath.core.workloads.dispatch_context import DispatchContext
from tanagerpath.core.workloads.orders import (
    OrderDone,
    OrderRefused,
    Refusal,
    UpkeepRequest,
)
from tanagerpath.core.workloads.records import WaveRecord
from tanagerpath.core.workloads.run_driver import RunDriver
from tanagerpath.core.workloads.runs import StopCause
from tanagerpath.core.workloads.sessions import UpstreamSession

__all__ = ["UpkeepController"]

CALL_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.5
# A VM counts as unavailable until an upstream on it registers again, or for this long
# if none does.
MAX_UNAVAILABLE_S = 10.0
# A new leader first waits for its upstreams to report, to know which are unavailable.
TAKEOVER_WAIT_S = 1.0
# Share of the time per VM during which its runs may complete before they are evicted.
DRAIN_SHARE = 0.6


@attrs.define(eq=False)
class _Upkeep:
    """Upkeep of one VM."""

    wave: int
    vm_id: str
    began_s: float
    evict_at_s: float
    call_expires_s: float = 0.0
    next_call_s: float = 0.0
    done_s: float | None = None


class UpkeepController:
    """Carries out waves, each with a limited number of VMs at a time.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    driver : RunDriver
        Stops runs.
    holder : str
        Name of this leader towards the platform.
    """

    def __init__(
        self, context: DispatchContext, driver: RunDriver, holder: str
    ) -> None:
        self._context = context
        self._driver = driver
        self._holder = holder
        self._began_s = context.now_s
        self._open: dict[tuple[int, str], _Upkeep] = {}

    def advance(self) -> None:
        """Start and advance the upkeeps that are due."""
        for key in [key for key, one in self._open.items() if self._is_over(one)]:
            del self._open[key]
        if self._context.now_s >= self._began_s + TAKEOVER_WAIT_S:
            for wave in self._context.state.find_unfinished_waves():
                self._begin(wave)
        for upkeep in tuple(self._open.values()):
            if upkeep.done_s is None:
                self._drive(upkeep)

    def _is_over(self, upkeep: _Upkeep) -> bool:
        if upkeep.done_s is None:
            return False
        if self._context.now_s > upkeep.done_s + MAX_UNAVAILABLE_S:
            return True
        session = self._find_session(upkeep.vm_id)
        return session is not None and session.opened_s > upkeep.done_s

    def _find_session(self, vm_id: str) -> UpstreamSession | None:
        found = [
            session
            for session in self._context.sessions.values()
            if session.record.vm_id == vm_id and session.departed_at_s is None
        ]
        return max(found, key=lambda session: session.opened_s, default=None)

    def _begin(self, wave: WaveRecord) -> None:
        context = self._context
        waiting = [
            vm_id for vm_id in wave.waiting if (wave.wave, vm_id) not in self._open
        ]
        waiting.sort(key=self._rank)
        remaining_s = max(wave.due_at_unix_s - context.now.unix_s, 0.0)
        batches = -(-len(wave.waiting) // wave.most_at_once)
        drain_s = DRAIN_SHARE * remaining_s / max(batches, 1)
        active = sum(one.wave == wave.wave for one in self._open.values())
        active += self._count_inherited(wave)
        for vm_id in waiting[: max(wave.most_at_once - active, 0)]:
            if not self._is_disruption_allowed(vm_id):
                continue
            now_s = context.now_s
            self._open[(wave.wave, vm_id)] = _Upkeep(
                wave.wave, vm_id, now_s, now_s + drain_s
            )
            session = self._find_session(vm_id)
            if session is not None:
                session.is_cordoned = True

    def _count_inherited(self, wave: WaveRecord) -> int:
        """Return the number of VMs whose upkeep an earlier leader may have started."""
        if self._context.now_s > self._began_s + MAX_UNAVAILABLE_S:
            return 0
        return sum(
            not self._is_responding(vm_id)
            for vm_id in wave.vm_ids
            if vm_id not in wave.waiting and (wave.wave, vm_id) not in self._open
        )

    def _is_responding(self, vm_id: str) -> bool:
        session = self._find_session(vm_id)
        return session is not None and session.synced and session.reachable

    def _rank(self, vm_id: str) -> tuple[bool, float]:
        """Return the sort key of a VM in its wave.

        VMs that do not respond come first: an earlier leader may have started their
        upkeep without recording it, and the platform accepts a repeated request.
        """
        session = self._find_session(vm_id)
        if session is None:
            return False, 0.0
        return (
            self._is_responding(vm_id),
            session.used.find_dominant_share(session.record.capacity),
        )

    def _is_disruption_allowed(self, vm_id: str) -> bool:
        """Return whether `max_unavailable` of the steps on a VM permits its upkeep."""
        session = self._find_session(vm_id)
        if session is None:
            return True
        for view in session.runs.values():
            if not view.spec.long_running:
                continue
            unavailable = count_unavailable(
                self._context.sessions.values(), view.task.step_key, view.spec.count
            )
            here = session.count_step_runs(view.task)
            if unavailable + here > max(view.spec.max_unavailable, 1):
                return False
        return True

    def _drive(self, upkeep: _Upkeep) -> None:
        context = self._context
        session = self._find_session(upkeep.vm_id)
        if session is not None and session.runs:
            if context.now_s >= upkeep.evict_at_s and self._is_disruption_allowed(
                upkeep.vm_id
            ):
                for view in tuple(session.runs.values()):
                    self._driver.stop(
                        session, view, "upkeep of its VM", StopCause.UPKEEP
                    )
            return
        if context.now_s < max(upkeep.call_expires_s, upkeep.next_call_s):
            return
        upkeep.call_expires_s = context.find_call_expiry_s(CALL_TIMEOUT_S)
        request = UpkeepRequest(
            vm_id=upkeep.vm_id,
            wave=upkeep.wave,
            holder=self._holder,
            fencing_token=context.term,
        )
        address = context.terms.platform_address
        context.add_effect(CallUpstream("", "", address, request, CALL_TIMEOUT_S))

    def handle_reply(self, request: UpkeepRequest, reply: object) -> None:
        """Handle the reply of the platform for a VM."""
        context = self._context
        upkeep = self._open.get((request.wave, request.vm_id))
        if upkeep is None:
            return
        upkeep.call_expires_s = 0.0
        upkeep.next_call_s = context.now_s + RETRY_INTERVAL_S
        is_obsolete = isinstance(reply, OrderRefused) and reply.refusal in (
            Refusal.MALFORMED,
            Refusal.WRONG_WAVE,
        )
        context.log_decision(
            "upkeep answered",
            vm=request.vm_id,
            wave=request.wave,
            answer=str(getattr(reply, "refusal", "done")),
        )
        if isinstance(reply, OrderDone) or is_obsolete:
            upkeep.done_s = context.now_s
            context.add_effect(Propose(RecordUpkeep(request.wave, request.vm_id)))

    def handle_failure(self, request: UpkeepRequest, reason: str) -> None:
        """Schedule a retry; the request is idempotent."""
        upkeep = self._open.get((request.wave, request.vm_id))
        if upkeep is not None:
            upkeep.call_expires_s = 0.0
            upkeep.next_call_s = self._context.now_s + RETRY_INTERVAL_S
        self._context.log_decision("upkeep unanswered", vm=request.vm_id, reason=reason)

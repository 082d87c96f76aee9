"""Upkeep of VMs in waves: one after the other, and without cutting work off."""

import attrs

from tanagerpath.core.coordination import CallUpstream, Propose
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
from tanagerpath.core.workloads.sessions import RunPhase, StopCause, UpstreamSession

__all__ = ["PLATFORM_ID", "UpkeepKeeper"]

# Stands for the platform's interface of VMs where an order names its receiver.
PLATFORM_ID = "platform"
CALL_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.5
# A VM counts as away for its upkeep until its next upstream announces itself, or, if
# none does, for this long.
MAX_AWAY_S = 10.0
# A new leader hears from its upstreams first, to know which of them are away.
SETTLE_S = 1.0
# Share of the time for each VM within which its runs may end by themselves.
PATIENCE_SHARE = 0.6


@attrs.define(eq=False)
class _Upkeep:
    """One VM on its way through its upkeep."""

    wave: int
    vm_id: str
    began_s: float
    evict_at_s: float
    in_flight: bool = False
    next_call_s: float = 0.0
    done_s: float | None = None


class UpkeepKeeper:
    """Carries waves out, at most as many VMs at a time as each allows.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    driver : RunDriver
        Stops runs.
    holder : str
        Names this leader to the platform.
    """

    def __init__(
        self, context: DispatchContext, driver: RunDriver, holder: str
    ) -> None:
        self._context = context
        self._driver = driver
        self._holder = holder
        self._began_s = context.now_s
        self._open: dict[tuple[int, str], _Upkeep] = {}

    def keep(self) -> None:
        """Begin and drive the upkeeps that are due."""
        for key in [key for key, one in self._open.items() if self._is_over(one)]:
            del self._open[key]
        if self._context.now_s >= self._began_s + SETTLE_S:
            for wave in self._context.state.find_unfinished_waves():
                self._begin(wave)
        for upkeep in tuple(self._open.values()):
            if upkeep.done_s is None:
                self._drive(upkeep)

    def _is_over(self, upkeep: _Upkeep) -> bool:
        if upkeep.done_s is None:
            return False
        if self._context.now_s > upkeep.done_s + MAX_AWAY_S:
            return True
        session = self._find_session(upkeep.vm_id)
        return session is not None and session.opened_s > upkeep.done_s

    def _find_session(self, vm_id: str) -> UpstreamSession | None:
        found = [
            session
            for session in self._context.sessions.values()
            if session.record.vm_id == vm_id and session.left_at_s is None
        ]
        return max(found, key=lambda session: session.opened_s, default=None)

    def _begin(self, wave: WaveRecord) -> None:
        context = self._context
        waiting = [
            vm_id for vm_id in wave.waiting if (wave.wave, vm_id) not in self._open
        ]
        waiting.sort(key=self._rank)
        left_s = max(wave.due_at_unix_s - context.now.unix_s, 0.0)
        turns = -(-len(wave.waiting) // wave.most_at_once)
        patience_s = PATIENCE_SHARE * left_s / max(turns, 1)
        active = sum(one.wave == wave.wave for one in self._open.values())
        active += self._count_inherited(wave)
        for vm_id in waiting[: max(wave.most_at_once - active, 0)]:
            if not self._may_be_away(vm_id):
                continue
            now_s = context.now_s
            self._open[(wave.wave, vm_id)] = _Upkeep(
                wave.wave, vm_id, now_s, now_s + patience_s
            )
            session = self._find_session(vm_id)
            if session is not None:
                session.is_reserved = True

    def _count_inherited(self, wave: WaveRecord) -> int:
        """Return the VMs that may be away as an earlier leader has begun upkeeps."""
        if self._context.now_s > self._began_s + MAX_AWAY_S:
            return 0
        return sum(
            not self._is_there(vm_id)
            for vm_id in wave.vm_ids
            if vm_id not in wave.waiting and (wave.wave, vm_id) not in self._open
        )

    def _is_there(self, vm_id: str) -> bool:
        session = self._find_session(vm_id)
        return session is not None and session.synced and session.reachable

    def _rank(self, vm_id: str) -> tuple[bool, float]:
        """Return the place in the order of a wave.

        VMs that don't answer come first: an earlier leader may have begun their upkeep
        without recording it, and asking again begins no other one.
        """
        session = self._find_session(vm_id)
        if session is None:
            return False, 0.0
        return (
            self._is_there(vm_id),
            session.used.find_share(session.record.capacity),
        )

    def _may_be_away(self, vm_id: str) -> bool:
        """Return whether long-running steps bear the loss of what runs on a VM."""
        session = self._find_session(vm_id)
        if session is None:
            return True
        for view in session.runs.values():
            if not view.spec.long_running:
                continue
            place = (view.task.workload_id, view.task.occurrence, view.task.step)
            away = self._count_away(place, view.spec.count)
            here = session.count_step(view.task)
            if away + here > max(view.spec.max_unavailable, 1):
                return False
        return True

    def _count_away(self, place: tuple[str, int, int], count: int) -> int:
        """Return the tasks of a long-running step that are not fully at work."""
        at_work = {
            view.task
            for session in self._context.sessions.values()
            for view in session.runs.values()
            if (view.task.workload_id, view.task.occurrence, view.task.step) == place
            and view.phase is RunPhase.RUNNING
            and view.percent >= 100
        }
        return count - len(at_work)

    def _drive(self, upkeep: _Upkeep) -> None:
        context = self._context
        session = self._find_session(upkeep.vm_id)
        if session is not None and session.runs:
            if context.now_s >= upkeep.evict_at_s and self._may_be_away(upkeep.vm_id):
                for view in tuple(session.runs.values()):
                    self._driver.stop(
                        session, view, "upkeep of its VM", StopCause.UPKEEP
                    )
            return
        if upkeep.in_flight or context.now_s < upkeep.next_call_s:
            return
        upkeep.in_flight = True
        request = UpkeepRequest(
            vm_id=upkeep.vm_id,
            wave=upkeep.wave,
            holder=self._holder,
            fencing_token=context.term,
        )
        address = context.terms.platform_address
        context.add_effect(
            CallUpstream(PLATFORM_ID, "", address, request, CALL_TIMEOUT_S)
        )

    def take_reply(self, request: UpkeepRequest, reply: object) -> None:
        """Take the platform's answer for a VM."""
        context = self._context
        upkeep = self._open.get((request.wave, request.vm_id))
        if upkeep is None:
            return
        upkeep.in_flight = False
        upkeep.next_call_s = context.now_s + RETRY_INTERVAL_S
        is_gone = isinstance(reply, OrderRefused) and reply.refusal in (
            Refusal.MALFORMED,
            Refusal.WRONG_WAVE,
        )
        context.log_decision(
            "upkeep answered",
            vm=request.vm_id,
            wave=request.wave,
            answer=str(getattr(reply, "refusal", "done")),
        )
        if isinstance(reply, OrderDone) or is_gone:
            upkeep.done_s = context.now_s
            context.add_effect(Propose(RecordUpkeep(request.wave, request.vm_id)))

    def take_failure(self, request: UpkeepRequest, reason: str) -> None:
        """Ask again; the same call may be repeated."""
        upkeep = self._open.get((request.wave, request.vm_id))
        if upkeep is not None:
            upkeep.in_flight = False
            upkeep.next_call_s = self._context.now_s + RETRY_INTERVAL_S
        self._context.log_decision("upkeep unanswered", vm=request.vm_id, reason=reason)

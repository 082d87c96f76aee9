"""What the parts of the dispatcher share during one term of a leader."""

from typing import Any

import attrs

from tanagerpath.core.coordination import CallUpstream, CountEvent, Effect, Instant
from tanagerpath.core.workloads.backlog import Backlog
from tanagerpath.core.workloads.commands import RunEnd, RunOutcome
from tanagerpath.core.workloads.estimates import RunEstimates
from tanagerpath.core.workloads.events import NoteDecision
from tanagerpath.core.workloads.health import HealthTerms, UpstreamHealth
from tanagerpath.core.workloads.refusals import RefusalPauses
from tanagerpath.core.workloads.sessions import (
    LeaseTerms,
    RunKey,
    RunView,
    UpstreamSession,
)
from tanagerpath.core.workloads.specs import TaskId
from tanagerpath.core.workloads.state import FleetState

__all__ = ["DispatchContext", "DispatchTerms", "describe_task"]


@attrs.frozen(kw_only=True)
class DispatchTerms:
    """Settings of the leader's decisions on workloads.

    Attributes
    ----------
    leases : LeaseTerms
        Leases of runs.
    health : HealthTerms
        When an upstream is left alone.
    hold_wait_s : float
        Seconds for which an upstream holds a renewal back for an end to answer with.
    hold_retry_s : float
        Seconds between renewals of an upstream that does not answer.
    order_timeout_s : float
        Seconds until an order without an answer is sent again.
    hold_timeout_s : float
        Seconds beyond the wait until a renewal without an answer is given up.
    start_patience_s : float
        Seconds after which a start that got no answer is taken back. Below the time
        for which the members of a gang wait for each other.
    stall_s : float
        Least seconds without progress after which a run is stopped.
    leave_delay_s : float
        Seconds after an upstream's farewell until its runs count as gone.
    plan_interval_s : float
        Longest time between two plans while work waits.
    plan_cost_s : float
        Seconds of processor time that a plan takes for each pair of a waiting unit and
        an upstream. The next plan waits for as long, so that on a large fleet plans
        take at most half of the time.
    retention_s : float
        Seconds for which an ended workload is remembered.
    max_unfinished : int
        Unfinished workloads beyond which more are refused.
    remote_factor : float
        How many times longer a task takes away from its rack.
    checkpoint_interval_s : float
        Seconds of work between two checkpoints.
    interference_s : float
        Seconds for which a serving task may be over its target.
    silent_after_s : float
        Seconds without a heartbeat or reply after which an upstream is forgotten.
    advice_address, platform_address : str
        "ip:port" of the service that advises on places, and of the platform's VMs.
    """

    leases: LeaseTerms = LeaseTerms()
    health: HealthTerms = HealthTerms()
    hold_wait_s: float = 1.5
    hold_retry_s: float = 0.25
    order_timeout_s: float = 0.5
    hold_timeout_s: float = 0.8
    start_patience_s: float = 1.6
    stall_s: float = 3.0
    leave_delay_s: float = 1.0
    plan_interval_s: float = 0.25
    plan_cost_s: float = 1.5e-6
    retention_s: float = 150.0
    max_unfinished: int = 5000
    remote_factor: float = 3.0
    checkpoint_interval_s: float = 1.0
    interference_s: float = 4.0
    silent_after_s: float = 30.0
    advice_address: str = ""
    platform_address: str = ""


def describe_task(task: TaskId) -> str:
    """Return the name of a task in the log."""
    return f"{task.workload_id}.{task.occurrence}.{task.step}.{task.index}"


@attrs.frozen
class QueuedEnd:
    """An end that is to be recorded; `number` is its place in the upstream's list."""

    end: RunEnd
    session: UpstreamSession
    number: int = 0


class DispatchContext:
    """State of one term, and the effects of the current step.

    Parameters
    ----------
    terms : DispatchTerms
        Settings.
    state : FleetState
        Replicated state.
    term : int
        Term of the leader; its fencing token.
    now : Instant
        Begin of the term.
    """

    def __init__(
        self, terms: DispatchTerms, state: FleetState, term: int, now: Instant
    ) -> None:
        self.terms = terms
        self.state = state
        self.term = term
        self.now = now
        self.estimates = RunEstimates.from_learned(state.learned, now.now_s)
        self.backlog = Backlog(state, self.estimates)
        self.refusals = RefusalPauses()
        self.sessions: dict[str, UpstreamSession] = {}
        self.health: dict[str, UpstreamHealth] = {}
        self.ends: list[QueuedEnd] = []
        self._ending: set[RunKey] = set()
        self.must_plan = True
        self._effects: list[Effect] = []

    @property
    def now_s(self) -> float:
        """Instant of the current step."""
        return self.now.now_s

    def act(self, effect: Effect) -> None:
        """Add an effect to the current step."""
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Return the effects of the current step."""
        effects, self._effects = self._effects, []
        return effects

    def note(self, name: str, **fields: Any) -> None:
        """Write a decision to the log and count it."""
        self.act(NoteDecision(name, fields))
        self.act(CountEvent(name))

    def call(self, session: UpstreamSession, request: object, timeout_s: float) -> None:
        """Send an order to an upstream."""
        record = session.record
        self.act(
            CallUpstream(
                record.upstream_id,
                record.incarnation,
                record.address,
                request,
                timeout_s,
            )
        )

    def find_session(
        self, upstream_id: str, incarnation: str
    ) -> UpstreamSession | None:
        """Return the session of an incarnation, None if it is no longer known."""
        session = self.sessions.get(upstream_id)
        if session is None or session.record.incarnation != incarnation:
            return None
        return session

    def find_health(self, upstream_id: str) -> UpstreamHealth:
        """Return the health of an upstream."""
        held = self.health.get(upstream_id)
        if held is None:
            held = self.health[upstream_id] = UpstreamHealth(self.terms.health)
        return held

    def queue_end(
        self,
        session: UpstreamSession,
        view: RunView,
        outcome: RunOutcome,
        checkpoint: str = "",
        number: int = 0,
    ) -> None:
        """Record the end of a run, once."""
        if view.key in self._ending:
            return
        self._ending.add(view.key)
        end = RunEnd(view.task, view.run, outcome, checkpoint or view.checkpoint)
        self.ends.append(QueuedEnd(end, session, number))
        self.note(
            "run ended",
            task=describe_task(view.task),
            run=view.run,
            upstream=session.upstream_id,
            outcome=str(outcome),
            phase=str(view.phase),
            reason=view.stop_reason,
            percent=view.percent,
            age_s=round(self.now_s - view.began_s, 3),
        )

    def is_ending(self, key: RunKey) -> bool:
        """Return whether the end of a run waits to be recorded."""
        return key in self._ending

    def close_run(self, session: UpstreamSession, key: RunKey) -> None:
        """Forget a run whose end is recorded."""
        self._ending.discard(key)
        session.remove_run(key)
        self.must_plan = True

    def reopen_end(self, queued: QueuedEnd) -> None:
        """Queue an end again whose command was not appended."""
        self.ends.append(queued)

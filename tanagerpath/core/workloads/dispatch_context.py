"""State that the parts of the dispatcher share during one term of a leader."""

import math
from typing import Any

import attrs

from tanagerpath.core.coordination import CallUpstream, CountEvent, Effect, Instant
from tanagerpath.core.workloads.backlog import Backlog
from tanagerpath.core.workloads.commands import RunEnd, RunOutcome
from tanagerpath.core.workloads.containment import describe_error
from tanagerpath.core.workloads.coverage import GuaranteeCoverage
from tanagerpath.core.workloads.crash_loops import CrashLoops
from tanagerpath.core.workloads.estimates import RunEstimates
from tanagerpath.core.workloads.events import LogDecision
from tanagerpath.core.workloads.health import HealthTerms, UpstreamHealth
from tanagerpath.core.workloads.list_rounds import ListRound
from tanagerpath.core.workloads.orders import EndedRun
from tanagerpath.core.workloads.run_index import RunIndex
from tanagerpath.core.workloads.runs import RunKey, RunView
from tanagerpath.core.workloads.sessions import LeaseTerms, UpstreamSession
from tanagerpath.core.workloads.specs import TaskId
from tanagerpath.core.workloads.start_backoff import StartBackoff
from tanagerpath.core.workloads.state import FleetState

__all__ = ["DepartedKey", "DispatchContext", "DispatchTerms", "describe_task"]

# Longest delay from the timeout of a call to the handling of its result.
REPLY_MARGIN_S = 1.0
# A leader has deadlines ten times a second. If it stalls for longer, replies that
# arrive meanwhile may count as timeouts.
MAX_STEP_INTERVAL_S = 0.3


@attrs.frozen(kw_only=True)
class DispatchTerms:
    """Settings of the leader's decisions on workloads.

    Attributes
    ----------
    leases : LeaseTerms
        Leases of runs.
    health : HealthTerms
        When an upstream is quarantined.
    hold_wait_s : float
        Seconds for which an upstream delays its reply to a renewal until a run ends.
    hold_retry_s : float
        Seconds until a renewal or an order that failed is sent again.
    order_timeout_s : float
        Seconds to wait for the reply to an order.
    hold_timeout_s : float
        Seconds beyond `hold_wait_s` to wait for the reply to a renewal.
    start_timeout_s : float
        Seconds after which a run whose start got no reply is stopped. Below the time
        for which the members of a gang wait for each other.
    stop_timeout_s : float
        Seconds for which a run that was told to stop may go on.
    stall_timeout_s : float
        Seconds without progress below which a run never counts as stalled.
    leave_delay_s : float
        Seconds after the withdrawal of an upstream until its runs count as lost.
    plan_interval_s : float
        Longest time between two plans while work waits.
    plan_cost_s : float
        Processor seconds that a plan takes for each pair of a unit and an upstream. The
        next plan waits for as long, so that planning takes at most half of the time on
        a large fleet; see `PlanPause` for the units of a plan.
    max_plan_pairs : int
        Pairs of a unit and an upstream in one plan. Other units are left to the next
        plans, as events wait until a plan ends.
    retention_s : float
        Seconds for which an ended workload is kept.
    max_unfinished : int
        Unfinished workloads above which new ones are refused.
    remote_factor : float
        Factor by which a task takes longer outside its preferred rack.
    checkpoint_interval_s : float
        Seconds of work between two checkpoints.
    interference_s : float
        Seconds for which a serving task may exceed its latency target.
    guaranteed_start_s : float
        Seconds after the acceptance of a workload within which all tasks of its first
        step must have begun if the guarantee of its organisation covers it.
    silent_after_s : float
        Seconds without a heartbeat or reply after which an upstream is withdrawn.
    evacuation_s : float
        Seconds after the acknowledgement of an evacuation from which no run may start
        in its availability zone.
    availability_zones : tuple of str
        Availability zones that may be evacuated; empty for any.
    admission : str
        Name of the policy that decides on submitted workloads; see `AdmissionMode`.
    advice_address, platform_address : str
        "ip:port" of the advice service, and of the platform's upkeep of VMs.
    """

    leases: LeaseTerms = LeaseTerms()
    health: HealthTerms = HealthTerms()
    hold_wait_s: float = 1.5
    hold_retry_s: float = 0.25
    order_timeout_s: float = 0.5
    hold_timeout_s: float = 0.8
    start_timeout_s: float = 1.6
    stop_timeout_s: float = 0.2
    stall_timeout_s: float = 3.0
    leave_delay_s: float = 1.0
    plan_interval_s: float = 0.25
    plan_cost_s: float = 15e-6
    max_plan_pairs: int = 2000
    retention_s: float = 150.0
    max_unfinished: int = 5000
    remote_factor: float = 3.0
    checkpoint_interval_s: float = 1.0
    interference_s: float = 4.0
    guaranteed_start_s: float = 2.7
    silent_after_s: float = 30.0
    evacuation_s: float = 60.0
    availability_zones: tuple[str, ...] = ()
    admission: str = "unlimited"
    advice_address: str = ""
    platform_address: str = ""


def describe_task(task: TaskId) -> str:
    """Return the name of a task in log lines."""
    return f"{task.workload_id}.{task.occurrence}.{task.step}.{task.index}"


@attrs.frozen
class DepartedKey:
    """Key of the session of an incarnation that is no longer registered.

    Registered incarnations have their identity, a string, as key. Identities come with
    heartbeats, so a string made of the identity and the incarnation could be another's.
    """

    upstream_id: str
    incarnation: str


@attrs.frozen
class QueuedEnd:
    """An end to be recorded.

    Attributes
    ----------
    end : RunEnd
        The end.
    session : UpstreamSession
        Where the run was.
    number : int
        Number of its `EndedRun`, 0 if no list names it.
    is_late : bool
        Whether the run had been closed before its end was listed.
    """

    end: RunEnd
    session: UpstreamSession
    number: int = 0
    is_late: bool = False


class DispatchContext:
    """State of one term of a leader, and the effects of the current step.

    Parameters
    ----------
    terms : DispatchTerms
        Settings.
    state : FleetState
        Replicated state.
    term : int
        Term of the leader, used as fencing token.
    now : Instant
        Reading of the clocks at the start of the term.
    """

    def __init__(
        self, terms: DispatchTerms, state: FleetState, term: int, now: Instant
    ) -> None:
        self.terms = terms
        self.state = state
        self.term = term
        self.now = now
        # End of the last stall of this process.
        self.stalled_until_s = -math.inf
        self.list_round = ListRound.from_start(
            now.now_s, terms.hold_timeout_s + REPLY_MARGIN_S
        )
        self.estimates = RunEstimates.from_learned(state.learned, now.now_s)
        self.backlog = Backlog(state, self.estimates)
        self.coverage = GuaranteeCoverage(state)
        self.start_backoff = StartBackoff()
        self.sessions: dict[str | DepartedKey, UpstreamSession] = {}
        self.run_index = RunIndex()
        self.health: dict[str, UpstreamHealth] = {}
        self.crash_loops = CrashLoops()
        self.ends: list[QueuedEnd] = []
        self._ending: set[RunKey] = set()
        # Outcomes of the runs that were closed in this term without a listed end, by
        # unfinished workload.
        self.closed_unlisted: dict[str, dict[RunKey, RunOutcome]] = {}
        # The fleet or the waiting work has changed, except for new submissions.
        self.must_plan = True
        self._touched: dict[UpstreamSession, None] = {}
        self._effects: list[Effect] = []

    @property
    def now_s(self) -> float:
        """Monotonic time of the current step."""
        return self.now.now_s

    def advance(self, now: Instant) -> None:
        """Begin a step at a later time."""
        has_stalled = now.now_s - self.now_s > MAX_STEP_INTERVAL_S
        self.now = now
        if has_stalled:
            self.stalled_until_s = now.now_s
            self.list_round.begin(now.now_s)

    def note_return(self) -> None:
        """Note that an upstream replies again.

        If none other replies, the leader itself may have been cut off, and the other
        upstreams may reply from now on too.
        """
        if not any(one.synced and one.reachable for one in self.sessions.values()):
            self.list_round.begin(self.now_s)

    @property
    def awaits_lists(self) -> bool:
        """Whether an upstream may soon list the end of a run that was closed."""
        return self.list_round.is_open(self.now_s) and any(
            session.is_unlisted_since(self.list_round.began_s)
            for session in self.sessions.values()
        )

    def add_effect(self, effect: Effect) -> None:
        """Add an effect to the current step."""
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Return the effects of the current step and clear them."""
        effects, self._effects = self._effects, []
        return effects

    def touch(self, session: UpstreamSession) -> None:
        """Mark a session as changed, so that its due orders are sent at once."""
        self._touched[session] = None

    def remove_session(self, key: str | DepartedKey) -> UpstreamSession:
        """Remove and return a session; nothing is sent for it any more."""
        session = self.sessions.pop(key)
        self._touched.pop(session, None)
        return session

    def take_touched(self) -> tuple[UpstreamSession, ...]:
        """Return the sessions that have changed since the last call, and clear them."""
        touched = tuple(self._touched)
        self._touched.clear()
        return touched

    def log_decision(self, name: str, **fields: Any) -> None:
        """Write a decision to the log and count it."""
        self.add_effect(LogDecision(name, fields))
        self.add_effect(CountEvent(name))

    def log_task_decision(self, name: str, task: TaskId, **fields: Any) -> None:
        """Write a decision on one task to the log and count it."""
        fields = {"task": describe_task(task), **fields}
        self.add_effect(LogDecision(name, fields, is_about_task=True))
        self.add_effect(CountEvent(name))

    def log_error(self, part: str, error: Exception, **fields: Any) -> None:
        """Write an unexpected error to the log and count it."""
        line = describe_error(part, error, **fields)
        self.add_effect(line)
        self.add_effect(CountEvent(line.name))

    def call(self, session: UpstreamSession, request: object, timeout_s: float) -> None:
        """Send an order to an upstream."""
        record = session.record
        self.add_effect(
            CallUpstream(
                record.upstream_id,
                record.incarnation,
                record.address,
                request,
                timeout_s,
            )
        )

    def find_call_expiry_s(self, timeout_s: float) -> float:
        """Return the time after which a call that is sent now has no reply left.

        A reply can be lost on its way here, so that no call may be awaited for good.
        """
        return self.now_s + timeout_s + REPLY_MARGIN_S

    def find_session(
        self, upstream_id: str, incarnation: str
    ) -> UpstreamSession | None:
        """Return the session of an incarnation, None if it is no longer known."""
        session = self.sessions.get(upstream_id)
        if session is None or session.record.incarnation != incarnation:
            return None
        return session

    def find_health(self, upstream_id: str) -> UpstreamHealth:
        """Return the health of an upstream, a new one if it has none."""
        health = self.health.get(upstream_id)
        if health is None:
            health = self.health[upstream_id] = UpstreamHealth(self.terms.health)
        return health

    def queue_end(
        self,
        session: UpstreamSession,
        view: RunView,
        outcome: RunOutcome,
        checkpoint: str = "",
        number: int = 0,
    ) -> None:
        """Queue the end of a run to be recorded; a repeated end is ignored."""
        if view.key in self._ending:
            return
        self._ending.add(view.key)
        end = RunEnd(view.task, view.run, outcome, checkpoint or view.checkpoint)
        self.ends.append(QueuedEnd(end, session, number))
        if not number:
            self._note_closed(view.key, outcome)
        self.log_task_decision(
            "run ended",
            view.task,
            run=view.run,
            upstream=session.upstream_id,
            outcome=str(outcome),
            phase=str(view.phase),
            reason=view.stop_reason,
            listed=number > 0,
            heard_age_s=round(self.now_s - session.last_contact_s, 3),
            percent=view.percent,
            age_s=round(self.now_s - view.began_s, 3),
        )

    def queue_late_end(self, session: UpstreamSession, listed: EndedRun) -> None:
        """Queue the listed end of a run that is closed."""
        key = listed.task, listed.run
        session.late_ends.add(key)
        self.closed_unlisted.get(listed.task.workload_id, {}).pop(key, None)
        end = RunEnd(listed.task, listed.run, listed.outcome)
        self.ends.append(QueuedEnd(end, session, listed.number, is_late=True))

    def _note_closed(self, key: RunKey, outcome: RunOutcome) -> None:
        """Remember how a run of an unfinished workload was closed without a list."""
        workload = self.state.workloads.get(key[0].workload_id)
        if workload is not None and workload.final_state is None:
            self.closed_unlisted.setdefault(workload.workload_id, {})[key] = outcome

    def find_closed(self, key: RunKey) -> RunOutcome | None:
        """Return how this leader closed a run without a list, None if it did not."""
        return self.closed_unlisted.get(key[0].workload_id, {}).get(key)

    def has_unrecorded_ends(self, session: UpstreamSession) -> bool:
        """Return whether ends of an upstream wait to be recorded."""
        return bool(session.late_ends) or any(map(self.is_ending, session.runs))

    def is_listed_as_done(self, task: TaskId) -> bool:
        """Return whether a late end that waits to be recorded completes a task."""
        workload = self.state.workloads[task.workload_id]
        is_gang = workload.spec.steps[task.step].gang
        return any(
            queued.is_late
            and queued.end.outcome is RunOutcome.DONE
            and (queued.end.task == task or is_gang)
            and queued.end.task.step_key == task.step_key
            for queued in self.ends
        )

    def is_ending(self, key: RunKey) -> bool:
        """Return whether the end of a run waits to be recorded."""
        return key in self._ending

    def close_run(self, queued: QueuedEnd) -> None:
        """Forget a run whose end is recorded."""
        session, key = queued.session, (queued.end.task, queued.end.run)
        if queued.is_late:
            session.late_ends.discard(key)
        else:
            self._ending.discard(key)
            self.run_index.remove(session, key)
        self.touch(session)
        self.must_plan = True

    def requeue_end(self, queued: QueuedEnd) -> None:
        """Queue an end again after its command was rejected."""
        self.ends.append(queued)

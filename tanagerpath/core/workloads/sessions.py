"""State of each upstream and its runs, as the leader knows it during its term."""

import enum
import math

import attrs

from tanagerpath.core.workloads.commands import UpstreamRecord
from tanagerpath.core.workloads.orders import HoldRequest
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec, TaskId

__all__ = [
    "MAX_ORDER_DELAY_S",
    "MAX_STOP_S",
    "REFUSAL_BACKOFF_S",
    "LeaseTerms",
    "ProgressSample",
    "RunFence",
    "RunKey",
    "RunPhase",
    "RunView",
    "StopCause",
    "UpstreamSession",
]

MS_PER_S = 1000.0
# An unanswered order may still be carried out this much later.
MAX_ORDER_DELAY_S = 20.0
# A stop takes 0.1 to 0.4 s. One that takes longer was refused or lost, and its run may
# go on for as long as its lease.
MAX_STOP_S = 1.0
# A start that is repeated at once would be refused again.
REFUSAL_BACKOFF_S = 1.0
# Below the bound of guaranteed starts, so that an upstream that has recovered is used.
REPEATED_REFUSAL_BACKOFF_S = 2.0
COMPLETED_PERCENT = 100
# Progress is reported in whole percent; a speed measured over less is inaccurate.
MIN_OBSERVED_PERCENT = 10

RunKey = tuple[TaskId, int]


@attrs.frozen(kw_only=True)
class LeaseTerms:
    """Settings of the leases under which upstreams run tasks without the leader.

    Attributes
    ----------
    lease_s : float
        Duration of a lease from an order or a renewal.
    start_lease_s : float
        Duration of the lease of the first order to an upstream without one.
    clock_rate_error : float
        Fraction by which the clock of an upstream may run slow.
    margin_s : float
        Safety margin in seconds before a lease counts as expired.
    """

    lease_s: float = 9.5
    start_lease_s: float = 4.0
    clock_rate_error: float = 0.02
    margin_s: float = 0.3

    def find_max_duration_s(self, lease_s: float) -> float:
        """Return the longest duration of a lease, if the upstream's clock is slow."""
        return lease_s / (1 - self.clock_rate_error) + self.margin_s


class RunPhase(enum.StrEnum):
    """Phase of a run, as the leader knows it.

    PROPOSED: its start is not yet committed. ORDERED: its start is committed and
    sent until it is confirmed. RUNNING: the upstream confirmed or listed it. STOPPING:
    it must end. INHERITED: an earlier leader recorded it; its state is unknown.
    """

    PROPOSED = "proposed"
    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"
    INHERITED = "inherited"


class StopCause(enum.StrEnum):
    """Why a run is stopped before it completes."""

    PREEMPTION = "room"
    NO_PROGRESS = "no progress"
    UPSTREAM_LEAVES = "upstream leaves"
    START_UNANSWERED = "start unanswered"
    REFUSED = "refused"
    NOT_LISTED = "not listed"
    GANG_MEMBER_LOST = "gang member lost"
    WORKLOAD_ENDED = "workload ended"
    UPKEEP = "upkeep"


@attrs.frozen
class ProgressSample:
    """Completed percentage of a run at a point in time."""

    at_s: float
    percent: int


@attrs.define(eq=False)
class RunView:
    """A recorded run on an upstream.

    Attributes
    ----------
    task, run : TaskId, int
        Identity of the run.
    spec : StepSpec
        Step of the task.
    queue : str
        Queue of the workload.
    priority : int
        Priority of the queue.
    phase : RunPhase
        Current phase.
    began_s : float
        Time at which it was planned, committed or taken over.
    entered_s : float
        Time at which its phase began.
    running_since_s : float or None
        Time since which the upstream is known to run it.
    expect_listed_after_s : float or None
        Time of the reply to its start, or by which its stop is carried out, or later
        if an earlier order may still be carried out. If a list that was requested
        later lacks the run, it is not running.
    progress_s : float
        Time of the last change of `percent`.
    checkpoint : str
        Last reported checkpoint.
    percent : int
        Reported progress.
    baseline : ProgressSample or None
        First known progress.
    load : float
        Tail latency of a serving task in milliseconds, else its processor usage.
    pace : int
        Percentage of its full speed that was last ordered.
    pace_uncertain_until_s : float
        Time until which an earlier, unanswered pace order may take effect.
    order_expires_s : float
        Time until which the reply to an order for it is awaited, 0 if none is.
    orders : int
        Number of orders sent in the current phase.
    next_order_s : float
        Earliest time of the next order.
    stop_reason : str
        Why it is stopped.
    is_stop_refused : bool
        Whether the last reply to a stop was a refusal.
    ticket : str
        Ticket that permits the upstream to run it.
    observed : bool
        Whether the estimates include its speed.
    was_inherited : bool
        Whether an earlier leader began it, so that the time of its start is unknown.
    is_of_earlier_incarnation : bool
        Whether it was sent to an earlier incarnation of its upstream. The later one
        may have carried out a repeated or delayed start.
    """

    task: TaskId
    run: int
    spec: StepSpec
    queue: str
    priority: int
    phase: RunPhase
    began_s: float
    entered_s: float = 0.0
    running_since_s: float | None = None
    expect_listed_after_s: float | None = None
    progress_s: float = 0.0
    checkpoint: str = ""
    percent: int = 0
    baseline: ProgressSample | None = None
    load: float = 0.0
    pace: int = 100
    pace_uncertain_until_s: float = 0.0
    order_expires_s: float = 0.0
    orders: int = 0
    next_order_s: float = 0.0
    stop_reason: str = ""
    is_stop_refused: bool = False
    ticket: str = ""
    observed: bool = False
    was_inherited: bool = False
    is_of_earlier_incarnation: bool = False

    @property
    def key(self) -> RunKey:
        """Identity of the run."""
        return self.task, self.run

    def ends_soon(self, now_s: float) -> bool:
        """Return whether a stop is expected to free its capacity shortly."""
        if self.phase is not RunPhase.STOPPING or self.is_stop_refused:
            return False
        return now_s < self.entered_s + MAX_STOP_S

    def enter(self, phase: RunPhase, now_s: float) -> None:
        """Enter a phase, and reset the orders."""
        self.phase = phase
        self.entered_s = now_s
        self.orders = 0
        self.is_stop_refused = False
        self.next_order_s = now_s
        self.expect_listed_after_s = None

    def estimate_total_s(
        self, until: ProgressSample, since_s: float = 0.0
    ) -> float | None:
        """Return the run time of the whole task at the speed since the baseline.

        Parameters
        ----------
        until : ProgressSample
            Latest progress.
        since_s : float
            Time before which it made no progress.

        Returns
        -------
        float or None
            None if there is too little progress.
        """
        if self.baseline is None:
            return None
        gained = until.percent - self.baseline.percent
        worked_s = until.at_s - max(self.baseline.at_s, since_s)
        if gained < MIN_OBSERVED_PERCENT or worked_s <= 0.0:
            return None
        return worked_s * COMPLETED_PERCENT / gained

    def find_unsaved_s(
        self, now_s: float, checkpoint_interval_s: float, done_s: float
    ) -> float:
        """Return the seconds of work that would be lost if the run stopped now.

        Parameters
        ----------
        now_s : float
            Current time.
        checkpoint_interval_s : float
            Seconds of work between two checkpoints.
        done_s : float
            Seconds of work by its progress and its predicted run time. They count only
            for a run that an earlier leader began, as the prediction may be far off.
        """
        worked_s = done_s if self.was_inherited else 0.0
        if self.running_since_s is not None:
            worked_s = max(now_s - self.running_since_s, worked_s)
        if self.spec.checkpointing:
            return min(worked_s, checkpoint_interval_s)
        return worked_s


@attrs.define(eq=False)
class RunFence:
    """A run that may be on an upstream although no record there says so.

    Attributes
    ----------
    next_stop_s : float
        Time of the next stop order that ends it, or keeps it from starting.
    list_after_s : float or None
        A list that was requested from this time on shows whether it is over; None
        while no stop is answered.
    is_listed : bool
        Whether the last list has it as running.
    """

    next_stop_s: float
    list_after_s: float | None = None
    is_listed: bool = False


@attrs.define(eq=False)
class UpstreamSession:
    """One incarnation of an upstream, and the runs on it.

    Attributes
    ----------
    record : UpstreamRecord
        Last registration.
    inherited_lease_expiry_s : float
        Time by which all leases of earlier leaders have expired.
    runs : dict of RunKey to RunView
        Recorded runs without a recorded end.
    used : Resources
        Resources that these runs reserve.
    recorded_end, listed_end : int
        Highest number of a recorded end, and of a listed one.
    clock_ms, clock_read_s : int or None, float
        Last reading of its monotonic clock, and when it was received.
    lease_until_ms : int
        Latest lease expiry that was sent, on its clock.
    synced : bool
        Whether it has replied to a renewal (`HoldRequest`) of this leader.
    reachable : bool
        Whether the last exchange ended with a reply.
    last_contact_s : float
        Time of the last reply or heartbeat.
    last_reply_s : float
        Time of the last reply.
    last_list_s : float
        Time of the last reply to a renewal, minus infinity after a failed exchange.
    heartbeat_sequence : int
        Sequence number of the last heartbeat.
    remaining_until_s : float or None
        Time until which a draining upstream stays up at least.
    hold : HoldRequest or None
        The renewal whose reply is awaited.
    hold_sent_s, hold_expires_s : float
        Time at which it was sent, and time until which its reply is awaited.
    next_hold_s : float
        Earliest time of the next renewal.
    list_due_s : float
        Time at which its lists are requested without a wait, infinity for none.
    refused_holds : int
        Renewals that were refused since the last one that was not.
    departed_at_s : float or None
        Time at which it announced its end or was replaced.
    opened_s : float
        Time at which the leader created the session.
    refused_until_s : float
        Time until which no start of `refused_needs` or more is sent.
    refused_needs : Resources
        Resources of the smallest task that it has refused.
    refused_all_count : int
        Starts that it has refused as unhealthy, in a row and each after the wait for
        the one before.
    is_cordoned : bool
        Whether it gets no new runs, as the upkeep of its VM is near.
    unanswered_starts : dict of RunKey to float
        Runs with an unanswered start order to this or an earlier incarnation, and the
        time of that order.
    fenced_runs : dict of RunKey to RunFence
        Runs of an earlier incarnation that delayed orders may have started here, and
        unknown runs that it has listed.
    is_superseded : bool
        Whether a later incarnation with its identity has replied.
    is_replaced : bool
        Whether another upstream has replied at its address.
    is_faulted : bool
        Whether an error occurred while the leader handled it. Nothing is sent to it
        until its lease has expired, which ends all its runs.
    """

    record: UpstreamRecord
    inherited_lease_expiry_s: float
    runs: dict[RunKey, RunView] = attrs.Factory(dict)
    used: Resources = Resources()
    recorded_end: int = 0
    listed_end: int = 0
    clock_ms: int | None = None
    clock_read_s: float = 0.0
    lease_until_ms: int = 0
    synced: bool = False
    reachable: bool = True
    last_contact_s: float = 0.0
    last_reply_s: float = -math.inf
    last_list_s: float = -math.inf
    heartbeat_sequence: int = -1
    remaining_until_s: float | None = None
    hold: HoldRequest | None = None
    hold_sent_s: float = 0.0
    hold_expires_s: float = 0.0
    next_hold_s: float = 0.0
    list_due_s: float = math.inf
    refused_holds: int = 0
    departed_at_s: float | None = None
    opened_s: float = 0.0
    refused_until_s: float = 0.0
    refused_needs: Resources = Resources()
    refused_all_count: int = 0
    is_cordoned: bool = False
    unanswered_starts: dict[RunKey, float] = attrs.Factory(dict)
    fenced_runs: dict[RunKey, RunFence] = attrs.Factory(dict)
    is_superseded: bool = False
    is_replaced: bool = False
    is_faulted: bool = False

    @property
    def upstream_id(self) -> str:
        """Identity of the upstream."""
        return self.record.upstream_id

    @property
    def free(self) -> Resources:
        """Capacity that no recorded run reserves."""
        return self.record.capacity - self.used

    def find_free_after_stops(self, now_s: float) -> Resources:
        """Return the free capacity once the runs that end soon have ended."""
        free = self.free
        for view in self.runs.values():
            if view.ends_soon(now_s):
                free = free + view.spec.reserved
        return free

    @property
    def is_usable(self) -> bool:
        """Whether new runs may be placed on it."""
        return (
            self.synced
            and self.reachable
            and not self.refused_holds
            and not self.record.draining
            and not self.is_cordoned
            and not self.fenced_runs
            and not self.is_faulted
            and self.departed_at_s is None
        )

    def note_refusal(self, needs: Resources, now_s: float, until_s: float) -> None:
        """Record a refused start.

        Parameters
        ----------
        needs : Resources
            Resources of the task; zero if every start would be refused.
        now_s, until_s : float
            Period in which no task of this size or larger is tried.
        """
        if not self.would_refuse(needs, now_s):
            self.refused_needs = needs
        self.refused_until_s = until_s

    def note_unhealthy(self, now_s: float) -> None:
        """Record a start that was refused for the state of the upstream.

        No start is tried for `REFUSAL_BACKOFF_S`, and after further refusals in a row
        for `REPEATED_REFUSAL_BACKOFF_S`.
        """
        if now_s < self.refused_until_s and not self.refused_needs.is_any:
            return
        is_repeated = self.refused_all_count > 0
        delay_s = REPEATED_REFUSAL_BACKOFF_S if is_repeated else REFUSAL_BACKOFF_S
        self.refused_all_count += 1
        self.note_refusal(Resources(), now_s, now_s + delay_s)

    def would_refuse(self, needs: Resources, now_s: float) -> bool:
        """Return whether a start is expected to be refused, like a recent one."""
        return now_s < self.refused_until_s and self.refused_needs.fits(needs)

    def add_run(self, view: RunView) -> None:
        """Add a run and reserve its resources."""
        self.runs[view.key] = view
        self.used = self.used + view.spec.reserved

    def remove_run(self, key: RunKey) -> RunView | None:
        """Remove a run and free its resources."""
        view = self.runs.pop(key, None)
        if view is not None:
            self.used = self.used - view.spec.reserved
        return view

    def count_step_runs(self, task: TaskId) -> int:
        """Return the number of runs of the same step and occurrence."""
        step_key = (task.workload_id, task.occurrence, task.step)
        return sum(
            (other.workload_id, other.occurrence, other.step) == step_key
            for other, _ in self.runs
        )

    def note_clock(self, clock_ms: int | None, read_s: float) -> None:
        """Record a reading of the upstream's monotonic clock.

        An earlier reading than the last one was overtaken by it, or comes from another
        incarnation, whose clock starts anew.
        """
        if clock_ms is None or (self.clock_ms is not None and clock_ms < self.clock_ms):
            return
        self.clock_ms = clock_ms
        self.clock_read_s = read_s

    def request_list(self, at_s: float) -> None:
        """Request the lists at a time, in place of a renewal that waits for an end."""
        self.list_due_s = min(self.list_due_s, at_s)

    def extend_lease(self, lease_s: float, now_s: float) -> int:
        """Return the expiry of a new lease on the upstream's clock.

        The time since the last reading arrived is a lower bound of the progress of that
        clock, so the lease never lasts longer than `lease_s`.
        """
        passed_ms = (now_s - self.clock_read_s) * MS_PER_S
        until_ms = int(self.clock_ms + passed_ms + lease_s * MS_PER_S)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        return until_ms

    def find_lease_expiry_s(self, terms: LeaseTerms) -> float:
        """Return the time by which all leases of the upstream have expired."""
        if self.clock_ms is None or not self.lease_until_ms:
            return self.inherited_lease_expiry_s
        remaining_s = (self.lease_until_ms - self.clock_ms) / MS_PER_S
        expiry_s = self.clock_read_s
        if remaining_s > 0.0:
            expiry_s += terms.find_max_duration_s(remaining_s)
        return max(self.inherited_lease_expiry_s, expiry_s)

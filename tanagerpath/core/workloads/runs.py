"""Runs on upstreams, as the leader knows them during its term."""

import enum

import attrs

from tanagerpath.core.workloads.specs import StepSpec, TaskId

__all__ = [
    "COMPLETED_PERCENT",
    "MAX_STOP_S",
    "ProgressSample",
    "RunFence",
    "RunKey",
    "RunPhase",
    "RunView",
    "StopCause",
]

# A stop takes 0.1 to 0.4 s. One that takes longer was refused or lost, and its run may
# go on for as long as its lease.
MAX_STOP_S = 1.0
COMPLETED_PERCENT = 100
# Progress is reported in whole percent; a speed measured over less is inaccurate.
MIN_OBSERVED_PERCENT = 10

RunKey = tuple[TaskId, int]


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
    ALREADY_DONE = "already done"
    UPKEEP = "upkeep"
    ZONE_EVACUATED = "zone evacuated"


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

    @property
    def may_have_begun(self) -> bool:
        """Whether this incarnation of its upstream may have begun it and list its end.

        A run that an earlier leader began may be in no list because it is stopping.
        """
        if self.is_of_earlier_incarnation:
            return False
        return self.was_inherited or self.running_since_s is not None

    def ends_soon(self, now_s: float) -> bool:
        """Return whether a stop is expected to free its capacity shortly."""
        if self.phase is not RunPhase.STOPPING or self.is_stop_refused:
            return False
        return now_s < self.entered_s + MAX_STOP_S

    def expect_listed_by(self, settled_s: float) -> None:
        """Set the time from which on lists show whether it is over.

        The reply to a repeated order does not put off the time of the first one.
        """
        earliest_s = self.expect_listed_after_s
        if earliest_s is None or settled_s < earliest_s:
            self.expect_listed_after_s = settled_s

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
        Whether a list had it as running, so that its task must not start elsewhere.
    """

    next_stop_s: float
    list_after_s: float | None = None
    is_listed: bool = False

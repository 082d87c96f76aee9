"""What the leader knows of each upstream during its term."""

import enum

import attrs

from tanagerpath.core.workloads.commands import UpstreamRecord
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec, TaskId

__all__ = [
    "LATE_ORDER_S",
    "LeaseTerms",
    "ProgressMark",
    "RunKey",
    "RunPhase",
    "RunView",
    "StopCause",
    "UpstreamSession",
]

MS_PER_S = 1000.0
# An order without an answer may be carried out this much later.
LATE_ORDER_S = 20.0
WHOLE_PERCENT = 100
# Progress is told in whole hundredths; less of it says too little of a run's pace.
OBSERVED_PERCENT = 10

RunKey = tuple[TaskId, int]


@attrs.frozen(kw_only=True)
class LeaseTerms:
    """How long runs may go on without the leader.

    Attributes
    ----------
    lease_s : float
        Seconds from an order or a renewal to the end of the lease.
    start_lease_s : float
        The same for the first order to an upstream that holds nothing.
    clock_rate_error : float
        Share by which an upstream's clock may be slow.
    margin_s : float
        Seconds added before a lease counts as over.
    """

    lease_s: float = 9.5
    start_lease_s: float = 4.0
    clock_rate_error: float = 0.02
    margin_s: float = 0.3

    def stretch(self, lease_s: float) -> float:
        """Return the longest seconds that a lease can last on an upstream's clock."""
        return lease_s / (1 - self.clock_rate_error) + self.margin_s


class RunPhase(enum.StrEnum):
    """How far a run is, as the leader knows it.

    PROPOSED: its start is on its way through the log. ORDERED: the order was sent.
    RUNNING: the upstream confirmed or listed it. STOPPING: it must end. INHERITED: an
    earlier leader recorded it, and the upstream has not been asked yet.
    """

    PROPOSED = "proposed"
    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"
    INHERITED = "inherited"


class StopCause(enum.StrEnum):
    """Why a run has to end before its work is done."""

    ROOM = "room"
    NO_PROGRESS = "no progress"
    UPSTREAM_LEAVES = "upstream leaves"
    START_UNANSWERED = "start unanswered"
    REFUSED = "refused"
    NOT_LISTED = "not listed"
    GANG_MEMBER_LOST = "gang member lost"
    WORKLOAD_ENDED = "workload ended"
    UPKEEP = "upkeep"


@attrs.frozen
class ProgressMark:
    """Share of a run's work that was done at an instant."""

    at_s: float
    percent: int


@attrs.define(eq=False)
class RunView:
    """A recorded run on an upstream.

    Attributes
    ----------
    task, run : TaskId, int
        The run.
    spec : StepSpec
        Step of the task.
    queue : str
        Its queue.
    priority : int
        Priority of its queue.
    phase : RunPhase
        How far it is.
    began_s : float
        Instant at which it was planned or taken over.
    running_since_s : float or None
        Instant from which the upstream is known to run it.
    must_be_listed_s : float or None
        A hold sent after this instant lists the run, or it has never run.
    progress_s : float
        Instant of the last change of `percent`.
    checkpoint : str
        Last checkpoint seen.
    percent : int
        Share of its work that is done.
    baseline : ProgressMark or None
        First known progress, None while it is not known.
    load : float
        Tail in milliseconds of a task that serves, else processor in use.
    pace : int
        Share of its speed that it was last told to work at.
    pace_doubted_until_s : float
        Instant until which another order of pace than the last may take effect.
    order_in_flight : bool
        Whether an order for it is unanswered.
    orders : int
        Orders of the present phase that were sent.
    next_order_s : float
        Instant from which the order may be sent again.
    stop_reason : str
        Why it has to end.
    ticket : str
        Proof that the upstream may run it.
    observed : bool
        Whether its speed was taken into the estimates.
    """

    task: TaskId
    run: int
    spec: StepSpec
    queue: str
    priority: int
    phase: RunPhase
    began_s: float
    running_since_s: float | None = None
    must_be_listed_s: float | None = None
    progress_s: float = 0.0
    checkpoint: str = ""
    percent: int = 0
    baseline: ProgressMark | None = None
    load: float = 0.0
    pace: int = 100
    pace_doubted_until_s: float = 0.0
    order_in_flight: bool = False
    orders: int = 0
    next_order_s: float = 0.0
    stop_reason: str = ""
    ticket: str = ""
    observed: bool = False

    @property
    def key(self) -> RunKey:
        """Names the run."""
        return self.task, self.run

    def is_same_gang(self, other: "RunView") -> bool:
        """Return whether another run belongs to the same run of a gang."""
        return (
            self.run == other.run
            and self.task.workload_id == other.task.workload_id
            and self.task.occurrence == other.task.occurrence
            and self.task.step == other.task.step
        )

    def enter(self, phase: RunPhase, now_s: float) -> None:
        """Enter a phase that needs orders of its own."""
        self.phase = phase
        self.orders = 0
        self.next_order_s = now_s
        self.must_be_listed_s = None

    def find_whole_s(self, until: ProgressMark, since_s: float = 0.0) -> float | None:
        """Return the seconds that the whole work takes at the pace up to a mark.

        Parameters
        ----------
        until : ProgressMark
            Last known progress.
        since_s : float
            Earliest instant from which it can have worked.

        Returns
        -------
        float or None
            None if too little progress is known to tell.
        """
        if self.baseline is None:
            return None
        gained = until.percent - self.baseline.percent
        worked_s = until.at_s - max(self.baseline.at_s, since_s)
        if gained < OBSERVED_PERCENT or worked_s <= 0.0:
            return None
        return worked_s * WHOLE_PERCENT / gained

    def find_unsaved_s(self, now_s: float, checkpoint_interval_s: float) -> float:
        """Return the seconds of work that would be lost if the run ended now."""
        if self.running_since_s is None:
            return 0.0
        worked_s = max(now_s - self.running_since_s, 0.0)
        if self.spec.checkpointing:
            return min(worked_s, checkpoint_interval_s)
        return worked_s


@attrs.define(eq=False)
class UpstreamSession:
    """One incarnation of an upstream, and the runs on it.

    Attributes
    ----------
    record : UpstreamRecord
        What it has announced.
    lapse_s : float
        Instant after which nothing that an earlier leader ordered can be at work.
    runs : dict of RunKey to RunView
        Recorded runs whose end has not been recorded.
    used : Resources
        What they take.
    recorded_end, listed_end : int
        Highest number of an end that is recorded, and that was listed.
    clock_ms, clock_read_s : int or None, float
        Last reading of its steady clock, and the instant of its arrival.
    lease_until_ms : int
        Latest end of a lease that was sent, on its clock.
    synced : bool
        Whether it answered a hold of this leader.
    reachable : bool
        Whether the last exchange ended with a reply.
    heard_s : float
        Instant of the last reply or heartbeat.
    heartbeat_sequence : int
        Sequence number of the last heartbeat.
    remaining_until_s : float or None
        Instant until which a draining upstream stays at least.
    hold_in_flight : bool
        Whether a hold is unanswered.
    next_hold_s : float
        Instant of the next hold.
    left_at_s : float or None
        Instant at which it said that it ends.
    opened_s : float
        Instant at which the leader learned of it.
    refused_until_s : float
        Instant until which no start of `refused_needs` or more is sent, after it
        refused one.
    refused_needs : Resources
        Resources of the smallest task that it has refused.
    is_reserved : bool
        Whether its VM is about to have its upkeep.
    unanswered : dict of RunKey to float
        Runs whose start was ordered without an answer, and the instant of that.
    barred : dict of RunKey to float
        Runs of the earlier incarnation under the same identity, and the instant of the
        next order that keeps each from starting here.
    awaits_successor : bool
        Whether a later incarnation under its identity is known to live.
    """

    record: UpstreamRecord
    lapse_s: float
    runs: dict[RunKey, RunView] = attrs.Factory(dict)
    used: Resources = Resources()
    recorded_end: int = 0
    listed_end: int = 0
    clock_ms: int | None = None
    clock_read_s: float = 0.0
    lease_until_ms: int = 0
    synced: bool = False
    reachable: bool = True
    heard_s: float = 0.0
    heartbeat_sequence: int = -1
    remaining_until_s: float | None = None
    hold_in_flight: bool = False
    next_hold_s: float = 0.0
    left_at_s: float | None = None
    opened_s: float = 0.0
    refused_until_s: float = 0.0
    refused_needs: Resources = Resources()
    is_reserved: bool = False
    unanswered: dict[RunKey, float] = attrs.Factory(dict)
    barred: dict[RunKey, float] = attrs.Factory(dict)
    awaits_successor: bool = False

    @property
    def upstream_id(self) -> str:
        """Identity of the upstream."""
        return self.record.upstream_id

    @property
    def room(self) -> Resources:
        """Capacity that no recorded run takes."""
        return self.record.capacity - self.used

    @property
    def room_with_stops(self) -> Resources:
        """Room that there is once the runs that must end have ended."""
        room = self.room
        for view in self.runs.values():
            if view.phase is RunPhase.STOPPING:
                room = room + view.spec.reserved
        return room

    @property
    def is_usable(self) -> bool:
        """Whether new runs may be planned on it."""
        return (
            self.synced
            and self.reachable
            and not self.record.draining
            and not self.is_reserved
            and not self.barred
            and self.left_at_s is None
        )

    def note_refusal(self, needs: Resources, now_s: float, until_s: float) -> None:
        """Note that a start of a task was refused.

        Parameters
        ----------
        needs : Resources
            Resources of the task; none if every start would be refused.
        now_s, until_s : float
            Instants between which no task of this size or more is tried.
        """
        if not self.refuses(needs, now_s):
            self.refused_needs = needs
        self.refused_until_s = until_s

    def refuses(self, needs: Resources, now_s: float) -> bool:
        """Return whether a start of a task would be refused as a lately tried one."""
        return now_s < self.refused_until_s and self.refused_needs.fits(needs)

    def add_run(self, view: RunView) -> None:
        """Take a run into account."""
        self.runs[view.key] = view
        self.used = self.used + view.spec.reserved

    def remove_run(self, key: RunKey) -> RunView | None:
        """Forget a run whose end is recorded."""
        view = self.runs.pop(key, None)
        if view is not None:
            self.used = self.used - view.spec.reserved
        return view

    def count_step(self, task: TaskId) -> int:
        """Return the runs of the same occurrence and step on this upstream."""
        place = (task.workload_id, task.occurrence, task.step)
        return sum(
            (held.workload_id, held.occurrence, held.step) == place
            for held, _ in self.runs
        )

    def note_clock(self, clock_ms: int | None, read_s: float) -> None:
        """Note a reading of the upstream's steady clock."""
        if clock_ms is not None:
            self.clock_ms = clock_ms
            self.clock_read_s = read_s

    def extend_lease(self, lease_s: float, now_s: float) -> int:
        """Return the end of a new lease on the upstream's clock.

        The upstream's clock is at least at its last reading plus the time since then,
        so that the lease never lasts longer than asked for.
        """
        passed_ms = (now_s - self.clock_read_s) * MS_PER_S
        until_ms = int(self.clock_ms + passed_ms + lease_s * MS_PER_S)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        return until_ms

    def find_lapse_s(self, terms: LeaseTerms) -> float:
        """Return the instant after which nothing on the upstream can be at work."""
        if self.clock_ms is None or not self.lease_until_ms:
            return self.lapse_s
        left_s = (self.lease_until_ms - self.clock_ms) / MS_PER_S
        return max(self.lapse_s, self.clock_read_s + terms.stretch(max(left_s, 0.0)))

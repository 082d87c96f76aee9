"""Submissions of a replayed day, and what their callers got."""

import collections
import enum

import attrs

from tanagerpath.benchmarks.workload_kinds import WorkloadKind
from tanagerpath.core.workloads.policy import HARD_DEADLINE_FACTOR
from tanagerpath.core.workloads.specs import StepSpec

__all__ = [
    "DayResult",
    "DayTerms",
    "Outcome",
    "QueueResult",
    "Submission",
    "find_share",
    "judge_queue",
]


class Outcome(enum.StrEnum):
    """What a caller gets in the end.

    FAILED includes workloads that ended too late to count, or not at all. CANCELLED
    ones are in no result.
    """

    ON_TIME = "on time"
    LATE = "late"
    FAILED = "failed"
    REFUSED = "refused"


@attrs.define
class Submission:
    """A workload of the day and what becomes of it."""

    kind: WorkloadKind
    at_s: float
    work_s: float
    credit: float
    cancel_at_s: float | None
    spec: StepSpec
    organisation: str
    ended_s: float | None = None
    returns: int = 0
    is_refused: bool = False

    @property
    def objective_s(self) -> float:
        """Seconds after the submission until which it is on time."""
        return self.kind.factor * self.work_s + self.kind.margin_s

    @property
    def useful_until_s(self) -> float:
        """Time until which its end has a value."""
        return self.at_s + HARD_DEADLINE_FACTOR * self.objective_s

    @property
    def outcome(self) -> Outcome:
        """What the caller got."""
        if self.is_refused:
            return Outcome.REFUSED
        if self.ended_s is None or self.ended_s > self.useful_until_s:
            return Outcome.FAILED
        is_late = self.ended_s - self.at_s > self.objective_s
        return Outcome.LATE if is_late else Outcome.ON_TIME

    @property
    def earned(self) -> float:
        """Credit of the outcome."""
        if self.outcome is Outcome.ON_TIME:
            return self.credit
        if self.outcome is Outcome.LATE:
            return self.credit * self.kind.late_credit / self.kind.credit
        return 0.0


@attrs.frozen(kw_only=True)
class DayTerms:
    """Circumstances of a day besides its fleet and seed.

    Attributes
    ----------
    burst : bool
        Whether many callers come at once for some seconds.
    load : float
        Multiple of all rates.
    backlog_s : float
        Seconds of arrivals of all but urgent work that wait when the day begins.
    admission : str
        Policy that decides on submitted workloads.
    filled : int
        Gangs of the second kind that arrive in the first second, with somewhat more
        workloads of the third kind.
    slow_share : float
        Share of the upstreams that become slow by `SLOW_FACTOR` for some seconds.
    """

    burst: bool = True
    load: float = 1.0
    backlog_s: float = 0.0
    admission: str = "unlimited"
    filled: int = 0
    slow_share: float = 0.0


@attrs.frozen(kw_only=True)
class QueueResult:
    """Workloads of a queue by what their callers got.

    Attributes
    ----------
    share : float
        Share of the credit that was earned.
    on_time, late, failed, refused : int
        Numbers of workloads; see `Outcome`.
    """

    share: float
    on_time: int
    late: int
    failed: int
    refused: int


@attrs.frozen(kw_only=True)
class DayResult:
    """Shares of the credit that a day earned.

    Attributes
    ----------
    whole, worst_windows, worst_kind : float
        Share over the day, its worst windows and its worst kind of workload.
    by_queue : dict of str to QueueResult
        Result by queue.
    wasted_cores_s : float
        Core seconds of work that was thrown away.
    starts, stops : int
        Runs that were started, and runs that were stopped to make room.
    late_starts : float
        Share of the urgent workloads whose first task started more than a second
        after their submission.
    unfinished : int
        Workloads that have not ended some time after the day.
    worthless_cores_s, used_cores_s : float
        Core seconds of all runs of workloads that earned nothing, and of all runs.
    refusals : int
        Refusals, also of workloads that were admitted later.
    """

    whole: float
    worst_windows: float
    worst_kind: float
    by_queue: dict[str, QueueResult]
    wasted_cores_s: float
    starts: int
    stops: int
    late_starts: float
    unfinished: int
    worthless_cores_s: float
    used_cores_s: float
    refusals: int


def judge_queue(submissions: list[Submission]) -> QueueResult:
    """Return the result of the workloads of one queue."""
    counts = collections.Counter(one.outcome for one in submissions)
    return QueueResult(
        share=find_share(submissions),
        on_time=counts[Outcome.ON_TIME],
        late=counts[Outcome.LATE],
        failed=counts[Outcome.FAILED],
        refused=counts[Outcome.REFUSED],
    )


def find_share(submissions: list[Submission]) -> float:
    """Return the share of the credit of some workloads that was earned."""
    owed = sum(one.credit for one in submissions)
    return sum(one.earned for one in submissions) / owed if owed else 1.0

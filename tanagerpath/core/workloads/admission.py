"""Which submitted workloads are accepted while capacity is insufficient."""

import abc
import enum
from collections.abc import Iterable

import attrs

from tanagerpath.core.workloads.pool_capacity import PoolCapacity
from tanagerpath.core.workloads.refusals import MAX_RETRY_S, RefusalRecord
from tanagerpath.core.workloads.work_ahead import (
    Forecast,
    QueueError,
    WorkItem,
    forecast_start,
    sum_ahead_s,
)

__all__ = [
    "AdmissionMode",
    "AdmissionPolicy",
    "AdmissionRequest",
    "Admitted",
    "Outlook",
    "Refused",
    "Unlimited",
    "UsefulWork",
    "make_admission_policy",
]

MIN_RETRY_S = 1.0


class AdmissionMode(enum.StrEnum):
    """Policies by their name in the settings."""

    UNLIMITED = "unlimited"
    USEFUL = "useful"


@attrs.frozen(kw_only=True)
class Outlook:
    """What a policy knows about the pool of a workload.

    Attributes
    ----------
    waiting : tuple of WorkItem
        Waiting work of the pool.
    capacity : PoolCapacity
        Its upstreams.
    errors : dict of str to QueueError
        Errors of the estimates by queue.
    refusals : tuple of RefusalRecord
        Remembered refusals.
    can_remember : bool
        Whether a further refusal can be remembered.
    """

    waiting: tuple[WorkItem, ...] = ()
    capacity: PoolCapacity = attrs.Factory(PoolCapacity)
    errors: dict[str, QueueError] = attrs.Factory(dict)
    refusals: tuple[RefusalRecord, ...] = ()
    can_remember: bool = True


class OutlookSource(abc.ABC):
    """Provides the outlook of a pool; it is built only for a policy that asks."""

    @abc.abstractmethod
    def find_outlook(self, pool: str) -> Outlook:
        """Return the outlook of a pool now."""


@attrs.frozen(kw_only=True)
class AdmissionRequest:
    """A submitted workload that a policy decides on.

    Attributes
    ----------
    item : WorkItem
        Its work, with the arrival at `now_s`.
    pool : str
        Pool of its queue.
    is_exempt : bool
        Whether it has no time by which it must end: repeated and long-running work.
    earlier : RefusalRecord or None
        Its last refusal, whose returned time has passed.
    now_s, now_unix_s : float
        Monotonic time of the leader, and UTC seconds.
    """

    item: WorkItem
    pool: str
    is_exempt: bool = False
    earlier: RefusalRecord | None = None
    now_s: float
    now_unix_s: float


@attrs.frozen(kw_only=True)
class Admitted:
    """The workload is accepted; `figures` go into the log."""

    figures: dict[str, float] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class Refused:
    """The workload is not accepted.

    Attributes
    ----------
    retry_at_unix_s : float
        Time in UTC seconds from which it may be accepted.
    reason : str
        Reason for the log.
    work_s : float
        Seconds for which its work takes the whole pool.
    figures : dict of str to float
        Figures that the decision is based on.
    """

    retry_at_unix_s: float
    reason: str
    work_s: float = 0.0
    figures: dict[str, float] = attrs.Factory(dict)


class AdmissionPolicy(abc.ABC):
    """Decides on submitted workloads.

    Attributes
    ----------
    examines_work : bool
        Whether decisions depend on the request, which takes time to build.
    """

    examines_work = True

    @abc.abstractmethod
    def decide(self, request: AdmissionRequest) -> Admitted | Refused:
        """Return whether a workload is accepted; changes nothing."""


class Unlimited(AdmissionPolicy):
    """Accepts every workload."""

    examines_work = False

    def decide(self, request: AdmissionRequest) -> Admitted | Refused:
        """Accept; see `AdmissionPolicy`."""
        return Admitted()


class UsefulWork(AdmissionPolicy):
    """Refuses workloads that would almost certainly end too late for any value.

    Parameters
    ----------
    source : OutlookSource
        Provides the work ahead.
    """

    def __init__(self, source: OutlookSource) -> None:
        self._source = source

    def decide(self, request: AdmissionRequest) -> Admitted | Refused:
        """Refuse if the earliest start is too late; see `AdmissionPolicy`."""
        item = request.item
        if request.is_exempt or item.is_covered or item.objective_s <= 0.0:
            return Admitted()
        outlook = self._source.find_outlook(request.pool)
        if outlook.capacity.is_empty or not outlook.can_remember:
            return Admitted()
        error = outlook.errors.get(item.queue) or QueueError.from_learned(None)
        latest_s = item.find_latest_start_s(
            outlook.capacity.fastest, error.find_bound_factor(1)
        )
        # Without work ahead, a refusal would not help the workload either.
        allowed_s = max(latest_s - request.now_s, 0.0)
        if sum_ahead_s(item, outlook.waiting, outlook.capacity) <= allowed_s:
            return Admitted()
        forecast = self._forecast(request, outlook)
        figures = _describe(forecast, allowed_s, item)
        if forecast.start_in_s <= allowed_s:
            return Admitted(figures=figures)
        excess_s = forecast.start_in_s - allowed_s
        retry_s = excess_s + _sum_returning_s(request, outlook.refusals)
        retry_s = min(max(retry_s, MIN_RETRY_S), MAX_RETRY_S)
        return Refused(
            retry_at_unix_s=request.now_unix_s + retry_s,
            reason="it would end too late to have a value",
            work_s=item.demand.find_time_s(outlook.capacity.rates),
            figures={**figures, "retry_in_s": round(retry_s, 2)},
        )

    def _forecast(self, request: AdmissionRequest, outlook: Outlook) -> Forecast:
        """Return the earliest start of a workload.

        One that returns is not held up by work of its own priority that was accepted
        after its first refusal.
        """
        since_s = request.now_s
        if request.earlier is not None:
            waited_s = request.now_unix_s - request.earlier.first_refused_unix_s
            since_s -= max(waited_s, 0.0)
        return forecast_start(
            request.item,
            outlook.waiting,
            outlook.capacity,
            outlook.errors,
            request.now_s,
            since_s,
        )


def _describe(forecast: Forecast, allowed_s: float, item: WorkItem) -> dict[str, float]:
    return {
        "start_in_s": round(forecast.start_in_s, 2),
        "allowed_s": round(allowed_s, 2),
        "ahead_s": round(forecast.ahead_s, 2),
        "workloads_ahead": forecast.workloads_ahead,
        "organisations_ahead": forecast.organisations_ahead,
        "objective_s": round(item.objective_s, 2),
        "work_cores_s": round(item.size_cores_s, 1),
    }


def _sum_returning_s(
    request: AdmissionRequest, refusals: Iterable[RefusalRecord]
) -> float:
    """Return the seconds of refused work that should return before a workload."""
    item, earlier = request.item, request.earlier
    first_s = earlier.first_refused_unix_s if earlier else request.now_unix_s
    own = (item.priority, first_s, item.workload_id)
    return sum(
        one.work_s
        for one in refusals
        if one.workload_id != item.workload_id
        and request.now_unix_s < one.retry_at_unix_s
        and (one.priority, one.first_refused_unix_s, one.workload_id) < own
    )


def make_admission_policy(mode: str, source: OutlookSource) -> AdmissionPolicy:
    """Return the policy of a name in the settings."""
    if AdmissionMode(mode) is AdmissionMode.USEFUL:
        return UsefulWork(source)
    return Unlimited()

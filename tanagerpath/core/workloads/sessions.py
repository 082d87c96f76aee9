"""State of each upstream and its runs, as the leader knows it during its term."""

import math

import attrs

from tanagerpath.core.workloads.commands import UpstreamRecord
from tanagerpath.core.workloads.orders import HoldRequest
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.runs import RunFence, RunKey, RunView
from tanagerpath.core.workloads.specs import TaskId

__all__ = [
    "MAX_ORDER_DELAY_S",
    "REFUSAL_BACKOFF_S",
    "LeaseTerms",
    "SentHold",
    "UpstreamSession",
]

MS_PER_S = 1000.0
# An unanswered order may still be carried out this much later.
MAX_ORDER_DELAY_S = 20.0
# A start that is repeated at once would be refused again.
REFUSAL_BACKOFF_S = 1.0
# Below the bound of guaranteed starts, so that an upstream that has recovered is used.
REPEATED_REFUSAL_BACKOFF_S = 2.0
MAX_EARLIER_HOLDS = 3


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


@attrs.frozen
class SentHold:
    """A renewal, the time at which it was sent, and until which it is awaited."""

    request: HoldRequest
    sent_s: float
    expires_s: float


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
    hold : SentHold or None
        The last renewal, while its reply is awaited.
    earlier_holds : list of SentHold
        Renewals before it whose replies may still arrive.
    list_sent_s : float
        Time at which the renewal with the latest lists was sent.
    failed_hold_sent_s : float
        Time at which the last renewal without a reply was sent.
    is_lapsing : bool
        Whether its lease has run out, so that a last renewal is sent.
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
    evacuated_at_s : float or None
        Time at which the leader learned that its availability zone is evacuated.
    is_cordoned : bool
        Whether it gets no new runs, as the upkeep of its VM is near.
    unanswered_starts : dict of RunKey to float
        Runs with an unanswered start order to this or an earlier incarnation, and the
        time of that order.
    fenced_runs : dict of RunKey to RunFence
        Runs of an earlier incarnation that delayed orders may have started here, and
        unknown runs that it has listed.
    late_ends : set of RunKey
        Closed runs whose listed end waits to be recorded.
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
    hold: SentHold | None = None
    earlier_holds: list[SentHold] = attrs.Factory(list)
    list_sent_s: float = -math.inf
    failed_hold_sent_s: float = -math.inf
    is_lapsing: bool = False
    next_hold_s: float = 0.0
    list_due_s: float = math.inf
    refused_holds: int = 0
    departed_at_s: float | None = None
    opened_s: float = 0.0
    refused_until_s: float = 0.0
    refused_needs: Resources = Resources()
    refused_all_count: int = 0
    evacuated_at_s: float | None = None
    is_cordoned: bool = False
    unanswered_starts: dict[RunKey, float] = attrs.Factory(dict)
    fenced_runs: dict[RunKey, RunFence] = attrs.Factory(dict)
    late_ends: set[RunKey] = attrs.Factory(set)
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
            and self.evacuated_at_s is None
            and not self.fenced_runs
            and not self.is_faulted
            and self.departed_at_s is None
        )

    def is_unlisted_since(self, since_s: float) -> bool:
        """Return whether it may soon list ends that the leader does not know.

        It has not replied yet, or not lately, and no renewal since then has failed.
        """
        is_heard = self.synced and self.reachable
        is_left_out = self.is_faulted or self.departed_at_s is not None
        return not (is_heard or is_left_out or self.failed_hold_sent_s >= since_s)

    def is_awaited(self, request: HoldRequest) -> bool:
        """Return whether a request is the last renewal, and without a reply."""
        return self.hold is not None and self.hold.request is request

    def keep_earlier_hold(self, hold: SentHold) -> None:
        """Remember a renewal that a later one replaces."""
        self.earlier_holds = [*self.earlier_holds, hold][-MAX_EARLIER_HOLDS:]

    def take_hold(self, request: HoldRequest) -> SentHold | None:
        """Return the renewal with a request, which has got its reply."""
        if self.is_awaited(request):
            hold, self.hold = self.hold, None
            return hold
        hold = next((one for one in self.earlier_holds if one.request is request), None)
        self.earlier_holds = [one for one in self.earlier_holds if one is not hold]
        return hold

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
        until_ms = int(self._find_clock_ms(now_s) + lease_s * MS_PER_S)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        return until_ms

    def _find_clock_ms(self, now_s: float) -> float:
        """Return a lower bound of what the upstream's clock shows."""
        return self.clock_ms + (now_s - self.clock_read_s) * MS_PER_S

    def choose_start_lease(
        self, lease_s: float, max_delay_s: float, now_s: float
    ) -> int:
        """Return the end of the lease for a start order.

        The upstream refuses a start whose lease has expired, so that no copy of it is
        carried out more than `max_delay_s` later.
        """
        until_ms = self.choose_lease(lease_s, now_s)
        latest_ms = int(self._find_clock_ms(now_s) + max_delay_s * MS_PER_S)
        return min(until_ms, latest_ms)

    def choose_lease(self, lease_s: float, now_s: float) -> int:
        """Return the end of the lease for an order.

        An unreachable upstream may carry an order out much later, and one that refuses
        renewals may never accept one. The order must not extend the lease, or the runs
        there would never count as ended.
        """
        is_renewed = self.reachable and not self.refused_holds
        if not is_renewed and self.lease_until_ms:
            return self.lease_until_ms
        return self.extend_lease(lease_s, now_s)

    def find_lease_expiry_s(self, terms: LeaseTerms) -> float:
        """Return the time by which all leases of the upstream have expired."""
        if self.clock_ms is None or not self.lease_until_ms:
            return self.inherited_lease_expiry_s
        remaining_s = (self.lease_until_ms - self.clock_ms) / MS_PER_S
        expiry_s = self.clock_read_s
        if remaining_s > 0.0:
            expiry_s += terms.find_max_duration_s(remaining_s)
        return max(self.inherited_lease_expiry_s, expiry_s)

"""Commands in the replicated log that change the state of workloads."""

import enum

import attrs

from tanagerpath.core.workloads.cancellations import CancellationRecord
from tanagerpath.core.workloads.configuration import Configuration
from tanagerpath.core.workloads.learned import LearnedFleet
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import TaskId, WorkloadSpec
from tanagerpath.core.workloads.withdrawals import WithdrawalRecord

__all__ = [
    "AcceptWorkload",
    "CancelWorkload",
    "DeclareWave",
    "ExpireWorkloads",
    "PutConfiguration",
    "RecordRuns",
    "RecordUpkeep",
    "RefuseWorkload",
    "RegisterUpstream",
    "RunEnd",
    "RunOutcome",
    "RunStart",
    "SetEvacuation",
    "UpstreamRecord",
    "WithdrawUpstream",
    "WorkloadCommand",
]


class RunOutcome(enum.StrEnum):
    """How a run of a task ended.

    DONE and FAILED are reported by the task. STOPPED follows a stop order, LAPSED the
    end of the lease, BROKEN the end of another member of the gang, and ALONE a timeout
    while waiting for the other members. NOT_STARTED: the upstream confirmed that the
    run never began. LOST: the upstream is gone.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    NOT_STARTED = "not_started"
    LOST = "lost"


@attrs.frozen(kw_only=True)
class UpstreamRecord:
    """An upstream as it describes itself in heartbeats.

    Attributes
    ----------
    upstream_id : str
        Identity, which later incarnations may use again.
    incarnation : str
        Identity of one process lifetime of the upstream.
    born_unix_ms : int
        Start of this incarnation in UTC milliseconds, 0 if unknown.
    pool : str
        Pool that it belongs to.
    address : str
        "ip:port".
    availability_zone : str
        Availability zone of its VM.
    capacity : Resources
        Resources for tasks.
    labels : tuple of str
        Its kind and its rack, in this order.
    draining : bool
        Whether it is shutting down and accepts no new runs.
    vm_id : str
        VM that it runs on, empty if unknown.
    """

    upstream_id: str
    incarnation: str
    born_unix_ms: int = 0
    pool: str
    address: str
    availability_zone: str = ""
    capacity: Resources = Resources()
    labels: tuple[str, ...] = ()
    draining: bool = False
    vm_id: str = ""

    @property
    def rack(self) -> str:
        """Rack from its labels, empty if it has none."""
        return self.labels[-1] if self.labels else ""


@attrs.frozen
class PutConfiguration:
    """Applies a configuration if its version is higher than the current one."""

    configuration: Configuration


@attrs.frozen(kw_only=True)
class AcceptWorkload:
    """Stores a submitted workload, unless its queue was removed meanwhile.

    Attributes
    ----------
    spec : WorkloadSpec
        What was submitted.
    queue, organisation : str
        Where it was submitted, and by whom.
    accepted_at_unix_s : float
        Time of the decision in UTC seconds.
    configuration_version : int or None
        Version of the configuration that the queue was found in. Entries of earlier
        builds have none: they store the workload without a look at the queue, so that
        all replicas hold what the build that first applied them held.
    """

    spec: WorkloadSpec
    queue: str
    organisation: str
    accepted_at_unix_s: float
    configuration_version: int | None = None


@attrs.frozen(kw_only=True)
class RefuseWorkload:
    """Refuses a workload that is not stored, until a time.

    Attributes
    ----------
    workload_id, queue, organisation : str
        What was submitted, where and by whom.
    priority : int
        Priority of the queue.
    refused_at_unix_s, retry_at_unix_s : float
        Time of the decision, and time before which it is not accepted.
    work_s : float
        Seconds for which its work takes the whole pool.
    """

    workload_id: str
    queue: str
    organisation: str
    priority: int = 0
    refused_at_unix_s: float
    retry_at_unix_s: float
    work_s: float = 0.0


@attrs.frozen
class CancelWorkload:
    """Cancels a workload; none of its tasks start afterwards.

    Attributes
    ----------
    workload_id : str
        The workload.
    ended_at_unix_s : float
        Time of the cancellation in UTC seconds.
    if_unknown : CancellationRecord or None
        What is remembered if the workload is not stored. Entries of earlier builds
        have none.
    """

    workload_id: str
    ended_at_unix_s: float
    if_unknown: CancellationRecord | None = None


@attrs.frozen
class RunStart:
    """The start of a run, recorded before the order is sent."""

    task: TaskId
    run: int
    upstream_id: str
    incarnation: str


@attrs.frozen
class RunEnd:
    """The end of a run; `checkpoint` is the last known one, empty for none."""

    task: TaskId
    run: int
    outcome: RunOutcome
    checkpoint: str = ""


@attrs.frozen
class RecordRuns:
    """Records ends of runs, then starts, and new estimates."""

    starts: tuple[RunStart, ...] = ()
    ends: tuple[RunEnd, ...] = ()
    at_unix_s: float = 0.0
    learned: LearnedFleet = LearnedFleet()


@attrs.frozen
class RegisterUpstream:
    """Stores the record of an upstream.

    Attributes
    ----------
    record : UpstreamRecord
        The record.
    checks_birth : bool
        Whether it changes nothing if a later incarnation is registered. Entries of
        earlier builds apply in any case.
    """

    record: UpstreamRecord
    checks_birth: bool = False


@attrs.frozen
class WithdrawUpstream:
    """Removes an upstream that has left or was replaced.

    Attributes
    ----------
    upstream_id, incarnation : str
        The upstream.
    if_final : WithdrawalRecord or None
        What is remembered of an incarnation that has announced its end. None for one
        that may come back, such as a silent one, and in entries of earlier builds.
    """

    upstream_id: str
    incarnation: str
    if_final: WithdrawalRecord | None = None


@attrs.frozen
class ExpireWorkloads:
    """Removes workloads that ended before a given time."""

    ended_before_unix_s: float


@attrs.frozen(kw_only=True)
class DeclareWave:
    """Requests the upkeep of VMs, at most `most_at_once` at a time."""

    wave: int
    vm_ids: tuple[str, ...]
    due_at_unix_s: float
    most_at_once: int


@attrs.frozen
class RecordUpkeep:
    """Records that the upkeep of a VM in a wave has begun or is no longer needed."""

    wave: int
    vm_id: str


@attrs.frozen
class SetEvacuation:
    """Begins or ends the evacuation of an availability zone.

    It applies only to `expected_revision` of the zone, so that a delayed copy of an
    order changes nothing once a later order has taken effect. An order that finds the
    zone as requested also increments the revision: it outdates the copies of earlier,
    unanswered orders.
    """

    zone: str
    is_evacuated: bool
    expected_revision: int


WorkloadCommand = (
    PutConfiguration
    | AcceptWorkload
    | CancelWorkload
    | RecordRuns
    | RegisterUpstream
    | WithdrawUpstream
    | ExpireWorkloads
    | DeclareWave
    | RecordUpkeep
    | SetEvacuation
    | RefuseWorkload
)

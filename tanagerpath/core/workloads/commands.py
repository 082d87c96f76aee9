"""Commands of the replicated log that change the state of workloads."""

import enum

import attrs

from tanagerpath.core.workloads.configuration import Configuration
from tanagerpath.core.workloads.learned import LearnedFleet
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import TaskId, WorkloadSpec

__all__ = [
    "AcceptWorkload",
    "CancelWorkload",
    "DeclareWave",
    "ExpireWorkloads",
    "PutConfiguration",
    "RecordRuns",
    "RecordUpkeep",
    "RegisterUpstream",
    "RunEnd",
    "RunOutcome",
    "RunStart",
    "UpstreamRecord",
    "WithdrawUpstream",
    "WorkloadCommand",
]


class RunOutcome(enum.StrEnum):
    """How a run of a task ended.

    DONE and FAILED are the task's own ends. STOPPED followed an order, LAPSED the end
    of the lease, BROKEN the end of another member of the gang and ALONE a wait for the
    others in vain. NOT_STARTED means that the upstream confirmed that the run never
    began, and LOST that its upstream is gone.
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
    """An upstream as it announced itself.

    Attributes
    ----------
    upstream_id : str
        Identity; it may be used again by a later incarnation.
    incarnation : str
        Names one life of the upstream.
    born_unix_ms : int
        Start of this life in UTC milliseconds, 0 if it is not told.
    pool : str
        Service that it belongs to.
    address : str
        "ip:port".
    availability_zone : str
        Where it runs.
    capacity : Resources
        Room for tasks.
    labels : tuple of str
        Its kind and its rack, in this order.
    draining : bool
        Whether it is about to leave and takes nothing new.
    vm_id : str
        VM that it lives on; empty if it is not told.
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
        """Label of its rack, empty if it has none."""
        return self.labels[-1] if self.labels else ""


@attrs.frozen
class PutConfiguration:
    """Puts a configuration in force if its version is the highest."""

    configuration: Configuration


@attrs.frozen(kw_only=True)
class AcceptWorkload:
    """Stores a submitted workload."""

    spec: WorkloadSpec
    queue: str
    organisation: str
    accepted_at_unix_s: float


@attrs.frozen
class CancelWorkload:
    """Cancels a workload; nothing of it starts any more."""

    workload_id: str
    ended_at_unix_s: float


@attrs.frozen
class RunStart:
    """A run that is about to be started; recorded before the order is sent."""

    task: TaskId
    run: int
    upstream_id: str
    incarnation: str


@attrs.frozen
class RunEnd:
    """A run that has ended; `checkpoint` is the last one seen, empty for none."""

    task: TaskId
    run: int
    outcome: RunOutcome
    checkpoint: str = ""


@attrs.frozen
class RecordRuns:
    """Records ends and starts of runs, the ends first, and what was learned of them."""

    starts: tuple[RunStart, ...] = ()
    ends: tuple[RunEnd, ...] = ()
    at_unix_s: float = 0.0
    learned: LearnedFleet = LearnedFleet()


@attrs.frozen
class RegisterUpstream:
    """Stores what an upstream has announced."""

    record: UpstreamRecord


@attrs.frozen
class WithdrawUpstream:
    """Forgets an upstream that has left or was replaced."""

    upstream_id: str
    incarnation: str


@attrs.frozen
class ExpireWorkloads:
    """Forgets workloads that ended before an instant."""

    ended_before_unix_s: float


@attrs.frozen(kw_only=True)
class DeclareWave:
    """An operator asks for the upkeep of some VMs, at most `most_at_once` at a time."""

    wave: int
    vm_ids: tuple[str, ...]
    due_at_unix_s: float
    most_at_once: int


@attrs.frozen
class RecordUpkeep:
    """The upkeep of a VM in a wave has begun, or is no longer needed."""

    wave: int
    vm_id: str


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
)

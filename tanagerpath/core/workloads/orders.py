"""Messages of the leader to upstreams, the advice service and the platform."""

import enum

import attrs

from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.specs import TaskId
from tanagerpath.errors import Failure

__all__ = [
    "AdviceReply",
    "AdviceRequest",
    "EndedRun",
    "HoldReply",
    "HoldRequest",
    "OrderDone",
    "OrderRefused",
    "PaceRequest",
    "Refusal",
    "RunningTask",
    "StartRequest",
    "StopRequest",
    "Ticket",
    "UpkeepRequest",
    "VmListReply",
    "VmListRequest",
    "VmStatus",
    "WrongIncarnation",
]


class Refusal(enum.StrEnum):
    """Why an upstream refused an order; a refused order has had no effect.

    FENCED: it has seen a higher fencing token. SUPERSEDED: this or a later run of the
    task ended or was stopped there. EXPIRED: the lease in the order has expired.
    NO_ROOM: it lacks resources. NO_TICKET: the order lacks a valid ticket. UNHEALTHY:
    it accepts no work at present. MALFORMED: it can't parse the order. BUSY,
    WRONG_WAVE: the VM is not up, or not in that wave.
    """

    FENCED = "fenced"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"
    BUSY = "busy"
    WRONG_WAVE = "wrong_wave"


@attrs.frozen(kw_only=True)
class WrongIncarnation(Failure):
    """Another incarnation than the intended one answers at the address."""

    not_run: bool = True
    upstream_id: str

    @property
    def message(self) -> str:
        """One-line description for users."""
        return f"another incarnation answers at the address of {self.upstream_id}"


@attrs.frozen(kw_only=True)
class HoldRequest:
    """A renewal: extends the lease of all runs on an upstream and polls its lists.

    Attributes
    ----------
    fencing_token : int
        Term of the leader.
    end_cursor : int
        Number up to which ends are recorded, so that the upstream may drop them.
    lease_until_ms : int
        End of the lease on the upstream's monotonic clock, None without a lease.
    wait_ms : int
        Milliseconds for which the upstream delays its reply until a run ends.
    """

    fencing_token: int
    end_cursor: int
    lease_until_ms: int | None
    wait_ms: int = 0


@attrs.frozen
class RunningTask:
    """A run in progress, as the upstream lists it.

    Attributes
    ----------
    task, run : TaskId, int
        Identity of the run.
    checkpoint : str
        Last checkpoint, empty for none.
    percent : int
        Share of its work that is done.
    load : float
        Tail latency in milliseconds of a serving task, else processor use.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    load: float = 0.0


@attrs.frozen
class EndedRun:
    """A run that has ended; `number` increases within one incarnation."""

    number: int
    task: TaskId
    run: int
    outcome: RunOutcome
    checkpoint: str = ""


@attrs.frozen(kw_only=True)
class HoldReply:
    """Runs that an upstream lists.

    Attributes
    ----------
    clock_ms : int
        Reading of its monotonic clock.
    born_unix_ms : int
        Start of the incarnation in UTC milliseconds, 0 if unknown.
    running : tuple of RunningTask
        Runs in progress.
    ended : tuple of EndedRun
        Ends after the cursor, oldest first.
    is_whole : bool
        Whether the lists name all runs; if not, the absence of one proves nothing.
    """

    clock_ms: int
    born_unix_ms: int = 0
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    is_whole: bool = True


@attrs.frozen(kw_only=True)
class StartRequest:
    """Starts a run."""

    task: TaskId
    run: int
    payload: str
    lease_until_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen(kw_only=True)
class StopRequest:
    """Stops a run, and bars it and earlier runs of the task from starting there."""

    task: TaskId
    run: int
    fencing_token: int


@attrs.frozen(kw_only=True)
class PaceRequest:
    """Throttles a run to a percentage of its full speed."""

    task: TaskId
    run: int
    percent: int
    fencing_token: int


@attrs.frozen
class OrderDone:
    """An order was carried out; `clock_ms` is the upstream's monotonic clock."""

    clock_ms: int | None = None
    born_unix_ms: int = 0


@attrs.frozen
class OrderRefused:
    """An order was not carried out."""

    refusal: Refusal
    clock_ms: int | None = None


@attrs.frozen(kw_only=True)
class AdviceRequest:
    """Asks which upstreams may run a step."""

    workload_id: str
    occurrence: int
    step: int
    upstream_ids: tuple[str, ...]


@attrs.frozen
class Ticket:
    """An upstream that may run a step; `text` proves it to the upstream."""

    upstream_id: str
    text: str


@attrs.frozen
class AdviceReply:
    """Tickets of the upstreams that may run a step."""

    tickets: tuple[Ticket, ...] = ()


@attrs.frozen(kw_only=True)
class UpkeepRequest:
    """Begins the upkeep of a VM, which ends everything that runs on it."""

    vm_id: str
    wave: int
    holder: str
    fencing_token: int


@attrs.frozen(kw_only=True)
class VmListRequest:
    """Asks the platform for a page of its list of VMs; the first one has no token."""

    page_token: str = ""


@attrs.frozen(kw_only=True)
class VmStatus:
    """What the platform says of a VM.

    Attributes
    ----------
    vm_id : str
        The VM.
    upstream_id : str
        Identity of the upstream on it, empty for none.
    is_up : bool
        Whether the VM is up; on others nothing runs.
    """

    vm_id: str
    upstream_id: str
    is_up: bool


@attrs.frozen(kw_only=True)
class VmListReply:
    """A page of the platform's list of VMs.

    Attributes
    ----------
    vms : tuple of VmStatus
        The VMs.
    next_token : str
        Token of the next page, empty on the last one.
    is_whole : bool
        Whether all entries of the page could be read.
    """

    vms: tuple[VmStatus, ...] = ()
    next_token: str = ""
    is_whole: bool = True

"""Messages between the leader and upstreams, services and the platform's VMs."""

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
    "WrongIncarnation",
]


class Refusal(enum.StrEnum):
    """Why an upstream did not carry out an order; it has then done nothing.

    FENCED: it has seen a higher fencing token. SUPERSEDED: this or a later run of the
    task ended or was stopped there. EXPIRED: the lease of the order is over. NO_ROOM,
    NO_TICKET: it lacks room, or the order lacks a valid ticket. UNHEALTHY: it takes no
    work now. MALFORMED: it can't read the order. BUSY, WRONG_WAVE: a VM is not up or
    not in that wave.
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
    """The address belongs to another incarnation than the one that was meant."""

    not_run: bool = True
    upstream_id: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"another incarnation answers at the address of {self.upstream_id}"


@attrs.frozen(kw_only=True)
class HoldRequest:
    """Renews the lease of all runs on an upstream and asks for its lists.

    Attributes
    ----------
    fencing_token : int
        Term of the leader.
    end_cursor : int
        Ends up to this number are recorded and may be forgotten.
    lease_until_ms : int
        End of the lease on the upstream's steady clock.
    wait_ms : int
        Milliseconds for which the upstream waits for an end to answer with.
    """

    fencing_token: int
    end_cursor: int
    lease_until_ms: int | None
    wait_ms: int = 0


@attrs.frozen
class RunningTask:
    """A run that is at work.

    Attributes
    ----------
    task, run : TaskId, int
        The run.
    checkpoint : str
        Its last checkpoint, empty for none.
    percent : int
        Share of its work that is done.
    load : float
        Tail in milliseconds of a task that serves, else processor in use.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    load: float = 0.0


@attrs.frozen
class EndedRun:
    """A run that has ended; `number` grows in one incarnation."""

    number: int
    task: TaskId
    run: int
    outcome: RunOutcome
    checkpoint: str = ""


@attrs.frozen(kw_only=True)
class HoldReply:
    """Lists of an upstream.

    Attributes
    ----------
    clock_ms : int
        Its steady clock.
    born_unix_ms : int
        Start of the incarnation, 0 if it is not told.
    running : tuple of RunningTask
        Runs at work.
    ended : tuple of EndedRun
        Ends after the cursor, oldest first, perhaps not all of them.
    """

    clock_ms: int
    born_unix_ms: int = 0
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedRun, ...] = ()


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
    """Stops a run, and keeps this and all earlier runs from starting there later."""

    task: TaskId
    run: int
    fencing_token: int


@attrs.frozen(kw_only=True)
class PaceRequest:
    """Lets a run work at a share of its speed."""

    task: TaskId
    run: int
    percent: int
    fencing_token: int


@attrs.frozen
class OrderDone:
    """An order was carried out; `clock_ms` is the upstream's steady clock."""

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
    """An upstream that may run a step, and what proves it."""

    upstream_id: str
    text: str


@attrs.frozen
class AdviceReply:
    """Tickets of the upstreams that may run a step."""

    tickets: tuple[Ticket, ...] = ()


@attrs.frozen(kw_only=True)
class UpkeepRequest:
    """Begins the upkeep of a VM; everything on it ends."""

    vm_id: str
    wave: int
    holder: str
    fencing_token: int

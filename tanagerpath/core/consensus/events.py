"""Events that a replica handles and actions that it returns.

The owner of a replica calls `step` with one event at a time and executes the returned
actions in order. Payloads are opaque text to the replica.
"""

import enum

import attrs

from tanagerpath.core.consensus.membership import Membership
from tanagerpath.core.consensus.membership_reports import MembershipReport
from tanagerpath.errors import Failure

__all__ = [
    "Action",
    "CommandProposed",
    "CommittedEntry",
    "DeliverCommitted",
    "EntryKind",
    "Event",
    "LogEntry",
    "MessageReceived",
    "NotLeader",
    "PersistState",
    "ProposalRejected",
    "ProposalUncertain",
    "ReportRole",
    "RequestSnapshot",
    "RestoreSnapshot",
    "Role",
    "SendMessage",
    "Snapshot",
    "SnapshotProvided",
    "StepDownRequested",
    "StorageLost",
    "StorageSynced",
    "Tick",
    "TransferRequested",
]


class Role(enum.StrEnum):
    """Role of a replica in its group."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class EntryKind(enum.StrEnum):
    """Kind of a log entry."""

    COMMAND = "command"
    NO_OPERATION = "no_operation"
    MEMBERSHIP = "membership"


@attrs.frozen
class LogEntry:
    """One record of the replicated log.

    Attributes
    ----------
    index, term : int
        Position of the entry.
    kind : EntryKind
        Command, no-op or membership.
    payload : str
        Text of a command, else empty.
    membership : Membership or None
        Membership from this entry on, for the kind `MEMBERSHIP`.
    """

    index: int
    term: int
    kind: EntryKind
    payload: str = ""
    membership: Membership | None = None


@attrs.frozen
class Snapshot:
    """State after all entries up to and including `last_index`.

    `membership` is the one at `last_index`; `payload` is the encoded state of the state
    machine.
    """

    last_index: int
    last_term: int
    membership: Membership
    payload: str


@attrs.frozen(kw_only=True)
class NotLeader(Failure):
    """The replica is not the leader; `leader_id` is the known leader, if any."""

    not_run: bool = True
    leader_id: str | None = None

    @property
    def message(self) -> str:
        """One line for people."""
        return f"not the leader; the known leader is {self.leader_id!r}"


@attrs.frozen(kw_only=True)
class ProposalUncertain(Failure):
    """Leadership was lost before the entry committed; it may still commit."""

    @property
    def message(self) -> str:
        """One line for people."""
        return "leadership was lost before the entry committed"


@attrs.frozen
class Tick:
    """Time has passed; sent at least every `tick_interval_s`."""


@attrs.frozen
class MessageReceived:
    """A message from another replica arrived.

    Attributes
    ----------
    sender : str
        Identity of the sending replica.
    message : ReplicaMessage
        The message.
    receiver : str
        Identity of the addressee; empty if the sender knows only the address.
    group_id : str
        Group of the sender, empty if it has none.
    sender_address : str
        "ip:port" at which the sender receives replies, empty if unknown.
    """

    sender: str
    message: object
    receiver: str = ""
    group_id: str = ""
    sender_address: str = ""


@attrs.frozen
class CommandProposed:
    """Append a command; the outcome carries the same `proposal_id`."""

    proposal_id: int
    payload: str


@attrs.frozen
class StorageSynced:
    """All writes of `PersistState` up to this sequence number are on disk."""

    sequence: int


@attrs.frozen
class StorageLost:
    """Writes fail or do not complete; the next `StorageSynced` ends this state."""


@attrs.frozen
class SnapshotProvided:
    """The state machine encoded its state after `last_index`."""

    last_index: int
    payload: str


@attrs.frozen
class TransferRequested:
    """Transfer leadership to the most advanced voter; no effect on a follower."""


@attrs.frozen
class StepDownRequested:
    """Stop leading without a successor; no effect on a follower."""


Event = (
    Tick
    | MessageReceived
    | CommandProposed
    | StorageSynced
    | StorageLost
    | SnapshotProvided
    | TransferRequested
    | StepDownRequested
)


@attrs.frozen
class SendMessage:
    """Send a message, which may be lost, duplicated or reordered.

    Attributes
    ----------
    receiver : str
        Identity of the receiver; empty if only its address is known.
    message : ReplicaMessage
        The message.
    address : str
        "ip:port" of the receiver.
    sender : str
        Identity of the sending replica.
    group_id : str
        Group of the sender, empty if it has none.
    sender_address : str
        "ip:port" at which the sender receives replies.
    """

    receiver: str
    message: object
    address: str = ""
    sender: str = ""
    group_id: str = ""
    sender_address: str = ""


@attrs.frozen
class PersistState:
    """Write and sync, then send the event `StorageSynced(sequence)`.

    Attributes
    ----------
    sequence : int
        Increases by one with each write.
    term : int
        Current term.
    voted_for : str or None
        Candidate that this replica voted for in the term.
    truncate_from : int or None
        Remove all entries from this index on before appending.
    entries : tuple of LogEntry
        Entries to append.
    snapshot : Snapshot or None
        Snapshot to store; entries up to its index may be removed.
    replica_id : str or None
        Identity to store, on the first write to an empty directory.
    """

    sequence: int
    term: int
    voted_for: str | None
    truncate_from: int | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None
    replica_id: str | None = None


@attrs.frozen
class CommittedEntry:
    """A committed entry; `proposal_id` is set on the replica that proposed it."""

    entry: LogEntry
    proposal_id: int | None = None


@attrs.frozen
class DeliverCommitted:
    """Apply these entries, each exactly once and in order."""

    entries: tuple[CommittedEntry, ...]


@attrs.frozen
class RestoreSnapshot:
    """Replace the state machine's state."""

    snapshot: Snapshot


@attrs.frozen
class RequestSnapshot:
    """Encode the state after the last delivered entry, as `SnapshotProvided`.

    `last_index` is the index of the last delivered entry. A later snapshot is valid as
    well; the request is repeated if it is not answered.
    """

    last_index: int


@attrs.frozen
class ReportRole:
    """Role, term or known leader changed."""

    role: Role
    term: int
    leader_id: str | None


@attrs.frozen
class ProposalRejected:
    """A proposal failed with `NotLeader` or `ProposalUncertain`."""

    proposal_id: int
    failure: Failure


Action = (
    SendMessage
    | PersistState
    | DeliverCommitted
    | RestoreSnapshot
    | RequestSnapshot
    | ReportRole
    | MembershipReport
    | ProposalRejected
)

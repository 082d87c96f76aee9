"""Messages between replicas of one group.

A leader's messages carry `sent_s`, the send time on its own clock, and the receiver
returns it unchanged. The lease is therefore measured from the send time, however long
a message or its reply was delayed.
"""

import attrs

from tanagerpath.core.consensus.events import LogEntry
from tanagerpath.core.consensus.membership import Membership

__all__ = [
    "AppendReply",
    "AppendRequest",
    "FoundingProposal",
    "JoinReply",
    "JoinRequest",
    "ReplicaMessage",
    "ReplicaNotice",
    "SnapshotChunk",
    "SnapshotChunkReply",
    "StaleTerm",
    "TimeoutNow",
    "VoteReply",
    "VoteRequest",
]


@attrs.frozen
class VoteRequest:
    """Requests a vote, or asks in a pre-vote whether it would be granted.

    Attributes
    ----------
    term : int
        Term of the election.
    last_index, last_term : int
        Position of the last entry of the sender's log.
    pre_vote : bool
        True if the sender has not entered the term yet.
    transfer : bool
        True if the leader transfers leadership to the sender; the receiver then votes
        although it heard from that leader recently.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    transfer: bool = False


@attrs.frozen
class VoteReply:
    """Reply to `VoteRequest`; a refusal carries the term of the receiver."""

    term: int
    granted: bool
    pre_vote: bool = False


@attrs.frozen
class AppendRequest:
    """Entries that follow `prev_index`, or a heartbeat if there are none."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    sent_s: float


@attrs.frozen
class AppendReply:
    """Reply to `AppendRequest`, and to a snapshot that the receiver holds completely.

    Attributes
    ----------
    term : int
        Term of the request and of the replying replica.
    accepted : bool
        False if the log does not match at `prev_index`.
    match_index : int
        Last index that is on disk and equals the leader's log, if accepted.
    prev_index : int
        `prev_index` of the request.
    hint_index : int
        If not accepted, index from which the leader should send.
    sent_s : float
        `sent_s` of the request.
    """

    term: int
    accepted: bool
    match_index: int
    prev_index: int
    hint_index: int
    sent_s: float


@attrs.frozen
class SnapshotChunk:
    """A part of the leader's snapshot, starting at character `offset`."""

    term: int
    last_index: int
    last_term: int
    membership: Membership
    offset: int
    text: str
    complete: bool
    sent_s: float


@attrs.frozen
class SnapshotChunkReply:
    """Reply to `SnapshotChunk`: the receiver needs the text from `next_offset` on."""

    term: int
    last_index: int
    next_offset: int
    sent_s: float


@attrs.frozen
class StaleTerm:
    """Rejects a leader's message of an old term; `term` is the receiver's.

    It carries no `sent_s`: the sender may lead again in `term`, perhaps in a new
    process with another clock, and must not count the rejection for its lease.
    """

    term: int


@attrs.frozen
class TimeoutNow:
    """The leader of `term` asks the receiver to start an election at once."""

    term: int


@attrs.frozen
class JoinRequest:
    """Request of a replica without a leader to become a member.

    `challenge` repeats that of the leader's `JoinReply`; it is empty in the first
    request. The other fields are those of `Member`.
    """

    replica_id: str
    vm_id: str
    address: str
    challenge: str = ""
    fault_domain: str = ""


@attrs.frozen
class JoinReply:
    """Reply to `JoinRequest`.

    Attributes
    ----------
    replica_id, vm_id, address, fault_domain : str
        Identity and location of the sender.
    formed : bool
        False if the sender's directory is empty.
    holds_replica : bool
        False if the sender has no disk and can never be a member.
    challenge : str
        Random text of a leader. Only a live replica can repeat it, so a delayed request
        of a lost identity cannot replace a newer identity.
    """

    replica_id: str
    vm_id: str
    address: str
    formed: bool
    challenge: str = ""
    fault_domain: str = ""
    holds_replica: bool = True


@attrs.frozen
class FoundingProposal:
    """First entry of a new group; all founding members store it as index 1."""

    entry: LogEntry


@attrs.frozen
class ReplicaNotice:
    """Tells a control process without a replica the "ip:port" of a replica."""

    address: str


ReplicaMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotChunkReply
    | StaleTerm
    | TimeoutNow
    | JoinRequest
    | JoinReply
    | FoundingProposal
    | ReplicaNotice
)

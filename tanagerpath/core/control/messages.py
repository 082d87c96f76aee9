"""Input events and output actions of a control node."""

import attrs

from tanagerpath.core import consensus
from tanagerpath.core.coordination import (
    CallUpstream,
    CountEvent,
    RecordPeriod,
    UpstreamCallFailed,
    UpstreamReplied,
)
from tanagerpath.core.protocol.internal import InternalReply, InternalRequest

__all__ = [
    "ControlAction",
    "ControlEvent",
    "LeaderLate",
    "LeadershipTransferRequested",
    "RequestArrived",
    "SendReply",
]


@attrs.frozen
class RequestArrived:
    """A request of an entry; the reply carries the same token."""

    token: int
    request: InternalRequest


@attrs.frozen
class LeadershipTransferRequested:
    """Transfer leadership; the reply is sent once another replica leads."""

    token: int


@attrs.frozen
class LeaderLate:
    """The leader hands over, as its ticks were late by `lateness_s` in sum."""

    term: int
    lateness_s: float


@attrs.frozen
class SendReply:
    """Answer the exchange of a token; None answers a leadership transfer."""

    token: int
    reply: InternalReply | None


ControlEvent = (
    consensus.MessageReceived
    | consensus.StorageSynced
    | consensus.StorageLost
    | RequestArrived
    | LeadershipTransferRequested
    | UpstreamReplied
    | UpstreamCallFailed
)

ControlAction = (
    consensus.SendMessage
    | consensus.PersistState
    | consensus.ReportRole
    | consensus.MembershipReport
    | LeaderLate
    | SendReply
    | CallUpstream
    | RecordPeriod
    | CountEvent
)

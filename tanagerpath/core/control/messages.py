"""Events that a control node takes and actions that it returns."""

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
    "AnswerRequest",
    "ControlAction",
    "ControlEvent",
    "HandOverRequested",
    "RequestArrived",
]


@attrs.frozen
class RequestArrived:
    """An entry asks; the answer carries the same token."""

    token: int
    request: InternalRequest


@attrs.frozen
class HandOverRequested:
    """Give leadership away; the answer comes once another replica leads."""

    token: int


@attrs.frozen
class AnswerRequest:
    """Answer the exchange that a token names; None answers a hand-over."""

    token: int
    reply: InternalReply | None


ControlEvent = (
    consensus.MessageReceived
    | consensus.StorageSynced
    | consensus.StorageLost
    | RequestArrived
    | HandOverRequested
    | UpstreamReplied
    | UpstreamCallFailed
)

ControlAction = (
    consensus.SendMessage
    | consensus.PersistState
    | consensus.ReportRole
    | consensus.MembershipReport
    | AnswerRequest
    | CallUpstream
    | RecordPeriod
    | CountEvent
)

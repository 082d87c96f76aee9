"""Messages to the task that owns a control process's state."""

import attrs

from tanagerpath.core.consensus import MessageReceived
from tanagerpath.core.protocol.internal import InternalRequest
from tanagerpath.runtime import Reply

__all__ = ["AskLeader", "ConsensusArrived", "HandOver"]


@attrs.frozen
class ConsensusArrived:
    """Messages of other replicas arrived."""

    messages: tuple[MessageReceived, ...]


@attrs.frozen(eq=False)
class AskLeader:
    """An entry asks; `reply` gets an `InternalReply`."""

    request: InternalRequest
    reply: Reply


@attrs.frozen(eq=False)
class HandOver:
    """Give leadership away; `reply` gets None once another replica leads."""

    reply: Reply

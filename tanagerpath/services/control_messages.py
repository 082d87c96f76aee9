"""Messages to the task that owns a control process's state."""

import attrs

from tanagerpath.core.consensus import MessageReceived
from tanagerpath.core.protocol.internal import InternalRequest
from tanagerpath.runtime import Reply

__all__ = ["AskLeader", "ConsensusArrived", "HandOver", "ReturnPathClosed"]


@attrs.frozen(eq=False)
class ConsensusArrived:
    """Messages of another replica arrived.

    `reply` gets the messages that go back in the same exchange, as a tuple of
    `SendMessage`.
    """

    messages: tuple[MessageReceived, ...]
    reply: Reply


@attrs.frozen(eq=False)
class ReturnPathClosed:
    """The exchange of a replica ended without a message for it."""

    sender: str
    reply: Reply


@attrs.frozen(eq=False)
class AskLeader:
    """An entry asks; `reply` gets an `InternalReply`."""

    request: InternalRequest
    reply: Reply


@attrs.frozen(eq=False)
class HandOver:
    """Give leadership away; `reply` gets None once another replica leads."""

    reply: Reply

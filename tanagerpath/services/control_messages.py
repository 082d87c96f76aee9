"""Messages to the task that owns the state of a control process."""

import attrs

from tanagerpath.core.consensus import MessageReceived
from tanagerpath.runtime import Reply

__all__ = ["AskLeader", "ConsensusArrived", "ResponseTimedOut", "TransferLeadership"]


@attrs.frozen(eq=False)
class ConsensusArrived:
    """Messages of another replica arrived.

    `reply` gets the messages to send back in the response, as a tuple of
    `SendMessage`.
    """

    messages: tuple[MessageReceived, ...]
    reply: Reply


@attrs.frozen(eq=False)
class ResponseTimedOut:
    """The hold time of a response to a replica ended without messages for it."""

    sender: str
    reply: Reply


@attrs.frozen(eq=False)
class AskLeader:
    """A request for the leader; `reply` gets the reply of its protocol."""

    request: object
    reply: Reply


@attrs.frozen(eq=False)
class TransferLeadership:
    """Transfers leadership; `reply` gets None once another replica leads."""

    reply: Reply

"""Messages that are piggybacked on the responses to other replicas."""

from tanagerpath.core.consensus import SendMessage
from tanagerpath.runtime import Reply

__all__ = ["PendingResponses"]


class PendingResponses:
    """Held-back responses to other replicas, keyed by replica.

    The reply to an append usually follows after one sync of the disk, so most replies
    fit into the response and need no exchange of their own.
    """

    def __init__(self) -> None:
        self._replies: dict[str, Reply[tuple[SendMessage, ...]]] = {}
        self._messages: dict[str, list[SendMessage]] = {}

    def open(self, sender: str, reply: Reply) -> None:
        """Hold the response to a replica back; an earlier one is sent empty."""
        earlier = self._replies.pop(sender, None)
        if earlier is not None:
            earlier.send(())
        self._replies[sender] = reply

    def close(self, sender: str, reply: Reply) -> None:
        """Forget a response that was sent without messages."""
        if self._replies.get(sender) is reply:
            del self._replies[sender]

    def add(self, message: SendMessage) -> bool:
        """Add a message to the response to its receiver; False if none is held back."""
        if message.receiver not in self._replies:
            return False
        self._messages.setdefault(message.receiver, []).append(message)
        return True

    def flush(self) -> None:
        """Send the responses that messages were added to."""
        for receiver, messages in self._messages.items():
            self._replies.pop(receiver).send(tuple(messages))
        self._messages.clear()

"""Messages to another replica that ride on the reply to its own exchange."""

from tanagerpath.core.consensus import SendMessage
from tanagerpath.runtime import Reply

__all__ = ["ReturnPaths"]


class ReturnPaths:
    """Open exchanges of other replicas, by the replica that waits.

    An answer to an append usually follows within a sync of the disk, so most answers
    need no exchange of their own.
    """

    def __init__(self) -> None:
        self._open: dict[str, Reply[tuple[SendMessage, ...]]] = {}
        self._ready: dict[str, list[SendMessage]] = {}

    def open(self, sender: str, reply: Reply) -> None:
        """Note that a replica waits; an earlier exchange of it is released."""
        earlier = self._open.pop(sender, None)
        if earlier is not None:
            earlier.send(())
        self._open[sender] = reply

    def close(self, sender: str, reply: Reply) -> None:
        """Note that an exchange has ended without a message."""
        if self._open.get(sender) is reply:
            del self._open[sender]

    def take(self, message: SendMessage) -> bool:
        """Keep a message for an open exchange; False if there is none."""
        if message.receiver not in self._open:
            return False
        self._ready.setdefault(message.receiver, []).append(message)
        return True

    def flush(self) -> None:
        """End the exchanges for which messages were kept."""
        for receiver, messages in self._ready.items():
            self._open.pop(receiver).send(tuple(messages))
        self._ready.clear()

"""Relay of a control process that has no disk and holds no replica."""

from tanagerpath.core.consensus.events import MessageReceived, SendMessage
from tanagerpath.core.consensus.messages import JoinReply, JoinRequest, ReplicaNotice

__all__ = ["Relay"]


class Relay:
    """Tells joining replicas that it holds none, and forwards their requests.

    Parameters
    ----------
    vm_id : str
        VM of the process.
    address : str
        "ip:port" at which it receives messages.
    """

    def __init__(self, vm_id: str, address: str) -> None:
        self._vm_id = vm_id
        self._address = address

    def find_replica(self, received: MessageReceived) -> str | None:
        """Return the replica address that a message announces, None if it has none."""
        message = received.message
        announces_replica = isinstance(message, (JoinRequest, ReplicaNotice))
        return message.address if announces_replica else None

    def answer(self, received: MessageReceived) -> SendMessage | None:
        """Return the reply to a join request, None for any other message."""
        request = received.message
        if not isinstance(request, JoinRequest):
            return None
        reply = JoinReply(
            self._vm_id, self._vm_id, self._address, formed=False, holds_replica=False
        )
        return SendMessage(
            request.replica_id,
            reply,
            request.address,
            self._vm_id,
            sender_address=self._address,
        )

    def forward(
        self, received: MessageReceived, leader_address: str
    ) -> SendMessage | None:
        """Return the message to the leader, None if nothing is forwarded.

        Only a request received from the joining replica itself is forwarded, so that
        requests do not loop between relays.
        """
        request = received.message
        is_first = isinstance(request, JoinRequest) and (
            received.sender == request.replica_id
        )
        if not is_first or leader_address in ("", self._address):
            return None
        return SendMessage(
            "",
            request,
            leader_address,
            self._vm_id,
            received.group_id,
            self._address,
        )

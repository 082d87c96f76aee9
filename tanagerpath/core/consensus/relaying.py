"""What a control process without a disk answers to replicas; it holds none itself."""

from tanagerpath.core.consensus.events import MessageReceived, SendMessage
from tanagerpath.core.consensus.messages import JoinReply, JoinRequest, ReplicaNotice

__all__ = ["Relay"]


class Relay:
    """Tells joining replicas that no replica is here, and passes them on to the leader.

    Parameters
    ----------
    vm_id : str
        VM of the process.
    address : str
        "ip:port" at which it takes messages.
    """

    def __init__(self, vm_id: str, address: str) -> None:
        self._vm_id = vm_id
        self._address = address

    def find_replica(self, received: MessageReceived) -> str | None:
        """Return the address of the replica that a message tells of, if any."""
        message = received.message
        is_telling = isinstance(message, (JoinRequest, ReplicaNotice))
        return message.address if is_telling else None

    def answer(self, received: MessageReceived) -> SendMessage | None:
        """Return the answer to a request to join, None to any other message."""
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
        """Return what goes to the leader, None for what is not to be passed on.

        Only a request that comes from the joining replica itself is passed on, so that
        it doesn't go round between relays.
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

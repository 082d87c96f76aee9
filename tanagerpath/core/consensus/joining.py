"""Join requests that a leader receives."""

import attrs

from tanagerpath.core.consensus.context import ReplicaContext
from tanagerpath.core.consensus.membership import Member, MemberRole
from tanagerpath.core.consensus.messages import JoinRequest

__all__ = ["PendingJoins"]

CHALLENGE_BITS = 64
# Only configured VMs ask; beyond this number, challenges are those of lost identities.
MAX_CHALLENGES = 64


@attrs.frozen
class _Challenge:
    """Random text that a joining replica must repeat before `expires_s`."""

    text: str
    expires_s: float

    def is_met(self, request: JoinRequest, now_s: float) -> bool:
        """Return whether a request repeats the challenge before it expires."""
        return request.challenge == self.text and now_s < self.expires_s


class PendingJoins:
    """Checks that joining replicas are alive and queues them for admission.

    Parameters
    ----------
    context : ReplicaContext
        Shared state of the replica.
    """

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self._joining: dict[str, Member] = {}
        self._challenges: dict[str, _Challenge] = {}

    def handle_join_request(self, request: JoinRequest) -> str:
        """Handle a join request, and queue the replica once it met its challenge.

        Returns
        -------
        str
            Challenge that the replica must repeat, empty if none is needed.
        """
        if not self._needs_change(request):
            return ""
        if not request.challenge:
            return self._issue_challenge(request.replica_id)
        issued = self._challenges.get(request.replica_id)
        if issued is not None and issued.is_met(request, self._context.now_s):
            self._joining[request.vm_id] = Member(
                request.replica_id,
                request.vm_id,
                request.address,
                MemberRole.LEARNER,
                request.fault_domain,
            )
        # No new challenge after a wrong one: duplicated requests would multiply.
        return ""

    def take_member(self) -> Member | None:
        """Remove and return a queued replica, as a learner."""
        return self._joining.popitem()[1] if self._joining else None

    def _needs_change(self, request: JoinRequest) -> bool:
        context = self._context
        if request.replica_id in context.membership.retired:
            return False
        if request.vm_id == context.config.vm_id:
            return False
        known = context.membership.find(request.replica_id)
        return known is None or known.address != request.address

    def _issue_challenge(self, replica_id: str) -> str:
        context = self._context
        issued = self._challenges.get(replica_id)
        if issued is None or context.now_s >= issued.expires_s:
            if len(self._challenges) >= MAX_CHALLENGES:
                self._challenges.clear()
            text = f"{context.random.getrandbits(CHALLENGE_BITS):016x}"
            expires_s = context.now_s + context.config.empty_report_validity_s
            issued = _Challenge(text, expires_s)
            self._challenges[replica_id] = issued
        return issued.text

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
class _Validity:
    """Term and time within which the leader relies on what a replica has sent.

    In a later term another leader may have admitted a newer identity of the VM.
    """

    term: int
    expires_s: float

    def holds(self, context: ReplicaContext) -> bool:
        """Return whether the term is the current one and the time has not passed."""
        return context.term == self.term and context.now_s < self.expires_s


@attrs.frozen
class _Challenge:
    """Random text that a joining replica must repeat."""

    text: str
    vm_id: str
    validity: _Validity


@attrs.frozen
class _PendingJoin:
    """Replica that has met its challenge and waits for admission."""

    member: Member
    validity: _Validity


class PendingJoins:
    """Checks that joining replicas are alive and queues them for admission.

    Parameters
    ----------
    context : ReplicaContext
        Shared state of the replica.
    """

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self._joining: dict[str, _PendingJoin] = {}
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
            return self._issue_challenge(request)
        if self._meets_challenge(request):
            self._queue(request)
        # No new challenge after a wrong one: duplicated requests would multiply.
        return ""

    def _meets_challenge(self, request: JoinRequest) -> bool:
        issued = self._challenges.get(request.replica_id)
        if issued is None or not issued.validity.holds(self._context):
            return False
        return request.challenge == issued.text

    def _queue(self, request: JoinRequest) -> None:
        """Queue a replica, and forget the challenges of its VM's other identities.

        A delayed request of an identity whose disk was lost since would replace it.
        """
        member = Member(
            request.replica_id,
            request.vm_id,
            request.address,
            MemberRole.LEARNER,
            request.fault_domain,
        )
        self._joining[request.vm_id] = _PendingJoin(member, self._make_validity())
        self._challenges = {
            replica_id: issued
            for replica_id, issued in self._challenges.items()
            if issued.vm_id != request.vm_id or replica_id == request.replica_id
        }

    def _make_validity(self) -> _Validity:
        context = self._context
        expires_s = context.now_s + context.config.empty_report_validity_s
        return _Validity(context.term, expires_s)

    def take_member(self) -> Member | None:
        """Remove and return a queued replica, as a learner."""
        while self._joining:
            pending = self._joining.popitem()[1]
            if pending.validity.holds(self._context):
                return pending.member
        return None

    def _needs_change(self, request: JoinRequest) -> bool:
        context = self._context
        if request.replica_id in context.membership.retired:
            return False
        if request.vm_id == context.config.vm_id:
            return False
        known = context.membership.find(request.replica_id)
        return known is None or known.address != request.address

    def _issue_challenge(self, request: JoinRequest) -> str:
        context = self._context
        issued = self._challenges.get(request.replica_id)
        if issued is None or not issued.validity.holds(context):
            if len(self._challenges) >= MAX_CHALLENGES:
                self._challenges.clear()
            text = f"{context.random.getrandbits(CHALLENGE_BITS):016x}"
            issued = _Challenge(text, request.vm_id, self._make_validity())
            self._challenges[request.replica_id] = issued
        return issued.text

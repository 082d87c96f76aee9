"""Leader election with pre-vote."""

from tanagerpath.core.consensus.context import ReplicaContext
from tanagerpath.core.consensus.events import Role
from tanagerpath.core.consensus.messages import TimeoutNow, VoteReply, VoteRequest

__all__ = ["Elections"]


class Elections:
    """Starts elections and answers vote requests.

    A replica that heard from a leader less than `election_timeout_min_s` ago refuses
    to vote, so a leader's lease expires before a quorum can elect another leader. The
    start of the process counts as such a contact, because a restarted replica does not
    know which leader it replied to before.

    A replica whose disk rejects writes neither starts elections nor answers vote
    requests, because it could store neither the term nor the vote.

    Parameters
    ----------
    context : ReplicaContext
        Shared state of the replica.
    """

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self._votes_granted: set[str] = set()
        self._vote_sequence = 0

    def tick(self) -> None:
        """Start a pre-vote if no leader was heard within the election timeout."""
        context = self._context
        if context.role is Role.LEADER or not context.is_voter:
            return
        if context.now_s < context.election_deadline_s:
            return
        if context.journal.storage_lost:
            context.restart_election_timeout()
        else:
            self._start_pre_vote()

    def cancel_candidacy(self) -> None:
        """Become a follower if this replica is a candidate."""
        context = self._context
        if context.role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            context.become_follower(context.term, None)

    def _start_pre_vote(self) -> None:
        context = self._context
        context.role = Role.PRE_CANDIDATE
        context.leader_id = None
        self._votes_granted = {context.replica_id}
        self._request_votes(context.term + 1, pre_vote=True)
        self._check_pre_vote()

    def _start_election(self, transfer: bool = False) -> None:
        context = self._context
        context.enter_term(context.term + 1, context.replica_id)
        context.role = Role.CANDIDATE
        context.leader_id = None
        context.was_transferred = transfer
        self._votes_granted = set()
        self._vote_sequence = context.journal.next_sequence
        self._request_votes(context.term, pre_vote=False, transfer=transfer)

    def _request_votes(self, term: int, pre_vote: bool, transfer: bool = False) -> None:
        context = self._context
        context.restart_election_timeout()
        log = context.log
        request = VoteRequest(term, log.last_index, log.last_term, pre_vote, transfer)
        for voter in context.membership.voters:
            if voter != context.replica_id:
                context.send(voter, request)

    def handle_vote_request(self, sender: str, request: VoteRequest) -> None:
        """Grant or refuse a vote; the class says when a vote is refused."""
        context = self._context
        if context.journal.storage_lost:
            return
        if not request.transfer and self._has_leader():
            self._reply(sender, request, granted=False)
            return
        if request.pre_vote:
            granted = request.term > context.term and self._is_up_to_date(request)
            self._reply(sender, request, granted)
            return
        if request.term > context.term:
            context.become_follower(request.term, None)
        granted = (
            request.term == context.term
            and context.voted_for in (None, sender)
            and self._is_up_to_date(request)
        )
        if granted:
            context.enter_term(request.term, sender)
            context.restart_election_timeout()
        self._reply(sender, request, granted)

    def _has_leader(self) -> bool:
        return (
            self._context.role is Role.LEADER
            or self._context.has_recent_leader_contact()
        )

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        log = self._context.log
        position = (request.last_term, request.last_index)
        return position >= (log.last_term, log.last_index)

    def _reply(self, sender: str, request: VoteRequest, granted: bool) -> None:
        term = request.term if granted else self._context.term
        self._context.send(sender, VoteReply(term, granted, request.pre_vote))

    def handle_vote_reply(self, sender: str, reply: VoteReply) -> None:
        """Count a granted vote; a refusal may carry a higher term."""
        context = self._context
        if not reply.granted:
            if reply.term > context.term:
                context.become_follower(reply.term, None)
            return
        if reply.pre_vote:
            if context.role is Role.PRE_CANDIDATE and reply.term == context.term + 1:
                self._votes_granted.add(sender)
                self._check_pre_vote()
        elif context.role is Role.CANDIDATE and reply.term == context.term:
            self._votes_granted.add(sender)

    def _check_pre_vote(self) -> None:
        if self._context.membership.has_quorum(self._votes_granted):
            self._start_election()

    def has_won(self) -> bool:
        """Return whether a quorum voted; this replica's vote counts once synced."""
        context = self._context
        if context.role is not Role.CANDIDATE:
            return False
        if context.journal.synced_sequence >= self._vote_sequence:
            self._votes_granted.add(context.replica_id)
        return context.membership.has_quorum(self._votes_granted)

    def handle_timeout_now(self, sender: str, request: TimeoutNow) -> None:
        """Start an election at once because the leader transfers leadership."""
        context = self._context
        from_leader = sender == context.leader_id and request.term == context.term
        may_start = context.role is Role.FOLLOWER and not context.journal.storage_lost
        if from_leader and may_start:
            self._start_election(transfer=True)

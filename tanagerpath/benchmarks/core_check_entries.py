"""Entries of the check: the real view and routes, with the loops of the services.

`_LeaderCall` and the feed loop repeat what `services.leader_link` and
`services.feed` do with sockets.
"""

from tanagerpath.benchmarks.core_check_promises import Promises
from tanagerpath.benchmarks.core_check_world import Party, Refused, Respond, World
from tanagerpath.core.admission import (
    DocumentView,
    EntryStale,
    LeaderRoute,
    NoLeader,
    OutcomeUncertain,
    RetryBudget,
)
from tanagerpath.core.consensus import ProposalUncertain
from tanagerpath.core.model import JobRequest
from tanagerpath.core.protocol import internal
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.state.failures import UnknownOrganisation, UnknownService
from tanagerpath.errors import Failure

__all__ = ["EntryVm"]

STALENESS_BOUND_S = 3.0
LEADER_TIMEOUT_S = 5.0
EXCHANGE_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.02
SEARCH_PAUSE_S = 0.05
RETRY_RATIO = 0.2
# Requests whose repetition by the network is part of the check; the others are
# repeated by entries and callers themselves.
REPEATABLE = (internal.FeedRequest, internal.TaskReport, internal.Announcement)


class _LeaderCall:
    """Asks the leader until it answers or the deadline has passed."""

    def __init__(self, entry: "EntryVm", request: object, respond: Respond) -> None:
        self._entry = entry
        self._world = entry.world
        self._request = request
        self._respond = respond
        self._start = entry.starts
        self._deadline_s = entry.world.now_s + LEADER_TIMEOUT_S
        self._uncertain: Failure | None = None
        self._address = ""

    def try_next(self) -> None:
        """Send the request to the leader, if one is known."""
        entry = self._entry
        if not entry.is_up or entry.starts != self._start:
            return
        if self._world.now_s >= self._deadline_s:
            self._give_up()
            return
        if entry.route.leader_address is None:
            self._world.schedule(SEARCH_PAUSE_S, self.try_next)
            return
        self._address = entry.route.leader_address
        left_s = self._deadline_s - self._world.now_s
        self._world.exchange(
            entry,
            entry.find_control(self._address),
            self._request,
            self._finish,
            min(EXCHANGE_TIMEOUT_S, left_s),
            isinstance(self._request, REPEATABLE),
        )

    def _finish(self, reply: object) -> None:
        route = self._entry.route
        if isinstance(reply, internal.NotLeaderReply):
            route.note_hint(self._address, reply.leader_address)
            if reply.may_commit:
                self._uncertain = ProposalUncertain()
        elif isinstance(reply, Failure):
            route.note_no_reply(self._address)
            if not isinstance(reply, Refused):
                self._uncertain = reply
                if not self._entry.budget.take_retry():
                    self._give_up()
                    return
        else:
            self._respond(reply)
            return
        self._world.schedule(RETRY_PAUSE_S, self.try_next)

    def _give_up(self) -> None:
        failure: Failure = NoLeader()
        if self._uncertain is not None:
            failure = OutcomeUncertain(detail=self._uncertain.message)
        self._respond(ErrorBody.from_failure(failure))


class EntryVm(Party):
    """One entry process.

    Parameters
    ----------
    world : World
        Where it lives.
    name : str
        Name of the entry.
    controls : dict of str to Party
        Control VMs by address.
    promises : Promises
        Sees the view of the entry.
    """

    def __init__(
        self,
        world: World,
        name: str,
        controls: dict[str, Party],
        promises: Promises,
    ) -> None:
        super().__init__(world, name)
        self._controls = controls
        self._promises = promises
        self._reset()

    def _reset(self) -> None:
        addresses = tuple(self._controls)
        self.view = DocumentView(STALENESS_BOUND_S)
        self.route = LeaderRoute(addresses)
        self.budget = RetryBudget(RETRY_RATIO)
        self._feed_route = LeaderRoute(addresses)
        self._index = 0

    def start(self) -> None:
        """Start a process that knows nothing."""
        if self.is_up:
            return
        self.begin()
        self._reset()
        self.world.note(f"{self.name} starts")
        self._poll(self.starts)

    def crash(self) -> None:
        """Kill the process."""
        self.end()

    def find_control(self, address: str) -> Party:
        """Return the control VM at an address."""
        return self._controls[address]

    def serve(self, request: object, respond: Respond) -> None:
        """Handle a request of a caller, an operator or an upstream."""
        if isinstance(request, JobRequest):
            refusal = self._find_refusal(request)
            if refusal is not None:
                respond(ErrorBody.from_failure(refusal))
                return
            request = internal.AcceptRequest(request)
        self.budget.note_request()
        _LeaderCall(self, request, respond).try_next()

    def _find_refusal(self, job: JobRequest) -> Failure | None:
        if not self.view.is_fresh(self.local_s):
            return EntryStale()
        document = self.view.find_document(job.service)
        if document is None:
            return UnknownService(service=job.service)
        if document.find_organisation(job.organisation) is None:
            return UnknownOrganisation(
                service=job.service, organisation=job.organisation
            )
        return None

    def _poll(self, start: int) -> None:
        if not self.is_up or self.starts != start:
            return
        if self.frozen:
            self.receive(lambda: self._poll(start))
            return
        address = self._feed_route.choose()
        asked_at_s = self.local_s

        def finish(reply: object) -> None:
            pause_s = self._take_poll(address, asked_at_s, reply)
            self.world.schedule(pause_s, lambda: self._poll(start))

        request = internal.FeedRequest(self.name, self._index)
        control = self._controls[address]
        self.world.exchange(self, control, request, finish, EXCHANGE_TIMEOUT_S)

    def _take_poll(self, address: str, asked_at_s: float, reply: object) -> float:
        if isinstance(reply, internal.FeedReply):
            self._feed_route.note_leader(address)
            self.route.note_leader(address)
            if reply.index >= self._index:
                self._index = reply.index
                self.view.apply_feed(reply, asked_at_s)
                self._promises.check_entry(self)
            return 0.0
        if isinstance(reply, internal.NotLeaderReply):
            self._feed_route.note_hint(address, reply.leader_address)
        else:
            self._feed_route.note_no_reply(address)
        return SEARCH_PAUSE_S

"""Callers and operators of the check."""

from collections.abc import Callable

import attrs

from tanagerpath.benchmarks.core_check_promises import Promises
from tanagerpath.benchmarks.core_check_world import Party, World
from tanagerpath.codecs import encode_json
from tanagerpath.core.model import (
    GuaranteedShape,
    JobClass,
    JobRequest,
    OrganisationTerms,
    ServiceDocument,
)
from tanagerpath.core.protocol import internal
from tanagerpath.core.protocol.callers import DocumentReply, ErrorBody, JobReply
from tanagerpath.core.state import make_job_id
from tanagerpath.emulator.scripts import TaskScript

__all__ = ["Caller", "Operator", "draw_job", "make_document"]

CALLER_TIMEOUT_S = 6.0
SERVICE = "route"
ORGANISATIONS = ("gold", "silver", "iron")
QUOTA_ACCELERATORS = 64


def make_document(
    service: str, revision: int, owner: str, guarantee: GuaranteedShape
) -> ServiceDocument:
    """Return a document; only the main service carries the guarantee."""
    shapes = (guarantee,) if service == SERVICE else ()
    organisations = tuple(
        OrganisationTerms(name, QUOTA_ACCELERATORS, shapes if name == "gold" else ())
        for name in ORGANISATIONS
    )
    return ServiceDocument(service, revision, owner, organisations)


def draw_job(world: World, number: int, guarantee: GuaranteedShape) -> JobRequest:
    """Return a random job."""
    source = world.random
    size = source.choices((1, 8, 16), (4, 3, 3))[0]
    guaranteed = source.random() < 0.15
    if guaranteed:
        size = guarantee.accelerators
    fail = None
    if source.random() < 0.1:
        fail = source.choice(("run", "start") if size <= 8 else ("run",))
    # Some gangs outlast a lease, so that the loss of a member shows.
    long_weight = 6 if size > 8 else 1
    script = TaskScript(
        run_ms=source.choices((20, 200, 1000, 3000, 12_000), (4, 4, 4, 4, long_weight))[
            0
        ],
        echo=f"echo-{number}",
        answer_bytes=source.choice((0, 50)),
        fail=fail,
        hang=source.random() < 0.07,
    )
    deadline_unix_s = None
    if source.random() < 0.15:
        deadline_unix_s = world.unix_s + source.uniform(0.5, 12.0)
    return JobRequest(
        organisation="gold" if guaranteed else source.choice(ORGANISATIONS),
        service=SERVICE,
        key=f"key-{number}",
        job_class=source.choice(list(JobClass)),
        accelerators=size,
        payload=encode_json(script),
        idempotent=source.random() < (0.8 if size > 8 else 0.6),
        checkpointable=source.random() < 0.3,
        guaranteed=guaranteed,
        deadline_unix_s=deadline_unix_s,
        expected_run_s=script.run_ms / 1000,
    )


@attrs.define
class Caller:
    """Submits one job and follows it to its end.

    Attributes
    ----------
    party : Party
        Where the callers are in the network.
    job : JobRequest
        The job.
    may_give_up : bool
        Whether a refusal as not run may be the end of it.
    """

    world: World
    party: Party
    entries: list[Party]
    promises: Promises
    job: JobRequest
    job_id: str = ""
    accepted: bool = False
    done: bool = False
    cancelling: bool = False
    may_give_up: bool = True
    sends: int = 0
    refusals: int = 0
    gave_up: bool = False

    def __attrs_post_init__(self) -> None:
        """Name the job."""
        job = self.job
        self.job_id = make_job_id(job.organisation, job.service, job.key)

    def begin(self) -> None:
        """Submit the job, sometimes twice at the same time."""
        self.promises.note_submitted(self.job_id, self.job)
        self._submit()
        if self.world.random.random() < 0.25:
            self._after(0.0, 0.3, self._submit)
        if '"hang":true' in self.job.payload.replace(" ", ""):
            self._after(2.0, 6.0, self.cancel)

    def cancel(self) -> None:
        """Ask for the end of the job until it has ended."""
        if self.done:
            return
        self.cancelling = True
        if self.accepted:
            self._ask(internal.CancelRequest(self.job_id), self._take_state)
        self._after(1.0, 3.0, self.cancel)

    def verify(self) -> None:
        """Ask once more for an answer that was given before."""
        if self.accepted:
            self._ask(internal.JobQuery(self.job_id), self._take_state)

    def _after(self, low_s: float, high_s: float, action: Callable[[], None]) -> None:
        self.world.schedule(self.world.random.uniform(low_s, high_s), action)

    def _ask(self, request: object, finish: Callable[[object], None]) -> None:
        entry = self.world.random.choice(self.entries)
        self.world.exchange(
            self.party, entry, request, finish, CALLER_TIMEOUT_S, repeat=False
        )

    def _submit(self) -> None:
        if not self.gave_up:
            self.sends += 1
            self._ask(self.job, self._take_submit)

    def _take_submit(self, reply: object) -> None:
        if isinstance(reply, JobReply):
            first = not self.accepted
            self.accepted = True
            self._take_state(reply)
            if first:
                self._poll()
            return
        if isinstance(reply, ErrorBody) and reply.not_run:
            self.refusals += 1
            self._consider_giving_up(reply)
            if reply.type == "DeadlinePassed" and not self.accepted:
                self._stop_after_deadline(reply)
        if not self.accepted and not self.gave_up:
            self._after(0.1, 1.5, self._resend)

    def _resend(self) -> None:
        if not self.accepted:
            self._submit()

    def _consider_giving_up(self, refusal: ErrorBody) -> None:
        """Stop after a refusal, if every request so far was refused as not run."""
        if self.refusals < self.sends or not self.may_give_up:
            return
        if self.world.random.random() < 0.5:
            self.gave_up = self.done = True
            self.promises.note_not_run(self.job_id, refusal.type)

    def _stop_after_deadline(self, refusal: ErrorBody) -> None:
        """Stop asking; an unanswered request may still be accepted."""
        if not self.done and self.refusals == self.sends:
            self.promises.note_not_run(self.job_id, refusal.type)
        self.gave_up = self.done = True

    def _poll(self) -> None:
        if self.done:
            return
        self._ask(internal.JobQuery(self.job_id), self._take_state)
        self._after(0.4, 1.5, self._poll)

    def _take_state(self, reply: object) -> None:
        if isinstance(reply, ErrorBody) and reply.type == "UnknownJob":
            self.promises.note_forgotten(self.job_id)
        if not isinstance(reply, JobReply):
            return
        self.promises.note_told(self.job_id, reply)
        if reply.state.is_final and not self.done:
            self.done = True
            if self.world.random.random() < 0.3:
                self._after(0.5, 5.0, self._submit)


@attrs.define
class Operator:
    """Changes a document in a race with the other operators of its service."""

    world: World
    party: Party
    entries: list[Party]
    name: str
    service: str
    guarantee: GuaranteedShape
    active: bool = True
    revision: int = 0
    sent: int = 0

    def begin(self) -> None:
        """Send a change of the newest revision that is known."""
        if not self.active:
            return
        self.sent += 1
        owner = f"{self.name}-{self.sent}"
        document = make_document(self.service, self.revision + 1, owner, self.guarantee)
        self._send(document)

    def look(self) -> None:
        """Ask for the document and for the status of the system."""
        request: object = internal.StatusRequest()
        if self.world.random.random() < 0.5:
            request = internal.DocumentQuery(self.service)
        self._ask(request, lambda reply: None)

    def _ask(self, request: object, finish: Callable[[object], None]) -> None:
        entry = self.world.random.choice(self.entries)
        self.world.exchange(
            self.party, entry, request, finish, CALLER_TIMEOUT_S, repeat=False
        )

    def _send(self, document: ServiceDocument) -> None:
        def finish(reply: object) -> None:
            if isinstance(reply, DocumentReply):
                self.revision = max(self.revision, document.revision)
            elif isinstance(reply, ErrorBody) and reply.current_revision is not None:
                self.revision = max(self.revision, reply.current_revision)
            else:
                # The answer is lost or unclear: the same change is sent again.
                self._after(0.1, 1.0, lambda: self._send(document))
                return
            self._after(0.2, 3.0, self.begin)

        self._ask(internal.ApplyRequest(document), finish)

    def _after(self, low_s: float, high_s: float, action: Callable[[], None]) -> None:
        self.world.schedule(self.world.random.uniform(low_s, high_s), action)

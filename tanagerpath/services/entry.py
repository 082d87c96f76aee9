"""Entry process of gang jobs, which serves callers, operators and upstreams."""

import anyio
import attrs
from anyio.abc import TaskGroup

from tanagerpath.codecs import MalformedMessage, encode_json
from tanagerpath.core.admission import (
    DocumentView,
    EntryDraining,
    EntryStale,
    LeaderRoute,
    RequestLimits,
    RetryBudget,
)
from tanagerpath.core.protocol.callers import ErrorBody, ErrorReply
from tanagerpath.core.state.failures import UnknownOrganisation, UnknownService
from tanagerpath.errors import Failure
from tanagerpath.observability.logs import get_logger
from tanagerpath.runtime import Application, Clock, Mailbox, Reply, SystemClock, Task
from tanagerpath.runtime.guards import ListenerGuard
from tanagerpath.runtime.limits import (
    BODY_TOO_LARGE,
    MIB,
    ListenerLimits,
)
from tanagerpath.runtime.server import HttpServer, bind_listener
from tanagerpath.services.entry_routes import EntryRoutes
from tanagerpath.services.feed import FeedArrived, FeedTask
from tanagerpath.services.job_protocol import JOB_PROTOCOL
from tanagerpath.services.leader_link import LeaderLink
from tanagerpath.services.messages import (
    Admit,
    BeginDrain,
    CheckReadiness,
    Release,
    UnwatchJob,
    WatchJob,
)
from tanagerpath.settings import EntrySettings

__all__ = ["EntryApplication", "EntryTask"]

DRAIN_POLL_S = 0.05
MAX_BODY_BYTES = 8 * MIB


def _make_guard() -> ListenerGuard:
    """Return the limits for all clients; the interface refuses large bodies by 400."""
    failure = MalformedMessage(
        value=f"a body of more than {MAX_BODY_BYTES} bytes",
        expected=f"at most {MAX_BODY_BYTES} bytes",
    )
    refusal = attrs.evolve(
        BODY_TOO_LARGE,
        status=400,
        text=encode_json(ErrorReply(ErrorBody.from_failure(failure))).encode(),
        content_type=b"application/json",
    )
    limits = ListenerLimits(max_body_bytes=MAX_BODY_BYTES)
    return ListenerGuard("entry", limits, body_too_large=refusal, trusts_length=False)


class EntryTask(Task):
    """Owns the entry's view of the documents, its request limits and its watchers.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the process.
    clock : Clock
        Source of the current time.
    """

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._clock = clock
        self._view = DocumentView(settings.staleness_bound_s)
        self._limits = RequestLimits(
            settings.max_requests_in_flight, settings.max_requests_per_organisation
        )
        self._watchers: dict[str, list[Reply[None]]] = {}
        self._draining = False
        self.mailbox: Mailbox = Mailbox("entry")

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            self._handle(await self.mailbox.receive())

    def _handle(self, message: object) -> None:
        match message:
            case Admit(job, reply):
                reply.send(self._admit(job))
            case Release(organisation):
                self._limits.release(organisation)
            case WatchJob(job_id, changed):
                self._watchers.setdefault(job_id, []).append(changed)
            case UnwatchJob(job_id, changed):
                self._unwatch(job_id, changed)
            case FeedArrived():
                self._apply_feed(message)
            case BeginDrain():
                self._draining = True
            case CheckReadiness(reply):
                reply.send(self._find_unready_reason())

    def _find_unready_reason(self) -> Failure | None:
        if self._draining:
            return EntryDraining()
        if not self._view.is_fresh(anyio.current_time()):
            return EntryStale()
        return None

    def _admit(self, job) -> Failure | None:
        refusal = self._find_unready_reason()
        if refusal is not None:
            return refusal
        document = self._view.find_document(job.service)
        if document is None:
            return UnknownService(service=job.service)
        if document.find_organisation(job.organisation) is None:
            return UnknownOrganisation(
                service=job.service, organisation=job.organisation
            )
        return self._limits.admit(job.organisation, self._clock.read_unix_s())

    def _apply_feed(self, arrived: FeedArrived) -> None:
        if not self._view.apply_feed(arrived.reply, arrived.asked_at_s):
            return
        if arrived.reply.complete:
            # A complete feed omits ended jobs; every watcher has to query its job.
            changed_ids = list(self._watchers)
        else:
            changed_ids = [change.job_id for change in arrived.reply.jobs]
        for job_id in changed_ids:
            for changed in self._watchers.pop(job_id, ()):
                changed.send(None)

    def _unwatch(self, job_id: str, changed: Reply[None]) -> None:
        watchers = self._watchers.get(job_id, [])
        if changed in watchers:
            watchers.remove(changed)
        if not watchers:
            self._watchers.pop(job_id, None)


class EntryApplication(Application):
    """All tasks of an entry process.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the process.
    clock : Clock, optional
        Source of the current time.
    """

    def __init__(self, settings: EntrySettings, clock: Clock | None = None) -> None:
        super().__init__()
        self._settings = settings
        self._log = get_logger("entry")
        self._entry = EntryTask(settings, clock or SystemClock())
        addresses = tuple(c.address for c in settings.control_addresses)
        self._leader = LeaderLink(
            LeaderRoute(addresses),
            JOB_PROTOCOL,
            settings.exchange_timeout_s,
            RetryBudget(settings.retry_budget_ratio),
        )
        self._feed = FeedTask(
            settings.vm_id,
            addresses,
            settings.exchange_timeout_s,
            self._entry.mailbox,
            self._leader.mailbox,
        )
        self._routes = EntryRoutes(self._entry.mailbox, self._leader)
        self._server: HttpServer | None = None

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> "EntryApplication":
        """Build the application of a process."""
        return cls(settings)

    @property
    def address(self) -> str:
        """Bound address as "ip:port", once started."""
        return self._server.address

    async def start(self, tasks: TaskGroup) -> None:
        """Bind the socket and start all tasks."""
        listener = bind_listener(self._settings.listen)
        self._server = HttpServer(
            listener,
            self._routes.list_routes(),
            self._routes.list_error_handlers(),
            _make_guard(),
        )
        tasks.start_soon(self._entry.run)
        tasks.start_soon(self._leader.run)
        tasks.start_soon(self._feed.run)
        tasks.start_soon(self._server.run)
        self._log.info(
            "started",
            address=self._server.address,
            availability_zone=self._settings.availability_zone,
        )

    async def drain(self) -> None:
        """Fail the readiness check, then finish the requests in flight."""
        self._log.info("draining")
        self._routes.fail_readiness()
        self._server.close_keepalive_connections()
        await anyio.sleep(self._settings.drain_notice_s)
        self._entry.mailbox.post(BeginDrain())
        with anyio.move_on_after(self._settings.drain_timeout_s):
            while self._routes.callers_in_flight:
                await anyio.sleep(DRAIN_POLL_S)
        self._routes.release_waiting_callers()
        await self._server.stop()
        self._log.info("stopped")

"""Tasks of a stand-in upstream that send announcements and reports to entries."""

import itertools
import math

import anyio
import attrs
from returns.pipeline import is_successful

from tanagerpath.codecs import decode_json, encode_json
from tanagerpath.core.protocol.upstreams import (
    Announcement,
    AnnouncementReply,
    LeaveNotice,
    LeaveReply,
    ReportReply,
    TaskReport,
)
from tanagerpath.emulator.faults import Faults, ReportDelivery, ReportFault
from tanagerpath.emulator.tasks_table import MemberKey
from tanagerpath.runtime import Mailbox, Task
from tanagerpath.runtime.client import HttpClient

__all__ = [
    "Acknowledged",
    "Announcer",
    "EntryClients",
    "LeaveBegun",
    "RenewalSeen",
    "Reporter",
]

ANNOUNCE_AFTER_S = 3.0
RESEND_INTERVAL_S = 1.0
LEAVE_INTERVAL_S = 0.25
EXCHANGE_TIMEOUT_S = 1.0
CONNECTIONS_PER_ENTRY = 8


@attrs.frozen
class RenewalSeen:
    """The upstream got a renewal at an instant on the clock of the event loop."""

    at_s: float


@attrs.frozen
class LeaveBegun:
    """The upstream wants to leave."""


@attrs.frozen
class Acknowledged:
    """The report of a member was acknowledged."""

    key: MemberKey


class EntryClients:
    """Clients of all entries; a failure moves on to the next entry.

    Parameters
    ----------
    clients : list of HttpClient
        One for each entry.
    offset : int
        Index of the entry that is used first.
    """

    def __init__(self, clients: list[HttpClient], offset: int) -> None:
        self._clients = clients
        self._index = offset % len(clients)

    @classmethod
    def from_addresses(cls, addresses: list[str], offset: int) -> "EntryClients":
        """Return clients of entries at "ip:port" addresses."""
        clients = [HttpClient(a, CONNECTIONS_PER_ENTRY) for a in addresses]
        return cls(clients, offset)

    async def post(self, path: str, message: object, kind: type) -> object | None:
        """Send a message; return the decoded reply, or None after a failure."""
        index = self._index
        result = await self._clients[index].exchange(
            "POST", path, encode_json(message).encode(), timeout_s=EXCHANGE_TIMEOUT_S
        )
        if is_successful(result) and result.unwrap().status == 200:
            return decode_json(result.unwrap().body, kind).value_or(None)
        if index == self._index:
            self._index = (index + 1) % len(self._clients)
        return None


class Announcer(Task):
    """Announces the upstream whenever it sees no renewal, and takes its leave.

    Parameters
    ----------
    announcement : Announcement
        What to announce.
    entries : EntryClients
        Where to.
    """

    def __init__(self, announcement: Announcement, entries: EntryClients) -> None:
        self.mailbox: Mailbox = Mailbox("announcer")
        self.drained = anyio.Event()
        self._announcement = announcement
        self._entries = entries
        self._announce_at_s = -math.inf
        self._leaving = False
        self._silent = False

    async def run(self) -> None:
        """Announce at the instants that the renewals leave."""
        while True:
            message = await self.mailbox.receive(self._announce_at_s)
            if isinstance(message, RenewalSeen):
                self._delay(message.at_s + ANNOUNCE_AFTER_S)
            elif isinstance(message, Faults):
                self._silent = message.silent
            elif isinstance(message, LeaveBegun):
                self._leaving = True
                self._announce_at_s = -math.inf
            elif self._silent or self.drained.is_set():
                self._announce_at_s = anyio.current_time() + RESEND_INTERVAL_S
            elif self._leaving:
                await self._leave()
            else:
                await self._announce()

    def _delay(self, until_s: float) -> None:
        if not self._leaving:
            self._announce_at_s = until_s

    async def _announce(self) -> None:
        reply = await self._entries.post(
            "/v1/upstreams/announce", self._announcement, AnnouncementReply
        )
        wait_s = ANNOUNCE_AFTER_S if reply is not None else RESEND_INTERVAL_S / 2
        self._announce_at_s = anyio.current_time() + wait_s

    async def _leave(self) -> None:
        upstream_id = self._announcement.capacity.upstream_id
        notice = LeaveNotice(upstream_id, self._announcement.incarnation)
        reply = await self._entries.post("/v1/upstreams/leave", notice, LeaveReply)
        if reply is not None and reply.drained:
            self.drained.set()
        self._announce_at_s = anyio.current_time() + LEAVE_INTERVAL_S


class Reporter(Task):
    """Sends each report until it is acknowledged.

    Parameters
    ----------
    entries : EntryClients
        Where to.
    """

    def __init__(self, entries: EntryClients) -> None:
        self.mailbox: Mailbox = Mailbox("reporter")
        self.upstream_mailbox: Mailbox | None = None
        self._entries = entries
        self._faults = Faults()
        self._last_answered: TaskReport | None = None

    async def run(self) -> None:
        """Send reports side by side, so that a slow one delays no other."""
        async with anyio.create_task_group() as sends:
            while True:
                message = await self.mailbox.receive()
                if isinstance(message, Faults):
                    self._faults = message
                else:
                    sends.start_soon(self._send, message, self._distort(message))

    def _distort(self, report: TaskReport) -> list[ReportDelivery]:
        fault = ReportFault.from_kind(self._faults.reports)
        deliveries = fault.distort(report, self._last_answered)
        if report.answer is not None:
            self._last_answered = report
        return deliveries

    async def _send(self, report: TaskReport, first: list[ReportDelivery]) -> None:
        resend = ReportDelivery(report, delay_s=RESEND_INTERVAL_S)
        acknowledged = False
        for delivery in itertools.chain(first, itertools.repeat(resend)):
            if acknowledged and delivery is resend:
                break
            await anyio.sleep(delivery.delay_s)
            acknowledged = await self._deliver(delivery) or acknowledged
        status = report.status
        key = MemberKey(status.job_id, status.attempt, status.rank)
        self.upstream_mailbox.post(Acknowledged(key))

    async def _deliver(self, delivery: ReportDelivery) -> bool:
        if self._faults.silent:
            return False
        reply = await self._entries.post("/v1/reports", delivery.report, ReportReply)
        return delivery.genuine and reply is not None and reply.acknowledged

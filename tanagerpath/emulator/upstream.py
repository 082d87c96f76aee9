"""Stand-in upstreams: HTTP round `tasks_table`, one or many in a process.

``python -m tanagerpath.emulator.upstream --help`` lists the flags. Once all listen, one
JSON line with the addresses goes to the standard output. SIGTERM makes each upstream
leave: it takes nothing new, and the process ends once every upstream is drained.

Each upstream appends what happens to the journal, so that faults of the system can be
counted from outside it (`tanagerpath.emulator.evidence` does so):

Partial gang
    An attempt counts as a partial gang if some of its ranks ran to the end while
    another rank never started; or if a rank kept running for longer than lease plus
    margin (6.5 s) after another rank had ended without being finished, or while another
    rank never started. A rank on an upstream whose process was killed ended at that
    instant.

Doubled run
    A non-idempotent job with more than one attempt in which any rank started, or with a
    rank that started twice in one attempt; or any job of which a caller was given the
    answers of two attempts.
"""

import argparse
import json
import pathlib
import signal
import sys
import time
import uuid

import anyio
import attrs
from anyio.abc import TaskGroup
from returns.pipeline import is_successful
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tanagerpath.codecs import decode_json, encode_json
from tanagerpath.core.model import UpstreamCapacity, UpstreamLocation
from tanagerpath.core.protocol.callers import ErrorBody, ErrorReply
from tanagerpath.core.protocol.upstreams import (
    Announcement,
    CheckpointRequest,
    ProbeRequest,
    RenewRequest,
    ReserveRequest,
    StartRequest,
    StopRequest,
    ThrottleRequest,
)
from tanagerpath.emulator.faults import Faults
from tanagerpath.emulator.journal import Journal, JournalLine
from tanagerpath.emulator.outbound import (
    Acknowledged,
    Announcer,
    EntryClients,
    LeaveBegun,
    RenewalSeen,
    Reporter,
)
from tanagerpath.emulator.tasks_table import MemberEvent, StaleTerm, TasksTable
from tanagerpath.errors import Failure
from tanagerpath.runtime import Application, Mailbox, Reply, Task
from tanagerpath.runtime.server import HttpServer, bind_listener

__all__ = ["UpstreamTask", "UpstreamsApplication", "main"]

SILENCE_LIMIT_S = 30.0
POSITIONS_PER_RACK = 8
_PATHS = {
    "/v1/renew": RenewRequest,
    "/v1/reserve": ReserveRequest,
    "/v1/start": StartRequest,
    "/v1/stop": StopRequest,
    "/v1/checkpoint": CheckpointRequest,
    "/v1/throttle": ThrottleRequest,
    "/v1/probe": ProbeRequest,
}


@attrs.frozen
class Call:
    """A request to the upstream, and the place for the reply."""

    request: object
    reply: Reply


@attrs.frozen
class LeaveCommand:
    """Makes the upstream leave."""


def read_clock_ms() -> int:
    """Return the upstream's monotonic clock in milliseconds."""
    return int(time.monotonic() * 1000)


class UpstreamTask(Task):
    """Owns the table of one upstream.

    Parameters
    ----------
    table : TasksTable
        State of the upstream.
    journal : Journal
        Where events go; shared by the upstreams of the process.
    announcer : Announcer
        Gets what it has to know about renewals and faults.
    reporter : Reporter
        Gets the reports that are due.
    """

    def __init__(
        self,
        table: TasksTable,
        journal: Journal,
        announcer: Announcer,
        reporter: Reporter,
    ) -> None:
        self.mailbox: Mailbox = Mailbox(table.capacity.upstream_id)
        self._table = table
        self._journal = journal
        self._announcer = announcer
        self._reporter = reporter

    async def run(self) -> None:
        """Answer calls and end tasks at their instants."""
        while True:
            message = await self.mailbox.receive(self._table.next_deadline_ms() / 1000)
            self._table.advance(read_clock_ms())
            if message is not None:
                self._handle(message)
            self._publish()

    def _handle(self, message: object) -> None:
        if isinstance(message, Call):
            reply = self._answer(message.request)
            if not self._table.faults.silent or isinstance(message.request, Faults):
                message.reply.send(reply)
        elif isinstance(message, Acknowledged):
            self._table.acknowledge(message.key)
        elif isinstance(message, LeaveCommand):
            self._table.leaving = True
            self._announcer.mailbox.post(LeaveBegun())

    def _answer(self, request: object) -> object:
        clock_ms = read_clock_ms()
        table = self._table
        if isinstance(request, Faults):
            return self._set_faults(request)
        if table.faults.silent:
            return None
        if isinstance(request, RenewRequest):
            return self._renew(request, clock_ms)
        if isinstance(request, ReserveRequest):
            return table.reserve(request, clock_ms)
        if isinstance(request, StartRequest):
            return table.start(request, clock_ms)
        if isinstance(request, StopRequest):
            return table.stop(request, clock_ms)
        if isinstance(request, CheckpointRequest):
            return table.checkpoint(request, clock_ms)
        if isinstance(request, ThrottleRequest):
            return table.throttle(request, clock_ms)
        return table.probe(request.term)

    def _renew(self, request: RenewRequest, clock_ms: int) -> object:
        reply = self._table.renew(request, clock_ms)
        if not isinstance(reply, StaleTerm):
            self._announcer.mailbox.post(RenewalSeen(anyio.current_time()))
        return reply

    def _set_faults(self, faults: Faults) -> Faults:
        self._table.faults = faults
        self._announcer.mailbox.post(faults)
        self._reporter.mailbox.post(faults)
        return faults

    def _publish(self) -> None:
        for event in self._table.take_events():
            self._journal.append(self._describe(event))
        for report in self._table.take_reports():
            self._reporter.mailbox.post(report)

    def _describe(self, event: MemberEvent) -> JournalLine:
        return JournalLine(
            unix_s=time.time(),
            upstream_id=self._table.capacity.upstream_id,
            event=event.event,
            incarnation=self._table.incarnation,
            job_id=event.key.job_id,
            attempt=event.key.attempt,
            rank=event.key.rank,
            gang_size=event.gang_size,
            payload_sha256=event.payload_sha256,
        )


def _render(value: object) -> Response:
    if isinstance(value, Failure):
        text = encode_json(ErrorReply(ErrorBody.from_failure(value)))
        status = 409 if isinstance(value, StaleTerm) else 400
        return Response(text, status, media_type="application/json")
    return Response(encode_json(value), media_type="application/json")


def make_routes(mailbox: Mailbox) -> list[Route]:
    """Return the routes that pass requests on to the mailbox of an upstream."""

    async def serve(request: Request) -> Response:
        kind = _PATHS.get(request.url.path, Faults)
        message = decode_json(await request.body(), kind)
        if not is_successful(message):
            return _render(message.failure())
        reply: Reply = Reply()
        mailbox.post(Call(message.unwrap(), reply))
        value = await reply.receive(anyio.current_time() + SILENCE_LIMIT_S)
        return Response(status_code=503) if value is None else _render(value)

    async def leave(request: Request) -> Response:
        mailbox.post(LeaveCommand())
        return Response("{}", media_type="application/json")

    paths = [*_PATHS, "/emulator/v1/faults"]
    routes = [Route(path, serve, methods=["POST"]) for path in paths]
    return [*routes, Route("/emulator/v1/leave", leave, methods=["POST"])]


class UpstreamsApplication(Application):
    """Hosts stand-in upstreams with consecutive places.

    Parameters
    ----------
    options : argparse.Namespace
        Flags of the command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__()
        self._options = options
        self._journal = Journal(pathlib.Path(options.journal))
        self._servers: list[HttpServer] = []
        self._upstreams: list[UpstreamTask] = []
        self._announcers: list[Announcer] = []

    async def start(self, tasks: TaskGroup) -> None:
        """Listen for each upstream and start its tasks."""
        addresses = {}
        for index in range(self._options.count):
            capacity = self.make_capacity(index)
            addresses[capacity.upstream_id] = self._start_one(tasks, index, capacity)
        print(json.dumps({"ready": True, "upstreams": addresses}), flush=True)

    def make_capacity(self, index: int) -> UpstreamCapacity:
        """Return what the upstream with an index carries."""
        options = self._options
        place = options.position + index
        location = UpstreamLocation(
            options.availability_zone,
            options.rack + place // POSITIONS_PER_RACK,
            place % POSITIONS_PER_RACK,
        )
        return UpstreamCapacity(
            upstream_id=_count_up(options.upstream_id, index),
            location=location,
            accelerators=options.accelerators,
            cores=options.cores,
            memory_bytes=options.memory_bytes,
            slots=options.slots,
            services=tuple(options.services.split(",")),
        )

    def _start_one(
        self, tasks: TaskGroup, index: int, capacity: UpstreamCapacity
    ) -> str:
        host, _, port = self._options.listen.rpartition(":")
        number = int(port) + index if int(port) else 0
        listener = bind_listener(f"{host}:{number}")
        address = f"{host}:{listener.getsockname()[1]}"
        incarnation = uuid.uuid4().hex
        entries = EntryClients.from_addresses(self._options.entries, offset=index)
        announcement = Announcement(
            capacity, self._options.announce_address or address, incarnation
        )
        announcer = Announcer(announcement, entries)
        reporter = Reporter(entries)
        table = TasksTable(capacity, incarnation)
        upstream = UpstreamTask(table, self._journal, announcer, reporter)
        reporter.upstream_mailbox = upstream.mailbox
        if self._options.faults is not None:
            upstream.mailbox.post(Call(self._options.faults, Reply()))
        server = HttpServer(listener, make_routes(upstream.mailbox))
        for task in (upstream, announcer, reporter, server):
            tasks.start_soon(task.run)
        self._upstreams.append(upstream)
        self._announcers.append(announcer)
        self._servers.append(server)
        return address

    async def drain(self) -> None:
        """Leave with each upstream and wait until all are drained."""
        for upstream in self._upstreams:
            upstream.mailbox.post(LeaveCommand())
        with anyio.move_on_after(self._options.drain_limit_s):
            for announcer in self._announcers:
                await announcer.drained.wait()

    async def close(self) -> None:
        """Close the journal."""
        self._journal.close()


def _count_up(name: str, index: int) -> str:
    stem = name.rstrip("0123456789")
    digits = name[len(stem) :]
    return f"{stem}{int(digits or 0) + index}" if index or digits else name


def _read_faults(text: str) -> Faults:
    result = decode_json(text, Faults)
    if not is_successful(result):
        raise argparse.ArgumentTypeError(result.failure().message)
    return result.unwrap()


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m tanagerpath.emulator.upstream",
        description="Run stand-in upstreams on loopback.",
    )
    add = parser.add_argument
    add("--upstream-id", default="u1", help="id of the first upstream; later ones +1")
    add("--count", type=int, default=1, help="upstreams in this process")
    add("--listen", default="127.0.0.1:0", help="ip:port of the first; later ones +1")
    add("--announce-address", default="", help="ip:port to announce, as behind a proxy")
    add("--entries", required=True, type=lambda text: text.split(","))
    add("--availability-zone", default="a")
    add("--rack", type=int, default=0)
    add("--position", type=int, default=0)
    add("--accelerators", type=int, default=8)
    add("--cores", type=int, default=60)
    add("--memory-bytes", type=int, default=250 * 10**9)
    add("--slots", type=int, default=8)
    add("--services", default="demo", help="comma-separated names")
    add("--journal", required=True, help="file that gets the JSON lines")
    add("--faults", type=_read_faults, default=None, help="JSON text of the faults")
    add("--drain-limit-s", type=float, default=10.0)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run stand-in upstreams until SIGTERM."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    options = make_parser().parse_args(arguments)
    anyio.run(UpstreamsApplication(options).run)
    return 0


if __name__ == "__main__":
    sys.exit(main())

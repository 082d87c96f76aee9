"""Guards against a stand-in upstream that loses reports or shows the wrong fault."""

import pathlib
import tempfile

import anyio
import testtools
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tanagerpath.codecs import decode_json, encode_json
from tanagerpath.core.model import AttemptId
from tanagerpath.core.protocol.upstreams import (
    Announcement,
    AnnouncementReply,
    LeaveReply,
    ProbeRequest,
    RenewReply,
    RenewRequest,
    ReportReply,
    ReserveRequest,
    StartRequest,
    TaskPhase,
    TaskReport,
    TaskStatus,
)
from tanagerpath.emulator.faults import Faults, ReportFault, ReportFaultKind
from tanagerpath.emulator.journal import read_journals
from tanagerpath.emulator.scripts import digest_text
from tanagerpath.emulator.upstream import UpstreamsApplication, make_parser
from tanagerpath.runtime.client import HttpClient
from tanagerpath.runtime.server import HttpServer, bind_listener


def make_report(job, answer):
    status = TaskStatus(job, AttemptId(1, 1), 0, TaskPhase.FINISHED)
    digest = digest_text(answer)
    return TaskReport("u1", status, answer, len(answer), digest)


def is_whole(report):
    answer = report.answer
    length_fits = report.answer_length == len(answer)
    return length_fits and report.answer_sha256 == digest_text(answer)


class TestReportFaults(testtools.TestCase):
    """Each case: kind, deliveries, whole answer, own job."""

    CASES = [
        (ReportFaultKind.NONE, 1, True, True),
        (ReportFaultKind.LATE, 1, True, True),
        (ReportFaultKind.DOUBLED, 2, True, True),
        (ReportFaultKind.CUT, 1, False, True),
        (ReportFaultKind.WRONG_DIGEST, 1, False, True),
        (ReportFaultKind.CROSSED_ANSWER, 1, False, True),
        (ReportFaultKind.CROSSED_JOB, 1, True, False),
    ]

    def test_first_deliveries(self):
        report, other = make_report("j", "answer"), make_report("k", "other")
        for kind, count, whole, own in self.CASES:
            deliveries = ReportFault.from_kind(kind).distort(report, other)
            self.assertEqual(count, len(deliveries), kind)
            sent = deliveries[0].report
            self.assertEqual(whole, is_whole(sent), kind)
            self.assertEqual(own, sent.status.job_id == "j", kind)
            self.assertEqual(whole and own, deliveries[0].genuine, kind)


class FakeEntry:
    """Takes announcements, and reports from the second delivery on."""

    def __init__(self):
        self.announced = anyio.Event()
        self.acknowledged = anyio.Event()
        self.left = anyio.Event()
        self.announcement = None
        self.reports = []

    def routes(self):
        return [
            Route("/v1/upstreams/announce", self.announce, methods=["POST"]),
            Route("/v1/upstreams/leave", self.leave, methods=["POST"]),
            Route("/v1/reports", self.report, methods=["POST"]),
        ]

    async def announce(self, request: Request) -> Response:
        self.announcement = decode_json(await request.body(), Announcement).unwrap()
        self.announced.set()
        return Response(encode_json(AnnouncementReply()))

    async def leave(self, request: Request) -> Response:
        self.left.set()
        return Response(encode_json(LeaveReply(True)))

    async def report(self, request: Request) -> Response:
        self.reports.append(decode_json(await request.body(), TaskReport).unwrap())
        if len(self.reports) < 2:
            return Response(status_code=503)
        self.acknowledged.set()
        return Response(encode_json(ReportReply(True)))


async def call(client, path, message, kind=None):
    body = encode_json(message).encode()
    reply = (await client.exchange("POST", path, body)).unwrap()
    return decode_json(reply.body, kind).unwrap() if kind else reply.status


async def stop_upstreams(upstreams, entry):
    """Stop while the entry still takes the leave; fail if it never came."""
    upstreams.request_stop()
    with anyio.fail_after(5):
        await entry.left.wait()


async def run_one_task(folder):
    entry = FakeEntry()
    server = HttpServer(bind_listener("127.0.0.1:0"), entry.routes())
    flags = ["--entries", server.address, "--journal", f"{folder}/u.journal"]
    upstreams = UpstreamsApplication(make_parser().parse_args(flags))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        tasks.start_soon(upstreams.run, False)
        await entry.announced.wait()
        client = HttpClient(entry.announcement.address)
        incarnation = entry.announcement.incarnation
        attempt = AttemptId(3, 1)
        first = RenewRequest(3, incarnation, 0, 6000)
        clock_ms = (await call(client, "/v1/renew", first, RenewReply)).clock_ms
        await call(client, "/v1/renew", RenewRequest(3, incarnation, clock_ms, 6000))
        held = ReserveRequest(3, "j", attempt, 0, 0, 8, 1, 1, 3000, incarnation)
        await call(client, "/v1/reserve", held)
        started = StartRequest(3, "j", attempt, 0, 1, "demo", "payload")
        await call(client, "/v1/start", started)
        await entry.acknowledged.wait()
        statuses = [
            await call(client, "/v1/probe", ProbeRequest(2)),
            await call(client, "/v1/probe", ProbeRequest(3)),
            await call(client, "/v1/probe", Faults()),
        ]
        await stop_upstreams(upstreams, entry)
        await client.close()
        await server.stop()
    return entry, statuses


class TestUpstreamOverHttp(testtools.TestCase):
    def test_a_report_is_sent_until_it_is_acknowledged(self):
        with tempfile.TemporaryDirectory() as folder:
            entry, statuses = anyio.run(run_one_task, folder)
            events = [line.event for line in read_journals(pathlib.Path(folder))]
        self.assertEqual(2, len(entry.reports))
        self.assertTrue(all(is_whole(report) for report in entry.reports))
        self.assertEqual(["started", "finished"], events)
        self.assertEqual([409, 200, 400], statuses)

    def test_flags_give_consecutive_places(self):
        flags = ["--entries", "127.0.0.1:1", "--journal", "/dev/null"]
        options = make_parser().parse_args([*flags, "--position", "7"])
        application = UpstreamsApplication(options)
        places = [application.make_capacity(i) for i in range(2)]
        self.assertEqual(["u1", "u2"], [p.upstream_id for p in places])
        self.assertEqual([(0, 7), (1, 0)], [_place(p) for p in places])


def _place(capacity):
    return capacity.location.rack, capacity.location.position

"""Guards against a load tool that misses what a broken system does to its callers."""

import time

import anyio
import testtools
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tanagerpath.codecs import decode_json, encode_json
from tanagerpath.core.model import AttemptId, JobClass, JobState
from tanagerpath.core.protocol.callers import (
    ErrorBody,
    ErrorReply,
    JobReply,
    SubmitRequest,
)
from tanagerpath.emulator.evidence import Evidence
from tanagerpath.emulator.load import LoadOptions, LoadTask
from tanagerpath.emulator.load_plan import CHECK
from tanagerpath.emulator.scripts import compose_answer, digest_text
from tanagerpath.runtime.server import HttpServer, bind_listener


class FakeEntry:
    """Answers each submit by itself, with one stated fault."""

    def __init__(self, fault):
        self.fault = fault
        self.payloads = []
        self.submits = 0

    def routes(self):
        return [
            Route("/v1/jobs", self.submit, methods=["POST"]),
            Route("/v1/jobs/{job_id}/answer", self.poll),
        ]

    async def submit(self, request: Request) -> Response:
        job = decode_json(await request.body(), SubmitRequest).unwrap().job
        self.submits += 1
        self.payloads.append(job.payload)
        if self.fault == "lost reply" and self.submits == 1:
            return Response(status_code=502)
        if self.fault == "refuses":
            body = ErrorBody("Overloaded", "full", True, time.time() + 0.1)
            return Response(encode_json(ErrorReply(body)), 429)
        if self.fault in ("never ends", "forgets"):
            reply = JobReply("id", job.key, JobState.ACCEPTED)
            return Response(encode_json(reply), 202)
        return Response(encode_json(self._answer(job)))

    def _answer(self, job):
        counter = self.submits if self.fault == "answers twice" else 1
        payload = self.payloads[0] if self.fault == "crosses" else job.payload
        answer = compose_answer("id", AttemptId(1, counter), payload)
        if self.fault == "cuts":
            answer = answer[:-10]
        length = len(answer.encode())
        digest = digest_text(answer)
        state = JobState.ANSWERED
        return JobReply("id", job.key, state, answer, length, digest, None, 1)

    async def poll(self, request: Request) -> Response:
        if self.fault == "forgets":
            body = ErrorBody("UnknownJob", "no such job")
            return Response(encode_json(ErrorReply(body)), 404)
        await anyio.sleep(0.05)
        reply = JobReply("id", "", JobState.ACCEPTED)
        return Response(encode_json(reply), 202)


async def run_load(fault):
    entry = FakeEntry(fault)
    server = HttpServer(bind_listener("127.0.0.1:0"), entry.routes())
    options = LoadOptions(
        entries=(server.address,),
        jobs=10,
        rate_per_s=200.0,
        workers=10,
        job_limit_s=0.5,
        mix=(CHECK,),
    )
    load = LoadTask(options)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        await load.run()
        await server.stop()
    started = {digest_text(payload): 0.0 for payload in entry.payloads}
    evidence = Evidence((), (), started)
    return load.tally.report(evidence, JobClass.URGENT)


class TestLoad(testtools.TestCase):
    CASES = [
        ("none", {"answered": 10, "lost": 0, "wrong": 0, "doubled": 0}),
        ("lost reply", {"answered": 10, "resent": 1}),
        ("never ends", {"answered": 0, "lost": 10}),
        ("forgets", {"answered": 0, "lost": 10}),
        ("cuts", {"answered": 0, "wrong": 10}),
        ("crosses", {"answered": 1, "wrong": 9}),
        ("refuses", {"refused_not_run": 10, "false_not_run": 10}),
    ]

    def test_counts(self):
        for fault, expected in self.CASES:
            report = anyio.run(run_load, fault)
            actual = {field: getattr(report, field) for field in expected}
            self.assertEqual(expected, actual, f"{fault}: {report}")

    def test_answers_of_two_attempts_are_counted(self):
        report = anyio.run(run_load, "answers twice")
        self.assertGreater(report.doubled, 0)

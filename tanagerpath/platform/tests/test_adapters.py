"""Guards against replies to callers, operators and workers that break the contract."""

import json
import time

import anyio
import testtools
from returns.result import Failure as ResultFailure
from returns.result import Success
from starlette.applications import Starlette
from starlette.requests import Request

from tanagerpath.core.admission import NoLeader, OutcomeUncertain
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.workloads import failures, requests
from tanagerpath.core.workloads.records import WorkloadState
from tanagerpath.platform.caller_adapter import CallerAdapter
from tanagerpath.platform.operator_adapter import OperatorAdapter
from tanagerpath.services.adapters import LeaderClient

ID = "5c0e7a21d94b36f8"
JOB = {"spec": "text", "steps": [{"count": 4, "cpu": 500, "mem_mb": 256}]}
HEARTBEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "cluj-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 8},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "seq": 4,
    "born": 1700,
}
ROUTE = {
    "name": "r-1",
    "host": "nony24.example",
    "path_prefix": "/pule252/",
    "kind": "non_idempotent",
    "timeout_ms": 3000,
    "target_latency_ms": 250,
    "priority": 0,
    "service": "huvo11a",
    "max_attempts": 3,
    "slack_factor": 1.5,
    "public": False,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "huvo11a", "rejects_overload": False}],
    "limits": {"max_body_bytes": 262144},
    "tenants": [{"name": "k", "api_keys": ["a1"], "guaranteed": {"gpu": 32}}],
}


class FakeLeader(LeaderClient):
    def __init__(self, result):
        self.result = result
        self.asked = []

    async def ask(self, request, timeout_s):
        self.asked.append((request, timeout_s))
        return self.result


def exchange(routes, method, path, body=b"", headers=(), is_connected=True):
    """Send one request through an application; return status, headers and body.

    A client that is not connected has left after its request.
    """
    application = Starlette(routes=routes)
    text = body if isinstance(body, bytes) else json.dumps(body).encode()
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [(b"host", b"nony24.example"), *headers],
        "server": ("127.0.0.1", 1),
        "scheme": "http",
    }
    sent = []
    received = []

    async def receive():
        received.append(None)
        if len(received) > 1 and not is_connected:
            return {"type": "http.disconnect"}
        return {"type": "http.request", "body": text, "more_body": False}

    async def send(message):
        sent.append(message)

    anyio.run(application, scope, receive, send)
    head = {key.decode(): value.decode() for key, value in sent[0]["headers"]}
    return sent[0]["status"], head, sent[1]["body"]


def _refuse(failure):
    return Success(ErrorBody.from_failure(failure))


class TestCallers(testtools.TestCase):
    def call(self, result, method, path=f"/pule252/{ID}", body=b"", headers=()):
        leader = FakeLeader(result)
        routes = CallerAdapter(2.0).list_routes(leader)
        return leader, exchange(routes, method, path, body, headers)

    def test_answers_by_outcome(self):
        running = Success(requests.WorkloadReply(ID, WorkloadState.RUNNING))
        unknown_queue = failures.UnknownQueue(host="h", path="/p", version=1)
        cases = [
            ("POST", running, 200),
            ("GET", running, 200),
            ("DELETE", running, 200),
            ("POST", _refuse(unknown_queue), 404),
            ("POST", _refuse(failures.UnknownKey(queue="q", version=1)), 401),
            ("POST", _refuse(failures.NotConfigured()), 503),
            ("POST", _refuse(failures.TooManyWorkloads(bound=5)), 429),
            ("POST", _refuse(failures.NoCapacity(workload_id=ID, queue="q")), 429),
            ("GET", _refuse(failures.UnknownWorkload(workload_id=ID)), 410),
            ("DELETE", _refuse(failures.UnknownWorkload(workload_id=ID)), 410),
            ("POST", ResultFailure(NoLeader()), 503),
            ("POST", ResultFailure(OutcomeUncertain(detail="cut")), 504),
        ]
        for method, result, expected in cases:
            _, (status, _, _) = self.call(result, method, body=JOB)
            self.assertEqual(expected, status, (method, result))

    def test_refusal_without_effect_has_a_retry_after_header(self):
        for failure in (NoLeader(), failures.TooManyWorkloads(bound=1)):
            _, (_, head, _) = self.call(ResultFailure(failure), "POST", body=JOB)
            self.assertEqual("1", head["retry-after"])

    def test_refusal_for_capacity_names_the_time_to_return(self):
        # An earlier return than that is refused without a new decision.
        refused = failures.NoCapacity(
            workload_id=ID, queue="q", retry_at_unix_s=time.time() + 6.5
        )
        _, (_, head, body) = self.call(_refuse(refused), "POST", body=JOB)
        self.assertEqual("7", head["retry-after"])
        self.assertIn(b"NoCapacity", body)

    def test_uncertain_outcome_is_never_a_refusal(self):
        uncertain = ResultFailure(OutcomeUncertain(detail="cut"))
        _, (status, head, _) = self.call(uncertain, "POST", body=JOB)
        self.assertNotIn(status, (429, 503))
        self.assertNotIn("retry-after", head)

    def test_job_reaches_the_leader_with_its_host_path_and_key(self):
        result = Success(requests.WorkloadReply(ID, WorkloadState.QUEUED))
        headers = ((b"x-api-key", b"a1"), (b"x-deadline-ms", b"1000"))
        leader, _ = self.call(result, "POST", body=JOB, headers=headers)
        request, timeout_s = leader.asked[0]
        self.assertEqual(
            requests.Call("nony24.example", f"/pule252/{ID}", "a1"), request.call
        )
        self.assertEqual(4, request.spec.steps[0].count)
        self.assertEqual(500, request.spec.steps[0].needs.cpu_millicores)
        self.assertEqual(0.8, timeout_s)

    def test_invalid_jobs_are_refused_without_asking_the_leader(self):
        cases = [
            b"{",
            b"[]",
            {"spec": 1, "steps": []},
            {"spec": "x", "steps": [{"count": "4"}]},
            {"spec": "x", "steps": [{"count": True}]},
            {"spec": "x", "steps": [{"count": 1, "depends_on": ["a"]}]},
            {"spec": "x", "steps": [7]},
            {"spec": "x"},
        ]
        for body in cases:
            leader, (status, _, text) = self.call(None, "POST", body=body)
            self.assertEqual((400, []), (status, leader.asked), body)
            self.assertIn("expected", json.loads(text)["error"])

    def test_path_of_a_queue_asks_for_its_count(self):
        leader, (status, _, body) = self.call(
            Success(requests.PendingCount(12)), "GET", path="/pule252/"
        )
        self.assertEqual((200, {"pending": 12}), (status, json.loads(body)))
        self.assertIsInstance(leader.asked[0][0], requests.PendingQuery)

    def test_path_without_a_workload_id_is_not_found(self):
        _, (status, _, _) = self.call(None, "POST", path="/pule252/xyz", body=JOB)
        self.assertEqual(404, status)

    def test_readiness(self):
        for is_ready, expected in ((True, 200), (False, 503)):
            routes = CallerAdapter(2.0).list_readiness_routes(lambda ok=is_ready: ok)
            self.assertEqual(expected, exchange(routes, "GET", "/readyz")[0])


class TestOperators(testtools.TestCase):
    def call(self, result, method, path, body=b""):
        leader = FakeLeader(result)
        routes = OperatorAdapter("8526", 2.0).list_routes(leader)
        return leader, exchange(routes, method, path, body)

    def test_configuration_is_read_into_typed_fields(self):
        stored = Success(requests.ConfigurationStored(7))
        leader, (status, _, _) = self.call(stored, "PUT", "/config", CONFIG)
        self.assertEqual(200, status)
        configuration = leader.asked[0][0].configuration
        self.assertEqual(7, configuration.version)
        self.assertEqual(1.5, configuration.queues[0].objective_factor)
        self.assertEqual(32, configuration.organisations[0].guaranteed.accelerators)
        self.assertEqual(CONFIG, json.loads(configuration.document))

    def test_configurations_that_cannot_be_read_in_full_are_refused(self):
        cases = [
            json.dumps(CONFIG).encode()[:-20],
            CONFIG | {"version": "7"},
            CONFIG | {"routes": [{"name": "r-1"}]},
            CONFIG | {"routes": "none"},
            {key: value for key, value in CONFIG.items() if key != "services"},
        ]
        for body in cases:
            leader, (status, _, _) = self.call(None, "PUT", "/config", body)
            self.assertEqual((400, []), (status, leader.asked))

    def test_newest_configuration_is_returned_as_it_was_sent(self):
        reply = Success(requests.ConfigurationReply(7, json.dumps(CONFIG)))
        _, (status, _, body) = self.call(reply, "GET", "/config")
        self.assertEqual((200, CONFIG), (status, json.loads(body)))

    def test_reader_gets_503_without_a_leader(self):
        _, (status, _, _) = self.call(ResultFailure(NoLeader()), "GET", "/config")
        self.assertEqual(503, status)

    def test_heartbeat_is_acknowledged_with_the_leaders_address(self):
        reply = Success(requests.UpstreamReportReply("10.1.0.19:7000"))
        leader, (status, _, body) = self.call(reply, "PUT", "/instances/i-1", HEARTBEAT)
        self.assertEqual(200, status)
        self.assertEqual({"heartbeat_addr": "10.1.0.19:8526"}, json.loads(body))
        report = leader.asked[0][0]
        self.assertEqual(
            ("r1-3", "i-1@1700"), (report.record.rack, report.record.incarnation)
        )
        self.assertEqual((4, 482113), (report.sequence, report.clock_ms))

    def test_invalid_heartbeats_are_refused_without_asking_the_leader(self):
        cases = [
            HEARTBEAT | {"state": "asleep"},
            HEARTBEAT | {"seq": "4"},
            HEARTBEAT | {"born": 1.5},
            HEARTBEAT | {"address": "nowhere"},
            HEARTBEAT | {"address": "10.128.0.9:0"},
            HEARTBEAT | {"address": "10.128.0.9:99999"},
            HEARTBEAT | {"capacity": [1]},
            HEARTBEAT | {"labels": [1]},
            {key: value for key, value in HEARTBEAT.items() if key != "service"},
            b"\x00",
        ]
        for body in cases:
            leader, (status, _, _) = self.call(None, "PUT", "/instances/i-1", body)
            self.assertEqual((400, []), (status, leader.asked), body)

    def test_withdrawals_and_waves(self):
        left = Success(requests.UpstreamReportReply("10.1.0.19:7000"))
        self.assertEqual(200, self.call(left, "DELETE", "/instances/i-1")[1][0])
        wave = {"wave": 1, "machines": ["m-1"], "duration_s": 20, "cap": 1}
        running = Success(requests.WaveReply(1, False))
        leader, (status, _, _) = self.call(running, "POST", "/wave-start", wave)
        self.assertEqual((200, ("m-1",)), (status, leader.asked[0][0].vm_ids))
        done = Success(requests.WaveReply(1, True))
        body = self.call(done, "GET", "/wave-get/1")[1][2]
        self.assertEqual({"state": "completed"}, json.loads(body))


class TestEvacuations(testtools.TestCase):
    """Guards against orders that are ended for good although they may be accepted."""

    FOUND = Success(requests.EvacuationReply("cluj-a", False, 4))

    def call(self, method, *results, zone="cluj-a", is_connected=True):
        leader = FakeLeader(None)
        left = list(results)

        async def ask(request, timeout_s):
            leader.asked.append((request, timeout_s))
            return left.pop(0)

        leader.ask = ask
        routes = OperatorAdapter("8526", 1.0).list_routes(leader)
        path = f"/evacuations/{zone}"
        reply = exchange(routes, method, path, is_connected=is_connected)
        return [request for request, _ in leader.asked], reply

    def test_order_names_the_revision_that_was_read_before(self):
        for method, is_evacuated in (("POST", True), ("DELETE", False)):
            stored = Success(requests.EvacuationReply("cluj-a", is_evacuated, 5))
            asked, (status, _, body) = self.call(method, self.FOUND, stored)
            self.assertEqual(200, status)
            self.assertEqual(
                {"zone": "cluj-a", "evacuated": is_evacuated}, json.loads(body)
            )
            expected = [
                requests.EvacuationQuery("cluj-a"),
                requests.EvacuationChange("cluj-a", is_evacuated, 4),
            ]
            self.assertEqual(expected, asked)

    def test_failures_let_the_operator_repeat_the_order(self):
        superseded = failures.EvacuationSuperseded(
            zone="cluj-a", expected_revision=4, revision=6
        )
        cases = [
            (_refuse(superseded), 503),
            (_refuse(failures.RequestFault(error="KeyError")), 503),
            (ResultFailure(NoLeader()), 503),
            (ResultFailure(OutcomeUncertain(detail="cut")), 504),
        ]
        for result, expected in cases:
            for results in ((result,), (self.FOUND, result)):
                _, (status, _, _) = self.call("POST", *results)
                self.assertEqual(expected, status, results)

    def test_unknown_zone_is_refused_before_a_change_is_sent(self):
        unknown = failures.UnknownZone(zone="dej", known=("cluj-a", "cluj-b"))
        for method in ("POST", "DELETE"):
            asked, reply = self.call(method, _refuse(unknown), zone="dej")
            self.assertEqual((404, 1), (reply[0], len(asked)))
            self.assertIn("expected cluj-a, cluj-b", json.loads(reply[2])["error"])

    def test_order_of_an_operator_that_has_left_is_dropped(self):
        # It may have been repeated elsewhere, and withdrawn since.
        asked, _ = self.call("POST", self.FOUND, is_connected=False)
        self.assertEqual([requests.EvacuationQuery("cluj-a")], asked)


class TestRequestHost(testtools.TestCase):
    def test_port_of_the_host_header_is_ignored(self):
        request = Request(
            {
                "type": "http",
                "method": "GET",
                "path": "/pule252/",
                "query_string": b"",
                "headers": [(b"host", b"nony24.example:80")],
                "server": ("h", 1),
                "scheme": "http",
            }
        )
        message = anyio.run(CallerAdapter(1.0)._read, request)
        self.assertEqual("nony24.example", message.call.host)

"""Guards against entries of other writers that end or block the processes."""

import json

import testtools
from returns.pipeline import is_successful

from tanagerpath.codecs.state import JsonFleetCodec
from tanagerpath.core.coordination import CallUpstream
from tanagerpath.core.workloads import commands
from tanagerpath.core.workloads.orders import (
    AdviceRequest,
    HoldRequest,
    PaceRequest,
    StartRequest,
    StopRequest,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import TaskId
from tanagerpath.errors import FailureError
from tanagerpath.platform.configuration import read_configuration
from tanagerpath.platform.fields import read_object
from tanagerpath.platform.operator_adapter import OperatorAdapter
from tanagerpath.platform.orders import WorkerCodec
from tanagerpath.platform.reports import read_report
from tanagerpath.platform.tests.test_adapters import (
    CONFIG,
    HEARTBEAT,
    JOB,
    FakeLeader,
    exchange,
)
from tanagerpath.platform.workloads import read_task_id, read_workload
from tanagerpath.runtime.client import HttpReply

HUGE = "1" + "0" * 400
UNREPRESENTABLE = (HUGE, "-" + HUGE, "1e999", "NaN", "9007199254740993")
LONE_SURROGATE = '"\\ud800"'
TASK = "5c0e7a21d94b36f8.0.1.9"
TASK_ID = TaskId("5c0e7a21d94b36f8", 0, 1, 9)


def _replace(document, name, text):
    """Return the document as JSON text, with a field replaced by raw text."""
    return json.dumps(document | {name: "@"}).replace('"@"', text).encode()


def _is_refused(read, body):
    try:
        read(read_object(body))
    except FailureError:
        return True
    return False


def _read_report(fields):
    return read_report("i-1", fields)


def _read_job(fields):
    return read_workload("5c0e7a21d94b36f8", fields)


class TestReports(testtools.TestCase):
    def _assert_refused(self, name, text):
        draining = HEARTBEAT | {"state": "draining"}
        body = _replace(draining, name, text)
        self.assertTrue(_is_refused(_read_report, body), (name, text[:20]))

    def test_numbers_that_are_too_large_are_refused(self):
        for name in ("clock_ms", "seq", "born", "remaining_ms"):
            for number in UNREPRESENTABLE:
                self._assert_refused(name, number)
        for name in ("cpu", "mem_mb", "gpu"):
            for number in UNREPRESENTABLE:
                self._assert_refused("capacity", f'{{"{name}": {number}}}')

    def test_text_that_can_not_be_encoded_is_refused(self):
        for name in ("service", "zone", "machine", "address"):
            self._assert_refused(name, LONE_SURROGATE)
        self._assert_refused("labels", f'["a", {LONE_SURROGATE}]')

    def test_addresses_that_no_connection_can_use_are_refused(self):
        hosts = ("a b", "a/b", "a@b", "a\\r\\nX", "10.0.0.1:80", "x" * 300, "\\u0000")
        for host in hosts:
            self._assert_refused("address", f'"{host}:80"')
        for port in ("0", "65536", "99999", "-1", "8\\u0660", ""):
            self._assert_refused("address", f'"10.0.0.1:{port}"')

    def test_deep_nesting_is_refused(self):
        for depth in (900, 5_000, 100_000):
            text = "[" * depth + "]" * depth
            self._assert_refused("labels", text)

    def test_odd_heartbeats_are_answered_as_bad_requests(self):
        routes = OperatorAdapter("8000", 2.0).list_routes(FakeLeader(None))
        bodies = (
            _replace(HEARTBEAT, "seq", HUGE),
            _replace(HEARTBEAT, "capacity", f'{{"gpu": {HUGE}}}'),
            _replace(HEARTBEAT, "labels", "[" * 100_000),
            _replace(HEARTBEAT, "address", '"10.0.0.1:99999"'),
            b"\xff\xfe",
        )
        for body in bodies:
            status, _, _ = exchange(routes, "PUT", "/instances/i-1", body)
            self.assertEqual(400, status, body[:90])


class TestReplies(testtools.TestCase):
    def _decode(self, request, body):
        call = CallUpstream("u", "u@1", "10.0.0.1:80", request, 1.0)
        return WorkerCodec().decode(call, HttpReply(200, body.encode()))

    def _assert_refused(self, request, body):
        self.assertFalse(is_successful(self._decode(request, body)), body[:90])

    def test_lists_of_runs_with_odd_entries_are_refused(self):
        hold = HoldRequest(fencing_token=1, end_cursor=0, lease_until_ms=None)
        running = [f'["{TASK}", 1, "", {number}]' for number in UNREPRESENTABLE]
        running += [f'["{TASK}", 1, "", 1, {number}]' for number in UNREPRESENTABLE[:4]]
        running += [f'["{TASK}", {number}, "", 1]' for number in UNREPRESENTABLE]
        running += [f'["x.{"1" * 5_000}.0.0", 1, "", 1]', f'["{TASK}", true, "", 1]']
        running += [f'["{TASK}", 1, {LONE_SURROGATE}, 1]', f'["{TASK}", -1, "", 1]']
        for entry in running:
            body = f'{{"clock_ms": 1, "running": [{entry}], "ended_runs": []}}'
            self._assert_refused(hold, body)
        ended = [f'[{number}, "{TASK}", 1, "done", ""]' for number in UNREPRESENTABLE]
        ended += [f'[1, "{TASK}", {number}, "done", ""]' for number in UNREPRESENTABLE]
        for entry in ended:
            body = f'{{"clock_ms": 1, "running": [], "ended_runs": [{entry}]}}'
            self._assert_refused(hold, body)

    def test_clocks_that_are_too_large_are_refused(self):
        requests = (
            HoldRequest(fencing_token=1, end_cursor=0, lease_until_ms=None),
            StopRequest(task=TASK_ID, run=1, fencing_token=1),
            PaceRequest(task=TASK_ID, run=1, percent=0, fencing_token=1),
            StartRequest(
                task=TASK_ID, run=1, payload="", lease_until_ms=1, fencing_token=1
            ),
        )
        for request in requests:
            for number in UNREPRESENTABLE:
                body = f'{{"clock_ms": {number}, "running": [], "ended_runs": []}}'
                self._assert_refused(request, body)

    def test_refused_advice_is_a_failed_call(self):
        request = AdviceRequest(
            workload_id="w", occurrence=0, step=0, upstream_ids=("u",)
        )
        call = CallUpstream("advice", "", "10.0.0.1:80", request, 1.0)
        for status in (400, 409, 429):
            reply = HttpReply(status, b'{"reason": "fence"}')
            self.assertFalse(is_successful(WorkerCodec().decode(call, reply)), status)

    def test_task_names_with_large_numbers_are_refused(self):
        for number in ("1" * 17, "1" * 5_000):
            self.assertRaises(FailureError, read_task_id, f"x.{number}.0.0")


class TestCallers(testtools.TestCase):
    def test_jobs_with_numbers_that_are_too_large_are_refused(self):
        for name in ("repeat_count", "start_at_ms", "interval_ms"):
            for number in UNREPRESENTABLE[:4]:
                body = _replace(JOB, name, number)
                self.assertTrue(_is_refused(_read_job, body), (name, number[:20]))
        steps = ("count", "cpu", "mem_mb", "gpu", "estimate_ms", "target_ms")
        for name in (*steps, "anti_affinity", "miss_allowed"):
            for number in UNREPRESENTABLE[:4]:
                body = _replace(JOB, "steps", f'[{{"{name}": {number}}}]')
                self.assertTrue(_is_refused(_read_job, body), (name, number[:20]))
        body = _replace(JOB, "steps", f'[{{"count": 1, "depends_on": [{HUGE}]}}]')
        self.assertTrue(_is_refused(_read_job, body))

    def test_configurations_of_any_depth_are_read_or_refused(self):
        for depth in (*range(80, 120), *range(900, 1_000), 5_000):
            body = _replace(CONFIG, "limits", "[" * depth + "]" * depth)
            _is_refused(
                lambda fields, body=body: read_configuration(fields, body), body
            )

    def test_configurations_with_numbers_that_are_too_large_are_refused(self):
        def read(fields):
            return read_configuration(fields, b"{}")

        for number in UNREPRESENTABLE:
            self.assertTrue(_is_refused(read, _replace(CONFIG, "version", number)))
            guaranteed = f'[{{"name": "k", "guaranteed": {{"gpu": {number}}}}}]'
            self.assertTrue(_is_refused(read, _replace(CONFIG, "tenants", guaranteed)))


class TestStoredRecords(testtools.TestCase):
    def test_recorded_capacity_of_any_size_can_be_weighed(self):
        """An earlier build stored such numbers, and each new leader read them."""
        record = commands.UpstreamRecord(
            upstream_id="u",
            incarnation="u@1",
            pool="p",
            address="10.0.0.1:80",
            capacity=Resources(int(HUGE), int(HUGE), int(HUGE)),
        )
        codec = JsonFleetCodec()
        payload = codec.encode_command(commands.RegisterUpstream(record))
        capacity = codec.decode_command(payload).record.capacity
        whole = Resources(1, 1, 8)
        self.assertLess(0.0, capacity.find_dominant_share(whole))
        self.assertLess(0.0, capacity.weighted_cores)

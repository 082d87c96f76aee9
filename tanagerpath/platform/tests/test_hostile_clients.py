"""Guards against clients over the limits that take a process or its callers down.

The number of clients, the sizes and the bounds were set before the limits existed. No
test depends on the speed of the machine: each checks that the process lives, that its
memory and descriptors stay under a bound, and that an ordinary request is answered.
"""

import json
import os
import pathlib
import resource
import tempfile

import testtools

from tanagerpath.platform.tests.crowds import (
    CLIENTS,
    MIN_RECEIVE_BUFFER_BYTES,
    BodyCrowd,
    EndlessUpstream,
    TricklingCrowd,
    connect,
    count_descriptors,
    is_closed,
    make_head,
    read_peak_mb,
)
from tanagerpath.platform.tests.processes import Deployment, exchange, wait_for
from tanagerpath.platform.tests.test_processes import CONFIG, HEADERS, ID, JOB

MAX_PEAK_ABOVE_CALM_MB = 24.0
ORDINARY_REQUESTS = 20
MAX_DESCRIPTORS = 256
# The rest is for files, listeners and connections that the process opens itself.
MAX_OPEN_DESCRIPTORS = 240
IDLE_CONNECTIONS = 400
CLOSING_TIMEOUT_S = 20.0
LIMITS = {
    "max_body_bytes": 262_144,
    "max_header_bytes": 16_384,
    "header_timeout_ms": 500,
    "idle_timeout_ms": 500,
}
MANY_QUEUES = 4_000
UNREAD_CONNECTIONS = 64
PIPELINED_REQUESTS = 20


class HostileCase(testtools.TestCase):
    """Starts a control process and an entry process, and brings them to calm."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(pathlib.Path(folder.name))
        self.addCleanup(self.deployment.stop)
        self.deployment.settings["limits"] = {
            "memory_mb": 160,
            "max_fds": MAX_DESCRIPTORS,
        }
        # Timeouts of the listeners that no configuration sets.
        for name in ("HEADER_TIMEOUT_S", "IDLE_TIMEOUT_S"):
            os.environ[f"TANAGERPATH_{name}"] = "0.5"
            self.addCleanup(os.environ.pop, f"TANAGERPATH_{name}")

    def start(self, *roles):
        processes = {role: self.deployment.start(role) for role in roles}
        for process in processes.values():
            both = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, both)
        wait_for(lambda: self.configure() == 200)
        if "entry" in processes:
            wait_for(lambda: exchange("GET", self.deployment.readiness)[0] == 200)
            wait_for(lambda: self.submit(ID)[0] == 200)
        for number in range(ORDINARY_REQUESTS):
            self.assertEqual(200, self.configure())
            if "entry" in processes:
                self.assertEqual(200, self.submit(f"{number:016x}")[0])
        return processes

    def configure(self):
        url = f"{self.deployment.control}/config"
        return exchange("PUT", url, CONFIG | {"limits": LIMITS})[0]

    def submit(self, workload_id):
        url = f"{self.deployment.front}/q/{workload_id}"
        return exchange("POST", url, JOB, HEADERS)

    def is_answered(self, role):
        if role == "entry":
            return self.submit(ID)[0] == 200
        return exchange("GET", f"{self.deployment.control}/config")[0] == 200

    def await_replies(self, upstreams):
        """Register upstreams, and wait until each has replied to an order."""
        for number, one in enumerate(upstreams):
            self.addCleanup(one.close)
            url = f"{self.deployment.control}/instances/i-{number}"
            heartbeat = make_heartbeat(one.port)
            self.assertEqual(200, exchange("PUT", url, heartbeat)[0])
        wait_for(lambda: all(one.replies for one in upstreams), CLOSING_TIMEOUT_S)

    def check_calm(self, process, role, calm_mb):
        """Check the process after a crowd."""
        wait_for(lambda: self.is_answered(role), CLOSING_TIMEOUT_S)
        self.assertIsNone(process.poll())
        above_mb = read_peak_mb(process) - calm_mb
        print(f"{self.id()}: {above_mb:.1f} MB above the peak in calm")
        self.assertLess(above_mb, MAX_PEAK_ABOVE_CALM_MB)


class TestBodiesOverTheLimit(HostileCase):
    """Guards against six bodies of 64 MiB that raise a process to 700 MB."""

    def check_bodies(self, role, method, path):
        process = self.start(*{"control", role})[role]
        urls = {"entry": self.deployment.front, "control": self.deployment.control}
        calm_mb = read_peak_mb(process)
        for is_announced in (True, False):
            BodyCrowd(urls[role], method, path, is_announced).run()
            self.check_calm(process, role, calm_mb)

    def test_submissions_at_an_entry(self):
        self.check_bodies("entry", "POST", f"/q/{ID}")

    def test_queries_with_a_body_at_an_entry(self):
        self.check_bodies("entry", "GET", f"/q/{ID}")

    def test_configurations_at_a_control_process(self):
        self.check_bodies("control", "PUT", "/config")

    def test_heartbeats_at_a_control_process(self):
        self.check_bodies("control", "PUT", "/instances/i-1")

    def test_messages_at_the_internal_ports(self):
        processes = self.start("control", "entry")
        calm_mb = {role: read_peak_mb(one) for role, one in processes.items()}
        first = self.deployment.settings["internal_ports"][0]
        targets = (
            ("control", first, "POST", "/internal/v1/consensus"),
            ("control", first, "POST", "/internal/v1/workloads"),
            ("entry", first + 1, "GET", "/metrics"),
        )
        for role, port, method, path in targets:
            url = f"http://127.0.0.1:{port}"
            BodyCrowd(url, method, path, is_announced=True).run()
            self.check_calm(processes[role], role, calm_mb[role])

    def test_chunked_messages_at_the_internal_port(self):
        process = self.start("control")["control"]
        calm_mb = read_peak_mb(process)
        url = f"http://127.0.0.1:{self.deployment.settings['internal_ports'][0]}"
        BodyCrowd(url, "POST", "/internal/v1/consensus", is_announced=False).run()
        self.check_calm(process, "control", calm_mb)


class TestIdleConnections(HostileCase):
    """Guards against idle connections that use up the descriptors of a process."""

    def hold(self, url):
        held = []
        for _ in range(IDLE_CONNECTIONS):
            one = connect(url)
            self.addCleanup(one.close)
            held.append(one)
        return held

    def check_held(self, process, role):
        self.assertLess(count_descriptors(process), MAX_OPEN_DESCRIPTORS)
        wait_for(lambda: self.is_answered(role), CLOSING_TIMEOUT_S)
        self.assertIsNone(process.poll())

    def test_entry_serves_the_probe_and_callers(self):
        process = self.start("control", "entry")["entry"]
        self.hold(self.deployment.front)
        readiness = self.deployment.readiness
        wait_for(lambda: exchange("GET", readiness)[0] == 200, CLOSING_TIMEOUT_S)
        self.check_held(process, "entry")

    def test_control_process_serves_operators_and_entries(self):
        processes = self.start("control", "entry")
        self.hold(self.deployment.control)
        self.check_held(processes["control"], "control")
        wait_for(lambda: self.is_answered("entry"), CLOSING_TIMEOUT_S)

    def test_connections_without_a_request_are_closed(self):
        self.start("control", "entry")
        for url in (self.deployment.front, self.deployment.control):
            held = self.hold(url)
            wait_for(lambda held=held: all(map(is_closed, held)), CLOSING_TIMEOUT_S)

    def test_connections_are_closed_some_time_after_their_reply(self):
        self.start("control", "entry")
        targets = (
            (self.deployment.front, f"/q/{ID}"),
            (self.deployment.control, "/config"),
        )
        for url, path in targets:
            one = connect(url)
            self.addCleanup(one.close)
            one.sendall(make_head("GET", path) + b"\r\n")
            wait_for(lambda one=one: is_closed(one), CLOSING_TIMEOUT_S)


class TestSlowRequests(HostileCase):
    """Guards against requests that never end and keep their connection for good."""

    def check_trickling(self, first, repeated):
        self.start("control", "entry")
        for url in (self.deployment.front, self.deployment.control):
            left = TricklingCrowd(url, first, repeated).run(CLOSING_TIMEOUT_S)
            self.assertEqual(0, left, url)
        self.assertTrue(self.is_answered("entry"))

    def test_slow_headers(self):
        self.check_trickling(make_head("GET", f"/q/{ID}"), b"A: b\r\n")

    def test_slow_bodies(self):
        length = "Content-Length: 100000"
        self.check_trickling(make_head("PUT", "/config", length) + b"\r\n", b"a")

    def test_headers_without_end_are_refused(self):
        processes = self.start("control", "entry")
        targets = {"entry": self.deployment.front, "control": self.deployment.control}
        for role, url in targets.items():
            calm_mb = read_peak_mb(processes[role])
            head = make_head("GET", "/config")
            line = b"A: " + b"b" * 50_000 + b"\r\n"
            left = TricklingCrowd(url, head, line).run(CLOSING_TIMEOUT_S)
            self.assertEqual(0, left, url)
            self.check_calm(processes[role], role, calm_mb)


class TestUnreadReplies(HostileCase):
    """Guards against replies that wait in memory for clients that never read them."""

    def test_replies_that_are_not_read(self):
        process = self.start("control")["control"]
        queue = CONFIG["routes"][0]
        routes = [
            queue | {"name": f"r{number}", "path_prefix": f"/q{number}/"}
            for number in range(MANY_QUEUES)
        ]
        url = f"{self.deployment.control}/config"
        large = CONFIG | {"version": 4, "routes": routes, "limits": LIMITS}
        wait_for(lambda: exchange("PUT", url, large)[0] == 200)
        self.assertEqual(large, exchange("GET", url)[1])
        calm_mb = read_peak_mb(process)
        held = []
        for _ in range(UNREAD_CONNECTIONS):
            one = connect(url, MIN_RECEIVE_BUFFER_BYTES)
            self.addCleanup(one.close)
            one.sendall((make_head("GET", "/config") + b"\r\n") * PIPELINED_REQUESTS)
            held.append(one)
        for _ in range(ORDINARY_REQUESTS):
            wait_for(lambda: self.is_answered("control"), CLOSING_TIMEOUT_S)
        self.check_calm(process, "control", calm_mb)


class TestRepliesOverTheLimit(HostileCase):
    """Guards against upstreams whose replies of 64 MiB fill the control process."""

    def test_replies_of_upstreams_without_end(self):
        process = self.start("control")["control"]
        calm_mb = read_peak_mb(process)
        self.await_replies([EndlessUpstream() for _ in range(CLIENTS)])
        self.check_calm(process, "control", calm_mb)


class TestCostlyTexts(HostileCase):
    """Guards against small JSON texts that take much memory or an endless time."""

    def test_nested_wide_and_huge_values(self):
        processes = self.start("control", "entry")
        calm_mb = {role: read_peak_mb(one) for role, one in processes.items()}
        texts = (
            b"[" * 250_000,
            b'{"a":' * 50_000,
            b'{"a":[' + b"[]," * 80_000 + b"[]]}",
            b'{"seq":' + b"9" * 250_000 + b"}",
            b'{"seq":1e999999}',
            b'{"seq":' + b"9" * 4_000 + b"}",
        )
        targets = (
            ("entry", f"{self.deployment.front}/q/{ID}", "POST"),
            ("control", f"{self.deployment.control}/instances/i-1", "PUT"),
        )
        for role, url, method in targets:
            for text in texts:
                self.assertEqual(400, send_text(method, url, text), text[:20])
            self.check_calm(processes[role], role, calm_mb[role])


def make_heartbeat(port):
    """Return the heartbeat of an upstream at a port."""
    return {
        "service": "sorter",
        "address": f"127.0.0.1:{port}",
        "zone": "a",
        "state": "ready",
        "capacity": {"cpu": 64000, "mem_mb": 64000, "gpu": 8},
        "labels": ["a", "r1"],
        "clock_ms": 1,
        "seq": 1,
        "born": 1,
    }


def send_text(method, url, text):
    """Return the status of a request with a body that is not encoded again."""
    path = "/" + url.split("/", 3)[3]
    length = f"Content-Length: {len(text)}"
    with connect(url) as one:
        one.sendall(make_head(method, path, length, "Connection: close") + b"\r\n")
        one.sendall(text)
        reply = b""
        while part := one.recv(65_536):
            reply += part
    return int(reply.split(b" ", 2)[1])


class TestLimitsOfTheConfiguration(HostileCase):
    """Guards against limits of the operator that do not reach the callers' edge."""

    def send_body(self, size):
        text = json.dumps(JOB | {"spec": "x" * size}).encode()
        try:
            return send_text("POST", f"{self.deployment.front}/q/{'e' * 16}", text)
        except OSError:  # the connection was closed while the body was sent
            return 413

    def test_they_are_in_force_at_the_entry_with_each_version(self):
        self.start("control", "entry")
        wait_for(lambda: self.send_body(300_000) == 413, CLOSING_TIMEOUT_S)
        self.assertEqual(200, self.send_body(200_000))
        url = f"{self.deployment.control}/config"
        limits = LIMITS | {"max_body_bytes": 400_000}
        changed = CONFIG | {"version": 4, "limits": limits}
        self.assertEqual(200, exchange("PUT", url, changed)[0])
        wait_for(lambda: self.send_body(300_000) == 200, CLOSING_TIMEOUT_S)
        self.assertEqual((200, changed), exchange("GET", url))


class TestLegitimateRequests(HostileCase):
    """Guards against limits that refuse what clients within them may send."""

    def test_largest_requests_are_served(self):
        self.start("control", "entry")
        url = f"{self.deployment.control}/instances/i-1"
        padded = make_heartbeat(9) | {"note": "x" * (4 * 1024 * 1024 - 1024)}
        self.assertEqual(200, exchange("PUT", url, padded)[0])
        job = JOB | {"spec": ""}
        missing = LIMITS["max_body_bytes"] - len(json.dumps(job))
        url = f"{self.deployment.front}/q/{'f' * 16}"
        job["spec"] = "x" * missing
        status, body = exchange("POST", url, job, HEADERS)
        self.assertNotIn(status, (0, 413, 503), body)
        long_header = HEADERS | {"X-Long": "x" * 15_000}
        status, _ = exchange(
            "GET", f"{self.deployment.front}/q/{ID}", None, long_header
        )
        self.assertEqual(200, status)

"""Guards against clients whose bytes cost a process far more than themselves.

Each part of a message has a case, at each listener that reads it. Crowd and bounds were
set before the product was changed. No test depends on the speed of the machine: each
checks that the processes live, that their memory and descriptors stay under a bound,
and that an ordinary request is answered while the connections are still open.
"""

import json
import os

import pytest

from tanagerpath.platform.tests.costly_crowds import (
    ByteStream,
    CostlyCrowd,
    make_chunked_head,
    make_large_workload,
    make_put,
    make_submission,
)
from tanagerpath.platform.tests.crowds import (
    CLIENTS,
    PIECE_BYTES,
    EndlessUpstream,
    count_descriptors,
    make_head,
    read_peak_mb,
)
from tanagerpath.platform.tests.processes import exchange
from tanagerpath.platform.tests.test_hostile_clients import (
    LIMITS,
    MANY_QUEUES,
    MAX_OPEN_DESCRIPTORS,
    HostileCase,
    make_heartbeat,
)
from tanagerpath.platform.tests.test_processes import CONFIG, ID, JOB

pytestmark = pytest.mark.timeout(120)
CROWD_CLIENTS = 20
CLIENT_BYTES = 2 * 1024 * 1024
CHUNK_CLIENTS = 40
# A client ends when the process has read about all of its bytes.
SMALL_SEND_BUFFER_BYTES = 64 * 1024
# A read of a process holds four of these requests.
PADDED_BYTES = 16 * 1024
LARGE_SUBMISSIONS = 8
# Long enough that the timeouts don't end the crowd before its bytes are read.
HEADER_TIMEOUT_S = 5
IDLE_TIMEOUT_S = 15
PATIENT_LIMITS = LIMITS | {
    "header_timeout_ms": HEADER_TIMEOUT_S * 1000,
    "idle_timeout_ms": IDLE_TIMEOUT_S * 1000,
}
ONE_BYTE_CHUNK = b"1\r\n \r\n"
TWO_BYTE_CHUNK = b"2\r\n  \r\n"
EXTENDED_CHUNK = b"1;a\r\n \r\n"
VALUES_IN_TEXT = 100_000
CHANGED_CONFIGURATIONS = 40


def make_large_configuration(version):
    """Return a configuration of thousands of queues."""
    queue = CONFIG["routes"][0]
    routes = [
        queue | {"name": f"r{number}", "path_prefix": f"/q{number}/"}
        for number in range(MANY_QUEUES)
    ]
    return CONFIG | {
        "version": version,
        "routes": [*routes, queue],
        "limits": PATIENT_LIMITS,
    }


class CostlyCase(HostileCase):
    """Starts both processes, plays crowds, and checks both processes after each."""

    def setUp(self):
        super().setUp()
        os.environ["TANAGERPATH_HEADER_TIMEOUT_S"] = str(HEADER_TIMEOUT_S)
        os.environ["TANAGERPATH_IDLE_TIMEOUT_S"] = str(IDLE_TIMEOUT_S)
        self.processes = self.start("control", "entry")
        self.calm_mb = {
            role: read_peak_mb(process) for role, process in self.processes.items()
        }
        first = self.deployment.settings["internal_ports"][0]
        self.control_internal = f"http://127.0.0.1:{first}"
        self.entry_internal = f"http://127.0.0.1:{first + 1}"

    def configure(self):
        url = f"{self.deployment.control}/config"
        return exchange("PUT", url, CONFIG | {"limits": PATIENT_LIMITS})[0]

    def list_requests(self):
        """Return URL, method and path of a request at each listener."""
        return (
            (self.deployment.front, "POST", f"/q/{ID}"),
            (self.deployment.readiness, "GET", "/readyz"),
            (self.entry_internal, "GET", "/metrics"),
            (self.deployment.control, "PUT", "/config"),
            (self.control_internal, "POST", "/internal/v1/consensus"),
        )

    def check_crowd(self, url, streams, client_bytes=CLIENT_BYTES, send_buffer_bytes=0):
        """Play a crowd at a listener, then check both processes."""
        crowd = CostlyCrowd(url, streams, client_bytes, send_buffer_bytes)
        self.addCleanup(crowd.close)
        crowd.run()
        print(f"{self.id()}: {url} took {crowd.sent_bytes} bytes")
        self.check_processes()
        crowd.close()

    def check_processes(self):
        for role, process in self.processes.items():
            self.check_calm(process, role, self.calm_mb[role])
            self.assertLess(count_descriptors(process), MAX_OPEN_DESCRIPTORS)

    def check_each_listener(self, make_stream):
        for url, method, path in self.list_requests():
            stream = make_stream(method, path)
            self.check_crowd(url, [stream] * CROWD_CLIENTS)


class TestChunksOfOneByte(CostlyCase):
    """Guards against chunks of one byte that keep the parser busy for minutes."""

    def check_chunks(self, url, method, path, chunk=ONE_BYTE_CHUNK):
        stream = ByteStream(make_chunked_head(method, path), chunk)
        self.check_crowd(url, [stream] * CHUNK_CLIENTS)

    def test_submissions_at_an_entry(self):
        self.check_chunks(self.deployment.front, "POST", f"/q/{ID}")

    def test_configurations_at_a_control_process(self):
        self.check_chunks(self.deployment.control, "PUT", "/config")

    def test_messages_at_the_internal_port_of_a_control_process(self):
        path = "/internal/v1/consensus"
        self.check_chunks(self.control_internal, "POST", path)

    def test_queries_at_the_other_ports_of_an_entry(self):
        self.check_chunks(self.deployment.readiness, "GET", "/readyz")
        self.check_chunks(self.entry_internal, "GET", "/metrics")

    def test_configurations_in_chunks_with_extensions(self):
        self.check_chunks(self.deployment.control, "PUT", "/config", EXTENDED_CHUNK)


class TestUnreadReplies(CostlyCase):
    """Guards against pipelined requests that fill the memory before they are handled.

    The clients read no reply, so that requests and replies would wait in memory.
    """

    def check_pipelined(self, url, streams, client_bytes=CLIENT_BYTES):
        self.check_crowd(url, streams, client_bytes, SMALL_SEND_BUFFER_BYTES)

    def test_submissions_at_an_entry(self):
        padded = JOB | {"spec": "x" * PADDED_BYTES}
        streams = [
            ByteStream(b"", make_submission(f"{number:016x}", padded))
            for number in range(CROWD_CLIENTS)
        ]
        self.check_pipelined(self.deployment.front, streams)

    def test_large_submissions_at_an_entry(self):
        large = make_large_workload()
        streams = [
            ByteStream(b"", make_submission(f"{number:016x}", large))
            for number in range(CROWD_CLIENTS)
        ]
        client_bytes = LARGE_SUBMISSIONS * len(streams[0].repeated)
        self.check_pipelined(self.deployment.front, streams, client_bytes)

    def test_large_submissions_of_one_workload(self):
        submission = make_submission("e" * 16, make_large_workload())
        streams = [ByteStream(b"", submission)] * CROWD_CLIENTS
        client_bytes = LARGE_SUBMISSIONS * len(submission)
        self.check_pipelined(self.deployment.front, streams, client_bytes)

    def test_heartbeats_at_a_control_process(self):
        padded = make_heartbeat(9) | {"note": "x" * PADDED_BYTES}
        streams = [
            ByteStream(b"", make_put(f"/instances/i-{number}", padded))
            for number in range(CROWD_CLIENTS)
        ]
        self.check_pipelined(self.deployment.control, streams)

    def test_large_heartbeats_at_a_control_process(self):
        large = make_heartbeat(9) | {"note": [0] * VALUES_IN_TEXT}
        streams = [ByteStream(b"", make_put("/instances/i-1", large))] * CROWD_CLIENTS
        self.check_pipelined(self.deployment.control, streams)

    def test_large_configurations_at_a_control_process(self):
        large = make_large_configuration(CONFIG["version"])
        streams = [ByteStream(b"", make_put("/config", large))] * CROWD_CLIENTS
        self.check_pipelined(self.deployment.control, streams)


class TestLargeLogEntries(CostlyCase):
    """Guards against a log whose large entries fill the memory before a snapshot."""

    def test_configurations_that_replace_each_other(self):
        url = f"{self.deployment.control}/config"
        for number in range(CHANGED_CONFIGURATIONS):
            large = make_large_configuration(CONFIG["version"] + 1 + number)
            self.assertEqual(200, exchange("PUT", url, large)[0])
        self.check_processes()


class TestPartsOfMessages(CostlyCase):
    """Guards against other parts of a message that cost far more than their bytes."""

    def test_extensions_without_end(self):
        self.check_each_listener(
            lambda method, path: ByteStream(
                make_chunked_head(method, path) + b"1;", b"a"
            )
        )

    def test_trailers(self):
        self.check_each_listener(
            lambda method, path: ByteStream(
                make_chunked_head(method, path) + b"0\r\n", b"a: b\r\n"
            )
        )

    def test_header_lines(self):
        self.check_each_listener(
            lambda method, path: ByteStream(make_head(method, path), b"a: b\r\n")
        )

    def test_request_lines(self):
        self.check_each_listener(lambda method, path: ByteStream(b"GET /", b"%41"))

    def test_empty_lines_before_a_request(self):
        self.check_each_listener(lambda method, path: ByteStream(b"", b"\r\n"))

    def test_pipelined_small_requests(self):
        request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        self.check_each_listener(lambda method, path: ByteStream(b"", request))

    def test_pipelined_requests_with_many_header_lines(self):
        fields = ["a: b"] * 200
        self.check_each_listener(
            lambda method, path: ByteStream(
                b"", make_head("GET", path, *fields) + b"\r\n"
            )
        )

    def test_texts_of_many_values(self):
        text = json.dumps({"steps": [0] * (LIMITS["max_body_bytes"] // 4)}).encode()
        length = f"Content-Length: {len(text)}"
        for url, method, path in self.list_requests():
            head = make_head(method, path, length) + b"\r\n"
            streams = [ByteStream(b"", head + text)] * CROWD_CLIENTS
            self.check_crowd(url, streams)


class TestRepliesOfUpstreams(CostlyCase):
    """Guards against replies in tiny chunks that take many times their bytes."""

    def check_chunks(self, chunk):
        piece = chunk * (PIECE_BYTES // len(chunk))
        self.await_replies([EndlessUpstream(piece) for _ in range(CLIENTS)])
        self.check_processes()

    def test_replies_in_chunks_of_one_byte(self):
        self.check_chunks(ONE_BYTE_CHUNK)

    def test_replies_in_chunks_of_two_bytes(self):
        self.check_chunks(TWO_BYTE_CHUNK)

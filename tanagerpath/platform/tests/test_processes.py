"""Guards against faults of real processes that serve, reload, crash and stop."""

import json
import pathlib
import signal
import subprocess
import tempfile
import time

import pytest
import testtools

from tanagerpath.platform.tests.processes import (
    START_TIMEOUT_S,
    Deployment,
    FakeWorker,
    exchange,
    wait_for,
)

STOP_TIMEOUT_S = 30.0
# Each test starts several processes, which is slow on a loaded machine.
pytestmark = pytest.mark.timeout(300)
ID = "5c0e7a21d94b36f8"
HEADERS = {"Host": "h.example", "X-Api-Key": "a1", "X-Deadline-Ms": "3000"}
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h.example",
            "path_prefix": "/q/",
            "timeout_ms": 3000,
            "service": "sorter",
            "max_attempts": 2,
        }
    ],
    "services": [{"name": "sorter"}],
    "limits": {},
    "tenants": [{"name": "t", "api_keys": ["a1"]}],
}
JOB = {
    "spec": "text",
    "steps": [{"count": 2, "cpu": 500}, {"count": 1, "depends_on": [0]}],
}


class ProcessCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(pathlib.Path(folder.name))
        self.addCleanup(self.deployment.stop)


class TestProcesses(ProcessCase):
    def wait_for_line(self, process, text):
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s:
            line = process.stdout.readline()
            if text in line:
                return line
            if not line:
                raise AssertionError(
                    f"ended with {process.wait()} before a line with {text!r}: "
                    f"{process.stderr.read()}"
                )
        raise AssertionError(f"no line with {text!r}")

    def test_each_role_reloads_and_then_stops(self):
        for role in ("control", "entry"):
            process = self.deployment.start(role, subprocess.PIPE, subprocess.PIPE)
            self.wait_for_line(process, "started")
            process.send_signal(signal.SIGHUP)
            self.wait_for_line(process, "settings reloaded")
            process.send_signal(signal.SIGTERM)
            self.assertEqual(0, process.wait(STOP_TIMEOUT_S), role)

    def test_wrong_settings_are_named_in_one_line(self):
        del self.deployment.settings["listen"]["control"]
        process = self.deployment.start("control", subprocess.PIPE, subprocess.PIPE)
        _, errors = process.communicate(timeout=START_TIMEOUT_S)
        self.assertEqual(2, process.returncode)
        self.assertEqual(1, len(errors.splitlines()))
        self.assertIn("listen.control", errors)


class TestControlProcessWithoutDisk(ProcessCase):
    """Guards against a control process that exits at its start without a disk."""

    def open_relay(self):
        """Return a VM at another address with the same ports, and without a disk."""
        folder = self.deployment.folder / "relay"
        folder.mkdir()
        relay = Deployment(folder)
        self.addCleanup(relay.stop)
        given = json.dumps(self.deployment.settings).replace("127.0.0.1", "127.0.0.2")
        relay.settings = json.loads(given)
        del relay.settings["data_dir"]
        # Both are seeds, the one without a disk first.
        seed = self.deployment.settings["seeds"][0]
        seeds = [seed.replace("127.0.0.1", "127.0.0.2"), seed]
        relay.settings["seeds"] = self.deployment.settings["seeds"] = seeds
        return relay

    def test_it_forwards_calls_and_does_not_join_the_group(self):
        relay = self.open_relay()
        process = relay.start("control")
        self.deployment.start("control")
        url = self.deployment.control.replace("127.0.0.1", "127.0.0.2") + "/config"
        wait_for(lambda: exchange("PUT", url, CONFIG)[0] == 200)
        own_url = f"{self.deployment.control}/config"
        self.assertEqual((200, CONFIG), exchange("GET", own_url))
        self.assertEqual((200, CONFIG), exchange("GET", url))
        url = url.replace("/config", "/evacuations/a")
        for method, is_evacuated in (("POST", True), ("DELETE", False)):
            stored = {"zone": "a", "evacuated": is_evacuated}
            self.assertEqual((200, stored), exchange(method, url))
        self.assertIsNone(process.poll())
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(STOP_TIMEOUT_S))

    def test_seeds_without_a_replica_lead_to_the_leader_after_a_restart(self):
        """Guards against a restarted relay that knows no process except its seeds."""
        relay = self.open_relay()
        relay.settings["seeds"] = [relay.settings["seeds"][0]]
        first = relay.start("control")
        self.deployment.start("control")
        own_url = f"{self.deployment.control}/config"
        wait_for(lambda: exchange("PUT", own_url, CONFIG)[0] == 200)
        first.kill()
        first.wait()
        relay.start("control")
        url = own_url.replace("127.0.0.1", "127.0.0.2")
        wait_for(lambda: exchange("GET", url) == (200, CONFIG), timeout_s=20.0)


class ServingCase(ProcessCase):
    """Helpers for a control process, an entry process and a worker."""

    def call(self, method, path, body=None, **headers):
        url = f"{self.deployment.front}{path}"
        return exchange(method, url, body, HEADERS | headers)

    def configure(self):
        url = f"{self.deployment.control}/config"
        return exchange("PUT", url, CONFIG)[0] == 200

    def announce(self, worker):
        url = f"{self.deployment.control}/instances/i-1"
        return exchange("PUT", url, worker.make_heartbeat())[0] == 200

    def is_completed(self):
        status, body = self.call("GET", f"/q/{ID}")
        return status == 200 and body["state"] == "completed"


class TestEndToEnd(ServingCase):
    def test_job_is_served_and_survives_a_killed_leader(self):
        with FakeWorker() as worker:
            control = self.deployment.start("control")
            self.deployment.start("entry")
            wait_for(lambda: exchange("GET", self.deployment.readiness)[0] == 200)
            self.assertEqual(503, self.call("POST", f"/q/{ID}", JOB)[0])
            wait_for(self.configure)
            wait_for(lambda: self.announce(worker))
            self.assertEqual(200, self.call("POST", f"/q/{ID}", JOB)[0])
            wait_for(self.is_completed)
            self.assertEqual(200, self.call("POST", f"/q/{ID}", JOB)[0])
            self.check_refusals()
            control.kill()
            control.wait()
            self.deployment.start("control")
            wait_for(self.is_completed)
            url = f"{self.deployment.control}/config"
            self.assertEqual((200, CONFIG), exchange("GET", url))
            self.assertEqual(3, len(worker.starts))
            self.assertEqual(f"{ID}.0.1.0", worker.starts[-1])

    def check_refusals(self):
        cases = [
            ("GET", "/q/ffffffffffffffff", {}, 410),
            ("DELETE", "/q/ffffffffffffffff", {}, 410),
            ("GET", f"/other/{ID}", {}, 404),
            ("GET", f"/q/{ID}", {"X-Api-Key": "nobody"}, 401),
            ("GET", "/q/", {}, 200),
        ]
        for method, path, headers, expected in cases:
            self.assertEqual(expected, self.call(method, path, **headers)[0], path)


class TestEvacuations(ServingCase):
    """Guards against orders that are not served, lost with a process or ignored."""

    def order(self, method, zone="a"):
        return exchange(method, f"{self.deployment.control}/evacuations/{zone}")

    def is_shown(self, text):
        port = self.deployment.settings["internal_ports"][0]
        return text in (exchange("GET", f"http://127.0.0.1:{port}/metrics")[1] or "")

    def test_zone_is_unused_until_the_withdrawal_also_after_a_killed_leader(self):
        self.deployment.settings["zones"] = {"a": "north", "b": "north"}
        with FakeWorker() as worker:
            control = self.deployment.start("control")
            self.deployment.start("entry")
            # No configuration exists yet.
            stored = {"zone": "a", "evacuated": True}
            wait_for(lambda: self.order("POST") == (200, stored))
            self.assertEqual((200, stored), self.order("POST"))
            self.assertEqual(404, self.order("POST", "c")[0])
            control.kill()
            control.wait()
            self.deployment.start("control")
            wait_for(self.configure)
            wait_for(lambda: self.announce(worker))
            wait_for(lambda: self.call("POST", f"/q/{ID}", JOB)[0] == 200)
            wait_for(lambda: self.is_shown('type="urgent work waits"'))
            gauge = 'tanagerpath_zone_evacuated{availability_zone="a"}'
            self.assertTrue(self.is_shown(f"{gauge} 1"))
            self.assertEqual([], worker.starts)
            self.assertEqual(
                (200, {"zone": "a", "evacuated": False}), self.order("DELETE")
            )
            wait_for(self.is_completed)
            self.assertTrue(self.is_shown(f"{gauge} 0"))

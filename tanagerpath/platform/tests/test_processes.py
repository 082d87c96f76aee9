"""Guards against processes that end on a reload, or do not stop on request."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import testtools

START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 10.0


def _find_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class TestProcesses(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        first, front, ready, control = _find_ports(4)
        self.settings = {
            "node_name": "frontend-a-1",
            "ip": "127.0.0.1",
            "zone": "a",
            "listen": {
                "front": f"127.0.0.1:{front}",
                "readiness": f"127.0.0.1:{ready}",
                "control": f"127.0.0.1:{control}",
            },
            "internal_ports": [first, first + 15],
            "seeds": [f"127.0.0.1:{control}"],
            "bootstrap": True,
            "data_dir": str(self.folder / "data"),
            "bounds": {"hold_max_ms": 10000, "checkpoint_s": 0.5},
        }

    def start(self, role):
        path = self.folder / "local.json"
        path.write_text(json.dumps(self.settings))
        process = subprocess.Popen(
            [sys.executable, "-m", "tanagerpath.platform", role],
            env=os.environ | {"TANAGERPATH_CONFIG": str(path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def wait_for_line(self, process, text):
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s:
            line = process.stdout.readline()
            if text in line:
                return line
        raise AssertionError(f"no line with {text!r}")

    def test_each_role_reloads_and_then_stops(self):
        for role in ("control", "entry"):
            process = self.start(role)
            self.wait_for_line(process, "started")
            process.send_signal(signal.SIGHUP)
            self.wait_for_line(process, "settings reloaded")
            process.send_signal(signal.SIGTERM)
            self.assertEqual(0, process.wait(STOP_TIMEOUT_S), role)

    def test_wrong_settings_are_named_in_one_line(self):
        del self.settings["listen"]["control"]
        process = self.start("control")
        _, errors = process.communicate(timeout=START_TIMEOUT_S)
        self.assertEqual(2, process.returncode)
        self.assertEqual(1, len(errors.splitlines()))
        self.assertIn("listen.control", errors)

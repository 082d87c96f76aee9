"""Real processes of the adapter on loopback, and a fake worker."""

import json
import os
import pathlib
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request

import anyio
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from tanagerpath.emulator.addresses import find_free_ports
from tanagerpath.runtime.server import HttpServer, bind_listener

# Long, because CI may share its machine with busy processes.
START_TIMEOUT_S = 60.0
RUN_S = 0.2
POLL_S = 0.05


def _read(reply):
    text = reply.read()
    is_json = reply.headers.get_content_type() == "application/json"
    return json.loads(text) if is_json else text.decode()


def exchange(method, url, body=None, headers=None):
    """Return status and body of one exchange; 0 if there was no answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=5) as reply:
            return reply.status, _read(reply)
    except urllib.error.HTTPError as error:
        with error:
            return error.code, _read(error)
    except OSError:
        return 0, None


def wait_for(check, timeout_s=START_TIMEOUT_S):
    """Poll `check` until its result is true, and return it."""
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        found = check()
        if found:
            return found
        time.sleep(POLL_S)
    raise AssertionError(f"not true within {timeout_s} s: {check}")


class Deployment:
    """A control process and an entry process with their settings file.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings and data.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        first, front, ready, control = find_free_ports(4)
        self.front = f"http://127.0.0.1:{front}"
        self.readiness = f"http://127.0.0.1:{ready}/readyz"
        self.control = f"http://127.0.0.1:{control}"
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
            "data_dir": str(folder / "data"),
            "bounds": {"hold_max_ms": 10000, "checkpoint_s": 0.5},
        }
        self._processes = []

    def start(self, role, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL):
        """Start a process of a role."""
        path = self.folder / "local.json"
        path.write_text(json.dumps(self.settings))
        process = subprocess.Popen(
            [sys.executable, "-m", "tanagerpath.platform", role],
            env=os.environ | {"TANAGERPATH_CONFIG": str(path)},
            stdout=stdout,
            stderr=stderr,
            text=True,
        )
        self._processes.append(process)
        return process

    def stop(self):
        """End all processes that were started."""
        for process in self._processes:
            process.kill()
            process.wait()
            for pipe in (process.stdout, process.stderr):
                if pipe is not None:
                    pipe.close()


class FakeWorker:
    """Implements the published worker interface; each run ends after `RUN_S`."""

    def __init__(self) -> None:
        self.port = find_free_ports(1)[0]
        self.started_s = time.monotonic()
        self.runs: dict[tuple[str, int], float] = {}
        self.starts: list[str] = []
        self.ended: list[list] = []
        self.fencing_token = 0
        self._ready = threading.Event()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=anyio.run, args=(self._serve,))

    def __enter__(self) -> "FakeWorker":
        self._thread.start()
        self._ready.wait(START_TIMEOUT_S)
        return self

    def __exit__(self, *details: object) -> None:
        self._stop.set()
        self._thread.join()

    async def _serve(self) -> None:
        routes = [
            Route("/hold", self._hold, methods=["POST"]),
            Route("/run-start", self._start, methods=["POST"]),
            Route("/run-stop", self._ignore_stop, methods=["POST"]),
        ]
        server = HttpServer(bind_listener(f"127.0.0.1:{self.port}"), routes)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            self._ready.set()
            while not self._stop.is_set():
                await anyio.sleep(POLL_S)
            tasks.cancel_scope.cancel()

    @property
    def clock_ms(self) -> int:
        """Monotonic clock of the worker."""
        return int((time.monotonic() - self.started_s) * 1000)

    def make_heartbeat(self) -> dict:
        """Return the body of a heartbeat."""
        return {
            "service": "sorter",
            "address": f"127.0.0.1:{self.port}",
            "zone": "a",
            "slots": 8,
            "state": "ready",
            "capacity": {"cpu": 64000, "mem_mb": 64000, "gpu": 8},
            "labels": ["a", "r1"],
            "clock_ms": self.clock_ms,
            "seq": self.clock_ms,
            "born": 1,
        }

    async def _hold(self, request: Request) -> JSONResponse:
        asked = await request.json()
        self.fencing_token = max(self.fencing_token, asked["fencing_token"])
        self.ended = [end for end in self.ended if end[0] > asked["ack_cursor"]]
        until_s = time.monotonic() + asked.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < until_s:
            self._finish()
            await anyio.sleep(POLL_S)
        self._finish()
        running = [[task, run, "", 50] for task, run in self.runs]
        return JSONResponse(
            {
                "clock_ms": self.clock_ms,
                "born": 1,
                "running": running,
                "ended_runs": self.ended,
            }
        )

    def _finish(self) -> None:
        for (task, run), began_s in tuple(self.runs.items()):
            if time.monotonic() >= began_s + RUN_S:
                del self.runs[(task, run)]
                number = len(self.starts) * 10 + len(self.ended) + 1
                self.ended.append([number, task, run, "done", ""])

    async def _start(self, request: Request) -> JSONResponse:
        asked = await request.json()
        if asked["fencing_token"] < self.fencing_token:
            return JSONResponse({"clock_ms": self.clock_ms, "reason": "fence"}, 409)
        self.runs[(asked["task"], asked["run_id"])] = time.monotonic()
        self.starts.append(asked["task"])
        return JSONResponse({"clock_ms": self.clock_ms})

    async def _ignore_stop(self, request: Request) -> JSONResponse:
        return JSONResponse({"clock_ms": self.clock_ms})

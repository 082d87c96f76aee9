"""Settings, requests and replies of the platform for the soak test."""

import json
import pathlib
import sys

from starlette.routing import BaseRoute

from tanagerpath.core.workloads.requests import UpstreamReport
from tanagerpath.core.workloads.specs import WorkloadSpec
from tanagerpath.emulator.deployment import ProcessPlan
from tanagerpath.emulator.soak_evacuations import EVACUATION_S
from tanagerpath.emulator.soak_interface import CarryOut, SoakInterface, SoakVm
from tanagerpath.emulator.soak_promises import Shown
from tanagerpath.emulator.soak_site import ZONES
from tanagerpath.emulator.soak_worker import GANG_TIMEOUT_S, MAX_LEASE_S
from tanagerpath.platform.settings_file import CONFIG_VARIABLE
from tanagerpath.platform.soak_workers import (
    make_worker_routes,
    read_heartbeat_reply,
    write_heartbeat,
    write_workload,
)
from tanagerpath.runtime.client import HttpReply, HttpRequest

__all__ = ["PlatformInterface"]

FRONT_PORT = 8521
READINESS_PORT = 8523
CONTROL_PORT = 8526
WORKER_PORT = 8528
INTERNAL_PORTS = [7000, 7015]
MS_PER_S = 1000
HOST = "soak.example"
PREFIX = "/q/"
KEY = "k1"
_CALLER_HEADERS = (
    (b"host", HOST.encode()),
    (b"x-api-key", KEY.encode()),
    (b"x-deadline-ms", b"3000"),
)
_BOUNDS = {
    "hold_max_ms": int(MAX_LEASE_S * MS_PER_S),
    "gang_timeout_ms": int(GANG_TIMEOUT_S * MS_PER_S),
    "checkpoint_s": 0.5,
    "status_s": 600,
    "evacuate_ms": int(EVACUATION_S * MS_PER_S),
}
_POOL = "sorter"
_PORTS = {"control": CONTROL_PORT, "entry": FRONT_PORT, "worker": WORKER_PORT}
# Final states of a workload; the others are open.
_FINAL_STATES = {
    "completed": Shown.COMPLETED,
    "failed": Shown.FAILED,
    "cancelled": Shown.CANCELLED,
}
# Replies for a missing workload: not authorised, no such queue, or no such workload.
_MISSING = (401, 404, 410)
_REFUSED = (429, 503)


class PlatformInterface(SoakInterface):
    """The platform's interface for settings, operators, callers and workers."""

    pool = _POOL

    def write_settings(
        self,
        vm: SoakVm,
        seeds: tuple[SoakVm, ...],
        may_found: bool,
        tolerated_losses: int,
    ) -> str:
        """Return the settings file of a process."""
        listen = {
            "front": f"{vm.ip}:{FRONT_PORT}",
            "readiness": f"{vm.ip}:{READINESS_PORT}",
            "control": f"{vm.ip}:{CONTROL_PORT}",
        }
        settings = {
            "node_name": vm.vm_id,
            "ip": vm.ip,
            "zone": vm.availability_zone,
            "listen": listen,
            "internal_ports": INTERNAL_PORTS,
            "seeds": [f"{seed.ip}:{CONTROL_PORT}" for seed in seeds],
            "bootstrap": may_found,
            "data_dir": str(vm.folder),
            "fault_tolerance": {
                "machines": tolerated_losses,
                "zones": 0,
                "regions": 0,
            },
            "bounds": _BOUNDS,
            "zones": {zone: "soak" for zone in ZONES},
        }
        return json.dumps(settings)

    def plan_process(self, vm: SoakVm, settings: pathlib.Path) -> ProcessPlan:
        """Return the start command and environment of the process of a VM."""
        command = (sys.executable, "-m", "tanagerpath.platform", vm.role)
        return ProcessPlan(vm.vm_id, command, {CONFIG_VARIABLE: str(settings)})

    def find_address(self, vm: SoakVm) -> str:
        """Return the address for operators, for callers, or for orders to a worker."""
        return f"{vm.ip}:{_PORTS[vm.role]}"

    def change_configuration(self, version: int) -> HttpRequest:
        """Return the request that stores a version of the configuration."""
        body = json.dumps(_make_configuration(version)).encode()
        return HttpRequest("PUT", "/config", body)

    def ask_configuration(self) -> HttpRequest:
        """Return the request that reads the configuration."""
        return HttpRequest("GET", "/config")

    def read_configuration(self, reply: HttpReply) -> tuple[int, bool] | None:
        """Return the version and whether its content is intact, None if absent."""
        if reply.status != 200:
            return None
        shown = json.loads(reply.body)
        return shown["version"], shown == _make_configuration(shown["version"])

    def change_evacuation(self, zone: str, is_evacuated: bool) -> HttpRequest:
        """Return the order to begin or end the evacuation of a zone."""
        return HttpRequest("POST" if is_evacuated else "DELETE", f"/evacuations/{zone}")

    def submit(self, workload: WorkloadSpec) -> HttpRequest:
        """Return the request that submits a workload."""
        body = json.dumps(write_workload(workload)).encode()
        path = PREFIX + workload.workload_id
        return HttpRequest("POST", path, body, _CALLER_HEADERS)

    def cancel(self, workload_id: str) -> HttpRequest:
        """Return the request that cancels a workload."""
        return HttpRequest("DELETE", PREFIX + workload_id, b"", _CALLER_HEADERS)

    def ask_workload(self, workload_id: str) -> HttpRequest:
        """Return the request for the state of a workload."""
        return HttpRequest("GET", PREFIX + workload_id, b"", _CALLER_HEADERS)

    def read_workload(self, reply: HttpReply) -> Shown:
        """Return the state of a workload according to a reply."""
        if reply.status in _MISSING:
            return Shown.MISSING
        if reply.status != 200:
            return Shown.UNCLEAR
        return _FINAL_STATES.get(json.loads(reply.body)["state"], Shown.OPEN)

    def is_accepted(self, reply: HttpReply) -> bool:
        """Whether a change or a workload was accepted."""
        return 200 <= reply.status < 300

    def is_refused(self, reply: HttpReply) -> bool:
        """Whether a workload was refused and never runs."""
        return reply.status in _REFUSED

    def write_heartbeat(self, report: UpstreamReport) -> HttpRequest:
        """Return a heartbeat of a worker."""
        return write_heartbeat(report)

    def read_heartbeat_reply(self, reply: HttpReply) -> str | None:
        """Return where later heartbeats go, None if this one is not acknowledged."""
        return read_heartbeat_reply(reply)

    def list_worker_routes(
        self, worker_id: str, born_unix_ms: int, carry_out: CarryOut
    ) -> list[BaseRoute]:
        """Return the routes of a worker for orders."""
        return make_worker_routes(worker_id, born_unix_ms, carry_out)


def _make_configuration(version: int) -> dict:
    route = {
        "name": "r",
        "host": HOST,
        "path_prefix": PREFIX,
        "timeout_ms": 2000 + version,
        "service": _POOL,
        "max_attempts": 2,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": _POOL}],
        "limits": {},
        "tenants": [{"name": "t", "api_keys": [KEY]}],
    }

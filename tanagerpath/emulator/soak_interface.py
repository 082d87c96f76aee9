"""What the soak needs to know of the public interface that it plays against."""

import abc
import pathlib
from collections.abc import Awaitable, Callable

import attrs
from starlette.routing import BaseRoute

from tanagerpath.core.workloads.requests import UpstreamReport
from tanagerpath.core.workloads.specs import WorkloadSpec
from tanagerpath.emulator.deployment import ProcessPlan
from tanagerpath.emulator.soak_promises import Shown
from tanagerpath.emulator.soak_worker import WorkerOrder, WorkerReply
from tanagerpath.runtime.client import HttpReply, HttpRequest

__all__ = ["CarryOut", "SoakInterface", "SoakVm"]

# Passes an order to a worker; returns None if no reply may be sent.
CarryOut = Callable[[WorkerOrder], Awaitable[WorkerReply | None]]


@attrs.frozen
class SoakVm:
    """A VM of the soak with one process.

    Attributes
    ----------
    vm_id : str
        Name, which stays when the VM is replaced.
    role : str
        "control", "entry" or "worker".
    ip : str
        Loopback address of its own.
    availability_zone : str
        Its zone.
    folder : pathlib.Path
        Data of the process; another one after a replacement.
    """

    vm_id: str
    role: str
    ip: str
    availability_zone: str
    folder: pathlib.Path


class SoakInterface(abc.ABC):
    """Settings, requests and replies of a public interface.

    `pool` is the pool of all workers in the configurations.
    """

    pool = ""

    @abc.abstractmethod
    def write_settings(
        self,
        vm: SoakVm,
        seeds: tuple[SoakVm, ...],
        may_found: bool,
        tolerated_losses: int,
    ) -> str:
        """Return the settings file of a process.

        Parameters
        ----------
        vm : SoakVm
            VM of the process.
        seeds : tuple of SoakVm
            Control VMs that it is told of.
        may_found : bool
            Whether the system starts for the first time.
        tolerated_losses : int
            VMs with a disk that may be lost at the same time.
        """

    @abc.abstractmethod
    def plan_process(self, vm: SoakVm, settings: pathlib.Path) -> ProcessPlan:
        """Return how the process of a VM is started with a settings file."""

    @abc.abstractmethod
    def find_address(self, vm: SoakVm) -> str:
        """Return the address for operators, for callers, or for orders to a worker."""

    @abc.abstractmethod
    def change_configuration(self, version: int) -> HttpRequest:
        """Return the request that stores a version; its content follows from it."""

    @abc.abstractmethod
    def ask_configuration(self) -> HttpRequest:
        """Return the request that reads the configuration."""

    @abc.abstractmethod
    def read_configuration(self, reply: HttpReply) -> tuple[int, bool] | None:
        """Return version and whether the content is whole, None if none is shown."""

    @abc.abstractmethod
    def change_evacuation(self, zone: str, is_evacuated: bool) -> HttpRequest:
        """Return the order to begin or end the evacuation of a zone."""

    @abc.abstractmethod
    def submit(self, workload: WorkloadSpec) -> HttpRequest:
        """Return the request that hands a workload in."""

    @abc.abstractmethod
    def cancel(self, workload_id: str) -> HttpRequest:
        """Return the request that cancels a workload."""

    @abc.abstractmethod
    def ask_workload(self, workload_id: str) -> HttpRequest:
        """Return the request for the state of a workload."""

    @abc.abstractmethod
    def read_workload(self, reply: HttpReply) -> Shown:
        """Return what the reply to one of the requests about a workload shows."""

    @abc.abstractmethod
    def is_accepted(self, reply: HttpReply) -> bool:
        """Whether a change or a workload is acknowledged."""

    @abc.abstractmethod
    def is_refused(self, reply: HttpReply) -> bool:
        """Whether a workload is refused and never runs."""

    @abc.abstractmethod
    def write_heartbeat(self, report: UpstreamReport) -> HttpRequest:
        """Return a heartbeat of a worker."""

    @abc.abstractmethod
    def read_heartbeat_reply(self, reply: HttpReply) -> str | None:
        """Return where later heartbeats go, None if this one is not acknowledged.

        It is the public address of the leader, or empty.
        """

    @abc.abstractmethod
    def list_worker_routes(
        self, worker_id: str, born_unix_ms: int, carry_out: CarryOut
    ) -> list[BaseRoute]:
        """Return the routes of a worker for orders.

        Parameters
        ----------
        worker_id : str
            Its identity.
        born_unix_ms : int
            Its start in UTC milliseconds.
        carry_out : CarryOut
            Gets each order.
        """

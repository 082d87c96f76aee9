"""Three replicas on loopback with real files, for tests and benchmarks."""

import contextlib
import pathlib

import anyio

from tanagerpath.runtime.server import bind_listener
from tanagerpath.services.tests.replica_task import ReplicaTask


class ReplicaGroup:
    """Three replicas on loopback with files in a temporary directory."""

    def __init__(self, directory, tasks, **settings):
        self._directory = pathlib.Path(directory)
        self._tasks = tasks
        self._settings = settings
        listeners = {f"vm-{n}": bind_listener("127.0.0.1:0") for n in range(3)}
        self.vms = {
            vm_id: "{}:{}".format(*listener.getsockname())
            for vm_id, listener in listeners.items()
        }
        self.replicas = {}
        self._scopes = {}
        for vm_id, listener in listeners.items():
            self.start(vm_id, listener)

    def start(self, vm_id, listener=None):
        listener = listener or bind_listener(self.vms[vm_id])
        replica = ReplicaTask.from_vm(
            self._directory / vm_id, vm_id, self.vms, listener, **self._settings
        )
        self.replicas[vm_id] = replica
        self._scopes[vm_id] = anyio.CancelScope()
        self._tasks.start_soon(replica.server.run)
        self._tasks.start_soon(self._run, replica, self._scopes[vm_id])

    def add(self, vm_id):
        """Start a VM that the settings of the others do not name."""
        listener = bind_listener("127.0.0.1:0")
        address = "{}:{}".format(*listener.getsockname())
        self.vms = {**self.vms, vm_id: address}
        self.start(vm_id, listener)

    async def _run(self, replica, scope):
        with scope:
            await replica.run()

    async def stop(self, vm_id):
        self._scopes[vm_id].cancel()
        await self.replicas.pop(vm_id).server.stop()

    def corrupt_log(self, vm_id):
        """Corrupt the first byte of the log of a stopped VM."""
        segment = max((self._directory / vm_id).glob("log-*"))
        data = segment.read_bytes()
        segment.write_bytes(bytes([data[0] ^ 0xFF]) + data[1:])

    async def find_leader(self):
        with anyio.fail_after(10):
            while True:
                for vm_id, task in self.replicas.items():
                    if task.replica.has_lease(anyio.current_time()):
                        return vm_id
                await anyio.sleep(0.01)

    async def commit(self, payload):
        """Propose to the current leader until one confirms the commit.

        Attempts with an unknown outcome may have committed as well.
        """
        with anyio.fail_after(20):
            while True:
                leader = self.replicas[await self.find_leader()]
                if isinstance(await leader.propose(payload), int):
                    return

    async def wait_for(self, condition):
        with anyio.fail_after(10):
            while not condition():
                await anyio.sleep(0.01)


@contextlib.asynccontextmanager
async def open_group(directory, **settings):
    async with anyio.create_task_group() as tasks:
        yield ReplicaGroup(directory, tasks, **settings)
        tasks.cancel_scope.cancel()

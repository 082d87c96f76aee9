"""Guards against replicas that lose commands between disk, network and log."""

import contextlib
import pathlib
import tempfile

import anyio
import testtools

from tanagerpath.codecs.replication import decode_batch, encode_batch
from tanagerpath.core.consensus import SendMessage, TimeoutNow
from tanagerpath.runtime.client import HttpClient
from tanagerpath.runtime.server import bind_listener
from tanagerpath.services.peers import PeerTask
from tanagerpath.services.tests.replica_task import ReplicaTask


class _Group:
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

    async def _run(self, replica, scope):
        with scope:
            await replica.run()

    async def stop(self, vm_id):
        self._scopes[vm_id].cancel()
        await self.replicas.pop(vm_id).server.stop()

    async def find_leader(self):
        with anyio.fail_after(10):
            while True:
                for vm_id, task in self.replicas.items():
                    if task.replica.has_lease(anyio.current_time()):
                        return vm_id
                await anyio.sleep(0.01)

    async def wait_for(self, condition):
        with anyio.fail_after(10):
            while not condition():
                await anyio.sleep(0.01)


@contextlib.asynccontextmanager
async def _open_group(**settings):
    with tempfile.TemporaryDirectory() as directory:
        async with anyio.create_task_group() as tasks:
            yield _Group(directory, tasks, **settings)
            tasks.cancel_scope.cancel()


class TestReplicasOverLoopback(testtools.TestCase):
    def test_commands_survive_the_loss_and_return_of_the_leader(self):
        async def main():
            async with _open_group(snapshot_after_entries=20) as group:
                first = await group.find_leader()
                for number in range(30):
                    await group.replicas[first].propose(f"before-{number}")
                await group.stop(first)
                second = await group.find_leader()
                for number in range(30):
                    await group.replicas[second].propose(f"after-{number}")
                group.start(first)
                await group.wait_for(
                    lambda: all(
                        len(task.applied) == 60 for task in group.replicas.values()
                    )
                )
                return [task.applied for task in group.replicas.values()]

        expected = [f"before-{number}" for number in range(30)]
        expected += [f"after-{number}" for number in range(30)]
        for applied in anyio.run(main):
            self.assertEqual(expected, applied)


class TestPeerTask(testtools.TestCase):
    def test_oldest_messages_are_dropped_when_the_peer_is_slow(self):
        async def main():
            peer = PeerTask(HttpClient("127.0.0.1:1"), capacity=4)
            for term in range(9):
                peer.post(SendMessage("b", TimeoutNow(term), "127.0.0.1:1", "a", "g"))
            return peer

        peer = anyio.run(main)
        self.assertTrue(0 < peer.dropped < 9)


class TestBatch(testtools.TestCase):
    def test_sender_receiver_and_group_arrive(self):
        sent = SendMessage("b", TimeoutNow(4), "127.0.0.1:1", "a", "g")
        (event,) = decode_batch(encode_batch([sent])).unwrap()
        self.assertEqual(
            ("a", "b", "g", TimeoutNow(4)),
            (event.sender, event.receiver, event.group_id, event.message),
        )

    def test_malformed_body_is_refused_as_a_whole(self):
        failure = decode_batch(b'{"messages": [{"sender": 1}]}').failure()
        self.assertIn("messages", failure.field)

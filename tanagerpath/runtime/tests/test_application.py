"""Guards against a process that can't be stopped while it waits in `prepare`."""

import anyio
import testtools

from tanagerpath.runtime import Application


class _Waiting(Application):
    """Waits for `ready` in `prepare`, and records the hooks that were called."""

    def __init__(self, ready):
        super().__init__()
        self.ready = ready
        self.calls = []

    async def prepare(self):
        self.calls.append("prepare")
        await self.ready.wait()

    async def start(self, tasks):
        self.calls.append("start")

    async def drain(self):
        self.calls.append("drain")


class TestStopBeforeStart(testtools.TestCase):
    def _run(self, is_ready):
        async def main():
            application = _Waiting(anyio.Event())
            if is_ready:
                application.ready.set()
            with anyio.fail_after(10):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(application.run, False)
                    while not application.calls:
                        await anyio.sleep(0.001)
                    if is_ready:
                        await anyio.sleep(0.01)
                    application.request_stop()
            return application.calls

        return anyio.run(main)

    def test_stop_ends_a_process_that_is_still_preparing(self):
        self.assertEqual(["prepare"], self._run(is_ready=False))

    def test_process_that_is_ready_starts_and_drains(self):
        self.assertEqual(["prepare", "start", "drain"], self._run(is_ready=True))

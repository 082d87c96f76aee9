"""Life cycle of a process."""

import abc
import signal

import anyio
from anyio.abc import TaskGroup, TaskStatus

__all__ = ["Application"]


class Application(abc.ABC):
    """Owns all tasks of a process and stops them in order.

    `run` calls the hooks `prepare` and `start`, waits for SIGTERM, SIGINT or
    `request_stop`, then calls `drain` and `close`, and cancels the remaining tasks.
    SIGHUP calls `reload`.
    """

    def __init__(self) -> None:
        self._stop_requested = anyio.Event()

    async def prepare(self) -> None:
        """Wait for the prerequisites of `start`; cancelled if a stop is requested."""
        return None

    @abc.abstractmethod
    async def start(self, tasks: TaskGroup) -> None:
        """Open files and sockets and start the tasks in `tasks`."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Finish the work in flight; called once a stop was requested."""

    async def close(self) -> None:
        """Release the resources that `start` opened; called after `drain`."""
        return None

    async def reload(self) -> None:
        """Apply changed settings; called on SIGHUP."""
        return None

    def request_stop(self) -> None:
        """Request a graceful stop."""
        self._stop_requested.set()

    async def run(self, handle_signals: bool = True) -> None:
        """Run until a stop was requested and has completed.

        Parameters
        ----------
        handle_signals : bool
            Whether SIGTERM and SIGINT request a stop, and SIGHUP a reload; only
            possible in the main thread.
        """
        async with anyio.create_task_group() as tasks:
            if handle_signals:
                # A signal that arrives during start-up must not kill the process.
                await tasks.start(self._watch_signals)
            if await self._prepare_unless_stopped():
                await self.start(tasks)
                await self._stop_requested.wait()
                await self.drain()
                await self.close()
            tasks.cancel_scope.cancel()

    async def _prepare_unless_stopped(self) -> bool:
        """Run `prepare`; return whether it ended before a stop was requested."""
        prepared = False
        async with anyio.create_task_group() as waiting:
            waiting.start_soon(self._cancel_at_stop, waiting.cancel_scope)
            await self.prepare()
            prepared = True
            waiting.cancel_scope.cancel()
        return prepared

    async def _cancel_at_stop(self, scope: anyio.CancelScope) -> None:
        await self._stop_requested.wait()
        scope.cancel()

    async def _watch_signals(self, task_status: TaskStatus[None]) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            task_status.started()
            async for number in signals:
                if number == signal.SIGHUP:
                    await self.reload()
                else:
                    self.request_stop()

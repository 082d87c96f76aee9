"""Processes that demo, drill and soak start, and end by their id."""

import os
import pathlib
import signal
import subprocess

import anyio

from tanagerpath.emulator.deployment import ProcessPlan

__all__ = ["ProcessTable"]

# Above the time for which an entry waits for its requests (30 s by default).
STOP_LIMIT_S = 35.0


class ProcessTable:
    """Owns child processes; their output goes to one log file for each name.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the log files.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._children: dict[str, subprocess.Popen] = {}

    def find_log(self, name: str) -> pathlib.Path:
        """Return the log file of a process."""
        return self._folder / f"{name}.log"

    def start(self, plan: ProcessPlan) -> None:
        """Start a process."""
        with self.find_log(plan.name).open("ab") as log:
            self._children[plan.name] = subprocess.Popen(
                plan.arguments,
                env=os.environ | plan.environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def is_running(self, name: str) -> bool:
        """Whether a process was started and has not ended."""
        child = self._children.get(name)
        return child is not None and child.poll() is None

    def find_exit_status(self, name: str) -> int | None:
        """Return the exit status of a process that was started, None while it runs."""
        return self._children[name].poll()

    def terminate(self, name: str) -> None:
        """Ask a process to end."""
        self._children[name].terminate()

    def reload(self, name: str) -> None:
        """Tell a process that its settings have changed."""
        self._children[name].send_signal(signal.SIGHUP)

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self._children[name].kill()
        self._children[name].wait()

    def freeze(self, name: str) -> None:
        """Keep a process from running until `resume`."""
        self._children[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a frozen process run again."""
        self._children[name].send_signal(signal.SIGCONT)

    async def stop(self, name: str) -> int:
        """Stop a process gracefully; return its exit status, -9 if it had to be killed.

        Parameters
        ----------
        name : str
            Name of the process.
        """
        child = self._children[name]
        child.terminate()
        with anyio.move_on_after(STOP_LIMIT_S):
            while child.poll() is None:
                await anyio.sleep(0.02)
        if child.poll() is None:
            self.kill(name)
        return child.returncode

    def kill_all(self) -> None:
        """End all processes that still run."""
        for child in self._children.values():
            if child.poll() is None:
                child.kill()
        for child in self._children.values():
            child.wait()

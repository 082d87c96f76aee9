"""Interface of tasks that own state or sockets."""

import abc

__all__ = ["Task"]


class Task(abc.ABC):
    """A task that owns its state; others send it messages through its mailbox."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Run until cancelled."""

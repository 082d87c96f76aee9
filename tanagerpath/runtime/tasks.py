"""Interface of the tasks that own state or sockets."""

import abc

__all__ = ["Task"]


class Task(abc.ABC):
    """Owns its state; others reach it only through its mailbox."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Run until cancelled."""

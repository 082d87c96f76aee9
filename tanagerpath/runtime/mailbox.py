"""Bounded mailboxes and single-use replies between tasks of one process."""

import math
from typing import Generic, TypeVar

import anyio
import attrs

from tanagerpath.errors import Failure

__all__ = ["Mailbox", "MailboxFull", "Reply"]

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class MailboxFull(Failure):
    """The mailbox of a task has reached its capacity."""

    not_run: bool = True
    task: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"the mailbox of {self.task} is full"


class Mailbox(Generic[T]):
    """Bounded queue of messages to one task.

    Parameters
    ----------
    name : str
        Name of the receiving task.
    capacity : float
        Maximum number of waiting messages; unlimited by default.
    """

    def __init__(self, name: str, capacity: float = math.inf) -> None:
        self.name = name
        self._sender, self._receiver = anyio.create_memory_object_stream[T](capacity)

    def post(self, message: T) -> MailboxFull | None:
        """Add a message without waiting; return `MailboxFull` at capacity."""
        try:
            self._sender.send_nowait(message)
        except anyio.WouldBlock:
            return MailboxFull(task=self.name)
        return None

    async def receive(self, until_s: float = math.inf) -> T | None:
        """Return the next message, or None once the deadline `until_s` has passed.

        Parameters
        ----------
        until_s : float
            Deadline on the clock of the event loop.
        """
        try:
            return self._receiver.receive_nowait()
        except anyio.WouldBlock:
            pass
        with anyio.CancelScope(deadline=until_s):
            return await self._receiver.receive()
        return None

    def take_waiting(self) -> list[T]:
        """Return all messages in the mailbox without waiting for more."""
        messages: list[T] = []
        while True:
            try:
                messages.append(self._receiver.receive_nowait())
            except anyio.WouldBlock:
                return messages


class Reply(Generic[T]):
    """Future for one value that a task sends back; later values are ignored."""

    def __init__(self) -> None:
        self._ready = anyio.Event()
        self._value: T | None = None

    def send(self, value: T) -> None:
        """Set the value and wake the receiver."""
        if not self._ready.is_set():
            self._value = value
            self._ready.set()

    async def receive(self, until_s: float = math.inf) -> T | None:
        """Return the value, or None once `anyio.current_time()` passes `until_s`."""
        with anyio.CancelScope(deadline=until_s):
            await self._ready.wait()
        return self._value

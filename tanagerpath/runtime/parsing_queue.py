"""Order in which connections with much to parse get turns of the event loop."""

import abc
import asyncio
import itertools

__all__ = ["CONNECTIONS_PER_TURN", "ParsingConnection", "ParsingQueue"]

# Bounds the time of a turn, however many connections wait.
CONNECTIONS_PER_TURN = 4


class ParsingConnection(abc.ABC):
    """A connection that parses what it has received in several parts."""

    @abc.abstractmethod
    def parse_further(self) -> None:
        """Parse another part; a connection that has more left queues again."""


class ParsingQueue:
    """Lets a few connections parse in each turn of the event loop.

    Other connections are served between the turns.
    """

    def __init__(self) -> None:
        self._waiting: dict[ParsingConnection, None] = {}
        self._next_turn: asyncio.Handle | None = None

    def add(self, connection: ParsingConnection) -> None:
        """Let a connection parse after those that wait already."""
        self._waiting[connection] = None
        self._schedule()

    def remove(self, connection: ParsingConnection) -> None:
        """Remove a connection, if it waits."""
        self._waiting.pop(connection, None)

    def _schedule(self) -> None:
        if self._waiting and self._next_turn is None:
            self._next_turn = asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._next_turn = None
        try:
            for connection in self._take_first():
                connection.parse_further()
        finally:
            self._schedule()

    def _take_first(self) -> tuple[ParsingConnection, ...]:
        first = tuple(itertools.islice(self._waiting, CONNECTIONS_PER_TURN))
        for connection in first:
            del self._waiting[connection]
        return first

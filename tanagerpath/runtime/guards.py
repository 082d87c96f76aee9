"""Limits and open connections of a listener."""

import abc
import enum

import attrs

from tanagerpath.runtime.budgets import ByteBudget, ByteHolder
from tanagerpath.runtime.limits import (
    BODY_TOO_LARGE,
    ListenerLimits,
    Refusal,
    RejectionObserver,
    RejectionReason,
    SilentObserver,
)
from tanagerpath.runtime.parsing_queue import ParsingConnection, ParsingQueue

__all__ = [
    "CONNECTION_KEY",
    "ConnectionPhase",
    "GuardedConnection",
    "ListenerGuard",
    "RequestHolder",
]

# Key of the connection in the state of a request.
CONNECTION_KEY = "tanagerpath.connection"
DEFAULT_BODIES_BYTES = 256 * 1024 * 1024
DEFAULT_REPLIES_BYTES = 256 * 1024 * 1024


class ConnectionPhase(enum.Enum):
    """What a connection waits for."""

    HEADER = "header"
    IDLE = "idle"
    BODY = "body"
    HANDLER = "handler"
    READER = "reader"
    REFUSED = "refused"


class GuardedConnection(ByteHolder, ParsingConnection):
    """A connection that a guard may close; it holds the bytes of its unread reply."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection at once, without the rest of its reply."""

    @abc.abstractmethod
    def refuse(self, refusal: Refusal) -> None:
        """Reply to the open request, read no further, and close the connection soon."""


class RequestHolder(ByteHolder):
    """The body of one request in the budget of bodies.

    Parameters
    ----------
    guard : ListenerGuard
        Guard of the listener.
    connection : GuardedConnection or None
        Connection of the request.
    """

    def __init__(
        self, guard: "ListenerGuard", connection: GuardedConnection | None
    ) -> None:
        self._guard = guard
        self._connection = connection

    def drop(self) -> None:
        """Close the connection of a body that is still incomplete."""
        self._guard.note(RejectionReason.BODIES_FULL)
        if self._connection is not None:
            self._connection.abort()


@attrs.define(eq=False)
class ListenerGuard:
    """Limits and open connections of one listener.

    Attributes
    ----------
    name : str
        Name of the listener in metrics and logs.
    limits : ListenerLimits
        Current limits; replaced when they change.
    bodies, replies : ByteBudget
        Bodies that are read, and replies that clients have not read, of the process.
    observer : RejectionObserver
        Is told of each rejection.
    body_too_large : Refusal
        Reply to a request whose body exceeds its limit.
    trusts_length : bool
        Whether an announced length over the limit is refused before the body is read.
        Otherwise a client gets its reply although it reads only after it has sent a
        body that is slightly too large.
    is_internal : bool
        Whether only processes of the system connect; their bodies may use the whole
        budget.
    parsing : ParsingQueue
        Connections that have received more than is parsed in one turn of the event
        loop.
    """

    name: str = "http"
    limits: ListenerLimits = attrs.Factory(ListenerLimits)
    bodies: ByteBudget = attrs.Factory(lambda: ByteBudget(DEFAULT_BODIES_BYTES))
    replies: ByteBudget = attrs.Factory(lambda: ByteBudget(DEFAULT_REPLIES_BYTES))
    observer: RejectionObserver = attrs.Factory(SilentObserver)
    is_internal: bool = False
    body_too_large: Refusal = BODY_TOO_LARGE
    trusts_length: bool = True
    parsing: ParsingQueue = attrs.field(factory=ParsingQueue, init=False)
    _open: set[GuardedConnection] = attrs.field(factory=set, init=False)
    # Both in the order in which their connections entered the phase.
    _waiting: dict[GuardedConnection, None] = attrs.field(factory=dict, init=False)
    _receiving: dict[GuardedConnection, None] = attrs.field(factory=dict, init=False)

    def note(self, reason: str) -> None:
        """Record a rejection."""
        self.observer.note_rejection(self.name, reason)

    def add(self, connection: GuardedConnection) -> None:
        """Add a connection, and close another one if there are too many.

        A connection without a request is closed first, the oldest one, then one with
        an incomplete body or an unread reply; if all requests are being handled, it is
        the new one.
        """
        self._open.add(connection)
        if len(self._open) <= self.limits.max_connections:
            return
        self.note(RejectionReason.TOO_MANY_CONNECTIONS)
        victim = next(iter(self._waiting), None) or next(iter(self._receiving), None)
        (victim or connection).abort()

    def remove(self, connection: GuardedConnection) -> None:
        """Remove a connection that is closed or about to be."""
        self._open.discard(connection)
        self._waiting.pop(connection, None)
        self._receiving.pop(connection, None)
        self.parsing.remove(connection)
        self.replies.release(connection)

    def move(self, connection: GuardedConnection, phase: ConnectionPhase) -> None:
        """Record the phase that a connection has entered."""
        self._waiting.pop(connection, None)
        self._receiving.pop(connection, None)
        if phase in (ConnectionPhase.HEADER, ConnectionPhase.IDLE):
            self._waiting[connection] = None
        elif phase is not ConnectionPhase.HANDLER:
            self._receiving[connection] = None

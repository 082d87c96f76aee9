"""Connections of a listener: their requests, timeouts and unread replies."""

import asyncio
from typing import Any

from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from tanagerpath.runtime.chunked_body import BodyPart, CostlyChunks
from tanagerpath.runtime.exchanges import (
    HeldFlowControl,
    make_cycle,
    make_scope,
    write_refusal,
)
from tanagerpath.runtime.guards import (
    CONNECTION_KEY,
    ConnectionPhase,
    GuardedConnection,
    ListenerGuard,
)
from tanagerpath.runtime.limits import (
    COSTLY_CHUNKS,
    HEADER_TOO_LARGE,
    MALFORMED,
    Refusal,
    RejectionReason,
)
from tanagerpath.runtime.request_parser import (
    MalformedRequest,
    RequestHead,
    RequestParser,
    TooManyFields,
)

__all__ = ["BoundedProtocol", "ListenerGuard"]

# One read of a socket. The library's 256 KiB would be held for each connection before
# a limit can take effect.
RECEIVE_BYTES = 64 * 1024
# The limit of header fields excludes the request line.
REQUEST_LINE_BYTES = 8 * 1024
# A head and a few parts of its body; further ones wait until the event loop has served
# other connections.
EVENTS_PER_TURN = 4
# Share that is added to timeouts, as clients measure them at the other end of a link.
TIMEOUT_MARGIN = 1.1
# A body that arrives steadily may take this multiple of the idle timeout.
BODY_TIMEOUT_FACTOR = 4.0
# A client that is still sending loses the reply if its connection is closed at once.
REFUSAL_TIMEOUT_S = 1.0
# A client that reads this much of a large reply within the timeout gets another one.
MIN_READ_BYTES = 64 * 1024

# The end of an idle connection is not a rejection.
_TIMEOUT_REASONS = {
    ConnectionPhase.HEADER: RejectionReason.HEADER_TIMEOUT,
    ConnectionPhase.BODY: RejectionReason.BODY_TIMEOUT,
    ConnectionPhase.READER: RejectionReason.REPLY_TIMEOUT,
}

_REFUSALS: dict[type[Exception], Refusal] = {
    MalformedRequest: MALFORMED,
    TooManyFields: HEADER_TOO_LARGE,
    CostlyChunks: COSTLY_CHUNKS,
}


class BoundedProtocol(HttpToolsProtocol, GuardedConnection):
    """Connection of the HTTP server that keeps the limits of its listener.

    One timer for each connection checks its deadline, which each phase sets. Requests
    are read one at a time, and a bounded part of one in each turn of the event loop.

    Parameters
    ----------
    guard : ListenerGuard
        Guard of the listener.
    config, server_state, app_state : object
        Arguments of the library.
    """

    def __init__(
        self,
        guard: ListenerGuard,
        config: Any,
        server_state: Any,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        super().__init__(config, server_state, app_state, _loop)
        self._guard = guard
        # The library's parser would read all requests that have arrived at once.
        self.parser = None
        self._requests = RequestParser(
            guard.limits.max_header_bytes + REQUEST_LINE_BYTES,
            guard.limits.max_chunk_overhead_bytes,
        )
        self._is_queued = False
        self.app_state = {**app_state, CONNECTION_KEY: self}
        self._phase = ConnectionPhase.HEADER
        self._deadline_s: float | None = None
        self._body_deadline_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._is_completion_deferred = False
        self._is_forgotten = False
        self._unread_bytes = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Add the connection to those of the listener."""
        super().connection_made(transport)
        transport.max_size = RECEIVE_BYTES
        self.flow = HeldFlowControl(transport)
        self._guard.add(self)
        self._enter(ConnectionPhase.HEADER)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._forget()
        super().connection_lost(exc)
        # The reference to itself would keep the connection until a full collection.
        self.app_state = {}

    def _forget(self) -> None:
        self._is_forgotten = True
        self._guard.remove(self)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def abort(self) -> None:
        """Close the connection at once, without the rest of its reply."""
        self._forget()
        self.transport.abort()

    def drop(self) -> None:
        """Close a connection whose client has left its reply unread."""
        self._guard.note(RejectionReason.REPLIES_FULL)
        self.abort()

    # Phases

    def _enter(self, phase: ConnectionPhase) -> None:
        if self._is_forgotten or self._phase is ConnectionPhase.REFUSED:
            return
        if phase is not self._phase or phase is ConnectionPhase.HEADER:
            self._guard.move(self, phase)
        self._phase = phase
        self._deadline_s = self._find_deadline_s(phase)
        if self._deadline_s is not None:
            self._start_timer()

    def _find_deadline_s(self, phase: ConnectionPhase) -> float | None:
        limits = self._guard.limits
        match phase:
            case ConnectionPhase.HANDLER:
                return None
            case ConnectionPhase.HEADER:
                timeout_s = limits.header_timeout_s
            case ConnectionPhase.READER:
                timeout_s = limits.write_timeout_s
            case ConnectionPhase.REFUSED:
                timeout_s = REFUSAL_TIMEOUT_S
            case _:
                timeout_s = limits.idle_timeout_s
        deadline_s = self.loop.time() + timeout_s * TIMEOUT_MARGIN
        if phase is ConnectionPhase.BODY:
            return min(deadline_s, self._body_deadline_s)
        return deadline_s

    def _start_timer(self) -> None:
        """Make sure that the timer fires no later than the deadline."""
        if self._timer is not None:
            if self._timer.when() <= self._deadline_s:
                return
            self._timer.cancel()
        self._timer = self.loop.call_at(self._deadline_s, self._check_deadline)

    def _check_deadline(self) -> None:
        """Close a connection whose deadline has passed, or wait for its new one."""
        self._timer = None
        if self._deadline_s is None:
            return
        if self.loop.time() < self._deadline_s:
            self._start_timer()
            return
        if self._phase is ConnectionPhase.READER and self._has_read_on():
            self._enter(ConnectionPhase.READER)
            return
        reason = _TIMEOUT_REASONS.get(self._phase)
        if reason is not None:
            self._guard.note(reason)
        self.abort()

    def _has_read_on(self) -> bool:
        """Return whether the client has read a part of its reply by now."""
        before = self._unread_bytes
        self._unread_bytes = self.transport.get_write_buffer_size()
        return self._unread_bytes <= before - MIN_READ_BYTES

    # Requests

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, and note what the connection waits for now."""
        if self._phase is ConnectionPhase.REFUSED or self.transport.is_closing():
            return
        self._requests.receive(data)
        if not self._is_queued:
            self.parse_further()

    def parse_further(self) -> None:
        """Parse a part of what has arrived, and queue if more is left."""
        self._is_queued = False
        if self._phase is ConnectionPhase.REFUSED or self.transport.is_closing():
            return
        self._parse()
        if not self.transport.is_closing() and not self.flow.write_paused:
            self._update_phase()

    def _parse(self) -> None:
        """Parse for one turn of the event loop, and leave the rest for a later one."""
        try:
            has_all = self._handle_events()
        except tuple(_REFUSALS) as error:
            refusal = _REFUSALS[type(error)]
            self._guard.note(refusal.reason)
            self.refuse(refusal)
            return
        has_unread = self._requests.unread_bytes > 0
        if has_unread and not has_all:
            self.flow.hold_reading()
            self._is_queued = True
            self._guard.parsing.add(self)
        elif has_unread and self._requests.is_complete:
            # The next request waits for the reply to this one.
            self.flow.hold_reading()
        else:
            self.flow.release_reading()
            if self.cycle is None or len(self.cycle.body) <= HIGH_WATER_LIMIT:
                self.flow.resume_reading()

    def _handle_events(self) -> bool:
        """Return whether all that can be read by now has been read."""
        for _ in range(EVENTS_PER_TURN):
            event = self._requests.next_event()
            match event:
                case None:
                    return True
                case RequestHead():
                    self._start_request(event)
                case BodyPart():
                    self._add_to_body(event)
        return False

    def _start_request(self, head: RequestHead) -> None:
        self.cycle = make_cycle(self, head, make_scope(self, head))
        self._start_asgi_task(self.cycle, self.app)

    def _add_to_body(self, part: BodyPart) -> None:
        cycle = self.cycle
        cycle.waiting_for_100_continue = False
        cycle.body += part.data
        cycle.more_body = not part.is_last
        cycle.message_event.set()
        if len(cycle.body) > HIGH_WATER_LIMIT:
            self.flow.pause_reading()

    def _update_phase(self) -> None:
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            if self._phase is ConnectionPhase.IDLE:
                self._enter(ConnectionPhase.HEADER)
        elif not cycle.more_body:
            if self._phase is not ConnectionPhase.HANDLER:
                self._enter(ConnectionPhase.HANDLER)
        else:
            if self._phase is not ConnectionPhase.BODY:
                body_timeout_s = self._guard.limits.idle_timeout_s * BODY_TIMEOUT_FACTOR
                self._body_deadline_s = self.loop.time() + body_timeout_s
            self._enter(ConnectionPhase.BODY)

    def refuse(self, refusal: Refusal) -> None:
        """Reply to the open request, read no further, and close the connection soon."""
        method = None
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            if cycle.response_started:
                self.abort()
                return
            method = cycle.scope["method"]
            # The handler then ends without a reply, and what it holds is freed.
            cycle.disconnected = True
            cycle.message_event.set()
            self.cycle = None
        if self._is_forgotten or self.transport.is_closing():
            return
        self._requests.clear()
        self.flow.hold_reading()
        self.transport.write(write_refusal(refusal, method))
        self.transport.write_eof()
        self._enter(ConnectionPhase.REFUSED)

    # Replies

    def on_response_complete(self) -> None:
        """Wait for the next request once the client has read the reply."""
        if self.transport.is_closing():
            # The rest of the reply is still to be sent.
            self._enter(ConnectionPhase.READER)
            return
        if self.flow.write_paused:
            # The reply to a pipelined request would wait in memory too.
            self._is_completion_deferred = True
            return
        if not self._requests.is_complete:
            # The rest of the request is not read.
            self.transport.close()
            return
        self._enter(ConnectionPhase.IDLE)
        previous = self.cycle
        self._requests.start_next_request()
        self._parse()
        if self.cycle is not previous:
            self._update_phase()

    def pause_writing(self) -> None:
        """Count a reply that the client does not read as fast as it is written."""
        super().pause_writing()
        self._enter(ConnectionPhase.READER)
        self._unread_bytes = self.transport.get_write_buffer_size()
        if not self._guard.replies.take(self, self._unread_bytes):
            self.drop()

    def resume_writing(self) -> None:
        """Go on once the client has read the reply."""
        super().resume_writing()
        self._guard.replies.release(self)
        if self._is_completion_deferred:
            self._is_completion_deferred = False
            self.on_response_complete()
        elif not self.transport.is_closing():
            self._enter(ConnectionPhase.HANDLER)

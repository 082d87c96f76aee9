"""What the library needs to handle a request that has been parsed, and refusals."""

import asyncio
from typing import Any
from urllib.parse import unquote

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    HttpToolsProtocol,
    RequestResponseCycle,
)

from tanagerpath.runtime.limits import Refusal
from tanagerpath.runtime.request_parser import RequestHead

__all__ = ["HeldFlowControl", "make_cycle", "make_scope", "write_refusal"]


class HeldFlowControl(FlowControl):
    """Flow control that does not read on while received bytes wait to be parsed.

    The library resumes reading whenever a handler asks for more of a body.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self._is_held = False

    def hold_reading(self) -> None:
        """Stop reading until `release_reading`."""
        self._is_held = True
        self.pause_reading()

    def release_reading(self) -> None:
        """Let `resume_reading` take effect again."""
        self._is_held = False

    def resume_reading(self) -> None:
        """Read on, unless reading is held."""
        if not self._is_held:
            super().resume_reading()


def make_scope(protocol: HttpToolsProtocol, head: RequestHead) -> dict[str, Any]:
    """Return the ASGI scope of a request on a connection."""
    raw_path, _, query = head.target.partition(b"?")
    return {
        "type": "http",
        "asgi": {"version": protocol.asgi_version, "spec_version": "2.3"},
        "http_version": head.http_version,
        "server": protocol.server,
        "client": protocol.client,
        "scheme": protocol.scheme,
        "method": head.method,
        "root_path": protocol.root_path,
        "path": protocol.root_path + unquote(raw_path.decode("ascii")),
        "raw_path": protocol.root_path.encode("ascii") + raw_path,
        "query_string": query,
        "headers": head.headers,
        "state": protocol.app_state.copy(),
    }


def make_cycle(
    protocol: HttpToolsProtocol, head: RequestHead, scope: dict[str, Any]
) -> RequestResponseCycle:
    """Return the state of a request and its reply."""
    return RequestResponseCycle(
        scope=scope,
        transport=protocol.transport,
        flow=protocol.flow,
        logger=protocol.logger,
        access_logger=protocol.access_logger,
        access_log=protocol.access_log,
        default_headers=protocol.server_state.default_headers,
        message_event=asyncio.Event(),
        expect_100_continue=head.expects_continue,
        keep_alive=head.keeps_open,
        on_response=protocol.on_response_complete,
    )


def write_refusal(refusal: Refusal, method: str | None) -> bytes:
    """Return the bytes of a refusal; a reply to HEAD has no body."""
    lines = [
        STATUS_LINE[refusal.status],
        *(name + b": " + value + b"\r\n" for name, value in refusal.list_headers()),
        b"\r\n",
    ]
    if method != "HEAD":
        lines.append(refusal.text)
    return b"".join(lines)

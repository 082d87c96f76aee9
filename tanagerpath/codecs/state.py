"""JSON text of commands and of snapshots of the replicated state."""

from typing import Any

from returns.pipeline import is_successful

from tanagerpath.codecs.text import decode_json, encode_json
from tanagerpath.core.control.codec import StateCodec
from tanagerpath.core.state import Command, StateSnapshot
from tanagerpath.errors import FailureError

__all__ = ["JsonStateCodec"]


class JsonStateCodec(StateCodec):
    """JSON with the name of the command's class as tag."""

    def encode_command(self, command: Command) -> str:
        """Return the payload of a log entry."""
        return encode_json(command, Command)

    def decode_command(self, payload: str) -> Command:
        """Read the payload of a log entry."""
        return _decode(payload, Command)

    def encode_snapshot(self, snapshot: StateSnapshot) -> str:
        """Return the payload of a snapshot."""
        return encode_json(snapshot)

    def decode_snapshot(self, payload: str) -> StateSnapshot:
        """Read the payload of a snapshot."""
        return _decode(payload, StateSnapshot)


def _decode(payload: str, kind: Any) -> Any:
    result = decode_json(payload, kind)
    if not is_successful(result):
        raise FailureError(result.failure())
    return result.unwrap()

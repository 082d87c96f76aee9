"""JSON text of commands and of snapshots of the replicated state."""

from returns.result import Result

from tanagerpath.codecs.text import MalformedMessage, decode_json, encode_json
from tanagerpath.core.state import Command, StateSnapshot

__all__ = ["decode_command", "decode_snapshot", "encode_command", "encode_snapshot"]


def encode_command(command: Command) -> str:
    """Return the payload of a log entry."""
    return encode_json(command, Command)


def decode_command(payload: str) -> Result[Command, MalformedMessage]:
    """Read the payload of a log entry."""
    return decode_json(payload, Command)


def encode_snapshot(snapshot: StateSnapshot) -> str:
    """Return the payload of a snapshot."""
    return encode_json(snapshot)


def decode_snapshot(payload: str) -> Result[StateSnapshot, MalformedMessage]:
    """Read the payload of a snapshot."""
    return decode_json(payload, StateSnapshot)

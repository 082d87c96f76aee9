"""JSON codecs for commands and snapshots of the replicated states."""

from typing import Any

from returns.pipeline import is_successful

from tanagerpath.codecs.text import decode_json, encode_json
from tanagerpath.core.control.codec import StateCodec
from tanagerpath.core.state import Command, StateSnapshot
from tanagerpath.core.workloads.commands import WorkloadCommand
from tanagerpath.core.workloads.state import FleetSnapshot
from tanagerpath.errors import FailureError

__all__ = ["JsonFleetCodec", "JsonStateCodec"]


class JsonStateCodec(StateCodec):
    """JSON codec for the job state; the class name of a command is its union tag."""

    command_type: Any = Command
    snapshot_type: Any = StateSnapshot

    def encode_command(self, command: Any) -> str:
        """Return the payload of a log entry."""
        return encode_json(command, self.command_type)

    def decode_command(self, payload: str) -> Any:
        """Decode the payload of a log entry."""
        return _decode(payload, self.command_type)

    def encode_snapshot(self, snapshot: Any) -> str:
        """Return the payload of a snapshot."""
        return encode_json(snapshot)

    def decode_snapshot(self, payload: str) -> Any:
        """Decode the payload of a snapshot."""
        return _decode(payload, self.snapshot_type)


class JsonFleetCodec(JsonStateCodec):
    """JSON codec for the workload state."""

    command_type = WorkloadCommand
    snapshot_type = FleetSnapshot


def _decode(payload: str, kind: Any) -> Any:
    result = decode_json(payload, kind)
    if not is_successful(result):
        raise FailureError(result.failure())
    return result.unwrap()

"""JSON encoding of messages between replicas and of what a replica stores."""

import json
from collections.abc import Sequence
from typing import Any

import attrs
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.codecs.text import (
    MalformedMessage,
    decode_json,
    decode_value,
    encode_json,
    encode_value,
)
from tanagerpath.core.consensus import (
    LogEntry,
    MessageReceived,
    PersistState,
    ReplicaMessage,
    SendMessage,
    Snapshot,
)

__all__ = [
    "StoredBatch",
    "StoredWrite",
    "decode_batch",
    "decode_snapshot",
    "decode_stored",
    "encode_batch",
    "encode_snapshot",
    "encode_stored",
]


@attrs.frozen
class _Envelope:
    """A message with its sender, receiver and replica group; see `MessageReceived`."""

    sender: str
    receiver: str
    group_id: str
    message: dict[str, Any]
    sender_address: str = ""


@attrs.frozen
class _Batch:
    """Body of `POST /internal/v1/consensus`."""

    messages: tuple[_Envelope, ...]


@attrs.frozen
class StoredWrite:
    """One write to the log file; for the fields see `PersistState`."""

    replica_id: str
    term: int
    voted_for: str | None
    truncate_from: int | None
    entries: tuple[LogEntry, ...]

    @classmethod
    def from_persist(cls, write: PersistState, replica_id: str) -> "StoredWrite":
        """Return the part of a write that the log file stores."""
        return cls(
            replica_id, write.term, write.voted_for, write.truncate_from, write.entries
        )


@attrs.frozen
class StoredBatch:
    """Writes that are made durable by one sync."""

    writes: tuple[StoredWrite, ...]


def encode_batch(messages: Sequence[SendMessage]) -> bytes:
    """Return the request body for messages to one address."""
    envelopes = [
        {
            "sender": message.sender,
            "receiver": message.receiver,
            "group_id": message.group_id,
            "message": encode_value(message.message, ReplicaMessage),
            "sender_address": message.sender_address,
        }
        for message in messages
    ]
    return json.dumps({"messages": envelopes}, separators=(",", ":")).encode()


def decode_batch(body: bytes) -> Result[list[MessageReceived], MalformedMessage]:
    """Return the events in a request body, for the owner of the replica.

    Parameters
    ----------
    body : bytes
        Body of `POST /internal/v1/consensus`.

    Returns
    -------
    Result
        All events, or `MalformedMessage` if any message is malformed.
    """
    batch = decode_json(body, _Batch)
    if isinstance(batch, ResultFailure):
        return batch
    events = []
    for envelope in batch.unwrap().messages:
        message = decode_value(envelope.message, ReplicaMessage)
        if isinstance(message, ResultFailure):
            return message
        events.append(
            MessageReceived(
                envelope.sender,
                message.unwrap(),
                envelope.receiver,
                envelope.group_id,
                envelope.sender_address,
            )
        )
    return Success(events)


def encode_stored(batch: StoredBatch) -> bytes:
    """Return the JSON text of a batch of writes."""
    return encode_json(batch).encode()


def decode_stored(text: bytes) -> Result[StoredBatch, MalformedMessage]:
    """Decode a batch of writes from JSON text."""
    return decode_json(text, StoredBatch)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the JSON text of a snapshot."""
    return encode_json(snapshot).encode()


def decode_snapshot(text: bytes) -> Result[Snapshot, MalformedMessage]:
    """Decode a snapshot from JSON text."""
    return decode_json(text, Snapshot)

"""JSON encoding of messages, commands and snapshots."""

from tanagerpath.codecs.text import (
    MalformedMessage,
    decode_json,
    decode_value,
    encode_json,
    encode_value,
)

__all__ = [
    "MalformedMessage",
    "decode_json",
    "decode_value",
    "encode_json",
    "encode_value",
]

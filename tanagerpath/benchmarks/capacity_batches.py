"""Trial of the encoding of renewals in batches; no process sends these messages yet."""

import abc
import struct

import attrs

from tanagerpath.benchmarks.capacity_load import time_calls
from tanagerpath.benchmarks.capacity_wire import INCARNATION, make_tasks
from tanagerpath.benchmarks.slopes import LineSpec, Probe
from tanagerpath.codecs import decode_json, encode_json
from tanagerpath.core.protocol.upstreams import RenewReply

__all__ = [
    "BatchEncoding",
    "BatchProbe",
    "ChangesOnlyEncoding",
    "CompactFrameEncoding",
    "JsonEncoding",
]

TASKS_PER_UPSTREAM = 14
SAMPLES = 10
# Session number, clock, flags and a digest of the tasks that the upstream holds.
_FRAME = struct.Struct("<IQBQ")


@attrs.frozen
class _Named:
    """The reply of one upstream in a batch."""

    upstream_id: str
    reply: RenewReply


@attrs.frozen
class _Batch:
    """Replies that a keeper tells in one message."""

    replies: tuple[_Named, ...]


@attrs.frozen
class _Mark:
    """An upstream whose tasks have not changed since the last message."""

    session: int
    clock_ms: int
    tasks_digest: int


@attrs.frozen
class _Marks:
    """Marks that a keeper tells in one message."""

    marks: tuple[_Mark, ...]


class BatchEncoding(abc.ABC):
    """One way to tell of many upstreams in one message."""

    name: str

    @abc.abstractmethod
    def make(self, upstreams: int) -> object:
        """Return the content of a message."""

    @abc.abstractmethod
    def encode(self, content: object) -> bytes:
        """Return the bytes of the message."""

    @abc.abstractmethod
    def decode(self, body: bytes) -> object:
        """Return the content of the bytes."""


class JsonEncoding(BatchEncoding):
    """Today's replies with all their tasks, listed in one JSON text."""

    name = "json"

    def make(self, upstreams: int) -> object:
        """See `BatchEncoding`."""
        reply = RenewReply(
            1_234_567, INCARNATION, False, make_tasks(TASKS_PER_UPSTREAM)
        )
        return _Batch(tuple(_Named(f"worker-{i:05d}", reply) for i in range(upstreams)))

    def encode(self, content: object) -> bytes:
        """See `BatchEncoding`."""
        return encode_json(content).encode()

    def decode(self, body: bytes) -> object:
        """See `BatchEncoding`."""
        return decode_json(body, _Batch).unwrap()


class ChangesOnlyEncoding(BatchEncoding):
    """JSON with a session number, the clock and a digest of unchanged tasks."""

    name = "changes_only"

    def make(self, upstreams: int) -> object:
        """See `BatchEncoding`."""
        return _Marks(tuple(_Mark(i, 1_234_567, 2**40 + i) for i in range(upstreams)))

    def encode(self, content: object) -> bytes:
        """See `BatchEncoding`."""
        return encode_json(content).encode()

    def decode(self, body: bytes) -> object:
        """See `BatchEncoding`."""
        return decode_json(body, _Marks).unwrap()


class CompactFrameEncoding(BatchEncoding):
    """The same content as `ChangesOnlyEncoding` in frames of fixed length."""

    name = "compact_frame"

    def make(self, upstreams: int) -> object:
        """See `BatchEncoding`."""
        return [(i, 1_234_567, 0, 2**40 + i) for i in range(upstreams)]

    def encode(self, content: object) -> bytes:
        """See `BatchEncoding`."""
        return b"".join(_FRAME.pack(*frame) for frame in content)

    def decode(self, body: bytes) -> object:
        """See `BatchEncoding`."""
        return list(_FRAME.iter_unpack(body))


class BatchProbe(Probe):
    """Encodes and decodes one batched message; sizes are upstreams in it.

    Parameters
    ----------
    encoding : BatchEncoding
        What is tried.
    sizes : tuple of int
        Upstreams in a message.
    """

    def __init__(
        self, encoding: BatchEncoding, sizes: tuple[int, ...] = (1, 10, 100)
    ) -> None:
        self.sizes = sizes
        self._encoding = encoding
        prefix = f"batch.{encoding.name}"
        load = f"trial of the encoding; {TASKS_PER_UPSTREAM} tasks on each upstream"
        self.specs = (
            LineSpec(f"{prefix}.encode", "s", "upstream", load),
            LineSpec(f"{prefix}.decode", "s", "upstream", load),
            LineSpec(f"{prefix}.bytes", "B", "upstream", load),
        )

    def prepare(self, size: int) -> None:
        """Make one message."""
        self._content = self._encoding.make(size)
        self._text = self._encoding.encode(self._content)
        if self._encoding.decode(self._text) != self._content:
            raise RuntimeError(f"{self._encoding.name} does not decode what it encodes")

    def measure(self) -> dict[str, float]:
        """See `Probe`."""
        prefix = f"batch.{self._encoding.name}"
        encode, decode = self._encoding.encode, self._encoding.decode
        return {
            f"{prefix}.encode": time_calls(lambda: encode(self._content), SAMPLES),
            f"{prefix}.decode": time_calls(lambda: decode(self._text), SAMPLES),
            f"{prefix}.bytes": float(len(self._text)),
        }

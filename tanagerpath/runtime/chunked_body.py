"""Decoder of the chunked transfer coding, without input or output."""

import enum
import re

import attrs

__all__ = [
    "MAX_CHUNKS_PER_READ",
    "BodyPart",
    "ChunkedBody",
    "CostlyChunks",
    "MalformedChunks",
]

# Bounds the time of one call, as small chunks take much longer than their data.
MAX_CHUNKS_PER_READ = 64
MAX_LINE_BYTES = 16 * 1024

# Repetitions that follow each other match different bytes, so no text needs more than
# one pass.
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n")
_TRAILER_LINE = re.compile(
    rb"(?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*)?\r\n"
)
_LINE_END = b"\r\n"


class MalformedChunks(Exception):
    """The text is no chunked body."""


class CostlyChunks(Exception):
    """A body has far more chunk lines and trailers than data."""


@attrs.frozen
class BodyPart:
    """Data of a body, which may be empty, and whether the body ends with it."""

    data: bytes
    is_last: bool


class _Place(enum.Enum):
    """What comes next in the text."""

    LINE = "chunk line"
    DATA = "data of a chunk"
    DATA_END = "line end after the data"
    TRAILER = "trailer"
    END = "end of the body"


class ChunkedBody:
    """Decodes one chunked body; chunk extensions and trailers are dropped.

    Parameters
    ----------
    max_overhead_bytes : int
        By how much chunk lines and trailers may exceed the data.
    """

    def __init__(self, max_overhead_bytes: int) -> None:
        self._max_overhead_bytes = max_overhead_bytes
        self._excess_bytes = 0
        self._missing_bytes = 0
        self._place = _Place.LINE

    def read(self, buffer: bytearray) -> BodyPart | None:
        """Remove some chunks from the start of a buffer, and return their data.

        Parameters
        ----------
        buffer : bytearray
            What has arrived and has not been read.

        Returns
        -------
        BodyPart or None
            None if more bytes are needed.

        Raises
        ------
        MalformedChunks
            If the text is no chunked body.
        CostlyChunks
            If chunk lines and trailers exceed the data by more than the limit.
        """
        parts: list[bytearray] = []
        position = 0
        for _ in range(MAX_CHUNKS_PER_READ):
            start = position
            if self._place is _Place.TRAILER:
                position = self._read_trailer_line(buffer, start)
            else:
                position = self._read_chunk(buffer, start, parts)
            if position == start or self._place is _Place.END:
                break
        if not position:
            return None
        data = b"".join(parts)
        del buffer[:position]
        self._excess_bytes += position - 2 * len(data)
        if self._excess_bytes > self._max_overhead_bytes:
            raise CostlyChunks
        return BodyPart(data, self._place is _Place.END)

    def _read_chunk(
        self, buffer: bytearray, position: int, parts: list[bytearray]
    ) -> int:
        """Read as much of a chunk as has arrived, and return the position after it."""
        if self._place is _Place.LINE:
            line = _match_line(_CHUNK_LINE, buffer, position)
            if line is None:
                return position
            position = line.end()
            self._missing_bytes = int(line[1], 16)
            if not self._missing_bytes:
                self._place = _Place.TRAILER
                return position
            self._place = _Place.DATA
        if self._place is _Place.DATA:
            part = buffer[position : position + self._missing_bytes]
            parts.append(part)
            position += len(part)
            self._missing_bytes -= len(part)
            if self._missing_bytes:
                return position
            self._place = _Place.DATA_END
        line_end = buffer[position : position + len(_LINE_END)]
        if line_end == _LINE_END:
            self._place = _Place.LINE
            return position + len(_LINE_END)
        if not _LINE_END.startswith(line_end):
            raise MalformedChunks("no line end after a chunk")
        return position

    def _read_trailer_line(self, buffer: bytearray, position: int) -> int:
        """Read a trailer line, and return the position after it."""
        line = _match_line(_TRAILER_LINE, buffer, position)
        if line is None:
            return position
        if line[0] == _LINE_END:
            self._place = _Place.END
        return line.end()


def _match_line(
    pattern: re.Pattern[bytes], buffer: bytearray, position: int
) -> re.Match[bytes] | None:
    """Return the line at a position, or None if its end has not arrived."""
    line = pattern.match(buffer, position)
    if line is not None:
        return line
    is_whole = buffer.find(b"\n", position) >= 0
    if is_whole or len(buffer) - position > MAX_LINE_BYTES:
        raise MalformedChunks("no chunk line or trailer")
    return None

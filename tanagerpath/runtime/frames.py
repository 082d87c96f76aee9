"""Length-prefixed frames with checksums in a file.

A frame starts with the length of its content, the CRC32 of the content and the CRC32 of
these two numbers. The header checksum distinguishes a torn tail from a damaged length
in the middle of the file, which would otherwise hide all later frames.
"""

import struct
import zlib

import attrs

__all__ = ["FrameScan", "encode_frame", "scan_frames"]

_LENGTH_AND_CRC = struct.Struct("<II")
_HEADER = struct.Struct("<III")


@attrs.frozen
class FrameScan:
    """Frames found in a file.

    Attributes
    ----------
    contents : tuple of bytes
        Contents of all frames before the first damaged one.
    valid_bytes : int
        Offset of the end of the last of these frames.
    corrupt : bool
        True if data follows the damaged frame, so that it is not a torn tail.
    """

    contents: tuple[bytes, ...]
    valid_bytes: int
    corrupt: bool


def encode_frame(content: bytes) -> bytes:
    """Return a frame with the given content."""
    checked = _LENGTH_AND_CRC.pack(len(content), zlib.crc32(content))
    return checked + _LENGTH_AND_CRC.pack(zlib.crc32(checked), 0)[:4] + content


def scan_frames(data: bytes) -> FrameScan:
    """Return the frames before any damage, and whether data follows the damage."""
    contents = []
    offset = 0
    while offset < len(data):
        content = _read_content(data, offset)
        if content is None:
            return FrameScan(tuple(contents), offset, _has_later_data(data, offset))
        contents.append(content)
        offset += _HEADER.size + len(content)
    return FrameScan(tuple(contents), offset, corrupt=False)


def _read_length(data: bytes, offset: int) -> int | None:
    if offset + _HEADER.size > len(data):
        return None
    length, _, header_crc = _HEADER.unpack_from(data, offset)
    if zlib.crc32(data[offset : offset + _LENGTH_AND_CRC.size]) != header_crc:
        return None
    return length


def _read_content(data: bytes, offset: int) -> bytes | None:
    length = _read_length(data, offset)
    if length is None:
        return None
    start = offset + _HEADER.size
    content = data[start : start + length]
    expected = _HEADER.unpack_from(data, offset)[1]
    if len(content) < length or zlib.crc32(content) != expected:
        return None
    return content


def _has_later_data(data: bytes, offset: int) -> bool:
    """Return whether data follows the damaged frame at `offset`.

    If its length is damaged too, only a later intact frame counts.
    """
    length = _read_length(data, offset)
    if length is not None:
        return offset + _HEADER.size + length < len(data)
    return any(
        _read_content(data, position) is not None
        for position in range(offset + 1, len(data) - _HEADER.size + 1)
    )

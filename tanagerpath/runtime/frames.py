"""Frames of length, checksum and content in a file.

A frame starts with the length of its content, the CRC32 of the content and the CRC32 of
these two numbers. The checksum of the header tells a torn tail from a damaged length in
the middle of the file, which would otherwise hide all frames after it.
"""

import struct
import zlib

import attrs

__all__ = ["FrameScan", "encode_frame", "scan_frames"]

_NUMBERS = struct.Struct("<II")
_HEADER = struct.Struct("<III")


@attrs.frozen
class FrameScan:
    """Frames found in a file.

    Attributes
    ----------
    contents : tuple of bytes
        Contents of all frames before the first damaged one.
    valid_bytes : int
        Length of the file up to the end of the last of them.
    corrupt : bool
        True if the file goes on after the damage, so that it is no torn tail.
    """

    contents: tuple[bytes, ...]
    valid_bytes: int
    corrupt: bool


def encode_frame(content: bytes) -> bytes:
    """Return the frame of a content."""
    numbers = _NUMBERS.pack(len(content), zlib.crc32(content))
    return numbers + _NUMBERS.pack(zlib.crc32(numbers), 0)[:4] + content


def scan_frames(data: bytes) -> FrameScan:
    """Return the frames of a file and whether it is damaged before its last frame."""
    contents = []
    offset = 0
    while offset < len(data):
        content = _read_content(data, offset)
        if content is None:
            return FrameScan(tuple(contents), offset, _continues(data, offset))
        contents.append(content)
        offset += _HEADER.size + len(content)
    return FrameScan(tuple(contents), offset, corrupt=False)


def _read_length(data: bytes, offset: int) -> int | None:
    if offset + _HEADER.size > len(data):
        return None
    length, _, header_sum = _HEADER.unpack_from(data, offset)
    if zlib.crc32(data[offset : offset + _NUMBERS.size]) != header_sum:
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


def _continues(data: bytes, offset: int) -> bool:
    """Return whether whole frames follow the damaged frame at `offset`."""
    length = _read_length(data, offset)
    if length is not None:
        return offset + _HEADER.size + length < len(data)
    return any(
        _read_content(data, place) is not None
        for place in range(offset + 1, len(data) - _HEADER.size + 1)
    )

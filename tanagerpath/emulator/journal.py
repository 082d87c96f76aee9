"""Journals of stand-in upstreams: JSON lines, one for each thing that happened."""

import pathlib
from typing import TextIO

import attrs
from returns.pipeline import is_successful

from tanagerpath.codecs import decode_json, encode_json
from tanagerpath.core.model import AttemptId

__all__ = ["Journal", "JournalLine", "read_journals"]


@attrs.frozen
class JournalLine:
    """One line of a journal.

    Attributes
    ----------
    unix_s : float
        Instant in UTC seconds.
    upstream_id, incarnation : str
        Where it happened.
    event : str
        "started", "finished", "failed", "failed_to_start", "stopped", "checkpointed",
        "lease_ended", or "killed" for the whole upstream; the last one is written by
        whoever killed its process.
    job_id : str
        The job; empty for "killed".
    attempt : AttemptId
        Fencing number.
    rank, gang_size : int
        Member and number of members.
    payload_sha256 : str
        Digest of the payload.
    """

    unix_s: float
    upstream_id: str
    event: str
    incarnation: str = ""
    job_id: str = ""
    attempt: AttemptId = attrs.field(factory=lambda: AttemptId(0, 0))
    rank: int = 0
    gang_size: int = 0
    payload_sha256: str = ""


class Journal:
    """Appends lines to a file, each one flushed.

    Parameters
    ----------
    path : pathlib.Path
        File; made if absent.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file: TextIO = path.open("a", encoding="utf-8")

    def append(self, line: JournalLine) -> None:
        """Write one line."""
        self._file.write(encode_json(line) + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def read_journals(folder: pathlib.Path) -> list[JournalLine]:
    """Return the lines of all "*.journal" files of a folder in the order of time.

    A line that a killed process left unfinished is passed over.
    """
    lines = []
    for path in folder.glob("*.journal"):
        for text in path.read_text(encoding="utf-8").splitlines():
            result = decode_json(text, JournalLine)
            if is_successful(result):
                lines.append(result.unwrap())
    return sorted(lines, key=lambda line: line.unix_s)

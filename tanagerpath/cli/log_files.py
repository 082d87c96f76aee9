"""Reading of files with the log lines of the processes."""

import json
from collections.abc import Iterable
from typing import Any

import attrs
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.errors import Failure

__all__ = ["UnreadableLog", "read_log_line", "read_logs"]


@attrs.frozen(kw_only=True)
class UnreadableLog(Failure):
    """A log file can't be read."""

    path: str
    detail: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"log {self.path}: {self.detail}"


def read_logs(paths: Iterable[str]) -> Result[list[str], Failure]:
    """Return the lines of all files, or `UnreadableLog`."""
    found: list[str] = []
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as lines:
                found += lines
        except OSError as error:
            detail = error.strerror or str(error)
            return ResultFailure(UnreadableLog(path=path, detail=detail))
    return Success(found)


def read_log_line(line: str) -> tuple[str, dict[str, Any]] | None:
    """Split a line into the text before its JSON object, and the object."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(line[start:])
    except ValueError:
        return None
    return line[:start], fields

"""`tanagerpath story`: all processes' log lines about a request, sorted by time."""

import argparse
import sys
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import attrs
from returns.pipeline import is_successful

from tanagerpath.cli.arguments import EXIT_WRONG_INPUT
from tanagerpath.cli.command import EXIT_DONE, Command
from tanagerpath.cli.log_files import read_log_line, read_logs
from tanagerpath.cli.output import write_failure

__all__ = ["LogLine", "StoryCommand", "find_request_lines"]

_HEAD_FIELDS = ("time", "level", "message")


@attrs.frozen(order=True)
class LogLine:
    """A log line: its time, its origin (such as a VM name) and its text."""

    time: str
    origin: str
    text: str

    def render(self) -> str:
        """Return the line for printing."""
        return f"{self.time} {self.origin}{self.text}"


def _mentions(fields: Mapping[str, Any], identity: str) -> bool:
    return any(
        isinstance(value, str) and identity in value for value in fields.values()
    )


def find_request_lines(lines: Iterable[str], identity: str) -> Iterator[LogLine]:
    """Return the log lines that mention a request.

    Parameters
    ----------
    lines : iterable of str
        Log lines; text before the JSON object, such as the name of a VM, is kept as
        the origin, and lines without an object are skipped.
    identity : str
        Id of the request.
    """
    for line in lines:
        read = read_log_line(line)
        if read is None or not _mentions(read[1], identity):
            continue
        origin, fields = read
        details = " ".join(
            f"{name}={value}"
            for name, value in fields.items()
            if name not in _HEAD_FIELDS and value not in ("", None)
        )
        text = f"{fields.get('message', '')} {details}".strip()
        yield LogLine(str(fields.get("time", "")), origin.lstrip(), text)


class StoryCommand(Command):
    """`tanagerpath story`."""

    name = "story"
    summary = "print what the logs of all processes say of one request, in order"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""
        parser.add_argument("identity", help="identity of the request")
        parser.add_argument("logs", nargs="+", help="files with log lines")

    def run(self, arguments: argparse.Namespace, environment: Mapping[str, str]) -> int:
        """Print the log lines of the request; see `Command`."""
        lines = read_logs(arguments.logs)
        if not is_successful(lines):
            write_failure(lines.failure())
            return EXIT_WRONG_INPUT
        found = find_request_lines(lines.unwrap(), arguments.identity)
        for line in sorted(found):
            sys.stdout.write(line.render() + "\n")
        return EXIT_DONE

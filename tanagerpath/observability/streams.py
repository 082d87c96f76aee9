"""Non-blocking output of log lines."""

import json
import os
import select
from typing import TextIO

__all__ = ["LineStream"]

# A pipe that is ready accepts at least this many bytes at once (PIPE_BUF on Linux).
MAX_LINE_BYTES = 4096
_TRUNCATION_MARK = b"...\n"


class LineStream:
    """Writes whole lines to a descriptor, or drops them while it is not ready.

    A reader that stops reading loses lines but does not block the process. The number
    of dropped lines is written before the next line.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to, such as 1 for standard output.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0
        self._unreported_drops = 0

    @classmethod
    def from_stream(cls, stream: TextIO) -> "LineStream":
        """Return a line stream on the descriptor of an open text stream."""
        return cls(stream.fileno())

    def write(self, text: str) -> None:
        """Write a line, or drop it if the reader has not kept up."""
        line = text.encode("utf-8", "replace")
        if len(line) > MAX_LINE_BYTES:
            line = line[: MAX_LINE_BYTES - len(_TRUNCATION_MARK)] + _TRUNCATION_MARK
        if not self._write_ready(line):
            self.dropped += 1
            self._unreported_drops += 1

    def _write_ready(self, line: bytes) -> bool:
        if self._unreported_drops:
            note = {"message": "log: lines dropped", "count": self._unreported_drops}
            if not self._write_once(json.dumps(note).encode() + b"\n"):
                return False
            self._unreported_drops = 0
        return self._write_once(line)

    def _write_once(self, line: bytes) -> bool:
        events = self._poll.poll(0)
        if not events or not events[0][1] & select.POLLOUT:
            return False
        try:
            os.write(self._descriptor, line)
        except OSError:
            # The reader closed the pipe; the line counts as dropped.
            return False
        return True

    def flush(self) -> None:
        """Do nothing: lines are not buffered."""

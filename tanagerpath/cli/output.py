"""Output of the commands."""

import sys

from tanagerpath.errors import Failure

__all__ = ["write_failure"]


def write_failure(failure: Failure) -> None:
    """Write one line about a failure to standard error."""
    line = " ".join(failure.message.split())
    sys.stderr.write(f"tanagerpath: {line}\n")

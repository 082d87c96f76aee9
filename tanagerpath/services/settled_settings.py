"""Reading of settings that may just be written."""

import time
from collections.abc import Callable
from typing import TypeVar

from returns.pipeline import is_successful
from returns.result import Result

from tanagerpath.errors import Failure

__all__ = ["read_settled"]

# A file that is written anew in its place is missing or cut for a moment.
SETTLE_S = 1.0
SETTLE_RETRY_S = 0.05

T = TypeVar("T")


def read_settled(
    read: Callable[[], Result[T, Failure]], patience_s: float = SETTLE_S
) -> Result[T, Failure]:
    """Read settings until they are right, for a short time.

    A process that starts while its settings are written would end otherwise.

    Parameters
    ----------
    read : callable
        Reads the settings.
    patience_s : float
        Seconds after which wrong settings are returned as such.

    Returns
    -------
    Result
        The settings, or what was wrong at the last attempt.
    """
    deadline_s = time.monotonic() + patience_s
    settings = read()
    while not is_successful(settings) and time.monotonic() < deadline_s:
        time.sleep(SETTLE_RETRY_S)
        settings = read()
    return settings

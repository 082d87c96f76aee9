"""Retries for settings that are read while they are written."""

import time
from collections.abc import Callable
from typing import TypeVar

from returns.pipeline import is_successful
from returns.result import Result

from tanagerpath.errors import Failure

__all__ = ["read_with_retries"]

# A file that is rewritten in place is missing or truncated for a moment.
READ_TIMEOUT_S = 1.0
READ_RETRY_DELAY_S = 0.05

T = TypeVar("T")


def read_with_retries(
    read: Callable[[], Result[T, Failure]], timeout_s: float = READ_TIMEOUT_S
) -> Result[T, Failure]:
    """Read settings, retrying while they are invalid.

    Without retries, a process that starts while its settings are written would exit.

    Parameters
    ----------
    read : callable
        Reads the settings.
    timeout_s : float
        Seconds after which the failure of the last attempt is returned.

    Returns
    -------
    Result
        The settings, or the failure of the last attempt.
    """
    deadline_s = time.monotonic() + timeout_s
    settings = read()
    while not is_successful(settings) and time.monotonic() < deadline_s:
        time.sleep(READ_RETRY_DELAY_S)
        settings = read()
    return settings

"""What an unexpected error in a decision costs, and how it is reported.

An error while the leader handles one upstream costs that upstream, and one in the plan
of a workload costs that workload. Any other error in a decision ends the term of the
leader, so that the next leader begins with the replicated state. No error ends the
process, as the same entry of the log would end it again after each restart.
"""

import traceback
from typing import Any

from tanagerpath.core.workloads.events import LogDecision

__all__ = ["PROCESS_ERRORS", "describe_error"]

# Errors that depend on the process and not on what it handles; these do end it.
PROCESS_ERRORS = (MemoryError, RecursionError)
_SHOWN_FRAMES = 3


def describe_error(part: str, error: Exception, **fields: Any) -> LogDecision:
    """Return the log line of an unexpected error.

    Parameters
    ----------
    part : str
        Part of the decisions that failed.
    error : Exception
        The error.
    **fields
        What was handled: the entry of the log, the upstream or the workload.
    """
    frames = traceback.extract_tb(error.__traceback__)[-_SHOWN_FRAMES:]
    described = {
        "part": part,
        **fields,
        "error": f"{type(error).__name__}: {error}",
        "raised_in": [f"{one.name}:{one.lineno}" for one in reversed(frames)],
    }
    return LogDecision("decision failed", described, is_fault=True)

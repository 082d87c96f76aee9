"""Exponential backoff of steps whose starts are refused."""

import attrs

from tanagerpath.core.workloads.runs import RunView
from tanagerpath.core.workloads.specs import StepKey

__all__ = ["StartBackoff"]

# Refusals without a delay, since another upstream may accept the start.
IMMEDIATE_RETRIES = 3
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
# Work must not stand still for 3 s while capacity is idle. A start on free capacity
# takes nothing from other work.
FREE_CAPACITY_BACKOFF_S = 1.0
# Keeps the power of two within the range of a float.
MAX_DOUBLINGS = 16


@attrs.define
class _StepBackoff:
    """Consecutive refused starts, and the instants until which the step waits.

    Attributes
    ----------
    count, last_run : int
        Number of refused starts, and the run of the last one.
    until_s : float
        Time before which it preempts nothing.
    free_from_s : float
        Time from which it may start on free capacity.
    """

    count: int = 0
    last_run: int = 0
    until_s: float = 0.0
    free_from_s: float = 0.0


class StartBackoff:
    """Delays the starts of a step while upstreams refuse them.

    Without it, a guaranteed step that every upstream refuses would preempt other runs
    on one upstream after the other, so that no other work would end.
    """

    def __init__(self) -> None:
        self._backoffs: dict[StepKey, _StepBackoff] = {}

    def note_refusal(self, view: RunView, now_s: float) -> None:
        """Count a refused start of a step; delay the next one after too many.

        The members of a gang run are refused together and count once.
        """
        backoff = self._backoffs.setdefault(view.task.step_key, _StepBackoff())
        if view.spec.gang and view.run == backoff.last_run:
            return
        backoff.last_run = view.run
        backoff.count += 1
        if backoff.count <= IMMEDIATE_RETRIES:
            return
        backoff.free_from_s = now_s + FREE_CAPACITY_BACKOFF_S
        if now_s >= backoff.until_s:
            doublings = min(backoff.count - IMMEDIATE_RETRIES - 1, MAX_DOUBLINGS)
            delay_s = min(INITIAL_BACKOFF_S * 2.0**doublings, MAX_BACKOFF_S)
            backoff.until_s = now_s + delay_s

    def note_start(self, step_key: StepKey) -> None:
        """Reset the backoff of a step that an upstream has started."""
        self._backoffs.pop(step_key, None)

    def must_wait(self, step_key: StepKey, now_s: float) -> bool:
        """Return whether the backoff of a step has not elapsed yet."""
        backoff = self._backoffs.get(step_key)
        return backoff is not None and now_s < backoff.until_s

    def may_use_free(self, step_key: StepKey, now_s: float) -> bool:
        """Return whether a step may start on free capacity."""
        backoff = self._backoffs.get(step_key)
        return backoff is None or now_s >= backoff.free_from_s

    def forget(self, workload_id: str) -> None:
        """Drop the backoff of all steps of an ended workload."""
        for key in [one for one in self._backoffs if one.workload_id == workload_id]:
            del self._backoffs[key]

"""Pauses of steps whose starts are refused."""

import attrs

from tanagerpath.core.workloads.specs import StepPlace

__all__ = ["RefusalPauses"]

# Another upstream may take a start that one has refused.
PROMPT_RETRIES = 3
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 8.0


@attrs.define
class _Refusals:
    """Refused starts in a row, and the instant until which the step waits."""

    count: int = 0
    until_s: float = 0.0


class RefusalPauses:
    """Makes a step wait longer and longer while its starts are refused.

    Without a bound, a guaranteed step that no upstream takes would stop other runs for
    room on one upstream after the other, and no other work would end.
    """

    def __init__(self) -> None:
        self._refusals: dict[StepPlace, _Refusals] = {}

    def note_refusal(self, place: StepPlace, now_s: float) -> None:
        """Count a refused start of a step."""
        held = self._refusals.setdefault(place, _Refusals())
        held.count += 1
        if held.count > PROMPT_RETRIES and now_s >= held.until_s:
            doublings = held.count - PROMPT_RETRIES - 1
            pause_s = min(FIRST_PAUSE_S * 2.0**doublings, LONGEST_PAUSE_S)
            held.until_s = now_s + pause_s

    def note_start(self, place: StepPlace) -> None:
        """Forget the refusals of a step that an upstream has started."""
        self._refusals.pop(place, None)

    def is_paused(self, place: StepPlace, now_s: float) -> bool:
        """Return whether a step has to wait."""
        held = self._refusals.get(place)
        return held is not None and now_s < held.until_s

    def forget(self, workload_id: str) -> None:
        """Forget an ended workload."""
        for place in [one for one in self._refusals if one.workload_id == workload_id]:
            del self._refusals[place]

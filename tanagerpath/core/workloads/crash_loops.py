"""Tells work that fails on all upstreams from upstreams that fail all work."""

import attrs

from tanagerpath.core.workloads.runs import RunView

__all__ = ["CrashLoops", "WorkKey"]

# A single task uses up its attempts on fewer upstreams, also where these are at fault.
MIN_FAILED_UPSTREAMS = 4
# Older outcomes say nothing about the present state of an upstream.
OUTCOME_MEMORY_S = 60.0


@attrs.frozen
class WorkKey:
    """Work that behaves alike: all tasks of an image, else those of a workload.

    Attributes
    ----------
    image, workload_id : str
        Either of them; the other one is empty.
    """

    image: str = ""
    workload_id: str = ""

    @classmethod
    def from_run(cls, view: RunView) -> "WorkKey":
        """Return the key of the work of a run."""
        if view.spec.image:
            return cls(image=view.spec.image)
        return cls(workload_id=view.task.workload_id)


@attrs.define
class _WorkOutcomes:
    """Upstreams by the latest outcome of some work there, each with its time.

    Attributes
    ----------
    failed, worked : dict of str to float
        Monotonic times in seconds by upstream, which is in one of them.
    latest_s : float
        Time of the latest outcome.
    """

    failed: dict[str, float] = attrs.Factory(dict)
    worked: dict[str, float] = attrs.Factory(dict)
    latest_s: float = 0.0


class CrashLoops:
    """Finds the work that is in a crash loop: it fails wherever it runs.

    Such work has failed on several upstreams lately, and on more than it works on.
    """

    def __init__(self) -> None:
        # The work whose latest outcome is the oldest comes first.
        self._outcomes: dict[WorkKey, _WorkOutcomes] = {}

    def __len__(self) -> int:
        return len(self._outcomes)

    def note_success(self, key: WorkKey, upstream_id: str, now_s: float) -> None:
        """Record that work was done on an upstream."""
        outcomes = self._open(key, now_s)
        outcomes.failed.pop(upstream_id, None)
        outcomes.worked[upstream_id] = now_s

    def note_failure(self, key: WorkKey, upstream_id: str, now_s: float) -> None:
        """Record that work failed, or made no progress, on an upstream."""
        outcomes = self._open(key, now_s)
        outcomes.worked.pop(upstream_id, None)
        outcomes.failed[upstream_id] = now_s

    def list_failures(self, key: WorkKey, now_s: float) -> list[tuple[str, float]]:
        """Return the upstreams on which work has failed last, and when."""
        outcomes = self._outcomes.get(key)
        return _list_recent(outcomes.failed, now_s) if outcomes else []

    def is_crash_loop(
        self, key: WorkKey, now_s: float, steady: frozenset[str] = frozenset()
    ) -> bool:
        """Return whether work fails wherever it runs.

        Parameters
        ----------
        key : WorkKey
            The work.
        now_s : float
            Monotonic time in seconds.
        steady : frozenset of str
            Upstreams on which it is at work at present. Long-running work never ends
            as done.
        """
        failed = {one for one, _ in self.list_failures(key, now_s)} - steady
        if len(failed) < MIN_FAILED_UPSTREAMS:
            return False
        worked = {one for one, _ in _list_recent(self._outcomes[key].worked, now_s)}
        return len(failed) > len(worked | steady)

    def _open(self, key: WorkKey, now_s: float) -> _WorkOutcomes:
        """Return the outcomes of some work, which gets a further one."""
        outcomes = self._outcomes.pop(key, None) or _WorkOutcomes()
        outcomes.latest_s = now_s
        self._outcomes[key] = outcomes
        self._drop_old(now_s)
        return outcomes

    def _drop_old(self, now_s: float) -> None:
        """Drop the work of which nothing has ended lately."""
        while self._outcomes:
            key, outcomes = next(iter(self._outcomes.items()))
            if now_s < outcomes.latest_s + OUTCOME_MEMORY_S:
                return
            del self._outcomes[key]


def _list_recent(times_s: dict[str, float], now_s: float) -> list[tuple[str, float]]:
    oldest_s = now_s - OUTCOME_MEMORY_S
    return [(one, at_s) for one, at_s in times_s.items() if at_s > oldest_s]

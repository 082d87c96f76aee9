"""Operator of the workload check, who removes queues beside submissions to them."""

import itertools
from collections.abc import Callable

import attrs

from tanagerpath.benchmarks.workload_check_callers import ControlClient, Scenario
from tanagerpath.benchmarks.workload_check_workloads import make_configuration
from tanagerpath.core.workloads.requests import ConfigurationRequest

__all__ = ["QueueOperator"]

MEAN_PAUSE_S = 1.0
# A submission this long after the removal was sent may be decided on before it.
MAX_SUBMISSION_DELAY_S = 0.012


@attrs.define(eq=False)
class QueueOperator(Scenario):
    """Adds a queue and removes it again, over and over.

    Attributes
    ----------
    submit : callable
        Submits a workload to the queue of the given name through the client.
    """

    submit: Callable[[ControlClient, str], None]
    _versions: "itertools.count[int]" = attrs.field(
        factory=lambda: itertools.count(2), init=False
    )
    _has_ended: bool = attrs.field(default=False, init=False)

    def begin(self) -> None:
        """Plan the next queue."""
        delay_s = self.client.random.expovariate(1 / MEAN_PAUSE_S)
        self.client.group.schedule(delay_s, self._add)

    def end(self) -> None:
        """Add no more queues."""
        self._has_ended = True

    def _add(self) -> None:
        if self._has_ended:
            return
        version = next(self._versions)
        queue = f"queue-{version}"
        request = ConfigurationRequest(make_configuration(version, (queue,)))
        self.client.request(request, lambda reply: self._remove(queue))

    def _remove(self, queue: str) -> None:
        delay_s = self.client.random.uniform(0.0, MAX_SUBMISSION_DELAY_S)
        self.client.group.schedule(delay_s, lambda: self.submit(self.client, queue))
        request = ConfigurationRequest(make_configuration(next(self._versions)))
        self.client.request(request, lambda reply: self.begin())

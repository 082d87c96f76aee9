"""Measures what a new leader decides before the first start, by fleet size.

The dispatcher of a new term takes over a fleet with running work, in virtual time and
without processes or sockets. Upstreams answer its renewals in groups:

    python -m tanagerpath.benchmarks.takeover --upstreams 24 96 270
"""

import argparse
import time

import attrs

from tanagerpath.core.coordination import (
    CallUpstream,
    Propose,
    Ticked,
    UpstreamReplied,
)
from tanagerpath.core.workloads import DeadlinePolicy, DeadlineTerms, Dispatcher
from tanagerpath.core.workloads.events import CommandRecorded
from tanagerpath.core.workloads.orders import HoldRequest
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

__all__ = ["Takeover", "measure_takeover"]

# Replies that are waiting when the leader is done with the ones before.
REPLIES_PER_STEP = 8
TASK = Resources(15_000, 30_000, 2)
TASKS_PER_UPSTREAM = 3
WAITING_WORKLOADS_PER_UPSTREAM = 0.25


@attrs.frozen(kw_only=True)
class Takeover:
    """Processor time of the decisions of a new leader, in milliseconds.

    Attributes
    ----------
    upstreams : int
        Size of the fleet.
    state_ms : float
        Building the sessions from the replicated state.
    renewals_ms : float
        Sending the first renewals.
    first_start_ms : float
        From the beginning of the term to the first start that is recorded.
    lists_ms : float
        From the beginning of the term until each upstream has listed its runs.
    longest_step_ms : float
        Longest time in which nothing else on the leader is served.
    """

    upstreams: int
    state_ms: float
    renewals_ms: float
    first_start_ms: float
    lists_ms: float
    longest_step_ms: float


class _Clock:
    """Processor time of the measured steps."""

    def __init__(self) -> None:
        self.total_ms = 0.0
        self.longest_ms = 0.0

    def measure(self, function, *arguments):
        """Call a function and add its processor time."""
        began_s = time.process_time()
        result = function(*arguments)
        passed_ms = (time.process_time() - began_s) * 1000.0
        self.total_ms += passed_ms
        self.longest_ms = max(self.longest_ms, passed_ms)
        return result


def _fill_fleet(upstreams: int) -> Rig:
    """Return a rig whose upstreams run work, with further work waiting."""
    rig = Rig(upstreams=upstreams)
    rig.run(0.5)
    for number in range(upstreams):
        step = StepSpec(count=TASKS_PER_UPSTREAM, needs=TASK, declared_run_s=60.0)
        rig.submit(f"run{number}", step, queue="scan", work_s=60.0)
    rig.run(1.0)
    for number in range(int(upstreams * WAITING_WORKLOADS_PER_UPSTREAM)):
        step = StepSpec(count=4, needs=TASK, declared_run_s=2.5)
        rig.submit(f"wait{number}", step, queue="batch", work_s=2.5)
    return rig


def _apply(rig: Rig, effects: list[object]) -> list[object]:
    """Record the proposed commands; return the events that follow from them."""
    events = []
    for effect in effects:
        if isinstance(effect, Propose):
            rig.index += 1
            applied = rig.state.apply(rig.index, effect.command)
            events.append(CommandRecorded(effect.command, applied))
    return events


def measure_takeover(upstreams: int) -> Takeover:
    """Measure the takeover of a fleet of this size."""
    rig = _fill_fleet(upstreams)
    clock = _Clock()
    dispatcher = clock.measure(
        Dispatcher.from_state,
        rig.terms,
        rig.state,
        DeadlinePolicy.from_config(DeadlineTerms()),
        rig.term + 1,
        rig.instant,
    )
    state_ms = clock.total_ms
    effects = clock.measure(dispatcher.handle, [Ticked()], rig.instant)
    renewals_ms = clock.total_ms - state_ms
    calls = [one for one in effects if isinstance(one, CallUpstream)]
    first_start_ms = 0.0
    waiting = [call for call in calls if isinstance(call.request, HoldRequest)]
    while waiting:
        group, waiting = waiting[:REPLIES_PER_STEP], waiting[REPLIES_PER_STEP:]
        events = [
            UpstreamReplied(
                call.upstream_id,
                call.incarnation,
                call.request,
                rig.upstreams[call.upstream_id].handle(call.request),
            )
            for call in group
        ]
        while events:
            effects = clock.measure(dispatcher.handle, events, rig.instant)
            events = _apply(rig, effects)
            if events and not first_start_ms:
                first_start_ms = clock.total_ms
        rig.now_s += 0.002
    return Takeover(
        upstreams=upstreams,
        state_ms=state_ms,
        renewals_ms=renewals_ms,
        first_start_ms=first_start_ms,
        lists_ms=clock.total_ms,
        longest_step_ms=clock.longest_ms,
    )


def main() -> None:
    """Print a table for the sizes that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--upstreams", type=int, nargs="+", default=[24, 96, 270])
    options = parser.parse_args()
    names = [field.name for field in attrs.fields(Takeover)]
    print(" ".join(names))
    for upstreams in options.upstreams:
        values = attrs.astuple(measure_takeover(upstreams))
        print(" ".join(f"{value:.1f}" if value % 1 else str(value) for value in values))


if __name__ == "__main__":
    main()

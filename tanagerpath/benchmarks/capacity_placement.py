"""Cost of one call of `decide`, and what makes it grow."""

import random

from tanagerpath.benchmarks.capacity_load import (
    BUSY_LOAD,
    QUEUED_PER_UPSTREAM,
    RUNNING_PER_UPSTREAM,
    make_announcement,
    make_document,
    make_request,
    measure_reachable_bytes,
    time_calls,
)
from tanagerpath.benchmarks.slopes import LineSpec, Probe
from tanagerpath.core.model import GuaranteedShape
from tanagerpath.core.placement import (
    GuaranteeScheduler,
    PendingJob,
    PlaceJob,
    SchedulerConfig,
    UpstreamCondition,
)

__all__ = ["EquivalenceClassProbe", "PlacementProbe", "ShortPlanProbe"]

FLEET_SIZES = (25, 250, 2500)
SAMPLES = 20
LOSSES = 5
GUARANTEED = 10
CLASS_UPSTREAMS = 250


def _make_scheduler(upstreams: int, organisations: int) -> GuaranteeScheduler:
    scheduler = GuaranteeScheduler.from_config(SchedulerConfig())
    for index in range(upstreams):
        capacity = make_announcement(index).capacity
        scheduler.update_upstream(capacity, UpstreamCondition.USABLE, 0.0)
    names = [f"team-{number:02d}" for number in range(organisations)]
    terms = make_document(organisations=tuple(names)).organisations
    guarantees = {item.name: item.guarantees for item in terms[:GUARANTEED]}
    scheduler.update_guarantees(guarantees, dict.fromkeys(names, 10**6))
    return scheduler


def _submit(
    scheduler: GuaranteeScheduler, number: int, accelerators: int, **changes: object
) -> PendingJob:
    request = make_request(number, accelerators, **changes)
    job = PendingJob(f"job-{number:08d}", request, 0.0)
    scheduler.submit(job, 0.0).unwrap()
    return job


class PlacementProbe(Probe):
    """One call of `decide`, without and with something to decide."""

    specs = (
        LineSpec("placement.decide_blocked", "s", "upstream", BUSY_LOAD),
        LineSpec(
            "placement.decide_one",
            "s",
            "upstream",
            f"{BUSY_LOAD}; one job of 2 ends and one is submitted and placed",
        ),
        LineSpec(
            "placement.decide_gang",
            "s",
            "upstream",
            f"{BUSY_LOAD}; and a gang of 64 waits",
        ),
        LineSpec(
            "placement.decide_loss",
            "s",
            "upstream",
            f"{BUSY_LOAD}; one upstream is lost before the call",
        ),
        LineSpec("placement.memory", "B", "upstream", BUSY_LOAD),
    )

    def __init__(self, sizes: tuple[int, ...] = FLEET_SIZES, seed: int = 1) -> None:
        self.sizes = sizes
        self._random = random.Random(seed)

    def prepare(self, size: int) -> None:
        """Fill the fleet and queue large jobs."""
        self._size = size
        self._now_s = 0.0
        scheduler = _make_scheduler(size, GUARANTEED)
        running = size * RUNNING_PER_UPSTREAM
        for number in range(running):
            _submit(scheduler, number, 2)
        self._held = [d.job_id for d in scheduler.decide(0.0)]
        for number in range(running, running + size * QUEUED_PER_UPSTREAM):
            # Below the size that gets reservations, which could keep timed jobs out.
            _submit(scheduler, number, 6)
        self._next_number = 10**6
        self._scheduler = scheduler
        self._memory = float(measure_reachable_bytes(scheduler))

    def measure(self) -> dict[str, float]:
        """See `Probe`."""
        return {
            "placement.decide_blocked": self._time_blocked(),
            "placement.decide_one": self._time_one(),
            "placement.decide_gang": self._time_gang(),
            "placement.decide_loss": self._time_loss(),
            "placement.memory": self._memory,
        }

    def _decide(self) -> list[object]:
        self._now_s += 0.05
        return self._scheduler.decide(self._now_s)

    def _time_blocked(self) -> float:
        self._decide()
        return time_calls(self._decide, SAMPLES)

    def _time_one(self) -> float:
        elapsed_s = 0.0
        for _ in range(SAMPLES):
            place = self._random.randrange(len(self._held))
            self._scheduler.record_finished(self._held[place], self._now_s)
            self._next_number += 1
            _submit(self._scheduler, self._next_number, 2, expected_run_s=60.0)
            elapsed_s += time_calls(lambda place=place: self._place_one(place), 1)
        return elapsed_s / SAMPLES

    def _place_one(self, place: int) -> None:
        (decision,) = self._decide()
        if not isinstance(decision, PlaceJob):
            raise RuntimeError(f"expected a placement, got {decision}")
        self._held[place] = decision.job_id

    def _time_gang(self) -> float:
        if self._size * 8 < 3 * 64:
            return self._time_blocked()
        self._next_number += 1
        job = _submit(self._scheduler, self._next_number, 64)
        self._decide()
        elapsed_s = time_calls(self._decide, SAMPLES)
        self._scheduler.withdraw(job.job_id)
        return elapsed_s

    def _time_loss(self) -> float:
        elapsed_s = 0.0
        for _ in range(LOSSES):
            index = self._random.randrange(self._size)
            capacity = make_announcement(index).capacity
            lost, usable = UpstreamCondition.LOST, UpstreamCondition.USABLE
            self._scheduler.update_upstream(capacity, lost, self._now_s)
            elapsed_s += time_calls(self._decide, 1)
            self._scheduler.update_upstream(capacity, usable, self._now_s)
            self._decide()
        return elapsed_s / LOSSES


class EquivalenceClassProbe(Probe):
    """How `decide` grows with the number of different kinds of waiting jobs."""

    specs = (
        LineSpec(
            "placement.decide_lanes",
            "s",
            "equivalence class",
            "250 upstreams full with jobs of 2; one blocked job of 8 of each class",
        ),
    )

    def __init__(self, sizes: tuple[int, ...] = (20, 150, 600)) -> None:
        self.sizes = sizes

    def prepare(self, size: int) -> None:
        """Queue one job of each equivalence class on a full fleet."""
        self._scheduler = _make_scheduler(CLASS_UPSTREAMS, max(GUARANTEED, size))
        for number in range(CLASS_UPSTREAMS * RUNNING_PER_UPSTREAM):
            _submit(self._scheduler, number, 2)
        self._scheduler.decide(0.0)
        for number in range(size):
            name = f"team-{number:02d}"
            _submit(self._scheduler, 10**6 + number, 8, organisation=name)
        self._scheduler.decide(0.05)

    def measure(self) -> dict[str, float]:
        """See `Probe`."""
        elapsed_s = time_calls(lambda: self._scheduler.decide(0.1), SAMPLES)
        return {"placement.decide_lanes": elapsed_s}


class ShortPlanProbe(Probe):
    """A change while no place is left for the spare runs of the plan."""

    specs = (
        LineSpec(
            "placement.decide_short_plan",
            "s",
            "upstream",
            "one guarantee of 8 for each upstream, so that the wanted spare runs are "
            "missing; one of the jobs of 2 ends before the call",
        ),
    )

    def __init__(self, sizes: tuple[int, ...] = (10, 25, 50)) -> None:
        self.sizes = sizes

    def prepare(self, size: int) -> None:
        """Promise all accelerators and lend them to jobs of 2."""
        scheduler = _make_scheduler(size, GUARANTEED)
        names = [f"team-{number:02d}" for number in range(GUARANTEED)]
        guarantees = {
            name: (GuaranteedShape(8),) * len(range(number, size, GUARANTEED))
            for number, name in enumerate(names)
        }
        scheduler.update_guarantees(guarantees, dict.fromkeys(names, 10**6))
        for number in range(size * RUNNING_PER_UPSTREAM):
            _submit(scheduler, number, 2)
        self._held = [decision.job_id for decision in scheduler.decide(0.0)]
        self._scheduler = scheduler

    def measure(self) -> dict[str, float]:
        """See `Probe`."""
        self._scheduler.record_finished(self._held.pop(), 0.1)
        elapsed_s = time_calls(lambda: self._scheduler.decide(0.1), 1)
        return {"placement.decide_short_plan": elapsed_s}

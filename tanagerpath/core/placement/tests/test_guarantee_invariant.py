"""Guards requirement R1: all guaranteed shapes stay reclaimable at once.

Random sequences of events are checked after every event by an exhaustive search that
shares no code with the plan.
"""

import attrs
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from tanagerpath.benchmarks.invariant import HeldRun, could_reclaim_all
from tanagerpath.core.model import JobClass
from tanagerpath.core.placement import PlaceJob, UpstreamCondition
from tanagerpath.core.placement.tests.fleets import (
    make_fleet,
    make_job,
    make_scheduler,
    shapes,
)

QUOTAS = {"red": 40, "blue": 64}
GUARANTEES = [
    {"red": shapes(16), "blue": shapes(8)},
    {"red": shapes(8, 4), "blue": shapes(16)},
    {"red": shapes(3, 3, 8)},
    {"blue": shapes(32)},
]
SUBMIT = st.tuples(
    st.just("submit"),
    st.sampled_from(["red", "blue"]),
    st.sampled_from([1, 2, 3, 5, 8, 16]),
    st.sampled_from(
        ["plain", "plain", "non_preemptible", "non_preemptible", "claim", "urgent"]
    ),
)
CHANGE = st.tuples(
    st.sampled_from(
        ["finish", "complete_preemptions", "lose", "drain", "repair", "change"]
    ),
    st.integers(0, 30),
)
PROPERTIES = {
    "plain": {"checkpointable": True},
    "non_preemptible": {"idempotent": False},
    "claim": {"guaranteed": True},
    "urgent": {"job_class": JobClass.URGENT},
}


@attrs.define
class _World:
    """Applies events and decisions; tracks what jobs hold without the scheduler."""

    fleet: list
    guarantees: dict
    scheduler: object = None
    conditions: dict = attrs.field(factory=dict)
    held: dict = attrs.field(factory=dict)
    preempting: dict = attrs.field(factory=dict)
    number: int = 0
    now_s: float = 0.0

    def __attrs_post_init__(self):
        self.scheduler = make_scheduler(self.fleet, self.guarantees, QUOTAS)
        self.conditions = dict.fromkeys(range(len(self.fleet)), "usable")

    def apply(self, event):
        self.now_s += 1.0
        getattr(self, event[0])(*event[1:])
        for decision in self.scheduler.decide(self.now_s):
            if isinstance(decision, PlaceJob):
                self.held[decision.job_id] = decision.assignment
            else:
                self.preempting[decision.job_id] = None

    def submit(self, organisation, size, kind):
        self.number += 1
        job = make_job(
            f"{organisation}/{kind}/{size}/{self.number}",
            size,
            self.now_s,
            organisation=organisation,
            **PROPERTIES[kind],
        )
        self.scheduler.submit(job, self.now_s)

    def finish(self, index):
        if self.held:
            self._end(list(self.held)[index % len(self.held)])

    def complete_preemptions(self, index):
        for job_id in list(self.preempting):
            organisation, kind, size, _ = job_id.split("/")
            self._end(job_id)
            self.submit(organisation, int(size), kind)

    def lose(self, index):
        self._set(index, UpstreamCondition.LOST)

    def drain(self, index):
        self._set(index, UpstreamCondition.DRAINING)

    def repair(self, index):
        self._set(index, UpstreamCondition.USABLE)

    def change(self, index):
        wanted = GUARANTEES[index % len(GUARANTEES)]
        if is_successful(self.scheduler.check_guarantees(wanted)):
            self.guarantees = wanted
            self.scheduler.update_guarantees(wanted, QUOTAS)

    def could_reclaim(self):
        usable = [each for i, each in enumerate(self.fleet) if self._is_usable(i)]
        held = [
            HeldRun(make_request(job_id), run.upstream_id, run.first, run.count)
            for job_id, assignment in self.held.items()
            for run in assignment.runs
        ]
        return could_reclaim_all(usable, held, self.guarantees)

    def count_held_accelerators(self):
        accelerators = [
            (run.upstream_id, index)
            for assignment in self.held.values()
            for run in assignment.runs
            for index in range(run.first, run.first + run.count)
        ]
        return len(accelerators), len(set(accelerators))

    def count_held(self, organisation):
        return sum(
            assignment.accelerators
            for job_id, assignment in self.held.items()
            if job_id.startswith(organisation)
        )

    def _end(self, job_id):
        del self.held[job_id]
        self.preempting.pop(job_id, None)
        self.scheduler.record_finished(job_id, self.now_s)

    def _set(self, index, condition):
        index %= len(self.fleet)
        self.conditions[index] = condition
        self.scheduler.update_upstream(self.fleet[index], condition, self.now_s)

    def _is_usable(self, index):
        return self.conditions[index] == UpstreamCondition.USABLE


def make_request(job_id):
    organisation, kind, size, _ = job_id.split("/")
    properties = PROPERTIES[kind]
    return make_job(job_id, int(size), organisation=organisation, **properties).request


class TestGuaranteeInvariant(testtools.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.sampled_from(GUARANTEES),
        st.lists(st.one_of(SUBMIT, SUBMIT, CHANGE), max_size=50),
    )
    def test_invariant_holds_after_every_event(self, guarantees, events):
        world = _World(make_fleet(2, width=4), guarantees)
        could_before = world.could_reclaim()
        for event in events:
            world.apply(event)
            could_now = world.could_reclaim()
            unmet = world.scheduler.list_unmet_guarantees()
            # Guarantees are reported as unmet if and only if they can't be reclaimed.
            self.assertEqual(could_now, not unmet, event)
            # Only lost or drained hardware may break the invariant.
            if could_before and event[0] not in ("lose", "drain"):
                self.assertTrue(could_now, event)
            could_before = could_now
            total, distinct = world.count_held_accelerators()
            self.assertEqual(total, distinct, "accelerators assigned twice")
            for organisation, quota in QUOTAS.items():
                self.assertTrue(world.count_held(organisation) <= quota, event)

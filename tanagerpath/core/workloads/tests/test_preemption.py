"""Guards against preemption that repeats or that frees capacity for nothing."""

import math
from collections import Counter

import testtools

from tanagerpath.core.workloads import commands
from tanagerpath.core.workloads.dispatch_context import DispatchTerms
from tanagerpath.core.workloads.evictions import MAX_STOPS
from tanagerpath.core.workloads.learned import LearnedFleet, LearnedSpeed
from tanagerpath.core.workloads.orders import Refusal
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

SMALL = Resources(8_000, 16_000, 1)
WHOLE = Resources(8_000, 16_000, 8)
# Three immediate claims, then one after each backoff, spread over six upstreams.
MAX_PREEMPTIONS_BY_REFUSED_WORK = 4


def _step(count=1, needs=SMALL, declared_run_s=1.0, **fields):
    return StepSpec(count=count, needs=needs, declared_run_s=declared_run_s, **fields)


def _list_decisions(rig, name):
    return [decision.fields for decision in rig.decisions if decision.name == name]


def _list_preemptions(rig):
    return [
        fields
        for fields in _list_decisions(rig, "run stopped")
        if fields["reason"].startswith("room for")
    ]


class TestVictims(testtools.TestCase):
    def test_new_leader_counts_the_work_of_inherited_runs(self):
        # A new leader took all runs for fresh ones and stopped those near their end:
        # 3 s after a change of leader, runs at 72 to 100 percent.
        rig = Rig(upstreams=2)
        rig.submit("old", _step(1, WHOLE, declared_run_s=9.0), work_s=9.0)
        rig.run(6.0)
        rig.submit("fresh", _step(1, WHOLE, declared_run_s=9.0), work_s=9.0)
        rig.run(1.0)
        rig.start_term(2)
        rig.run(0.3)
        rig.submit("check", _step(1, WHOLE), queue="urgent", work_s=1.0)
        rig.run(0.5)
        (stop,) = _list_preemptions(rig)
        self.assertEqual("fresh.0.0.0", stop["task"])

    def test_work_of_own_runs_counts_from_their_start_whatever_was_declared(self):
        # Progress times a declared run time that is far too long made a run that had
        # just begun seem the most expensive one.
        rig = Rig(upstreams=2)
        rig.submit("old", _step(1, WHOLE, declared_run_s=9.0), work_s=9.0)
        rig.run(5.0)
        rig.submit("fresh", _step(1, WHOLE, declared_run_s=900.0), work_s=9.0)
        rig.run(2.5)
        rig.submit("check", _step(1, WHOLE), queue="urgent", work_s=1.0)
        rig.run(0.5)
        (stop,) = _list_preemptions(rig)
        self.assertEqual("fresh.0.0.0", stop["task"])


class TestDecisionLog(testtools.TestCase):
    def _preempt_for_guaranteed_work(self):
        rig = Rig(upstreams=2)
        rig.submit("scan", _step(16, checkpointing=True), work_s=20.0)
        rig.run(2)
        rig.submit("check", _step(1, WHOLE), queue="urgent", work_s=1.0)
        rig.run(1.0)
        return rig

    def test_each_preemption_writes_one_line_with_its_cause(self):
        rig = self._preempt_for_guaranteed_work()
        stops = _list_preemptions(rig)
        self.assertEqual(8, len({(one["task"], one["run"]) for one in stops}))
        self.assertEqual(8, len(stops))
        self.assertEqual({"guaranteed"}, {one["claim"] for one in stops})
        self.assertEqual({0}, {one["stopped_before"] for one in stops})

    def test_use_of_a_claim_is_logged(self):
        rig = self._preempt_for_guaranteed_work()
        (claim,) = _list_decisions(rig, "room claimed")
        self.assertEqual(("check", 8), (claim["workload"], claim["victims"]))
        (used,) = _list_decisions(rig, "claimed room used")
        self.assertEqual(0, used["taken_by_others"])

    def test_stops_are_counted_by_their_cause(self):
        rig = self._preempt_for_guaranteed_work()
        self.assertEqual(8, rig.counts["run stopped: room"])


class TestProgress(testtools.TestCase):
    def _run_overload(self, seconds):
        """Submit an urgent gang beyond its guarantee to a fleet full of batch tasks.

        More batch tasks wait, and those that run started together, so that preempting
        them costs little at that moment.
        """
        rig = Rig(upstreams=3)
        batch = _step(72, declared_run_s=8.0)
        rig.submit("batch", batch, queue="batch", work_s=8.0)
        rig.run(3.0)
        gang = _step(3, WHOLE, gang=True)
        rig.submit("late", gang, queue="urgent", work_s=1.0)
        rig.run(seconds)
        return rig

    def test_work_past_its_hard_deadline_does_not_preempt(self):
        rig = self._run_overload(20.0)
        stops = _list_preemptions(rig)
        self.assertEqual([], [one for one in stops if one["claimant_useless"]])

    def test_preemptions_under_overload_are_bounded(self):
        rig = self._run_overload(60.0)
        self.assertEqual("completed", rig.find_state("batch"))
        self.assertEqual("completed", rig.find_state("late"))
        self.assertLessEqual(len(_list_preemptions(rig)), 72)

    def test_claimed_capacity_is_held_for_its_unit(self):
        rig = Rig(upstreams=3)
        rig.submit("scan", _step(48, declared_run_s=6.0), work_s=6.0)
        rig.run(0.6)
        gang = _step(3, WHOLE, gang=True, declared_run_s=2.0)
        rig.submit("gang", gang, queue="urgent", work_s=2.0, organisation="other")
        rig.run(0.1)
        # It ranks before the gang, as it is smaller, and could take its capacity.
        small = _step(1, WHOLE, declared_run_s=1.0)
        rig.submit("small", small, queue="urgent", work_s=1.0, organisation="other")
        rig.run(0.8)
        self.assertEqual("running", rig.find_state("gang"))
        self.assertEqual([], _list_decisions(rig, "claimed room taken by another"))
        rig.run(30.0)
        self.assertEqual("completed", rig.find_state("small"))
        self.assertEqual("completed", rig.find_state("scan"))

    def test_guaranteed_work_uses_capacity_claimed_for_other_work(self):
        rig = Rig(upstreams=1)
        rig.submit("scan", _step(16, declared_run_s=6.0), work_s=6.0)
        rig.run(0.6)
        large = _step(1, WHOLE, declared_run_s=3.0)
        rig.submit("large", large, queue="urgent", work_s=3.0, organisation="other")
        rig.run(0.1)
        rig.submit("check", _step(1, WHOLE), queue="urgent", work_s=1.0)
        rig.run(0.8)
        self.assertEqual("running", rig.find_state("check"))
        rig.run(30.0)
        self.assertEqual("completed", rig.find_state("large"))

    def test_guaranteed_work_preempts_where_it_is_on_time(self):
        rig = Rig(upstreams=0)
        speeds = {"slow": 0.4, "fast": 1.7}
        for name, speed in speeds.items():
            rig.add_upstream(name, speed=speed)
        learned = tuple(
            LearnedSpeed(name, math.log(speed), 0.01) for name, speed in speeds.items()
        )
        rig.apply(commands.RecordRuns(learned=LearnedFleet(learned)))
        rig.start_term(2)
        rig.run(0.5)
        rig.submit("scan", _step(16, declared_run_s=9.0), work_s=9.0)
        rig.run(0.5)
        gang = _step(1, WHOLE, gang=True, declared_run_s=3.0)
        rig.submit("check", gang, queue="urgent", work_s=3.0)
        rig.run(2.8)
        self.assertEqual("completed", rig.find_state("check"))
        stopped_on = {stop["upstream"] for stop in _list_preemptions(rig)}
        self.assertEqual({"fast"}, stopped_on)

    def test_preemptions_of_a_task_by_a_stream_of_urgent_work_are_bounded(self):
        rig = Rig(upstreams=1)
        rig.submit("scan", _step(8, declared_run_s=3.0), work_s=3.0)
        rig.run(0.5)
        urgent = _step(1, WHOLE)
        for number in range(25):
            name = f"urgent{number}"
            rig.submit(name, urgent, queue="urgent", work_s=1.0, organisation="other")
            rig.run(1.6)
        stops = Counter(stop["task"] for stop in _list_preemptions(rig))
        self.assertLessEqual(max(stops.values()), MAX_STOPS)
        self.assertEqual("completed", rig.find_state("scan"))

    def test_preemption_of_a_gang_counts_once_for_each_member(self):
        rig = Rig(upstreams=2)
        gang = _step(2, WHOLE, gang=True, declared_run_s=9.0)
        rig.submit("gang", gang, queue="batch", work_s=9.0)
        rig.run(1.0)
        for number in range(2):
            urgent = _step(1, WHOLE)
            rig.submit(f"check{number}", urgent, queue="urgent", work_s=1.0)
            rig.run(3.0)
        before = [stop["stopped_before"] for stop in _list_preemptions(rig)]
        self.assertEqual([0, 0, 1, 1], before)

    def test_guaranteed_work_starts_however_often_tasks_were_preempted(self):
        rig = Rig(upstreams=1)
        rig.submit("scan", _step(8, declared_run_s=9.0), work_s=9.0)
        rig.run(0.5)
        for number in range(6):
            name = f"check{number}"
            rig.submit(name, _step(1, WHOLE), queue="urgent", work_s=1.0)
            rig.run(0.8)
            self.assertEqual("running", rig.find_state(name))
            rig.run(2.0)
        rig.run(15.0)
        self.assertEqual("completed", rig.find_state("scan"))

    def test_gang_that_waits_for_a_long_running_task_does_not_block_other_work(self):
        """Reservations for a gang once assumed that long-running tasks end."""
        rig = Rig(upstreams=4)
        serving = _step(1, long_running=True)
        rig.submit("serve", serving, queue="batch", work_s=999.0)
        rig.run(1.0)
        gang = _step(4, WHOLE, gang=True, declared_run_s=3.0)
        rig.submit("gang", gang, queue="batch", work_s=3.0)
        rig.run(0.5)
        names = [f"scan{number}" for number in range(30)]
        for name in names:
            rig.submit(name, _step(4, declared_run_s=2.0), work_s=2.0)
            rig.run(1.0)
        rig.run(20.0)
        states = Counter(map(rig.find_state, names))
        self.assertEqual({"completed": 30}, dict(states))

    def test_nothing_is_preempted_where_max_per_upstream_is_reached(self):
        rig = Rig(upstreams=1)
        half = Resources(8_000, 16_000, 4)
        pair = _step(2, half, max_per_upstream=1, declared_run_s=5.0)
        rig.submit("pair", pair, queue="urgent", work_s=5.0)
        rig.run(0.5)
        rig.submit("scan", _step(4, declared_run_s=3.0), work_s=3.0)
        rig.run(4.0)
        self.assertEqual("completed", rig.find_state("scan"))
        self.assertEqual([], _list_preemptions(rig))

    def test_nothing_is_preempted_on_another_rack_during_the_locality_wait(self):
        rig = Rig(upstreams=5)
        # The only upstream of rack r1 is full of work that can't be preempted.
        rig.submit(
            "first", _step(1, WHOLE, preferred_rack="r1"), queue="urgent", work_s=6.0
        )
        rig.run(0.5)
        rig.submit("scan", _step(32, declared_run_s=3.0), work_s=3.0)
        rig.run(0.5)
        pinned = _step(1, WHOLE, preferred_rack="r1", declared_run_s=4.0)
        rig.submit("pinned", pinned, queue="urgent", work_s=4.0)
        rig.run(0.8)
        self.assertEqual([], _list_preemptions(rig))


class TestPlans(testtools.TestCase):
    def test_plans_of_a_large_fleet_leave_time_for_other_events(self):
        # Four units on two upstreams: the next plan is due after 0.8 s.
        rig = Rig(upstreams=2, terms=DispatchTerms(plan_cost_s=0.1))
        rig.run(0.5)
        rig.has_lease = False
        for number in range(4):
            rig.submit(f"w{number}", _step(1, WHOLE), work_s=0.1)
        rig.has_lease = True
        rig.run(0.6)
        self.assertEqual(2, len(rig.starts))
        rig.run(1.0)
        self.assertEqual(4, len(rig.starts))


class TestRetries(testtools.TestCase):
    def test_refused_start_is_not_repeated_at_once_on_the_same_upstream(self):
        for refusal in (Refusal.NO_ROOM, Refusal.EXPIRED, Refusal.MALFORMED):
            rig = Rig(upstreams=1)
            rig.upstreams["u0"].refusal = refusal
            rig.submit("w", _step(1))
            rig.run(5.0)
            self.assertLessEqual(rig.upstreams["u0"].refused_count, 6, refusal)
            rig.upstreams["u0"].refusal = None
            rig.run(5.0)
            self.assertEqual("completed", rig.find_state("w"))

    def test_refused_start_goes_to_another_upstream(self):
        rig = Rig(upstreams=2)
        rig.upstreams["u0"].refusal = Refusal.NO_ROOM
        rig.submit("w", _step(4))
        rig.run(3.0)
        self.assertEqual("completed", rig.find_state("w"))

    def test_preemptions_for_guaranteed_work_that_is_always_refused_are_bounded(self):
        """Each refused start once led to a claim on another upstream, without limit."""
        for refusal in (Refusal.NO_ROOM, Refusal.EXPIRED, Refusal.MALFORMED):
            rig = Rig(upstreams=6)
            for upstream in rig.upstreams.values():
                upstream.refused_workload = "check"
                upstream.refusal = refusal
            rig.submit("scan", _step(48, declared_run_s=9.0), work_s=9.0)
            rig.run(0.5)
            rig.submit("check", _step(1, WHOLE), queue="urgent", work_s=1.0)
            rig.run(60.0)
            stops = Counter(stop["task"] for stop in _list_preemptions(rig))
            self.assertLessEqual(max(stops.values()), MAX_PREEMPTIONS_BY_REFUSED_WORK)
            self.assertEqual("completed", rig.find_state("scan"), refusal)

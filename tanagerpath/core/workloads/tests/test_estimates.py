"""Guards the learning of speeds and work from inaccurate declarations."""

import math
import random

import testtools

from tanagerpath.core.workloads import FleetState, commands
from tanagerpath.core.workloads.estimates import RunEstimates
from tanagerpath.core.workloads.learned import LearnedFleet, LearnedSpeed
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.runs import ProgressSample, RunPhase, RunView
from tanagerpath.core.workloads.specs import StepSpec, TaskId
from tanagerpath.core.workloads.tests.rig import Rig


class TestEstimates(testtools.TestCase):
    def _learn(self, steps, source, speeds):
        estimates = RunEstimates()
        for number in range(steps):
            work_s = 6.0 * math.exp(source.gauss(0, 0.3))
            declared_s = work_s * math.exp(source.gauss(0, 0.9))
            for _ in range(4):
                name = source.choice(list(speeds))
                run_s = work_s / speeds[name] * math.exp(source.gauss(0, 0.15))
                estimates.observe(
                    (name,), ("w", number), "q", declared_s, run_s, float(number)
                )
        return estimates

    def test_fast_and_slow_upstreams_are_distinguished(self):
        for seed in range(5):
            source = random.Random(seed)
            speeds = {f"u{n}": 1.4 if n % 3 else 0.6 for n in range(12)}
            estimates = self._learn(40, source, speeds)
            fast = min(estimates.find_speed(n) for n, s in speeds.items() if s > 1)
            slow = max(estimates.find_speed(n) for n, s in speeds.items() if s < 1)
            self.assertGreater(fast, slow, f"seed {seed}")

    def test_earlier_work_of_a_queue_corrects_an_inaccurate_declaration(self):
        estimates = self._learn(30, random.Random(1), {"u": 1.0})
        predicted_s = estimates.predict_work_s(("new", 0), "q", 60.0)
        self.assertLess(predicted_s, 20.0)

    def test_run_time_of_a_gang_is_attributed_to_its_slowest_member(self):
        estimates = RunEstimates()
        for number in range(8):
            estimates.observe(("slow",), ("a", number), "q", 1.0, 3.0, 0.0)
            estimates.observe(("fast",), ("a", number), "q", 1.0, 1.0, 0.0)
        before = estimates.find_speed("fast")
        estimates.observe(("fast", "slow"), ("gang", 0), "q", 1.0, 9.0, 0.0)
        self.assertEqual(before, estimates.find_speed("fast"))

    def test_common_error_of_all_speeds_does_not_shorten_objectives(self):
        # Measured run times are longer than declared on each upstream. All speeds
        # drifted below 1 by this, and predicted work, so objectives, by as much.
        source = random.Random(3)
        estimates = RunEstimates()
        for number in range(200):
            name = f"u{source.randrange(40)}"
            run_s = 2.0 * 1.35 * math.exp(source.gauss(0, 0.1))
            estimates.observe((name,), ("w", number), "q", 2.0, run_s, float(number))
        predicted_s = estimates.predict_mean_run_s(("new", 0), "q", 2.0)
        self.assertAlmostEqual(2.7, predicted_s, delta=0.135)

    def _learn_known_speed(self):
        """Return estimates with an upstream of speed 1 and good declarations."""
        estimates = RunEstimates()
        for number in range(30):
            estimates.observe(("u",), ("w", number), "q", 2.0, 2.0, 0.0)
        return estimates

    def test_straggler_does_not_slow_the_estimate_of_its_upstream(self):
        # One task in thirty runs seven times as long as others of its step. It halved
        # the speed of its upstream, and urgent work then preempted runs elsewhere.
        estimates = self._learn_known_speed()
        estimates.observe(("u",), ("tail", 0), "q", 2.0, 14.0, 0.0)
        self.assertGreater(estimates.find_speed("u"), 0.7)
        predicted_s = estimates.predict_work_s(("tail", 0), "q", 2.0)
        self.assertLess(predicted_s, 4.0)

    def test_upstream_that_slows_runs_of_two_steps_counts_as_slow(self):
        # Two stragglers in a row on one upstream are unlikely.
        estimates = self._learn_known_speed()
        estimates.observe(("u",), ("first", 0), "q", 2.0, 14.0, 0.0)
        estimates.observe(("u",), ("second", 0), "q", 2.0, 14.0, 0.0)
        self.assertLess(estimates.find_speed("u"), 0.4)

    def test_progress_before_the_first_list_counts(self):
        # Lists arrive seconds apart: a run that is first listed at 40 percent has made
        # this progress since its start.
        rig = Rig(upstreams=0)
        rig.add_upstream("u0", speed=1.0)
        for number in range(12):
            spec = StepSpec(needs=Resources(1000, 1000, 1), declared_run_s=3.0)
            rig.submit(f"w{number}", spec, work_s=3.0)
            rig.run(5.0)
        speed = rig.dispatcher.context.estimates.find_speed("u0")
        self.assertGreater(speed, 0.85)
        self.assertLess(speed, 1.15)

    def test_speed_of_a_resumed_run_counts_from_its_first_list(self):
        view = RunView(
            TaskId("w", 0, 0, 0), 2, StepSpec(), "q", 0, RunPhase.RUNNING, 0.0
        )
        view.baseline = ProgressSample(10.0, 60)
        self.assertEqual(20.0, view.estimate_total_s(ProgressSample(14.0, 80)))
        self.assertIsNone(view.estimate_total_s(ProgressSample(11.0, 65)))


class TestChangeOfLeader(testtools.TestCase):
    """Guards against a new leader that places gangs as if all speeds were unknown."""

    def _learn_on_rig(self):
        rig = Rig(upstreams=0)
        for number in range(4):
            rig.add_upstream(f"u{number}", speed=0.5 if number == 0 else 1.5)
        one_each = StepSpec(count=4, needs=Resources(1000, 1000, 1), max_per_upstream=1)
        for number in range(6):
            rig.submit(f"w{number}", one_each, work_s=2.0)
            rig.run(6.0)
        return rig

    def test_new_leader_restores_the_learned_speeds(self):
        rig = self._learn_on_rig()
        before = rig.dispatcher.context.estimates
        rig.start_term(2)
        after = rig.dispatcher.context.estimates
        self.assertLess(after.find_speed("u0"), after.find_speed("u1"))
        for name in rig.upstreams:
            self.assertAlmostEqual(before.find_speed(name), after.find_speed(name))

    def test_learned_run_times_of_a_queue_survive_a_snapshot(self):
        rig = self._learn_on_rig()
        expected_s = rig.dispatcher.context.estimates.predict_work_s(
            ("new", 0), "scan", 60.0
        )
        rig.state = FleetState.from_snapshot(rig.state.make_snapshot())
        rig.start_term(2)
        estimates = rig.dispatcher.context.estimates
        predicted_s = estimates.predict_work_s(("new", 0), "scan", 60.0)
        self.assertAlmostEqual(expected_s, predicted_s)

    def test_speed_of_a_withdrawn_upstream_is_deleted(self):
        rig = self._learn_on_rig()
        rig.apply(commands.WithdrawUpstream("u0", "u0@1"))
        self.assertNotIn("u0", {one.upstream_id for one in rig.state.learned.speeds})

    def test_late_estimate_of_a_withdrawn_upstream_is_not_stored(self):
        # Nothing would ever remove it from the state again.
        rig = self._learn_on_rig()
        rig.apply(commands.WithdrawUpstream("u0", "u0@1"))
        late = LearnedFleet((LearnedSpeed("u0", 0.1, 0.01),))
        rig.apply(commands.RecordRuns(learned=late))
        self.assertNotIn("u0", {one.upstream_id for one in rig.state.learned.speeds})

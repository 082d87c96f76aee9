"""Guards against duplicate runs, overload, wrong order of steps and partial gangs."""

import math

import attrs
import testtools

from tanagerpath.core.workloads import commands
from tanagerpath.core.workloads.learned import LearnedFleet, LearnedSpeed
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

SMALL = Resources(8_000, 16_000, 1)
WHOLE = Resources(8_000, 16_000, 8)


def _step(count=1, needs=SMALL, declared_run_s=1.0, **fields):
    return StepSpec(count=count, needs=needs, declared_run_s=declared_run_s, **fields)


class TestRuns(testtools.TestCase):
    def test_workload_completes_in_the_order_of_its_steps(self):
        rig = Rig()
        rig.submit("w", _step(6), _step(3, depends_on=(0,)))
        rig.run(5)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual(9, len(rig.starts))

    def test_work_beyond_the_capacity_waits(self):
        rig = Rig(upstreams=1)
        rig.submit("w", _step(20))
        rig.run(6)
        self.assertEqual("completed", rig.find_state("w"))

    def test_gang_starts_whole_or_not_at_all(self):
        rig = Rig(upstreams=3)
        rig.submit("long", _step(1, WHOLE), work_s=4.0)
        rig.run(0.5)
        rig.submit("gang", _step(3, WHOLE, gang=True), queue="batch", work_s=1.0)
        rig.run(3)
        self.assertEqual("queued", rig.find_state("gang"))
        rig.run(6)
        self.assertEqual("completed", rig.find_state("gang"))
        runs = {start.run for start in rig.starts if start.task.workload_id == "gang"}
        self.assertEqual({1}, runs)

    def test_gang_with_a_lost_member_starts_again_whole(self):
        rig = Rig(upstreams=5)
        rig.submit("gang", _step(3, WHOLE, gang=True), queue="batch", work_s=3.0)
        rig.run(1)
        victim = next(up for up in rig.upstreams.values() if up.runs)
        victim.unreachable = True
        rig.run(30)
        self.assertEqual("completed", rig.find_state("gang"))

    def test_workload_fails_after_the_attempts_of_its_task(self):
        rig = Rig()
        rig.submit("w", _step(1))
        rig.failing_workloads.add("w")
        rig.run(3)
        self.assertEqual("failed", rig.find_state("w"))
        self.assertEqual(3, len(rig.starts))

    def test_upstream_that_fails_every_run_is_quarantined(self):
        rig = Rig(upstreams=3)
        rig.upstreams["u0"].fails_all = True
        for number in range(30):
            rig.submit(f"w{number}", _step(2))
        rig.run(25)
        states = {rig.find_state(f"w{number}") for number in range(30)}
        self.assertEqual({"completed"}, states)
        names = [decision.name for decision in rig.decisions]
        self.assertIn("upstream quarantined", names)

    def test_stalled_run_is_moved(self):
        rig = Rig(upstreams=2)
        rig.upstreams["u0"].stalls = True
        rig.submit("w", _step(4), work_s=1.0)
        rig.run(12)
        self.assertEqual("completed", rig.find_state("w"))

    def test_cancelled_workload_is_stopped_and_starts_nothing(self):
        rig = Rig()
        rig.submit("w", _step(40), work_s=5.0)
        rig.run(1)
        rig.cancel("w")
        rig.run(1.5)
        started = len(rig.starts)
        self.assertEqual([], [up for up in rig.upstreams.values() if up.runs])
        rig.run(5)
        self.assertEqual(started, len(rig.starts))
        self.assertEqual("cancelled", rig.find_state("w"))

    def test_occurrences_start_when_they_are_due(self):
        rig = Rig()
        first_due = rig.now_s + 2
        rig.submit(
            "w", _step(1), repeat_count=3, first_due_unix_s=first_due, interval_s=2
        )
        rig.run(1.9)
        self.assertEqual([], rig.starts)
        rig.run(8)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual([0, 1, 2], [start.task.occurrence for start in rig.starts])

    def test_long_running_task_is_restarted_when_it_ends(self):
        rig = Rig()
        rig.submit("w", _step(1, long_running=True), work_s=1.0)
        rig.run(6)
        self.assertEqual("running", rig.find_state("w"))
        self.assertGreater(len(rig.starts), 2)

    def test_guaranteed_work_preempts_other_work(self):
        rig = Rig(upstreams=2)
        rig.submit("scan", _step(16, checkpointing=True), work_s=20.0)
        rig.run(2)
        rig.submit("check", _step(1, WHOLE), queue="urgent", work_s=1.0)
        rig.run(1.0)
        self.assertEqual("running", rig.find_state("check"))
        rig.run(25)
        self.assertEqual("completed", rig.find_state("scan"))

    def test_resumed_run_carries_a_checkpoint_of_its_own_task(self):
        rig = Rig(upstreams=2)
        rig.submit("scan", _step(16, checkpointing=True), work_s=20.0)
        rig.run(4)
        rig.submit("check", _step(1, WHOLE), queue="urgent", work_s=1.0)
        rig.run(4)
        resumed = [start for start in rig.starts if start.checkpoint]
        self.assertNotEqual([], resumed)
        for start in resumed:
            self.assertTrue(start.checkpoint.startswith(f"c{start.task.index}:"))


class TestUpstreams(testtools.TestCase):
    def test_draining_upstream_gets_no_new_runs(self):
        rig = Rig(upstreams=2)
        record = attrs.evolve(rig.upstreams["u0"].record, draining=True)
        rig.report(record, sequence=5)
        rig.submit("w", _step(8))
        rig.run(4)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual({}, rig.upstreams["u0"].highest_ended_run)

    def test_delayed_heartbeat_does_not_undo_a_later_one(self):
        rig = Rig(upstreams=2)
        record = rig.upstreams["u0"].record
        rig.report(attrs.evolve(record, draining=True), sequence=5)
        self.assertEqual([], rig.report(record, sequence=4))

    def test_heartbeat_of_an_earlier_incarnation_is_ignored(self):
        rig = Rig(upstreams=1)
        old = rig.upstreams["u0"].record
        new = attrs.evolve(old, upstream_id="u9", incarnation="u9@2", born_unix_ms=2)
        expected = commands.RegisterUpstream(new, checks_birth=True)
        self.assertEqual([expected], rig.report(new))
        self.assertEqual([], rig.report(old, sequence=9))

    def test_runs_of_a_replaced_incarnation_are_restarted(self):
        rig = Rig(upstreams=2)
        rig.submit("w", _step(16), work_s=3.0)
        rig.run(1)
        fake = rig.upstreams["u0"]
        fake.runs.clear()
        fake.highest_ended_run.clear()
        fake.highest_token = fake.end_count = 0
        fake.record = attrs.evolve(fake.record, incarnation="u0@2", born_unix_ms=2)
        rig.report(fake.record)
        rig.run(8)
        self.assertEqual("completed", rig.find_state("w"))

    def test_run_on_an_unreachable_upstream_restarts_after_its_lease(self):
        rig = Rig(upstreams=2)
        rig.submit("w", _step(1), work_s=30.0)
        rig.run(1)
        victim = next(up for up in rig.upstreams.values() if up.runs)
        victim.unreachable = True
        rig.run(8)
        self.assertEqual(1, len(rig.starts))
        rig.run(5)
        self.assertEqual(2, len(rig.starts))


class TestLeaders(testtools.TestCase):
    def test_new_leader_takes_over_open_runs(self):
        rig = Rig()
        rig.submit("w", _step(8), work_s=3.0)
        rig.run(1)
        rig.start_term(2)
        rig.run(6)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual(8, len(rig.starts))

    def test_new_leader_waits_for_the_lease_of_an_upstream_it_cannot_reach(self):
        rig = Rig(upstreams=2)
        rig.submit("w", _step(1), work_s=30.0)
        rig.run(1)
        victim = next(up for up in rig.upstreams.values() if up.runs)
        victim.unreachable = True
        rig.start_term(2)
        rig.run(9)
        self.assertEqual(1, len(rig.starts))
        rig.run(3)
        self.assertEqual(2, len(rig.starts))

    def test_random_faults_violate_no_invariant(self):
        for seed in range(12):
            rig = Rig(upstreams=6, seed=seed)
            rig.reply_loss_rate = 0.05
            rig.late_order_rate = 0.05
            self._inject_faults(rig, seed)

    def _inject_faults(self, rig, seed):
        term = 1
        for number in range(30):
            gang = rig.random.random() < 0.4
            queue = rig.random.choice(["urgent", "batch", "scan"])
            needs = rig.random.choice([SMALL, WHOLE])
            count = rig.random.randint(1, 4)
            step = _step(count, needs, gang=gang, checkpointing=not gang)
            work_s = rig.random.uniform(0.3, 4.0)
            rig.submit(f"w{number}", step, queue=queue, work_s=work_s)
            rig.run(rig.random.uniform(0.1, 1.5))
            upstream = rig.random.choice(list(rig.upstreams.values()))
            upstream.unreachable = rig.random.random() < 0.3
            upstream.stalls = rig.random.random() < 0.1
            if rig.random.random() < 0.1:
                term += 1
                rig.start_term(term)
            if rig.random.random() < 0.1:
                rig.cancel(f"w{rig.random.randrange(number + 1)}")
        for upstream in rig.upstreams.values():
            upstream.unreachable = upstream.stalls = False
        rig.late_order_rate = rig.reply_loss_rate = 0.0
        rig.run(90)
        states = {record.final_state for record in rig.state.workloads.values()}
        self.assertNotIn(None, states, f"seed {seed}")


class TestPlacement(testtools.TestCase):
    def test_tasks_of_a_step_spread_over_upstreams_of_unknown_speed(self):
        rig = Rig(upstreams=6)
        rig.submit("w", _step(6), work_s=3.0)
        rig.run(0.5)
        loads = [len(upstream.runs) for upstream in rig.upstreams.values()]
        self.assertEqual([1] * 6, loads)

    def test_urgent_gang_goes_to_upstreams_with_observed_high_speed(self):
        rig = Rig(upstreams=6)
        for name in ("u0", "u1", "u2"):
            rig.upstreams[name].speed = 0.4
        for number in range(4):
            rig.submit(f"scan{number}", _step(6), work_s=2.0)
            rig.run(6)
        rig.submit("check", _step(2, WHOLE, gang=True), queue="urgent", work_s=1.0)
        rig.run(0.5)
        used = {name for name, upstream in rig.upstreams.items() if upstream.runs}
        self.assertTrue(used <= {"u3", "u4", "u5"}, used)

    def test_urgent_gang_is_not_starved_by_small_tasks(self):
        rig = Rig(upstreams=2)
        for number in range(40):
            rig.submit(f"scan{number}", _step(4), work_s=2.0)
        rig.run(2)
        # Exceeds the guarantee of 16 accelerators, so that it preempts nothing.
        gang = _step(2, Resources(40_000, 16_000, 8), gang=True)
        rig.submit("first", gang, queue="urgent", work_s=1.0)
        rig.submit("second", gang, queue="urgent", work_s=1.0)
        rig.run(12)
        self.assertEqual("completed", rig.find_state("second"))
        self.assertIn("queued", {rig.find_state(f"scan{n}") for n in range(40)})

    def _lead_with_known_speeds(self, speeds):
        """Return a rig whose leader knows the speeds of its upstreams."""
        rig = Rig(upstreams=0)
        for name, speed in speeds.items():
            rig.add_upstream(name, speed=speed)
        learned = LearnedFleet(
            tuple(
                LearnedSpeed(name, math.log(speed), 0.01)
                for name, speed in speeds.items()
            )
        )
        rig.apply(commands.RecordRuns(learned=learned))
        rig.start_term(2)
        rig.run(0.5)
        return rig

    def _find_used(self, rig, workload_id):
        return {
            name
            for name, upstream in rig.upstreams.items()
            if any(task.workload_id == workload_id for task, _ in upstream.runs)
        }

    def test_work_with_slack_leaves_fast_upstreams_free(self):
        rig = self._lead_with_known_speeds({"slow": 0.7, "fast": 1.7})
        rig.submit("scan", _step(1, declared_run_s=4.0), work_s=4.0)
        rig.run(0.5)
        self.assertEqual({"slow"}, self._find_used(rig, "scan"))

    def test_work_with_slack_takes_a_fast_upstream_if_it_would_be_late(self):
        rig = self._lead_with_known_speeds({"slow": 0.4, "fast": 1.7})
        rig.submit("scan", _step(1, declared_run_s=4.0), work_s=4.0)
        rig.run(0.5)
        self.assertEqual({"fast"}, self._find_used(rig, "scan"))

    def test_urgent_gang_preempts_less_valuable_work_rather_than_be_late(self):
        rig = self._lead_with_known_speeds({"slow": 0.4, "fast": 1.7})
        # Would be late on the slow upstream, so that it takes the fast one.
        scan = _step(1, declared_run_s=4.0, checkpointing=True)
        rig.submit("scan", scan, work_s=4.0)
        rig.run(1.0)
        self.assertEqual({"fast"}, self._find_used(rig, "scan"))
        gang = _step(1, WHOLE, gang=True, declared_run_s=3.0)
        rig.submit("check", gang, queue="urgent", work_s=3.0)
        rig.run(1.0)
        self.assertEqual({"fast"}, self._find_used(rig, "check"))
        rig.run(2.5)
        self.assertEqual("completed", rig.find_state("check"))

    def test_short_urgent_gang_does_not_preempt_much_unsaved_work(self):
        rig = self._lead_with_known_speeds({"slow": 0.4, "fast": 1.7})
        rig.submit("scan", _step(8, declared_run_s=30.0), work_s=30.0)
        rig.run(10.0)
        gang = _step(1, WHOLE, gang=True, declared_run_s=1.0)
        rig.submit("check", gang, queue="urgent", work_s=1.0)
        rig.run(1.5)
        self.assertEqual({"fast"}, self._find_used(rig, "scan"))
        self.assertEqual({"slow"}, self._find_used(rig, "check"))

    def _find_first_started(self, rig, *names):
        started = (request.task.workload_id for request in rig.starts)
        return next(name for name in started if name in names)

    def test_small_work_goes_before_large_work(self):
        rig = Rig(upstreams=1)
        rig.submit("running", _step(1, WHOLE), work_s=3.0)
        rig.run(0.5)
        rig.submit("large", _step(24, declared_run_s=4.0), work_s=4.0)
        rig.submit("small", _step(1, declared_run_s=4.5), work_s=4.5)
        rig.run(5.0)
        self.assertEqual("small", self._find_first_started(rig, "large", "small"))

    def test_large_work_goes_first_when_its_slack_is_used_up(self):
        rig = Rig(upstreams=1)
        # On another queue, so that its run time does not affect the estimates.
        blocker = _step(1, WHOLE, declared_run_s=8.0)
        rig.submit("blocker", blocker, queue="batch", work_s=8.0)
        rig.run(0.5)
        rig.submit("large", _step(24, declared_run_s=4.0), work_s=4.0)
        rig.run(7.3)
        rig.submit("small", _step(4, declared_run_s=4.5), work_s=4.5)
        rig.run(2.0)
        self.assertEqual("large", self._find_first_started(rig, "large", "small"))


class TestLongRuns(testtools.TestCase):
    def test_task_of_an_hour_does_not_count_as_stalled(self):
        rig = Rig(upstreams=1)
        hour_s = 3600.0
        step = StepSpec(needs=SMALL, declared_run_s=hour_s / 5)
        rig.submit("w", step, work_s=hour_s)
        rig.run(60)
        self.assertEqual(1, len(rig.starts))

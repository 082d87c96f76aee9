"""Guards the protocols with external services: placement advice and VM upkeep."""

import attrs
import testtools

from tanagerpath.core.workloads.advice import MAX_UPSTREAMS_PER_CALL
from tanagerpath.core.workloads.commands import DeclareWave
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

SMALL = Resources(8_000, 16_000, 1)
WHOLE = Resources(8_000, 16_000, 8)
STEP = StepSpec(needs=SMALL, declared_run_s=1.0)
UPKEEP_S = 2.0


class TestAdvice(testtools.TestCase):
    def test_tasks_start_only_where_the_service_allows_and_carry_its_ticket(self):
        rig = Rig()
        rig.allowed_upstreams = {"u1"}
        rig.submit("w", StepSpec(count=4, needs=SMALL), queue="advised")
        rig.run(4)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual({"t-u1"}, {start.ticket for start in rig.starts})

    def test_nothing_starts_while_no_upstream_is_allowed(self):
        rig = Rig()
        rig.submit("w", StepSpec(count=1, needs=SMALL), queue="advised")
        rig.run(2)
        self.assertEqual([], rig.starts)
        rig.allowed_upstreams = {"u2"}
        rig.run(3)
        self.assertEqual("completed", rig.find_state("w"))

    def test_upstreams_that_were_not_asked_about_are_asked_about_next(self):
        """The service's decision does not change, so asking again was in vain."""
        rig = Rig(upstreams=2 * MAX_UPSTREAMS_PER_CALL)
        asked_last = sorted(rig.upstreams)[-1]
        rig.allowed_upstreams = {asked_last}
        rig.submit("w", STEP, queue="advised", work_s=1.0)
        rig.run(5.0)
        self.assertEqual("completed", rig.find_state("w"))

    def test_more_upstreams_are_asked_about_until_a_gang_fits(self):
        rig = Rig(upstreams=2 * MAX_UPSTREAMS_PER_CALL)
        names = sorted(rig.upstreams)
        rig.allowed_upstreams = {names[0], names[-1]}
        gang = attrs.evolve(STEP, count=2, gang=True, needs=WHOLE)
        rig.submit("w", gang, queue="advised", work_s=1.0)
        rig.run(5.0)
        self.assertEqual("completed", rig.find_state("w"))


class TestUpkeep(testtools.TestCase):
    def _declare(self, rig, names, most_at_once, duration_s):
        rig.apply(
            DeclareWave(
                wave=1,
                vm_ids=tuple(names),
                due_at_unix_s=rig.now_s + duration_s,
                most_at_once=most_at_once,
            )
        )

    def _run_wave(self, rig, duration_s):
        """Run for `duration_s`, and finish each upkeep after `UPKEEP_S`."""
        open_upkeeps = []
        most = 0
        until_s = rig.now_s + duration_s
        while rig.now_s < until_s:
            before = len(rig.upkeeps)
            rig.run(0.1)
            open_upkeeps += rig.upkeeps[before:]
            for began_s, name in tuple(open_upkeeps):
                if rig.now_s >= began_s + UPKEEP_S:
                    rig.restart_upstream(name)
                    open_upkeeps.remove((began_s, name))
            most = max(most, len(open_upkeeps))
        return most

    def test_wave_respects_its_limit_and_completes(self):
        rig = Rig()
        self._declare(rig, ["u0", "u1", "u2"], most_at_once=1, duration_s=20)
        self.assertEqual(1, self._run_wave(rig, 15))
        self.assertEqual({"u0", "u1", "u2"}, {name for _, name in rig.upkeeps})
        self.assertTrue(rig.state.waves[1].is_completed)

    def test_short_runs_complete_before_the_upkeep_of_their_vm(self):
        rig = Rig(upstreams=2)
        rig.submit("w", StepSpec(count=16, needs=SMALL), work_s=1.5)
        rig.run(0.5)
        self._declare(rig, ["u0"], most_at_once=1, duration_s=20)
        self._run_wave(rig, 10)
        self.assertEqual(0, rig.runs_ended_by_upkeep)
        self.assertEqual("completed", rig.find_state("w"))

    def test_upkeep_respects_max_unavailable(self):
        rig = Rig(upstreams=2)
        step = StepSpec(
            count=2,
            needs=Resources(8_000, 16_000, 8),
            long_running=True,
            max_unavailable=1,
        )
        rig.submit("w", step, work_s=1000.0)
        rig.run(2)
        self._declare(rig, ["u0", "u1"], most_at_once=2, duration_s=20)
        rig.run(3)
        self.assertLessEqual(len(rig.upkeeps), 1)

    def test_new_leader_counts_upkeeps_of_an_earlier_one_towards_the_limit(self):
        rig = Rig()
        self._declare(rig, ["u0", "u1", "u2"], most_at_once=1, duration_s=20)
        rig.run(1.5)
        self.assertEqual(1, len(rig.upkeeps))
        rig.start_term(2)
        rig.run(2.0)
        self.assertEqual(1, len(rig.upkeeps))
        rig.restart_upstream(rig.upkeeps[0][1])
        self.assertEqual(1, self._run_wave(rig, 15))
        self.assertTrue(rig.state.waves[1].is_completed)

    def test_new_leader_repeats_an_upkeep_that_was_not_recorded(self):
        rig = Rig()
        rig.has_lease = False
        self._declare(rig, ["u0", "u1", "u2"], most_at_once=1, duration_s=20)
        # The platform has started it, and the leader fails before the reply.
        rig.upstreams["u2"].unreachable = True
        rig.has_lease = True
        rig.start_term(2)
        rig.run(2.0)
        self.assertEqual(["u2"], [name for _, name in rig.upkeeps])

    def test_upkeeps_that_start_together_evict_long_running_tasks_in_turn(self):
        rig = Rig(upstreams=4)
        step = StepSpec(
            count=2,
            needs=Resources(8_000, 16_000, 8),
            long_running=True,
            max_unavailable=1,
        )
        rig.submit("w", step, work_s=1000.0)
        rig.run(2)
        used = [name for name, one in rig.upstreams.items() if one.runs]
        # Both upkeeps start while all tasks run, and are due at once.
        self._declare(rig, used, most_at_once=2, duration_s=1)
        for _ in range(100):
            rig.run(0.05)
            running = [
                run
                for upstream in rig.upstreams.values()
                for run in upstream.runs.values()
                if run.stops_at_s is None
            ]
            self.assertGreaterEqual(len(running), 1)
        self.assertEqual(set(used), {name for _, name in rig.upkeeps})
        self.assertEqual(0, rig.runs_ended_by_upkeep)

"""Guards the duties towards outside services: advice on places, upkeep in waves."""

import testtools

from tanagerpath.core.workloads.commands import DeclareWave
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

SMALL = Resources(8_000, 16_000, 1)
AWAY_S = 2.0


class TestAdvice(testtools.TestCase):
    def test_tasks_start_only_where_the_service_allows_and_carry_its_ticket(self):
        rig = Rig()
        rig.allowed = {"u1"}
        rig.submit("w", StepSpec(count=4, needs=SMALL), queue="advised")
        rig.run(4)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual({"t-u1"}, {start.ticket for start in rig.starts})

    def test_nothing_starts_while_no_upstream_is_allowed(self):
        rig = Rig()
        rig.submit("w", StepSpec(count=1, needs=SMALL), queue="advised")
        rig.run(2)
        self.assertEqual([], rig.starts)
        rig.allowed = {"u2"}
        rig.run(3)
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

    def _play(self, rig, duration_s):
        """Let time pass; each VM is back after `AWAY_S`."""
        away = []
        most = 0
        until_s = rig.now_s + duration_s
        while rig.now_s < until_s:
            before = len(rig.upkeeps)
            rig.run(0.1)
            away += rig.upkeeps[before:]
            for began_s, name in tuple(away):
                if rig.now_s >= began_s + AWAY_S:
                    rig.finish_upkeep(name)
                    away.remove((began_s, name))
            most = max(most, len(away))
        return most

    def test_wave_keeps_its_bound_and_ends(self):
        rig = Rig()
        self._declare(rig, ["u0", "u1", "u2"], most_at_once=1, duration_s=20)
        self.assertEqual(1, self._play(rig, 15))
        self.assertEqual({"u0", "u1", "u2"}, {name for _, name in rig.upkeeps})
        self.assertTrue(rig.state.waves[1].is_completed)

    def test_short_runs_end_before_the_upkeep_of_their_vm(self):
        rig = Rig(upstreams=2)
        rig.submit("w", StepSpec(count=16, needs=SMALL), work_s=1.5)
        rig.run(0.5)
        self._declare(rig, ["u0"], most_at_once=1, duration_s=20)
        self._play(rig, 10)
        self.assertEqual(0, rig.cut_by_upkeep)
        self.assertEqual("completed", rig.find_state("w"))

    def test_long_running_tasks_are_not_all_away_at_once(self):
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

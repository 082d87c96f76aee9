"""Guards against a soak that exceeds what must be borne or passes over losses."""

import attrs
import testtools

from tanagerpath.emulator.soak_faults import FAULTS, LEADER, FaultSequence, FaultStep
from tanagerpath.emulator.soak_plan import LAYOUTS, Layout, SoakPlan
from tanagerpath.emulator.soak_promises import (
    ConfigurationAcknowledged,
    ConfigurationShown,
    Promises,
    Shown,
    WorkloadAccepted,
    WorkloadRefused,
    WorkloadShown,
)

CATCH_UP_S = 4.0
TICK_S = 0.05
START_S = 1.0


class TestPlans(testtools.TestCase):
    def test_same_seed_gives_the_same_plan(self):
        for seed in range(20):
            self.assertEqual(SoakPlan.from_seed(seed), SoakPlan.from_seed(seed))

    def test_last_fault_takes_as_many_disks_as_must_be_borne(self):
        for seed in range(20):
            plan = SoakPlan.from_seed(seed)
            wiped = set(plan.final.wiped)
            self.assertEqual(plan.layout.tolerated_losses, len(wiped))
            self.assertTrue(wiped <= set(plan.layout.vm_ids))

    def test_workers_leave_the_faults_of_a_seed_as_they_are(self):
        """Guards against seeds of earlier failures that play something else."""
        for seed in range(20):
            plan = SoakPlan.from_seed(seed, Layout(5, 2))
            with_workers = SoakPlan.from_seed(seed, Layout(5, 2, workers=8))
            self.assertEqual((), plan.worker_steps + plan.leader_series)
            for name in ("series", "kills_all", "final"):
                self.assertEqual(getattr(plan, name), getattr(with_workers, name))

    def test_worker_faults_leave_most_workers_alone(self):
        """Guards against a soak in which no task can run."""
        layout = Layout(5, 2, workers=8)
        for seed in range(20):
            for step in SoakPlan.from_seed(seed, layout).worker_steps:
                self.assertTrue(set(step.worker_ids) <= set(layout.worker_ids))
                self.assertTrue(1 <= len(step.worker_ids) <= layout.workers / 2)
                self.assertTrue(1.0 <= step.duration_s <= 15.0)


class TestSequences(testtools.TestCase):
    def test_leader_is_lost_again_only_when_another_one_is_named(self):
        """Guards against two faults of one process in place of two leaders."""
        kill = next(one for one in FAULTS if one.name == "kill")
        step = FaultStep(kill, LEADER, 0.0, 1.0)
        sequence = FaultSequence((step, step), 2, CATCH_UP_S, 0.0)
        self.assertIsNone(sequence.begin_due(0.0))
        self.assertEqual("c1", sequence.begin_due(0.0, "c1").vm_id)
        self.assertIsNone(sequence.begin_due(0.1, "c1"))
        self.assertEqual(attrs.evolve(step, vm_id="c2"), sequence.begin_due(0.1, "c2"))

    def test_no_more_vms_are_lost_than_must_be_borne(self):
        """Guards against a soak that blames the system for what it need not bear."""
        overlaps = 0
        for seed in range(60):
            plan = SoakPlan.from_seed(seed, LAYOUTS[seed % len(LAYOUTS)])
            for steps in plan.series:
                overlaps += self.play(steps, plan.layout)
        self.assertTrue(overlaps > 0, "no seed had two losses at once")

    def play(self, steps, layout):
        """Play a series in virtual time; return the instants with two losses."""
        now_s = overlaps = 0.0
        sequence = FaultSequence(steps, layout.tolerated_losses, CATCH_UP_S, now_s)
        begun, starting = [], []
        away = dict.fromkeys(layout.vm_ids, False)
        back_s = dict.fromkeys(layout.vm_ids, -CATCH_UP_S)
        while not sequence.is_over(now_s):
            while (step := sequence.begin_due(now_s)) is not None:
                begun.append(step)
                away[step.vm_id] |= step.fault.is_loss
            while (step := sequence.end_due(now_s)) is not None:
                starting.append((now_s + START_S, step.vm_id))
            for ready_s, vm_id in [one for one in starting if one[0] <= now_s]:
                starting.remove((ready_s, vm_id))
                away[vm_id], back_s[vm_id] = False, now_s
                sequence.note_back(vm_id, now_s)
            lost = [v for v in away if away[v] or now_s < back_s[v] + CATCH_UP_S]
            self.assertTrue(len(lost) <= layout.tolerated_losses, (now_s, lost))
            overlaps += len(lost) > 1
            now_s += TICK_S
            self.assertTrue(now_s < 300.0, "the series does not end")
        self.assertEqual(list(steps), begun)
        return overlaps


def acknowledge(version, began_s):
    return ConfigurationAcknowledged(version, began_s, began_s + 0.1)


def show(version, began_s, process="c1.1", is_whole=True):
    return ConfigurationShown(process, version, is_whole, began_s, began_s + 0.1)


def accept(began_s):
    return WorkloadAccepted("w", began_s, began_s + 0.1)


def see(shown, began_s):
    return WorkloadShown("w", shown, began_s, began_s + 0.1)


class TestPromises(testtools.TestCase):
    CASES = [
        # what callers saw, number of broken promises
        ((acknowledge(2, 1.0), show(2, 2.0)), 0),
        ((acknowledge(2, 1.0), show(3, 2.0)), 0),
        ((acknowledge(2, 1.0), show(1, 2.0)), 1),
        # The read began before the acknowledgement had arrived.
        ((acknowledge(2, 1.0), show(1, 1.05)), 0),
        ((acknowledge(3, 1.0), acknowledge(2, 1.5), show(2, 2.0)), 1),
        ((show(3, 1.0), show(2, 2.0)), 1),
        ((show(3, 1.0), show(2, 1.05)), 0),
        ((show(3, 1.0), show(2, 2.0, "c2.1")), 0),
        ((show(3, 1.0), show(2, 2.0), show(2, 3.0)), 2),
        ((show(2, 1.0, is_whole=False),), 1),
        ((accept(1.0), see(Shown.OPEN, 2.0)), 0),
        ((accept(1.0), see(Shown.MISSING, 2.0)), 1),
        ((accept(1.0), see(Shown.MISSING, 1.05)), 0),
        ((accept(1.0), see(Shown.UNCLEAR, 2.0)), 0),
        ((accept(1.0), see(Shown.CANCELLED, 2.0), see(Shown.OPEN, 3.0)), 1),
        ((accept(1.0), see(Shown.CANCELLED, 2.0), see(Shown.OPEN, 2.05)), 0),
        ((accept(1.0), see(Shown.CANCELLED, 2.0), see(Shown.MISSING, 3.0)), 1),
        ((WorkloadRefused("w"), see(Shown.MISSING, 2.0)), 0),
        ((WorkloadRefused("w"), see(Shown.OPEN, 2.0)), 1),
    ]

    def test_each_reply_is_judged_by_what_was_promised_before(self):
        """Guards against a soak that passes although something was lost."""
        for events, count in self.CASES:
            promises = Promises()
            for event in events:
                promises.handle(event)
            self.assertEqual(count, len(promises.broken), (events, promises.broken))

    def test_requests_count_as_served_only_if_they_began_later(self):
        promises = Promises()
        for event in (acknowledge(1, 1.0), accept(1.0), show(1, 1.0)):
            promises.handle(event)
        self.assertEqual([], promises.list_unserved(0.5, ("c1.1",)))
        self.assertEqual(3, len(promises.list_unserved(1.0, ("c1.1",))))
        self.assertEqual(1, len(promises.list_unserved(0.5, ("c1.2",))))

"""Guards against plans so long that events wait, and against units left out of them."""

import testtools

from tanagerpath.core.workloads import DeadlinePolicy, DispatchTerms
from tanagerpath.core.workloads.plan_rounds import MIN_PLAN_UNITS, PlanRound
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepKey, StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

WHOLE = Resources(8_000, 16_000, 8)
HALF = Resources(8_000, 16_000, 4)


class _Unit:
    """A waiting unit; a lower number is more important."""

    def __init__(self, number, is_overdue=False):
        self.number = number
        self.is_overdue = is_overdue
        self.step_key = StepKey(f"w{number}", 0, 0)


def _rank(units):
    return sorted(units, key=lambda one: one.number)


def _choose(plan_round, units, claimed=(), upstreams=1):
    chosen = plan_round.choose(units, upstreams, claimed, _rank)
    return [unit.number for unit in chosen]


class TestPlanRound(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.units = [_Unit(number) for number in reversed(range(40))]

    def test_few_units_are_all_planned_at_once(self):
        plan_round = PlanRound(40)
        expected = [unit.number for unit in self.units]
        self.assertEqual(expected, _choose(plan_round, self.units))
        self.assertFalse(plan_round.is_open)

    def test_most_important_units_are_in_each_plan_and_all_others_in_one(self):
        plan_round = PlanRound(10)
        plans = [_choose(plan_round, self.units) for _ in range(7)]
        self.assertEqual([10] * 7, [len(plan) for plan in plans])
        self.assertEqual([list(range(5))] * 7, [plan[:5] for plan in plans])
        turns = [number for plan in plans for number in plan[5:]]
        self.assertEqual(list(range(5, 40)), turns)
        self.assertFalse(plan_round.is_open)
        # The next round begins anew.
        self.assertEqual(list(range(10)), _choose(plan_round, self.units))
        self.assertTrue(plan_round.is_open)

    def test_unit_that_arrives_during_a_round_is_in_the_next_plan(self):
        plan_round = PlanRound(10)
        late = next(unit for unit in self.units if unit.number == 7)
        self.units.remove(late)
        _choose(plan_round, self.units)
        self.assertIn(7, _choose(plan_round, [*self.units, late]))

    def test_overdue_unit_has_another_turn_in_the_next_plan(self):
        plan_round = PlanRound(10)
        self.assertIn(7, _choose(plan_round, self.units))
        self.units[self.units.index(self.find_unit(7))] = _Unit(7, is_overdue=True)
        self.units[self.units.index(self.find_unit(39))] = _Unit(39, is_overdue=True)
        turns = _choose(plan_round, self.units)[5:]
        self.assertEqual([7, 39], turns[:2])
        # It has no further one before the others.
        self.assertNotIn(7, _choose(plan_round, self.units))

    def find_unit(self, number):
        return next(unit for unit in self.units if unit.number == number)

    def test_claimed_capacity_is_withheld_in_each_plan(self):
        # Other units would take the capacity that was freed for a unit left out.
        plan_round = PlanRound(10)
        claimed = {StepKey("w33", 0, 0)}
        for _ in range(5):
            self.assertEqual(1, _choose(plan_round, self.units, claimed).count(33))

    def test_largest_fleet_has_some_units_in_a_plan(self):
        plan_round = PlanRound(10)
        chosen = _choose(plan_round, self.units, upstreams=5000)
        self.assertEqual(MIN_PLAN_UNITS, len(chosen))


class TestPlans(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.sizes = []
        plan = DeadlinePolicy.plan

        def record_plan(policy, units, fleet):
            self.sizes.append(len(units))
            return plan(policy, units, fleet)

        self.patch(DeadlinePolicy, "plan", record_plan)

    def make_rig(self):
        terms = DispatchTerms(max_plan_pairs=2 * MIN_PLAN_UNITS)
        rig = Rig(upstreams=2, terms=terms)
        rig.run(0.5)
        step = StepSpec(count=2, needs=HALF, declared_run_s=20.0)
        rig.submit("low", step, work_s=20.0)
        rig.run(0.5)
        return rig

    def test_plan_has_a_bounded_number_of_units(self):
        # A plan of all waiting units took up to 0.1 s, for which callers waited.
        rig = self.make_rig()
        self.sizes.clear()
        for number in range(60):
            rig.submit(f"w{number}", StepSpec(needs=WHOLE), queue="batch")
        rig.run(1.0)
        self.assertEqual(MIN_PLAN_UNITS, max(self.sizes))

    def test_work_that_fits_starts_behind_many_units_that_do_not(self):
        rig = self.make_rig()
        gang = StepSpec(count=2, needs=WHOLE, gang=True, declared_run_s=0.1)
        for number in range(60):
            rig.submit(f"w{number}", gang, queue="batch", work_s=0.1)
        small = StepSpec(needs=Resources(1_000, 1_000, 1), declared_run_s=0.1)
        rig.submit("small", small, work_s=0.1)
        rig.run(3.0)
        self.assertEqual("completed", rig.find_state("small"))

    def test_all_waiting_work_starts_in_the_end(self):
        rig = self.make_rig()
        for number in range(60):
            rig.submit(f"w{number}", StepSpec(needs=HALF), work_s=0.1)
        rig.run(12.0)
        states = {rig.find_state(f"w{number}") for number in range(60)}
        self.assertEqual({"completed"}, states)

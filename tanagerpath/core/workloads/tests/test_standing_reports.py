"""Guards against logs that do not say why work of any priority stands still."""

import math
from collections import Counter

import attrs
import testtools

from tanagerpath.core.workloads import (
    DispatchTerms,
    WaitReason,
    standing_reports,
)
from tanagerpath.core.workloads.events import ReportStanding
from tanagerpath.core.workloads.orders import Refusal
from tanagerpath.core.workloads.policy import Plan
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.runs import RunFence
from tanagerpath.core.workloads.specs import StepSpec, TaskId
from tanagerpath.core.workloads.tests.fake_upstream import CAPACITY
from tanagerpath.core.workloads.tests.rig import Rig

SMALL = Resources(7_500, 31_000, 1)
HALF = Resources(30_000, 120_000, 4)
SOON_S = 0.1


def _step(needs=SMALL, declared_run_s=1.0, **fields):
    return StepSpec(needs=needs, declared_run_s=declared_run_s, **fields)


def _list_lines(rig, workload_id):
    return [
        decision.fields
        for decision in rig.decisions
        if decision.name == "work waits" and decision.fields["workload"] == workload_id
    ]


def _fill(rig, count=1, **fields):
    """Let long runs take all the capacity of some upstreams."""
    for number in range(count):
        step = _step(CAPACITY, declared_run_s=30.0, **fields)
        rig.submit(f"full{number}", step, queue="batch", work_s=30.0)
    rig.run(0.5)


def _find_session(rig, name):
    return rig.dispatcher.context.sessions[name]


def _set_quarantine(rig, name, until_s):
    health = rig.dispatcher.context.find_health(name)
    health.quarantined_until_s = until_s


# Set-ups. Each submits the workload "w" and returns the rig.


def _lose_upstream():
    rig = Rig(upstreams=1)
    rig.submit("w", _step(), work_s=9.0)
    rig.run(1.0)
    rig.upstreams["u0"].unreachable = True
    rig.run(5.0)
    return rig


def _stop_slowly():
    rig = Rig(upstreams=1)
    rig.submit("w", _step(CAPACITY, 9.0), work_s=9.0)
    rig.run(1.0)
    rig.upstreams["u0"].stop_s = 2.0
    rig.submit("urgent", _step(CAPACITY), queue="urgent")
    rig.run(1.0)
    return rig


def _claim_capacity():
    rig = Rig(upstreams=1)
    rig.submit("low", _step(CAPACITY, 9.0), work_s=9.0)
    rig.run(1.0)
    rig.upstreams["u0"].stop_s = 2.0
    rig.submit("w", _step(CAPACITY), queue="urgent")
    rig.run(0.9)
    return rig


def _hold_claimed_capacity():
    rig = Rig(upstreams=1)
    rig.submit("low", _step(HALF, 9.0), work_s=9.0)
    rig.run(1.0)
    rig.upstreams["u0"].stop_s = 2.0
    rig.submit("urgent", _step(CAPACITY), queue="urgent")
    rig.submit("w", _step())
    rig.run(0.9)
    return rig


def _take_over_without_lists():
    rig = Rig(upstreams=1)
    rig.submit("w", _step(), work_s=9.0)
    rig.run(1.0)
    rig.upstreams["u0"].unreachable = True
    rig.run(14.0)
    rig.start_term(2)
    rig.run(1.0)
    return rig


def _list_unrecorded_run():
    rig = Rig(upstreams=1)
    rig.run(0.5)
    fence = RunFence(next_stop_s=math.inf, is_listed=True)
    _find_session(rig, "u0").fenced_runs[TaskId("w", 0, 0, 0), 1] = fence
    rig.submit("w", _step())
    rig.run(1.0)
    return rig


def _raise_in_plans():
    rig = Rig(upstreams=1)
    policy = rig.dispatcher._planner._policy
    policy._rank = lambda unit, fleet: 1 / 0
    rig.submit("w", _step())
    rig.run(1.0)
    return rig


def _refuse_starts():
    rig = Rig(upstreams=2)
    for one in rig.upstreams.values():
        one.refusal = Refusal.NO_ROOM
    rig.submit("w", _step())
    rig.run(6.0)
    return rig


def _allow_no_upstream():
    rig = Rig(upstreams=1)
    rig.submit("w", _step(), queue="advised")
    rig.run(1.0)
    return rig


def _have_no_upstream():
    rig = Rig(upstreams=0)
    rig.submit("w", _step())
    rig.run(1.0)
    return rig


def _crowd_plans():
    rig = Rig(upstreams=1, terms=DispatchTerms(max_plan_pairs=8))
    rig.commit_delay_s = 0.2
    _fill(rig)
    for number in range(60):
        rig.submit(f"other{number}", _step(), queue="batch")
    rig.submit("w", _step())
    rig.run(3.0)
    return rig


def _fill_fleet():
    rig = Rig(upstreams=1)
    _fill(rig)
    rig.submit("w", _step())
    rig.run(1.0)
    return rig


def _quarantine_free_upstreams():
    rig = Rig(upstreams=3)
    _fill(rig)
    for one in rig.upstreams.values():
        if not one.runs:
            _set_quarantine(rig, one.record.upstream_id, rig.now_s + 60.0)
    rig.submit("w", _step())
    rig.run(1.0)
    return rig


def _put_free_upstreams_on_probation():
    rig = Rig(upstreams=4)
    rig.run(0.5)
    for name in ("u0", "u1", "u2"):
        _set_quarantine(rig, name, rig.now_s)
    rig.submit("w", _step(HALF, count=4, gang=True))
    rig.run(1.0)
    return rig


def _let_free_upstreams_refuse():
    rig = Rig(upstreams=2)
    rig.run(0.5)
    for name in rig.upstreams:
        _find_session(rig, name).note_refusal(SMALL, rig.now_s, rig.now_s + 60.0)
    rig.submit("w", _step())
    rig.run(1.0)
    return rig


def _avoid_free_upstreams():
    rig = Rig(upstreams=3)
    _fill(rig)
    rig.dispatcher.context.backlog.failed_on["w"] = {
        name for name, one in rig.upstreams.items() if not one.runs
    }
    rig.submit("w", _step())
    rig.run(1.0)
    return rig


def _avoid_one_of_few_healthy_upstreams():
    # Upstreams that can't be used anyway must not hide the preference.
    rig = Rig(upstreams=5)
    _fill(rig)
    free = [name for name, one in rig.upstreams.items() if not one.runs]
    for name in free[:3]:
        _set_quarantine(rig, name, rig.now_s + 60.0)
    rig.dispatcher.context.backlog.failed_on["w"] = {free[3]}
    rig.submit("w", _step())
    rig.run(1.0)
    return rig


def _limit_tasks():
    rig = Rig(upstreams=2)
    rig.run(0.5)
    rig.submit("w", _step(count=3, gang=True, max_per_upstream=1))
    rig.run(1.0)
    return rig


def _fill_preferred_rack():
    rig = Rig(upstreams=8)
    _fill(rig, count=4, preferred_rack="r0")
    rig.submit("w", _step(preferred_rack="r0", declared_run_s=12.0))
    rig.run(1.0)
    return rig


def _split_room_for_gang():
    rig = Rig(upstreams=8)
    _fill(rig, preferred_rack="r0")
    rig.submit("other", _step(CAPACITY, 30.0, preferred_rack="r1"), work_s=30.0)
    rig.run(0.5)
    gang = _step(CAPACITY, 12.0, count=4, gang=True, same_rack=True)
    rig.submit("w", gang, queue="batch")
    rig.run(1.0)
    return rig


def _reserve_for_gang():
    rig = Rig(upstreams=4)
    _fill(rig)
    gang = _step(HALF, 2.0, count=7, gang=True)
    rig.submit("gang", gang, queue="batch")
    rig.submit("w", _step(declared_run_s=60.0))
    rig.run(1.0)
    return rig


def _place_nothing():
    rig = Rig(upstreams=2)
    policy = rig.dispatcher._planner._policy
    policy.plan = lambda units, fleet: Plan(blocked=list(units))
    rig.submit("w", _step())
    rig.run(1.0)
    return rig


# By set-up: the reason, and other fields of one of its lines.
REASONS = (
    (_lose_upstream, WaitReason.OPEN_RUN, {"run_state": "silent"}),
    (_stop_slowly, WaitReason.OPEN_RUN, {"run_state": "stopping"}),
    (_claim_capacity, WaitReason.CLAIMED_CAPACITY, {"upstreams_full": 1}),
    (_hold_claimed_capacity, WaitReason.CLAIMED_BY_OTHERS, {"upstreams_claimed": 1}),
    (_take_over_without_lists, WaitReason.LIST_ROUND, {"tasks": 1}),
    (_list_unrecorded_run, WaitReason.BARRED, {"tasks": 1}),
    (_raise_in_plans, WaitReason.SET_ASIDE, {"tasks": 1}),
    (_refuse_starts, WaitReason.BACKOFF, {"covered": False}),
    (_allow_no_upstream, WaitReason.NO_TICKETS, {"queue": "advised"}),
    (_have_no_upstream, WaitReason.NO_USABLE_UPSTREAM, {"organisation": "couriers"}),
    (_crowd_plans, WaitReason.NOT_IN_PLAN, {"upstreams_full": 1}),
    (_fill_fleet, WaitReason.NO_CAPACITY, {"upstreams_full": 1}),
    (_quarantine_free_upstreams, WaitReason.QUARANTINED, {"upstreams_full": 1}),
    (
        _put_free_upstreams_on_probation,
        WaitReason.ON_PROBATION,
        {"gang": True, "members_fitting": 8, "members_open": 2},
    ),
    (_let_free_upstreams_refuse, WaitReason.REFUSING, {"upstreams_refusing": 2}),
    (_avoid_free_upstreams, WaitReason.AVOIDED, {"upstreams_avoided": 2}),
    (
        _avoid_one_of_few_healthy_upstreams,
        WaitReason.AVOIDED,
        {"upstreams_quarantined": 3, "upstreams_avoided": 1},
    ),
    (_limit_tasks, WaitReason.TASK_LIMIT, {"members_fitting": 6, "members_open": 2}),
    (_fill_preferred_rack, WaitReason.OTHER_RACK, {"upstreams_other_rack": 4}),
    (_split_room_for_gang, WaitReason.OTHER_RACK, {"members_open": 6}),
    (_reserve_for_gang, WaitReason.RESERVED, {"upstreams_reserved": 3}),
    (_place_nothing, WaitReason.NO_OBSTACLE, {"upstreams_open": 2}),
)


class TestReasons(testtools.TestCase):
    def setUp(self):
        super().setUp()
        # Reasons are found before work has stood still for long.
        self.patch(standing_reports, "MIN_STANDING_S", SOON_S)
        self.patch(standing_reports, "SEARCH_INTERVAL_S", SOON_S)

    def test_each_reason_is_logged_with_its_figures(self):
        for set_up, reason, expected in REASONS:
            lines = _list_lines(set_up(), "w")
            found = [one for one in lines if one["reason"] == str(reason)]
            shown = [{name: one.get(name) for name in expected} for one in found]
            self.assertIn(expected, shown, f"{set_up.__name__}: {lines[-3:]}")

    def test_set_ups_cover_all_reasons_that_keep_work_waiting(self):
        # NOT_PLACED is replaced in each line by what was found on the upstreams.
        covered = {reason for _, reason, _ in REASONS}
        self.assertEqual(set(WaitReason) - {WaitReason.NOT_PLACED}, covered)

    def test_work_without_a_turn_and_work_that_runs_get_no_line(self):
        rig = Rig(upstreams=1)
        rig.submit("later", _step(), repeat_count=1, first_due_unix_s=rig.now_s + 60.0)
        first = _step(declared_run_s=9.0)
        rig.submit("runs", first, _step(depends_on=(0,)), _step(CAPACITY), work_s=9.0)
        rig.run(5.0)
        self.assertEqual([], _list_lines(rig, "later"))
        self.assertEqual([], _list_lines(rig, "runs"))


class TestRates(testtools.TestCase):
    def test_line_follows_after_2_s_and_then_every_5_s(self):
        rig = Rig(upstreams=0)
        rig.submit("w", _step())
        rig.run(13.5)
        lines = _list_lines(rig, "w")
        self.assertEqual(3, len(lines))
        self.assertGreaterEqual(lines[0]["standing_s"], 2.0)
        self.assertLess(lines[0]["standing_s"], 3.2)
        self.assertGreaterEqual(lines[2]["standing_s"] - lines[1]["standing_s"], 5.0)

    def test_new_reason_is_reported_within_a_second(self):
        rig = Rig(upstreams=0)
        rig.submit("w", _step(CAPACITY))
        rig.run(4.0)
        rig.add_upstream("u0")
        _find_session(rig, "u0").note_refusal(SMALL, rig.now_s, rig.now_s + 60.0)
        rig.run(1.3)
        reasons = [one["reason"] for one in _list_lines(rig, "w")]
        expected = [WaitReason.NO_USABLE_UPSTREAM, WaitReason.REFUSING]
        self.assertEqual([str(one) for one in expected], reasons)

    def test_lines_on_many_workloads_are_bounded_and_reasons_take_turns(self):
        rig = Rig(upstreams=1)
        _fill(rig)
        for number in range(60):
            rig.submit(f"w{number}", _step())
        rig.submit("advised", _step(), queue="advised")
        rig.run(2.6)
        lines = [one.fields for one in rig.decisions if one.name == "work waits"]
        self.assertEqual(10, len(lines))
        self.assertEqual({51}, {one["left_out"] for one in lines})
        self.assertEqual(1, len(_list_lines(rig, "advised")))
        rig.run(8.0)
        self.assertLessEqual(rig.counts["work waits"], 100)

    def test_standing_time_counts_from_the_end_of_the_last_run(self):
        rig = Rig(upstreams=1)
        rig.submit("w", _step(), _step(depends_on=(0,)), work_s=2.0)
        rig.run(1.0)
        rig.upstreams["u0"].record = attrs.evolve(
            rig.upstreams["u0"].record, draining=True
        )
        rig.report(rig.upstreams["u0"].record)
        rig.run(5.0)
        line = _list_lines(rig, "w")[0]
        self.assertEqual(1, line["step"])
        self.assertLess(line["standing_s"], 3.2)
        self.assertGreater(line["waited_s"], 4.0)


class TestMetrics(testtools.TestCase):
    def test_standing_workloads_are_counted_by_reason_and_then_no_more(self):
        rig = Rig(upstreams=0)
        reports = []
        add_effect = rig.dispatcher.context.add_effect

        def record_effect(effect):
            if isinstance(effect, ReportStanding):
                reports.append(effect)
            add_effect(effect)

        self.patch(rig.dispatcher.context, "add_effect", record_effect)
        for name in ("first", "second"):
            rig.submit(name, _step())
        rig.run(4.5)
        self.assertEqual({WaitReason.NO_USABLE_UPSTREAM: 2}, reports[-1].counts)
        self.assertGreater(reports[-1].longest_s, 3.0)
        rig.add_upstream("u0")
        rig.run(4.0)
        self.assertEqual(ReportStanding({}), reports[-1])


class TestCost(testtools.TestCase):
    def test_upstreams_are_examined_once_a_second_for_few_workloads(self):
        rig = Rig(upstreams=1)
        _fill(rig)
        examined = Counter()
        examine = standing_reports.FleetExaminer.examine

        def count_examined(examiner, unit, reservations):
            examined[rig.now_s] += 1
            return examine(examiner, unit, reservations)

        self.patch(standing_reports.FleetExaminer, "examine", count_examined)
        for number in range(40):
            rig.submit(f"w{number}", _step())
        rig.run(6.0)
        self.assertLessEqual(len(examined), 5)
        self.assertEqual(10, max(examined.values()))

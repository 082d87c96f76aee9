"""Guards against broken scheduling rules; each test is named after its rule."""

import attrs
import testtools
from returns.pipeline import is_successful

from tanagerpath.core.model import GuaranteedShape, JobClass
from tanagerpath.core.placement import UpstreamCondition
from tanagerpath.core.placement.tests.fleets import (
    list_placed,
    list_preempted,
    make_assignment,
    make_fleet,
    make_job,
    make_scheduler,
    make_upstream,
    shapes,
    submit_all,
)


def _fill(scheduler, count, accelerators=8, **properties):
    jobs = [make_job(f"fill{i}", accelerators, **properties) for i in range(count)]
    submit_all(scheduler, jobs)
    return list_placed(scheduler.decide(0.0))


def _finish(scheduler, job_ids, now_s):
    for job_id in sorted(job_ids):
        scheduler.record_finished(job_id, now_s)
    return scheduler.decide(now_s)


class TestClaims(testtools.TestCase):
    def test_claim_reclaims_borrowed_accelerators(self):
        scheduler = make_scheduler(make_fleet(1, 4), {"blue": shapes(16)})
        _fill(scheduler, 4, checkpointable=True)
        claim = make_job("claim", 16, 1.0, organisation="blue", guaranteed=True)
        submit_all(scheduler, [claim], 1.0)
        decisions = scheduler.decide(1.0)
        self.assertEqual({3.0}, {each.checkpoint_deadline_s for each in decisions})
        self.assertIn("preempted", scheduler.explain("claim", 1.0))
        placed = list_placed(_finish(scheduler, list_preempted(decisions), 2.0))
        self.assertEqual({"claim"}, set(placed))

    def test_held_run_is_given_to_no_other_job(self):
        scheduler = make_scheduler(make_fleet(1, 4), {"blue": shapes(16)})
        _fill(scheduler, 4)
        claim = make_job("claim", 16, 1.0, organisation="blue", guaranteed=True)
        submit_all(scheduler, [claim], 1.0)
        victims = sorted(list_preempted(scheduler.decide(1.0)))
        urgent = make_job("urgent", 1, 1.5, job_class=JobClass.URGENT)
        submit_all(scheduler, [urgent], 1.5)
        placed = list_placed(_finish(scheduler, victims[:1], 2.0))
        self.assertNotIn("urgent", placed)

    def test_small_claim_leaves_the_larger_shape(self):
        scheduler = make_scheduler(make_fleet(1), {"blue": shapes(16, 8)})
        small = [
            make_job(f"s{i}", 8, organisation="blue", guaranteed=True) for i in (0, 1)
        ]
        large = make_job("large", 16, 1.0, organisation="blue", guaranteed=True)
        submit_all(scheduler, small)
        scheduler.decide(0.0)
        _fill(scheduler, 8)
        submit_all(scheduler, [large], 1.0)
        victims = list_preempted(scheduler.decide(1.0))
        self.assertEqual({"large"}, set(list_placed(_finish(scheduler, victims, 2.0))))

    def test_planned_run_moves_off_an_upstream_at_the_first_failed_start(self):
        scheduler = make_scheduler(make_fleet(1), {"blue": shapes(8)})
        claim = make_job("claim", 8, organisation="blue", guaranteed=True)
        submit_all(scheduler, [claim])
        first = list_placed(scheduler.decide(0.0))["claim"].upstream_ids[0]
        scheduler.record_start_failure("claim", first, 0.2)
        scheduler.record_finished("claim", 0.2)
        submit_all(scheduler, [claim], 0.2)
        second = list_placed(scheduler.decide(0.2))["claim"].upstream_ids[0]
        self.assertNotEqual(first, second)

    def test_claim_runs_where_its_service_is_listed(self):
        fleet = [
            attrs.evolve(each, services=("other",) if i < 6 else ("train",))
            for i, each in enumerate(make_fleet(1))
        ]
        scheduler = make_scheduler(fleet, {"blue": shapes(8)})
        claim = make_job("claim", 8, organisation="blue", guaranteed=True)
        submit_all(scheduler, [claim])
        placed = list_placed(scheduler.decide(0.0))
        self.assertIn(placed["claim"].upstream_ids[0], ("u006", "u007"))

    def test_non_preemptible_jobs_leave_quota_for_a_claim(self):
        quotas = {"blue": 16}
        scheduler = make_scheduler(make_fleet(1), {"blue": shapes(8)}, quotas)
        non_preemptible = [
            make_job(f"f{i}", 8, organisation="blue", idempotent=False) for i in (0, 1)
        ]
        submit_all(scheduler, non_preemptible)
        self.assertEqual(1, len(list_placed(scheduler.decide(0.0))))
        claim = make_job("claim", 8, 1.0, organisation="blue", guaranteed=True)
        submit_all(scheduler, [claim], 1.0)
        self.assertIn("claim", list_placed(scheduler.decide(1.0)))


class TestPlan(testtools.TestCase):
    def test_non_preemptible_jobs_stay_out_of_planned_and_spare_runs(self):
        scheduler = make_scheduler(make_fleet(1), {"blue": shapes(16)})
        placed = _fill(scheduler, 8, idempotent=False)
        # One planned and two spare runs of two upstreams leave two of eight.
        self.assertEqual(2, len(placed))

    def test_planned_runs_are_repacked_for_a_non_preemptible_gang(self):
        """Guards against a fragmented plan that starves jobs on an idle fleet."""
        scheduler = make_scheduler(make_fleet(1, 5), {"blue": shapes(8)})
        scheduler.decide(0.0)
        plan = scheduler._context.plan
        names = sorted(scheduler._context.occupancy.states)
        for run, place in zip(plan.runs, (1, 3, 4), strict=True):
            run.assignment = make_assignment(names[place])
        plan.masks = {names[place]: 0xFF for place in (1, 3, 4)}
        submit_all(scheduler, [make_job("gang", 16, idempotent=False)])
        placed = list_placed(scheduler.decide(0.0))
        self.assertEqual({"gang"}, set(placed))
        self.assertEqual(3, len(plan.runs))
        planned = {name for run in plan.runs for name in run.assignment.upstream_ids}
        self.assertEqual(set(), planned.intersection(placed["gang"].upstream_ids))

    def test_non_preemptible_jobs_use_only_unplanned_accelerators(self):
        scheduler = make_scheduler(make_fleet(1, 1), {"blue": shapes(3)})
        # A planned run of three and a spare one leave two of eight accelerators.
        self.assertEqual(2, len(_fill(scheduler, 8, accelerators=1, idempotent=False)))

    def test_demand_for_a_zone_is_met_where_greedy_packing_fails(self):
        fleet = make_fleet(1, 2, zone="a")
        fleet += [make_upstream(f"b{i}", 0, i, zone="b") for i in range(3)]
        bound = (GuaranteedShape(16), GuaranteedShape(8, availability_zone="a"))
        scheduler = make_scheduler(fleet, {"blue": bound})
        self.assertEqual((), scheduler.list_unmet_guarantees())

    def test_guarantees_without_room_for_a_spare_run_are_refused(self):
        scheduler = make_scheduler(make_fleet(1, 4))
        for sizes, fits in (((16,), True), ((16, 16), False), ((8, 8, 8), True)):
            result = scheduler.check_guarantees({"blue": shapes(*sizes)})
            self.assertEqual(fits, is_successful(result), sizes)

    def test_lost_upstream_is_replaced_by_a_spare_run(self):
        fleet = make_fleet(1)
        scheduler = make_scheduler(fleet, {"blue": shapes(16)})
        _fill(scheduler, 8, idempotent=False)
        for index in (0, 2):
            scheduler.update_upstream(fleet[index], UpstreamCondition.LOST, 1.0)
            self.assertEqual((), scheduler.list_unmet_guarantees())

    def test_unmet_guarantee_is_reported_until_hardware_returns(self):
        fleet = make_fleet(1, 3)
        scheduler = make_scheduler(fleet, {"blue": shapes(16)})
        scheduler.update_upstream(fleet[1], UpstreamCondition.LOST, 1.0)
        unmet = scheduler.list_unmet_guarantees()
        self.assertEqual(
            [("blue", 16)], [(u.organisation, u.accelerators) for u in unmet]
        )
        # A document that asks for no more is still accepted.
        self.assertTrue(is_successful(scheduler.check_guarantees({"blue": shapes(16)})))
        # Non-preemptible jobs stay out of the run that is planned for the guarantee.
        _fill(scheduler, 3, idempotent=False)
        scheduler.update_upstream(fleet[1], UpstreamCondition.USABLE, 2.0)
        self.assertEqual((), scheduler.list_unmet_guarantees())

    def test_restored_claim_keeps_its_run(self):
        fleet = make_fleet(1, 4)
        scheduler = make_scheduler([], {"blue": shapes(16)})
        claim = make_job("claim", 16, organisation="blue", guaranteed=True)
        scheduler.restore(claim, make_assignment("u001", "u002"), 0.0)
        for upstream in fleet:
            scheduler.update_upstream(upstream, UpstreamCondition.USABLE, 1.0)
        self.assertEqual((), scheduler.list_unmet_guarantees())
        placed = _fill(scheduler, 2)
        used = {each.upstream_ids[0] for each in placed.values()}
        self.assertEqual({"u000", "u003"}, used)


class TestOrder(testtools.TestCase):
    def test_urgent_job_starts_under_full_load(self):
        scheduler = make_scheduler(make_fleet(1, 2))
        _fill(scheduler, 2, checkpointable=True)
        urgent = make_job("urgent", 2, 1.0, job_class=JobClass.URGENT)
        submit_all(scheduler, [urgent], 1.0)
        decisions = scheduler.decide(1.0)
        self.assertEqual([1.5], [each.checkpoint_deadline_s for each in decisions])
        decisions = _finish(scheduler, list_preempted(decisions), 1.6)
        self.assertIn("urgent", list_placed(decisions))

    def test_urgent_job_does_not_preempt_a_non_preemptible_job(self):
        scheduler = make_scheduler(make_fleet(1, 1))
        _fill(scheduler, 1, idempotent=False)
        urgent = make_job("urgent", 1, 1.0, job_class=JobClass.URGENT)
        submit_all(scheduler, [urgent], 1.0)
        self.assertEqual([], scheduler.decide(1.0))

    # jobs as (name, properties, instant of acceptance, deadline), expected first
    CASES = [
        ([("old", {}, 0.0, None), ("new", {}, 5.0, None)], "old"),
        ([("long", {"expected_run_s": 9e3}, 0.0, None), ("s", {}, 5.0, None)], "s"),
        ([("long", {"expected_run_s": 9e3}, 0.0, None), ("s", {}, 9e3, None)], "long"),
        (
            [("batch", {"job_class": JobClass.BATCH}, 0.0, None), ("s", {}, 5.0, None)],
            "s",
        ),
        ([("old", {}, 0.0, None), ("due", {}, 9e3, 9.2e3)], "due"),
        ([("old", {}, 0.0, None), ("missed", {}, 9e3, 9.05e3)], "old"),
        (
            [("aged", {"expected_run_s": 9e4}, 0.0, None), ("s", {}, 1.4e4, None)],
            "aged",
        ),
    ]

    def test_first_of_two_jobs(self):
        for entries, expected in self.CASES:
            scheduler = make_scheduler(make_fleet(1, 1), short_job_weight=0.2)
            _fill(scheduler, 1, idempotent=False)
            jobs = [
                make_job(name, 8, at_s, deadline_s, **properties)
                for name, properties, at_s, deadline_s in entries
            ]
            now_s = 15e3 if expected == "aged" else 9.1e3
            submit_all(scheduler, jobs, now_s)
            scheduler.record_finished("fill0", now_s)
            placed = list_placed(scheduler.decide(now_s))
            self.assertEqual({expected}, set(placed), entries)

    def test_quota_is_never_exceeded(self):
        scheduler = make_scheduler(make_fleet(1), quotas={"red": 20})
        self.assertEqual(2, len(_fill(scheduler, 8)))
        self.assertIn("quota", scheduler.explain("fill5", 0.0))

    def test_quota_of_a_preempted_job_is_not_used_before_it_ends(self):
        scheduler = make_scheduler(
            make_fleet(1, 4), quotas={"red": 16, "blue": 16}, max_reservations=0
        )
        submit_all(scheduler, [make_job("b", 16, organisation="blue")])
        scheduler.decide(0.0)
        _fill(scheduler, 1, accelerators=16, checkpointable=True)
        _finish(scheduler, ["b"], 0.5)
        for number in (1, 2):
            now_s = float(number)
            urgent = make_job(f"u{number}", 8, now_s, job_class=JobClass.URGENT)
            submit_all(scheduler, [urgent], now_s)
            self.assertEqual({}, list_placed(scheduler.decide(now_s)))
        placed = list_placed(_finish(scheduler, ["fill0"], 3.0))
        self.assertEqual({"u1", "u2"}, set(placed))

    def test_job_that_waits_for_quota_is_not_overtaken_by_longer_ones(self):
        scheduler = make_scheduler(make_fleet(1, 4), quotas={"red": 16})
        _fill(scheduler, 1, idempotent=False, expected_run_s=1000.0)
        submit_all(scheduler, [make_job("gang", 16, 1.0)], 1.0)
        scheduler.decide(1.0)
        later = [
            make_job("longer", 8, 2.0, expected_run_s=2000.0),
            make_job("shorter", 8, 3.0, expected_run_s=900.0),
        ]
        submit_all(scheduler, later, 3.0)
        self.assertEqual({"shorter"}, set(list_placed(scheduler.decide(3.0))))


class TestLargeJobs(testtools.TestCase):
    def test_only_jobs_that_end_in_time_are_backfilled(self):
        scheduler = make_scheduler(make_fleet(1, 2))
        long = make_job("long", 8, idempotent=False, expected_run_s=1000.0)
        submit_all(scheduler, [long])
        scheduler.decide(0.0)
        submit_all(scheduler, [make_job("gang", 16)])
        scheduler.decide(0.0)
        self.assertIn("reservation", scheduler.explain("gang", 0.0))
        fillers = [
            make_job("fits", 4, 1.0, expected_run_s=900.0),
            make_job("late", 4, 1.0, expected_run_s=1100.0),
        ]
        submit_all(scheduler, fillers, 1.0)
        self.assertEqual({"fits"}, set(list_placed(scheduler.decide(1.0))))

    def test_large_job_preempts_small_ones_only_within_its_loss_budget(self):
        scheduler = make_scheduler(make_fleet(1, 2))
        _fill(scheduler, 16, accelerators=1, checkpointable=True, expected_run_s=1e5)
        submit_all(scheduler, [make_job("gang", 16, 1.0)], 1.0)
        self.assertEqual([], scheduler.decide(1.0))
        decisions = scheduler.decide(200.0)
        self.assertEqual(16, len(list_preempted(decisions)))
        placed = list_placed(_finish(scheduler, list_preempted(decisions), 202.0))
        self.assertEqual({"gang"}, set(placed))

    def test_preemptions_of_a_job_for_large_jobs_are_limited(self):
        scheduler = make_scheduler(make_fleet(1, 2))
        small = make_job("small", 1, checkpointable=True, expected_run_s=1e5)
        submit_all(scheduler, [small])
        scheduler.decide(0.0)
        stops = 0
        for now_s in (1000.0, 2000.0, 3000.0, 4000.0):
            submit_all(scheduler, [make_job(f"gang{now_s}", 16, now_s - 900.0)], now_s)
            stopped = list_preempted(scheduler.decide(now_s))
            stops += len(stopped)
            _finish(scheduler, stopped, now_s + 1.0)
            scheduler.withdraw(f"gang{now_s}")
            scheduler.record_finished(f"gang{now_s}", now_s + 2.0)
            submit_all(scheduler, [small] if stopped else [], now_s + 2.0)
            scheduler.decide(now_s + 2.0)
        self.assertEqual(2, stops)

    def test_whole_upstreams_are_kept_free(self):
        scheduler = make_scheduler(make_fleet(2))
        placed = _fill(scheduler, 8, accelerators=1)
        self.assertEqual(1, len({each.upstream_ids for each in placed.values()}))

    def test_cores_and_slots_bound_the_jobs_of_an_upstream(self):
        for properties, job, expected in (
            ({"slots": 3}, {}, 3),
            ({"cores": 10}, {"cores": 4}, 2),
            ({"memory_bytes": 10}, {"memory_bytes": 10}, 1),
        ):
            fleet = [make_upstream("u", **properties)]
            job = {"memory_bytes": 1, **job}
            placed = _fill(make_scheduler(fleet), 8, accelerators=1, **job)
            self.assertEqual(expected, len(placed), properties)

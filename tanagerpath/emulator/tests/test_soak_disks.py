"""Guards against a soak of lost disks that passes over losses or late votes."""

import json
import math
import random

import testtools

from tanagerpath.emulator.soak_disk_plan import DiskLoss, DiskSeriesPlan, Disturbance
from tanagerpath.emulator.soak_faults import Kill
from tanagerpath.emulator.soak_plan import Layout
from tanagerpath.emulator.soak_votes import ControlLog, DiskVote, find_leader
from tanagerpath.emulator.soak_workloads import draw_large_workload, read_work

VM_IDS = ("c1", "c2", "c3")
# 2026-12-06T21:00:00Z
HOUR_UNIX_S = 1_796_590_800


def log(second, message, **fields):
    time = f"2026-12-06T21:00:{second:09.6f}Z"
    return json.dumps({"time": time, "message": f"control: {message}", **fields})


def start(second):
    return log(second, "started", replica="a")


def take_role(second, role, term):
    return log(second, "role changed", role=role, term=term, leader=None)


def take_vote(second, is_voter=True):
    return log(second, "vote changed", is_voter=is_voter, index=1)


class TestPlans(testtools.TestCase):
    def list_losses(self):
        for seed in range(50):
            plan = DiskSeriesPlan.from_seed(seed)
            for loss in (*plan.losses, plan.final):
                yield plan, loss

    def test_same_seed_gives_the_same_plan(self):
        for seed in range(20):
            self.assertEqual(
                DiskSeriesPlan.from_seed(seed), DiskSeriesPlan.from_seed(seed)
            )

    def test_each_loss_is_short_and_takes_one_disk(self):
        """Guards against a VM that is replaced because it is down for too long."""
        for plan, loss in self.list_losses():
            self.assertIn(loss.vm_id, plan.layout.vm_ids)
            self.assertTrue(0.2 <= loss.down_s <= 3.0, loss)
            for disturbance in loss.disturbances:
                self.assertIn(disturbance.fault.name, ("kill", "freeze", "terminate"))
                self.assertTrue(0.0 < disturbance.duration_s <= 1.5, disturbance)

    def test_disturbances_hit_another_vm_or_all(self):
        hit_counts = set()
        for plan, loss in self.list_losses():
            for disturbance in loss.disturbances:
                hit = disturbance.list_vms(loss.vm_id, plan.layout.vm_ids)
                hit_counts.add(len(hit))
                self.assertTrue(hit != [loss.vm_id], disturbance)
        self.assertEqual({1, 3}, hit_counts)

    def test_seeds_hit_leaders_and_others_with_and_without_disturbances(self):
        """Guards against a soak that never plays one of the cases."""
        cases = {
            (loss.hits_leader, bool(loss.disturbances))
            for plan, loss in self.list_losses()
            if loss is not plan.final
        }
        self.assertEqual(4, len(cases))

    def test_last_loss_has_no_other_faults_than_the_loss_of_power(self):
        for seed in range(20):
            self.assertEqual((), DiskSeriesPlan.from_seed(seed).final.disturbances)

    def test_layout_leaves_the_faults_of_a_seed_as_they_are(self):
        """Guards against seeds of earlier failures that play something else."""
        for seed in range(20):
            plan = DiskSeriesPlan.from_seed(seed, Layout(3, 1))
            with_workers = DiskSeriesPlan.from_seed(seed, Layout(3, 1, workers=2))
            larger = DiskSeriesPlan.from_seed(seed, Layout(3, 1), backlog=3000)
            self.assertEqual(plan.losses, with_workers.losses)
            self.assertEqual(plan.losses, larger.losses)

    def test_unknown_leader_is_replaced_by_the_drawn_vm(self):
        loss = DiskLoss("c1", hits_leader=True, down_s=1.0)
        self.assertEqual("c2", loss.choose_vm("c2"))
        self.assertEqual("c1", loss.choose_vm(None))
        other = DiskLoss("c1", hits_leader=False, down_s=1.0)
        self.assertEqual("c1", other.choose_vm("c2"))

    def test_places_count_from_the_vm_without_a_disk(self):
        disturbance = Disturbance(Kill(), (1, 2), 0.0, 1.0)
        self.assertEqual(["c3", "c1"], disturbance.list_vms("c2", VM_IDS))


class TestWorkloads(testtools.TestCase):
    def test_payloads_are_large_and_say_what_tasks_do(self):
        source = random.Random(0)
        sizes = []
        for number in range(200):
            payload = draw_large_workload(f"{number:016x}", source).payload
            sizes.append(len(payload))
            work = read_work(payload, 0)
            self.assertTrue(0.2 <= work.run_s <= 3.0 and not work.gang_size, payload)
        self.assertTrue(max(sizes) <= 4000 and max(sizes) > 3800, max(sizes))


class TestVotes(testtools.TestCase):
    CASES = [
        # log, expected seconds from the start to the vote, whether it is late
        ([start(10), take_vote(12.5)], 2.5, False),
        ([start(10), take_vote(15.5)], 5.5, True),
        ([start(10), take_role(11, "learner", 3)], None, True),
        ([start(10), take_vote(11, is_voter=False)], None, True),
        # The lines before the loss and after the next one are of other disks.
        ([start(1), take_vote(2), start(10)], None, True),
        ([start(10), start(50), take_vote(51)], None, True),
        # Killed before its line about the vote; the next process starts as a voter.
        ([start(10), start(13), take_role(13.5, "follower", 4)], 3.5, False),
        ([start(10), "Traceback", '{"time": "2026-12', take_vote(12)], 2.0, False),
    ]

    def test_vote_counts_from_the_first_start_after_the_loss(self):
        for lines, elapsed_s, is_late in self.CASES:
            vote = ControlLog("c1", lines).find_vote(
                HOUR_UNIX_S + 5, HOUR_UNIX_S + 40, HOUR_UNIX_S + 14
            )
            self.assertEqual(DiskVote("c1", elapsed_s, is_late), vote, lines)

    def test_last_loss_has_no_end(self):
        lines = [start(10), take_vote(59)]
        vote = ControlLog("c1", lines).find_vote(HOUR_UNIX_S, math.inf, HOUR_UNIX_S)
        self.assertEqual(49.0, vote.elapsed_s)


class TestLeaders(testtools.TestCase):
    def test_latest_term_leads(self):
        logs = [
            ControlLog("c1", [take_role(1, "leader", 3)]),
            ControlLog("c2", [take_role(2, "leader", 4)]),
            ControlLog("c3", [take_role(1, "leader", 5), take_role(2, "follower", 5)]),
        ]
        self.assertEqual("c2", find_leader(logs))

    def test_no_process_leads_when_all_stepped_down(self):
        """Guards against an outage that is reported as one with a leader."""
        lines = [take_role(1, "leader", 3), take_role(2, "pre_candidate", 3)]
        logs = [ControlLog("c1", lines), ControlLog("c2", [])]
        self.assertIsNone(find_leader(logs))

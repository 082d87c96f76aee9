"""Guards against rules of runs in the soak that pass over what they must find."""

import random

import testtools

from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.specs import StepSpec, TaskId, WorkloadSpec
from tanagerpath.emulator.soak_promises import (
    Promises,
    Shown,
    WorkloadAccepted,
    WorkloadCancelSent,
    WorkloadShown,
)
from tanagerpath.emulator.soak_run_events import (
    EndAcknowledged,
    LeaseExpired,
    RunEnded,
    RunStarted,
)
from tanagerpath.emulator.soak_run_rules import RunRules, WorkloadSent
from tanagerpath.emulator.soak_workloads import draw_workload, read_work

FIRST, SECOND = TaskId("w", 0, 0, 0), TaskId("w", 0, 1, 0)
SPEC = WorkloadSpec(
    workload_id="w",
    payload="1000*0 1000*0",
    steps=(StepSpec(count=1), StepSpec(count=1, depends_on=(0,))),
)


def start(at_s, worker="w1", run=1, task=FIRST):
    return RunStarted(worker, task, run, 1, at_s)


def end(at_s, worker="w1", run=1, task=FIRST, outcome=RunOutcome.DONE, number=1):
    return RunEnded(worker, number, task, run, outcome, at_s)


def acknowledge(at_s, worker="w1", number=1):
    return EndAcknowledged(worker, number, 1, at_s)


def expire(at_s, worker="w1", was_idle=True):
    return LeaseExpired(worker, was_idle, at_s)


def show_completed(at_s):
    return WorkloadShown("w", Shown.COMPLETED, at_s, at_s + 0.1)


DONE = start(1), end(2), acknowledge(3)
AGAIN = start(4, worker="w2", run=2)


class TestRunRules(testtools.TestCase):
    def judge(self, *events, spec=SPEC):
        rules = RunRules()
        for event in (WorkloadSent(spec), *events):
            rules.handle(event)
        return rules

    def assert_broken(self, text, *events):
        broken = self.judge(*events).broken
        self.assertEqual(1, len(broken), broken)
        self.assertIn(text, broken[0])

    def test_two_runs_at_once_are_found(self):
        self.assert_broken("runs", start(1), start(2, worker="w2", run=2))
        self.assert_broken("runs", start(1), start(2, run=2))

    def test_run_after_one_that_ended_otherwise_is_allowed(self):
        lapsed = end(2, outcome=RunOutcome.LAPSED)
        self.assertEqual([], self.judge(start(1), lapsed, acknowledge(3), AGAIN).broken)

    def test_start_after_an_acknowledged_end_is_found(self):
        self.assert_broken("after run 1 ended as done", *DONE, AGAIN)

    def test_start_before_the_end_is_acknowledged_is_found_then(self):
        events = start(1), end(2), start(3, worker="w2", run=2)
        self.assertEqual([], self.judge(*events).broken)
        self.assert_broken("after run 1", *events, acknowledge(4))

    def test_end_of_another_worker_acknowledges_nothing(self):
        events = start(1), end(2), AGAIN, acknowledge(5, worker="w2")
        self.assertEqual([], self.judge(*events).broken)

    def test_expired_lease_excuses_only_between_end_and_acknowledgement(self):
        excused = start(1), end(2), expire(3), acknowledge(4), AGAIN
        self.assertEqual([], self.judge(*excused).broken)
        self.assert_broken("after run 1", start(0), expire(1), *DONE[1:], AGAIN)
        self.assert_broken("after run 1", *DONE, expire(3.5), AGAIN)
        others = start(1), end(2), expire(2.5, worker="w2"), acknowledge(3), AGAIN
        self.assert_broken("after run 1", *others)

    def test_expired_leases_of_idle_workers_are_counted_apart(self):
        for was_idle in (True, False):
            rules = self.judge(
                start(1), end(2), expire(3, was_idle=was_idle), AGAIN, acknowledge(5)
            )
            self.assertEqual([], rules.broken)
            self.assertEqual(was_idle, len(rules.restarts_after_idle_expiry) == 1)
            self.assertEqual(was_idle, len(rules.restarts_after_expiry) == 0)

    def test_start_before_the_steps_it_depends_on_is_found(self):
        second = start(2, task=SECOND)
        self.assert_broken("before step 0 was done", start(1), second)
        self.assertEqual([], self.judge(*DONE, start(4, task=SECOND)).broken)

    def test_start_of_an_unknown_workload_is_found(self):
        self.assert_broken("never submitted", start(1, task=TaskId("x", 0, 0, 0)))

    def test_completed_workload_with_a_task_that_is_not_done_is_found(self):
        self.assert_broken("step 1 is not done", *DONE, show_completed(4))
        second = start(4, task=SECOND), end(5, task=SECOND, number=2)
        self.assertEqual([], self.judge(*DONE, *second, show_completed(6)).broken)


class TestFinalStates(testtools.TestCase):
    def play(self, *events):
        promises = Promises()
        for event in (WorkloadAccepted("w", 1.0, 1.1), *events):
            promises.handle(event)
        return promises

    def show(self, shown, began_s=2.0):
        return WorkloadShown("w", shown, began_s, began_s + 0.1)

    def test_workload_is_settled_once_it_is_completed(self):
        self.assertEqual(["w"], self.play().list_unsettled())
        self.assertEqual(["w"], self.play(self.show(Shown.OPEN)).list_unsettled())
        self.assertEqual([], self.play(self.show(Shown.COMPLETED)).list_unsettled())

    def test_cancelled_workload_is_settled_only_if_a_caller_cancelled_it(self):
        cancelled = self.show(Shown.CANCELLED)
        self.assertEqual(["w"], self.play(cancelled).list_unsettled())
        promises = self.play(WorkloadCancelSent("w"), cancelled)
        self.assertEqual([], promises.list_unsettled())

    def test_other_state_after_a_final_one_is_found(self):
        for later in (Shown.OPEN, Shown.CANCELLED):
            promises = self.play(self.show(Shown.COMPLETED), self.show(later, 3.0))
            self.assertEqual(1, len(promises.broken), promises.broken)

    def test_failed_workload_is_found(self):
        self.assertEqual(1, len(self.play(self.show(Shown.FAILED)).broken))


class TestWorkloads(testtools.TestCase):
    def test_payload_says_what_the_tasks_of_each_step_do(self):
        """Guards against workers that run other work than the steps declare."""
        source = random.Random(1)
        for number in range(100):
            spec = draw_workload(f"{number:016x}", source)
            for index, step in enumerate(spec.steps):
                work = read_work(spec.payload, index)
                self.assertEqual(step.declared_run_s, work.run_s)
                self.assertEqual(step.count if step.gang else 0, work.gang_size)

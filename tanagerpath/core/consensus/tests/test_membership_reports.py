"""Guards against membership changes that operators cannot see in the log."""

import testtools

from tanagerpath.core.consensus import (
    ChangeReason,
    LearnerCaughtUp,
    MembershipCommitted,
    MembershipProposed,
    PromotionDelay,
    PromotionDelayed,
    VoteChanged,
)
from tanagerpath.core.consensus.simulated_vm import StepObserver
from tanagerpath.core.consensus.tests.scenarios import (
    commit,
    find_followers,
    start_group,
)


class _Recorder(StepObserver):
    def __init__(self):
        self.actions = []

    def record_step(self, vm, event, actions):
        self.actions += actions

    def record_failure(self, vm, failure):
        raise AssertionError(failure.message)

    def record_emptied(self, vm, lost):
        pass

    def find(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]


class TestMembershipReports(testtools.TestCase):
    def test_replacement_of_an_identity_is_reported_step_by_step(self):
        group, _ = start_group(1)
        recorder = _Recorder()
        group.observers.append(recorder)
        vm = find_followers(group)[0]
        old_id = vm.replica.replica_id
        commit(group, 30)
        group.empty_disk(vm.vm_id)
        group.start(vm.vm_id)
        self.assertTrue(group.run_until(group.has_converged, 20.0))
        new_id = vm.replica.replica_id
        proposed = recorder.find(MembershipProposed)
        steps = [(report.reason, report.replica_id) for report in proposed]
        self.assertIn((ChangeReason.PROMOTED, new_id), steps)
        self.assertNotIn(old_id, proposed[-1].voters)
        committed = [report.index for report in recorder.find(MembershipCommitted)]
        self.assertEqual([report.index for report in proposed], committed)
        self.assertTrue(recorder.find(VoteChanged)[-1].is_voter)

    def test_the_time_that_a_learner_took_to_catch_up_is_reported_once(self):
        """Guards against a late vote whose cause the log does not tell."""
        group, _ = start_group(1)
        recorder = _Recorder()
        group.observers.append(recorder)
        vm = find_followers(group)[0]
        commit(group, 30)
        group.empty_disk(vm.vm_id)
        group.start(vm.vm_id)
        self.assertTrue(group.run_until(group.has_converged, 20.0))
        (report,) = recorder.find(LearnerCaughtUp)
        self.assertEqual(vm.replica.replica_id, report.replica_id)
        self.assertGreaterEqual(report.match_index, 30)
        self.assertGreater(report.elapsed_s, 0.0)
        self.assertLess(report.elapsed_s, 2.0)

    def test_a_learner_that_waits_is_reported_once_for_each_reason(self):
        group, _ = start_group(1)
        recorder = _Recorder()
        group.observers.append(recorder)
        vm = find_followers(group)[0]
        group.empty_disk(vm.vm_id)
        group.start(vm.vm_id)
        new_id = vm.replica.replica_id
        self.assertTrue(
            group.run_until(lambda: recorder.find(MembershipProposed), 20.0)
        )
        group.isolate(vm.vm_id)
        group.run_for(10.0)
        delays = [
            report.delay
            for report in recorder.find(PromotionDelayed)
            if report.replica_id == new_id
        ]
        self.assertEqual(PromotionDelay.SILENT, delays[-1])
        self.assertEqual(1, delays.count(PromotionDelay.SILENT))

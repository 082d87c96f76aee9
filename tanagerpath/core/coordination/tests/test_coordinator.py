"""Guards job outcomes against failed or silent upstreams and misrouted reports."""

import testtools

from tanagerpath.core.coordination import CoordinatorConfig
from tanagerpath.core.coordination.tests.rig import Rig
from tanagerpath.core.model import AttemptId, JobState
from tanagerpath.core.protocol import upstreams as protocol
from tanagerpath.core.protocol.upstreams import TaskPhase
from tanagerpath.core.state import EndAttempt, RegisterUpstream, RequestCancel

LEASE_AND_MARGIN_S = 6.5
GANG_OF_TWO = 16


def list_requests(rig, kind):
    return [call for call in rig.calls if isinstance(call.request, kind)]


class TestAnswers(testtools.TestCase):
    def test_job_starts_and_is_answered(self):
        rig = Rig()
        job_id = rig.submit()
        self.assertEqual(JobState.START_RECORDED, rig.record(job_id).state)
        reply = rig.report(job_id)
        self.assertTrue(reply.acknowledged)
        self.assertEqual(JobState.ANSWERED, rig.record(job_id).state)
        self.assertEqual("yes", rig.record(job_id).answer)

    def test_gang_is_answered_only_when_all_ranks_finished(self):
        rig = Rig()
        job_id = rig.submit(accelerators=GANG_OF_TWO)
        self.assertFalse(rig.report(job_id, rank=0).acknowledged)
        self.assertEqual(JobState.START_RECORDED, rig.record(job_id).state)
        self.assertTrue(rig.report(job_id, rank=1).acknowledged)
        self.assertEqual(JobState.ANSWERED, rig.record(job_id).state)

    def test_bad_reports_do_not_end_the_job(self):
        table = [
            ("truncated answer", {"answer_length": 99}),
            ("wrong digest", {"answer_sha256": "0" * 64}),
            ("no answer", {"answer": None}),
            ("from another upstream", {"upstream_id": "u1"}),
            ("of a later attempt", {"attempt": AttemptId(9, 9)}),
        ]
        for name, changes in table:
            rig = Rig()
            job_id = rig.submit()
            reply = rig.report(job_id, **changes)
            self.assertFalse(reply.acknowledged, name)
            self.assertEqual(JobState.START_RECORDED, rig.record(job_id).state, name)
            self.assertTrue(rig.report(job_id).acknowledged, name)
            self.assertEqual("yes", rig.record(job_id).answer, name)

    def test_repeated_report_is_acknowledged_and_changes_nothing(self):
        rig = Rig()
        job_id = rig.submit()
        attempt = rig.record(job_id).attempt
        rig.report(job_id)
        reply = rig.report(job_id, answer="other", attempt=attempt)
        self.assertTrue(reply.acknowledged)
        self.assertEqual("yes", rig.record(job_id).answer)


class TestStarts(testtools.TestCase):
    def test_no_start_before_its_record(self):
        rig = Rig()
        rig.upstreams["u0"].reserves = False
        rig.upstreams["u1"].reserves = False
        rig.submit()
        rig.run_for(2.0)
        self.assertEqual([], list_requests(rig, protocol.StartRequest))

    def test_gang_whose_second_member_fails_to_start_is_stopped_everywhere(self):
        rig = Rig()
        rig.upstreams["u1"].starts = False
        job_id = rig.submit(accelerators=GANG_OF_TWO)
        stopped = {c.upstream_id for c in list_requests(rig, protocol.StopRequest)}
        self.assertEqual({"u0", "u1"}, stopped)
        self.assertEqual({}, rig.upstreams["u0"].tasks)
        self.assertTrue(rig.record(job_id).ran_before)

    def test_non_idempotent_outcomes(self):
        """A job starts again only if every member confirmed that it did not start."""

        def allow_start(rig, job_id):
            rig.upstreams["u0"].starts = rig.upstreams["u1"].starts = True

        def fail_run(rig, job_id):
            rig.report(job_id, phase=TaskPhase.FAILED)

        def lose(rig, job_id):
            rig.upstreams["u0"].silent = rig.upstreams["u1"].silent = True
            rig.run_for(LEASE_AND_MARGIN_S + 4)

        def restart(rig, job_id):
            upstream_id = rig.record(job_id).assignment.runs[0].upstream_id
            rig.upstreams[upstream_id].incarnation = "i2"
            rig.upstreams[upstream_id].tasks.clear()
            rig.propose(RegisterUpstream(rig.announce(upstream_id)))

        table = [
            ("start failed and was refuted", False, allow_start, None),
            ("failed while running", True, fail_run, JobState.FAILED),
            ("upstream went silent", True, lose, JobState.UNKNOWN),
            ("upstream restarted", True, restart, JobState.UNKNOWN),
        ]
        for name, starts, inject, expected in table:
            rig = Rig()
            rig.upstreams["u0"].starts = rig.upstreams["u1"].starts = starts
            job_id = rig.submit(idempotent=False)
            inject(rig, job_id)
            rig.run_for(3.0)
            ran = sum(len(u.ever_started) for u in rig.upstreams.values())
            self.assertEqual(1, ran, name)
            record = rig.record(job_id)
            if expected is None:
                self.assertEqual(JobState.START_RECORDED, record.state, name)
            else:
                self.assertEqual(expected, record.state, name)
                self.assertFalse(record.error.not_run, name)

    def test_job_that_starts_nowhere_is_refused_as_not_run(self):
        rig = Rig()
        rig.upstreams["u0"].starts = rig.upstreams["u1"].starts = False
        job_id = rig.submit(idempotent=False)
        rig.run_for(120.0)
        record = rig.record(job_id)
        self.assertEqual(JobState.REFUSED_NOT_RUN, record.state)
        self.assertTrue(record.error.not_run)

    def test_idempotent_job_runs_again_within_its_budget(self):
        rig = Rig()
        job_id = rig.submit()
        for _ in range(3):
            rig.report(job_id, phase=TaskPhase.FAILED)
            rig.run_for(30.0)
        self.assertEqual(JobState.START_RECORDED, rig.record(job_id).state)
        rig.report(job_id, phase=TaskPhase.FAILED)
        self.assertEqual(JobState.FAILED, rig.record(job_id).state)
        self.assertEqual("AttemptsExhausted", rig.record(job_id).error.type)


class TestLeases(testtools.TestCase):
    def test_silent_member_keeps_its_accelerators_until_its_lease_has_ended(self):
        rig = Rig(upstreams=1)
        job_id = rig.submit(accelerators=8)
        rig.run_for(1.0)
        first = rig.record(job_id).attempt
        rig.upstreams["u0"].silent = True
        rig.run_for(5.0)
        self.assertEqual(first, rig.record(job_id).attempt)
        self.assertIsNotNone(rig.record(job_id).assignment)
        rig.run_for(4.0)
        self.assertIsNone(rig.record(job_id).assignment)

    def test_surviving_member_of_a_gang_is_stopped(self):
        rig = Rig()
        rig.submit(accelerators=GANG_OF_TWO)
        rig.run_for(1.0)
        rig.upstreams["u1"].silent = True
        rig.run_for(LEASE_AND_MARGIN_S + 3)
        self.assertEqual({}, rig.upstreams["u0"].tasks)

    def test_surviving_member_is_stopped_inside_the_clock_margin(self):
        # A stop request sent after the margin reaches the surviving member too late.
        rig = Rig()
        rig.submit(accelerators=GANG_OF_TWO)
        rig.run_for(1.0)
        rig.upstreams["u1"].silent = True
        rig.run_for(LEASE_AND_MARGIN_S - 0.25)
        self.assertEqual({}, rig.upstreams["u0"].tasks)

    def test_late_announcement_of_an_old_incarnation_is_corrected(self):
        # The upstream got renewals, did not announce itself again, and no start worked.
        rig = Rig(upstreams=1)
        old = rig.announce("u0")
        rig.upstreams["u0"].incarnation = "i2"
        rig.propose(RegisterUpstream(rig.announce("u0")))
        rig.propose(RegisterUpstream(old))
        rig.run_for(2.0)
        self.assertEqual("i2", rig.state.upstreams["u0"].incarnation)

    def test_late_announcement_does_not_end_a_running_attempt(self):
        # A second attempt ran at the same time as the first one.
        rig = Rig(upstreams=2)
        old = rig.announce("u0")
        rig.upstreams["u0"].incarnation = "i2"
        rig.propose(RegisterUpstream(rig.announce("u0")))
        rig.upstreams["u1"].silent = True
        rig.run_for(4.0)
        job_id = rig.submit(accelerators=8)
        rig.run_for(1.0)
        attempt = rig.record(job_id).attempt
        rig.propose(RegisterUpstream(old))
        rig.run_for(5.0)
        self.assertEqual(attempt, rig.record(job_id).attempt)
        self.assertEqual(JobState.START_RECORDED, rig.record(job_id).state)

    def test_renewal_echoes_the_clock_of_the_last_reply(self):
        rig = Rig(upstreams=1)
        rig.run_for(3.0)
        renewals = list_requests(rig, protocol.RenewRequest)
        basis = [call.request.basis_clock_ms for call in renewals]
        self.assertEqual(0, basis[0])
        self.assertEqual(sorted(basis), basis)
        self.assertGreater(basis[-1], 0)

    def test_renewal_whose_result_is_lost_is_sent_again(self):
        rig = Rig(upstreams=1)
        rig.loses_results = True
        rig.run_for(2.0)
        rig.loses_results = False
        rig.run_for(5.0)
        job_id = rig.submit()
        rig.run_for(1.0)
        self.assertEqual(JobState.START_RECORDED, rig.record(job_id).state)

    def test_no_renewal_without_the_leaders_lease(self):
        rig = Rig(upstreams=1)
        before = len(list_requests(rig, protocol.RenewRequest))
        rig.now_s += 5.0
        from tanagerpath.core.coordination import Instant, Ticked

        now = Instant(rig.now_s, rig.now.unix_s, has_lease=False)
        effects = rig.coordinator.handle([Ticked()], now)
        self.assertEqual([], [e for e in effects if hasattr(e, "request")])
        self.assertEqual(before, len(list_requests(rig, protocol.RenewRequest)))

    def test_task_missing_from_its_upstream_is_started_again(self):
        rig = Rig(upstreams=1)
        job_id = rig.submit()
        first = rig.record(job_id).attempt
        rig.run_for(1.0)
        rig.upstreams["u0"].tasks.clear()
        rig.run_for(4.0)
        self.assertGreater(rig.record(job_id).attempt, first)


class TestTakeOver(testtools.TestCase):
    def test_running_job_goes_on_under_the_next_leader(self):
        rig = Rig()
        job_id = rig.submit(idempotent=False)
        first = rig.record(job_id).attempt
        rig.take_over()
        rig.run_for(20.0)
        self.assertEqual(first, rig.record(job_id).attempt)
        self.assertEqual(1, sum(len(u.ever_started) for u in rig.upstreams.values()))
        self.assertTrue(rig.report(job_id).acknowledged)
        self.assertEqual("yes", rig.record(job_id).answer)

    def test_waiting_job_starts_under_the_next_leader(self):
        rig = Rig()
        for upstream in rig.upstreams.values():
            upstream.reserves = False
        job_id = rig.submit()
        for upstream in rig.upstreams.values():
            upstream.reserves = True
        rig.take_over()
        rig.run_for(5.0)
        self.assertEqual(JobState.START_RECORDED, rig.record(job_id).state)

    def test_silent_upstream_counts_as_leased_after_a_take_over(self):
        rig = Rig(upstreams=1)
        job_id = rig.submit()
        first = rig.record(job_id).attempt
        rig.upstreams["u0"].silent = True
        rig.take_over()
        rig.run_for(6.0)
        self.assertEqual(first, rig.record(job_id).attempt)
        self.assertIsNotNone(rig.record(job_id).assignment)

    def test_orphaned_task_of_an_old_attempt_is_stopped(self):
        rig = Rig(upstreams=1)
        key = ("gone", AttemptId(0, 1), 0)
        rig.upstreams["u0"].tasks[key] = TaskPhase.RUNNING
        rig.run_for(2.0)
        self.assertEqual({}, rig.upstreams["u0"].tasks)


class TestCancelsAndDeadlines(testtools.TestCase):
    def test_running_job_is_stopped_everywhere_before_it_ends(self):
        rig = Rig()
        job_id = rig.submit(accelerators=GANG_OF_TWO)
        rig.cancel(job_id)
        rig.run_for(1.0)
        self.assertEqual(JobState.CANCELLED, rig.record(job_id).state)
        self.assertFalse(rig.record(job_id).error.not_run)
        self.assertEqual([{}, {}], [u.tasks for u in rig.upstreams.values()])

    def test_cancel_committed_before_the_end_of_an_attempt_is_not_lost(self):
        # The job ran again, and later cancel requests had no effect.
        rig = Rig()
        job_id = rig.submit()
        attempt = rig.record(job_id).attempt
        for command in (
            RequestCancel((job_id,), 2e9),
            EndAttempt(job_id, attempt, counts=False),
        ):
            rig.apply(command)
        rig.take_over()
        self.assertEqual(JobState.CANCELLED, rig.record(job_id).state)
        self.assertFalse(rig.record(job_id).error.not_run)

    def test_burst_of_cancels_empties_the_queue(self):
        rig = Rig(upstreams=1)
        running = rig.submit("k0", accelerators=8)
        waiting = [rig.submit(f"k{i}", accelerators=8) for i in range(1, 200)]
        for job_id in waiting:
            rig.cancel(job_id)
        states = {rig.record(job_id).state for job_id in waiting}
        self.assertEqual({JobState.CANCELLED}, states)
        self.assertEqual([running], [r.job_id for r in rig.state.list_open_jobs()])

    def test_job_that_missed_its_deadline_in_the_queue_did_not_run(self):
        rig = Rig(upstreams=1)
        rig.submit("k0", accelerators=8)
        late = rig.submit("k1", accelerators=8, deadline_unix_s=rig.now.unix_s + 5)
        rig.run_for(8.0)
        self.assertEqual(JobState.REFUSED_NOT_RUN, rig.record(late).state)
        self.assertEqual("DeadlinePassed", rig.record(late).error.type)
        self.assertTrue(rig.record(late).error.not_run)

    def test_impossible_shape_is_refused_at_once(self):
        rig = Rig(upstreams=1)
        job_id = rig.submit(accelerators=64)
        self.assertEqual(JobState.REFUSED_NOT_RUN, rig.record(job_id).state)
        self.assertEqual("ImpossibleShape", rig.record(job_id).error.type)


class TestLeaving(testtools.TestCase):
    def test_leaving_upstream_gets_nothing_new(self):
        from tanagerpath.core.coordination import LeaveArrived

        rig = Rig(upstreams=1)
        held = rig.submit("k0", accelerators=1)
        notice = protocol.LeaveNotice("u0", "i1")
        rig.feed(LeaveArrived(1, notice))
        self.assertFalse(rig.responses[1].drained)
        before = len(list_requests(rig, protocol.ReserveRequest))
        waiting = rig.submit("k1", accelerators=1)
        rig.run_for(5.0)
        after = len(list_requests(rig, protocol.ReserveRequest))
        self.assertEqual(before, after)
        rig.report(held)
        rig.feed(LeaveArrived(2, notice))
        self.assertTrue(rig.responses[2].drained)
        self.assertEqual(JobState.ACCEPTED, rig.record(waiting).state)


class TestConfig(testtools.TestCase):
    def test_defaults_keep_the_lease_above_the_renewal(self):
        leases = CoordinatorConfig().leases
        self.assertGreater(leases.lease_s, 2 * leases.renew_interval_s)

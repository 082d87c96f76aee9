"""Guards against a refusal of a workload that runs, and a run after a refusal.

A caller that reads a refusal may rely on it that nothing of its workload runs before
the returned time. Submissions are sent again between processes, arrive late, and may
have reached an earlier leader.
"""

import attrs
import testtools

from tanagerpath.codecs.state import JsonFleetCodec
from tanagerpath.core.protocol.leadership import NotLeaderReply
from tanagerpath.core.workloads import FleetState, requests
from tanagerpath.core.workloads import request_handler as handlers
from tanagerpath.core.workloads.commands import AcceptWorkload, RefuseWorkload
from tanagerpath.core.workloads.refusals import MAX_REFUSALS, RefusalRecord
from tanagerpath.core.workloads.tests.leaders import (
    CALL,
    RETRY_S,
    STEP,
    LeadersTestCase,
)


class _Refusals(LeadersTestCase):
    """Leaders whose admission policy refuses while told to."""

    def assert_refused(self, reply, retry_at_unix_s=None):
        self.assertTrue(self.is_refusal(reply), reply)
        self.assertTrue(reply.not_run)
        if retry_at_unix_s is not None:
            self.assertEqual(retry_at_unix_s, reply.retry_at_unix_s)
        self.assertNotIn("w", self.rig.state.workloads)


class TestOrderOfTheLog(_Refusals):
    """Guards against refusals of workloads that are stored, proposed or in the log."""

    def test_refusal_is_answered_only_once_it_is_committed(self):
        reply, (proposal,) = self.submit()
        self.assertIsNone(reply)
        self.assertIsInstance(proposal.command, RefuseWorkload)
        self.assert_refused(self.commit(proposal), self.rig.now_s + RETRY_S)

    def test_stored_workload_is_never_refused(self):
        self.policy.refuses = False
        self.assert_accepted(self.ask())
        self.policy.refuses = True
        self.assert_accepted(self.ask())
        self.lead()
        self.assert_accepted(self.ask())
        self.assertEqual(1, self.policy.asked)

    def test_proposed_workload_is_never_refused(self):
        self.policy.refuses = False
        _, first = self.submit()
        self.policy.refuses = True
        _, second = self.submit()
        self.assertIsInstance(second[-1].command, AcceptWorkload)
        self.assert_accepted(self.commit(*first, *second))

    def test_proposed_workload_is_never_refused_for_the_bound_on_their_number(self):
        self.policy.refuses = False
        self.rig.terms = attrs.evolve(self.rig.terms, max_unfinished=1)
        self.lead()
        _, first = self.submit()
        self.rig.submit("other", STEP)
        reply, second = self.submit()
        self.assertIsNone(reply)
        self.assert_accepted(self.commit(*first, *second))
        self.assertEqual("TooManyWorkloads", self.ask(name="third").type)

    def test_acceptance_of_an_earlier_leader_wins_over_a_later_refusal(self):
        # The entry of the earlier leader is in the log of the new one, which commits
        # it before its own; the policy did not know it.
        self.policy.refuses = False
        _, accepted = self.submit()
        self.lead()
        self.policy.refuses = True
        _, refused = self.submit()
        reply = self.commit(*accepted, *refused)
        self.assert_accepted(reply)
        self.assertEqual(0, len(self.rig.state.refusals))

    def test_acceptance_after_a_refusal_in_the_log_changes_nothing(self):
        _, refused = self.submit()
        self.lead()
        self.policy.refuses = False
        _, accepted = self.submit()
        self.assertIsInstance(accepted[-1].command, AcceptWorkload)
        self.assert_refused(self.commit(*refused, *accepted))
        self.rig.run(1.0)
        self.assertEqual([], self.rig.starts)

    def test_refusal_that_was_never_committed_binds_nobody(self):
        self.submit()
        self.lead()
        self.policy.refuses = False
        self.assert_accepted(self.ask())

    def test_leader_that_loses_its_term_does_not_answer_with_the_refusal(self):
        _, (proposal,) = self.submit()
        (sent,) = proposal.reject(handlers.UnknownWorkload(workload_id="w"))
        self.assertIsInstance(sent.reply, NotLeaderReply)
        self.assertTrue(sent.reply.may_commit)


class TestDelayedCopies(_Refusals):
    """Guards against copies of an attempt that get in after its refusal."""

    def test_copy_before_the_returned_time(self):
        # What happens between the refusal and the copy; all of it while the policy
        # would accept the workload.
        cases = {
            "at the same leader": lambda: None,
            "at the next leader": self.lead,
            "after a snapshot": self.restore,
            "just before the returned time": lambda: self.pass_s(RETRY_S - 0.01),
        }
        for name, pass_on in cases.items():
            self.begin()
            refused = self.ask()
            self.policy.refuses = False
            pass_on()
            copy = self.ask()
            self.assertTrue(self.is_refusal(copy), name)
            self.assert_refused(copy, refused.retry_at_unix_s)

    def test_copy_while_the_refusal_is_proposed_gets_the_same_refusal(self):
        _, first = self.submit()
        self.policy.refuses = False
        self.rig.now_s += 0.5
        _, second = self.submit()
        self.assertEqual(first[-1].command, second[-1].command)
        replies = [self.commit(*first), self.commit(*second)]
        for reply in replies:
            self.assert_refused(reply, self.rig.now_s - 0.5 + RETRY_S)

    def test_identity_is_open_again_from_the_returned_time(self):
        self.ask()
        self.policy.refuses = False
        self.pass_s(RETRY_S)
        self.assert_accepted(self.ask())
        self.assertEqual(0, len(self.rig.state.refusals))

    def test_second_refusal_is_remembered_with_the_first(self):
        self.ask()
        self.pass_s(RETRY_S)
        self.assert_refused(self.ask(), self.rig.now_s + RETRY_S)
        record = self.rig.state.refusals.find("couriers", "w")
        self.assertEqual(2, record.count)
        self.assertEqual(self.rig.now_s - RETRY_S, record.first_refused_unix_s)

    def test_proposal_that_was_rejected_does_not_bind_for_ever(self):
        # During a transfer of the leadership that fails, the log rejects proposals.
        self.submit()
        self.policy.refuses = False
        self.pass_s(RETRY_S)
        self.assert_accepted(self.ask())

    def test_cancelled_workload_stays_cancelled(self):
        self.ask()
        cancel = requests.CancelWorkloadRequest(CALL, "w")
        _, cancelled = self.handle(cancel)
        self.assertEqual("UnknownWorkload", self.commit(*cancelled).type)
        self.policy.refuses = False
        self.pass_s(RETRY_S)
        self.assertEqual("CancelledBefore", self.ask().type)


class TestBounds(_Refusals):
    """Guards against promises that could not be kept."""

    def test_no_refusal_without_room_to_remember_it(self):
        for number in range(MAX_REFUSALS):
            self.rig.state.refusals.add(
                RefusalRecord(
                    workload_id=str(number),
                    queue="scan",
                    organisation="couriers",
                    first_refused_unix_s=self.rig.now_s,
                    refused_unix_s=self.rig.now_s,
                    retry_at_unix_s=self.rig.now_s + RETRY_S,
                )
            )
        self.assert_accepted(self.ask())

    def test_proposed_refusals_count_against_the_room(self):
        self.patch(handlers, "MAX_REFUSALS", 2)
        kinds = []
        for number in range(3):
            _, (proposal,) = self.submit(name=str(number))
            kinds.append(type(proposal.command))
        self.assertEqual([RefuseWorkload, RefuseWorkload, AcceptWorkload], kinds)

    def test_refusal_that_found_no_room_in_the_log_is_no_answer(self):
        # A refusal that nobody remembers must not reach the caller.
        _, (proposal,) = self.submit()
        self.rig.state.refusals.add = lambda refused: False
        self.assertIsInstance(self.commit(proposal), NotLeaderReply)

    def test_error_in_the_decision_does_not_refuse(self):
        def fail(request):
            raise ValueError("no such figure")

        self.policy.decide = fail
        self.assert_accepted(self.ask())
        names = [one.name for one in self.rig.decisions]
        self.assertIn("decision failed", names)


class TestStoredForms(testtools.TestCase):
    """Guards against logs and snapshots that cannot be read."""

    def test_command_keeps_its_form(self):
        command = RefuseWorkload(
            workload_id="w",
            queue="scan",
            organisation="o",
            priority=2,
            refused_at_unix_s=1.5,
            retry_at_unix_s=4.0,
            work_s=0.5,
        )
        codec = JsonFleetCodec()
        self.assertEqual(command, codec.decode_command(codec.encode_command(command)))

    def test_snapshot_of_an_earlier_build_has_no_refusals(self):
        codec = JsonFleetCodec()
        text = codec.encode_snapshot(FleetState().make_snapshot())
        earlier = text.replace(',"refusals":[]', "")
        self.assertNotEqual(text, earlier)
        state = FleetState.from_snapshot(codec.decode_snapshot(earlier))
        self.assertEqual(0, len(state.refusals))

"""Guards against a cancelled workload that runs as its submission arrives late.

A process that was frozen may pass a submission on after the caller has cancelled it
through another process, and after a change of the leader.
"""

import attrs
import testtools

from tanagerpath.codecs.state import JsonFleetCodec
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.workloads import FleetState, cancellations, requests
from tanagerpath.core.workloads.cancellations import (
    LATE_SUBMISSION_S,
    MAX_CANCELLATIONS,
    MAX_PER_ORGANISATION,
    CancellationMemory,
    CancellationRecord,
)
from tanagerpath.core.workloads.commands import AcceptWorkload, CancelWorkload
from tanagerpath.core.workloads.tests.leaders import CALL, LeadersTestCase

# A process of the users' sites is frozen for at most this long.
LONGEST_FREEZE_S = 8.0


class _Cancellations(LeadersTestCase):
    def begin(self):
        super().begin()
        self.policy.refuses = False

    def propose_cancel(self, name="w"):
        """Return the reply to a cancellation without a commit, and the proposals."""
        return self.handle(requests.CancelWorkloadRequest(CALL, name))

    def cancel(self, name="w"):
        """Return the reply to a cancellation that is committed at once."""
        reply, proposals = self.propose_cancel(name)
        return self.commit(*proposals) or reply

    def assert_cancelled_before(self, reply):
        self.assertIsInstance(reply, ErrorBody)
        self.assertEqual("CancelledBefore", reply.type)
        self.assertTrue(reply.not_run)
        self.assertNotIn("w", self.rig.state.workloads)


class TestCancellations(_Cancellations):
    """Guards against cancellations that only one leader knows."""

    def test_submission_after_the_cancellation_is_refused_as_not_run(self):
        # What happens between the cancellation and the submission.
        cases = {
            "at the same leader": lambda: None,
            "at the next leader": self.lead,
            "at the third leader": lambda: (self.lead(), self.lead()),
            "after a snapshot": self.restore,
            "after the longest freeze": lambda: self.pass_s(LONGEST_FREEZE_S),
            "beside other cancellations": self._cancel_others,
        }
        for name, pass_on in cases.items():
            self.begin()
            self.assertEqual("UnknownWorkload", self.cancel().type)
            pass_on()
            reply, proposals = self.submit()
            self.assertEqual([], proposals, name)
            self.assert_cancelled_before(reply)

    def test_cancellation_is_answered_only_once_it_is_committed(self):
        reply, (proposal,) = self.propose_cancel()
        self.assertIsNone(reply)
        self.assertIsInstance(proposal.command, CancelWorkload)
        self.assertEqual("UnknownWorkload", self.commit(proposal).type)

    def test_submission_that_is_proposed_after_the_cancellation(self):
        _, cancelled = self.propose_cancel()
        _, accepted = self.submit()
        self.commit(*cancelled)
        self.assert_cancelled_before(self.commit(*accepted))

    def test_cancellation_by_an_earlier_leader_precedes_a_submission(self):
        _, cancelled = self.propose_cancel()
        self.lead()
        _, accepted = self.submit()
        self.commit(*cancelled)
        self.assert_cancelled_before(self.commit(*accepted))

    def test_cancellation_that_overtakes_the_commit_of_a_submission_holds(self):
        _, accepted = self.submit()
        reply, (cancelled,) = self.propose_cancel()
        self.assertIsNone(reply)
        self.assertEqual("w", cancelled.command.workload_id)
        self.assertEqual(self.rig.now_s, cancelled.command.ended_at_unix_s)
        self.commit(*accepted, cancelled)
        self.rig.run(2.0)
        self.assertEqual("cancelled", self.rig.find_state("w"))
        self.assertEqual([], self.rig.starts)

    def test_cancellation_of_a_submission_that_the_log_does_not_accept(self):
        # The queue is removed before the submission, which comes again later.
        full = self.rig.state.configuration
        reduced = attrs.evolve(full, version=2, queues=full.queues[:1])
        _, removed = self.handle(requests.ConfigurationRequest(reduced))
        _, accepted = self.submit()
        _, cancelled = self.propose_cancel()
        self.commit(*removed, *accepted)
        self.assertEqual("UnknownWorkload", self.commit(*cancelled).type)
        returned = attrs.evolve(full, version=3)
        self.commit(*self.handle(requests.ConfigurationRequest(returned))[1])
        self.assert_cancelled_before(self.ask())

    def test_submission_of_another_workload_is_accepted(self):
        self.cancel()
        _, (proposal,) = self.submit(name="other")
        self.assertIsInstance(proposal.command, AcceptWorkload)

    def test_submission_by_another_organisation_is_accepted(self):
        # One organisation must not block the identities of another one.
        record = CancellationRecord(
            workload_id="w",
            organisation="other",
            refused_until_unix_s=self.rig.now_s + LATE_SUBMISSION_S,
        )
        self.rig.apply(CancelWorkload("w", self.rig.now_s, record))
        self.assert_accepted(self.ask())

    def test_submission_is_accepted_again_after_the_longest_delay(self):
        self.cancel()
        self.pass_s(LATE_SUBMISSION_S + 1.0)
        self.assert_accepted(self.ask())
        self.assertEqual(0, len(self.rig.state.cancellations))

    def test_refusal_after_the_longest_delay_is_answered_as_such(self):
        self.cancel()
        self.pass_s(LATE_SUBMISSION_S + 1.0)
        self.policy.refuses = True
        self.assertTrue(self.is_refusal(self.ask()))

    def test_repeated_cancellation_is_answered_without_a_log_entry(self):
        self.cancel()
        self.lead()
        reply, proposals = self.propose_cancel()
        self.assertEqual("UnknownWorkload", reply.type)
        self.assertEqual([], proposals)

    def test_late_repetition_of_a_cancellation_holds_as_long_as_the_first(self):
        self.cancel()
        self.pass_s(LATE_SUBMISSION_S - 1.0)
        self.assertEqual("UnknownWorkload", self.cancel().type)
        self.pass_s(LONGEST_FREEZE_S)
        self.assert_cancelled_before(self.ask())

    def _cancel_others(self):
        for number in range(MAX_PER_ORGANISATION - 1):
            self.assertEqual("UnknownWorkload", self.cancel(f"other-{number}").type)


class TestRoom(_Cancellations):
    """Guards against promises that are dropped, and that can't be kept."""

    def setUp(self):
        super().setUp()
        self.patch(cancellations, "MAX_PER_ORGANISATION", 3)

    def test_cancellation_without_room_is_not_confirmed(self):
        began_s = self.rig.now_s
        for number in range(3):
            self.assertEqual("UnknownWorkload", self.cancel(f"w{number}").type)
            self.pass_s(1.0)
        reply, proposals = self.propose_cancel()
        self.assertEqual("TooManyCancellations", reply.type)
        self.assertEqual(began_s + LATE_SUBMISSION_S, reply.retry_at_unix_s)
        self.assertEqual([], proposals)
        for number in range(3):
            self.assertEqual("CancelledBefore", self.ask(name=f"w{number}").type)

    def test_cancellations_that_are_proposed_at_once(self):
        proposed = [self.propose_cancel(f"w{number}")[1] for number in range(4)]
        replies = [self.commit(*proposals) for proposals in proposed]
        kinds = [reply.type for reply in replies]
        self.assertEqual(["UnknownWorkload"] * 3 + ["TooManyCancellations"], kinds)
        self.assertIsNotNone(replies[-1].retry_at_unix_s)

    def test_there_is_room_again_at_the_returned_time(self):
        for number in range(3):
            self.cancel(f"w{number}")
        self.pass_s(self.cancel().retry_at_unix_s - self.rig.now_s)
        self.assertEqual("UnknownWorkload", self.cancel().type)
        self.assert_cancelled_before(self.ask())

    def test_known_workload_is_cancelled_without_room(self):
        for number in range(3):
            self.cancel(f"w{number}")
        self.ask()
        self.assertEqual("cancelled", self.cancel().state)

    def test_room_of_one_organisation_does_not_depend_on_another(self):
        memory = CancellationMemory()
        for number in range(3):
            memory.add(self._make_record("a", number), 0.0)
        self.assertFalse(memory.add(self._make_record("a", 3), 0.0))
        self.assertTrue(memory.add(self._make_record("b", 0), 0.0))
        self.assertEqual(0.0, memory.find_room_unix_s("b", 0.0))

    def test_room_of_all_organisations_is_bounded(self):
        memory = CancellationMemory()
        for number in range(MAX_CANCELLATIONS):
            self.assertTrue(memory.add(self._make_record(str(number), 0), 0.0))
        self.assertFalse(memory.add(self._make_record("new", 0), 0.0))
        self.assertEqual(LATE_SUBMISSION_S, memory.find_room_unix_s("new", 0.0))

    def _make_record(self, organisation, number):
        return CancellationRecord(
            workload_id=str(number),
            organisation=organisation,
            refused_until_unix_s=LATE_SUBMISSION_S,
        )


class TestStoredForms(testtools.TestCase):
    """Guards against logs and snapshots of earlier builds that cannot be read."""

    def test_cancellation_of_an_earlier_build_remembers_nothing(self):
        codec = JsonFleetCodec()
        text = codec.encode_command(CancelWorkload("w", 1.0))
        earlier = text.replace(',"if_unknown":null', "")
        self.assertNotEqual(text, earlier)
        state = FleetState()
        state.apply(1, codec.decode_command(earlier))
        self.assertEqual(0, len(state.cancellations))

    def test_snapshot_of_an_earlier_build_has_no_cancellations(self):
        codec = JsonFleetCodec()
        text = codec.encode_snapshot(FleetState().make_snapshot())
        earlier = text.replace(',"cancellations":[]', "")
        self.assertNotEqual(text, earlier)
        state = FleetState.from_snapshot(codec.decode_snapshot(earlier))
        self.assertEqual(0, len(state.cancellations))

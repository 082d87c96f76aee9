"""Guards against a cancelled workload that runs as its submission arrives late.

A process that was frozen may pass a submission on after the caller has cancelled it
through another process.
"""

import testtools

from tanagerpath.core.control import RequestArrived
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.workloads import requests
from tanagerpath.core.workloads.commands import AcceptWorkload, CancelWorkload
from tanagerpath.core.workloads.request_handler import (
    LATE_SUBMISSION_S,
    MAX_CANCELLED_UNKNOWN,
    WorkloadRequestHandler,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec, WorkloadSpec
from tanagerpath.core.workloads.tests.rig import Rig

STEP = StepSpec(needs=Resources(8_000, 16_000, 1), declared_run_s=1.0)
CALL = requests.Call("h", "/scan/w", "k")


class TestCancellations(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.rig = Rig(upstreams=1)
        self.handler = WorkloadRequestHandler(
            self.rig.state, self.rig.dispatcher, "c:1", tuple
        )

    def _ask(self, request):
        """Return the reply and the proposed commands, without applying these."""
        arrived = RequestArrived(1, request)
        reply, proposals = self.handler.handle(arrived, self.rig.instant)
        return reply, [proposal.command for proposal in proposals]

    def _submit(self, name="w"):
        spec = WorkloadSpec(workload_id=name, steps=(STEP,))
        return self._ask(requests.SubmitWorkload(CALL, spec))

    def _cancel(self, name="w"):
        return self._ask(requests.CancelWorkloadRequest(CALL, name))

    def test_submission_after_the_cancellation_is_refused_as_not_run(self):
        reply, _ = self._cancel()
        self.assertEqual("UnknownWorkload", reply.type)
        reply, proposed = self._submit()
        self.assertIsInstance(reply, ErrorBody)
        self.assertEqual("CancelledBefore", reply.type)
        self.assertTrue(reply.not_run)
        self.assertEqual([], proposed)

    def test_submission_of_another_workload_is_accepted(self):
        self._cancel()
        _, (command,) = self._submit("other")
        self.assertIsInstance(command, AcceptWorkload)

    def test_submission_is_accepted_again_after_the_longest_delay(self):
        self._cancel()
        self.rig.now_s += LATE_SUBMISSION_S + 1.0
        _, (command,) = self._submit()
        self.assertIsInstance(command, AcceptWorkload)

    def test_cancellation_that_overtakes_the_commit_of_a_submission_holds(self):
        _, (accept,) = self._submit()
        reply, (cancel,) = self._cancel()
        self.assertIsNone(reply)
        self.assertEqual(CancelWorkload("w", self.rig.now_s), cancel)
        self.rig.apply(accept)
        self.rig.apply(cancel)
        self.rig.run(2.0)
        self.assertEqual("cancelled", self.rig.find_state("w"))
        self.assertEqual([], self.rig.starts)

    def test_remembered_cancellations_are_bounded(self):
        for number in range(MAX_CANCELLED_UNKNOWN + 10):
            self._cancel(f"w{number}")
        self.assertEqual(MAX_CANCELLED_UNKNOWN, len(self.handler._cancelled_unknown))
        reply, _ = self._submit(f"w{MAX_CANCELLED_UNKNOWN}")
        self.assertEqual("CancelledBefore", reply.type)

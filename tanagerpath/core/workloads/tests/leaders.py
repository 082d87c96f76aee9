"""Leaders that follow each other on one log, whose entries a test commits."""

import attrs
import testtools

from tanagerpath.codecs.state import JsonFleetCodec
from tanagerpath.core.control import RequestArrived
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.workloads import DispatchTerms, FleetState, requests
from tanagerpath.core.workloads.admission import AdmissionPolicy, Admitted, Refused
from tanagerpath.core.workloads.request_handler import WorkloadRequestHandler
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec, WorkloadSpec
from tanagerpath.core.workloads.tests.rig import Rig

STEP = StepSpec(needs=Resources(8_000, 16_000, 1), declared_run_s=1.0)
CALL = requests.Call("h", "/scan/w", "k")
RETRY_S = 5.0


@attrs.define
class ScriptedPolicy(AdmissionPolicy):
    """Refuses while told to."""

    refuses: bool = True
    asked: int = 0

    def decide(self, request):
        self.asked += 1
        if not self.refuses:
            return Admitted()
        return Refused(retry_at_unix_s=request.now_unix_s + RETRY_S, reason="test")


class LeadersTestCase(testtools.TestCase):
    """Handles requests at one leader after the other."""

    def setUp(self):
        super().setUp()
        self.begin()

    def begin(self):
        """Begin with an empty log."""
        self.policy = ScriptedPolicy()
        self.rig = Rig(upstreams=1, terms=DispatchTerms(admission="useful"))
        self.lead()

    def lead(self):
        """Begin the term of the next leader, on the state of the log."""
        self.rig.start_term(self.rig.term + 1)
        self.rig.dispatcher.admission._policy = self.policy
        self.handler = WorkloadRequestHandler(
            self.rig.state, self.rig.dispatcher, "c:1", tuple
        )

    def restore(self):
        """Begin the term of a leader that has restored a snapshot."""
        codec = JsonFleetCodec()
        text = codec.encode_snapshot(self.rig.state.make_snapshot())
        self.rig.state = FleetState.from_snapshot(codec.decode_snapshot(text))
        self.lead()

    def pass_s(self, duration_s):
        """Let time pass between two requests."""
        self.rig.now_s += duration_s

    def handle(self, request, token=1):
        """Return the reply without a commit, and the proposals."""
        return self.handler.handle(RequestArrived(token, request), self.rig.instant)

    def submit(self, call=CALL, name="w"):
        """Return the reply to a submission without a commit, and the proposals."""
        spec = WorkloadSpec(workload_id=name, steps=(STEP,))
        return self.handle(requests.SubmitWorkload(call, spec))

    def commit(self, *proposals):
        """Apply proposals in the order of the log, and return the last reply."""
        reply = None
        for proposal in proposals:
            applied = self.rig.apply(proposal.command)
            for sent in proposal.answer(applied, self.rig.state):
                reply = sent.reply
        return reply

    def ask(self, **fields):
        """Return the reply to a submission that is committed at once."""
        reply, proposals = self.submit(**fields)
        return self.commit(*proposals) or reply

    def assert_accepted(self, reply):
        self.assertIsInstance(reply, requests.WorkloadReply)
        self.assertIn("w", self.rig.state.workloads)

    def is_refusal(self, reply):
        return isinstance(reply, ErrorBody) and reply.type == "NoCapacity"

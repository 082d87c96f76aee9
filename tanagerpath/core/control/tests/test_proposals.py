"""Guards the answers to exchanges whose proposal was rejected."""

import testtools

from tanagerpath.core.consensus import NotLeader, ProposalUncertain
from tanagerpath.core.control.proposals import Proposal
from tanagerpath.core.state import ExpireJobs


class TestRejection(testtools.TestCase):
    """An entry must not report a job as not run if its command may still commit."""

    def test_appended_command_may_commit(self):
        # Without `may_commit`, the entry reported the job as not run.
        proposal = Proposal(ExpireJobs(0.0), (7,))
        (answer,) = proposal.reject(ProposalUncertain())
        self.assertTrue(answer.reply.may_commit)

    def test_command_that_was_not_appended_cannot_commit(self):
        proposal = Proposal(ExpireJobs(0.0), (7,))
        (answer,) = proposal.reject(NotLeader())
        self.assertFalse(answer.reply.may_commit)

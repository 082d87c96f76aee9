"""Guards against accepted workloads whose queue was removed before their acceptance.

A leader decides on a submission by the configuration in effect, and the log may hold a
later configuration before the acceptance. Such a workload never started.
"""

import attrs

from tanagerpath.codecs.state import JsonFleetCodec
from tanagerpath.core.protocol.leadership import NotLeaderReply
from tanagerpath.core.workloads import requests
from tanagerpath.core.workloads.commands import AcceptWorkload
from tanagerpath.core.workloads.tests.leaders import LeadersTestCase


class TestRemovedQueues(LeadersTestCase):
    """Guards against acknowledged submissions that are lost with their queue."""

    def begin(self):
        super().begin()
        self.policy.refuses = False
        self.full = self.rig.state.configuration
        self.version = self.full.version

    def configure(self, *names, **fields):
        """Return the proposals of the next version, which has these queues."""
        self.version += 1
        queues = tuple(queue for queue in self.full.queues if queue.name in names)
        configuration = attrs.evolve(
            self.full, version=self.version, queues=queues, **fields
        )
        _, proposals = self.handle(requests.ConfigurationRequest(configuration))
        return proposals

    def assert_undecided(self, reply):
        self.assertEqual(NotLeaderReply(), reply)
        self.assertNotIn("w", self.rig.state.workloads)

    def test_submission_is_decided_anew_after_the_removal(self):
        removal = self.configure("urgent")
        _, accepted = self.submit()
        self.assertIsInstance(accepted[-1].command, AcceptWorkload)
        self.assert_undecided(self.commit(*removal, *accepted))
        self.assertEqual("UnknownQueue", self.ask().type)

    def test_removal_that_an_earlier_leader_has_proposed(self):
        removal = self.configure("urgent")
        self.lead()
        _, accepted = self.submit()
        self.assert_undecided(self.commit(*removal, *accepted))
        self.restore()
        self.assertEqual("UnknownQueue", self.ask().type)

    def test_repeated_submissions_in_one_batch(self):
        removal = self.configure("urgent")
        batch = [self.submit()[1] for _ in range(3)]
        self.commit(*removal)
        for accepted in batch:
            self.assert_undecided(self.commit(*accepted))

    def test_submission_runs_if_the_queue_is_back_before_its_acceptance(self):
        self.commit(*self.configure("scan"))
        removal = self.configure("urgent")
        _, accepted = self.submit()
        returned = self.configure("scan", "urgent")
        self.assert_accepted(self.commit(*removal, *returned, *accepted))
        self.assert_runs()

    def test_acceptance_before_the_removal_keeps_the_queue(self):
        _, accepted = self.submit()
        _, again = self.submit()
        removal = self.configure("urgent")
        self.assert_accepted(self.commit(*accepted))
        self.commit(*removal)
        self.assert_accepted(self.commit(*again))
        self.assert_runs()

    def test_removal_of_the_organisation_does_not_lose_the_workload(self):
        names = [queue.name for queue in self.full.queues]
        removal = self.configure(*names, organisations=())
        _, accepted = self.submit()
        self.assert_accepted(self.commit(*removal, *accepted))
        self.assert_runs()

    def test_entry_of_an_earlier_build_is_applied_as_that_build_did(self):
        # All replicas have to hold the same state, whichever build applied the entry.
        removal = self.configure("urgent")
        _, accepted = self.submit()
        codec = JsonFleetCodec()
        text = codec.encode_command(accepted[-1].command)
        earlier = text.replace(',"configuration_version":1', "")
        self.assertNotEqual(text, earlier)
        self.commit(*removal)
        self.rig.apply(codec.decode_command(earlier))
        self.assertIn("w", self.rig.state.workloads)

    def assert_runs(self):
        self.rig.work["w"] = 0.5
        self.rig.run(5.0)
        self.assertEqual("completed", self.rig.find_state("w"))

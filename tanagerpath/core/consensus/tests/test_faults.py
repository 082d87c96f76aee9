"""Guards against checks that pass whatever the replica does.

Each row has a replica with one deliberate fault, the rule that must catch it, and the
schedule that shows it. The same schedule with the right replica breaks no rule.
"""

import testtools

from tanagerpath.core.consensus import Replica
from tanagerpath.core.consensus.harness import SimulatedGroup
from tanagerpath.core.consensus.invariants import InvariantMonitor
from tanagerpath.core.consensus.schedule import FaultSchedule
from tanagerpath.core.consensus.tests import faulty, scenarios


def run_random(duration_s):
    """Return a run of random faults for some seconds of simulated time."""

    def run(seed, factory):
        group = SimulatedGroup.from_seed(
            seed, 3 + seed % 3, factory, **scenarios.SETTINGS
        )
        monitor = InvariantMonitor.attach(group)
        FaultSchedule(group).run(duration_s)
        return monitor

    return run


FAULTS = [
    (faulty.SendsBeforeSync, "vote is on disk", run_random(2), 30),
    (
        faulty.CountsUnsyncedEntries,
        "committed is on a quorum of disks",
        run_random(2),
        4,
    ),
    (
        faulty.CommitsWhatItReceives,
        "committed is on a quorum of disks",
        run_random(2),
        4,
    ),
    (faulty.VotesTwice, "one vote in a term", run_random(2), 20),
    (faulty.VotesForShortLogs, "leader holds what is committed", run_random(6), 21),
    (faulty.SkipsTermOfPreviousEntry, "log matching", run_random(6), 2),
    (faulty.SkipsTermOfPreviousEntry, "no committed entry changes", run_random(6), 2),
    (faulty.VotesUnderLease, "one lease", run_random(14), 14),
    (faulty.KeepsLeaseInHandOver, "one lease", run_random(9), 18),
    (faulty.MeasuresLeaseFromReceipt, "one lease", run_random(22), 25),
    (faulty.VotesRightAfterStart, "one lease", scenarios.run_restart_under_lease, 4),
    (
        faulty.CountsOlderTerms,
        "no committed entry changes",
        scenarios.run_commit_of_older_term,
        1,
    ),
    (faulty.KeepsIdentityOfVm, "lost identity is silent", run_random(3), 36),
    (faulty.KeepsBothVotersOfVm, "one voter on a VM", run_random(5), 36),
    (faulty.SwapsVoters, "one voter at a time", run_random(5), 36),
    (
        faulty.ShrinksToOneVoter,
        "at least two voters",
        scenarios.run_loss_of_one_of_two,
        1,
    ),
]


class TestFaultsAreCaught(testtools.TestCase):
    def test_each_fault_breaks_its_rule_and_only_the_fault(self):
        for fault, rule, run, seed in FAULTS:
            found = {found.rule for found in run(seed, fault.from_config).violations}
            self.assertIn(rule, found, fault.__name__)
            right = run(seed, Replica.from_config)
            self.assertEqual([], right.violations, fault.__name__)

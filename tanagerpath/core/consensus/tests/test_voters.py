"""Guards against voters that are too few or badly spread for the tolerance."""

import itertools

import testtools

from tanagerpath.core.consensus import LossTolerance, Member, MemberRole, Membership
from tanagerpath.core.consensus.membership import find_quorum_size
from tanagerpath.core.consensus.voters import VoterPlan


def make_plan(voters, learners="", unreachable="", target=3, silent="", leader="a1"):
    """Return a plan; the first letter of an identity names its fault domain."""
    names = {name: MemberRole.VOTER for name in voters.split()}
    names |= {name: MemberRole.LEARNER for name in learners.split()}
    members = tuple(
        Member(name, name, f"{name}:1", role, name[0]) for name, role in names.items()
    )
    not_active = {*unreachable.split(), *silent.split()}
    return VoterPlan(
        membership=Membership("group", members),
        target=target,
        leader_id=leader,
        unreachable=frozenset(unreachable.split()),
        active=frozenset(names) - not_active,
        candidates=frozenset(learners.split()) - not_active,
    )


class TestLossTolerance(testtools.TestCase):
    def test_a_quorum_survives_the_loss_of_any_tolerated_vms_and_domains(self):
        for vms, domains, count in itertools.product(range(4), range(3), range(1, 7)):
            tolerance = LossTolerance(vms=vms, fault_domains=domains)
            voters = tolerance.find_voter_count(count)
            left = [voters - vms]
            if count > 2 * domains:
                in_domains = sorted(
                    voters // count + (n < voters % count) for n in range(count)
                )
                left.append(voters - sum(in_domains[count - domains :]))
            self.assertTrue(
                all(rest >= find_quorum_size(voters) for rest in left),
                (tolerance, count, voters),
            )

    def test_voters_are_no_more_than_the_losses_require(self):
        self.assertEqual(3, LossTolerance(vms=0).find_voter_count(3))
        self.assertEqual(3, LossTolerance(vms=1).find_voter_count(3))
        self.assertEqual(5, LossTolerance(vms=2).find_voter_count(4))
        self.assertEqual(3, LossTolerance(vms=1, fault_domains=1).find_voter_count(3))
        self.assertEqual(9, LossTolerance(vms=3, fault_domains=2).find_voter_count(5))


class TestVoterPlan(testtools.TestCase):
    def test_a_group_with_too_few_voters_promotes_where_voters_are_fewest(self):
        plan = make_plan("a1 b1 c1", "a2 d1", target=5)
        self.assertEqual("d1", plan.choose_promotion())

    def test_an_unreachable_voter_is_replaced_before_it_is_demoted(self):
        plan = make_plan("a1 b1 c1", "a2 b2", unreachable="b1")
        self.assertIsNone(plan.choose_demotion())
        self.assertEqual("b2", plan.choose_promotion())
        plan = make_plan("a1 b1 c1 b2", "a2", unreachable="b1")
        self.assertIsNone(plan.choose_promotion())
        self.assertEqual("b1", plan.choose_demotion())

    def test_nothing_changes_while_all_voters_are_active_and_spread(self):
        plan = make_plan("a1 b1 c1", "a2 b2 c2")
        self.assertIsNone(plan.choose_promotion())
        self.assertIsNone(plan.choose_demotion())

    def test_a_briefly_silent_voter_is_not_replaced(self):
        plan = make_plan("a1 b1 b2", "c1", silent="b2")
        self.assertIsNone(plan.choose_promotion())

    def test_a_domain_without_voters_takes_one_from_a_domain_with_two(self):
        plan = make_plan("a1 b1 b2", "c1")
        self.assertEqual("c1", plan.choose_promotion())
        plan = make_plan("a1 b1 b2 c1", "")
        self.assertIn(plan.choose_demotion(), ("b1", "b2"))

    def test_the_leader_keeps_its_vote(self):
        plan = make_plan("b1 b2 a1", "c1", leader="b1")
        self.assertEqual("c1", plan.choose_promotion())
        plan = make_plan("b1 b2 a1 c1", leader="b2")
        self.assertEqual("b1", plan.choose_demotion())

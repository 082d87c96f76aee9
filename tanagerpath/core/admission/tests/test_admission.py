"""Guards entries against stale or reverted documents, overload and lost leaders."""

import testtools

from tanagerpath.core.admission import (
    DocumentView,
    LeaderRoute,
    RequestLimits,
    RetryBudget,
    SearchingRoute,
)
from tanagerpath.core.model import ServiceDocument
from tanagerpath.core.protocol.internal import FeedReply

BOUND_S = 3.0


def make_feed(index, *revisions, complete=False):
    documents = tuple(ServiceDocument("sort", number, "team") for number in revisions)
    return FeedReply(index, complete, documents)


class TestDocumentView(testtools.TestCase):
    # name, feeds as (reply, asked at), instant, fresh, current revision
    CASES = [
        ("no reply yet", [], 0.0, False, None),
        ("recent reply", [(make_feed(5, 1, complete=True), 10.0)], 12.9, True, 1),
        ("bound passed", [(make_feed(5, 1, complete=True), 10.0)], 13.0, False, 1),
        (
            "older index is dropped and proves nothing",
            [(make_feed(5, 2, complete=True), 10.0), (make_feed(4, 1), 12.0)],
            13.0,
            False,
            2,
        ),
        (
            "late reply does not shorten the proof",
            [(make_feed(5, 1, complete=True), 10.0), (make_feed(5), 9.0)],
            12.5,
            True,
            1,
        ),
        (
            "change arrives",
            [(make_feed(5, 1, complete=True), 10.0), (make_feed(6, 2), 11.0)],
            13.5,
            True,
            2,
        ),
        (
            "whole set of another group with a lower revision is dropped",
            [
                (make_feed(5, 3, complete=True), 10.0),
                (make_feed(9, 1, complete=True), 12.0),
            ],
            13.0,
            False,
            3,
        ),
        (
            "whole set without a known document is dropped",
            [(make_feed(5, 3, complete=True), 10.0), (make_feed(9, complete=True), 12)],
            13.0,
            False,
            3,
        ),
    ]

    def test_freshness_and_no_revert(self):
        for name, feeds, now_s, fresh, revision in self.CASES:
            view = DocumentView(BOUND_S)
            for reply, asked_at_s in feeds:
                view.apply_feed(reply, asked_at_s)
            self.assertEqual(fresh, view.is_fresh(now_s), name)
            document = view.find_document("sort")
            self.assertEqual(revision, document and document.revision, name)


class TestLimits(testtools.TestCase):
    def test_one_organisation_cannot_use_up_the_total(self):
        limits = RequestLimits(max_in_flight=3, max_per_organisation=2)
        admitted = [limits.admit(name, 100.0) is None for name in "aaab"]
        self.assertEqual([True, True, False, True], admitted)
        self.assertIsNotNone(limits.admit("c", 100.0))
        limits.release("a")
        self.assertIsNone(limits.admit("c", 100.0))
        self.assertEqual(3, limits.in_flight)

    def test_overload_says_when_to_retry(self):
        limits = RequestLimits(max_in_flight=0, max_per_organisation=1)
        refusal = limits.admit("a", 100.0)
        self.assertTrue(refusal.not_run)
        self.assertGreater(refusal.retry_at_unix_s, 100.0)

    def test_retries_are_limited_to_a_ratio_of_the_requests(self):
        """Guards against retries that multiply the load when a leader is lost."""
        budget = RetryBudget(ratio=0.25, reserve=2.0)
        for _ in range(50):
            budget.note_request()
        granted = sum(budget.take_retry() for _ in range(1000))
        self.assertEqual(14, granted)


class TestLeaderRoute(testtools.TestCase):
    def test_processes_are_asked_in_turn_and_hints_are_followed(self):
        route = LeaderRoute(("a", "b", "c"))
        self.assertEqual(["a", "b", "c", "a"], [route.choose() for _ in range(4)])
        route.note_hint("a", "b")
        self.assertEqual("b", route.choose())
        route.note_leader("b")
        route.note_hint("c", "a")
        self.assertEqual("b", route.choose(), "only the known leader may name another")
        route.note_no_reply("c")
        self.assertEqual("b", route.choose())
        route.note_no_reply("b")
        self.assertIsNone(route.leader_address)

    def test_leader_that_names_itself_or_none_is_dropped(self):
        for hinted in ("", "a"):
            route = LeaderRoute(("a", "b"))
            route.note_leader("a")
            route.note_hint("a", hinted)
            self.assertIsNone(route.leader_address)


class TestSearchingRoute(testtools.TestCase):
    def test_all_known_processes_are_asked_in_turn_until_one_leads(self):
        route = SearchingRoute(("a", "b"))
        route.replace_members(("b", "c"))
        asked = {route.find_address(0.0) for _ in range(3)}
        self.assertEqual({"a", "b", "c"}, asked)
        route.note_leader("c")
        self.assertEqual("c", route.find_address(0.0))

    def test_hint_to_a_process_that_did_not_reply_is_delayed(self):
        route = SearchingRoute(("a", "b"))
        route.note_leader("a")
        route.note_no_reply("a", 10.0)
        route.note_hint("b", "a")
        self.assertEqual("b", route.find_address(10.5))
        self.assertEqual("a", route.find_address(11.5))

    def test_leader_that_answers_again_is_asked_at_once(self):
        """Guards against one lost reply that diverts all calls for a second."""
        route = SearchingRoute(("a", "b"))
        route.note_leader("a")
        route.note_no_reply("a", 10.0)
        route.note_leader("a")
        self.assertEqual("a", route.find_address(10.1))

    def test_newer_hint_replaces_a_process_that_did_not_reply(self):
        """Guards against a new leader, no seed, that is not asked for a second."""
        route = SearchingRoute(("a", "b"))
        route.note_leader("a")
        route.note_no_reply("a", 10.0)
        route.note_hint("b", "a")
        route.note_hint("b", "c")
        self.assertEqual("c", route.find_address(10.1))

    def test_search_continues_while_no_process_replies(self):
        route = SearchingRoute(("a", "b"))
        route.note_no_reply("a", 10.0)
        route.note_no_reply("b", 10.2)
        self.assertEqual("a", route.find_address(10.3))

    def test_changed_seeds_are_asked(self):
        route = SearchingRoute(("a",))
        route.replace_seeds(("z",))
        self.assertEqual("z", route.find_address(0.0))

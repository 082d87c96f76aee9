"""Guards against refusals of work that has a value, and hopeless acceptances."""

import attrs
import testtools

from tanagerpath.core.workloads.admission import (
    AdmissionRequest,
    Admitted,
    Outlook,
    OutlookSource,
    Refused,
    Unlimited,
    UsefulWork,
    make_admission_policy,
)
from tanagerpath.core.workloads.pool_capacity import PoolCapacity
from tanagerpath.core.workloads.refusals import (
    MAX_REFUSALS,
    MAX_RETRY_S,
    RETURN_GRACE_S,
    RefusalMemory,
    RefusalRecord,
)
from tanagerpath.core.workloads.tests.test_work_ahead import (
    CAPACITY,
    EXACT,
    NOW_S,
    make_item,
)

UNIX_S = 1e6
# Latest start of the workload of these tests: 60 s less 4 s on the fastest upstream.
ALLOWED_S = 56.0
URGENT = [
    make_item(f"x{number}", priority=0, objective_s=1000.0) for number in range(100)
]


@attrs.frozen
class _Fixed(OutlookSource):
    outlook: Outlook

    def find_outlook(self, pool):
        return self.outlook


def _decide(item=None, waiting=URGENT, outlook=None, **fields):
    given = {"waiting": tuple(waiting), "capacity": CAPACITY, "errors": EXACT}
    source = _Fixed(Outlook(**(given | (outlook or {}))))
    request = AdmissionRequest(
        item=item or make_item("w"),
        pool="p",
        now_s=NOW_S,
        now_unix_s=UNIX_S,
        **fields,
    )
    return UsefulWork(source).decide(request)


def _make_record(name, **fields):
    given = {
        "workload_id": name,
        "queue": "q",
        "organisation": "o1",
        "priority": 1,
        "first_refused_unix_s": UNIX_S - 5.0,
        "refused_unix_s": UNIX_S - 5.0,
        "retry_at_unix_s": UNIX_S + 5.0,
        "work_s": 2.0,
    }
    return RefusalRecord(**(given | fields))


class TestUsefulWork(testtools.TestCase):
    def test_workload_that_would_end_too_late_is_refused(self):
        refused = _decide()
        self.assertIsInstance(refused, Refused)
        self.assertEqual(100.0, refused.figures["start_in_s"])
        self.assertEqual(ALLOWED_S, refused.figures["allowed_s"])
        self.assertEqual(UNIX_S + MAX_RETRY_S, refused.retry_at_unix_s)

    def test_workload_that_can_be_late_but_useful_is_admitted(self):
        self.assertIsInstance(_decide(waiting=URGENT[:56]), Admitted)
        self.assertIsInstance(_decide(waiting=URGENT[:57]), Refused)

    def test_never_refused(self):
        cases = {
            "too late even alone": _decide(make_item("w", objective_s=1.0), ()),
            "covered": _decide(make_item("w", is_covered=True)),
            "without objective": _decide(make_item("w", objective_s=0.0)),
            "repeated or long-running": _decide(is_exempt=True),
            "no upstream is known": _decide(outlook={"capacity": PoolCapacity()}),
            "memory is full": _decide(outlook={"can_remember": False}),
            "other organisation's burst": _decide(make_item("w", organisation="o2")),
            "unmeasured queue": _decide(make_item("w", queue="new")),
        }
        for name, decision in cases.items():
            self.assertIsInstance(decision, Admitted, name)

    def test_unlimited_admits_everything(self):
        policy = make_admission_policy("unlimited", _Fixed(Outlook()))
        self.assertIsInstance(policy, Unlimited)
        self.assertFalse(policy.examines_work)
        self.assertIsInstance(policy.decide(None), Admitted)

    def test_unknown_policy_is_an_error(self):
        self.assertRaises(ValueError, make_admission_policy, "none", _Fixed(Outlook()))


class TestRetry(testtools.TestCase):
    """Guards against refused work that returns all at once, or in the wrong order."""

    def _find_retry_s(self, *refusals, item=None, waiting=URGENT[:60], earlier=None):
        outlook = {"refusals": refusals}
        refused = _decide(item, waiting, outlook, earlier=earlier)
        return refused.retry_at_unix_s - UNIX_S

    def test_retry_follows_from_the_work_ahead(self):
        self.assertEqual(4.0, self._find_retry_s())
        self.assertEqual(14.0, self._find_retry_s(waiting=URGENT[:70]))

    def test_refused_work_returns_one_after_the_other(self):
        self.assertEqual(6.0, self._find_retry_s(_make_record("a")))
        two = (_make_record("a"), _make_record("b"))
        self.assertEqual(8.0, self._find_retry_s(*two))

    def test_what_matters_less_or_has_returned_does_not_delay(self):
        cases = {
            "larger priority number": _make_record("a", priority=2),
            "returned time has passed": _make_record("a", retry_at_unix_s=UNIX_S - 1),
            "the workload itself": _make_record("w"),
        }
        for name, record in cases.items():
            self.assertEqual(4.0, self._find_retry_s(record), name)

    def test_longest_refused_returns_first(self):
        earlier = _make_record(
            "w", first_refused_unix_s=UNIX_S - 9.0, retry_at_unix_s=UNIX_S - 0.1
        )
        found = self._find_retry_s(_make_record("a"), earlier, earlier=earlier)
        self.assertEqual(4.0, found)

    def test_returning_workload_passes_work_that_was_accepted_later(self):
        later = [
            attrs.evolve(one, priority=1, size_cores_s=1.0, arrival_s=NOW_S - 1.0)
            for one in URGENT
        ]
        self.assertIsInstance(_decide(waiting=later), Refused)
        earlier = _make_record("w", retry_at_unix_s=UNIX_S - 0.1)
        self.assertIsInstance(_decide(waiting=later, earlier=earlier), Admitted)


class TestRefusalMemory(testtools.TestCase):
    """Guards against forgotten promises and against memory without a bound."""

    def test_valid_refusal_is_not_replaced(self):
        memory = RefusalMemory()
        self.assertTrue(memory.add(_make_record("a")))
        again = _make_record("a", refused_unix_s=UNIX_S, retry_at_unix_s=UNIX_S + 20.0)
        self.assertFalse(memory.add(again))
        self.assertEqual(UNIX_S + 5.0, memory.find("o1", "a").retry_at_unix_s)

    def test_second_refusal_keeps_the_time_of_the_first(self):
        memory = RefusalMemory((_make_record("a"),))
        memory.add(
            _make_record(
                "a",
                first_refused_unix_s=UNIX_S + 6.0,
                refused_unix_s=UNIX_S + 6.0,
                retry_at_unix_s=UNIX_S + 9.0,
            )
        )
        found = memory.find("o1", "a")
        self.assertEqual(2, found.count)
        self.assertEqual(UNIX_S - 5.0, found.first_refused_unix_s)
        self.assertEqual(UNIX_S + 9.0, found.retry_at_unix_s)

    def test_refusal_ends_at_its_time(self):
        memory = RefusalMemory((_make_record("a"),))
        self.assertIsNotNone(memory.find_valid("o1", "a", UNIX_S + 4.9))
        self.assertIsNone(memory.find_valid("o1", "a", UNIX_S + 5.0))

    def test_other_organisation_may_use_the_identity(self):
        memory = RefusalMemory((_make_record("a"),))
        self.assertIsNone(memory.find_valid("o2", "a", UNIX_S))

    def test_number_is_bounded_and_expired_refusals_make_room(self):
        memory = RefusalMemory(
            tuple(_make_record(str(number)) for number in range(MAX_REFUSALS))
        )
        self.assertFalse(memory.add(_make_record("a")))
        self.assertEqual(MAX_REFUSALS, memory.count_at(UNIX_S))
        later_s = UNIX_S - 5.0 + MAX_RETRY_S + RETURN_GRACE_S
        self.assertEqual(0, memory.count_at(later_s))
        late = _make_record("a", refused_unix_s=later_s, retry_at_unix_s=later_s + 1.0)
        self.assertTrue(memory.add(late))
        self.assertEqual(1, len(memory))

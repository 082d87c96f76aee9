"""Guards the replay of workloads: seeds repeat, and calm days can be won."""

import testtools

from tanagerpath.benchmarks import workload_day
from tanagerpath.benchmarks.workload_replay import (
    DayTerms,
    replay_day,
    replay_with_hindsight,
)
from tanagerpath.core.workloads import admission_control
from tanagerpath.core.workloads.admission import AdmissionPolicy, Admitted, Refused

# The 426 tasks of that day were stopped 12,682 times in the livelock of issue 14.
MAX_STOPS_A_DAY = 600


class _RefuseOften(AdmissionPolicy):
    """Refuses each workload for some seconds, a number of times."""

    def __init__(self, count):
        self._left = {}
        self._count = count

    def decide(self, request):
        name = request.item.workload_id
        self._left.setdefault(name, self._count)
        if not self._left[name]:
            return Admitted()
        self._left[name] -= 1
        return Refused(retry_at_unix_s=request.now_unix_s + 1.0, reason="test")


class TestRefusals(testtools.TestCase):
    """Guards against days that do not show what refusals cost callers."""

    def play(self, refusals, **fields):
        policy = _RefuseOften(refusals)
        self.patch(
            admission_control, "make_admission_policy", lambda mode, source: policy
        )
        return replay_day("few-slow", 5, burst=False, load=0.2, **fields)

    def test_refused_callers_return(self):
        result = self.play(1)
        numbers = result.by_queue.values()
        self.assertEqual(0, sum(one.refused for one in numbers))
        self.assertEqual(0, result.unfinished)
        self.assertGreater(result.refusals, 0)

    def test_callers_give_up_and_earn_nothing(self):
        result = self.play(100)
        for queue, one in result.by_queue.items():
            self.assertEqual(0.0, one.share, queue)
            self.assertEqual(0, one.on_time + one.late + one.failed, queue)
            self.assertGreater(one.refused, 0, queue)

    def test_calm_days_have_no_refusal_and_stay_the_same(self):
        unlimited = replay_day("few-slow", 5, burst=False, load=0.2)
        useful = replay_day("few-slow", 5, burst=False, load=0.2, admission="useful")
        self.assertEqual(unlimited, useful)

    def test_backlog_waits_when_the_day_begins(self):
        terms = {"burst": False, "load": 0.2}
        without = replay_day("few-slow", 5, **terms)
        backlog = replay_day("few-slow", 5, backlog_s=60.0, **terms)
        for queue in ("batch", "scan"):
            before, after = without.by_queue[queue], backlog.by_queue[queue]
            self.assertGreater(after.on_time + after.late, before.on_time + before.late)

    def test_hindsight_leaves_out_what_earned_nothing(self):
        # A short day, after which much is unfinished.
        self.patch(workload_day, "DAY_S", 8.0)
        self.patch(workload_day, "FINISH_S", 1.0)
        terms = DayTerms(burst=False, load=1.0)
        first, second = replay_with_hindsight("few-slow", 7, terms)
        failed = sum(one.failed for one in first.by_queue.values())
        refused = sum(one.refused for one in second.by_queue.values())
        self.assertGreater(failed, 0)
        self.assertEqual(failed, refused)


class TestReplay(testtools.TestCase):
    def test_same_seed_is_the_same_day(self):
        first = replay_day("few-slow", 3, burst=False, load=0.2)
        again = replay_day("few-slow", 3, burst=False, load=0.2)
        self.assertEqual(first, again)

    def test_everything_ends_on_a_calm_day(self):
        for name in ("few-fast", "few-slow"):
            result = replay_day(name, 5, burst=False, load=0.2)
            self.assertEqual(0, result.unfinished, name)
            self.assertGreater(result.whole, 0.0, name)

    def test_overload_earns_less(self):
        calm = replay_day("few-slow", 7, burst=False, load=0.2)
        loaded = replay_day("few-slow", 7, burst=True, load=1.0)
        self.assertLess(loaded.whole, calm.whole)

    def test_overload_does_not_stop_the_same_work_over_and_over(self):
        # Issue 14: an urgent gang that was past its use kept the fleet from working.
        result = replay_day("few-slow", 102, load=1.15)
        self.assertLessEqual(result.stops, MAX_STOPS_A_DAY)

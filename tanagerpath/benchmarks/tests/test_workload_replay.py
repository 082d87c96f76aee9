"""Guards the replay of workloads: seeds repeat, and calm days can be won."""

import testtools

from tanagerpath.benchmarks.workload_replay import replay_day

# The 426 tasks of that day were stopped 12,682 times in the livelock of issue 14.
MAX_STOPS_A_DAY = 600


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

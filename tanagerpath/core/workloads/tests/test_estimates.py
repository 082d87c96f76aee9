"""Guards what is learned of speeds and work from declarations that are far off."""

import math
import random

import testtools

from tanagerpath.core.workloads.estimates import RunEstimates


class TestEstimates(testtools.TestCase):
    def _learn(self, steps, source, speeds):
        estimates = RunEstimates()
        for number in range(steps):
            work_s = 6.0 * math.exp(source.gauss(0, 0.3))
            declared_s = work_s * math.exp(source.gauss(0, 0.9))
            for _ in range(4):
                name = source.choice(list(speeds))
                run_s = work_s / speeds[name] * math.exp(source.gauss(0, 0.15))
                estimates.observe(
                    (name,), ("w", number), "q", declared_s, run_s, float(number)
                )
        return estimates

    def test_fast_and_slow_upstreams_are_told_apart(self):
        for seed in range(5):
            source = random.Random(seed)
            speeds = {f"u{n}": 1.4 if n % 3 else 0.6 for n in range(12)}
            estimates = self._learn(40, source, speeds)
            fast = min(estimates.find_speed(n) for n, s in speeds.items() if s > 1)
            slow = max(estimates.find_speed(n) for n, s in speeds.items() if s < 1)
            self.assertGreater(fast, slow, f"seed {seed}")

    def test_earlier_work_of_a_queue_corrects_a_wild_declaration(self):
        estimates = self._learn(30, random.Random(1), {"u": 1.0})
        predicted_s = estimates.predict_work_s(("new", 0), "q", 60.0)
        self.assertLess(predicted_s, 20.0)

    def test_slow_gang_is_put_down_to_its_slowest_member(self):
        estimates = RunEstimates()
        for number in range(8):
            estimates.observe(("slow",), ("a", number), "q", 1.0, 3.0, 0.0)
            estimates.observe(("fast",), ("a", number), "q", 1.0, 1.0, 0.0)
        before = estimates.find_speed("fast")
        estimates.observe(("fast", "slow"), ("gang", 0), "q", 1.0, 9.0, 0.0)
        self.assertEqual(before, estimates.find_speed("fast"))

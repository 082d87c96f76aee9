"""Guards against a benchmark of the takeover that measures nothing."""

import testtools

from tanagerpath.benchmarks.takeover import measure_takeover


class TestTakeover(testtools.TestCase):
    def test_new_leader_starts_waiting_work_before_all_lists_have_arrived(self):
        # A leader that waited for all upstreams would depend on the slowest one.
        measured = measure_takeover(24)
        self.assertGreater(measured.first_start_ms, 0.0)
        self.assertLess(measured.first_start_ms, measured.lists_ms)

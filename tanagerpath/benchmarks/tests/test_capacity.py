import contextlib
import io
import json

import testtools

from tanagerpath.benchmarks.capacity import list_small_probes, main
from tanagerpath.benchmarks.capacity_load import measure_reachable_bytes


class CapacityTest(testtools.TestCase):
    def test_smallest_size_runs_and_ends_in_a_json_line(self):
        # Guards against a benchmark that the core has outgrown.
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            self.assertEqual(0, main(["--small"]))
        summary = json.loads(output.getvalue().splitlines()[-1])
        expected = {s.name for probe in list_small_probes(1) for s in probe.specs}
        self.assertEqual(expected, set(summary["lines"]))
        for name, line in summary["lines"].items():
            self.assertEqual(3, line["repeats"], name)


class ReachableBytesTest(testtools.TestCase):
    """Guards against memory that is counted twice or not at all."""

    def test_shared_objects_count_once(self):
        text = "x" * 10_000
        one = measure_reachable_bytes([text])
        two = measure_reachable_bytes([text, text])
        self.assertTrue(10_000 < one < two < one + 1000)

    def test_what_is_reached_without_is_left_out(self):
        text = "x" * 10_000
        self.assertTrue(measure_reachable_bytes([text], [text]) < 1000)

"""Guards against guaranteed work that begins late without anyone being told."""

import json
import pathlib
import tempfile

import testtools

from tanagerpath.cli.guarantees import find_late_starts
from tanagerpath.cli.tests.test_commands import run

SETTLING_S = 5.0


def _line(second, message, **fields):
    time = f"2026-01-01T00:00:{second:02d}.000000Z"
    return "a-1 " + json.dumps(
        {"time": time, "message": f"control: {message}"} | fields
    )


def _wait(second, covered_s, **fields):
    given = {"workload": "w", "step": 0, "covered": True, "covered_s": covered_s}
    reason = "claimed capacity is not free yet"
    fields = given | {"bound_s": 2.9, "reason": reason} | fields
    return _line(second, "urgent work waits", **fields)


def _start(second, covered_s, **fields):
    given = {"workload": "w", "step": 0, "covered": True, "covered_s": covered_s}
    fields = given | {"bound_s": 2.9, "runs_before": 0} | fields
    return _line(second, "urgent work began", **fields)


class TestLateStarts(testtools.TestCase):
    def find(self, *lines):
        return find_late_starts([*lines, "not a log line"], SETTLING_S)

    def test_start_beyond_the_bound_is_found_with_the_reason_of_its_wait(self):
        (late,) = self.find(_wait(20, 1.0), _start(23, 4.0))
        self.assertEqual(("w", 4.0, True), (late.workload, late.covered_s, True))
        self.assertEqual("claimed capacity is not free yet", late.reason)
        self.assertEqual((), late.disruptions)

    def test_work_that_has_not_begun_is_found(self):
        (late,) = self.find(_wait(20, 2.0), _wait(21, 3.0))
        self.assertFalse(late.has_begun)

    def test_start_within_the_bound_and_without_a_promise_is_not_late(self):
        cases = [
            _start(20, 2.9),
            _start(20, 4.0, covered=False),
            _start(20, 4.0, step=1),
            _start(20, 4.0, runs_before=1),
            _start(20, None),
        ]
        for line in cases:
            self.assertEqual([], self.find(line), line)

    def test_work_that_was_cancelled_while_it_waited_is_not_late(self):
        ended = _line(22, "workload ended", workload="w", state="cancelled")
        self.assertEqual([], self.find(_wait(21, 3.0), ended))

    def test_disruption_while_it_waited_or_shortly_before_is_named(self):
        (late,) = self.find(_line(15, "leadership taken"), _start(23, 4.0))
        self.assertEqual(("leadership taken",), late.disruptions)
        (late,) = self.find(_line(13, "leadership taken"), _start(23, 4.0))
        self.assertEqual((), late.disruptions)


class TestCommand(testtools.TestCase):
    def run_on(self, *lines):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "log"
            path.write_text("\n".join(lines))
            return run("guarantees", path)

    def test_late_start_without_a_disruption_fails_the_check(self):
        status, output, _ = self.run_on(_start(23, 4.0))
        self.assertEqual(3, status)
        self.assertIn("1 late, 1 without a disruption", output)

    def test_late_start_in_a_disruption_is_listed_and_passes(self):
        gone = _line(22, "upstream gone")
        status, output, _ = self.run_on(gone, _start(23, 4.0))
        self.assertEqual(0, status)
        self.assertIn("upstream gone", output)

    def test_error_names_a_missing_file(self):
        status, _, errors = run("guarantees", "/nonexistent/log")
        self.assertEqual(2, status)
        self.assertIn("/nonexistent/log", errors)

"""Guards against log lines of a request that the `story` command misses or mixes up."""

import pathlib
import tempfile

import testtools

from tanagerpath.cli.story import find_request_lines
from tanagerpath.cli.tests.test_commands import run

LINES = [
    'a-1 {"time": "2026-01-01T00:00:02Z", "message": "control: run ended", '
    '"task": "5c0e7a21d94b36f8.0.0.1", "outcome": "failed", "reason": ""}',
    '{"time": "2026-01-01T00:00:01Z", "message": "entry: request ended", '
    '"workload": "5c0e7a21d94b36f8", "outcome": "answered"}',
    '{"time": "2026-01-01T00:00:03Z", "message": "x", "workload": "other"}',
    "not a log line",
    '{"time": broken',
]


class TestStory(testtools.TestCase):
    def test_lines_of_other_requests_and_malformed_lines_are_skipped(self):
        found = list(find_request_lines(LINES, "5c0e7a21d94b36f8"))
        self.assertEqual(2, len(found))
        self.assertEqual("a-1 ", found[0].origin)
        self.assertNotIn("reason", found[0].text)

    def test_reason_and_figures_of_a_wait_are_shown(self):
        line = (
            '{"message": "control: work waits", "workload": "5c0e7a21d94b36f8", '
            '"reason": "no capacity", "gang": true, "members_open": 0}'
        )
        (found,) = find_request_lines([line], "5c0e7a21d94b36f8")
        expected = "work waits workload=5c0e7a21d94b36f8 reason=no capacity gang=True"
        self.assertIn(f"{expected} members_open=0", found.text)

    def test_lines_of_all_files_are_printed_in_order_of_time(self):
        with tempfile.TemporaryDirectory() as folder:
            paths = [pathlib.Path(folder) / name for name in ("a", "b")]
            for path, line in zip(paths, LINES, strict=False):
                path.write_text(line + "\n")
            status, output, _ = run("story", "5c0e7a21d94b36f8", *paths)
        self.assertEqual(0, status)
        self.assertIn("request ended", output.splitlines()[0])
        self.assertIn("outcome=failed", output.splitlines()[1])

    def test_error_names_a_missing_file(self):
        status, _, errors = run("story", "x", "/nonexistent/log")
        self.assertEqual(2, status)
        self.assertIn("/nonexistent/log", errors)

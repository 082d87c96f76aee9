"""Guards against log lines that cannot be parsed or do not name their component."""

import io
import json
import logging

import structlog
import testtools

from tanagerpath.observability import configure_logs, get_logger


class TestLogs(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.addCleanup(structlog.reset_defaults)
        root = logging.getLogger()
        self.addCleanup(setattr, root, "handlers", root.handlers)

    def _write(self, level, act):
        stream = io.StringIO()
        configure_logs(level, stream)
        act()
        return [json.loads(line) for line in stream.getvalue().splitlines()]

    def test_line_has_time_level_prefix_and_values(self):
        logger = get_logger("consensus")
        [line] = self._write("info", lambda: logger.info("became leader", term=3))
        self.assertEqual(["time", "level", "message", "term"], list(line))
        self.assertEqual("consensus: became leader", line["message"])
        self.assertEqual(("info", 3), (line["level"], line["term"]))
        self.assertTrue(line["time"].endswith("Z"))

    def test_lines_below_the_level_are_not_written(self):
        def act():
            for level in ("debug", "info", "warning", "error"):
                getattr(get_logger("entry"), level)("a sentence")

        for level, expected in [
            ("debug", 4),
            ("info", 3),
            ("warning", 2),
            ("error", 1),
        ]:
            self.assertEqual(expected, len(self._write(level, act)), level)

    def test_line_feeds_and_arbitrary_values_stay_on_one_line(self):
        def act():
            get_logger("entry").info("two\nlines", value=object(), text='a"b')

        [line] = self._write("info", act)
        self.assertEqual("entry: two\nlines", line["message"])

    def test_library_errors_keep_their_traceback(self):
        def act():
            try:
                raise RuntimeError("broken")
            except RuntimeError:
                logging.getLogger("uvicorn.error").exception("in a handler")

        [line] = self._write("info", act)
        self.assertEqual("library: in a handler", line["message"])
        self.assertIn("RuntimeError: broken", line["exception"])

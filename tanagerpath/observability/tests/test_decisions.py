"""Guards against an unlimited rate of decision lines and uncounted dropped lines."""

import testtools

from tanagerpath.observability.decisions import BURST_LINES, DecisionLog
from tanagerpath.observability.metrics import MetricsRegistry


class FakeLogger:
    def __init__(self):
        self.lines = []

    def info(self, name, **fields):
        self.lines.append((name, fields))


class TestDecisionLog(testtools.TestCase):
    def test_lines_beyond_the_limit_are_counted_and_reported_later(self):
        logger, metrics = FakeLogger(), MetricsRegistry()
        log = DecisionLog(logger, metrics)
        for _ in range(BURST_LINES * 3):
            log.write("placed", {})
        dropped = BURST_LINES * 3 - len(logger.lines)
        self.assertGreater(dropped, BURST_LINES)
        self.assertIn(
            f"tanagerpath_log_lines_dropped_total {dropped}", metrics.render()
        )
        log._tokens = 1.0
        log.write("placed", {"task": "t"})
        name, fields = logger.lines[-1]
        self.assertEqual(("placed", "t"), (name, fields["task"]))
        self.assertIn("lines_dropped_before", fields)

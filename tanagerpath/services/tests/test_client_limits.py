"""Guards against limits that ignore the size of a process or a configuration."""

import testtools

from tanagerpath.core.workloads.configuration import CallerLimits
from tanagerpath.observability.metrics import MetricsRegistry
from tanagerpath.runtime.limits import KIB, MIB
from tanagerpath.services.client_limits import (
    INTERNAL_BODY_BYTES,
    ClientLimitTerms,
    ProcessGuards,
    RejectionLog,
)


class _Logger:
    def __init__(self):
        self.lines = []

    def warning(self, message, **fields):
        self.lines.append((message, fields))


def _make_guards(**terms):
    terms = ClientLimitTerms(**terms)
    return ProcessGuards(terms, _Logger(), MetricsRegistry())


class TestProcessGuards(testtools.TestCase):
    def test_connections_leave_descriptors_for_the_process(self):
        for memory_mb, descriptors in ((160, 3_075), (440, 10_250), (424, 4_100)):
            guards = _make_guards(
                memory_limit_mb=memory_mb, max_descriptors=descriptors
            )
            listeners = (
                guards.make_operators(()),
                guards.make_internal(),
                guards.make_probe(),
                guards.make_metrics(),
            )
            total = sum(one.limits.max_connections for one in listeners)
            self.assertLess(total, 0.8 * descriptors)
            callers = guards.make_callers().guard.limits.max_connections
            self.assertLess(callers, 0.6 * descriptors)
            self.assertGreater(callers, 300)

    def test_the_largest_message_between_processes_fits_into_the_budget(self):
        guard = _make_guards(memory_limit_mb=32).make_internal()
        self.assertGreaterEqual(guard.bodies.max_bytes, INTERNAL_BODY_BYTES)
        self.assertGreaterEqual(guard.bodies.max_large_bytes, 4 * MIB)
        self.assertGreaterEqual(guard.replies.max_large_bytes, 4 * MIB)

    def test_idle_connections_of_processes_outlive_those_of_their_clients(self):
        guard = _make_guards(idle_timeout_s=0.5).make_internal()
        self.assertGreater(guard.limits.idle_timeout_s, 60.0)

    def test_chunk_overhead_is_limited_on_all_listeners(self):
        guards = _make_guards(chunk_overhead_kib=3)
        listeners = (
            guards.make_callers().guard,
            guards.make_operators(()),
            guards.make_internal(),
            guards.make_probe(),
            guards.make_metrics(),
        )
        limits = {one.limits.max_chunk_overhead_bytes for one in listeners}
        self.assertEqual({3 * KIB}, limits)


class TestCallerGuard(testtools.TestCase):
    def test_limits_of_a_configuration_replace_the_defaults_until_the_next(self):
        callers = _make_guards().make_callers()
        before = callers.guard.limits
        self.assertEqual(MIB, before.max_body_bytes)
        callers.apply(CallerLimits(max_body_bytes=1000, idle_timeout_s=15.0))
        limits = callers.guard.limits
        self.assertEqual((1000, 15.0), (limits.max_body_bytes, limits.idle_timeout_s))
        self.assertEqual(before.max_header_bytes, limits.max_header_bytes)
        callers.apply(CallerLimits(max_header_bytes=2000))
        limits = callers.guard.limits
        self.assertEqual((MIB, 2000), (limits.max_body_bytes, limits.max_header_bytes))
        callers.apply(None)
        self.assertEqual(before, callers.guard.limits)


class TestRejectionLog(testtools.TestCase):
    def test_all_rejections_are_counted_and_few_are_logged(self):
        logger, metrics = _Logger(), MetricsRegistry()
        log = RejectionLog(logger, metrics)
        for _ in range(1000):
            log.note_rejection("callers", "body_too_large")
        log.note_rejection("operators", "malformed")
        text = metrics.render()
        labels = 'listener="callers",reason="body_too_large"'
        self.assertIn(f"client_rejections_total{{{labels}}} 1000", text)
        listeners = [fields["listener"] for _, fields in logger.lines]
        self.assertEqual(["callers", "operators"], listeners)

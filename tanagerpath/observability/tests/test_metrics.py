"""Guards against wrong quantiles, unbounded labels and text that can't be scraped."""

import re

import testtools

from tanagerpath.core.model import JobClass
from tanagerpath.observability import JobTime, MetricsRegistry

SAMPLE = re.compile(r'[a-z_]+(\{([a-z]+="([^"\\\n]|\\.)*",?)+\})? [0-9.e+-]+')


def read_samples(registry):
    lines = registry.render().splitlines()
    pairs = (line.rsplit(" ", 1) for line in lines if not line.startswith("#"))
    return {name: float(value) for name, value in pairs}


class TestTimes(testtools.TestCase):
    CASES = [
        # times in s, quantile, expected in s
        ([1.2] * 100, "0.5", 1.2),
        ([0.1] * 90 + [5.0] * 10, "0.9", 0.1),
        ([0.1] * 90 + [5.0] * 10, "0.99", 5.0),
        ([0.1] * 999 + [3600.0], "1", 3600.0),
        ([0.0], "0.5", 0.001),
        ([-1.0, float("nan"), float("inf")], "1", 0.001),
        ([10.0**9], "1", 7 * 86400.0),
    ]

    def test_quantiles_have_a_relative_error_of_at_most_1_percent(self):
        for times, quantile, expected in self.CASES:
            registry = MetricsRegistry()
            for time_s in times:
                registry.observe(JobTime.START, time_s, "depot", JobClass.URGENT)
            name = "tanagerpath_job_start_seconds"
            labels = f'organisation="depot",class="urgent",quantile="{quantile}"'
            value = read_samples(registry)[f"{name}{{{labels}}}"]
            self.assertTrue(abs(value - expected) <= expected / 100, (value, expected))

    def test_sum_and_count_for_each_organisation_and_class(self):
        registry = MetricsRegistry()
        registry.observe(JobTime.ANSWER, 1.5, "a", JobClass.URGENT)
        registry.observe(JobTime.ANSWER, 2.5, "a", JobClass.URGENT)
        registry.observe(JobTime.ANSWER, 9.0, "a", JobClass.BATCH)
        registry.observe(JobTime.ANSWER, 7.0, "b", JobClass.URGENT)
        samples = read_samples(registry)
        for organisation, job_class, total, count in [
            ("a", "urgent", 4.0, 2),
            ("a", "batch", 9.0, 1),
            ("b", "urgent", 7.0, 1),
        ]:
            labels = f'{{organisation="{organisation}",class="{job_class}"}}'
            name = "tanagerpath_job_answer_seconds"
            self.assertEqual(total, samples[f"{name}_sum{labels}"])
            self.assertEqual(count, samples[f"{name}_count{labels}"])


class TestBounds(testtools.TestCase):
    def test_organisations_beyond_the_limit_share_other(self):
        registry = MetricsRegistry(max_organisations=2)
        for name in ("a", "b", "c", "d", "a"):
            registry.observe(JobTime.WAITING, 1.0, name, JobClass.BATCH)
        samples = read_samples(registry)
        for name, count in [("a", 2), ("b", 1), ("other", 2)]:
            labels = f'{{organisation="{name}",class="batch"}}'
            key = f"tanagerpath_job_waiting_seconds_count{labels}"
            self.assertEqual(count, samples[key])

    def test_label_values_of_a_counter_are_limited(self):
        registry = MetricsRegistry()
        for number in range(1000):
            registry.count("refusals", type=f"T{number}")
        samples = read_samples(registry)
        self.assertEqual(65, len(samples))
        self.assertEqual(936, samples['tanagerpath_refusals_total{type="other"}'])


class TestText(testtools.TestCase):
    def test_every_line_can_be_scraped(self):
        registry = MetricsRegistry()
        registry.observe(JobTime.COMPLETION, 0.25, 'a"\\\n', JobClass.PATIENT)
        registry.count("refusals", type="Overloaded")
        registry.count("failures", 3, type="ExchangeCut")
        registry.set_gauge("requests_in_flight", 12)
        registry.set_gauge("log_index", 123456789)
        lines = registry.render().splitlines()
        for line in lines:
            if not line.startswith(("# TYPE tanagerpath_", "# HELP tanagerpath_")):
                self.assertIsNotNone(SAMPLE.fullmatch(line), line)
        for line in (
            "# TYPE tanagerpath_refusals_total counter",
            'tanagerpath_failures_total{type="ExchangeCut"} 3',
            "tanagerpath_requests_in_flight 12",
            "tanagerpath_log_index 123456789",
        ):
            self.assertIn(line, lines)

    def test_counts_can_be_listed(self):
        registry = MetricsRegistry()
        registry.count("events", type="b")
        registry.count("events", 2, type="a")
        self.assertEqual((("a", 2), ("b", 1)), registry.list_counts("events"))
        self.assertEqual((), registry.list_counts("failures"))

    def test_times_are_listed_with_their_quantiles(self):
        """Guards against a status that mixes up organisations or units."""
        registry = MetricsRegistry()
        for elapsed_s in (0.1, 0.1, 2.0):
            registry.observe("waiting", elapsed_s, "b", "urgent")
        registry.observe("waiting", 5.0, "a", "batch")
        first, second = registry.list_times()
        self.assertEqual(
            ("a", "batch", 1), (first.organisation, first.job_class, first.count)
        )
        self.assertEqual((3, "urgent"), (second.count, second.job_class))
        self.assertAlmostEqual(0.1, second.p50_s, places=2)
        self.assertAlmostEqual(2.0, second.max_s, places=1)

    def test_name_used_for_two_metric_kinds_is_rejected(self):
        registry = MetricsRegistry()
        registry.count("jobs")
        self.assertRaises(ValueError, registry.set_gauge, "jobs", 1)
        self.assertRaises(ValueError, registry.count, "Jobs done")

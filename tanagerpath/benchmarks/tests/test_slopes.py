import testtools

from tanagerpath.benchmarks.slopes import (
    LineSpec,
    MeasuredLine,
    Probe,
    fit_line,
    run_probe,
)

SPEC = LineSpec("thing", "s", "upstream", "no load")


class _CountingProbe(Probe):
    """Gives 10 + 3 * size, plus 0, 1 and 2 times the size in the repeats."""

    specs = (SPEC,)
    sizes = (10, 20)

    def __init__(self):
        self.closed = 0

    def prepare(self, size):
        self._size = size
        self._round = 0

    def measure(self):
        value = 10.0 + (3 + self._round) * self._size
        self._round += 1
        return {"thing": value}

    def close(self):
        self.closed += 1


class FitLineTest(testtools.TestCase):
    """Guards against figures of the page that come from a wrong fit."""

    def test_points_on_a_line(self):
        line = fit_line((25, 250, 2500), (7.0, 52.0, 502.0))
        self.assertAlmostEqual(0.2, line.slope)
        self.assertAlmostEqual(2.0, line.intercept)
        self.assertAlmostEqual(3602.0, line.find_value(18_000))

    def test_scattered_points(self):
        # Worked by hand: mean (2, 5), sums of products 3 and of squares 2.
        line = fit_line((1, 2, 3), (4.0, 4.0, 7.0))
        self.assertAlmostEqual(1.5, line.slope)
        self.assertAlmostEqual(2.0, line.intercept)

    def test_input_without_a_slope_is_refused(self):
        for sizes, values in [((5,), (1.0,)), ((5, 5), (1.0, 2.0)), ((1, 2), (1.0,))]:
            self.assertRaises(ValueError, fit_line, sizes, values)


class MeasuredLineTest(testtools.TestCase):
    def test_spread_covers_the_repeats(self):
        # Guards against a spread that is that of the medians only.
        probe = _CountingProbe()
        (line,) = run_probe(probe)
        self.assertEqual((50.0, 90.0), line.values)
        self.assertAlmostEqual(4.0, line.line.slope)
        self.assertEqual((3.0, 5.0), line.slope_range)
        self.assertEqual(2, probe.closed)

    def test_probe_is_closed_if_its_load_cannot_be_built(self):
        # Guards against processes that go on after a failed start.
        class Unbuildable(_CountingProbe):
            def prepare(self, size):
                raise RuntimeError("no load")

        probe = Unbuildable()
        self.assertRaises(RuntimeError, run_probe, probe)
        self.assertEqual(1, probe.closed)

    def test_too_few_repeats_are_refused(self):
        repeats = ((1.0, 2.0), (1.0, 2.0))
        self.assertRaises(ValueError, MeasuredLine, SPEC, (1, 2), repeats)

    def test_report_names_size_unit_and_load(self):
        line = MeasuredLine(SPEC, (1, 2), ((3.0, 5.0),) * 3)
        text = line.describe()
        for part in ("thing [s]", "1: 3", "slope 2 per upstream", "no load"):
            self.assertIn(part, text)

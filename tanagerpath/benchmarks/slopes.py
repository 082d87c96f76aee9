"""Measured lines, their slopes and what they give at another size."""

import abc
import statistics
from collections.abc import Sequence

import attrs

__all__ = ["Line", "LineSpec", "MeasuredLine", "Probe", "fit_line", "run_probe"]

MIN_REPEATS = 3


@attrs.frozen
class Line:
    """A straight line through measured points.

    Attributes
    ----------
    intercept : float
        Value at size 0.
    slope : float
        Growth of the value for each unit of size.
    """

    intercept: float
    slope: float

    def find_value(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a line by least squares.

    Parameters
    ----------
    sizes, values : sequence of float
        Coordinates of the points, at least two different sizes.

    Returns
    -------
    Line
        The line with the least sum of squared distances in value.

    Raises
    ------
    ValueError
        If the lengths differ or fewer than two sizes differ.
    """
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes do not match {len(values)} values")
    if len(set(sizes)) < 2:
        raise ValueError("a slope needs at least two different sizes")
    slope, intercept = statistics.linear_regression(sizes, values)
    return Line(intercept, slope)


@attrs.frozen
class LineSpec:
    """What a line measures.

    Attributes
    ----------
    name : str
        Name in the report.
    unit : str
        Unit of the values.
    per : str
        What one unit of size is.
    load : str
        Load under which the values were taken.
    """

    name: str
    unit: str
    per: str
    load: str


@attrs.frozen
class MeasuredLine:
    """Values of one line at several sizes, repeated.

    Attributes
    ----------
    spec : LineSpec
        What was measured.
    sizes : tuple of int
        Sizes, ascending.
    repeats : tuple of tuple of float
        Values by size, one tuple for each repeat.
    """

    spec: LineSpec
    sizes: tuple[int, ...]
    repeats: tuple[tuple[float, ...], ...] = attrs.field()

    @repeats.validator
    def _check_repeats(self, attribute: object, repeats: tuple) -> None:
        if len(repeats) < MIN_REPEATS:
            raise ValueError(f"{len(repeats)} repeats are fewer than {MIN_REPEATS}")

    @property
    def values(self) -> tuple[float, ...]:
        """Median over the repeats at each size."""
        return tuple(map(statistics.median, zip(*self.repeats, strict=True)))

    @property
    def line(self) -> Line:
        """Line through the medians."""
        return fit_line(self.sizes, self.values)

    @property
    def slope_range(self) -> tuple[float, float]:
        """Least and greatest slope of the single repeats."""
        slopes = [fit_line(self.sizes, values).slope for values in self.repeats]
        return min(slopes), max(slopes)

    def describe(self) -> str:
        """Return the line of the report."""
        low, high = self.slope_range
        points = "  ".join(
            f"{size}: {value:.4g}"
            for size, value in zip(self.sizes, self.values, strict=True)
        )
        return (
            f"{self.spec.name} [{self.spec.unit}]\n"
            f"    {points}\n"
            f"    slope {self.line.slope:.4g} per {self.spec.per} "
            f"({low:.4g} to {high:.4g} in {len(self.repeats)} repeats), "
            f"at size 0: {self.line.intercept:.4g}\n"
            f"    load: {self.spec.load}"
        )

    def summarize(self) -> dict[str, object]:
        """Return plain values for the JSON line of the report."""
        return {
            "unit": self.spec.unit,
            "per": self.spec.per,
            "load": self.spec.load,
            "sizes": self.sizes,
            "values": self.values,
            "slope": self.line.slope,
            "intercept": self.line.intercept,
            "slope_range": self.slope_range,
            "repeats": len(self.repeats),
        }


class Probe(abc.ABC):
    """Measures one or several lines under one load.

    Attributes
    ----------
    specs : tuple of LineSpec
        Lines that `measure` returns values for.
    sizes : tuple of int
        Sizes at which it is run.
    """

    specs: tuple[LineSpec, ...]
    sizes: tuple[int, ...]

    @abc.abstractmethod
    def prepare(self, size: int) -> None:
        """Build the load of one size."""

    @abc.abstractmethod
    def measure(self) -> dict[str, float]:
        """Return one value for each line, by name."""

    def close(self) -> None:
        """Release what `prepare` has built, also if it failed half-way."""
        return None


def run_probe(probe: Probe, repeats: int = MIN_REPEATS) -> list[MeasuredLine]:
    """Run a probe at all its sizes.

    Parameters
    ----------
    probe : Probe
        What to run.
    repeats : int
        Measurements at each size.

    Returns
    -------
    list of MeasuredLine
        In the order of `probe.specs`.
    """
    rounds: list[list[dict[str, float]]] = []
    for size in probe.sizes:
        try:
            probe.prepare(size)
            rounds.append([probe.measure() for _ in range(repeats)])
        finally:
            probe.close()
    return [_collect(spec, probe.sizes, rounds) for spec in probe.specs]


def _collect(
    spec: LineSpec, sizes: tuple[int, ...], rounds: list[list[dict[str, float]]]
) -> MeasuredLine:
    by_size = [[values[spec.name] for values in of_size] for of_size in rounds]
    return MeasuredLine(spec, sizes, tuple(zip(*by_size, strict=True)))

"""Bounded sets of label values."""

__all__ = ["OTHER", "BoundedLabels"]

OTHER = "other"


class BoundedLabels:
    """Keeps the first `capacity` values of a label and folds the rest into "other".

    Without a bound, a caller that invents names would grow the metrics for ever.

    Parameters
    ----------
    capacity : int
        Most values that are kept apart.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._values: set[str] = set()

    def fold(self, value: str) -> str:
        """Return the value itself or "other"."""
        if value in self._values:
            return value
        if len(self._values) >= self._capacity:
            return OTHER
        self._values.add(value)
        return value

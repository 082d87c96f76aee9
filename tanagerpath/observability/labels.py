"""Cardinality limits for metric labels."""

__all__ = ["OTHER", "BoundedLabels"]

OTHER = "other"


class BoundedLabels:
    """Keeps the first `capacity` values of a label and replaces others by "other".

    Without a limit, a caller that invents names would grow the metrics without end.

    Parameters
    ----------
    capacity : int
        Maximum number of distinct values.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._values: set[str] = set()

    def limit(self, value: str) -> str:
        """Return the value, or "other" beyond the capacity."""
        if value in self._values:
            return value
        if len(self._values) >= self._capacity:
            return OTHER
        self._values.add(value)
        return value

"""Amounts of processor, memory and accelerators."""

import attrs

__all__ = ["ACCELERATOR_CORES", "Resources"]

# Amounts above this overflow in arithmetic with floats. Records of earlier builds may
# hold larger ones.
MAX_AMOUNT = 2**53
# Cores that one accelerator counts as when work of different shapes is compared.
ACCELERATOR_CORES = 8


@attrs.frozen
class Resources:
    """Requirements of a task or capacity of an upstream.

    Attributes
    ----------
    cpu_millicores : int
        Thousandths of a core.
    memory_mb : int
        Megabytes of memory.
    accelerators : int
        Accelerators.
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    @property
    def is_any(self) -> bool:
        """Whether any amount is above 0."""
        return self != _NONE

    def fits(self, available: "Resources") -> bool:
        """Return whether this fits into `available`."""
        return (
            self.cpu_millicores <= available.cpu_millicores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def count_in(self, available: "Resources", limit: int) -> int:
        """Return how many times this fits into `available`, at most `limit`."""
        count = limit
        for needed, free in (
            (self.cpu_millicores, available.cpu_millicores),
            (self.memory_mb, available.memory_mb),
            (self.accelerators, available.accelerators),
        ):
            if needed > 0:
                count = min(count, free // needed)
        return max(count, 0)

    def find_maximum(self, other: "Resources") -> "Resources":
        """Return the larger amount of each resource."""
        return Resources(
            max(self.cpu_millicores, other.cpu_millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def find_minimum(self, other: "Resources") -> "Resources":
        """Return the smaller amount of each resource."""
        return Resources(
            min(self.cpu_millicores, other.cpu_millicores),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def find_dominant_share(self, capacity: "Resources") -> float:
        """Return the largest share of `capacity` of any resource, 0 to 1."""
        shares = [
            min(max(taken, -MAX_AMOUNT), MAX_AMOUNT) / min(whole, MAX_AMOUNT)
            for taken, whole in (
                (self.cpu_millicores, capacity.cpu_millicores),
                (self.memory_mb, capacity.memory_mb),
                (self.accelerators, capacity.accelerators),
            )
            if whole > 0
        ]
        return max(shares, default=0.0)

    @property
    def weighted_cores(self) -> float:
        """Cores, with each accelerator counted as `ACCELERATOR_CORES`."""
        cores = min(self.cpu_millicores, MAX_AMOUNT) / 1000
        return cores + min(self.accelerators, MAX_AMOUNT) * ACCELERATOR_CORES


_NONE = Resources()

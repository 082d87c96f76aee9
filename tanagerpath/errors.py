"""Base classes of all failures.

A failure is a value: an immutable `attrs` class with the offending value and what was
expected. The core returns failures inside `returns.result.Failure`; code that does
input or output raises them wrapped in `FailureError`.
"""

from collections.abc import Iterator

import attrs

__all__ = ["Failure", "FailureError", "WrongField", "iterate_leaf_exceptions"]


@attrs.frozen(kw_only=True)
class Failure:
    """A typed failure.

    Attributes
    ----------
    not_run : bool
        True only if the requested work is known not to have run.
    retry_at_unix_s : float or None
        Time in UTC seconds from which a retry is useful, or None.
    """

    not_run: bool = False
    retry_at_unix_s: float | None = None

    @property
    def type_name(self) -> str:
        """Name of the failure on the wire and in metrics."""
        return type(self).__name__

    @property
    def message(self) -> str:
        """Human-readable one-line message with the offending value."""
        return self.type_name


@attrs.frozen(kw_only=True)
class WrongField(Failure):
    """Base class of failures caused by the value of one field.

    Attributes
    ----------
    field : str
        Path of the offending field, empty for the object itself.
    value : str
        The offending value.
    expected : str
        What was expected.
    """

    not_run: bool = True
    field: str
    value: str
    expected: str

    @property
    def field_label(self) -> str:
        """Name of the field in error messages."""
        return f"field {self.field!r}"

    @property
    def message(self) -> str:
        """Human-readable one-line message."""
        return f"{self.field_label}: got {self.value}, expected {self.expected}"


class FailureError(Exception):
    """Exception that carries a `Failure`.

    Parameters
    ----------
    failure : Failure
        The failure to raise.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


def iterate_leaf_exceptions(error: BaseException) -> Iterator[BaseException]:
    """Yield the leaf exceptions of a nested exception group, or the error itself."""
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for part in error.exceptions:
        yield from iterate_leaf_exceptions(part)

"""Base classes of all failures.

A failure is a value: an immutable `attrs` class that names the offending value and what
was expected. The core returns failures inside `returns.result.Failure`; the edges raise
them wrapped in `FailureError`.
"""

from collections.abc import Iterator

import attrs

__all__ = ["Failure", "FailureError", "WrongField", "list_leaves"]


@attrs.frozen(kw_only=True)
class Failure:
    """A typed failure.

    Attributes
    ----------
    not_run : bool
        True only if the work that the request asked for is known not to have run.
    retry_at_unix_s : float or None
        Instant in UTC seconds at which a retry is useful, or None.
    """

    not_run: bool = False
    retry_at_unix_s: float | None = None

    @property
    def type_name(self) -> str:
        """Name of the failure as it is written on the wire and in metrics."""
        return type(self).__name__

    @property
    def message(self) -> str:
        """One line for people that names the offending value."""
        return self.type_name


@attrs.frozen(kw_only=True)
class WrongField(Failure):
    """Base of failures that name one field and the value that it cannot take.

    Attributes
    ----------
    field : str
        Path of the offending field, empty for the whole object.
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
    def place(self) -> str:
        """The field as a message names it."""
        return f"field {self.field!r}"

    @property
    def message(self) -> str:
        """One line for people."""
        return f"{self.place}: got {self.value}, expected {self.expected}"


class FailureError(Exception):
    """Carries a `Failure` through code that raises.

    Parameters
    ----------
    failure : Failure
        The failure carried.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


def list_leaves(error: BaseException) -> Iterator[BaseException]:
    """Return the errors of a group and of the groups in it, or the error itself."""
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for part in error.exceptions:
        yield from list_leaves(part)

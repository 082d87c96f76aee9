"""Strict validation of decoded JSON values."""

from typing import Any

from tanagerpath.codecs import MalformedMessage
from tanagerpath.codecs.text import parse_json
from tanagerpath.errors import FailureError

__all__ = ["MAX_NUMBER", "Fields", "is_integer", "is_number", "is_text", "read_object"]

# Largest integer that every reader of JSON represents exactly. Larger numbers overflow
# in arithmetic with floats.
MAX_NUMBER = 2**53
_SHOWN_CHARS = 60
_MISSING = object()


def read_object(body: bytes) -> "Fields":
    """Return the fields of a JSON object.

    Raises
    ------
    FailureError
        With `MalformedMessage`.
    """
    try:
        plain = parse_json(body)
    except ValueError as error:
        failure = MalformedMessage(value=_show(body), expected=f"JSON text ({error})")
        raise FailureError(failure) from error
    if not isinstance(plain, dict):
        raise FailureError(MalformedMessage(value=_show(plain), expected="an object"))
    return Fields(plain)


def is_integer(value: Any, minimum: int | None = 0) -> bool:
    """Return whether a decoded value is a whole number of a usable size."""
    # `bool` is a subclass of `int`, but JSON booleans are not numbers.
    if not isinstance(value, int) or isinstance(value, bool):
        return False
    lowest = -MAX_NUMBER if minimum is None else minimum
    return lowest <= value <= MAX_NUMBER


def is_number(value: Any) -> bool:
    """Return whether a decoded value is a number from 0 of a usable size."""
    # NaN compares as neither.
    return is_integer(value) or (isinstance(value, float) and 0 <= value <= MAX_NUMBER)


def is_text(value: Any) -> bool:
    """Return whether a decoded value is a string that can be encoded again."""
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:  # a surrogate without its pair
        return False
    return True


def _show(value: Any) -> str:
    # A long text would be copied several times for an error message.
    shown = value[:_SHOWN_CHARS] if isinstance(value, str | bytes) else value
    return repr(shown)[:_SHOWN_CHARS]


class Fields:
    """Fields of a JSON object; reading an invalid one raises `FailureError`.

    Parameters
    ----------
    values : dict
        Decoded values.
    path : str
        Path of the object, for error messages.
    """

    def __init__(self, values: dict[str, Any], path: str = "") -> None:
        self._values = values
        self._path = path

    def _find_path(self, name: str) -> str:
        return f"{self._path}.{name}" if self._path else name

    def _make_error(self, name: str, value: Any, expected: str) -> FailureError:
        shown = "nothing" if value is _MISSING else _show(value)
        return FailureError(
            MalformedMessage(
                field=self._find_path(name), value=shown, expected=expected
            )
        )

    def _read(self, name: str, default: Any, kinds: tuple[type, ...], expected: str):
        value = self._values.get(name, _MISSING)
        if value is _MISSING and default is not _MISSING:
            return default
        # `bool` is a subclass of `int`, but JSON booleans are not numbers.
        is_flag = isinstance(value, bool) and bool not in kinds
        if is_flag or not isinstance(value, kinds):
            raise self._make_error(name, value, expected)
        return value

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all fields, in their order."""
        return tuple(self._values)

    def has(self, name: str) -> bool:
        """Return whether a field is present and not null."""
        return self._values.get(name) is not None

    def read_text(self, name: str, default: Any = _MISSING) -> str:
        """Return a string."""
        value = self._read(name, default, (str,), "a string")
        if value is not default and not is_text(value):
            raise self._make_error(name, value, "a string of valid characters")
        return value

    def read_integer(
        self, name: str, default: Any = _MISSING, minimum: int | None = 0
    ) -> int:
        """Return an integer, at least `minimum` if one is given."""
        value = self._read(name, default, (int,), "a whole number")
        if value is not default and not is_integer(value, minimum):
            lowest = -MAX_NUMBER if minimum is None else minimum
            expected = f"a whole number from {lowest} to {MAX_NUMBER}"
            raise self._make_error(name, value, expected)
        return value

    def read_number(self, name: str, default: Any = _MISSING) -> float:
        """Return a number from 0 to `MAX_NUMBER`."""
        value = self._read(name, default, (int, float), "a number")
        if value is not default and not is_number(value):
            raise self._make_error(name, value, f"a number from 0 to {MAX_NUMBER}")
        return value

    def read_flag(self, name: str, default: Any = _MISSING) -> bool:
        """Return a boolean."""
        return self._read(name, default, (bool,), "true or false")

    def read_list(self, name: str, default: Any = _MISSING) -> list[Any]:
        """Return a list of decoded values."""
        return self._read(name, default, (list,), "a list")

    def read_texts(self, name: str, default: Any = _MISSING) -> tuple[str, ...]:
        """Return a list of strings."""
        values = self.read_list(name, default)
        for value in values:
            if not is_text(value):
                raise self._make_error(name, value, "a list of strings")
        return tuple(values)

    def read_integers(self, name: str, default: Any = _MISSING) -> tuple[int, ...]:
        """Return a list of integers."""
        values = self.read_list(name, default)
        for value in values:
            if not is_integer(value, minimum=None):
                raise self._make_error(name, value, "a list of whole numbers")
        return tuple(values)

    def read_fields(self, name: str) -> "Fields":
        """Return an object."""
        value = self._read(name, _MISSING, (dict,), "an object")
        return Fields(value, self._find_path(name))

    def read_optional(self, name: str) -> "Fields | None":
        """Return an object, or None if it is absent."""
        return self.read_fields(name) if self.has(name) else None

    def read_objects(self, name: str, default: Any = _MISSING) -> list["Fields"]:
        """Return a list of objects."""
        values = self.read_list(name, default)
        for number, value in enumerate(values):
            if not isinstance(value, dict):
                raise self._make_error(f"{name}.{number}", value, "an object")
        path = self._find_path(name)
        return [
            Fields(value, f"{path}.{number}") for number, value in enumerate(values)
        ]

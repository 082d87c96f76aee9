"""Strict validation of decoded JSON values."""

import json
from typing import Any

from tanagerpath.codecs import MalformedMessage
from tanagerpath.errors import FailureError

__all__ = ["Fields", "read_object"]

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
        plain = json.loads(body)
    except (ValueError, RecursionError) as error:  # the latter for deep nesting
        failure = MalformedMessage(value=_show(body), expected=f"JSON text ({error})")
        raise FailureError(failure) from error
    if not isinstance(plain, dict):
        raise FailureError(MalformedMessage(value=_show(plain), expected="an object"))
    return Fields(plain)


def _show(value: Any) -> str:
    return repr(value)[:_SHOWN_CHARS]


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

    def has(self, name: str) -> bool:
        """Return whether a field is present and not null."""
        return self._values.get(name) is not None

    def read_text(self, name: str, default: Any = _MISSING) -> str:
        """Return a string."""
        return self._read(name, default, (str,), "a string")

    def read_integer(
        self, name: str, default: Any = _MISSING, minimum: int | None = 0
    ) -> int:
        """Return an integer, at least `minimum` if one is given."""
        value = self._read(name, default, (int,), "a whole number")
        if minimum is not None and value is not default and value < minimum:
            raise self._make_error(name, value, f"a whole number of at least {minimum}")
        return value

    def read_number(self, name: str, default: Any = _MISSING) -> float:
        """Return a finite number of at least 0."""
        value = self._read(name, default, (int, float), "a number")
        if value is not default and not 0 <= value < float("inf"):
            raise self._make_error(name, value, "a number of at least 0")
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
            if not isinstance(value, str):
                raise self._make_error(name, value, "a list of strings")
        return tuple(values)

    def read_integers(self, name: str, default: Any = _MISSING) -> tuple[int, ...]:
        """Return a list of integers."""
        values = self.read_list(name, default)
        for value in values:
            if not isinstance(value, int) or isinstance(value, bool):
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

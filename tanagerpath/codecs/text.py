"""JSON encoding of `attrs` messages.

Unknown fields and wrong types are rejected, so that a misspelt field is never silently
ignored.
"""

import enum
import functools
import json
import re
from typing import Any, TypeVar

import attrs
import cattrs
from cattrs.preconf.json import make_converter
from cattrs.strategies import configure_tagged_union
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.errors import WrongField

__all__ = [
    "MalformedMessage",
    "decode_json",
    "decode_value",
    "encode_json",
    "encode_value",
    "parse_json",
]

T = TypeVar("T")

# Decoded values take up to 24 times the memory of their text, so a text of 4 MiB could
# take 100 MB. Both bounds are far above those of a configuration of 4 MiB.
MAX_CONTAINERS = 100_000
MAX_VALUES = 400_000
# Field with the class name of a union member; no message may have a field so named.
UNION_TAG = "message_type"


@attrs.frozen(kw_only=True)
class MalformedMessage(WrongField):
    """The text is not a message of the expected type."""

    field: str = ""
    value: str = ""
    expected: str = ""

    @property
    def field_label(self) -> str:
        """The field as the error message names it."""
        return f"field {self.field!r}" if self.field else "message"


def _make_converter() -> cattrs.Converter:
    converter = make_converter(forbid_extra_keys=True, prefer_attrib_converters=True)
    for kind in (int, float, str, bool):
        converter.register_structure_hook(kind, _make_strict_hook(kind))
    return converter


def _structure_enum(value: Any, kind: type[enum.Enum]) -> enum.Enum:
    try:
        return kind(value)
    except ValueError:
        known = ", ".join(str(member.value) for member in kind)
        raise ValueError(f"one of {known}") from None


def _make_strict_hook(kind: type) -> Any:
    def structure(value: Any, target: type) -> Any:
        if issubclass(target, enum.Enum):  # the hook for str also gets StrEnum
            return _structure_enum(value, target)
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is not kind:
            raise TypeError(f"a value of type {kind.__name__}")
        return value

    return structure


def _abbreviate(value: Any) -> str:
    text = repr(value[:100] if isinstance(value, str | bytes) else value)
    return text if len(text) <= 80 else text[:77] + "..."


_CONVERTER = _make_converter()


@functools.cache
def _tagged_converter(union: Any) -> cattrs.Converter:
    converter = _make_converter()
    configure_tagged_union(union, converter, tag_name=UNION_TAG)
    return converter


def _converter_for(kind: Any) -> cattrs.Converter:
    return _CONVERTER if isinstance(kind, type) else _tagged_converter(kind)


def encode_value(value: Any, kind: Any = None) -> Any:
    """Convert a message to plain JSON values.

    Parameters
    ----------
    value : object
        An `attrs` message.
    kind : type or union, optional
        A union of message types adds the field `message_type` with the class name.

    Returns
    -------
    dict or list
        Values that `json` can serialise.
    """
    if kind is None:
        return _CONVERTER.unstructure(value)
    return _converter_for(kind).unstructure(value, unstructure_as=kind)


def encode_json(value: Any, kind: Any = None) -> str:
    """Return the JSON text of a message; see `encode_value`."""
    return json.dumps(encode_value(value, kind), separators=(",", ":"))


def decode_value(plain: Any, kind: type[T] | Any) -> Result[T, MalformedMessage]:
    """Build a message from plain JSON values.

    Parameters
    ----------
    plain : object
        Values as `json` returns them.
    kind : type or union
        Expected message type.

    Returns
    -------
    Result
        The message, or `MalformedMessage` naming the field, the value and what was
        expected.
    """
    try:
        return Success(_converter_for(kind).structure(plain, kind))
    except Exception as error:  # cattrs raises groups of arbitrary errors
        return ResultFailure(_describe_error(error, plain))


def parse_json(text: str | bytes) -> Any:
    """Return the values of a JSON text of bounded cost.

    Raises
    ------
    ValueError
        If it is not JSON, or if it has too many values or levels.
    """
    # Characters of strings are counted too, so the bounds are generous.
    marks = ("[", "{", ",") if isinstance(text, str) else (b"[", b"{", b",")
    lists, objects, commas = (text.count(mark) for mark in marks)
    if lists + objects > MAX_CONTAINERS or commas > MAX_VALUES:
        raise ValueError(f"more than {MAX_CONTAINERS} lists or {MAX_VALUES} values")
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError("too many levels") from error


def decode_json(text: str | bytes, kind: type[T] | Any) -> Result[T, MalformedMessage]:
    """Build a message from JSON text; see `decode_value`."""
    try:
        plain = json.loads(text)
    except (ValueError, RecursionError) as error:  # RecursionError for deep nesting
        return ResultFailure(
            MalformedMessage(value=_abbreviate(text), expected=f"JSON text ({error})")
        )
    return decode_value(plain, kind)


def _describe_error(error: Exception, plain: Any) -> MalformedMessage:
    first = cattrs.transform_error(error, format_exception=_format_expected)[0]
    expected, _, path = first.partition(" @ $")
    field = path.lstrip(".")
    extra = _EXTRA_FIELD.search(expected)
    if extra:
        field = ".".join(filter(None, [field, extra.group(1)]))
        expected = "no such field"
    return MalformedMessage(
        field=field, value=_abbreviate(_find_value(plain, field)), expected=expected
    )


_EXTRA_FIELD = re.compile(r"extra fields found \((\w+)")


def _format_expected(error: BaseException, kind: type | None) -> str:
    if isinstance(error, KeyError):
        return "a value (the field is missing)"
    if isinstance(error, (TypeError, ValueError)) and str(error):
        return str(error)
    return cattrs.v.format_exception(error, kind)


def _find_value(plain: Any, field: str) -> Any:
    value = plain
    for step in re.findall(r"\w+", field):
        if isinstance(value, dict):
            value = value.get(step)
        elif isinstance(value, list) and step.isdigit() and int(step) < len(value):
            value = value[int(step)]
    return value

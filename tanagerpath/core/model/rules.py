"""Rules on single fields, combined to validate whole messages."""

import re
from collections.abc import Iterable
from typing import Any

import attrs

__all__ = [
    "MAX_INTEGER",
    "Rule",
    "find_violated",
    "require_between",
    "require_name",
    "require_text",
]

# Larger integers lose digits in JSON readers that use floating point.
MAX_INTEGER = 2**53

_NAME = re.compile(r"[a-z0-9-]{1,63}")
_NAME_EXPECTED = "1 to 63 characters of a-z, 0-9 and '-'"


@attrs.frozen
class Rule:
    """A condition on one field that must hold.

    Attributes
    ----------
    holds : bool
        Whether the condition is met.
    field : str
        Path of the field.
    value : object
        Value of the field.
    expected : str
        What the condition requires.
    """

    holds: bool
    field: str
    value: Any
    expected: str

    def describe(self) -> dict[str, str]:
        """Return `field`, the shortened `value` and `expected` for a failure."""
        text = repr(self.value)
        short = text if len(text) <= 80 else text[:77] + "..."
        return {"field": self.field, "value": short, "expected": self.expected}


def find_violated(rules: Iterable[Rule]) -> Rule | None:
    """Return the first rule that is violated, or None."""
    return next((rule for rule in rules if not rule.holds), None)


def require_name(field: str, value: str) -> Rule:
    """Require a name of a service, an organisation, a team or a zone."""
    return Rule(_NAME.fullmatch(value) is not None, field, value, _NAME_EXPECTED)


def require_between(
    field: str, value: int, minimum: int, maximum: int = MAX_INTEGER
) -> Rule:
    """Require a whole number inside bounds."""
    expected = f"a whole number from {minimum} to {maximum}"
    return Rule(minimum <= value <= maximum, field, value, expected)


def require_text(field: str, value: str) -> Rule:
    """Require text that can be written as UTF-8.

    JSON may contain lone surrogates, which can be decoded but not encoded.
    """
    holds = not any("\ud800" <= character <= "\udfff" for character in value)
    return Rule(holds, field, value, "text that can be encoded as UTF-8")

"""Base class of settings, with reading and validation."""

from collections.abc import Mapping, Sequence
from typing import Any, ClassVar, Self

import attrs
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.settings.declaration import Ordering, find_fault
from tanagerpath.settings.failures import InvalidSetting, MissingSetting
from tanagerpath.settings.sources import read_flags, read_values

__all__ = ["SettingsBase"]


@attrs.frozen(kw_only=True)
class SettingsBase:
    """Base of settings classes, whose fields are made with `declare`.

    `ORDERINGS` lists the constraints between settings.
    """

    ORDERINGS: ClassVar[tuple[Ordering, ...]] = ()

    @classmethod
    def from_arguments(
        cls, argv: Sequence[str], environment: Mapping[str, str]
    ) -> Result[Self, InvalidSetting | MissingSetting]:
        """Read and validate all settings.

        Parameters
        ----------
        argv : sequence of str
            Flags without the program name.
        environment : mapping of str to str
            Environment variables.

        Returns
        -------
        Result
            The settings, or the first fault found.
        """
        given = read_flags(cls, argv)
        return given.bind(lambda texts: cls.from_given(texts, environment))

    @classmethod
    def from_given(
        cls, given: Mapping[str, str | None], environment: Mapping[str, str]
    ) -> Result[Self, InvalidSetting | MissingSetting]:
        """Read and validate all settings from parsed flags.

        Parameters
        ----------
        given : mapping of str to str or None
            Text of each flag by setting name; other names are ignored.
        environment : mapping of str to str
            Environment variables.

        Returns
        -------
        Result
            The settings, or the first fault found.
        """
        return read_values(cls, given, environment).bind(cls._from_values)

    @classmethod
    def _from_values(cls, values: dict[str, Any]) -> Result[Self, InvalidSetting]:
        settings = cls(**values)
        fault = settings.find_fault()
        return Success(settings) if fault is None else ResultFailure(fault)

    def find_fault(self) -> InvalidSetting | None:
        """Return the first invalid value or violated constraint, or None."""
        return find_fault(self, self.ORDERINGS)

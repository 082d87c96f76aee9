"""Failures of settings."""

import attrs

from tanagerpath.errors import Failure

__all__ = ["InvalidSetting", "MissingSetting"]


@attrs.frozen(kw_only=True)
class InvalidSetting(Failure):
    """A setting has a value that it cannot take.

    Attributes
    ----------
    setting : str
        Name of the setting.
    value : str
        The offending value.
    expected : str
        What was expected.
    """

    not_run: bool = True
    setting: str
    value: str
    expected: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"setting {self.setting}: got {self.value!r}, expected {self.expected}"


@attrs.frozen(kw_only=True)
class MissingSetting(Failure):
    """A setting without a default was given neither as a flag nor as a variable.

    Attributes
    ----------
    setting : str
        Name of the setting.
    flag, variable : str
        Where it can be given.
    expected : str
        What was expected.
    """

    not_run: bool = True
    setting: str
    flag: str
    variable: str
    expected: str

    @property
    def message(self) -> str:
        """One line for people."""
        return (
            f"setting {self.setting}: got no value, expected {self.expected} "
            f"in {self.flag} or {self.variable}"
        )

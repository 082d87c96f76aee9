"""Failures caused by missing or invalid settings."""

import attrs

from tanagerpath.errors import Failure

__all__ = ["InvalidSetting", "MissingSetting"]


@attrs.frozen(kw_only=True)
class InvalidSetting(Failure):
    """A setting has a value that is not allowed.

    Attributes
    ----------
    setting : str
        Name of the setting.
    value : str
        The offending value.
    expected : str
        Description of the allowed values.
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
    """A required setting was given neither as a flag nor as a variable.

    Attributes
    ----------
    setting : str
        Name of the setting.
    flag, variable : str
        Flag and environment variable that set it.
    expected : str
        Description of the allowed values.
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

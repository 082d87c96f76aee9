"""Declaration of settings as fields of `attrs` classes."""

from typing import Any

import attrs

from tanagerpath.settings.failures import InvalidSetting, MissingSetting
from tanagerpath.settings.values import SettingType

__all__ = ["Ordering", "Setting", "declare", "find_fault", "list_settings"]

_METADATA_KEY = "setting"


@attrs.frozen(kw_only=True)
class Setting:
    """Declaration of one setting.

    Attributes
    ----------
    name : str
        Name of the field, with the unit as suffix if it has one.
    type : SettingType
        Type of the value, which also validates it.
    unit : str
        Unit of the value, empty if it has none.
    default : object
        Default value; None if the setting is required.
    description : str
        One sentence for operators.
    """

    name: str
    type: SettingType
    unit: str = ""
    default: Any = None
    description: str

    @property
    def flag(self) -> str:
        """Flag on the command line."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Environment variable."""
        return "TANAGERPATH_" + self.name.upper()

    @property
    def required(self) -> bool:
        """Whether the setting has no default."""
        return self.default is None

    def make_missing(self) -> MissingSetting:
        """Return the failure for a missing value."""
        return MissingSetting(
            setting=self.name,
            flag=self.flag,
            variable=self.variable,
            expected=self.type.expected,
        )

    def make_invalid(self, text: str) -> InvalidSetting:
        """Return the failure for an invalid value."""
        return InvalidSetting(
            setting=self.name, value=text, expected=self.type.expected
        )


@attrs.frozen
class Ordering:
    """Constraint that one setting must be less than another.

    Attributes
    ----------
    lower, upper : str
        Names of the settings.
    or_equal : bool
        Whether both may be equal.
    """

    lower: str
    upper: str
    or_equal: bool = False

    def find_fault(self, settings: Any) -> InvalidSetting | None:
        """Return a failure that names both settings, or None if they satisfy it."""
        low, high = getattr(settings, self.lower), getattr(settings, self.upper)
        if low < high or (self.or_equal and low == high):
            return None
        relation = "at most" if self.or_equal else "less than"
        return InvalidSetting(
            setting=self.lower,
            value=str(low),
            expected=f"{relation} {self.upper}, which is {high}",
        )


def declare(setting: Setting) -> Any:
    """Return the `attrs` field of a setting."""
    default = attrs.NOTHING if setting.required else setting.default
    return attrs.field(default=default, metadata={_METADATA_KEY: setting})


def list_settings(kind: type) -> list[Setting]:
    """Return the settings that a class declares, in order."""
    return [field.metadata[_METADATA_KEY] for field in attrs.fields(kind)]


def find_fault(settings: Any, orderings: tuple[Ordering, ...]) -> InvalidSetting | None:
    """Validate all values of a settings object, then the constraints between them.

    Parameters
    ----------
    settings : object
        Instance of a class made of `declare` fields.
    orderings : tuple of Ordering
        Constraints between settings.

    Returns
    -------
    InvalidSetting or None
        The first fault found.
    """
    for setting in list_settings(type(settings)):
        value = getattr(settings, setting.name)
        if not setting.type.allows(value):
            return setting.make_invalid(setting.type.render(value))
    for ordering in orderings:
        fault = ordering.find_fault(settings)
        if fault is not None:
            return fault
    return None

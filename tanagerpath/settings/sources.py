"""Reads settings from flags and environment variables."""

import argparse
from collections.abc import Mapping, Sequence
from typing import Any

from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.settings.declaration import Setting, list_settings
from tanagerpath.settings.failures import InvalidSetting, MissingSetting

__all__ = ["add_flags", "read_flags", "read_values"]


def add_flags(parser: argparse.ArgumentParser, kind: type) -> None:
    """Add a flag for each setting of a class to a parser.

    Parameters
    ----------
    parser : argparse.ArgumentParser
        Parser to extend; it does not convert the values.
    kind : type
        Class made of `declare` fields.
    """
    for setting in list_settings(kind):
        parser.add_argument(
            setting.flag,
            dest=setting.name,
            metavar="VALUE",
            help=_describe(setting),
        )


def _describe(setting: Setting) -> str:
    if setting.required:
        origin = f"required, or {setting.variable}"
    else:
        origin = f"default {setting.type.render(setting.default)}"
    unit = f" in {setting.unit}" if setting.unit else ""
    text = f"{setting.description} ({setting.type.expected}{unit}; {origin})"
    return text.replace("%", "%%")


def read_flags(
    kind: type, argv: Sequence[str]
) -> Result[dict[str, str | None], InvalidSetting]:
    """Read the flags of a settings class; unknown flags are an error.

    Parameters
    ----------
    kind : type
        Class made of `declare` fields.
    argv : sequence of str
        Flags with their values.

    Returns
    -------
    Result
        Text by name of the setting; None for a flag that was not given.
    """
    parser = argparse.ArgumentParser(
        add_help=False, allow_abbrev=False, exit_on_error=False
    )
    add_flags(parser, kind)
    try:
        given, unknown = parser.parse_known_args(list(argv))
    except argparse.ArgumentError as error:
        return ResultFailure(_make_missing_value(str(error.argument_name)))
    if unknown:
        return ResultFailure(
            InvalidSetting(
                setting=unknown[0], value=" ".join(unknown), expected="a known flag"
            )
        )
    return Success(vars(given))


def _make_missing_value(flag: str) -> InvalidSetting:
    return InvalidSetting(
        setting=flag.removeprefix("--").replace("-", "_"),
        value="",
        expected=f"a value after {flag}",
    )


def read_values(
    kind: type, given: Mapping[str, str | None], environment: Mapping[str, str]
) -> Result[dict[str, Any], InvalidSetting | MissingSetting]:
    """Read and parse the values that are given for a settings class.

    Parameters
    ----------
    kind : type
        Class made of `declare` fields.
    given : mapping of str to str or None
        Text of each flag by setting name; a flag overrides the environment variable.
    environment : mapping of str to str
        Environment variables; an empty one counts as not given.

    Returns
    -------
    Result
        Parsed values by name; settings with no given value are omitted.
    """
    values = {}
    for setting in list_settings(kind):
        text = given.get(setting.name)
        if text is None:
            text = environment.get(setting.variable) or None
        if text is None and setting.required:
            return ResultFailure(setting.make_missing())
        if text is None:
            continue
        try:
            values[setting.name] = setting.type.parse(text)
        except ValueError:
            return ResultFailure(setting.make_invalid(text))
    return Success(values)

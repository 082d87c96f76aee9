"""Commands that run a server process."""

import abc
import argparse
import errno
from collections.abc import Mapping
from typing import Any

import anyio
from returns.pipeline import is_successful
from returns.result import Result

from tanagerpath.cli.arguments import EXIT_WRONG_INPUT
from tanagerpath.cli.command import EXIT_DONE, Command
from tanagerpath.cli.output import write_failure
from tanagerpath.errors import Failure, FailureError, iterate_leaf_exceptions
from tanagerpath.observability import configure_logs
from tanagerpath.runtime import Application
from tanagerpath.settings import (
    ControlSettings,
    EntrySettings,
    InvalidSetting,
    add_flags,
)

__all__ = ["ControlCommand", "EntryCommand", "ServerCommand"]

EXIT_START_FAILED = 1
_LISTEN_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES)


class ServerCommand(Command):
    """Runs an application until SIGTERM or SIGINT stops it."""

    @property
    @abc.abstractmethod
    def settings_type(self) -> type:
        """Settings class of the process."""

    @abc.abstractmethod
    def make_application(self, settings: object) -> Application:
        """Build the application; services are imported here, only when needed."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare a flag for each setting."""
        add_flags(parser, self.settings_type)

    def run(self, arguments: argparse.Namespace, environment: Mapping[str, str]) -> int:
        """Run the process and return its exit status."""
        settings: Result[object, Failure] = self.settings_type.from_given(
            vars(arguments), environment
        )
        if not is_successful(settings):
            write_failure(settings.failure())
            return EXIT_WRONG_INPUT
        return self._run_application(settings.unwrap())

    def _run_application(self, settings: Any) -> int:
        configure_logs(settings.log_level)
        application = self.make_application(settings)
        try:
            anyio.run(application.run)
        except Exception as error:
            return _report_failure(error, settings)
        return EXIT_DONE


def _report_failure(error: Exception, settings: Any) -> int:
    """Write one line for a failed start; re-raise any other error."""
    first, *others = iterate_leaf_exceptions(error)
    if isinstance(first, FailureError):
        write_failure(first.failure)
        return EXIT_START_FAILED
    if others or not isinstance(first, OSError):
        raise error
    fault = _find_invalid_setting(first, settings)
    if fault is None:
        raise error
    write_failure(fault)
    return EXIT_WRONG_INPUT


def _find_invalid_setting(error: OSError, settings: Any) -> InvalidSetting | None:
    """Return the setting that caused an operating system error, or None."""
    if error.errno in _LISTEN_ERRORS and error.filename is None:
        return InvalidSetting(
            setting="listen",
            value=settings.listen,
            expected=f"an address that can be bound ({error.strerror})",
        )
    data_dir = getattr(settings, "data_dir", None)
    if data_dir is not None and str(error.filename).startswith(str(data_dir)):
        return InvalidSetting(
            setting="data_dir",
            value=str(data_dir),
            expected=f"a directory that can be written ({error.strerror})",
        )
    return None


class EntryCommand(ServerCommand):
    """`tanagerpath entry`."""

    name = "entry"
    summary = "run an entry process"
    settings_type = EntrySettings

    def make_application(self, settings: object) -> Application:
        """Build the entry application."""
        from tanagerpath.services.entry import EntryApplication

        return EntryApplication.from_settings(settings)


class ControlCommand(ServerCommand):
    """`tanagerpath control`."""

    name = "control"
    summary = "run a control process"
    settings_type = ControlSettings

    def make_application(self, settings: object) -> Application:
        """Build the control application."""
        from tanagerpath.services.control_application import ControlApplication

        return ControlApplication.from_settings(settings)

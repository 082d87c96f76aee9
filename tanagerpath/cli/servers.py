"""Commands that run a process of the system."""

import abc
import argparse
import sys
from collections.abc import Iterator, Mapping

import anyio
from returns.pipeline import is_successful
from returns.result import Result

from tanagerpath.cli.arguments import EXIT_WRONG_INPUT
from tanagerpath.cli.command import EXIT_DONE, Command, write_failure
from tanagerpath.errors import Failure, FailureError
from tanagerpath.observability import configure_logs
from tanagerpath.runtime import Application
from tanagerpath.settings import ControlSettings, EntrySettings, add_flags

__all__ = ["ControlCommand", "EntryCommand", "ServerCommand"]

EXIT_START_FAILED = 1


class ServerCommand(Command):
    """Runs an application until SIGTERM or SIGINT stops it."""

    @property
    @abc.abstractmethod
    def settings_type(self) -> type:
        """Class of the settings of the process."""

    @abc.abstractmethod
    def make_application(self, settings: object) -> Application:
        """Build the application; imports the services only when they are needed."""

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
        configure_logs(settings.unwrap().log_level)
        application = self.make_application(settings.unwrap())
        try:
            anyio.run(application.run)
        except Exception as error:
            return _report_end(error)
        return EXIT_DONE


def _report_end(error: Exception) -> int:
    """Write one line for a failure to start; raise anything else again."""
    leaves = list(_list_leaves(error))
    if not all(isinstance(leaf, FailureError | OSError) for leaf in leaves):
        raise error
    sys.stderr.write(f"tanagerpath: {' '.join(str(leaves[0]).split())}\n")
    return EXIT_START_FAILED


def _list_leaves(error: BaseException) -> Iterator[BaseException]:
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for part in error.exceptions:
        yield from _list_leaves(part)


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

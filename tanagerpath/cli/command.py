"""Base classes of the commands."""

import abc
import argparse
import sys
from collections.abc import Mapping
from typing import Any

import anyio
from returns.pipeline import is_successful
from returns.result import Result

from tanagerpath.cli.arguments import EXIT_WRONG_INPUT
from tanagerpath.cli.client import EntryClient
from tanagerpath.cli.failures import AnswerNotReady, NoEntryReachable
from tanagerpath.cli.output import write_failure
from tanagerpath.errors import Failure
from tanagerpath.settings import ClientSettings, add_flags

__all__ = ["ClientCommand", "Command"]

EXIT_DONE = 0
EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_READY = 5


class Command(abc.ABC):
    """A command of the command line."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Name of the subcommand."""

    @property
    @abc.abstractmethod
    def summary(self) -> str:
        """One line for `--help`."""

    @abc.abstractmethod
    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""

    @abc.abstractmethod
    def run(self, arguments: argparse.Namespace, environment: Mapping[str, str]) -> int:
        """Run the command and return the exit status."""


class ClientCommand(Command):
    """A command that sends requests to an entry.

    `prepare` validates everything that can be validated before the first exchange;
    `execute` then sends the requests.
    """

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments that all client commands share."""
        add_flags(parser, ClientSettings)

    @abc.abstractmethod
    def prepare(self, arguments: argparse.Namespace) -> Result[Any, Failure]:
        """Return the input of `execute`, or the failure if it is invalid."""

    @abc.abstractmethod
    async def execute(self, client: EntryClient, prepared: Any) -> Result[str, Failure]:
        """Send the requests and return the text for standard output."""

    def run(self, arguments: argparse.Namespace, environment: Mapping[str, str]) -> int:
        """Run the command and return the exit status."""
        settings = ClientSettings.from_given(vars(arguments), environment)
        prepared = settings.bind(lambda _: self.prepare(arguments))
        if not is_successful(prepared):
            write_failure(prepared.failure())
            return EXIT_WRONG_INPUT
        outcome = anyio.run(
            self._execute_with_client, settings.unwrap(), prepared.unwrap()
        )
        if not is_successful(outcome):
            write_failure(outcome.failure())
            return _choose_exit_status(outcome.failure())
        sys.stdout.write(outcome.unwrap() + "\n")
        return EXIT_DONE

    async def _execute_with_client(
        self, settings: ClientSettings, prepared: Any
    ) -> Result[str, Failure]:
        client = EntryClient(settings)
        try:
            return await self.execute(client, prepared)
        finally:
            await client.close()


def _choose_exit_status(failure: Failure) -> int:
    if isinstance(failure, NoEntryReachable):
        return EXIT_UNREACHABLE
    if isinstance(failure, AnswerNotReady):
        return EXIT_NOT_READY
    return EXIT_REFUSED

"""Entry point of the `tanagerpath` command."""

import os
from collections.abc import Mapping, Sequence

from tanagerpath import __version__
from tanagerpath.cli.arguments import OneLineParser
from tanagerpath.cli.command import Command
from tanagerpath.cli.documents import ApplyCommand
from tanagerpath.cli.guarantees import GuaranteesCommand
from tanagerpath.cli.jobs import CancelCommand, ExplainCommand, SubmitCommand
from tanagerpath.cli.servers import ControlCommand, EntryCommand
from tanagerpath.cli.status import StatusCommand
from tanagerpath.cli.story import StoryCommand

__all__ = ["main"]

_EXIT_STATUSES = """\
exit status: 0 done; 1 a process could not start; 2 wrong setting, argument or document,
nothing was changed; 3 refused by the system; 4 no reply from any entry; 5 the answer
was not there in time. Settings may also be given as environment variables, see
docs/settings.md.
"""


def _list_commands() -> list[Command]:
    return [
        EntryCommand(),
        ControlCommand(),
        ApplyCommand(),
        SubmitCommand(),
        StatusCommand(),
        CancelCommand(),
        ExplainCommand(),
        StoryCommand(),
        GuaranteesCommand(),
    ]


def _make_parser(commands: list[Command]) -> OneLineParser:
    parser = OneLineParser(
        prog="tanagerpath",
        description="Schedules multi-accelerator jobs under organisation guarantees.",
        epilog=_EXIT_STATUSES,
    )
    parser.add_argument("--version", action="version", version=__version__)
    choices = parser.add_subparsers(
        dest="command", metavar="COMMAND", required=True, parser_class=OneLineParser
    )
    for command in commands:
        subparser = choices.add_parser(
            command.name,
            help=command.summary,
            description=command.summary,
            allow_abbrev=False,
        )
        command.add_arguments(subparser)
        subparser.set_defaults(run=command.run)
    return parser


def main(
    argv: Sequence[str] | None = None, environment: Mapping[str, str] | None = None
) -> int:
    """Run the command line.

    Parameters
    ----------
    argv : sequence of str, optional
        Arguments without the program name; those of the process by default.
    environment : mapping of str to str, optional
        Environment variables; those of the process by default.

    Returns
    -------
    int
        Exit status: 0 success, 1 a process could not start, 2 invalid input, 3 rejected
        by the system, 4 no reply from any entry, 5 no answer before the timeout.
    """
    arguments = _make_parser(_list_commands()).parse_args(argv)
    variables = os.environ if environment is None else environment
    return arguments.run(arguments, variables)

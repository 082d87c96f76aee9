"""`tanagerpath guarantees`: guaranteed work that began late, from the logs of a day."""

import argparse
import datetime
import sys
from collections.abc import Iterable, Mapping
from typing import Any

import attrs
from returns.pipeline import is_successful

from tanagerpath.cli.arguments import EXIT_WRONG_INPUT
from tanagerpath.cli.command import EXIT_DONE, EXIT_REFUSED, Command
from tanagerpath.cli.log_files import read_log_line, read_logs
from tanagerpath.cli.output import write_failure

__all__ = ["GuaranteesCommand", "LateStart", "find_late_starts"]

BEGAN = ("control: urgent work began", "control: guaranteed work began late")
WAITS = "control: urgent work waits"
ENDED = "control: workload ended"
# Losses and changes of leaders, during which the bound does not hold.
DISRUPTIONS = (
    "control: leadership taken",
    "control: leadership ended",
    "control: started",
    "control: upstream unreachable",
    "control: upstream gone",
    "control: upstream quarantined",
    "control: renewal refused",
)


@attrs.frozen(kw_only=True)
class LateStart:
    """Guaranteed work that began after its bound, or had not begun by then.

    Attributes
    ----------
    workload : str
        The workload.
    at_s : float
        UTC time of the start, or of the last line on its wait.
    covered_s, bound_s : float
        Seconds for which it waited under its guarantee, and the bound.
    has_begun : bool
        Whether it has begun.
    reason : str
        Why it waited, as the last line before said.
    disruptions : tuple of str
        Losses and changes of leaders while it waited or within the settling time
        before.
    """

    workload: str
    at_s: float
    covered_s: float
    bound_s: float
    has_begun: bool
    reason: str = ""
    disruptions: tuple[str, ...] = ()

    def render(self) -> str:
        """Return one line for printing."""
        what = "began" if self.has_begun else "still waited"
        causes = ", ".join(self.disruptions) or "no disruption"
        return (
            f"{self.workload} {what} after {self.covered_s:.3f} s"
            f" (bound {self.bound_s} s): {self.reason or 'no reason logged'}; {causes}"
        )


def _read_time_s(fields: Mapping[str, Any]) -> float | None:
    try:
        return datetime.datetime.fromisoformat(str(fields.get("time"))).timestamp()
    except ValueError:
        return None


def _read_events(lines: Iterable[str]) -> list[tuple[float, dict[str, Any]]]:
    events = []
    for line in lines:
        read = read_log_line(line)
        at_s = _read_time_s(read[1]) if read else None
        if at_s is not None:
            events.append((at_s, read[1]))
    return sorted(events, key=lambda event: event[0])


def _is_beyond_bound(fields: Mapping[str, Any]) -> bool:
    is_first = fields.get("step") == 0 and not fields.get("runs_before")
    covered_s, bound_s = fields.get("covered_s"), fields.get("bound_s")
    is_known = isinstance(covered_s, int | float) and isinstance(bound_s, int | float)
    return bool(fields.get("covered")) and is_first and is_known and covered_s > bound_s


def find_late_starts(lines: Iterable[str], settling_s: float) -> list[LateStart]:
    """Return the guaranteed work that began late, by the leaders' lines.

    Parameters
    ----------
    lines : iterable of str
        Log lines of all control processes.
    settling_s : float
        Seconds after a disruption during which the bound does not hold yet.
    """
    reasons: dict[str, str] = {}
    late: dict[str, LateStart] = {}
    disruptions: list[tuple[float, str]] = []
    for at_s, fields in _read_events(lines):
        message, workload = fields.get("message"), str(fields.get("workload"))
        if message in DISRUPTIONS:
            disruptions.append((at_s, message.removeprefix("control: ")))
        elif message == ENDED and workload in late and not late[workload].has_begun:
            # Nothing is owed to work that was cancelled while it waited.
            del late[workload]
        elif message in (*BEGAN, WAITS):
            has_begun = message != WAITS
            if _is_beyond_bound(fields):
                late[workload] = LateStart(
                    workload=workload,
                    at_s=at_s,
                    covered_s=fields["covered_s"],
                    bound_s=fields["bound_s"],
                    has_begun=has_begun,
                    reason=str(fields.get("reason") or reasons.get(workload, "")),
                )
            reasons[workload] = str(fields.get("reason", ""))
    return [_add_disruptions(one, disruptions, settling_s) for one in late.values()]


def _add_disruptions(
    late: LateStart, disruptions: list[tuple[float, str]], settling_s: float
) -> LateStart:
    began_s = late.at_s - late.covered_s - settling_s
    near = [name for at_s, name in disruptions if began_s <= at_s <= late.at_s]
    return attrs.evolve(late, disruptions=tuple(dict.fromkeys(near)))


class GuaranteesCommand(Command):
    """`tanagerpath guarantees`."""

    name = "guarantees"
    summary = "list guaranteed work that began late, from the logs of control processes"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""
        parser.add_argument("logs", nargs="+", help="files with log lines")
        parser.add_argument(
            "--settling-s",
            type=float,
            default=5.0,
            help="seconds after a disruption in which the bound does not hold",
        )

    def run(self, arguments: argparse.Namespace, environment: Mapping[str, str]) -> int:
        """Print late starts; fail if one had no disruption near; see `Command`."""
        lines = read_logs(arguments.logs)
        if not is_successful(lines):
            write_failure(lines.failure())
            return EXIT_WRONG_INPUT
        late = find_late_starts(lines.unwrap(), arguments.settling_s)
        for one in late:
            sys.stdout.write(one.render() + "\n")
        broken = [one for one in late if not one.disruptions]
        sys.stdout.write(f"{len(late)} late, {len(broken)} without a disruption\n")
        return EXIT_REFUSED if broken else EXIT_DONE

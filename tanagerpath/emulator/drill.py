"""Fault drill: a table of failures on real processes over loopback, under load.

Each case runs on a deployment of its own, with a time limit. The last line is JSON with
the counts over all cases and the names of the failed ones.
"""

import argparse
import json
import pathlib
import sys
import tempfile

import anyio

from tanagerpath.codecs import encode_value
from tanagerpath.emulator.drill_case import CaseResult, DrillCase, run_case
from tanagerpath.emulator.drill_messages import MESSAGE_CASES
from tanagerpath.emulator.drill_processes import PROCESS_CASES

__all__ = ["CASES", "main", "summarise"]

CASES: dict[str, type[DrillCase]] = {
    case.name: case for case in (*PROCESS_CASES, *MESSAGE_CASES)
}


def summarise(results: list[CaseResult]) -> dict[str, object]:
    """Return the counts over all cases."""
    reports = [result.report for result in results if result.report is not None]
    failed = [result.name for result in results if not result.passed]
    return {
        "cases": len(results),
        "passed": len(results) - len(failed),
        "jobs": sum(report.jobs for report in reports),
        "answered": sum(report.answered for report in reports),
        "lost": sum(report.lost for report in reports),
        "doubled": sum(report.doubled for report in reports),
        "wrong": sum(report.wrong for report in reports),
        "partial_gangs": sum(report.partial_gangs for report in reports),
        "false_not_run": sum(report.false_not_run for report in reports),
        "failed_cases": failed,
    }


def _run_one(name: str, folder: pathlib.Path) -> CaseResult:
    case_folder = folder / name
    case_folder.mkdir()
    result = anyio.run(run_case, CASES[name](), case_folder)
    verdict = "passed" if result.passed else "FAILED"
    print(f"{name}: {verdict} in {result.duration_s} s {result.measured}", flush=True)
    for fault in result.faults:
        print(f"  {fault}", flush=True)
    if result.report is not None and not result.passed:
        print(f"  {json.dumps(encode_value(result.report))}", flush=True)
    return result


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m tanagerpath.emulator.drill", description=__doc__
    )
    add = parser.add_argument
    add("--case", action="append", choices=sorted(CASES), help="run only this case")
    add("--folder", help="keep logs and journals in this empty folder")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the drill; the exit status is 0 only if every case passed."""
    flags = make_parser().parse_args(arguments)
    with tempfile.TemporaryDirectory(prefix="tanagerpath-drill-") as made:
        folder = pathlib.Path(flags.folder or made)
        results = [_run_one(name, folder) for name in flags.case or CASES]
    summary = summarise(results)
    print(json.dumps(summary))
    return 0 if not summary["failed_cases"] else 1


if __name__ == "__main__":
    sys.exit(main())

"""Fault soak: overlapping faults of real control processes from a seed, over loopback.

Each seed starts a deployment of its own, stores configurations and hands in workloads
through the public interface, and ends with a fault that takes as many disks as the
settings say must be borne. Nothing that was acknowledged may be gone or shown older.
Stand-in workers run the tasks, while their links to the control processes fail too; no
task may run twice at once or again after it is done, and all workloads must complete.
With `--disk-series`, disks are lost one after the other, each as soon as the VM before
it counts as back, beside a backlog of workloads; a vote that is late is told apart.
The last line is JSON with the counts over all seeds and the seeds that failed.
"""

import argparse
import json
import pathlib
import shutil
import sys
import tempfile

import anyio
import attrs

from tanagerpath.emulator.soak_disk_plan import (
    DEFAULT_BACKLOG,
    DISK_LAYOUTS,
    DiskSeriesPlan,
)
from tanagerpath.emulator.soak_disk_run import DiskSeriesRun
from tanagerpath.emulator.soak_interface import SoakInterface
from tanagerpath.emulator.soak_plan import LAYOUTS, Layout, SoakPlan
from tanagerpath.emulator.soak_run import SoakResult, SoakRun

__all__ = ["main"]


def _run_one(
    plan: SoakPlan | DiskSeriesPlan, interface: SoakInterface, keeps_logs: bool
) -> SoakResult:
    """Play a plan; the logs of a seed that failed are kept in any case."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"tanagerpath-soak-{plan.seed}-"))
    session = DiskSeriesRun if isinstance(plan, DiskSeriesPlan) else SoakRun
    result = anyio.run(session.run_plan, plan, interface, folder)
    verdict = "FAILED" if result.has_failed else "passed"
    print(
        f"seed {plan.seed}: {verdict} in {result.duration_s} s, "
        f"{plan.layout.controls} control processes, "
        f"{plan.layout.tolerated_losses} losses, {plan.layout.workers} workers, "
        f"version {result.version}, {result.workloads} workloads, {result.starts} runs "
        f"({len(result.restarts_after_idle_expiry)} after an end as done and an idle "
        f"worker's expired lease, {len(result.restarts_after_expiry)} after another "
        f"expired lease), recovered in {list(result.recovered_s)} s, "
        f"completed in {result.completed_s} s, "
        f"slowest sync {result.slowest_sync_s} s",
        flush=True,
    )
    if result.votes:
        votes = [vote.elapsed_s for vote in result.votes]
        print(f"  votes after lost disks: {votes} s after the start", flush=True)
    for text in result.broken:
        print(f"  {text}", flush=True)
    for text in result.late_votes:
        print(f"  late vote: {text}", flush=True)
    if keeps_logs:
        for text in (*result.restarts_after_idle_expiry, *result.restarts_after_expiry):
            print(f"  excused by an expired lease: {text}", flush=True)
    if result.has_failed or keeps_logs:
        print(f"  logs: {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    return result


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m tanagerpath.emulator.soak", description=__doc__
    )
    add = parser.add_argument
    add("--seeds", type=int, default=3, help="number of seeds")
    add("--first", type=int, default=0, help="first seed")
    add("--controls", type=int, help="control processes, with --losses")
    add("--losses", type=int, help="losses that must be borne, with --controls")
    add("--workers", type=int, help="workers; 0 leaves all workloads queued")
    add("--disk-series", action="store_true", help="lose disks one after the other")
    add(
        "--backlog",
        type=int,
        default=DEFAULT_BACKLOG,
        help="queued workloads before the first lost disk, with --disk-series",
    )
    add("--keep-logs", action="store_true", help="keep the logs of all seeds")
    return parser


def _choose_plan(flags: argparse.Namespace, seed: int) -> SoakPlan | DiskSeriesPlan:
    if flags.disk_series:
        layout = _choose_layout(flags, Layout.from_seed(seed, DISK_LAYOUTS))
        return DiskSeriesPlan.from_seed(seed, layout, flags.backlog)
    layout = _choose_layout(flags, Layout.from_seed(seed, LAYOUTS))
    return SoakPlan.from_seed(seed, layout)


def _choose_layout(flags: argparse.Namespace, layout: Layout) -> Layout:
    if flags.controls:
        layout = Layout(flags.controls, flags.losses, layout.workers)
    if flags.workers is not None:
        layout = attrs.evolve(layout, workers=flags.workers)
    return layout


def main(arguments: list[str] | None = None) -> int:
    """Play the seeds one after the other; the exit status is 0 if all passed."""
    from tanagerpath.platform.soak_interface import PlatformInterface

    flags = make_parser().parse_args(arguments)
    results = [
        _run_one(
            _choose_plan(flags, seed),
            PlatformInterface(),
            flags.keep_logs,
        )
        for seed in range(flags.first, flags.first + flags.seeds)
    ]
    failed = [result.seed for result in results if result.has_failed]
    votes = [vote.elapsed_s for result in results for vote in result.votes]
    summary = {
        "seeds": len(results),
        "passed": len(results) - len(failed),
        "workloads": sum(result.workloads for result in results),
        "runs": sum(result.starts for result in results),
        "restarts_after_idle_expiry": sum(
            len(result.restarts_after_idle_expiry) for result in results
        ),
        "slowest_recovery_s": max(
            (one for result in results for one in result.recovered_s), default=None
        ),
        "failed_seeds": failed,
        "seeds_without_service": [result.seed for result in results if result.outages],
        "seeds_with_late_votes": [
            result.seed for result in results if result.late_votes
        ],
        "votes": len(votes),
        "late_votes": sum(len(result.late_votes) for result in results),
        "missing_votes": votes.count(None),
        "slowest_vote_s": max(filter(None, votes), default=None),
    }
    print(json.dumps(summary))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

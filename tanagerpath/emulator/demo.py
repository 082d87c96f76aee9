"""Demo: a deployment on loopback that loses its leader under load.

Starts three control and three entry processes and eight stand-in upstreams, submits
quick checks, gangs and batch jobs, kills the leader during it and starts it again with
the same data directory. The last line is JSON: the counts of the callers and of the
journals.
"""

import argparse
import json
import pathlib
import sys
import tempfile

import anyio

from tanagerpath.codecs import encode_value
from tanagerpath.emulator.cluster import Cluster
from tanagerpath.emulator.deployment import Deployment
from tanagerpath.emulator.load import LoadOptions, LoadTask, judge_load
from tanagerpath.emulator.load_plan import LoadReport

__all__ = ["main", "run_demo"]

KILL_AFTER_S = 3.0
RESTART_AFTER_S = 2.0


def _say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


async def run_demo(folder: pathlib.Path, jobs: int, rate_per_s: float) -> LoadReport:
    """Run the demo in a folder.

    Parameters
    ----------
    folder : pathlib.Path
        Empty folder for data directories, logs and journals.
    jobs : int
        Number of jobs.
    rate_per_s : float
        Jobs that fall due each second.

    Returns
    -------
    LoadReport
        Counts of the callers and the journals.
    """
    deployment = Deployment.from_folder(folder)
    options = LoadOptions(deployment.entry_addresses, jobs=jobs, rate_per_s=rate_per_s)
    load = LoadTask(options)
    async with Cluster.open(deployment) as cluster:
        await cluster.start_all()
        _say("3 control and 3 entry processes and 8 upstreams are ready")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(load.run)
            tasks.start_soon(_replace_leader, cluster)
        waited_s = await cluster.wait_for("idle", cluster.is_idle)
        _say(f"nothing is held {waited_s:.1f} s after the last answer")
    return judge_load([load.tally], deployment.journals)


async def _replace_leader(cluster: Cluster) -> None:
    await anyio.sleep(KILL_AFTER_S)
    leader_id = await cluster.find_leader()
    cluster.processes.kill(leader_id)
    _say(f"killed the leader {leader_id}")
    began_s = anyio.current_time()
    next_id = await cluster.find_leader()
    _say(f"{next_id} leads after {anyio.current_time() - began_s:.1f} s")
    await anyio.sleep(RESTART_AFTER_S)
    cluster.restart(leader_id)
    _say(f"started {leader_id} again")


def main(arguments: list[str] | None = None) -> int:
    """Run the demo and print its counts as one JSON line."""
    parser = argparse.ArgumentParser(
        prog="python -m tanagerpath.emulator.demo", description=__doc__
    )
    parser.add_argument("--jobs", type=int, default=240)
    parser.add_argument("--rate-per-s", type=float, default=20.0)
    parser.add_argument("--folder", help="keep logs and journals in this empty folder")
    flags = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(prefix="tanagerpath-demo-") as made:
        folder = pathlib.Path(flags.folder or made)
        report = anyio.run(run_demo, folder, flags.jobs, flags.rate_per_s)
    print(json.dumps(encode_value(report)))
    return 0 if report.sound else 1


if __name__ == "__main__":
    sys.exit(main())

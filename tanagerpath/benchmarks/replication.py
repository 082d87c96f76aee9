"""Commit latency, throughput and recovery of three replicas over loopback.

Run ``python -m tanagerpath.benchmarks.replication --directory DIR``. All replicas share
one event loop, so the figures include three times the processor work of one VM.
"""

import argparse
import os
import pathlib
import statistics
import tempfile
import time

import anyio
import attrs

from tanagerpath.services.tests.replica_group import open_group

__all__ = [
    "Latencies",
    "main",
    "measure_idle_share",
    "measure_latencies",
    "measure_recovery",
]

IDLE_S = 10.0
PAYLOAD_CHARS = 400  # about the size of an encoded job


@attrs.frozen
class Latencies:
    """Commit latencies of one run.

    Attributes
    ----------
    in_flight : int
        Commands that waited at the same time.
    p50_ms, p99_ms : float
        Milliseconds from the proposal to the commit.
    per_s : float
        Commands committed in a second.
    """

    in_flight: int
    p50_ms: float
    p99_ms: float
    per_s: float


async def measure_latencies(group, count: int, in_flight: int) -> Latencies:
    """Commit `count` commands with `in_flight` of them waiting at a time."""
    leader = group.replicas[await group.find_leader()]
    payload = "x" * PAYLOAD_CHARS
    durations_s: list[float] = []

    async def propose_some() -> None:
        for _ in range(count // in_flight):
            start_s = time.perf_counter()
            result = await leader.propose(payload)
            if isinstance(result, int):
                durations_s.append(time.perf_counter() - start_s)

    start_s = time.perf_counter()
    async with anyio.create_task_group() as tasks:
        for _ in range(in_flight):
            tasks.start_soon(propose_some)
    elapsed_s = time.perf_counter() - start_s
    cuts = statistics.quantiles(durations_s, n=100)
    return Latencies(
        in_flight, cuts[49] * 1e3, cuts[98] * 1e3, len(durations_s) / elapsed_s
    )


async def measure_idle_share(group, duration_s: float) -> float:
    """Return the share of one core that a group without commands uses."""
    await group.find_leader()
    start_s = time.process_time()
    await anyio.sleep(duration_s)
    return (time.process_time() - start_s) / duration_s


async def measure_recovery(group) -> float:
    """Drop the leader; return the seconds until the next one commits a command."""
    first = await group.find_leader()
    start_s = time.perf_counter()
    await group.stop(first)
    result = None
    while not isinstance(result, int):
        leader = group.replicas[await group.find_leader()]
        result = await leader.propose("after the loss", timeout_s=0.5)
    recovery_s = time.perf_counter() - start_s
    group.start(first)
    await anyio.sleep(1.0)
    return recovery_s


def measure_sync_ms(directory: pathlib.Path, count: int) -> float:
    """Return the median milliseconds of a write of 1 KB with fdatasync."""
    durations_s = []
    with (directory / "sync-probe").open("wb", buffering=0) as file:
        for _ in range(count):
            start_s = time.perf_counter()
            file.write(bytes(1024))
            os.fdatasync(file.fileno())
            durations_s.append(time.perf_counter() - start_s)
    return statistics.median(durations_s) * 1e3


async def _measure(directory: pathlib.Path, count: int, losses: int) -> None:
    print(f"write of 1 KB with fdatasync: p50 {measure_sync_ms(directory, 200):.2f} ms")
    async with open_group(directory) as group:
        for in_flight in (1, 64):
            await measure_latencies(group, 64, in_flight)
            found = await measure_latencies(group, count, in_flight)
            print(
                f"{in_flight} in flight: p50 {found.p50_ms:.2f} ms, "
                f"p99 {found.p99_ms:.2f} ms, {found.per_s:.0f} entries/s"
            )
        share = await measure_idle_share(group, IDLE_S)
        print(f"idle: {share:.1%} of a core for all three replicas")
        recoveries = [await measure_recovery(group) for _ in range(losses)]
    print(
        f"recovery after {losses} losses of the leader: "
        f"median {statistics.median(recoveries):.2f} s, max {max(recoveries):.2f} s"
    )


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--directory", type=pathlib.Path, help="parent of the files")
    parser.add_argument("--count", type=int, default=2048, help="commands of each run")
    parser.add_argument("--losses", type=int, default=10, help="losses of the leader")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=arguments.directory) as directory:
        anyio.run(_measure, pathlib.Path(directory), arguments.count, arguments.losses)


if __name__ == "__main__":
    main()

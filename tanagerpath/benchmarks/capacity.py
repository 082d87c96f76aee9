"""Measures what the control costs: ``python -m tanagerpath.benchmarks.capacity``.

Prints for each line the values at each size, the slope with its range over the repeats
and the load, and at the end one JSON line with all of them. `docs/CAPACITY.md` works
out from the slopes what the control costs at the size of two years from now.

Processor time is that of the measured thread or process, so other work on the machine
lengthens the run more than it changes the values. At most two processes are busy at the
same time.
"""

import argparse
import json
import os
import signal
import sys
import time

from tanagerpath.benchmarks.capacity_batches import (
    BatchProbe,
    ChangesOnlyEncoding,
    CompactFrameEncoding,
    JsonEncoding,
)
from tanagerpath.benchmarks.capacity_consensus import ConsensusProbe
from tanagerpath.benchmarks.capacity_core import CoordinatorProbe, GangProbe
from tanagerpath.benchmarks.capacity_placement import (
    EquivalenceClassProbe,
    PlacementProbe,
    ShortPlanProbe,
)
from tanagerpath.benchmarks.capacity_processes import EntryProbe, LeaderProbe
from tanagerpath.benchmarks.capacity_state import DocumentProbe, LogProbe, StateProbe
from tanagerpath.benchmarks.capacity_wire import (
    FeedPollProbe,
    LeanRenewalProbe,
    RenewalProbe,
)
from tanagerpath.benchmarks.slopes import MIN_REPEATS, MeasuredLine, Probe, run_probe

EXIT_TERMINATED = 143

__all__ = ["list_probes", "list_small_probes", "main", "run_probes"]


def list_probes(seed: int) -> list[Probe]:
    """Return all probes at their full sizes."""
    return [
        CoordinatorProbe(seed=seed),
        GangProbe(),
        PlacementProbe(seed=seed),
        EquivalenceClassProbe(),
        ShortPlanProbe(),
        StateProbe(),
        DocumentProbe(),
        LogProbe(),
        ConsensusProbe(seed=seed),
        RenewalProbe(),
        LeanRenewalProbe(),
        FeedPollProbe(),
        *_list_batch_probes(),
        EntryProbe(),
        LeaderProbe(),
    ]


def list_small_probes(seed: int) -> list[Probe]:
    """Return the probes of one process at sizes that take a few seconds in all."""
    return [
        CoordinatorProbe((15, 25), seed),
        GangProbe((16, 32)),
        PlacementProbe((15, 25), seed),
        EquivalenceClassProbe((5, 10)),
        ShortPlanProbe((2, 4)),
        StateProbe((5, 10)),
        DocumentProbe((5, 10)),
        LogProbe((1, 8)),
        ConsensusProbe((1, 4), seed),
        *_list_batch_probes(),
    ]


def _list_batch_probes() -> list[Probe]:
    encodings = (JsonEncoding(), ChangesOnlyEncoding(), CompactFrameEncoding())
    return [BatchProbe(encoding) for encoding in encodings]


def run_probes(probes: list[Probe], repeats: int) -> list[MeasuredLine]:
    """Run probes one after the other and print each line once it is measured."""
    lines: list[MeasuredLine] = []
    for probe in probes:
        for line in run_probe(probe, repeats):
            print(line.describe(), flush=True)
            lines.append(line)
    return lines


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m tanagerpath.benchmarks.capacity",
        description="Measure what the control costs, and how it grows.",
    )
    add = parser.add_argument
    add("--seed", type=int, default=1, help="seed of all random choices")
    add("--repeats", type=int, default=MIN_REPEATS, help="measurements at each size")
    add("--small", action="store_true", help="only a check of a few seconds")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the benchmark and return the exit status."""
    options = _make_parser().parse_args(arguments)
    begun_s = time.monotonic()
    load_before = os.getloadavg()
    choose = list_small_probes if options.small else list_probes
    lines = run_probes(choose(options.seed), options.repeats)
    summary = {
        "benchmark": "capacity",
        "seed": options.seed,
        "cores": os.cpu_count(),
        "load_average_before": load_before,
        "load_average_after": os.getloadavg(),
        "elapsed_s": round(time.monotonic() - begun_s, 1),
        "lines": {line.spec.name: line.summarize() for line in lines},
    }
    print(json.dumps(summary))
    return 0


if __name__ == "__main__":
    # As an exception, so that the started processes are ended too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    sys.exit(main())

"""Checks groups that lose as many disks as they tolerate, under seeded faults."""

import argparse
import json
import sys

import attrs

from tanagerpath.core.consensus import LossTolerance
from tanagerpath.core.consensus.disk_losses import ToleratedDiskLosses
from tanagerpath.core.consensus.harness import SimulatedGroup
from tanagerpath.core.consensus.invariants import InvariantMonitor, Violation
from tanagerpath.core.consensus.schedule import FaultSchedule

__all__ = ["GroupShape", "SeedOutcome", "run_seed"]

DURATION_S = 40.0
FOUNDERS = 3
# Small bounds, so that a few commands cause snapshots, chunks and several batches.
REPLICA_SETTINGS = {
    "replace_voter_after_s": 4.0,
    "snapshot_after_entries": 20,
    "retained_entries": 5,
    "max_batch_entries": 4,
    "snapshot_chunk_chars": 16,
}


@attrs.frozen
class GroupShape:
    """VMs with a disk, how many of them may be lost at once, and fault domains."""

    vms: int
    tolerated_vms: int
    fault_domains: int


# With and without learners, fewer disks than voters are wanted, and a single domain.
SHAPES = (
    GroupShape(3, 1, 3),
    GroupShape(6, 2, 3),
    GroupShape(8, 2, 4),
    GroupShape(4, 1, 1),
    GroupShape(6, 1, 3),
    GroupShape(7, 3, 2),
    GroupShape(5, 2, 5),
)


@attrs.frozen
class SeedOutcome:
    """What one seed has shown.

    Attributes
    ----------
    seed : int
        The seed; it chooses one of `SHAPES` as well.
    steps, emptied : int
        Steps of all replicas, and lost disks.
    violations : tuple of Violation
        Broken rules.
    is_whole : bool
        Whether the group became whole after the faults.
    """

    seed: int
    steps: int
    emptied: int
    violations: tuple[Violation, ...]
    is_whole: bool

    @property
    def has_failed(self) -> bool:
        """Whether a rule was broken or the group did not become whole."""
        return bool(self.violations) or not self.is_whole


def run_seed(seed: int) -> SeedOutcome:
    """Run one group under faults, and let it become whole."""
    shape = SHAPES[seed % len(SHAPES)]
    tolerance = LossTolerance(vms=shape.tolerated_vms)
    group = SimulatedGroup.from_seed(
        seed,
        shape.vms,
        founder_count=FOUNDERS,
        domain_count=shape.fault_domains,
        tolerated_losses=tolerance,
        **REPLICA_SETTINGS,
    )
    monitor = InvariantMonitor.attach(group)
    schedule = FaultSchedule(group, ToleratedDiskLosses(tolerance))
    schedule.run(DURATION_S)
    is_whole = schedule.heal_and_converge()
    return SeedOutcome(
        seed, group.steps, schedule.emptied, tuple(monitor.violations), is_whole
    )


def main(arguments: list[str] | None = None) -> int:
    """Run the check and print each failing seed and the totals."""
    parser = argparse.ArgumentParser(
        prog="python -m tanagerpath.benchmarks.voter_check",
        description="Check groups that lose as many disks as they tolerate.",
    )
    parser.add_argument("--seeds", type=int, default=50, help="number of seeds")
    parser.add_argument("--first-seed", type=int, default=1, help="first seed")
    options = parser.parse_args(arguments)
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    totals = {"seeds": 0, "steps": 0, "emptied": 0}
    failing = []
    for outcome in map(run_seed, seeds):
        totals["seeds"] += 1
        totals["steps"] += outcome.steps
        totals["emptied"] += outcome.emptied
        if outcome.has_failed:
            failing.append(outcome.seed)
            print(json.dumps(attrs.asdict(outcome)), flush=True)
    print(json.dumps({**totals, "failing_seeds": failing}))
    return 1 if failing else 0


if __name__ == "__main__":
    sys.exit(main())

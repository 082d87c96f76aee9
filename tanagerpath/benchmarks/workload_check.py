"""Seeded check of workloads over several control nodes, in virtual time.

``python -m tanagerpath.benchmarks.workload_check --seeds 50 --first 1`` prints the
violations of each seed with the events of their tasks, and a JSON line with the totals.
The exit status is 1 if a rule was broken. Starts after ends that count only if the
lease of an idle upstream can't expire are printed and do not change the exit status.
"""

import argparse
import json
import sys
import time

import attrs

from tanagerpath.benchmarks.workload_check_events import RunStarted
from tanagerpath.benchmarks.workload_check_faults import FaultSeries
from tanagerpath.benchmarks.workload_check_invariants import Violation
from tanagerpath.benchmarks.workload_check_world import CheckWorld

__all__ = ["CheckPlan", "SeedOutcome", "main", "run_seed"]

MAX_TRACES = 2


@attrs.frozen
class CheckPlan:
    """Length of the run of one seed.

    Attributes
    ----------
    calm_s, faults_s : float
        Virtual seconds before and under faults.
    settle_limit_s : float
        Virtual seconds after the faults in which every workload has to end.
    """

    calm_s: float = 2.0
    faults_s: float = 45.0
    settle_limit_s: float = 60.0


@attrs.frozen(kw_only=True)
class SeedOutcome:
    """Result of one seed.

    Attributes
    ----------
    seed : int
        The seed.
    digest : str
        Digest of all events.
    workloads, starts, steps : int
        Workloads that were submitted, starts on upstreams, and steps of the nodes.
    virtual_s : float
        Virtual seconds.
    has_leader : bool
        False if workloads are unfinished because the group regained no leader.
    violations, strict_violations : tuple of Violation
        Broken rules, and starts after ends that only the strict reading counts.
    traces : dict of str to list of str
        Events of the first tasks or workloads with a violation.
    """

    seed: int
    digest: str
    workloads: int
    starts: int
    steps: int
    virtual_s: float
    has_leader: bool
    violations: tuple[Violation, ...]
    strict_violations: tuple[Violation, ...]
    traces: dict[str, list[str]]


def run_seed(seed: int, plan: CheckPlan | None = None, shown: str = "") -> SeedOutcome:
    """Run one seed under faults, and let it settle.

    Parameters
    ----------
    seed : int
        The seed.
    plan : CheckPlan, optional
        Length of the run.
    shown : str, optional
        Task or workload whose events are in the traces in any case.
    """
    plan = plan or CheckPlan()
    world = CheckWorld(seed)
    world.begin()
    world.group.run_for(plan.calm_s)
    FaultSeries(world).begin()
    world.group.run_for(plan.faults_s)
    world.heal()
    has_leader = world.settle(plan.settle_limit_s)
    return _summarise(seed, world, has_leader, shown)


def _summarise(
    seed: int, world: CheckWorld, has_leader: bool, shown: str
) -> SeedOutcome:
    rulebook, history = world.rulebook, world.history
    subjects = [violation.subject for violation in rulebook.violations[:MAX_TRACES]]
    if shown:
        subjects.append(shown)
    return SeedOutcome(
        seed=seed,
        digest=history.digest,
        workloads=len(world.callers),
        starts=sum(isinstance(event, RunStarted) for event in history.events),
        steps=world.group.steps,
        virtual_s=round(world.group.now_s, 3),
        has_leader=has_leader,
        violations=tuple(rulebook.violations),
        strict_violations=tuple(rulebook.strict_violations),
        traces={subject: history.describe(subject) for subject in subjects},
    )


@attrs.define
class Totals:
    """Sums over all seeds."""

    seeds: int = 0
    workloads: int = 0
    starts: int = 0
    steps: int = 0
    violations: dict[str, int] = attrs.field(factory=dict)
    misdirected_starts: int = 0
    strict_twice: dict[str, int] = attrs.field(factory=dict)
    failing_seeds: list[int] = attrs.field(factory=list)
    strict_seeds: list[int] = attrs.field(factory=list)
    leaderless_seeds: list[int] = attrs.field(factory=list)

    def add(self, outcome: SeedOutcome) -> None:
        """Add the outcome of a seed."""
        self.seeds += 1
        self.workloads += outcome.workloads
        self.starts += outcome.starts
        self.steps += outcome.steps
        for violation in outcome.violations:
            self._count(self.violations, violation)
            self.misdirected_starts += violation.is_misdirected
        for violation in outcome.strict_violations:
            self._count(self.strict_twice, violation)
        if outcome.violations:
            self.failing_seeds.append(outcome.seed)
        if outcome.strict_violations:
            self.strict_seeds.append(outcome.seed)
        if not outcome.has_leader:
            self.leaderless_seeds.append(outcome.seed)

    def _count(self, counts: dict[str, int], violation: Violation) -> None:
        counts[violation.rule] = counts.get(violation.rule, 0) + 1


def _print_outcome(outcome: SeedOutcome) -> None:
    for violation in (*outcome.violations, *outcome.strict_violations):
        origin = (
            ", order for an earlier incarnation" if violation.is_misdirected else ""
        )
        print(
            f"seed {outcome.seed}, {violation.rule}, {violation.at_s:.3f} s, "
            f"{violation.subject}{origin}: {violation.detail}"
        )
    for subject, lines in outcome.traces.items():
        print(f"seed {outcome.seed}, events of {subject}:")
        for line in lines:
            print(f"  {line}")
    if not outcome.has_leader:
        print(f"seed {outcome.seed} regained no leader")
    sys.stdout.flush()


def main(arguments: list[str] | None = None) -> int:
    """Run the check, and print the violations and the totals."""
    parser = argparse.ArgumentParser(
        prog="python -m tanagerpath.benchmarks.workload_check",
        description="Check workloads over several control nodes under seeded faults.",
    )
    parser.add_argument("--seeds", type=int, default=50, help="number of seeds")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--show", default="", help="task or workload to trace")
    options = parser.parse_args(arguments)
    started_s = time.perf_counter()
    totals = Totals()
    for seed in range(options.first, options.first + options.seeds):
        outcome = run_seed(seed, shown=options.show)
        totals.add(outcome)
        _print_outcome(outcome)
    elapsed_s = round(time.perf_counter() - started_s, 1)
    print(json.dumps({**attrs.asdict(totals), "elapsed_s": elapsed_s}))
    return 1 if totals.failing_seeds else 0


if __name__ == "__main__":
    sys.exit(main())

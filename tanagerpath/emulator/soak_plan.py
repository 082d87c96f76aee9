"""Seeded plans of the fault soak, without input or output."""

import random

import attrs

from tanagerpath.emulator.soak_faults import FAULTS, LEADER, FaultStep
from tanagerpath.emulator.soak_worker_faults import WorkerFaultStep

__all__ = ["LAYOUTS", "FinalFault", "Layout", "SoakPlan"]

PAUSE_MAX_S = 2.0
DURATION_MIN_S = 0.2
DURATION_MAX_S = 3.0
KILL_ALL_SHARE = 0.3
# Above the time after which the other control processes elect another leader.
LEADER_DURATION_MIN_S = 1.0
LEADER_DURATION_MAX_S = 6.0
LEADER_PAUSE_MAX_S = 3.0
# Faults of workers begin as long as a seed may take.
WORKER_STEPS = 120
WORKER_PAUSE_MAX_S = 4.0
# Workers that are affected at once, as one part of all.
AFFECTED_PART = 3


@attrs.frozen
class Layout:
    """Size of a deployment.

    Attributes
    ----------
    controls : int
        Control processes, spread over three availability zones.
    tolerated_losses : int
        VMs with a disk that may be lost at the same time, as the settings say.
    workers : int
        Stand-in workers; without any, workloads stay queued.
    """

    controls: int
    tolerated_losses: int
    workers: int = 0

    @classmethod
    def from_seed(cls, seed: int, layouts: tuple["Layout", ...]) -> "Layout":
        """Return one of some layouts in turn."""
        return layouts[seed % len(layouts)]

    @property
    def vm_ids(self) -> tuple[str, ...]:
        """Names of the VMs with a control process."""
        return tuple(f"c{number}" for number in range(1, self.controls + 1))

    @property
    def worker_ids(self) -> tuple[str, ...]:
        """Names of the workers."""
        return tuple(f"w{number}" for number in range(1, self.workers + 1))


LAYOUTS = (Layout(3, 1, 8), Layout(5, 2, 8), Layout(6, 2, 8))


@attrs.frozen
class FinalFault:
    """Disks that are lost at the end while all other control processes are killed."""

    wiped: tuple[str, ...]
    down_s: float


@attrs.frozen
class SoakPlan:
    """What one seed plays.

    Attributes
    ----------
    seed : int
        The seed.
    layout : Layout
        Size of the deployment.
    series : tuple of tuple of FaultStep
        Faults that overlap; service is checked after each series.
    kills_all : tuple of bool
        For each series, whether all control processes are killed after it.
    final : FinalFault
        The last fault.
    leader_series : tuple of FaultStep
        Faults of the process that leads when they begin, after the series; empty
        without workers.
    worker_steps : tuple of WorkerFaultStep
        Faults of workers, which begin one after the other until the last fault of the
        control processes is over.
    """

    seed: int
    layout: Layout
    series: tuple[tuple[FaultStep, ...], ...]
    kills_all: tuple[bool, ...]
    final: FinalFault
    leader_series: tuple[FaultStep, ...] = ()
    worker_steps: tuple[WorkerFaultStep, ...] = ()

    @classmethod
    def from_seed(
        cls,
        seed: int,
        layout: Layout | None = None,
        series_count: int = 2,
        steps_count: int = 5,
        leader_steps_count: int = 4,
    ) -> "SoakPlan":
        """Draw a plan.

        Parameters
        ----------
        seed : int
            The same seed gives the same plan.
        layout : Layout, optional
            Size of the deployment; one of `LAYOUTS` in turn by default.
        series_count : int
            Number of series.
        steps_count : int
            Faults in each series.
        leader_steps_count : int
            Faults of the process that leads, if there are workers.
        """
        source = random.Random(seed)
        layout = layout or Layout.from_seed(seed, LAYOUTS)
        series = tuple(
            tuple(_draw_step(source, layout) for _ in range(steps_count))
            for _ in range(series_count)
        )
        kills_all = tuple(source.random() < KILL_ALL_SHARE for _ in series)
        wiped = tuple(source.sample(layout.vm_ids, layout.tolerated_losses))
        final = FinalFault(wiped, _draw_duration_s(source))
        plan = cls(seed, layout, series, kills_all, final)
        if not layout.workers:
            return plan
        return attrs.evolve(
            plan,
            leader_series=tuple(
                _draw_leader_step(source) for _ in range(leader_steps_count)
            ),
            worker_steps=tuple(
                _draw_worker_step(source, layout) for _ in range(WORKER_STEPS)
            ),
        )


def _draw_step(source: random.Random, layout: Layout) -> FaultStep:
    fault = source.choice(FAULTS)
    vm_id = source.choice(layout.vm_ids)
    pause_s = source.uniform(0.0, PAUSE_MAX_S)
    return FaultStep(fault, vm_id, pause_s, _draw_duration_s(source))


def _draw_leader_step(source: random.Random) -> FaultStep:
    fault = source.choice([one for one in FAULTS if one.is_loss])
    pause_s = source.uniform(0.0, LEADER_PAUSE_MAX_S)
    duration_s = source.uniform(LEADER_DURATION_MIN_S, LEADER_DURATION_MAX_S)
    return FaultStep(fault, LEADER, pause_s, duration_s)


def _draw_worker_step(source: random.Random, layout: Layout) -> WorkerFaultStep:
    max_affected = max(1, layout.workers // AFFECTED_PART)
    return WorkerFaultStep.from_source(
        source, layout.worker_ids, max_affected, WORKER_PAUSE_MAX_S
    )


def _draw_duration_s(source: random.Random) -> float:
    return source.uniform(DURATION_MIN_S, DURATION_MAX_S)

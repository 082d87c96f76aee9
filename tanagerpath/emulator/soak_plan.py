"""Seeded plans of the fault soak, without input or output."""

import random

import attrs

from tanagerpath.emulator.soak_faults import FAULTS, FaultStep

__all__ = ["LAYOUTS", "FinalFault", "Layout", "SoakPlan"]

PAUSE_MAX_S = 2.0
DURATION_MIN_S = 0.2
DURATION_MAX_S = 3.0
KILL_ALL_SHARE = 0.3


@attrs.frozen
class Layout:
    """Size of a deployment.

    Attributes
    ----------
    controls : int
        Control processes, spread over three availability zones.
    tolerated_losses : int
        VMs with a disk that may be lost at the same time, as the settings say.
    """

    controls: int
    tolerated_losses: int

    @property
    def vm_ids(self) -> tuple[str, ...]:
        """Names of the VMs with a control process."""
        return tuple(f"c{number}" for number in range(1, self.controls + 1))


LAYOUTS = (Layout(3, 1), Layout(5, 2), Layout(6, 2))


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
    """

    seed: int
    layout: Layout
    series: tuple[tuple[FaultStep, ...], ...]
    kills_all: tuple[bool, ...]
    final: FinalFault

    @classmethod
    def from_seed(
        cls,
        seed: int,
        layout: Layout | None = None,
        series_count: int = 2,
        steps_count: int = 5,
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
        """
        source = random.Random(seed)
        layout = layout or LAYOUTS[seed % len(LAYOUTS)]
        series = tuple(
            tuple(_draw_step(source, layout) for _ in range(steps_count))
            for _ in range(series_count)
        )
        kills_all = tuple(source.random() < KILL_ALL_SHARE for _ in series)
        wiped = tuple(source.sample(layout.vm_ids, layout.tolerated_losses))
        final = FinalFault(wiped, _draw_duration_s(source))
        return cls(seed, layout, series, kills_all, final)


def _draw_step(source: random.Random, layout: Layout) -> FaultStep:
    fault = source.choice(FAULTS)
    vm_id = source.choice(layout.vm_ids)
    pause_s = source.uniform(0.0, PAUSE_MAX_S)
    return FaultStep(fault, vm_id, pause_s, _draw_duration_s(source))


def _draw_duration_s(source: random.Random) -> float:
    return source.uniform(DURATION_MIN_S, DURATION_MAX_S)

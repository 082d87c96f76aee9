"""Kinds of workload and fleets of upstreams for replays."""

import statistics

import attrs

from tanagerpath.core.workloads.resources import Resources

__all__ = ["FLEETS", "Fleet", "WorkloadKind"]


@attrs.frozen(kw_only=True)
class WorkloadKind:
    """One kind of workload that callers submit.

    Attributes
    ----------
    queue : str
        Queue of the rig that it goes to.
    rate_per_s : float
        Mean submissions in a second.
    width, work_s, work_spread : float
        Mean number of tasks, mean seconds of one task, and the spread of its logarithm.
    width_max, work_max_s : float
        Upper bounds of both.
    cpu_millicores, memory_mb : int
        What a task takes.
    accelerators : tuple of int
        Accelerators of a task, drawn with equal chance.
    gang, same_rack, checkpointing, cancelled, pinned : float
        Shares of workloads that are so.
    declared_spread : float
        Spread of the logarithm of the declared over the true run time.
    failing : float
        Share of runs that fail.
    credit, late_credit : float
        What a workload of mean size earns in time and late.
    factor, margin_s : float
        Objective in multiples of the work, and what is added.
    burst : float
        Multiple of the rate during the burst.
    tail_share, tail_factor : float
        Share of workloads that run longer than declared, and by which factor.
    """

    queue: str
    rate_per_s: float
    width: float
    width_max: int
    work_s: float
    work_spread: float
    work_max_s: float
    cpu_millicores: int
    memory_mb: int
    accelerators: tuple[int, ...]
    gang: float = 0.0
    same_rack: float = 0.0
    checkpointing: float = 0.0
    cancelled: float = 0.0
    pinned: float = 0.0
    declared_spread: float = 0.5
    failing: float = 0.02
    credit: float = 1.0
    late_credit: float = 0.5
    factor: float = 3.0
    margin_s: float = 1.0
    burst: float = 1.0
    tail_share: float = 0.0
    tail_factor: float = 1.0

    @property
    def mean_cores_s(self) -> float:
        """Core seconds of a workload of mean size."""
        mean = Resources(
            self.cpu_millicores,
            0,
            round(statistics.mean(self.accelerators)),
        )
        return self.width * self.work_s * mean.weighted_cores


@attrs.frozen(kw_only=True)
class Fleet:
    """Upstreams of a day and the kinds of workload that it carries.

    Attributes
    ----------
    speeds : tuple of float
        Speeds of the upstreams, dealt out in turn.
    capacity : Resources
        Room of each upstream.
    kinds : tuple of WorkloadKind
        What callers submit.
    checkpoint_interval_s, restore_s : float
        Work between two checkpoints, and the time to resume from one.
    upstreams : int
        Number of upstreams, in racks of eight.
    swing, period_s : float
        Amplitude of the wave of all rates as a share of the mean, and its period.
    organisations : int
        Number of organisations, which share the guaranteed accelerators equally.
    """

    speeds: tuple[float, ...]
    capacity: Resources
    kinds: tuple[WorkloadKind, ...]
    checkpoint_interval_s: float
    restore_s: float
    upstreams: int = 24
    swing: float = 0.0
    period_s: float = 17.0
    organisations: int = 4


FEW_FAST = Fleet(
    speeds=(0.7, 0.7, 1.7),
    capacity=Resources(128_000, 524_288, 8),
    checkpoint_interval_s=0.5,
    restore_s=0.25,
    kinds=(
        WorkloadKind(
            queue="urgent",
            rate_per_s=1.19,
            width=3.0,
            width_max=21,
            work_s=2.5,
            work_spread=0.5,
            work_max_s=8.0,
            cpu_millicores=15_000,
            memory_mb=61_000,
            accelerators=(1, 2, 4, 8, 8),
            gang=1.0,
            same_rack=0.8,
            declared_spread=0.9,
            credit=4.0,
            late_credit=0.8,
            factor=1.5,
            margin_s=0.25,
            burst=2.3,
        ),
        WorkloadKind(
            queue="batch",
            rate_per_s=0.251,
            width=5.0,
            width_max=30,
            work_s=11.0,
            work_spread=0.3,
            work_max_s=11.0,
            cpu_millicores=52_000,
            memory_mb=210_000,
            accelerators=(1, 2, 4, 8, 8),
            gang=1.0,
            same_rack=0.6,
            checkpointing=0.45,
            cancelled=0.05,
            pinned=0.15,
            declared_spread=0.9,
            credit=3.0,
            late_credit=1.5,
        ),
        WorkloadKind(
            queue="scan",
            rate_per_s=0.369,
            width=16.0,
            width_max=94,
            work_s=6.1,
            work_spread=0.3,
            work_max_s=11.0,
            cpu_millicores=11_000,
            memory_mb=59_000,
            accelerators=(1,),
            checkpointing=0.45,
            cancelled=0.15,
            pinned=0.06,
            margin_s=3.0,
        ),
    ),
)
FEW_SLOW = Fleet(
    speeds=(0.55, 1.2, 1.2, 1.2),
    capacity=Resources(64_000, 262_144, 8),
    checkpoint_interval_s=2.0,
    restore_s=0.6,
    kinds=(
        attrs.evolve(
            FEW_FAST.kinds[0], rate_per_s=1.2, cpu_millicores=7_500, memory_mb=31_000
        ),
        attrs.evolve(
            FEW_FAST.kinds[1],
            rate_per_s=0.343,
            width=4.0,
            width_max=24,
            cpu_millicores=26_000,
            memory_mb=140_000,
            declared_spread=0.5,
            late_credit=0.3,
        ),
        attrs.evolve(
            FEW_FAST.kinds[2],
            rate_per_s=0.531,
            width=12.0,
            width_max=72,
            cpu_millicores=5_600,
            memory_mb=23_000,
            failing=0.05,
            late_credit=0.1,
            burst=1.8,
        ),
    ),
)
# Large tasks fill more than half of the memory of an upstream.
MEMORY_BOUND = Fleet(
    speeds=(0.8, 1.0, 1.25),
    capacity=Resources(32_000, 131_072, 8),
    checkpoint_interval_s=0.5,
    restore_s=0.6,
    upstreams=176,
    swing=0.55,
    period_s=17.0,
    organisations=10,
    kinds=(
        WorkloadKind(
            queue="urgent",
            rate_per_s=4.84,
            width=5.4,
            width_max=32,
            work_s=2.1,
            work_spread=0.5,
            work_max_s=22.0,
            cpu_millicores=3_700,
            memory_mb=11_000,
            accelerators=(1, 2, 4, 8, 8),
            gang=1.0,
            same_rack=0.8,
            declared_spread=0.2,
            failing=0.05,
            credit=4.0,
            late_credit=0.8,
            factor=1.5,
            margin_s=0.3,
            burst=2.1,
            tail_share=0.03,
            tail_factor=7.0,
        ),
        WorkloadKind(
            queue="batch",
            rate_per_s=0.912,
            width=13.0,
            width_max=78,
            work_s=7.2,
            work_spread=0.3,
            work_max_s=76.0,
            cpu_millicores=13_000,
            memory_mb=68_000,
            accelerators=(1, 2, 4, 8, 8),
            gang=1.0,
            same_rack=0.6,
            checkpointing=0.45,
            cancelled=0.05,
            credit=3.0,
            late_credit=1.5,
            tail_share=0.03,
            tail_factor=7.0,
        ),
        WorkloadKind(
            queue="scan",
            rate_per_s=0.898,
            width=51.0,
            width_max=230,
            work_s=6.5,
            work_spread=0.3,
            work_max_s=68.0,
            cpu_millicores=2_800,
            memory_mb=15_000,
            accelerators=(1,),
            checkpointing=0.45,
            cancelled=0.15,
            declared_spread=0.9,
            failing=0.005,
            margin_s=3.0,
            tail_share=0.03,
            tail_factor=7.0,
        ),
    ),
)
# A third of the upstreams is more than twice as fast as the others.
UNEVEN_SPEEDS = Fleet(
    speeds=(0.7, 0.7, 1.7),
    capacity=Resources(64_000, 131_072, 8),
    checkpoint_interval_s=1.0,
    restore_s=0.25,
    upstreams=176,
    swing=0.15,
    period_s=11.0,
    organisations=10,
    kinds=(
        attrs.evolve(
            MEMORY_BOUND.kinds[0],
            rate_per_s=2.34,
            work_s=2.5,
            work_max_s=8.0,
            cpu_millicores=7_500,
            memory_mb=20_000,
            failing=0.02,
            margin_s=0.25,
            tail_share=0.0,
        ),
        attrs.evolve(
            MEMORY_BOUND.kinds[1],
            rate_per_s=0.688,
            work_s=8.5,
            work_max_s=11.0,
            cpu_millicores=26_000,
            memory_mb=38_000,
            declared_spread=0.9,
            failing=0.005,
            late_credit=0.9,
            tail_share=0.0,
        ),
        attrs.evolve(
            MEMORY_BOUND.kinds[2],
            rate_per_s=0.539,
            work_s=9.5,
            work_max_s=11.0,
            cpu_millicores=5_600,
            memory_mb=8_200,
            declared_spread=0.5,
            late_credit=0.3,
            tail_share=0.0,
        ),
    ),
)
FLEETS = {
    "few-fast": FEW_FAST,
    "few-slow": FEW_SLOW,
    "memory-bound": MEMORY_BOUND,
    "uneven-speeds": UNEVEN_SPEEDS,
}

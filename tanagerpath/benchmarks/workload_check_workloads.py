"""Workloads and the configuration of the workload check."""

import random

from tanagerpath.core.workloads.configuration import (
    Configuration,
    Organisation,
    Pool,
    Queue,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec, WorkloadSpec

__all__ = [
    "API_KEY",
    "HOST",
    "MAX_ATTEMPTS",
    "QUEUES",
    "draw_workload",
    "make_configuration",
]

HOST = "h"
API_KEY = "k"
POOL = "sort"
# Name, priority and objective factor.
QUEUES = (("urgent", 0, 1.5), ("batch", 1, 3.0), ("scan", 2, 3.0))
# Priority and objective factor of queues that are removed again.
EXTRA_QUEUE_TERMS = (2, 3.0)
MAX_ATTEMPTS = 3


def make_configuration(
    version: int = 1, extra_queues: tuple[str, ...] = ()
) -> Configuration:
    """Return a configuration of the check.

    Parameters
    ----------
    version : int
        Version of the configuration.
    extra_queues : tuple of str
        Names of queues beside `QUEUES`.
    """
    extra = tuple((name, *EXTRA_QUEUE_TERMS) for name in extra_queues)
    queues = tuple(
        Queue(
            name=name,
            host=HOST,
            prefix=f"/{name}/",
            pool=POOL,
            priority=priority,
            max_attempts=MAX_ATTEMPTS,
            objective_factor=factor,
            objective_margin_s=0.25,
        )
        for name, priority, factor in (*QUEUES, *extra)
    )
    organisation = Organisation(
        name="couriers", api_keys=(API_KEY,), guaranteed=Resources(accelerators=16)
    )
    return Configuration(
        version=version,
        queues=queues,
        pools=(Pool(name=POOL),),
        organisations=(organisation,),
    )


def draw_workload(
    source: random.Random, workload_id: str, upstreams: int
) -> WorkloadSpec:
    """Draw single tasks, a gang or dependent steps.

    Parameters
    ----------
    source : Random
        Source of the draws.
    workload_id : str
        Identity of the workload.
    upstreams : int
        Number of upstreams. A gang fits while two thirds of them are up.
    """
    kind = source.choice(("single", "tasks", "gang", "gang", "steps", "steps"))
    steps = 1 if kind != "steps" else source.randint(2, 3)
    is_gang = kind == "gang"
    return WorkloadSpec(
        workload_id=workload_id,
        steps=tuple(
            _draw_step(
                source, number, kind, is_gang or source.random() < 0.3, upstreams
            )
            for number in range(steps)
        ),
    )


def _draw_step(
    source: random.Random, number: int, kind: str, is_gang: bool, upstreams: int
) -> StepSpec:
    is_gang = is_gang and kind != "single"
    accelerators = source.choice((1, 1, 1, 2, 4, 8))
    most = min(6, upstreams * 2 // 3) if accelerators == 8 else 6
    return StepSpec(
        count=1 if kind == "single" else source.randint(2, max(most, 2)),
        needs=Resources(8000, 16_000, accelerators),
        declared_run_s=1.0,
        depends_on=(number - 1,) if number else (),
        gang=is_gang,
        checkpointing=source.random() < 0.4,
    )

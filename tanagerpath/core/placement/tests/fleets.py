"""Small fleets and jobs shared by the placement tests."""

import itertools

from tanagerpath.core.model import (
    AcceleratorRun,
    Assignment,
    GuaranteedShape,
    JobRequest,
    UpstreamCapacity,
    UpstreamLocation,
)
from tanagerpath.core.placement import (
    GuaranteeScheduler,
    PendingJob,
    PlaceJob,
    SchedulerConfig,
    UpstreamCondition,
)

QUOTAS = {"red": 400, "blue": 400}


def make_upstream(name, rack=0, position=0, zone="a", **properties):
    return UpstreamCapacity(name, UpstreamLocation(zone, rack, position), **properties)


def make_fleet(racks, width=8, zone="a"):
    """Return racks of `width` upstreams named u000, u001 and so on."""
    places = itertools.product(range(racks), range(width))
    return [
        make_upstream(f"u{number:03}", rack, position, zone)
        for number, (rack, position) in enumerate(places)
    ]


def make_scheduler(
    fleet, guarantees=None, quotas=None, kind=GuaranteeScheduler, **settings
):
    scheduler = kind.from_config(SchedulerConfig(**settings))
    for upstream in fleet:
        scheduler.update_upstream(upstream, UpstreamCondition.USABLE, 0.0)
    scheduler.update_guarantees(guarantees or {}, quotas or QUOTAS)
    return scheduler


def make_job(job_id, accelerators=1, at_s=0.0, deadline_s=None, **properties):
    properties.setdefault("organisation", "red")
    request = JobRequest(
        service=properties.pop("service", "train"),
        key=job_id,
        accelerators=accelerators,
        **properties,
    )
    return PendingJob(job_id, request, at_s, deadline_s)


def make_assignment(*upstream_ids):
    return Assignment(tuple(AcceleratorRun(name, 0, 8) for name in upstream_ids))


def shapes(*sizes):
    return tuple(GuaranteedShape(size) for size in sizes)


def submit_all(scheduler, jobs, now_s=0.0):
    for job in jobs:
        scheduler.submit(job, now_s).unwrap()


def list_placed(decisions):
    return {
        each.job_id: each.assignment for each in decisions if isinstance(each, PlaceJob)
    }


def list_preempted(decisions):
    return {each.job_id for each in decisions if not isinstance(each, PlaceJob)}

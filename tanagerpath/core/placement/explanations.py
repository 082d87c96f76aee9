"""Explanations of why a job waits or where it is placed."""

from tanagerpath.core.placement.context import PolicyContext
from tanagerpath.core.placement.scheduler import PendingJob

__all__ = ["explain_job"]


def explain_job(context: PolicyContext, job_id: str) -> str:
    """Return one or two sentences on a job.

    Parameters
    ----------
    context : PolicyContext
        State of the scheduler.
    job_id : str
        The job.

    Returns
    -------
    str
        The explanation, also for an unknown job.
    """
    held = context.occupancy.jobs.get(job_id)
    if held is not None:
        names = ", ".join(held.assignment.upstream_ids)
        preempting = " It is being preempted for other jobs." if held.preempting else ""
        return f"Placed on {names}.{preempting}"
    hold = context.holds.holds.get(job_id)
    if hold is not None:
        names = ", ".join(hold.assignment.upstream_ids)
        return f"Waits until preempted jobs have released {names}."
    job = context.queue.jobs.get(job_id)
    if job is None:
        return "Not known to the scheduler."
    return _explain_waiting(context, job)


def _explain_waiting(context: PolicyContext, job: PendingJob) -> str:
    request = job.request
    if context.health.is_job_backing_off(job.job_id, context.now_s):
        return "Held back: it failed to start on several distinct upstreams."
    topology = context.occupancy.topology
    if not topology.could_hold(request):
        return (
            f"No registered hardware can hold {request.accelerators} adjacent "
            "accelerators any more."
        )
    needed = topology.count_required(request.accelerators)
    quota = context.quotas.get(request.organisation, 0)
    left = context.count_quota_left(request.organisation)
    if left < needed:
        return (
            f"Waits for quota: organisation {request.organisation!r} holds "
            f"{quota - left} of {quota} accelerators and the job needs {needed}."
        )
    if not context.leaves_quota_for_claims(job, needed):
        return (
            f"Waits for quota: the rest of the quota of organisation "
            f"{request.organisation!r} is kept for its guaranteed shapes."
        )
    return _explain_waiting_for_room(context, job)


def _explain_waiting_for_room(context: PolicyContext, job: PendingJob) -> str:
    request = job.request
    reservation = context.reservations.by_job.get(job.job_id)
    if reservation is not None:
        names = ", ".join(reservation.assignment.upstream_ids)
        wait_s = max(reservation.available_at_s - context.now_s, 0.0)
        return f"Has a reservation on {names}, expected in {wait_s:.0f} s."
    ahead = context.queue.count_ahead(job, context.now_s)
    kind = "" if request.preemptible else " outside the runs planned for guarantees"
    return (
        f"Waits for {request.accelerators} adjacent accelerators{kind}; "
        f"{ahead} jobs are ahead of it."
    )

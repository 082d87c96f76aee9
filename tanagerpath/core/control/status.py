"""Status of the whole system, as the leader reports it."""

import collections

from tanagerpath.core.consensus import Replica
from tanagerpath.core.coordination import Coordinator
from tanagerpath.core.model import JobState
from tanagerpath.core.protocol.internal import (
    OrganisationStatus,
    StatusReply,
    UpstreamStatus,
)
from tanagerpath.core.state import SystemState

__all__ = ["describe_status"]


def describe_status(
    replica: Replica,
    state: SystemState,
    coordinator: Coordinator,
    event_counts: collections.Counter[str],
) -> StatusReply:
    """Return the status of voters, jobs, upstreams and organisations."""
    held_by_upstream: collections.Counter[str] = collections.Counter()
    held_by_organisation: collections.Counter[str] = collections.Counter()
    queued_by_organisation: collections.Counter[str] = collections.Counter()
    for attempt in coordinator.attempts.values():
        for run in attempt.assignment.runs:
            held_by_upstream[run.upstream_id] += run.count
        organisation = attempt.request.organisation
        held_by_organisation[organisation] += attempt.assignment.accelerators
    for record in state.list_open_jobs():
        if record.state is JobState.ACCEPTED:
            queued_by_organisation[record.request.organisation] += 1
    unmet = collections.Counter(
        failure.organisation for failure in coordinator.list_unmet_guarantees()
    )
    return StatusReply(
        leader_id=replica.replica_id,
        term=replica.term,
        log_index=state.applied_index,
        voters=replica.voters,
        queued_jobs=queued_by_organisation.total(),
        running_jobs=len(coordinator.attempts),
        upstreams=_describe_upstreams(coordinator, held_by_upstream),
        organisations=tuple(
            OrganisationStatus(
                organisation=name,
                quota_accelerators=quota,
                held_accelerators=held_by_organisation[name],
                queued_jobs=queued_by_organisation[name],
                unmet_guarantees=unmet[name],
            )
            for name, quota in sorted(state.merge_quotas().items())
        ),
        refusals=tuple(sorted(event_counts.items())),
    )


def _describe_upstreams(
    coordinator: Coordinator, held: collections.Counter[str]
) -> tuple[UpstreamStatus, ...]:
    statuses = []
    for upstream_id, session in sorted(coordinator.fleet.sessions.items()):
        capacity = session.announcement.capacity
        statuses.append(
            UpstreamStatus(
                upstream_id=upstream_id,
                availability_zone=capacity.location.availability_zone,
                rack=capacity.location.rack,
                position=capacity.location.position,
                condition=str(coordinator.fleet.find_condition(upstream_id)),
                accelerators=capacity.accelerators,
                held=held[upstream_id],
            )
        )
    return tuple(statuses)

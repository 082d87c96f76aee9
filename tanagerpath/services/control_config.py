"""Configurations of the core from the settings of a control process."""

from tanagerpath.core.consensus import ReplicaConfig
from tanagerpath.core.control import ControlNodeConfig
from tanagerpath.core.coordination import (
    AttemptConfig,
    ConclusionConfig,
    CoordinatorConfig,
    LeaseConfig,
)
from tanagerpath.core.placement import GuaranteeScheduler, Scheduler, SchedulerConfig
from tanagerpath.settings import ControlSettings

__all__ = ["make_node_config", "make_scheduler"]


def _make_replica_config(settings: ControlSettings) -> ReplicaConfig:
    vms = {c.vm_id: c.address for c in settings.control_addresses}
    return ReplicaConfig(
        vm_id=settings.vm_id,
        address=vms[settings.vm_id],
        vms=vms,
        heartbeat_interval_s=settings.heartbeat_interval_s,
        election_timeout_min_s=settings.election_timeout_min_s,
        election_timeout_max_s=settings.election_timeout_max_s,
        lease_duration_s=settings.lease_duration_s,
        replace_voter_after_s=settings.replace_voter_after_s,
        snapshot_after_entries=settings.snapshot_every_entries,
    )


def _make_coordinator_config(settings: ControlSettings) -> CoordinatorConfig:
    return CoordinatorConfig(
        leases=LeaseConfig(
            lease_s=settings.upstream_lease_s,
            renew_interval_s=settings.upstream_renew_interval_s,
            clock_margin_s=settings.clock_margin_s,
        ),
        attempts=AttemptConfig(
            reservation_lapse_s=settings.reservation_lapse_s,
            start_timeout_s=settings.start_timeout_s,
        ),
        conclusions=ConclusionConfig(job_retention_s=settings.job_retention_s),
    )


def make_node_config(settings: ControlSettings) -> ControlNodeConfig:
    """Return the configuration of the control node."""
    return ControlNodeConfig(
        replica=_make_replica_config(settings),
        coordinator=_make_coordinator_config(settings),
        tick_interval_s=settings.tick_interval_s,
        feed_hold_s=settings.feed_hold_s,
        max_proposals=settings.max_proposals_in_flight,
        job_retention_s=settings.job_retention_s,
    )


def make_scheduler(settings: ControlSettings) -> Scheduler:
    """Create a scheduling policy."""
    config = SchedulerConfig(reclaim_grace_s=settings.checkpoint_grace_s)
    return GuaranteeScheduler.from_config(config)

"""Directed fault scenarios that random faults produce too rarely."""

from tanagerpath.core.consensus import LossTolerance, Replica, Role
from tanagerpath.core.consensus.harness import SimulatedGroup
from tanagerpath.core.consensus.invariants import InvariantMonitor
from tanagerpath.core.consensus.simulated import NetworkFaults

# Small limits, so that a few commands cause snapshots, chunks and several batches.
SETTINGS = {
    "replace_voter_after_s": 4.0,
    "snapshot_after_entries": 20,
    "retained_entries": 5,
    "max_batch_entries": 4,
    "snapshot_chunk_chars": 16,
}


def start_group(seed, vm_count=3, factory=Replica.from_config, **settings):
    """Return a monitored group that has just converged."""
    settings = {**SETTINGS, **settings}
    group = SimulatedGroup.from_seed(seed, vm_count, factory, **settings)
    monitor = InvariantMonitor.attach(group)
    group.start_all()
    assert group.run_until(group.has_converged, 20.0)
    return group, monitor


def find_followers(group):
    leader = group.find_leader()
    return [vm for vm in group.vms.values() if vm is not leader]


def block_link_both_ways(group, one, other):
    group.block_link(one.vm_id, other.vm_id)
    group.block_link(other.vm_id, one.vm_id)


def commit(group, count, limit_s=20.0):
    """Commit commands one after the other through the current leader."""
    for number in range(count):
        if not _commit_one(group, f"command-{number}", limit_s):
            return False
    return True


def _commit_one(group, payload, limit_s):
    end_s = group.now_s + limit_s
    while group.now_s < end_s:
        leader = group.find_leader()
        if leader is None:
            group.run_for(0.05)
            continue
        proposal = group.propose(leader.vm_id, payload)
        group.run_until(lambda: proposal in group.outcomes, 2.0)  # noqa: B023
        if isinstance(group.outcomes.get(proposal), int):
            return True
    return False


def run_restart_under_lease(seed, factory):
    """A voter restarts right after it replied to the leader and is asked for a vote."""
    group, monitor = start_group(seed, factory=factory)
    leader = group.find_leader()
    voter, candidate = find_followers(group)
    block_link_both_ways(group, leader, candidate)
    group.run_for(3.0)
    group.crash(voter.vm_id)
    block_link_both_ways(group, leader, voter)
    group.start(voter.vm_id)
    group.run_for(2.0)
    return monitor


def run_commit_of_older_term(seed, factory):
    """Entries of an older term reach a quorum, and a newer term overwrites them."""
    settings = {"max_batch_entries": 1, "max_batches_in_flight": 1}
    group, monitor = start_group(seed, factory=factory, **settings)
    first = group.find_leader()
    second, third = find_followers(group)
    group.isolate(first.vm_id)
    for number in range(5):
        group.propose(first.vm_id, f"only-on-first-{number}")
    group.run_for(0.1)
    group.crash(first.vm_id)
    _crash_after_election(group, second, third)
    group.blocked_links.clear()
    group.start(first.vm_id)
    group.run_until(lambda: third.disk.durable.last_index >= 4, 20.0)
    group.crash(first.vm_id)
    group.start(second.vm_id)
    group.run_for(10.0)
    group.heal()
    group.run_for(10.0)
    return monitor


def _crash_after_election(group, candidate, voter):
    """Crash a new leader before its first entry reaches another replica."""
    candidate_disk = candidate.disk.durable

    def has_voted():
        voted_for = voter.disk.durable.voted_for
        return voted_for is not None and voted_for == candidate_disk.replica_id

    def votes_in_term():
        return has_voted() and voter.disk.durable.term == candidate.replica.term

    group.run_until(votes_in_term, 20.0)
    group.block_link(candidate.vm_id, voter.vm_id)
    group.run_until(lambda: candidate.replica.role is Role.LEADER, 5.0)
    group.run_for(0.05)
    group.crash(candidate.vm_id)


def run_disk_loss_of_one_of_two(seed, factory):
    """One of two voters loses its disk and restarts at once with a new identity."""
    group, monitor = start_group(seed, vm_count=2, factory=factory)
    (follower,) = find_followers(group)
    group.empty_disk(follower.vm_id)
    group.start(follower.vm_id)
    group.run_for(3.0)
    return monitor


def run_long_downtime(seed, factory):
    """One of three voters stays down in a group that tolerates one disk loss."""
    tolerance = LossTolerance(vms=1)
    group, monitor = start_group(seed, factory=factory, tolerated_losses=tolerance)
    group.crash(find_followers(group)[0].vm_id)
    group.run_for(10.0)
    return monitor


def run_formation(seed):
    """Found a group while messages are late, processes crash and one disk is lost.

    Returns the group, its monitor and whether the group converged.
    """
    group = SimulatedGroup.from_seed(seed, 3 + seed % 3, **SETTINGS)
    monitor = InvariantMonitor.attach(group)
    source = group.random
    group.faults = NetworkFaults(
        drop=source.choice((0.0, 0.1, 0.4)),
        duplicate=0.2,
        slow=source.choice((0.0, 0.2, 0.5)),
        max_slow_s=source.choice((0.5, 3.0)),
    )
    for vm_id in group.vms:
        _schedule(group, source.choice((0.0, source.uniform(0, 2))), group.start, vm_id)
    _schedule_restart(group, group.empty_disk, source.uniform(0.1, 3))
    for _ in range(source.randint(0, 4)):
        _schedule_restart(group, group.crash, source.uniform(0, 3))
    group.run_for(source.uniform(2, 6))
    group.heal()
    return group, monitor, group.run_until(group.has_converged, 60.0)


def _schedule(group, delay_s, action, vm_id):
    group.schedule(delay_s, lambda: action(vm_id))


def _schedule_restart(group, stop, delay_s):
    vm_id = group.random.choice(list(group.vms))
    _schedule(group, delay_s, stop, vm_id)
    _schedule(group, delay_s + group.random.uniform(0.01, 1), group.start, vm_id)


def run_vote_under_lease(seed, factory):
    """A follower that cannot reach the leader asks one that can for its vote."""
    group, monitor = start_group(seed, factory=factory)
    block_link_both_ways(group, group.find_leader(), find_followers(group)[0])
    group.run_for(3.0)
    return monitor


def run_transfer_without_incoming(seed, factory):
    """A leader transfers leadership but receives no messages about the result."""
    group, monitor = start_group(seed, factory=factory)
    leader = group.find_leader()
    group.isolate(leader.vm_id, outgoing=False)
    group.request_transfer(leader.vm_id)
    group.run_for(2.0)
    return monitor


def run_late_replies(seed, factory):
    """Late replies to old heartbeats reach a leader that is isolated by then."""
    group, monitor = start_group(seed, factory=factory)
    leader = group.find_leader()
    group.faults = NetworkFaults(slow=1.0, max_slow_s=3.0)
    group.run_for(0.5)
    group.faults = NetworkFaults()
    group.isolate(leader.vm_id)
    group.run_for(5.0)
    return monitor


def run_outdated_log(seed, factory):
    """A follower that missed committed commands starts an election."""
    group, monitor = start_group(seed, factory=factory)
    leader = group.find_leader()
    group.isolate(find_followers(group)[0].vm_id)
    commit(group, 5)
    group.crash(leader.vm_id)
    group.blocked_links.clear()
    group.run_for(5.0)
    return monitor


def run_crossing_elections(seed, factory):
    """Vote requests take so long that several candidates ask in the same term."""
    group, monitor = start_group(seed, 5, factory=factory)
    group.faults = NetworkFaults(slow=1.0, max_slow_s=1.5)
    group.run_for(40.0)
    return monitor


def run_diverged_log(seed, factory):
    """A leader that was cut off has entries of its own when it follows again."""
    group, monitor = start_group(seed, factory=factory)
    leader = group.find_leader()
    group.isolate(leader.vm_id)
    for number in range(SETTINGS["max_batch_entries"]):
        group.propose(leader.vm_id, f"only-on-{leader.vm_id}-{number}")
    group.run_for(3.0)
    group.blocked_links.clear()
    commit(group, 2 * SETTINGS["snapshot_after_entries"])
    return monitor

"""Settings of a replica and the state restored from disk."""

import attrs

from tanagerpath.core.consensus.events import LogEntry, Snapshot
from tanagerpath.core.consensus.membership import Membership
from tanagerpath.core.consensus.voters import LossTolerance

__all__ = ["ReplicaConfig", "RestoredState"]


@attrs.frozen(kw_only=True)
class ReplicaConfig:
    """Settings of a replica; within a group only those of the VM differ.

    Attributes
    ----------
    vm_id : str
        VM that the replica runs on.
    address : str
        "ip:port" of this replica.
    vms : dict of str to str
        Configured control VMs, including this one: vm_id to "ip:port".
    heartbeat_interval_s : float
        Interval in seconds between heartbeats of a leader.
    election_timeout_min_s, election_timeout_max_s : float
        Range in seconds of the random election timeout.
    lease_duration_s : float
        Seconds from the sending of a heartbeat for which a quorum's replies grant the
        lease. Below `election_timeout_min_s`, so that it expires before a quorum votes
        for another leader; the difference covers clock drift.
    replace_voter_after_s : float
        Seconds without contact after which a voter is replaced.
    remove_learner_after_s : float
        Seconds without contact after which a learner that the settings do not name is
        removed. Long, because a returning learner is tracked at once, while a removed
        one must first notice its removal and join again.
    may_found : bool
        Whether this VM may found a group; false where the configured VMs may have empty
        directories for another reason than being new.
    join_interval_s : float
        Interval in seconds between join requests of a replica without a leader.
    empty_report_validity_s : float
        Seconds for which a report of an empty directory, or a join challenge, is valid.
    fault_domain : str
        Name shared by replicas that may fail together.
    tolerated_losses : LossTolerance or None
        Losses that determine the number of voters; None for up to `max_voters`, and
        fewer while some of them are unreachable.
    max_voters : int
        Maximum number of voters if no tolerated losses are set.
    max_batch_entries, max_batch_chars : int
        Limits of one append message.
    max_batches_in_flight : int
        Maximum number of unanswered append messages with entries per follower.
    snapshot_after_entries : int
        Applied entries after which a new snapshot is requested.
    snapshot_after_chars : int
        Characters of applied commands after which a new snapshot is requested, however
        few they are; not before they are as many as in the last snapshot.
    retained_entries, retained_chars : int
        Limits of the entries kept in memory before a snapshot, for followers that lag
        slightly.
    snapshot_chunk_chars : int
        Maximum number of characters of a snapshot in one message.
    """

    vm_id: str
    address: str
    vms: dict[str, str]
    heartbeat_interval_s: float = 0.1
    election_timeout_min_s: float = 0.6
    election_timeout_max_s: float = 1.2
    lease_duration_s: float = 0.5
    replace_voter_after_s: float = 60.0
    remove_learner_after_s: float = 60.0
    may_found: bool = True
    join_interval_s: float = 0.25
    empty_report_validity_s: float = 2.0
    fault_domain: str = ""
    tolerated_losses: LossTolerance | None = None
    max_voters: int = 5
    max_batch_entries: int = 256
    max_batch_chars: int = 262144
    max_batches_in_flight: int = 2
    snapshot_after_entries: int = 1000
    snapshot_after_chars: int = 4_194_304
    retained_entries: int = 256
    retained_chars: int = 1_048_576
    snapshot_chunk_chars: int = 262144

    def __attrs_post_init__(self) -> None:
        """Reject a lease that may overlap with that of the next leader."""
        if self.lease_duration_s >= self.election_timeout_min_s:
            raise ValueError(
                f"lease_duration_s {self.lease_duration_s} is not below "
                f"election_timeout_min_s {self.election_timeout_min_s}"
            )

    def find_voter_target(self, membership: Membership) -> int:
        """Return the desired number of voters, which may exceed the members."""
        if self.tolerated_losses is None:
            return self.max_voters
        domains = {member.fault_domain for member in membership.members}
        return self.tolerated_losses.find_voter_count(len(domains))


@attrs.frozen(kw_only=True)
class RestoredState:
    """Content of the data directory; the defaults represent an empty one.

    Attributes
    ----------
    replica_id : str or None
        Identity, None in an empty directory.
    term : int
        Last stored term.
    voted_for : str or None
        Candidate that this replica voted for in that term.
    snapshot : Snapshot or None
        Last stored snapshot.
    entries : tuple of LogEntry
        Entries after the snapshot, without gaps.
    """

    replica_id: str | None = None
    term: int = 0
    voted_for: str | None = None
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()

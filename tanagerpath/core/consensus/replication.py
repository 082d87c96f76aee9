"""Replication of the leader's log to the other members."""

import math

import attrs

from tanagerpath.core.consensus.context import ReplicaContext
from tanagerpath.core.consensus.events import Snapshot
from tanagerpath.core.consensus.messages import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotChunkReply,
)

__all__ = ["Progress", "Replicator"]

# A chunk without a reply is sent again after this many heartbeat intervals, so that a
# slow link is not filled with copies of it.
CHUNK_RESEND_HEARTBEATS = 5


@attrs.define
class Progress:
    """What the leader knows of one other member.

    Attributes
    ----------
    next_index : int
        Next index to send.
    match_index : int
        Last index known to be on the member's disk.
    probing : bool
        True until a reply shows where the logs match; only heartbeats are sent then.
    in_flight : list of int
        Last indices of unanswered append messages with entries.
    acknowledged_s : float
        Latest instant at which a message was sent that the member has answered.
    snapshot : Snapshot or None
        Snapshot that is being sent.
    snapshot_offset : int
        First character of it that the member lacks.
    chunk_sent_s : float
        Instant at which a chunk was last sent.
    stored_s : float
        Instant at which the member was last known to store an entry.
    tracked_s : float
        Instant from which the leader counts the member as its own.
    round_end_index : int
        Last index of the log when the current round of catching up began.
    round_started_s : float
        Instant at which the current round began.
    has_finished_round : bool
        Whether the last round took no longer than an election timeout.
    """

    next_index: int
    match_index: int = 0
    probing: bool = True
    in_flight: list[int] = attrs.Factory(list)
    acknowledged_s: float = -math.inf
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0
    chunk_sent_s: float = -math.inf
    stored_s: float = -math.inf
    tracked_s: float = -math.inf
    round_end_index: int = 0
    round_started_s: float = -math.inf
    has_finished_round: bool = False

    def record_round(self, last_index: int, now_s: float, longest_s: float) -> None:
        """Begin the next round if the member holds all that the current one asks for.

        A member is compared with what the log held when the round began, because the
        commit index may move with each command.
        """
        if self.match_index < self.round_end_index:
            return
        self.has_finished_round = now_s - self.round_started_s <= longest_s
        self.round_end_index = last_index
        self.round_started_s = now_s


class Replicator:
    """Sends entries, heartbeats and snapshots, and counts what is on disk.

    Parameters
    ----------
    context : ReplicaContext
        Shared state of the replica.
    """

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self.started_s = 0.0
        self.progress: dict[str, Progress] = {}

    def start(self) -> None:
        """Forget what an earlier term has shown."""
        self.started_s = self._context.now_s
        self.progress = {}
        self.follow_membership()
        self._count_silence_of_last_leader()

    def _count_silence_of_last_leader(self) -> None:
        """Count the last leader as silent since it was heard, not since the election.

        It is replaced as soon as any other voter that was lost at the same instant.
        """
        context = self._context
        progress = self.progress.get(context.last_leader_id or "")
        if progress is not None:
            progress.tracked_s = context.last_leader_contact_s

    def follow_membership(self) -> None:
        """Track exactly the members in force."""
        context = self._context
        known = self.progress
        self.progress = {
            member.replica_id: known.get(member.replica_id) or self._make_progress()
            for member in context.membership.members
            if member.replica_id != context.replica_id
        }

    def _make_progress(self) -> Progress:
        context = self._context
        last_index = context.log.last_index
        return Progress(
            next_index=last_index + 1,
            tracked_s=context.now_s,
            round_end_index=last_index,
            round_started_s=context.now_s,
        )

    def has_caught_up(self, replica_id: str) -> bool:
        """Return whether a member holds what the log held an election timeout ago."""
        progress = self.progress.get(replica_id)
        if progress is None or not progress.has_finished_round:
            return False
        round_s = self._context.now_s - progress.round_started_s
        return round_s <= self._context.config.election_timeout_min_s

    def has_stored_lately(self, replica_id: str) -> bool:
        """Return whether a member has stored an entry within an election timeout."""
        progress = self.progress.get(replica_id)
        if progress is None:
            return False
        idle_s = self._context.now_s - progress.stored_s
        return idle_s <= self._context.config.election_timeout_min_s

    def holds_whole_log(self, replica_id: str) -> bool:
        """Return whether a member is known to hold every entry of the log."""
        progress = self.progress.get(replica_id)
        last_index = self._context.log.last_index
        return progress is not None and progress.match_index >= last_index

    def find_contact_s(self, replica_id: str) -> float:
        """Return the latest sending instant that a member is known to have answered.

        The start of the leadership, or the admission in its course, counts as one, so
        that members get time to answer. The last leader gets none.
        """
        progress = self.progress.get(replica_id)
        if progress is None:
            return self.started_s
        return max(progress.tracked_s, progress.acknowledged_s)

    def find_quorum_contact_s(self, count_start: bool) -> float:
        """Return the latest instant since which a quorum of voters has answered.

        Parameters
        ----------
        count_start : bool
            Whether the start of the leadership counts as an answer of each member.
        """
        context = self._context
        instants = []
        for voter in context.membership.voters:
            if voter == context.replica_id:
                instants.append(context.now_s)
            elif count_start:
                instants.append(max(self.started_s, self.find_contact_s(voter)))
            elif voter in self.progress:
                instants.append(self.progress[voter].acknowledged_s)
        instants.sort(reverse=True)
        quorum = context.membership.quorum
        return instants[quorum - 1] if len(instants) >= quorum else -math.inf

    def send_heartbeats(self) -> None:
        """Send an append message without entries to each member."""
        for replica_id, progress in self.progress.items():
            self._send_heartbeat(replica_id, progress)
            self._resend_chunk(replica_id, progress)

    def _send_heartbeat(self, replica_id: str, progress: Progress) -> None:
        self._choose_snapshot(progress)
        prev_index = 0 if progress.snapshot else progress.next_index - 1
        self._send_append(replica_id, prev_index, ())

    def _choose_snapshot(self, progress: Progress) -> None:
        if not progress.snapshot and self._needs_snapshot(progress):
            self._start_snapshot(progress)

    def _needs_snapshot(self, progress: Progress) -> bool:
        log = self._context.log
        return log.snapshot is not None and progress.next_index <= log.base_index

    def _start_snapshot(self, progress: Progress) -> None:
        progress.snapshot = self._context.log.snapshot
        progress.snapshot_offset = 0
        progress.chunk_sent_s = -math.inf
        progress.in_flight.clear()

    def _send_append(self, replica_id: str, prev_index: int, entries: tuple) -> None:
        context = self._context
        prev_term = 0 if prev_index == 0 else context.log.find_term(prev_index) or 0
        context.send(
            replica_id,
            AppendRequest(
                term=context.term,
                prev_index=prev_index,
                prev_term=prev_term,
                entries=entries,
                commit_index=context.commit_index,
                sent_s=context.now_s,
            ),
        )

    def replicate_all(self) -> None:
        """Send new entries to all members whose window has room."""
        for replica_id, progress in self.progress.items():
            self._replicate(replica_id, progress)

    def _replicate(self, replica_id: str, progress: Progress) -> None:
        config = self._context.config
        log = self._context.log
        if progress.probing or progress.snapshot:
            return
        if self._needs_snapshot(progress):
            self._start_snapshot(progress)
            self._resend_chunk(replica_id, progress)
            return
        while (
            progress.next_index <= log.last_index
            and len(progress.in_flight) < config.max_batches_in_flight
        ):
            entries = log.read_batch(
                progress.next_index, config.max_batch_entries, config.max_batch_chars
            )
            self._send_append(replica_id, progress.next_index - 1, entries)
            progress.next_index = entries[-1].index + 1
            progress.in_flight.append(entries[-1].index)

    def _resend_chunk(self, replica_id: str, progress: Progress) -> None:
        config = self._context.config
        resend_s = (
            progress.chunk_sent_s
            + CHUNK_RESEND_HEARTBEATS * config.heartbeat_interval_s
        )
        if progress.snapshot and self._context.now_s >= resend_s:
            self._send_chunk(replica_id, progress, progress.snapshot)

    def _send_chunk(
        self, replica_id: str, progress: Progress, snapshot: Snapshot
    ) -> None:
        context = self._context
        size = context.config.snapshot_chunk_chars
        # An empty or complete transfer sends its last chunk again.
        last_offset = max(len(snapshot.payload) - 1, 0) // size * size
        offset = min(progress.snapshot_offset, last_offset)
        end = offset + size
        progress.chunk_sent_s = context.now_s
        context.send(
            replica_id,
            SnapshotChunk(
                term=context.term,
                last_index=snapshot.last_index,
                last_term=snapshot.last_term,
                membership=snapshot.membership,
                offset=offset,
                text=snapshot.payload[offset:end],
                complete=end >= len(snapshot.payload),
                sent_s=context.now_s,
            ),
        )

    def handle_append_reply(self, sender: str, reply: AppendReply) -> None:
        """Take note of what a member holds."""
        progress = self.progress.get(sender)
        if progress is None:
            return
        progress.acknowledged_s = max(progress.acknowledged_s, reply.sent_s)
        if reply.accepted:
            self._accept(progress, reply)
        else:
            self._back_off(sender, progress, reply)
        progress.record_round(
            self._context.log.last_index,
            self._context.now_s,
            self._context.config.election_timeout_min_s,
        )
        self._replicate(sender, progress)

    def _accept(self, progress: Progress, reply: AppendReply) -> None:
        match_index = min(reply.match_index, self._context.log.last_index)
        if match_index > progress.match_index:
            progress.match_index = match_index
            progress.stored_s = self._context.now_s
        progress.in_flight = [
            index for index in progress.in_flight if index > progress.match_index
        ]
        snapshot = progress.snapshot
        if snapshot and progress.match_index >= snapshot.last_index:
            progress.snapshot = None
            progress.next_index = progress.match_index + 1
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        if not progress.snapshot and reply.prev_index >= progress.next_index - 1:
            progress.probing = False

    def _back_off(self, sender: str, progress: Progress, reply: AppendReply) -> None:
        if progress.snapshot or reply.prev_index <= progress.match_index:
            return
        if progress.probing and reply.prev_index != progress.next_index - 1:
            return
        hint = min(reply.hint_index, reply.prev_index)
        progress.next_index = max(progress.match_index + 1, hint)
        progress.in_flight.clear()
        progress.probing = True
        if self._needs_snapshot(progress):
            self._start_snapshot(progress)
            self._resend_chunk(sender, progress)
        else:
            self._send_heartbeat(sender, progress)

    def handle_chunk_reply(self, sender: str, reply: SnapshotChunkReply) -> None:
        """Send the next chunk of a snapshot."""
        progress = self.progress.get(sender)
        if progress is None:
            return
        progress.acknowledged_s = max(progress.acknowledged_s, reply.sent_s)
        snapshot = progress.snapshot
        if snapshot is None or snapshot.last_index != reply.last_index:
            return
        moved = reply.next_offset != progress.snapshot_offset
        progress.snapshot_offset = reply.next_offset
        if moved and reply.next_offset < len(snapshot.payload):
            self._send_chunk(sender, progress, snapshot)

    def advance_commit(self) -> None:
        """Commit what a quorum holds on disk.

        Only an entry of the own term is counted; entries of older terms commit with
        it. Counting those alone could commit an entry that a later leader overwrites.
        """
        context = self._context
        index = self._find_quorum_match()
        if index > context.commit_index and self._may_count(index):
            context.commit_to(index)

    def _may_count(self, index: int) -> bool:
        return self._context.log.find_term(index) == self._context.term

    def _find_quorum_match(self) -> int:
        context = self._context
        matches = []
        for voter in context.membership.voters:
            if voter == context.replica_id:
                matches.append(context.journal.synced_index)
            elif voter in self.progress:
                matches.append(self.progress[voter].match_index)
        matches.sort(reverse=True)
        quorum = context.membership.quorum
        return matches[quorum - 1] if len(matches) >= quorum else 0

"""Replication of the leader's log to the other members."""

import math

from tanagerpath.core.consensus.context import ReplicaContext
from tanagerpath.core.consensus.events import LogEntry
from tanagerpath.core.consensus.membership_reports import LearnerCaughtUp
from tanagerpath.core.consensus.messages import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotChunkReply,
)
from tanagerpath.core.consensus.progress import Progress
from tanagerpath.core.consensus.send_window import SendWindow
from tanagerpath.core.consensus.snapshot_transfer import SnapshotTransfer

__all__ = ["Replicator"]

# Heartbeat intervals after which unanswered chunks are sent again. As long as the
# timeout of an exchange; sooner, copies of them would saturate a slow link.
CHUNK_RESEND_HEARTBEATS = 10
# Append messages on the way to a member that lags by more than one of them.
MAX_CATCH_UP_BATCHES = 8


class Replicator:
    """Sends entries, heartbeats and snapshots, and computes the commit index.

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
        """Reset the progress of all members at the start of a term."""
        self.started_s = self._context.now_s
        self.progress = {}
        self.track_members()
        self._count_silence_of_last_leader()

    def _count_silence_of_last_leader(self) -> None:
        """Measure the silence of the last leader from its last message.

        Measured from the election, a lost leader would be replaced later than a
        follower that was lost at the same time.
        """
        context = self._context
        progress = self.progress.get(context.last_leader_id or "")
        if progress is not None:
            progress.tracked_s = context.last_leader_contact_s

    def track_members(self) -> None:
        """Track exactly the current members."""
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
            window=SendWindow(
                context.config.max_batches_in_flight, MAX_CATCH_UP_BATCHES
            ),
            tracked_s=context.now_s,
            target_index=last_index,
            round_end_index=last_index,
            round_started_s=context.now_s,
        )

    def has_caught_up(self, replica_id: str) -> bool:
        """Return whether a member holds the log of an election timeout ago."""
        progress = self.progress.get(replica_id)
        if progress is None or not progress.last_round_in_time:
            return False
        round_s = self._context.now_s - progress.round_started_s
        return round_s <= self._context.config.election_timeout_min_s

    def has_reached_target(self, replica_id: str) -> bool:
        """Return whether a member holds the log of its admission or return."""
        progress = self.progress.get(replica_id)
        return progress is not None and progress.has_reached_target

    def has_stored_recently(self, replica_id: str) -> bool:
        """Return whether a member stored an entry within an election timeout."""
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
        """Return the latest send time of a message that a member has answered.

        The start of the term, or a later admission, counts as one, so that members get
        time to reply. The last leader does not get this time.
        """
        progress = self.progress.get(replica_id)
        if progress is None:
            return self.started_s
        return max(progress.tracked_s, progress.acknowledged_s)

    def find_quorum_contact_s(self, count_start: bool) -> float:
        """Return the latest time since which a quorum of voters has replied.

        Parameters
        ----------
        count_start : bool
            Whether the start of the term counts as a reply of each member.
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
        """Send an empty append request to each member, and due snapshot chunks."""
        for replica_id, progress in self.progress.items():
            self._send_heartbeat(replica_id, progress)
            self._resend_chunks(replica_id, progress)

    def _send_heartbeat(self, replica_id: str, progress: Progress) -> None:
        self._start_snapshot_if_needed(progress)
        prev_index = 0 if progress.transfer else progress.next_index - 1
        self._send_append(replica_id, prev_index, ())

    def _start_snapshot_if_needed(self, progress: Progress) -> None:
        if not progress.transfer and self._needs_snapshot(progress):
            self._start_snapshot(progress)

    def _needs_snapshot(self, progress: Progress) -> bool:
        log = self._context.log
        return log.snapshot is not None and progress.next_index <= log.base_index

    def _start_snapshot(self, progress: Progress) -> None:
        context = self._context
        progress.transfer = SnapshotTransfer(
            context.log.snapshot, context.config.snapshot_chunk_chars
        )
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
        """Send new entries to all members below their in-flight limit."""
        for replica_id, progress in self.progress.items():
            self._replicate(replica_id, progress)

    def _replicate(self, replica_id: str, progress: Progress) -> None:
        config = self._context.config
        log = self._context.log
        if progress.probing or progress.transfer:
            return
        if self._needs_snapshot(progress):
            self._start_snapshot(progress)
            self._send_chunks(replica_id, progress.transfer)
            return
        while progress.next_index <= log.last_index:
            entries = log.read_batch(
                progress.next_index, config.max_batch_entries, config.max_batch_chars
            )
            if not self._may_send(progress, entries):
                return
            self._send_append(replica_id, progress.next_index - 1, entries)
            progress.next_index = entries[-1].index + 1
            progress.in_flight.append(entries[-1].index)

    def _may_send(self, progress: Progress, entries: tuple[LogEntry, ...]) -> bool:
        """Return whether a batch may be sent before the ones on the way are answered.

        The wider window is for full batches only. Single entries wait for the next
        batch, so that many proposals share a message.
        """
        is_full = entries[-1].index < self._context.log.last_index
        limit = progress.window.size if is_full else progress.window.initial_size
        return len(progress.in_flight) < limit

    def _resend_chunks(self, replica_id: str, progress: Progress) -> None:
        """Send chunks of a transfer that has begun or made no progress for a while."""
        context = self._context
        transfer = progress.transfer
        if transfer is None:
            return
        timeout_s = CHUNK_RESEND_HEARTBEATS * context.config.heartbeat_interval_s
        if context.now_s >= transfer.sent_s + timeout_s:
            transfer.record_loss()
            self._send_chunks(replica_id, transfer)

    def _send_chunks(self, replica_id: str, transfer: SnapshotTransfer) -> None:
        for offset in transfer.take_offsets(self._context.now_s):
            self._send_chunk(replica_id, transfer, offset)

    def _send_chunk(
        self, replica_id: str, transfer: SnapshotTransfer, offset: int
    ) -> None:
        context = self._context
        snapshot = transfer.snapshot
        end = offset + transfer.chunk_chars
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
        """Update the progress of a member and send it further entries."""
        progress = self.progress.get(sender)
        if progress is None:
            return
        self._note_return(progress, reply)
        progress.acknowledged_s = max(progress.acknowledged_s, reply.sent_s)
        lagged = not progress.has_reached_target
        if reply.accepted:
            self._record_match(progress, reply)
        else:
            self._decrease_next_index(sender, progress, reply)
        if lagged and progress.has_reached_target:
            self._report_caught_up(sender, progress)
        progress.record_round(
            self._context.log.last_index,
            self._context.now_s,
            self._context.config.election_timeout_min_s,
        )
        self._replicate(sender, progress)

    def _note_return(self, progress: Progress, reply: AppendReply) -> None:
        """Set the target of a member that answers again after a silence."""
        context = self._context
        contact_s = max(progress.tracked_s, progress.acknowledged_s)
        if reply.sent_s - contact_s > context.config.election_timeout_max_s:
            progress.target_index = context.log.last_index

    def _report_caught_up(self, replica_id: str, progress: Progress) -> None:
        context = self._context
        if not context.membership.is_voter(replica_id):
            elapsed_s = context.now_s - progress.tracked_s
            context.add_action(
                LearnerCaughtUp(replica_id, progress.match_index, elapsed_s)
            )

    def _record_match(self, progress: Progress, reply: AppendReply) -> None:
        match_index = min(reply.match_index, self._context.log.last_index)
        if match_index > progress.match_index:
            progress.window.record_answer()
            progress.match_index = match_index
            progress.stored_s = self._context.now_s
        progress.in_flight = [
            index for index in progress.in_flight if index > progress.match_index
        ]
        transfer = progress.transfer
        if transfer and progress.match_index >= transfer.snapshot.last_index:
            progress.transfer = None
            progress.next_index = progress.match_index + 1
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        if not progress.transfer and reply.prev_index >= progress.next_index - 1:
            progress.probing = False

    def _decrease_next_index(
        self, sender: str, progress: Progress, reply: AppendReply
    ) -> None:
        if progress.transfer or reply.prev_index <= progress.match_index:
            return
        if progress.probing and reply.prev_index != progress.next_index - 1:
            return
        hint = min(reply.hint_index, reply.prev_index)
        progress.next_index = max(progress.match_index + 1, hint)
        progress.window.record_loss()
        progress.in_flight.clear()
        progress.probing = True
        if self._needs_snapshot(progress):
            self._start_snapshot(progress)
            self._send_chunks(sender, progress.transfer)
        else:
            self._send_heartbeat(sender, progress)

    def handle_chunk_reply(self, sender: str, reply: SnapshotChunkReply) -> None:
        """Update a snapshot transfer and send the next chunk."""
        progress = self.progress.get(sender)
        if progress is None:
            return
        progress.acknowledged_s = max(progress.acknowledged_s, reply.sent_s)
        transfer = progress.transfer
        if transfer is None or transfer.snapshot.last_index != reply.last_index:
            return
        transfer.record_received(reply.next_offset)
        self._send_chunks(sender, transfer)

    def advance_commit(self) -> None:
        """Commit the entries that a quorum has on disk.

        Only an entry of the current term is counted; entries of older terms commit with
        it. Counting them alone could commit an entry that a later leader overwrites.
        """
        context = self._context
        index = self._find_quorum_match()
        if index > context.commit_index and self._is_from_current_term(index):
            context.commit_to(index)

    def _is_from_current_term(self, index: int) -> bool:
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
